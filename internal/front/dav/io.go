package dav

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"

	"appleplank/internal/block"
	"appleplank/internal/catalogue"
	"appleplank/internal/engine"
	"appleplank/logic"
)

const (
	// objectBytes is the maximum size of an object. A PUT buffers twice this much of the client's data at a time.
	objectBytes = 256 << 10
	// chunkBytes is the amount read at a time for a GET. A GET buffers up to two chunks.
	chunkBytes = 128 << 10
)

// Backend is the part of the engine that this package uses.
type Backend interface {
	Take(op *engine.Op)
	Gone(op *engine.Op)
	Acquire(ctx context.Context, volume int, n int64) (release func(n int64), err error)
	FreeSpace(volume int, at int64)
	Space(volume int) (free, used int64)
}

// OpError reports an op that the engine did not serve.
type OpError struct {
	Verdict  block.Verdict
	CoolDown logic.Micros
	NoSpace  bool
	Limited  bool
}

func (e *OpError) Error() string {
	if e.NoSpace {
		return "dav: no space for the object"
	}
	return fmt.Sprintf("dav: the op ended with verdict %v", e.Verdict)
}

// pendingOp is an op that was submitted to the engine. It implements [engine.Front].
type pendingOp struct {
	op   *engine.Op
	done chan struct{}

	mu                  sync.Mutex
	answered, abandoned bool
}

// Done implements [engine.Front].
func (c *pendingOp) Done(*engine.Op) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.abandoned {
		c.answered = true
		close(c.done)
	}
}

// Sending implements [engine.Front].
func (c *pendingOp) Sending(*engine.Op, logic.NodeID) {}

// submit passes an op to the engine. Its buffer comes from the volume's memory, which newOp waits for: this limits the
// ops that are outstanding.
func (t *tree) submit(op *engine.Op) *pendingOp {
	c := &pendingOp{op: op, done: make(chan struct{})}
	op.Front = c
	t.backend.Take(op)
	return c
}

// wait waits until the op is done and returns nil if it was served; the caller then releases it. If ctx ends first,
// wait abandons the op and returns the error of ctx. After any error the op must not be used any more.
func (c *pendingOp) wait(ctx context.Context, backend Backend) error {
	select {
	case <-c.done:
	case <-ctx.Done():
		c.mu.Lock()
		abandoned := !c.answered
		c.abandoned = abandoned
		c.mu.Unlock()
		if abandoned {
			backend.Gone(c.op)
			return ctx.Err()
		}
	}
	if op := c.op; op.Verdict != block.Served {
		err := &OpError{op.Verdict, op.CoolDown, op.NoSpace, op.Limited}
		op.Release()
		return err
	}
	return nil
}

// newOp returns an op with a buffer of n bytes. It waits until the volume's memory has them or ctx ends.
func (t *tree) newOp(ctx context.Context, k block.Kind, n int64) (*engine.Op, error) {
	release, err := t.backend.Acquire(ctx, t.volume, n)
	if err != nil {
		return nil, err
	}
	op := engine.NewOp()
	op.Volume, op.Kind, op.Len = t.volume, k, n
	op.Buffer = block.NewBuffer(n, release)
	return op, nil
}

// roundUp rounds a length up to a multiple of the volume's block size, the unit of reads and writes.
func (t *tree) roundUp(n int64) int64 { return (n + t.blockSize - 1) / t.blockSize * t.blockSize }

// ---- reading ----

// reader reads the content of a file and implements [io.ReadSeeker]. The objects stay allocated until Close, even if
// the file is deleted or replaced. It reads one chunk ahead. Each chunk is copied out of the volume's memory on
// arrival, so that a slow client occupies two chunk buffers and none of the memory that other requests wait for.
type reader struct {
	ctx     context.Context
	tree    *tree
	entry   *catalogue.Entry
	offset  int64
	unread  []byte // unread part of the current chunk
	current *chunk
	ahead   *chunk
	err     error
}

// chunk is a part of a file. Its data and err are valid once done is closed.
type chunk struct {
	offset int64 // in the file
	buf    *[chunkBytes]byte
	data   []byte
	err    error
	done   chan struct{}
}

var chunkBuffers = sync.Pool{New: func() any { return new([chunkBytes]byte) }}

// startChunk starts reading the chunk at an offset of the file. Its goroutine ends when the op is done, or when ctx
// ends.
func (r *reader) startChunk(offset int64) *chunk {
	p := &chunk{offset: offset, done: make(chan struct{})}
	go func() {
		defer close(p.done)
		p.err = r.fetchChunk(p)
	}()
	return p
}

