package initiator

import (
	"context"
	"errors"
	"fmt"
	"math/bits"
	"net"
	"sync"
	"time"

	"appleplank/internal/block"
	"appleplank/internal/nvme"
	"appleplank/logic"

	"golang.org/x/sync/errgroup"
)

// task is a command, or several that together carry one attempt out. Its parts go to one queue.
type task struct {
	attempt *block.Attempt // nil: an admin call
	buffer  *block.Buffer  // held while any part is out
	parts   []part
	q       *queue
	left    int  // parts that have not ended
	next    int  // first part that has no place yet
	begun   bool // logic.Outcome of a part is in outcome
	outcome logic.Outcome
	report  nvme.Report
	told    bool // report is valid
	dropped bool
	wireOut int64 // bytes that crossed for it, under the queue's mu
	wireIn  int64
	reply   chan reply // admin calls
}

type part struct {
	cmd     nvme.Command
	out, in []byte // to and from the node
	slot    int    // below zero: none
}

// reply is the end of an admin call.
type reply struct {
	cqe nvme.Completion
	got int
	err error
}

// slot is a place in a queue. Its command identifier joins its index with a generation that changes with each
// use, and free places are used in turn, so an identifier comes back only after all others of its place have
// been used: an answer that comes twice or late meets no other command.
type slot struct {
	gen     uint16
	busy    bool
	written bool // at least a byte of the capsule may have left
	damaged bool
	t       *task
	part    int
	got     int // bytes of data that came
	asked   int // bytes the node has asked for
	sent    logic.Micros
}

// item is something to be sent.
type item struct {
	cid    uint16
	data   bool // H2CData; otherwise the capsule
	tag    uint16
	offset uint32
	length uint32
}

// queue is one connection, which carries one NVMe queue (TCP Transport, section 3.1).
type queue struct {
	id         uint16
	conn       net.Conn
	r          *nvme.Reader
	w          *nvme.Writer
	inCapsule  int
	maxH2CData int
	now        func() logic.Micros
	heard      func()
	stray      func() error // an answer to nothing; an error gives the connection up
	finished   func(t *task)

	mu    sync.Mutex
	slots []slot
	free  []int // in turn, as a ring
	first int
	spare int // how many are free
	shift int
	items []item
	dead  bool
	lost  int // places of dropped commands
	wake  chan struct{}

	faults chan fault
}

// newQueue has room for depth commands at a time, at most 1024.
func newQueue(id uint16, conn net.Conn, depth int, now func() logic.Micros) *queue {
	q := &queue{
		id: id, conn: conn, now: now, r: nvme.NewReader(conn, mostTransfer), w: nvme.NewWriter(conn),
		slots: make([]slot, depth), free: make([]int, depth), spare: depth, shift: bits.Len(uint(depth - 1)),
		wake: make(chan struct{}, 1), faults: make(chan fault, 1), maxH2CData: mostTransfer,
	}
	for i := range q.free {
		q.free[i] = i
	}
	return q
}

// mostTransfer bounds the data of one PDU, either way.
const mostTransfer = 4 << 20

// handshake exchanges ICReq and ICResp.
func (q *queue) handshake(digests bool) error {
	if err := q.w.Init(nvme.ICReq, nvme.Params{Align: 4, HeaderDigest: digests, DataDigest: digests, MaxR2T: 1}); err != nil {
		return err
	}
	if err := q.w.Flush(); err != nil {
		return err
	}
	var h nvme.Header
	if err := q.r.Next(&h); err != nil {
		return err
	}
	if h.Type != nvme.ICResp {
		return fmt.Errorf("nvme/tcp: %v in answer to ICReq", h.Type)
	}
	p, err := h.Params()
	if err != nil {
		return err
	}
	if !digests && (p.HeaderDigest || p.DataDigest) {
		return errors.New("nvme/tcp: the node turns digests on that were not asked for")
	}
	q.r.HeaderDigest, q.r.DataDigest = p.HeaderDigest, p.DataDigest
	q.w.HeaderDigest, q.w.DataDigest = p.HeaderDigest, p.DataDigest
	q.w.Align, q.maxH2CData = p.Align, int(min(p.MaxH2CData, mostTransfer))
	return nil
}

// run starts the queue's two goroutines in g. They end when the connection does.
func (q *queue) run(ctx context.Context, g *errgroup.Group) {
	g.Go(func() error { return q.read() })
	g.Go(func() error { return q.write(ctx) })
}

// out is how many commands hold a place.
func (q *queue) out() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.slots) - q.spare
}

