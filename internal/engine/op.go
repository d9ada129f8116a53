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

// Front is a source of requests. Its methods are called with the engine's lock held and must not block.
type Front interface {
	Done(op *Op) // op holds the one final answer
	// Sending reports that an attempt for op is about to start at a node.
	Sending(op *Op, node logic.NodeID)
}

// Op is a block request that a front has handed over. Front and engine hold one reference each and release it once.
type Op struct {
	Volume int // index in the settings
	Kind   block.Kind
	Offset int64 // byte offset in the volume
	Len    int64
	// Buffer holds Len bytes where the kind moves data: the data to write, or space for the data read. It is released
	// with the op.
	Buffer     *block.Buffer
	Durable    bool         // a change must be on stable storage before it is answered
	Key        uint64       // idempotency key by which nodes discard duplicates, also after a restart; 0: chosen here
	TimeLeft   logic.Micros // time left until the client's deadline; 0: the deadline of its class
	MayHaveRun bool         // an attempt of an earlier process may have run
	NewObject  bool         // a write of a new object; the engine sets Offset when it is served
	Front      Front
	Tag        uint64 // for the front's own use

	// The answer, valid from Done on.
	Verdict  block.Verdict
	CoolDown logic.Micros // refused: delay after which a retry may succeed; 0: no advice
	Class    int
	Took     logic.Micros
	NoSpace  bool // refused: no cell has space for the object
	Limited  bool // refused: the plan's limit is exceeded

	refs       atomic.Int32
	takenAt    logic.Micros
	unanswered int // number of parts without an answer
	unreleased int // number of parts not released
	answer     ranges.Answer
	hasAnswer  bool
	clientGone bool // the client has left
	answered   bool
	pieces     []*piece
	// Used with mirrored extents only.
	changes      []*change
	fill         *fill // set if the op catches up a copy; no front waits for it
	bufferOffset int64 // byte of Buffer at which the data to write begins
}

var opPool = sync.Pool{New: func() any { return new(Op) }}

// NewOp takes an op from the pool. Its two references belong to the front and to the engine.
func NewOp() *Op {
	op := opPool.Get().(*Op)
	op.refs.Store(2)
	return op
}

// Release drops one reference. The last one returns the op to the pool and releases its buffers.
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
	op.Volume, op.Kind, op.Offset, op.Len, op.Buffer, op.Durable, op.Key, op.TimeLeft, op.MayHaveRun, op.NewObject, op.Front, op.Tag = 0, 0, 0, 0, nil, false, 0, 0, false, false, nil, 0
	op.Verdict, op.CoolDown, op.Class, op.Took, op.NoSpace, op.Limited, op.takenAt = 0, 0, 0, 0, false, false, 0
	op.unanswered, op.unreleased, op.answer, op.hasAnswer, op.clientGone, op.answered = 0, 0, 0, false, false, false
	op.pieces = op.pieces[:0]
	clear(op.changes)
	op.changes, op.fill, op.bufferOffset = op.changes[:0], nil, 0
	opPool.Put(op)
}

// EachRead calls f with the data read, in order: the offset in the request and the data that begins there.
func (op *Op) EachRead(f func(at int64, data []byte)) {
	for _, p := range op.pieces {
		f(p.opOffset, p.result.B[p.resultOffset:p.resultOffset+p.len])
	}
}

// piece is the part of an op that lies in one extent. Package logic calls it a request.
type piece struct {
	id              logic.RequestID
	op              *Op
	volume          *volume
	extent          *settings.Extent
	place           *settings.Place // the copy that it goes to
	copyIndex       int             // index of that copy
	opOffset        int64           // offset in the op, in bytes
	len             int64
	units           float64
	deadline        logic.Micros
	ordered         bool
	held            bool // held back by the order of changes; logic does not know it yet
	answered        bool
	outstanding     int // attempts whose ends have not been reported to logic
	attempts        int
	opBufferUnused  bool // no attempt has used the op's own buffer yet
	runningUntil    logic.Micros
	result          *block.Buffer // data read, beginning at resultOffset
	resultOffset    int64
	keyNumber       int     // distinguishes its idempotency key from those of the op's other pieces
	budgetBytes     float64 // bytes of the crossing budget reserved for it; 0: it does not cross zones
	change          *change // set if it applies a change to one of several copies
	mirror          *mirror // set if it reads from one of several copies, chosen by route
	route           copies.Read
	object          *object // set if it writes a new object
	earlierAttempts int     // attempts made at copies that it went to earlier
	mayHaveRun      bool    // an attempt may have run
}

var piecePool = sync.Pool{New: func() any { return new(piece) }}
