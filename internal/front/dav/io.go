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
	// objectBytes is the most an object holds of a file; also what a PUT holds of the client's data at a time, twice.
	objectBytes = 256 << 10
	// readBytes is what is read at a time for a GET, which holds that twice.
	readBytes = 128 << 10
)

// Backend is the engine, as files need it.
type Backend interface {
	Take(op *engine.Op)
	Gone(op *engine.Op)
	Acquire(ctx context.Context, volume int, n int64) (release func(n int64), err error)
	FreeSpace(volume int, at int64)
	Space(volume int) (free, used int64)
}

// OpError is an op that was not served.
type OpError struct {
	Verdict  block.Verdict
	CoolDown logic.Micros
	NoRoom   bool
	Limited  bool
}

func (e *OpError) Error() string {
	if e.NoRoom {
		return "dav: no room for the object"
	}
	return fmt.Sprintf("dav: the nodes' answer is %v", e.Verdict)
}

// call is an op on its way. It implements [engine.Front].
type call struct {
	op   *engine.Op
	done chan struct{}

	mu             sync.Mutex
	answered, gone bool
}

// Done implements [engine.Front].
func (c *call) Done(*engine.Op) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.gone {
		c.answered = true
		close(c.done)
	}
}

// Sending implements [engine.Front].
func (c *call) Sending(*engine.Op, logic.NodeID) {}

// start hands an op to the engine. The buffer is drawn from the volume's memory: a request waits for it, and so bounds
// itself.
func (t *tree) start(op *engine.Op) *call {
	c := &call{op: op, done: make(chan struct{})}
	op.Front = c
	t.back.Take(op)
	return c
}

// wait gives the op's end. Where ctx ends first the request is given up; then the op may not be touched any more.
func (c *call) wait(ctx context.Context, back Backend) error {
	select {
	case <-c.done:
	case <-ctx.Done():
		c.mu.Lock()
		given := !c.answered
		c.gone = given
		c.mu.Unlock()
		if given {
			back.Gone(c.op)
			return ctx.Err()
		}
	}
	if op := c.op; op.Verdict != block.Served {
		err := &OpError{op.Verdict, op.CoolDown, op.NoRoom, op.Limited}
		op.Release()
		return err
	}
	return nil
}

func (t *tree) newOp(ctx context.Context, k block.Kind, n int64) (*engine.Op, error) {
	release, err := t.back.Acquire(ctx, t.volume, n)
	if err != nil {
		return nil, err
	}
	op := engine.NewOp()
	op.Volume, op.Kind, op.Len = t.volume, k, n
	op.Buffer = block.NewBuffer(n, release)
	return op, nil
}

// sectors is a length rounded up to what a node reads and writes.
func (t *tree) sectors(n int64) int64 { return (n + t.block - 1) / t.block * t.block }

// ---- reading ----

// reader reads a file's bytes; it is an [io.ReadSeeker]. What it reads stays until it is closed, whatever becomes of the
// name. It reads one piece ahead. A piece is copied out of the volume's memory as soon as it is there: a client that takes
// its time holds its own two pieces and nothing that others wait for.
type reader struct {
	ctx  context.Context
	t    *tree
	e    *catalogue.Entry
	at   int64
	cur  []byte // what is left of the piece at hand
	have *piece
	next *piece
	err  error
}

// piece is a part of a file, there once done is closed.
type piece struct {
	from int64 // byte of the file
	buf  *[readBytes]byte
	data []byte
	err  error
	done chan struct{}
}

var pieceBuffers = sync.Pool{New: func() any { return new([readBytes]byte) }}

// begin starts to read the piece that begins at a byte of the file. Its goroutine ends with the op, at the latest when
// ctx does.
func (r *reader) begin(from int64) *piece {
	p := &piece{from: from, done: make(chan struct{})}
	go func() {
		defer close(p.done)
		p.err = r.fetch(p)
	}()
	return p
}

