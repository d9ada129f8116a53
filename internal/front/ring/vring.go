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

// vring is one queue of a client: its configuration by the front-end and, while it runs, two goroutines, one that takes
// requests after kicks and one that writes answers. The goroutine of the session owns the fields; while the ring runs,
// the goroutine that takes requests sets kicked.
type vring struct {
	session      *session
	index        int
	num          uint16
	descAt       uint64
	availAt      uint64
	usedAt       uint64
	hasAddresses bool // SET_VRING_ADDR was received
	base         uint16
	enabled      bool
	kicked       bool // since the ring was last stopped
	kick         *os.File
	polled       bool // the front-end gave no kick descriptor
	callFD       int  // -1 if there is none
	errFD        int

	run *ringRun // nil while the ring is stopped
}

// ringRun is one run of a ring, from its start until everything taken was answered. Its mutex guards the fields below
// it, except wake.
type ringRun struct {
	v          *vring
	q          virtqueue
	cancel     context.CancelFunc
	ctx        context.Context
	takerDone  chan struct{} // closed when the goroutine that takes requests has ended
	writerDone chan struct{} // closed when the goroutine that writes answers has ended
	scratch    chain
	tracker    *tracker           // nil if the ring does not fit the inflight region
	recovered  []recoveredRequest // requests that an earlier process had taken

	mu          sync.Mutex
	requests    []request // by descriptor head
	outstanding int
	unanswered  int // share of this run in the counter of the server
	completed   []*engine.Op
	stopping    bool // no more requests are taken
	abandoned   bool // answers are dropped: the client has left, or the process that takes over will answer
	wake        chan struct{}
}

// start starts a ring that has all it needs. It takes no request before the first kick.
func (v *vring) start() error {
	if v.run != nil || !v.hasAddresses || v.num == 0 || v.kick == nil && !v.polled || !v.enabled {
		return nil
	}
	if v.kick != nil {
		v.kick.SetReadDeadline(time.Time{}) // clears the deadline that stopTaking has set
	}
	r := &ringRun{v: v, takerDone: make(chan struct{}), writerDone: make(chan struct{}), requests: make([]request, v.num),
		wake: make(chan struct{}, 1)}
	if err := r.mapRing(); err != nil {
		return err
	}
	if err := r.recoverInflight(); err != nil {
		return err
	}
	r.ctx, r.cancel = context.WithCancel(v.session.ctx)
	v.run = r
	go r.takeLoop()
	go r.answerLoop()
	return nil
}

// mapRing looks up the areas of the ring in client memory. It is called again after the memory has changed.
func (r *ringRun) mapRing() (err error) {
	v, m := r.v, &r.v.session.memory
	defer func() {
		if err != nil {
			err = fmt.Errorf("queue %d: %w", v.index, err)
		}
	}()
	desc, avail, used := r.q.sizes(v.num)
	q := &r.q
	if q.desc, err = m.userRange(v.descAt, desc); err != nil {
		return err
	}
	if q.avail, err = m.userRange(v.availAt, avail); err != nil {
		return err
	}
	if q.used, err = m.userRange(v.usedAt, used); err != nil {
		return err
	}
	if v.descAt%16 != 0 || v.availAt%2 != 0 || v.usedAt%4 != 0 {
		return errors.New("ring addresses are not aligned")
	}
	if q.num == 0 {
		q.num = v.num
		q.lastAvail = v.base
		q.eventIdx = v.session.features&featEventIdx != 0
		q.indirect = v.session.features&featIndirect != 0
		defer recoverFault(&err)
		q.usedIdx = load16(q.used[2:])
		q.signalledIdx = q.usedIdx
	}
	return nil
}

// recoverInflight finds the requests that an earlier process had taken from this ring and not answered, from the
// inflight region.
func (r *ringRun) recoverInflight() (err error) {
	defer recoverFault(&err) // a region that this gateway did not create may be truncated
	s := r.v.session
	if err := s.ensureInflight(); err != nil {
		return err
	}
	if !s.inflight.clientOwned && int(r.v.num) > s.inflight.entries {
		return nil
	}
	if r.tracker, err = s.inflight.trackQueue(r.v.index, r.v.num); err != nil {
		return err
	}
	if r.recovered, err = r.tracker.recoverTaken(r.v.num, r.q.usedIdx, bootTime()); err != nil {
		return err
	}
	// Every request taken is either answered or in the region, so the next entry to take follows these. A region that
	// the session created itself and that lists nothing does not know the position of the ring better than the client.
	if len(r.recovered) == 0 && !s.inflight.clientOwned {
		return nil
	}
	r.q.lastAvail = r.q.usedIdx + uint16(len(r.recovered))
	return nil
}

