// Package bounds decides how what a process of the platform is granted is shared out: descriptors between clients and
// targets, memory between the heap and what peers may make it hold. It has no clock, goroutine or I/O.
//
// It guards against peers of one kind using up what others need, and against a process that is killed for its memory.
// It could harm where one kind of peer is rare: its share stays unused.
package bounds

import "math"

const (
	// Clients' connections have clientPart of the descriptors, targets' targetPart; the rest is for the listener,
	// discovery, logs, and connections that are being closed.
	clientPart, targetPart = 0.5, 0.25
	// The platform lets clients hold requestPart of the descriptors for requests: who asks beyond it finds no
	// connection. Held requests leave spareRequests of that to those that come meanwhile.
	requestPart, spareRequests = 1.0 / 3, 0.1
	// The heap has heapPart of the memory. Bodies of requests that are held and answers that clients are slow to take
	// have bodyPart, answers on their way in answerPart; both lie in the heap.
	heapPart, bodyPart, answerPart = 0.6, 0.1, 0.2

	defaultSockets, defaultMemory = 1024, 512 // where nothing is told; memory in MB
)

// Bounds is what each part may use.
type Bounds struct {
	Seats    int   // clients' connections
	Requests int   // that may be held at once
	Lines    int   // connections to targets
	Heap     int64 // bytes, as the others
	Bodies   int
	Answers  int
	Cores    int // threads that may run; 0: as the machine has
}

// For shares out what is granted; 0: it is not told.
func For(cores, memoryMB float64, sockets int) Bounds {
	if sockets == 0 {
		sockets = defaultSockets
	}
	if memoryMB == 0 {
		memoryMB = defaultMemory
	}
	n, memory := float64(sockets), memoryMB*(1<<20)
	return Bounds{
		Seats: int(clientPart * n), Requests: int((1 - spareRequests) * requestPart * n), Lines: int(targetPart * n),
		Heap: int64(heapPart * memory), Bodies: int(bodyPart * memory), Answers: int(answerPart * memory),
		Cores: int(math.Ceil(cores)),
	}
}
