// Package bounds divides what a process of the platform is granted: descriptors between clients and targets, memory
// between what the process takes at rest and the data that peers can make it hold. It has no clock, goroutine or I/O.
//
// It guards against peers of one kind using up what others need, and against the process being killed for its memory
// use. Harm: where one kind of peer is rare, its share stays unused.
package bounds

import "math"

const (
	// Client connections get clientSockets of the descriptors, connections to targets targetSockets. The rest is for the
	// listener, discovery, logs, and connections that are being closed.
	clientSockets, targetSockets = 0.5, 0.25
	// The platform lets clients hold requestShare of the descriptors for requests; a client beyond that finds no
	// connection. Held requests leave requestReserve of it free for requests that arrive in the meantime.
	requestShare, requestReserve = 1.0 / 3, 0.1
	// acceptsPerCore is the number of connections that are accepted in a second of one core.
	acceptsPerCore = 3200
	// listBytesPerCore is the number of bytes of discovery's lists that are read in a second of one core.
	listBytesPerCore = 1 << 20
	// minCores is the part of a core that an initiator is taken to have at least.
	minCores = 0.1

	defaultSockets, defaultMemoryMB = 1024, 512 // where the platform states no limit
)

// Grants is what the platform grants a process; 0 means that a grant is not stated.
type Grants struct {
	Cores    float64
	MemoryMB float64
	Sockets  int
	// Files is how many bytes of the memory are pages of the binary and of libraries.
	Files int64
}

// Bounds holds the limits of the parts of a process.
type Bounds struct {
	ClientConns   int // client connections
	Requests      int // requests held at once
	TargetConns   int // connections to targets
	Memory        Memory
	RememberedIDs int     // ids of requests that may have run
	Volumes       int     // volumes that logic knows
	Accepts       float64 // client connections accepted in a second
	ListBytes     float64 // of discovery's lists that are read in a second
	Cores         int     // threads that may run; 0: as many as the machine has cores
}

// For returns the limits for the given grants.
func For(g Grants) Bounds {
	if g.Sockets == 0 {
		g.Sockets = defaultSockets
	}
	if g.MemoryMB == 0 {
		g.MemoryMB = defaultMemoryMB
	}
	processor := 1.0 // one reader accepts
	if g.Cores > 0 {
		processor = min(max(g.Cores, minCores), 1)
	}
	memory := shareMemory(g.MemoryMB*mebibyte, float64(g.Files))
	descriptors := float64(g.Sockets)
	clients := min(clientSockets*descriptors, float64(memory.Clients)/clientMemory)
	targets := min(targetSockets*descriptors, float64(memory.Targets)/targetMemory)
	return Bounds{
		ClientConns: int(clients), Requests: int((1 - requestReserve) * requestShare / clientSockets * clients), TargetConns: int(targets),
		Memory: memory, RememberedIDs: memory.rememberedIDs(), Volumes: int(memory.Volumes / volumeMemory),
		Accepts: acceptsPerCore * processor, ListBytes: listBytesPerCore * processor, Cores: int(math.Ceil(g.Cores)),
	}
}
