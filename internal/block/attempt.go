package block

import (
	"math/bits"
	"sync"
	"sync/atomic"

	"appleplank/logic"
)

// Attempt is one attempt of a request, or of a part of one, at one node. The caller of Back.Start sets all fields but
// Handle. The back owns the attempt from Start until it has reported its end, exactly once, even if the attempt was
// dropped.
type Attempt struct {
	Node         logic.NodeID
	Kind         Kind
	Namespace    uint32
	Offset       int64   // in bytes, from the start of the namespace
	Len          int64   // in bytes; 0 for Flush
	Buffer       *Buffer // Write: the data, from BufferOffset on; Read: the destination
	BufferOffset int64
	Key          uint64 // identifies the request to nodes that can drop repeats
	Durable      bool   // a change must be on stable storage before it is answered

	Owner  any // set by the caller of Back.Start
	Handle any // owned by the back; kept when the attempt is started again
}

// Bytes returns the part of the buffer that belongs to the attempt.
func (a *Attempt) Bytes() []byte {
	if a.Buffer == nil {
		return nil
	}
	return a.Buffer.B[a.BufferOffset : a.BufferOffset+a.Len]
}

// Result is how an attempt ended, in the terms of package logic.
type Result struct {
	Outcome           logic.Outcome
	Load              logic.Load
	BytesOut, BytesIn int64 // sent and received on the connection for this attempt, headers included
	BytesElsewhere    int64 // bytes the node has served for the namespace to other hosts since its last answer here
}

// Back carries out attempts. Neither method blocks.
type Back interface {
	// Start begins an attempt. Its end is reported to the sink of the back, perhaps before Start returns.
	Start(a *Attempt)
	// Drop tells the back that the result is no longer needed. The end of the attempt is still reported, once the back
	// has released everything that belongs to it.
	Drop(a *Attempt)
}

// Sink receives the ends of attempts.
type Sink interface {
	AttemptEnded(a *Attempt, r Result)
}

// Buffer is a reference-counted block of memory for data in transit. Rings, engine and connections share it without
// copying; the last Release returns it to its pool.
type Buffer struct {
	B         []byte
	refs      atomic.Int32
	class     int
	onRelease func(bytes int64)
}

// minBufferBits is the binary logarithm of the smallest pooled buffer: pooled sizes are powers of two from 4 KiB up.
const minBufferBits = 12

var pools [20]sync.Pool

// NewBuffer returns a buffer of n bytes with one reference and undefined content. If onRelease is not nil, it is called
// with n after the last Release; this is how callers bound memory.
func NewBuffer(n int64, onRelease func(bytes int64)) *Buffer {
	class := max(bits.Len64(uint64(max(n, 1)-1))-minBufferBits, 0)
	var b *Buffer
	if class < len(pools) {
		b, _ = pools[class].Get().(*Buffer)
	}
	if b == nil {
		b = &Buffer{B: make([]byte, 1<<(minBufferBits+class)), class: class}
	}
	b.B, b.onRelease = b.B[:n], onRelease
	b.refs.Store(1)
	return b
}

// Hold adds a reference and returns b.
func (b *Buffer) Hold() *Buffer {
	if b != nil && b.refs.Add(1) <= 1 {
		panic("block: Hold of a buffer after its last Release")
	}
	return b
}

// Release drops a reference.
func (b *Buffer) Release() {
	if b == nil {
		return
	}
	switch n := b.refs.Add(-1); {
	case n < 0:
		panic("block: Release of a buffer without references")
	case n > 0:
		return
	}
	onRelease, n := b.onRelease, int64(len(b.B))
	b.onRelease = nil
	if b.class < len(pools) {
		b.B = b.B[:cap(b.B)]
		pools[b.class].Put(b)
	}
	if onRelease != nil {
		onRelease(n)
	}
}