// bootTime returns the time since boot, suspends included. It is comparable between processes.
func bootTime() logic.Micros {
	var t unix.Timespec
	unix.ClockGettime(unix.CLOCK_BOOTTIME, &t)
	return logic.Micros(t.Nano() / 1000)
}

// stopTaking stops taking requests; answers go on.
func (v *vring) stopTaking() {
	r := v.run
	r.cancel()
	if v.kick != nil {
		v.kick.SetReadDeadline(time.Unix(1, 0))
	}
	<-r.takerDone
	r.mu.Lock()
	r.stopping = true
	r.mu.Unlock()
	r.wakeWriter()
}

// stop stops taking requests, waits until everything taken is answered, and returns the index of the next entry to
// take. Every request is answered by its deadline, which bounds the wait.
func (v *vring) stop() uint16 {
	if v.run == nil {
		return v.base
	}
	v.stopTaking()
	return v.awaitAnswers()
}

// drainUntil ends a ring that no longer takes requests and that another process continues. Requests not answered by the
// deadline are given up here and stay listed in the region, unless only this process can answer one of them; then it
// waits for all answers, as it does for a ring without a tracker.
func (v *vring) drainUntil(deadline time.Time) {
	r := v.run
	if r.tracker != nil {
		t := time.AfterFunc(time.Until(deadline), func() {
			r.mu.Lock()
			if !r.mustFinish() {
				r.abandoned = true
			}
			r.mu.Unlock()
			r.wakeWriter()
		})
		defer t.Stop()
	}
	v.awaitAnswers()
}

// mustFinish reports whether a request is outstanding that only this process can answer. The caller holds mu.
func (r *ringRun) mustFinish() bool {
	for i := range r.requests {
		if q := &r.requests[i]; q.inFlight && q.op != nil && recall.MustFinish(&r.v.session.server.cfg.Logic.Classes[q.class], q.sent) {
			return true
		}
	}
	return false
}

// awaitAnswers waits until every request is answered or given up, and returns the index of the next entry to take.
func (v *vring) awaitAnswers() uint16 {
	r := v.run
	<-r.writerDone
	v.base = r.q.lastAvail
	v.run = nil
	v.session.server.unanswered.Add(int64(-r.unanswered)) // requests that were given up are not answered here
	if r.abandoned {                                      // no other goroutine changes it now
		for i := range r.requests {
			if q := &r.requests[i]; q.inFlight && q.op != nil {
				v.session.server.engine.Gone(q.op)
				q.op = nil
			}
		}
	}
	return v.base
}

// abandon ends a ring whose client has disconnected. Its requests are given up, and client memory is not accessed
// afterwards.
func (v *vring) abandon() {
	if r := v.run; r != nil {
		r.mu.Lock()
		r.abandoned = true
		r.mu.Unlock()
		v.stop()
	}
	if v.kick != nil {
		v.kick.Close()
		v.kick = nil
	}
}

func (r *ringRun) wakeWriter() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// ---- taking requests ----

func (r *ringRun) takeLoop() {
	defer close(r.takerDone)
	debug.SetPanicOnFault(true)
	v := r.v
	var word [8]byte
	for _, x := range r.recovered {
		if err := r.resume(x); err != nil {
			if r.ctx.Err() == nil {
				v.session.fail(fmt.Errorf("queue %d: resuming requests after a restart: %w", v.index, err))
			}
			return
		}
	}
	for first := true; ; first = false {
		if !(first && v.kicked) {
			var err error
			if v.kick != nil {
				_, err = v.kick.Read(word[:])
			} else if !sleep(r.ctx, 500*time.Microsecond) {
				err = r.ctx.Err()
			}
			if err == nil {
				// Also if the ring is being stopped: this kick is consumed, so the next run must check the ring without one.
				v.kicked = true
			}
			if r.ctx.Err() != nil {
				return
			}
			if err != nil {
				v.session.fail(fmt.Errorf("queue %d: kick: %w", v.index, err))
				return
			}
		}
		if first {
			if err := v.session.awaitHandled(r.ctx); err != nil {
				return // another message has stopped this run, or the client has disconnected
			}
		}
		for more := true; more; {
			for {
				if v.session.draining.Load() { // this process takes no more requests
					<-r.ctx.Done()
					return
				}
				got, err := r.takeNext()
				if err != nil {
					if r.ctx.Err() == nil {
						v.session.signal(&v.errFD)
						v.session.fail(fmt.Errorf("queue %d: %w", v.index, err))
					}
					return
				}
				if !got {
					break
				}
			}
			var err error
			if more, err = r.askForKick(); err != nil && r.ctx.Err() == nil {
				v.session.fail(fmt.Errorf("queue %d: %w", v.index, err))
			}
			if err != nil {
				return
			}
		}
	}
}