func (r *reader) fetch(p *piece) error {
	off := p.from
	for _, o := range r.e.Objects {
		if off >= o.Len {
			off -= o.Len
			continue
		}
		first := off / r.t.block * r.t.block
		skip := off - first
		n := min(o.Len-off, readBytes-skip)
		op, err := r.t.newOp(r.ctx, block.Read, r.t.sectors(skip+n))
		if err != nil {
			return err
		}
		op.Offset = o.At + first
		if err := r.t.start(op).wait(r.ctx, r.t.back); err != nil {
			return err
		}
		p.buf = pieceBuffers.Get().(*[readBytes]byte)
		op.Each(func(at int64, data []byte) { copy(p.buf[at:], data) })
		op.Release()
		p.data = p.buf[skip : skip+n]
		return nil
	}
	return io.ErrUnexpectedEOF // the entry says that there is more
}

// drop waits for a piece and gives its buffer back.
func (p *piece) drop() {
	if p == nil {
		return
	}
	<-p.done
	if p.buf != nil {
		pieceBuffers.Put(p.buf)
		p.buf, p.data = nil, nil
	}
}

func (r *reader) drop() {
	r.have.drop()
	r.have, r.cur = nil, nil
}

// Read implements [io.Reader].
func (r *reader) Read(b []byte) (int, error) {
	if r.err != nil {
		return 0, r.err
	}
	if len(r.cur) == 0 {
		r.drop()
		if r.at >= r.e.Size {
			return 0, io.EOF
		}
		p := r.next
		if r.next = nil; p != nil && p.from != r.at {
			p.drop()
			p = nil
		}
		if p == nil {
			p = r.begin(r.at)
		}
		<-p.done
		if r.have, r.err = p, p.err; r.err != nil {
			return 0, r.err
		}
		r.cur = p.data
		if end := r.at + int64(len(r.cur)); end < r.e.Size {
			r.next = r.begin(end)
		}
	}
	n := copy(b, r.cur)
	r.cur, r.at = r.cur[n:], r.at+int64(n)
	return n, nil
}

// Seek implements [io.Seeker].
func (r *reader) Seek(offset int64, whence int) (int64, error) {
	switch whence {
	case io.SeekCurrent:
		offset += r.at
	case io.SeekEnd:
		offset += r.e.Size
	}
	if offset < 0 {
		return 0, errors.New("dav: seek before the beginning")
	}
	if offset != r.at {
		r.drop()
	}
	r.at = offset
	return offset, nil
}

// Close lets go of the file; ctx must have ended, or what is read ahead is waited for.
func (r *reader) Close() {
	r.drop()
	r.next.drop()
	r.t.let(r.e)
}

// ---- writing ----

// write brings a body to the nodes as new objects, two on their way at a time. Without error all are on stable storage.
// With one none is left.
func (t *tree) write(ctx context.Context, body io.Reader, want int64, got func()) (objects []catalogue.Object, size int64, err error) {
	type out struct {
		call *call
		len  int64
	}
	var waiting []out
	finish := func() error {
		w := waiting[0]
		waiting = waiting[1:]
		if err := w.call.wait(ctx, t.back); err != nil {
			return err
		}
		objects = append(objects, catalogue.Object{At: w.call.op.Offset, Len: w.len})
		w.call.op.Release()
		return nil
	}
	data := make([]byte, min(objectBytes, max(want, 1)))
	if want < 0 {
		data = make([]byte, objectBytes)
	}
	for err == nil {
		n, rerr := io.ReadFull(body, data)
		got()
		if n > 0 {
			size += int64(n)
			var op *engine.Op
			if op, err = t.newOp(ctx, block.Write, t.sectors(int64(n))); err != nil {
				break
			}
			clear(op.Buffer.B[copy(op.Buffer.B, data[:n]):])
			op.Fresh, op.Durable = true, true
			waiting = append(waiting, out{t.start(op), int64(n)})
			if len(waiting) > 1 {
				err = finish()
			}
		}
		if rerr != nil {
			if rerr != io.EOF && rerr != io.ErrUnexpectedEOF {
				err = errors.Join(err, &bodyError{rerr})
			}
			break
		}
	}
	for len(waiting) > 0 {
		err = errors.Join(err, finish())
	}
	if err == nil && want >= 0 && size != want {
		err = &bodyError{io.ErrUnexpectedEOF}
	}
	if err != nil {
		t.free([]catalogue.Freed{{Objects: objects}})
		return nil, 0, err
	}
	return objects, size, nil
}

// bodyError is a client that did not send what it had promised.
type bodyError struct{ err error }

func (e *bodyError) Error() string { return "dav: body: " + e.err.Error() }
func (e *bodyError) Unwrap() error { return e.err }
