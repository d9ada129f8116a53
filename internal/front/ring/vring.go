package ring

import (
	"context"
	"errors"
	"fmt"
	"os"
	"runtime/debug"
	"sync"
	"time"

	"appleplank/internal/block"
	"appleplank/internal/engine"
	"appleplank/logic"
	"appleplank/recall"

	"golang.org/x/sys/unix"
)

// vring is one queue of a client: what the front-end has told of it and, while it runs, two goroutines, one that
// takes requests when kicked and one that writes answers. The session's goroutine owns all fields but those below mu.
type vring struct {
	s       *session
	index   int
	num     uint16
	descAt  uint64
	availAt uint64
	usedAt  uint64
	placed  bool // addresses were told
	base    uint16
	enabled bool
	started bool // kicked once since it was last stopped
	kick    *os.File
	polled  bool // the front-end gave no kick descriptor
	call    int  // below zero: none
	errFD   int

	run *running // nil: does not run
}

// running is one life of a ring, from its start until everything taken was answered.
type running struct {
	v      *vring
	q      virtqueue
	cancel context.CancelFunc
	ctx    context.Context
	taker  chan struct{} // closed when the taking goroutine has ended
	writer chan struct{} // and the answering one
	buf    chain
	track  *tracker // nil: the client keeps no region
	resume []found  // what an earlier process had taken

	mu       sync.Mutex
	requests []request // by head
	out      int
	owed     int // of the server's
	done     []*engine.Op
	stopping bool // nothing is taken any more
	gone     bool // the client has left: answers are dropped
	wake     chan struct{}
}

// start begins a ring that has all it needs. It takes nothing before the first kick.
func (v *vring) start() error {
	if v.run != nil || !v.placed || v.num == 0 || v.kick == nil && !v.polled || !v.enabled {
		return nil
	}
	if v.kick != nil {
		v.kick.SetReadDeadline(time.Time{}) // a pause has set one
	}
	r := &running{v: v, taker: make(chan struct{}), writer: make(chan struct{}), requests: make([]request, v.num),
		wake: make(chan struct{}, 1)}
	if err := r.place(); err != nil {
		return err
	}
	if err := r.adopt(); err != nil {
		return err
	}
	r.ctx, r.cancel = context.WithCancel(v.s.ctx)
	v.run = r
	go r.take()
	go r.answer()
	return nil
}

// place finds the ring in the client's memory; also after the memory has changed.
func (r *running) place() (err error) {
	v, m := r.v, &r.v.s.memory
	defer func() {
		if err != nil {
			err = fmt.Errorf("queue %d: %w", v.index, err)
		}
	}()
	desc, avail, used := r.q.sizes(v.num)
	q := &r.q
	if q.desc, err = m.user(v.descAt, desc); err != nil {
		return err
	}
	if q.avail, err = m.user(v.availAt, avail); err != nil {
		return err
	}
	if q.used, err = m.user(v.usedAt, used); err != nil {
		return err
	}
	if v.descAt%16 != 0 || v.availAt%2 != 0 || v.usedAt%4 != 0 {
		return errors.New("ring addresses are not aligned")
	}
	if q.num == 0 {
		q.num = v.num
		q.lastAvail = v.base
		q.eventIdx = v.s.features&featEventIdx != 0
		q.indirect = v.s.features&featIndirect != 0
		defer fault(&err)
		q.usedIdx = load16(q.used[2:])
		q.signalled = q.usedIdx
	}
	return nil
}

// adopt finds what an earlier process had taken from this ring, where the client kept a region for it.
func (r *running) adopt() (err error) {
	defer fault(&err) // a region that is not ours may be cut short
	s := r.v.s
	if err := s.ownInflight(); err != nil {
		return err
	}
	if !s.inflight.client && int(r.v.num) > s.inflight.entries {
		return nil
	}
	if r.track, err = s.inflight.track(r.v.index, r.v.num); err != nil {
		return err
	}
	if r.resume, err = r.track.recover(r.v.num, r.q.usedIdx, bootNow()); err != nil {
		return err
	}
	// Whatever was taken is either answered or in the region, so this is where the taking goes on. A region of ours that
	// has nothing knows no better than the client where its ring stands.
	if len(r.resume) == 0 && !s.inflight.client {
		return nil
	}
	r.q.lastAvail = r.q.usedIdx + uint16(len(r.resume))
	return nil
}