// sleep waits for d and reports whether ctx is still active.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

func (r *ringRun) askForKick() (more bool, err error) {
	defer recoverFault(&err)
	if err := r.v.session.rlockMemory(); err != nil {
		return false, err
	}
	defer r.v.session.memMu.RUnlock()
	return r.q.enableKicks()
}

// takeNext takes one request off the ring and submits it to the engine. It returns false if the ring is empty.
func (r *ringRun) takeNext() (got bool, err error) {
	head, p, err := r.peek()
	if err != nil || !p.found {
		return false, err
	}
	if p.answered || p.isGetID {
		if err := r.claim(head, nil, false, true); err != nil {
			return false, err
		}
		r.answerLocally(head, p.status, p.isGetID)
		return true, nil
	}
	op, err := r.newOp(head, &p.parsedRequest)
	if err != nil {
		return false, err
	}
	if err := r.claim(head, op, p.wantsAdvice, true); err != nil {
		op.Release()
		op.Release()
		return false, err
	}
	r.v.session.server.engine.Take(op)
	return true, nil
}

// resume continues a request that an earlier process had taken, as package recall decides.
func (r *ringRun) resume(x recoveredRequest) error {
	p, err := r.readTaken(x.head)
	if err != nil {
		return err
	}
	s := r.v.session
	if p.answered || p.isGetID {
		if err := r.claim(x.head, nil, false, false); err != nil {
			return err
		}
		r.answerLocally(x.head, p.status, p.isGetID)
		return nil
	}
	class, _ := s.dev.Class(p.kind, p.len)
	x.taken.SameGroup = s.server.sameGroup(class, s.dev, &p.parsedRequest, logic.NodeID(x.node))
	fate, left := recall.Resume(&s.server.cfg.Logic.Classes[class], x.taken)
	if fate != recall.Retry {
		verdict := block.Refused
		if fate == recall.Fail {
			verdict = block.Failed
		}
		op := engine.NewOp()
		op.Kind, op.Len, op.Front, op.Tag, op.Verdict = p.kind, p.len, r, uint64(x.head), verdict
		if err := r.claim(x.head, op, p.wantsAdvice, false); err != nil {
			op.Release()
			op.Release()
			return err
		}
		op.Release() // the hold of the engine, which never sees this op
		r.Done(op)
		return nil
	}
	op, err := r.newOp(x.head, &p.parsedRequest)
	if err != nil {
		return err
	}
	op.Key, op.TimeLeft, op.MayHaveRun = x.key, left, x.taken.Sent || !x.taken.Known
	if err := r.claim(x.head, op, p.wantsAdvice, false); err != nil {
		op.Release()
		op.Release()
		return err
	}
	s.server.engine.Take(op)
	return nil
}

// newOp creates the op of a request with its buffer, which for a write holds the data to write.
func (r *ringRun) newOp(head uint16, p *parsedRequest) (*engine.Op, error) {
	s := r.v.session
	op := engine.NewOp()
	op.Volume, op.Kind, op.Offset, op.Len, op.Front, op.Tag = s.dev.index, p.kind, p.offset, p.len, r, uint64(head)
	op.Durable = p.kind.Changes() && s.features&featFlush == 0 // a client that cannot flush is promised stable storage
	if p.kind == block.Read || p.kind == block.Write {
		// This bounds the buffer memory of the volume: the goroutine waits here, and the ring of the client fills up
		// meanwhile.
		memory := s.server.engine.Memory(s.dev.index)
		if err := memory.Acquire(r.ctx, op.Len); err != nil {
			op.Release()
			op.Release()
			return nil, err
		}
		op.Buffer = block.NewBuffer(op.Len, memory.Release)
	}
	if p.kind == block.Write {
		if err := r.copyData(op.Buffer.B); err != nil {
			op.Release()
			op.Release()
			return nil, err
		}
	}
	return op, nil
}

