package block

import (
	"math/bits"
	"sync"
	"sync/atomic"

	"appleplank/logic"
)

// Attempt is one try of a request, or of a piece of one, at one node. Whoever starts it sets the first part;
// the back keeps it from Start until it has told its end, exactly once, also where it was dropped before.
type Attempt struct {
	Node      logic.NodeID
	Kind      Kind
	Namespace uint32
	Offset    int64   // byte of the namespace
	Len       int64   // bytes; 0 for Flush
	Buffer    *Buffer // Write: what to write, from At on; Read: where to read to
	At        int64
	Key       uint64 // by which nodes that can drop repeats do
	Durable   bool   // a change must be on stable storage before it is answered

	Owner  any // whoever started it
	Handle any // the back's own; it stays with the attempt when that is started anew
}

// Bytes are the attempt's part of its buffer.
func (a *Attempt) Bytes() []byte {
	if a.Buffer == nil {
		return nil
	}
	return a.Buffer.B[a.At : a.At+a.Len]
}

// Result is how an attempt ended, in logic's words.
type Result struct {
	Outcome   logic.Outcome
	Load      logic.Load
	Out, In   int64 // bytes of the connection that were the attempt's, headers included
	Elsewhere int64 // bytes the node served for the namespace through other hosts since its last answer here
}

// Back carries attempts out. Neither method waits for anything.
type Back interface {
	// Start begins an attempt; its end goes to the sink the back was made with, perhaps before Start returns.
	Start(a *Attempt)
	// Drop says that nobody waits for the attempt any more. Its end is still told, once nothing of it is left.
	Drop(a *Attempt)
}

// Sink hears of the ends of attempts.
type Sink interface {
	AttemptEnded(a *Attempt, r Result)
}

// Buffer is a block of memory for data on its way, counted by those who hold it. Rings, engine and connections
// share it without copying; when the last lets go it returns to its pool.
type Buffer struct {
	B     []byte
	refs  atomic.Int32
	class int
	gone  func(bytes int64)
}

// Sizes of pooled buffers are powers of two from 4 KiB up.
const leastBuffer = 12

var pools [20]sync.Pool

// NewBuffer takes a buffer of n bytes with one holder. Its content is undefined. Gone, where given, is told its
// bytes when the last holder lets go; it is what bounds memory.
func NewBuffer(n int64, gone func(bytes int64)) *Buffer {
	class := max(bits.Len64(uint64(max(n, 1)-1))-leastBuffer, 0)
	var b *Buffer
	if class < len(pools) {
		b, _ = pools[class].Get().(*Buffer)
	}
	if b == nil {
		b = &Buffer{B: make([]byte, 1<<(leastBuffer+class)), class: class}
	}
	b.B, b.gone = b.B[:n], gone
	b.refs.Store(1)
	return b
}

// Hold adds a holder.
func (b *Buffer) Hold() *Buffer {
	if b != nil && b.refs.Add(1) <= 1 {
		panic("block: a buffer is held again after the last let go")
	}
	return b
}

// Release takes a holder away.
func (b *Buffer) Release() {
	if b == nil {
		return
	}
	switch n := b.refs.Add(-1); {
	case n < 0:
		panic("block: a buffer is let go more often than it was held")
	case n > 0:
		return
	}
	gone, n := b.gone, int64(len(b.B))
	b.gone = nil
	if b.class < len(pools) {
		b.B = b.B[:cap(b.B)]
		pools[b.class].Put(b)
	}
	if gone != nil {
		gone(n)
	}
}