// bootNow is the boot's clock, which goes on over processes.
func bootNow() logic.Micros {
	var t unix.Timespec
	unix.ClockGettime(unix.CLOCK_BOOTTIME, &t)
	return logic.Micros(t.Nano() / 1000)
}

// halt ends the taking; answers go on.
func (v *vring) halt() {
	r := v.run
	r.cancel()
	if v.kick != nil {
		v.kick.SetReadDeadline(time.Unix(1, 0))
	}
	<-r.taker
	r.mu.Lock()
	r.stopping = true
	r.mu.Unlock()
	r.nudge()
}

// stop ends the taking, lets everything that was taken be answered, and gives the index of the next entry to take.
// Answers come by their deadlines, so it ends.
func (v *vring) stop() uint16 {
	if v.run == nil {
		return v.base
	}
	v.halt()
	return v.end()
}

// settle ends a halted ring that is to go on elsewhere. What is not answered by the given time is given up here, and
// stands in the region; where there is none it is waited for.
func (v *vring) settle(until time.Time) {
	r := v.run
	if r.track != nil {
		t := time.AfterFunc(time.Until(until), func() {
			r.mu.Lock()
			if !r.binding() {
				r.gone = true
			}
			r.mu.Unlock()
			r.nudge()
		})
		defer t.Stop()
	}
	v.end()
}

// binding tells whether something is out that only this process can answer. The caller holds mu.
func (r *running) binding() bool {
	for i := range r.requests {
		if q := &r.requests[i]; q.busy && q.op != nil && recall.MustFinish(&r.v.s.server.cfg.Logic.Classes[q.class], q.sent) {
			return true
		}
	}
	return false
}

// end waits until everything is answered or given up.
func (v *vring) end() uint16 {
	r := v.run
	<-r.writer
	v.base = r.q.lastAvail
	v.run = nil
	v.s.server.owed.Add(int64(-r.owed)) // what a client that left will not be told
	if r.gone {                         // nobody else changes it now
		for i := range r.requests {
			if q := &r.requests[i]; q.busy && q.op != nil {
				v.s.server.engine.Gone(q.op)
				q.op = nil
			}
		}
	}
	return v.base
}

// leave ends a ring whose client is gone: what it asked for is given up, and nothing of its memory is touched
// afterwards.
func (v *vring) leave() {
	if r := v.run; r != nil {
		r.mu.Lock()
		r.gone = true
		r.mu.Unlock()
		v.stop()
	}
	if v.kick != nil {
		v.kick.Close()
		v.kick = nil
	}
}

func (r *running) nudge() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// ---- taking ----

func (r *running) take() {
	defer close(r.taker)
	debug.SetPanicOnFault(true)
	v := r.v
	var word [8]byte
	for _, x := range r.resume {
		if err := r.again(x); err != nil {
			if r.ctx.Err() == nil {
				v.s.fail(fmt.Errorf("queue %d: taking up after a restart: %w", v.index, err))
			}
			return
		}
	}
	for first := true; ; first = false {
		if !(first && v.started) {
			var err error
			if v.kick != nil {
				_, err = v.kick.Read(word[:])
			} else if !pause(r.ctx, 500*time.Microsecond) {
				err = r.ctx.Err()
			}
			if err == nil {
				v.started = true // also where the ring is halted now: the kick is gone, and the next life must look by itself
			}
			if r.ctx.Err() != nil {
				return
			}
			if err != nil {
				v.s.fail(fmt.Errorf("queue %d: kick: %w", v.index, err))
				return
			}
		}
		if first {
			if err := v.s.settled(r.ctx); err != nil {
				return // what else was told of the ring has ended this life of it, or the client is gone
			}
		}
		for more := true; more; {
			for {
				if v.s.draining.Load() { // nothing more is taken in this gateway's life
					<-r.ctx.Done()
					return
				}
				got, err := r.next()
				if err != nil {
					if r.ctx.Err() == nil {
						v.s.signal(&v.errFD)
						v.s.fail(fmt.Errorf("queue %d: %w", v.index, err))
					}
					return
				}
				if !got {
					break
				}
			}
			var err error
			if more, err = r.askForKick(); err != nil && r.ctx.Err() == nil {
				v.s.fail(fmt.Errorf("queue %d: %w", v.index, err))
			}
			if err != nil {
				return
			}
		}
	}
}

func pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

func (r *running) askForKick() (more bool, err error) {
	defer fault(&err)
	if err := r.v.s.touch(); err != nil {
		return false, err
	}
	defer r.v.s.memMu.RUnlock()
	return r.q.askForKick()
}

// next takes one request off the ring and hands it over; false where none waits.
func (r *running) next() (got bool, err error) {
	head, p, err := r.peek()
	if err != nil || !p.some {
		return false, err
	}
	if p.done || p.id {
		if err := r.own(head, nil, false, true); err != nil {
			return false, err
		}
		r.answerNow(head, p.status, p.id)
		return true, nil
	}
	op, err := r.make(head, &p.parsed)
	if err != nil {
		return false, err
	}
	if err := r.own(head, op, p.advice, true); err != nil {
		op.Release()
		op.Release()
		return false, err
	}
	r.v.s.server.engine.Take(op)
	return true, nil
}

// again takes up a request that an earlier process had taken, as package recall decides.
func (r *running) again(x found) error {
	p, err := r.look(x.head)
	if err != nil {
		return err
	}
	s := r.v.s
	if p.done || p.id {
		if err := r.own(x.head, nil, false, false); err != nil {
			return err
		}
		r.answerNow(x.head, p.status, p.id)
		return nil
	}
	class, _ := s.dev.Class(p.kind, p.len)
	x.taken.SameGroup = s.server.sameGroup(class, s.dev, &p.parsed, logic.NodeID(x.node))
	fate, left := recall.Resume(&s.server.cfg.Logic.Classes[class], x.taken)
	if fate != recall.Retry {
		verdict := block.Refused
		if fate == recall.Fail {
			verdict = block.Failed
		}
		op := engine.NewOp()
		op.Kind, op.Len, op.Front, op.Tag, op.Verdict = p.kind, p.len, r, uint64(x.head), verdict
		if err := r.own(x.head, op, p.advice, false); err != nil {
			op.Release()
			op.Release()
			return err
		}
		op.Release() // the engine's hold: it never sees it
		r.Done(op)
		return nil
	}
	op, err := r.make(x.head, &p.parsed)
	if err != nil {
		return err
	}
	op.Key, op.Left, op.Ran = x.key, left, x.taken.Sent || !x.taken.Known
	if err := r.own(x.head, op, p.advice, false); err != nil {
		op.Release()
		op.Release()
		return err
	}
	s.server.engine.Take(op)
	return nil
}

// make makes the op of a request, with its buffer, and for a write what is in it.
func (r *running) make(head uint16, p *parsed) (*engine.Op, error) {
	s := r.v.s
	op := engine.NewOp()
	op.Volume, op.Kind, op.Offset, op.Len, op.Front, op.Tag = s.dev.index, p.kind, p.offset, p.len, r, uint64(head)
	op.Durable = p.kind.Changes() && s.features&featFlush == 0 // a client that cannot flush is promised stable storage
	if p.kind == block.Read || p.kind == block.Write {
		// The bound on a volume's buffers: taking waits, and the client's ring fills up behind it.
		memory := s.server.engine.Memory(s.dev.index)
		if err := memory.Acquire(r.ctx, op.Len); err != nil {
			op.Release()
			op.Release()
			return nil, err
		}
		op.Buffer = block.NewBuffer(op.Len, memory.Release)
	}
	if p.kind == block.Write {
		if err := r.copyOut(op.Buffer.B); err != nil {
			op.Release()
			op.Release()
			return nil, err
		}
	}
	return op, nil
}