// claim records that a chain is owned by the device until it is answered. A fresh request, one that no earlier process
// has taken, is also counted as taken on the ring.
func (r *ringRun) claim(head uint16, op *engine.Op, advice, fresh bool) (err error) {
	defer recoverFault(&err)
	if fresh && r.tracker != nil {
		key := r.tracker.markTaken(head, bootTime())
		if op != nil {
			op.Key = key
		}
	}
	r.mu.Lock()
	q := &r.requests[head]
	q.op, q.head, q.inFlight, q.wantsAdvice, q.sent = op, head, true, advice, false
	q.in, q.inLen = append(q.in[:0], r.scratch.in...), r.scratch.inLen
	r.outstanding++
	r.unanswered++
	r.v.session.server.unanswered.Add(1)
	r.mu.Unlock()
	if fresh {
		r.q.lastAvail++
	}
	return nil
}

type peekedRequest struct {
	parsedRequest
	found bool
}

// peek reads the next request without taking it.
func (r *ringRun) peek() (head uint16, p peekedRequest, err error) {
	defer recoverFault(&err)
	s := r.v.session
	if err := s.rlockMemory(); err != nil {
		return 0, p, err
	}
	defer s.memMu.RUnlock()
	n, err := r.q.pending()
	if err != nil || n == 0 {
		return 0, p, err
	}
	if head, err = r.q.nextHead(); err != nil {
		return 0, p, err
	}
	p, err = r.readChain(head)
	return head, p, err
}

// readTaken reads the chain at a head that is no longer in the avail ring.
func (r *ringRun) readTaken(head uint16) (p peekedRequest, err error) {
	defer recoverFault(&err)
	if err := r.v.session.rlockMemory(); err != nil {
		return p, err
	}
	defer r.v.session.memMu.RUnlock()
	return r.readChain(head)
}

// readChain reads a chain and parses its request. The caller holds the read lock on client memory.
func (r *ringRun) readChain(head uint16) (p peekedRequest, err error) {
	r.mu.Lock()
	busy := r.requests[head].inFlight
	r.mu.Unlock()
	if busy {
		return p, fmt.Errorf("descriptor %d was published again before it was answered", head)
	}
	s := r.v.session
	if err = r.q.readChain(&s.memory, head, &r.scratch); err != nil {
		return p, err
	}
	p.found = true
	p.parsedRequest, err = s.dev.parse(&s.memory, &r.scratch)
	return p, err
}

func (r *ringRun) copyData(dst []byte) (err error) {
	defer recoverFault(&err)
	s := r.v.session
	if err := s.rlockMemory(); err != nil {
		return err
	}
	defer s.memMu.RUnlock()
	return s.memory.copyOut(dst, r.scratch.out, blkHeader)
}

// answerLocally answers a request that needs no node.
func (r *ringRun) answerLocally(head uint16, status uint8, id bool) {
	op := engine.NewOp() // carries status and head to the goroutine that writes answers; the engine never sees it
	op.Tag = uint64(head) | uint64(status)<<40
	if id {
		op.Tag |= 1 << 33
	}
	r.mu.Lock()
	r.completed = append(r.completed, op)
	r.mu.Unlock()
	r.wakeWriter()
}

// ---- answering requests ----

// Done implements [engine.Front].
func (r *ringRun) Done(op *engine.Op) {
	r.mu.Lock()
	if q := &r.requests[uint16(op.Tag)]; r.abandoned || !q.inFlight || q.op != op {
		r.mu.Unlock()
		return // Gone releases the hold
	} else {
		q.op = nil
	}
	r.completed = append(r.completed, op)
	r.mu.Unlock()
	r.wakeWriter()
}

// Sending implements [engine.Front].
func (r *ringRun) Sending(op *engine.Op, node logic.NodeID) {
	if r.tracker != nil && r.tracker.region.trusted {
		r.mu.Lock()
		if q := &r.requests[uint16(op.Tag)]; !r.abandoned && q.inFlight && q.op == op {
			q.sent, q.class = true, op.Class
			r.tracker.markSent(q.head, bootTime(), node)
		}
		r.mu.Unlock()
	}
}