// submit begins a task, with as many of its parts as there are places; the others follow as places are freed. False
// where the queue is dead or has no place.
func (q *queue) submit(t *task) bool {
	q.mu.Lock()
	if q.dead || q.spare == 0 {
		q.mu.Unlock()
		return false
	}
	t.q, t.left, t.next = q, len(t.parts), 0
	t.buffer.Hold()
	for i := range t.parts {
		t.parts[i].slot = -1
	}
	for t.next < len(t.parts) && q.spare > 0 {
		q.place(t)
	}
	q.mu.Unlock()
	q.nudge()
	return true
}

// place gives the next part of a task a free place. The caller holds mu.
func (q *queue) place(t *task) {
	at := q.free[q.first]
	q.first = (q.first + 1) % len(q.free)
	q.spare--
	s := &q.slots[at]
	*s = slot{gen: s.gen + 1, busy: true, t: t, part: t.next}
	if q.cid(at) == 0xffff {
		s.gen++
	}
	p := &t.parts[t.next]
	t.next++
	p.slot = at
	p.cmd.SetCID(q.cid(at))
	q.items = append(q.items, item{cid: q.cid(at)})
}

func (q *queue) nudge() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

func (q *queue) cid(at int) uint16 { return q.slots[at].gen<<q.shift | uint16(at) }

// find is the place a command identifier belongs to, or nil where it belongs to none that is out.
func (q *queue) find(cid uint16) *slot {
	at := int(cid) & (1<<q.shift - 1)
	if at >= len(q.slots) || !q.slots[at].busy || q.cid(at) != cid {
		return nil
	}
	return &q.slots[at]
}

// end frees a place; it gives the task when that was its last. The caller holds mu.
func (q *queue) end(s *slot, o logic.Outcome) *task {
	t := s.t
	p := &t.parts[s.part]
	if t.dropped && s.written {
		q.lost--
	}
	if t.begun {
		o = join(t.outcome, o)
	}
	t.outcome, t.begun = o, true
	s.busy, s.t = false, nil
	q.free[(q.first+q.spare)%len(q.free)] = p.slot
	q.spare++
	p.slot = -1
	t.left--
	if t.next < len(t.parts) {
		if o == logic.OK && !t.dropped && !q.dead {
			q.place(t)
			q.nudge()
		} else { // what was not begun never will be
			t.left -= len(t.parts) - t.next
			t.next = len(t.parts)
			t.outcome = join(t.outcome, logic.Moot)
		}
	}
	if t.left > 0 {
		return nil
	}
	return t
}

func (q *queue) done(t *task) {
	if t != nil {
		t.buffer.Release()
		q.finished(t)
	}
}

// drop lets go of a task nobody waits for. Parts that were not begun are never sent; the identifiers of the
// others stay taken until their answers come, and are given to abort.
func (q *queue) drop(t *task, abort func(qid, cid uint16)) {
	q.mu.Lock()
	if t.dropped || t.left == 0 {
		q.mu.Unlock()
		return
	}
	t.dropped = true
	var last *task
	for i := range t.parts {
		at := t.parts[i].slot
		if at < 0 {
			continue
		}
		s := &q.slots[at]
		if s.written {
			q.lost++
			abort(q.id, q.cid(at))
		} else {
			last = q.end(s, logic.Moot)
		}
	}
	q.mu.Unlock()
	q.done(last)
}

// lostNow tells how many places dropped commands hold, and when the oldest of them was sent.
func (q *queue) lostNow() (lost, places int, oldest logic.Micros) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.lost > 0 {
		for i := range q.slots {
			if s := &q.slots[i]; s.busy && s.t.dropped && (oldest == 0 || s.sent < oldest) {
				oldest = s.sent
			}
		}
	}
	return q.lost, len(q.slots), oldest
}

// sweep ends everything that is out on a connection that is gone. Both goroutines have ended.
func (q *queue) sweep() {
	q.mu.Lock()
	q.dead = true
	var ended []*task
	for i := range q.slots {
		if s := &q.slots[i]; s.busy {
			o := logic.Moot
			if s.written {
				o = logic.Reset
			}
			if t := q.end(s, o); t != nil {
				ended = append(ended, t)
			}
		}
	}
	q.items = nil
	q.mu.Unlock()
	for _, t := range ended {
		q.done(t)
	}
}

// ---- sending ----