// own notes that a chain is ours until it is answered, and unless an earlier process has, counts it as taken.
func (r *running) own(head uint16, op *engine.Op, advice, fresh bool) (err error) {
	defer fault(&err)
	if fresh && r.track != nil {
		key := r.track.take(head, bootNow())
		if op != nil {
			op.Key = key
		}
	}
	r.mu.Lock()
	q := &r.requests[head]
	q.op, q.head, q.busy, q.advice, q.sent = op, head, true, advice, false
	q.in, q.inLen = append(q.in[:0], r.buf.in...), r.buf.inLen
	r.out++
	r.owed++
	r.v.s.server.owed.Add(1)
	r.mu.Unlock()
	if fresh {
		r.q.lastAvail++
	}
	return nil
}

type peeked struct {
	parsed
	some bool
}

// peek reads the next request without taking it.
func (r *running) peek() (head uint16, p peeked, err error) {
	defer fault(&err)
	s := r.v.s
	if err := s.touch(); err != nil {
		return 0, p, err
	}
	defer s.memMu.RUnlock()
	n, err := r.q.waiting()
	if err != nil || n == 0 {
		return 0, p, err
	}
	if head, err = r.q.head(); err != nil {
		return 0, p, err
	}
	p, err = r.readChain(head)
	return head, p, err
}

// look reads the chain at a head that is not in the avail ring any more.
func (r *running) look(head uint16) (p peeked, err error) {
	defer fault(&err)
	if err := r.v.s.touch(); err != nil {
		return p, err
	}
	defer r.v.s.memMu.RUnlock()
	return r.readChain(head)
}

// readChain reads a chain and what it asks for. The client's memory is read-locked.
func (r *running) readChain(head uint16) (p peeked, err error) {
	r.mu.Lock()
	busy := r.requests[head].busy
	r.mu.Unlock()
	if busy {
		return p, fmt.Errorf("descriptor %d is published again before it was answered", head)
	}
	s := r.v.s
	if err = r.q.read(&s.memory, head, &r.buf); err != nil {
		return p, err
	}
	p.some = true
	p.parsed, err = s.dev.parse(&s.memory, &r.buf)
	return p, err
}

func (r *running) copyOut(dst []byte) (err error) {
	defer fault(&err)
	s := r.v.s
	if err := s.touch(); err != nil {
		return err
	}
	defer s.memMu.RUnlock()
	return s.memory.copyOut(dst, r.buf.out, blkHeader)
}

// answerNow answers what needs no node.
func (r *running) answerNow(head uint16, status uint8, id bool) {
	op := engine.NewOp() // carries status and head to the answering goroutine; the engine never sees it
	op.Tag = uint64(head) | uint64(status)<<40
	if id {
		op.Tag |= 1 << 33
	}
	r.mu.Lock()
	r.done = append(r.done, op)
	r.mu.Unlock()
	r.nudge()
}

// ---- answering ----

// Done implements [engine.Front].
func (r *running) Done(op *engine.Op) {
	r.mu.Lock()
	if q := &r.requests[uint16(op.Tag)]; r.gone || !q.busy || q.op != op {
		r.mu.Unlock()
		return // Gone passes the hold on
	} else {
		q.op = nil
	}
	r.done = append(r.done, op)
	r.mu.Unlock()
	r.nudge()
}

// Sending implements [engine.Front].
func (r *running) Sending(op *engine.Op, node logic.NodeID) {
	if r.track != nil && r.track.f.ours {
		r.mu.Lock()
		if q := &r.requests[uint16(op.Tag)]; !r.gone && q.busy && q.op == op {
			q.sent, q.class = true, op.Class
			r.track.sending(q.head, bootNow(), node)
		}
		r.mu.Unlock()
	}
}

