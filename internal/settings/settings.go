// Package settings reads a gateway's settings: a Starlark script evaluated without I/O and with a bound on
// its steps, into plain typed data that is checked whole. It fills [logic.Settings] and the map of extents
// and decides nothing.
package settings

import (
	"appleplank/crossing"
	"appleplank/internal/block"
	"appleplank/logic"
)

// Config is what a script comes to.
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
	Crossing  crossing.Settings // its rate is 0 where there is no budget
	Copies    Copies
	Users     []User
	Dav       []Dav
}

// User is a client of a front that asks who it is.
type User struct {
	Name string
	Hash []byte // bcrypt, of the password
}

// Dav is a WebDAV listener.
type Dav struct {
	Listen    string // host:port
	Cert, Key string // files; both empty on loopback only
	Clients   int    // connections at a time
	Trees     []Tree
}

// Tree is a volume of objects under a path of a listener.
type Tree struct {
	Path        string // "/" or without a slash at the end
	Volume      int
	Read, Write []string // users that may; who may write may read
}

// Volume is one disk that clients see.
type Volume struct {
	ID        uint64
	Name      string
	Plan      int
	Attached  float64 // gateways through which its requests come
	Socket    string  // path of the vhost-user socket; empty: not served here
	Size      int64   // bytes, the sum of its extents
	BlockSize uint32
	Queues    int
	ReadOnly  bool
	Serial    string
	Account   uint64 // whose balance and limit it draws on: its own, or that of an earlier volume
	Objects   bool   // its extents are space for objects, not a disk
	Memory    int64  // bytes of data buffers its requests may hold at a time
	Extents   []Extent
	Rows      []Row
	UnitBytes int64 // bytes that count one unit
	UnitLeast float64
}

// Extent is a run of a volume's bytes and where it lies. The place that is embedded is the first of its copies, the one
// that leads as long as nothing has failed.
type Extent struct {
	Start, Len int64 // in the volume
	Place
	Copies []Place // all of them; more than one: the extent is mirrored
}

// Place is where a copy of an extent lies.
type Place struct {
	Cell      int    // the node that holds this cell serves it
	Namespace uint32 // there
	Base      int64  // byte of the namespace at which it begins
}

// Copies is how mirrored extents are kept and caught up.
type Copies struct {
	Class    int   // of reads and writes that catch a copy up
	Plan     int   // they draw on
	Hold     int   // copies that must hold a change before it is answered
	Region   int64 // bytes for which one mark is kept
	Together int   // regions that are caught up at a time
}

// Mirrored tells whether an extent of the volume has more than one copy.
func (v *Volume) Mirrored() bool {
	for i := range v.Extents {
		if len(v.Extents[i].Copies) > 1 {
			return true
		}
	}
	return false
}

// Row is a line of the table that finds a request's class: the first whose kind fits and whose size is not
// passed.
type Row struct {
	Kind  block.Kind
	UpTo  int64 // bytes; 0: any
	Class int
}

// Class finds the class of a request.
func (v *Volume) Class(k block.Kind, bytes int64) (int, bool) {
	for _, r := range v.Rows {
		if r.Kind == k && (r.UpTo == 0 || bytes <= r.UpTo) {
			return r.Class, true
		}
	}
	return 0, false
}

// Units is what a request of so many bytes counts.
func (v *Volume) Units(bytes int64) float64 {
	return max(v.UnitLeast, float64(bytes)/float64(v.UnitBytes))
}

// Node is a storage node that the gateway may come to know.
type Node struct {
	ID      logic.NodeID
	Zone    int // below zero: not told
	Cell    int
	Address string // host:port
	NQN     string
	Rating  float64
	Bytes   int64 // it may hold; 0: not told. Only what is placed anew asks
}

// Directory is the discovery controller that tells which nodes are there; without an address the list of
// the settings stands.
type Directory struct {
	Address string
	Every   logic.Micros // it is asked anew at least so often
}

// Times are the caller's own; none of them is a decision about a request.
type Times struct {
	AnswerMargin logic.Micros // a request's patience ends so long before its class's deadline
	Connect      logic.Micros // a connection is set up within this, handshakes included
	KeepAlive    logic.Micros // keep-alive timeout told to nodes
	Drain        logic.Micros // on SIGTERM what is held has been answered by then
}

// Bounds are the sizes of what a gateway holds.
type Bounds struct {
	Depth      int   // commands out at a node, over all its I/O queues
	IOQueues   int   // connections to a node, without the admin queue
	Digests    bool  // ask for header and data digests
	Memory     int64 // data buffers of all volumes
	MostMemory int64 // mapped memory of one client
	MostBytes  int64 // data of one ring request
}

// State is where what was learned is kept; without a folder nothing is.
type State struct {
	Dir   string
	Every logic.Micros // how often it is written
}