func (q *queue) write(ctx context.Context) error {
	var batch []item
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case f := <-q.faults:
			q.w.Terminate(nvme.H2CTermReq, f.err, f.header)
			close(f.sent)
			return f.err
		case <-q.wake:
		}
		for {
			q.mu.Lock()
			batch, q.items = q.items, batch[:0]
			q.mu.Unlock()
			if len(batch) == 0 {
				break
			}
			for _, it := range batch {
				if err := q.sendItem(it); err != nil {
					return fmt.Errorf("nvme/tcp: send: %w", err)
				}
			}
		}
		if err := q.w.Flush(); err != nil {
			return fmt.Errorf("nvme/tcp: send: %w", err)
		}
	}
}

func (q *queue) sendItem(it item) error {
	q.mu.Lock()
	s := q.find(it.cid)
	if s == nil { // dropped before it was begun, or answered before its data was asked for
		q.mu.Unlock()
		return nil
	}
	if it.data && s.t.dropped {
		q.mu.Unlock()
		return nil
	}
	p := &s.t.parts[s.part]
	cmd, out := p.cmd, p.out
	// Counted before it is sent, as the answer may be there, and the task over, before the sending is.
	if !it.data {
		s.written, s.sent = true, q.now()
		in := 0
		if _, inCapsule, _ := cmd.DataLen(); inCapsule {
			in = len(out)
		}
		s.t.wireOut += int64(q.w.CapsuleSize(in))
	} else {
		for left := int(it.length); left > 0; left -= q.maxH2CData {
			s.t.wireOut += int64(q.w.TransferSize(min(left, q.maxH2CData)))
		}
	}
	// The node may answer, and the place be given to another, while its data is still being written.
	held := s.t.buffer.Hold()
	q.mu.Unlock()
	defer held.Release()
	if !it.data {
		if _, in, _ := cmd.DataLen(); !in {
			out = nil
		}
		return q.w.Capsule(&cmd, out)
	}
	for it.length > 0 && !q.droppedNow(it.cid) {
		n := min(it.length, uint32(q.maxH2CData))
		flags := uint8(0)
		if n == it.length {
			flags = nvme.FlagLast
		}
		if err := q.w.Transfer(nvme.H2CData, flags, it.cid, it.tag, it.offset, n, out[it.offset:it.offset+n]); err != nil {
			return err
		}
		it.offset, it.length = it.offset+n, it.length-n
	}
	return nil
}

func (q *queue) droppedNow(cid uint16) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := q.find(cid)
	return s == nil || s.t.dropped
}

// ---- receiving ----

func (q *queue) read() error {
	var h nvme.Header
	for {
		err := q.r.Next(&h)
		if err == nil {
			q.heard()
			err = q.take(&h)
		}
		if err != nil {
			var fatal *nvme.FatalError
			if errors.As(err, &fatal) {
				q.terminate(fatal, h.Raw())
			}
			return fmt.Errorf("queue %d: %w", q.id, err)
		}
	}
}

// terminate has the writer tell the node why the connection ends, and waits a little for that; a node that
// takes nothing is cut off all the same.
func (q *queue) terminate(e *nvme.FatalError, header []byte) {
	f := fault{e, append([]byte(nil), header...), make(chan struct{})}
	q.faults <- f // has room for the one there can be
	select {
	case <-f.sent:
	case <-time.After(100 * time.Millisecond):
	}
}

type fault struct {
	err    *nvme.FatalError
	header []byte
	sent   chan struct{}
}

func (q *queue) take(h *nvme.Header) error {
	switch h.Type {
	case nvme.CapsuleResp:
		q.arrived(h.Completion().CID(), h.Wire)
	case nvme.C2HData, nvme.R2T:
		cid, _, _, _ := h.Transfer()
		q.arrived(cid, h.Wire)
	}
	switch h.Type {
	case nvme.CapsuleResp:
		return q.completed(*h.Completion())
	case nvme.C2HData:
		return q.data(h)
	case nvme.R2T:
		return q.asked(h)
	case nvme.C2HTermReq:
		fes, off := h.Term()
		return fmt.Errorf("nvme/tcp: the node ends the connection, status %d, field at %d", fes, off)
	}
	return &nvme.FatalError{Status: nvme.FESSequence, Text: fmt.Sprintf("%v from a node", h.Type)}
}

// arrived counts a PDU for the command it belongs to.
func (q *queue) arrived(cid uint16, bytes int) {
	q.mu.Lock()
	if s := q.find(cid); s != nil && s.written {
		s.t.wireIn += int64(bytes)
	}
	q.mu.Unlock()
}