func (r *running) answer() {
	defer close(r.writer)
	debug.SetPanicOnFault(true)
	var batch []*engine.Op
	for {
		r.mu.Lock()
		batch, r.done = r.done, batch[:0]
		over := len(batch) == 0 && (r.stopping && r.out == 0 || r.gone)
		r.mu.Unlock()
		if over {
			return
		}
		if len(batch) == 0 {
			<-r.wake
			continue
		}
		call, err := r.writeAll(batch)
		for i, op := range batch {
			if op.Front == nil {
				op.Release() // one of ours, which the engine never held
			}
			op.Release()
			batch[i] = nil
		}
		if err != nil {
			// No answer can reach this client any more.
			r.mu.Lock()
			r.gone = true
			r.mu.Unlock()
			r.v.s.fail(fmt.Errorf("queue %d: %w", r.v.index, err))
			continue
		}
		if call {
			r.v.s.signal(&r.v.call)
		}
	}
}

// writeAll writes answers and publishes them together.
func (r *running) writeAll(batch []*engine.Op) (call bool, err error) {
	defer fault(&err)
	s := r.v.s
	if err := s.touch(); err != nil {
		return false, err
	}
	defer s.memMu.RUnlock()
	for _, op := range batch {
		head := uint16(op.Tag)
		r.mu.Lock()
		q := &r.requests[head]
		gone := r.gone
		r.mu.Unlock()
		if gone {
			return false, nil
		}
		n, err := r.writeOne(&s.memory, q, op)
		if err != nil {
			return false, err
		}
		r.q.put(head, n)
		if r.track != nil {
			r.track.answered(head)
		}
		r.mu.Lock()
		q.busy, q.op = false, nil
		r.out--
		r.mu.Unlock()
	}
	call = r.q.publish()
	r.mu.Lock()
	r.owed -= len(batch)
	r.mu.Unlock()
	s.server.owed.Add(int64(-len(batch)))
	if r.track != nil {
		r.track.over(r.q.usedIdx)
	}
	return call, nil
}

// writeOne writes an answer; n is how many bytes from the first writable one on it has written.
func (r *running) writeOne(m *memory, q *request, op *engine.Op) (n uint32, err error) {
	status, room := uint8(statusOK), q.inLen-1
	all := uint32(min(q.inLen, 1<<32-1))
	at := uint64(0) // bytes written or cleared so far
	if op.Front == nil {
		// Answered without a node. A length that cannot be served is not cleared either: it may be the same page
		// a thousand times over.
		status = uint8(op.Tag >> 40)
		if op.Tag>>33&1 != 0 {
			var id [idLen]byte
			copy(id[:], r.v.s.dev.Serial)
			if err := m.copyIn(q.in, 0, id[:]); err != nil {
				return 0, err
			}
			at = idLen
		}
		if room-at <= uint64(r.v.s.dev.mostBytes) {
			err = m.zero(q.in, at, room-at)
		} else {
			all = uint32(at)
		}
	} else {
		if op.Verdict != block.Served {
			status = statusIOErr
		}
		switch {
		case op.Kind != block.Read:
			if room <= uint64(r.v.s.dev.mostBytes) {
				err = m.zero(q.in, 0, room) // none but for the advice, as a rule
			} else {
				all = 0
			}
		case status == statusOK:
			op.Each(func(at int64, data []byte) {
				if err == nil {
					err = m.copyIn(q.in, uint64(at), data)
				}
			})
		default:
			err = m.zero(q.in, 0, uint64(op.Len))
		}
		if err == nil && q.advice {
			b := advise(op)
			err = m.copyIn(q.in, room-AdviceLen, b[:])
		}
	}
	if err != nil {
		return 0, err
	}
	return all, m.copyIn(q.in, room, []byte{status})
}
