// Package settings loads a gateway's settings. It evaluates a Starlark script, without I/O and with a limit on its
// execution steps, into typed data and validates the whole. It fills [logic.Settings] and the map of extents and makes
// no scheduling decisions.
package settings

import (
	"appleplank/crossing"
	"appleplank/internal/block"
	"appleplank/logic"
)

// Config holds the settings that a script defines.
type Config struct {
	Name      string // the gateway's name; part of its NVMe host NQN
	Files     []string
	Logic     logic.Settings
	Classes   []string // names, in the order of Logic.Classes
	Plans     []string // names, in the order of Logic.Plans
	Volumes   []Volume
	Nodes     []Node
	Directory Directory
	Times     Times
	Bounds    Bounds
	State     State
	Crossing  crossing.Settings // Rate is 0 if there is no budget
	Copies    Copies
	Users     []User
	Dav       []Dav
}

// User is an account of a front that authenticates its clients.
type User struct {
	Name string
	Hash []byte // bcrypt hash of the password
}

// Dav is a WebDAV listener.
type Dav struct {
	Listen    string // host:port
	Cert, Key string // paths of the PEM files; both may be empty only on loopback
	Clients   int    // maximum of concurrent connections
	Trees     []Tree
}

// Tree serves a volume of objects under a path of a listener.
type Tree struct {
	Path        string   // "/", or a path without a trailing slash
	Volume      int      // index into Config.Volumes
	Read, Write []string // names of the users with this access; write access includes read access
}

// Volume is one volume that the gateway serves: a disk, or a space for objects.
type Volume struct {
	ID        uint64
	Name      string
	Plan      int     // index into Config.Plans
	Attached  float64 // number of gateways through which its requests come
	Socket    string  // path of the vhost-user socket; empty if this gateway does not serve the volume as a disk
	Size      int64   // bytes, the sum of the extents
	BlockSize uint32
	Queues    int
	ReadOnly  bool
	Serial    string
	Account   uint64 // ID of the volume whose balance and limit it uses: its own or that of an earlier volume
	Objects   bool   // the extents are space for objects, not a disk
	Memory    int64  // maximum of data buffers that its requests hold, in bytes
	Extents   []Extent
	Rows      []Row
	UnitBytes int64   // bytes that count as one unit of work
	MinUnits  float64 // minimum units of a request
}

// Extent is a contiguous byte range of a volume and the location of its copies. The embedded Place is the first copy,
// which leads as long as nothing has failed.
type Extent struct {
	Start, Len int64 // bytes, within the volume
	Place
	Copies []Place // all copies, the embedded one first; an extent with more than one is mirrored
}

// Place is the location of one copy of an extent.
type Place struct {
	Cell      int    // any node of this cell serves the copy
	Namespace uint32 // on the nodes of the cell
	Base      int64  // byte offset in the namespace at which the copy begins
}

// Copies configures how mirrored extents are kept and how stale copies catch up.
type Copies struct {
	Class    int   // class of the reads and writes that bring a copy up to date
	Plan     int   // plan on which these reads and writes draw
	Hold     int   // number of copies that must hold a change before it is answered
	Region   int64 // bytes that one mark covers
	Together int   // maximum of regions that catch up at the same time
}

// Mirrored reports whether an extent of the volume has more than one copy.
func (v *Volume) Mirrored() bool {
	for i := range v.Extents {
		if len(v.Extents[i].Copies) > 1 {
			return true
		}
	}
	return false
}

// Row is a line of the table that assigns a class to a request. The first row applies whose kind equals the request's
// and whose UpTo the request does not exceed.
type Row struct {
	Kind  block.Kind
	UpTo  int64 // maximum size in bytes; 0 means any size
	Class int   // index into Config.Classes
}

// Class returns the class of a request of this kind and size, and false if no row of the table applies.
func (v *Volume) Class(k block.Kind, bytes int64) (int, bool) {
	for _, r := range v.Rows {
		if r.Kind == k && (r.UpTo == 0 || bytes <= r.UpTo) {
			return r.Class, true
		}
	}
	return 0, false
}

// Units returns the units of work that a request of this size counts.
func (v *Volume) Units(bytes int64) float64 {
	return max(v.MinUnits, float64(bytes)/float64(v.UnitBytes))
}

// Node is a storage node that the settings describe. The gateway uses it once it is in the list of nodes.
type Node struct {
	ID      logic.NodeID
	Zone    int // below zero if unknown
	Cell    int
	Address string // host:port
	NQN     string
	Rating  float64
	Bytes   int64 // capacity; 0 if unknown. Only the placement of new volumes reads it
}

// Directory is the discovery controller that reports which nodes exist. Without an address the gateway uses the nodes
// of the settings.
type Directory struct {
	Address string
	Every   logic.Micros // maximum time between two queries
}

// Times are the timeouts of the gateway outside package logic; none of them takes part in scheduling.
type Times struct {
	AnswerMargin logic.Micros // how long before the deadline of its class a request is answered at the latest
	Connect      logic.Micros // maximum time to set up a connection, handshakes included
	KeepAlive    logic.Micros // keep-alive timeout that is sent to nodes
	Drain        logic.Micros // time after SIGTERM within which all held requests are answered
}

// Bounds are the limits on what a gateway holds.
type Bounds struct {
	Depth           int   // commands in flight at a node, over all its I/O queues
	IOQueues        int   // I/O connections to a node; the admin queue is not counted
	Digests         bool  // ask for header and data digests
	Memory          int64 // data buffers of all volumes, in bytes
	MaxClientMemory int64 // maximum of memory mapped for one client, in bytes
	MaxRequestBytes int64 // maximum of data of one request, in bytes
}

// State configures where the gateway saves its state; without a folder it saves none.
type State struct {
	Dir   string
	Every logic.Micros // interval between two writes
}