func (q *queue) completed(c nvme.Completion) error {
	q.mu.Lock()
	s := q.find(c.CID())
	if s == nil || !s.written {
		q.mu.Unlock()
		return q.stray()
	}
	t := s.t
	o := outcome(c.Status())
	if o == logic.OK && (s.damaged || s.got < len(t.parts[s.part].in)) && t.attempt != nil {
		o = logic.Failed // never handed over as good
	}
	if t.reply != nil {
		t.reply <- reply{c, s.got, nil} // room for one
	} else if rep, ok := nvme.ParseReport(c.DW0(), c.DW1()); ok && o == logic.OK {
		if t.told {
			rep.Elsewhere += t.report.Elsewhere
		}
		t.report, t.told = rep, true
	}
	if t.reply != nil {
		q.end(s, o)
		q.mu.Unlock()
		return nil
	}
	t = q.end(s, o)
	q.mu.Unlock()
	q.done(t)
	return nil
}

// data takes a C2HData PDU (TCP Transport, section 3.6.2.7).
func (q *queue) data(h *nvme.Header) error {
	cid, _, off, n := h.Transfer()
	if int(n) != h.Data {
		return &nvme.FatalError{Status: nvme.FESHeaderField, Offset: 16, Text: fmt.Sprintf("C2HData of %d bytes says %d", h.Data, n)}
	}
	q.mu.Lock()
	s := q.find(cid)
	if s == nil || !s.written {
		q.mu.Unlock()
		if err := q.r.Skip(); err != nil {
			return err
		}
		return q.stray()
	}
	in := s.t.parts[s.part].in
	if uint64(off)+uint64(n) > uint64(len(in)) {
		q.mu.Unlock()
		return &nvme.FatalError{Status: nvme.FESOutOfRange, Offset: 12, Text: fmt.Sprintf("C2HData of %d bytes at %d for a command of %d", n, off, len(in))}
	}
	// Only this goroutine frees a place that was written, so the buffer stays ours without the lock.
	q.mu.Unlock()
	err := q.r.Data(in[off : off+n])
	if err != nil && err != nvme.ErrDataDigest {
		return err
	}
	q.mu.Lock()
	s.damaged = s.damaged || err != nil
	s.got += int(n)
	q.mu.Unlock()
	if h.Flags&nvme.FlagSuccess != 0 {
		return q.completed(nvme.Complete(cid, 0, nvme.Success, 0, 0))
	}
	return nil
}

// asked takes an R2T (TCP Transport, section 3.6.2.8). What was dropped is given no data any more: its request has had
// its answer, and a write that gets its data now would land on top of later ones, long after the rest of their key.
// Its identifier stays taken, until the abort is answered or package links gives the connection up.
func (q *queue) asked(h *nvme.Header) error {
	cid, tag, off, n := h.Transfer()
	q.mu.Lock()
	s := q.find(cid)
	if s == nil || !s.written {
		q.mu.Unlock()
		return q.stray()
	}
	if s.t.dropped {
		q.mu.Unlock()
		return nil
	}
	out := s.t.parts[s.part].out
	s.asked += int(n)
	if n == 0 || uint64(off)+uint64(n) > uint64(len(out)) || s.asked > len(out) {
		q.mu.Unlock()
		return &nvme.FatalError{Status: nvme.FESOutOfRange, Offset: 12, Text: fmt.Sprintf("R2T for %d bytes at %d of a command of %d", n, off, len(out))}
	}
	q.items = append(q.items, item{cid: cid, data: true, tag: tag, offset: off, length: n})
	q.mu.Unlock()
	q.nudge()
	return nil
}

// call carries out one admin command and waits for its completion.
func (q *queue) call(ctx context.Context, what string, cmd nvme.Command, out, in []byte) (nvme.Completion, error) {
	t := &task{reply: make(chan reply, 1), parts: []part{{cmd: cmd, out: out, in: in}}}
	if !q.submit(t) {
		return nvme.Completion{}, fmt.Errorf("nvme: %s: no place in queue %d", what, q.id)
	}
	select {
	case r := <-t.reply:
		if r.err != nil {
			return r.cqe, fmt.Errorf("nvme: %s: %w", what, r.err)
		}
		if s := r.cqe.Status().Code(); s != nvme.Success {
			return r.cqe, &nvme.StatusError{Status: s, What: what}
		}
		if r.got < len(in) {
			return r.cqe, fmt.Errorf("nvme: %s: %d of %d bytes came", what, r.got, len(in))
		}
		return r.cqe, nil
	case <-ctx.Done():
		return nvme.Completion{}, fmt.Errorf("nvme: %s: %w", what, context.Cause(ctx))
	}
}