func (r *ringRun) answerLoop() {
	defer close(r.writerDone)
	debug.SetPanicOnFault(true)
	var batch []*engine.Op
	for {
		r.mu.Lock()
		batch, r.completed = r.completed, batch[:0]
		finished := len(batch) == 0 && (r.stopping && r.outstanding == 0 || r.abandoned)
		r.mu.Unlock()
		if finished {
			return
		}
		if len(batch) == 0 {
			<-r.wake
			continue
		}
		call, err := r.writeAnswers(batch)
		for i, op := range batch {
			if op.Front == nil {
				op.Release() // created by answerLocally, never held by the engine
			}
			op.Release()
			batch[i] = nil
		}
		if err != nil {
			// No further answer can reach this client.
			r.mu.Lock()
			r.abandoned = true
			r.mu.Unlock()
			r.v.session.fail(fmt.Errorf("queue %d: %w", r.v.index, err))
			continue
		}
		if call {
			r.v.session.signal(&r.v.callFD)
		}
	}
}

// writeAnswers writes a batch of answers and publishes them together. It reports whether the client wants to be
// signalled.
func (r *ringRun) writeAnswers(batch []*engine.Op) (call bool, err error) {
	defer recoverFault(&err)
	s := r.v.session
	if err := s.rlockMemory(); err != nil {
		return false, err
	}
	defer s.memMu.RUnlock()
	for _, op := range batch {
		head := uint16(op.Tag)
		r.mu.Lock()
		q := &r.requests[head]
		gone := r.abandoned
		r.mu.Unlock()
		if gone {
			return false, nil
		}
		n, err := r.writeAnswer(&s.memory, q, op)
		if err != nil {
			return false, err
		}
		r.q.putUsed(head, n)
		if r.tracker != nil {
			r.tracker.addAnswered(head)
		}
		r.mu.Lock()
		q.inFlight, q.op = false, nil
		r.outstanding--
		r.mu.Unlock()
	}
	call = r.q.publishUsed()
	r.mu.Lock()
	r.unanswered -= len(batch)
	r.mu.Unlock()
	s.server.unanswered.Add(int64(-len(batch)))
	if r.tracker != nil {
		r.tracker.commitAnswered(r.q.usedIdx)
	}
	return call, nil
}

// writeAnswer writes an answer. It returns the number of bytes written, counted from the first writable one.
func (r *ringRun) writeAnswer(m *memory, q *request, op *engine.Op) (n uint32, err error) {
	status, dataLen := uint8(statusOK), q.inLen-1
	written := uint32(min(q.inLen, 1<<32-1))
	at := uint64(0) // bytes written or cleared so far
	if op.Front == nil {
		// Answered without a node. A buffer longer than the maximum is not cleared, because its descriptors may name
		// the same page a thousand times.
		status = uint8(op.Tag >> 40)
		if op.Tag>>33&1 != 0 {
			var id [idLen]byte
			copy(id[:], r.v.session.dev.Serial)
			if err := m.copyIn(q.in, 0, id[:]); err != nil {
				return 0, err
			}
			at = idLen
		}
		if dataLen-at <= uint64(r.v.session.dev.maxBytes) {
			err = m.zero(q.in, at, dataLen-at)
		} else {
			written = uint32(at)
		}
	} else {
		if op.Verdict != block.Served {
			status = statusIOErr
		}
		switch {
		case op.Kind != block.Read:
			if dataLen <= uint64(r.v.session.dev.maxBytes) {
				err = m.zero(q.in, 0, dataLen) // usually only the advice record
			} else {
				written = 0
			}
		case status == statusOK:
			op.EachRead(func(at int64, data []byte) {
				if err == nil {
					err = m.copyIn(q.in, uint64(at), data)
				}
			})
		default:
			err = m.zero(q.in, 0, uint64(op.Len))
		}
		if err == nil && q.wantsAdvice {
			b := adviceRecord(op)
			err = m.copyIn(q.in, dataLen-AdviceLen, b[:])
		}
	}
	if err != nil {
		return 0, err
	}
	return written, m.copyIn(q.in, dataLen, []byte{status})
}
