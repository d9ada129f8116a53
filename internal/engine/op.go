package engine

import (
	"sync"
	"sync/atomic"

	"appleplank/copies"
	"appleplank/internal/block"
	"appleplank/internal/settings"
	"appleplank/logic"
	"appleplank/ranges"
)

// Front is where requests come from. Its methods are called while the engine's lock is held and must not wait.
type Front interface {
	Done(op *Op) // the one final answer stands in op
	// Sending says that an attempt for op is about to be begun at a node.
	Sending(op *Op, node logic.NodeID)
}

// Op is a block request from the time a front hands it over. Front and engine each hold it and let go once.
type Op struct {
	Volume int // index in the settings
	Kind   block.Kind
	Offset int64 // byte of the volume
	Len    int64
	// Buffer holds Len bytes where the kind moves data: what to write, or room for what is read. It goes with the op.
	Buffer  *block.Buffer
	Durable bool         // a change must be on stable storage before it is answered
	Key     uint64       // by which nodes drop repeats, also those of an earlier process; 0: the engine finds one
	Left    logic.Micros // patience that is left; 0: its class's deadline
	Ran     bool         // an attempt of an earlier process may have run
	Fresh   bool         // a write of a new object: where it lies is found, and stands in Offset when it is served
	Front   Front
	Tag     uint64 // the front's own

	// The answer, from Done on.
	Verdict  block.Verdict
	CoolDown logic.Micros // refused: when a retry has a chance; 0: no advice
	Class    int
	Took     logic.Micros
	NoRoom   bool // refused: no place has room for the object
	Limited  bool // refused: the plan's limit stands in the way

	refs   atomic.Int32
	taken  logic.Micros
	left   int // pieces without an answer
	alive  int // pieces not forgotten
	answer ranges.Answer
	joined bool
	gone   bool // the client has left
	over   bool // answered
	pieces []*piece
	// Of mirrored extents.
	changes []*change
	fill    *fill // it catches a copy up, and no front waits for it
	at      int64 // byte of Buffer at which what it writes begins
}

var opPool = sync.Pool{New: func() any { return new(Op) }}

// NewOp takes an op from the pool, held by the front and by the engine it will be given to.
func NewOp() *Op {
	op := opPool.Get().(*Op)
	op.refs.Store(2)
	return op
}

// Release lets go of an op for good; the last side returns it with its buffers.
func (op *Op) Release() {
	if op.refs.Add(-1) > 0 {
		return
	}
	for i, p := range op.pieces {
		p.result.Release()
		*p = piece{}
		piecePool.Put(p)
		op.pieces[i] = nil
	}
	op.Buffer.Release()
	op.Volume, op.Kind, op.Offset, op.Len, op.Buffer, op.Durable, op.Key, op.Left, op.Ran, op.Fresh, op.Front, op.Tag = 0, 0, 0, 0, nil, false, 0, 0, false, false, nil, 0
	op.Verdict, op.CoolDown, op.Class, op.Took, op.NoRoom, op.Limited, op.taken = 0, 0, 0, 0, false, false, 0
	op.left, op.alive, op.answer, op.joined, op.gone, op.over = 0, 0, 0, false, false, false
	op.pieces = op.pieces[:0]
	clear(op.changes)
	op.changes, op.fill, op.at = op.changes[:0], nil, 0
	opPool.Put(op)
}

// Each calls f with what was read, in order: a byte of the request and the data from there on.
func (op *Op) Each(f func(at int64, data []byte)) {
	for _, p := range op.pieces {
		f(p.from, p.result.B[p.at:p.at+p.len])
	}
}

// piece is what logic calls a request: a part of an op that lies in one extent.
type piece struct {
	id       logic.RequestID
	op       *Op
	vol      *volume
	extent   *settings.Extent
	place    *settings.Place // the copy it goes to
	copy     int             // and its number
	from     int64           // byte of the op
	len      int64
	units    float64
	dropDead logic.Micros
	ordered  bool
	held     bool // by ranges; logic has not seen it
	answered bool
	out      int // attempts not told to logic as ended
	tries    int
	fresh    bool // the op's own buffer was not read into yet
	rest     logic.Micros
	result   *block.Buffer // what was read, from at on
	at       int64
	number   int     // by which its key is set apart from those of its op's other pieces
	asked    float64 // bytes of the crossing budget it was let through with; 0: it does not cross
	change   *change // it brings a change to one of several copies
	set      *mirror // it reads from one of several copies, by way
	way      copies.Read
	object   *object // it writes a new object
	before   int     // attempts at copies it went to before
	ran      bool    // an attempt may have run
}

var piecePool = sync.Pool{New: func() any { return new(piece) }}