// fetchChunk reads the data of a chunk, which does not extend beyond the end of an object.
func (r *reader) fetchChunk(p *chunk) error {
	offset := p.offset
	for _, o := range r.entry.Objects {
		if offset >= o.Len {
			offset -= o.Len
			continue
		}
		first := offset / r.tree.blockSize * r.tree.blockSize
		skip := offset - first
		n := min(o.Len-offset, chunkBytes-skip)
		op, err := r.tree.newOp(r.ctx, block.Read, r.tree.roundUp(skip+n))
		if err != nil {
			return err
		}
		op.Offset = o.At + first
		if err := r.tree.submit(op).wait(r.ctx, r.tree.backend); err != nil {
			return err
		}
		p.buf = chunkBuffers.Get().(*[chunkBytes]byte)
		op.EachRead(func(at int64, data []byte) { copy(p.buf[at:], data) })
		op.Release()
		p.data = p.buf[skip : skip+n]
		return nil
	}
	return io.ErrUnexpectedEOF // the objects are shorter than the size of the entry
}

// release waits until a chunk is read and returns its buffer to the pool.
func (p *chunk) release() {
	if p == nil {
		return
	}
	<-p.done
	if p.buf != nil {
		chunkBuffers.Put(p.buf)
		p.buf, p.data = nil, nil
	}
}

// releaseCurrent releases the current chunk.
func (r *reader) releaseCurrent() {
	r.current.release()
	r.current, r.unread = nil, nil
}

// Read implements [io.Reader].
func (r *reader) Read(b []byte) (int, error) {
	if r.err != nil {
		return 0, r.err
	}
	if len(r.unread) == 0 {
		r.releaseCurrent()
		if r.offset >= r.entry.Size {
			return 0, io.EOF
		}
		p := r.ahead
		if r.ahead = nil; p != nil && p.offset != r.offset {
			p.release()
			p = nil
		}
		if p == nil {
			p = r.startChunk(r.offset)
		}
		<-p.done
		if r.current, r.err = p, p.err; r.err != nil {
			return 0, r.err
		}
		r.unread = p.data
		if end := r.offset + int64(len(r.unread)); end < r.entry.Size {
			r.ahead = r.startChunk(end)
		}
	}
	n := copy(b, r.unread)
	r.unread, r.offset = r.unread[n:], r.offset+int64(n)
	return n, nil
}

// Seek implements [io.Seeker].
func (r *reader) Seek(offset int64, whence int) (int64, error) {
	switch whence {
	case io.SeekCurrent:
		offset += r.offset
	case io.SeekEnd:
		offset += r.entry.Size
	}
	if offset < 0 {
		return 0, errors.New("dav: seek before the beginning")
	}
	if offset != r.offset {
		r.releaseCurrent()
	}
	r.offset = offset
	return offset, nil
}

// Close releases the file and the buffers. Unless ctx has ended, it waits for the chunk that is read ahead.
func (r *reader) Close() {
	r.releaseCurrent()
	r.ahead.release()
	r.tree.release(r.entry)
}

// ---- writing ----

// write writes a body to new objects on the nodes, with up to two writes in flight. length is the expected size,
// negative if unknown; onRead is called after each read of the body. On success all objects are on stable storage; on
// an error none remains.
func (t *tree) write(ctx context.Context, body io.Reader, length int64, onRead func()) (objects []catalogue.Object, size int64, err error) {
	type pendingWrite struct {
		call *pendingOp
		len  int64
	}
	var pending []pendingWrite
	awaitFirst := func() error {
		first := pending[0]
		pending = pending[1:]
		if err := first.call.wait(ctx, t.backend); err != nil {
			return err
		}
		objects = append(objects, catalogue.Object{At: first.call.op.Offset, Len: first.len})
		first.call.op.Release()
		return nil
	}
	data := make([]byte, min(objectBytes, max(length, 1)))
	if length < 0 {
		data = make([]byte, objectBytes)
	}
	for err == nil {
		n, readErr := io.ReadFull(body, data)
		onRead()
		if n > 0 {
			size += int64(n)
			var op *engine.Op
			if op, err = t.newOp(ctx, block.Write, t.roundUp(int64(n))); err != nil {
				break
			}
			clear(op.Buffer.B[copy(op.Buffer.B, data[:n]):])
			op.NewObject, op.Durable = true, true
			pending = append(pending, pendingWrite{t.submit(op), int64(n)})
			if len(pending) > 1 {
				err = awaitFirst()
			}
		}
		if readErr != nil {
			if readErr != io.EOF && readErr != io.ErrUnexpectedEOF {
				err = errors.Join(err, &bodyError{readErr})
			}
			break
		}
	}
	for len(pending) > 0 {
		err = errors.Join(err, awaitFirst())
	}
	if err == nil && length >= 0 && size != length {
		err = &bodyError{io.ErrUnexpectedEOF}
	}
	if err != nil {
		t.freeObjects([]catalogue.Freed{{Objects: objects}})
		return nil, 0, err
	}
	return objects, size, nil
}

// bodyError reports that a request's body could not be read or did not have the announced length.
type bodyError struct{ err error }

func (e *bodyError) Error() string { return "dav: body: " + e.err.Error() }
func (e *bodyError) Unwrap() error { return e.err }
