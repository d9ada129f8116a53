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

// task carries out one attempt or one admin call with one or more commands, which all go to the same queue.
type task struct {
	attempt       *block.Attempt // nil for an admin call
	buffer        *block.Buffer  // held until every command has finished
	commands      []command
	queue         *queue
	unfinished    int  // commands that have not finished
	next          int  // index of the first command that has no slot yet
	hasOutcome    bool // outcome is set: at least one command has finished
	outcome       logic.Outcome
	report        nvme.Report
	hasReport     bool // report is valid
	dropped       bool
	bytesSent     int64 // bytes on the wire for this task; guarded by the queue's mu
	bytesReceived int64
	reply         chan reply // admin calls only
}

// command is one NVMe command of a task, with its data.
type command struct {
	sqe     nvme.Command
	out, in []byte // data to and from the node
	slot    int    // index in queue.slots; negative if it has none
}

// reply is the result of an admin call.
type reply struct {
	cqe      nvme.Completion
	received int
	err      error
}

// slot holds one outstanding command. Its command identifier combines the slot's index with a generation that changes
// with each use, and free slots are reused in FIFO order, so an identifier recurs only after all others of its slot
// have been used: a duplicate or late answer does not match another command.
type slot struct {
	generation   uint16
	busy         bool
	sendStarted  bool // at least one byte of the capsule may have been sent
	digestError  bool
	task         *task
	commandIndex int
	received     int // bytes of data received
	requested    int // bytes of data requested by R2Ts
	sentAt       logic.Micros
}

// sendEntry is an entry of the send queue: a command capsule, or the data requested by one R2T.
type sendEntry struct {
	cid         uint16
	isData      bool // H2CData; otherwise the capsule
	transferTag uint16
	offset      uint32
	length      uint32
}

// queue is one connection, which carries one NVMe queue (TCP Transport, section 3.1).
type queue struct {
	id           uint16
	conn         net.Conn
	reader       *nvme.Reader
	writer       *nvme.Writer
	inCapsule    int
	maxH2CData   int
	now          func() logic.Micros
	onReceive    func()
	onUnexpected func() error // called for an answer that matches no command; an error closes the connection
	onTaskDone   func(t *task)

	mu           sync.Mutex
	slots        []slot
	free         []int // indices of free slots, a FIFO ring that starts at freeHead
	freeHead     int
	freeCount    int // number of free slots
	indexBits    int
	sendQueue    []sendEntry
	closed       bool
	droppedSlots int // slots held by dropped commands that were sent
	wake         chan struct{}

	terminations chan termination
}

// newQueue returns a queue for up to depth outstanding commands; depth is at most 1024.
func newQueue(id uint16, conn net.Conn, depth int, now func() logic.Micros) *queue {
	q := &queue{
		id: id, conn: conn, now: now, reader: nvme.NewReader(conn, maxTransfer), writer: nvme.NewWriter(conn),
		slots: make([]slot, depth), free: make([]int, depth), freeCount: depth, indexBits: bits.Len(uint(depth - 1)),
		wake: make(chan struct{}, 1), terminations: make(chan termination, 1), maxH2CData: maxTransfer,
	}
	for i := range q.free {
		q.free[i] = i
	}
	return q
}

// maxTransfer is the maximum length of the data of one PDU in either direction, in bytes.
const maxTransfer = 4 << 20

// handshake exchanges ICReq and ICResp and applies the parameters of the node.
func (q *queue) handshake(digests bool) error {
	if err := q.writer.Init(nvme.ICReq, nvme.Params{Align: 4, HeaderDigest: digests, DataDigest: digests, MaxR2T: 1}); err != nil {
		return err
	}
	if err := q.writer.Flush(); err != nil {
		return err
	}
	var h nvme.Header
	if err := q.reader.Next(&h); err != nil {
		return err
	}
	if h.Type != nvme.ICResp {
		return fmt.Errorf("nvme/tcp: received %v instead of ICResp", h.Type)
	}
	p, err := h.Params()
	if err != nil {
		return err
	}
	if !digests && (p.HeaderDigest || p.DataDigest) {
		return errors.New("nvme/tcp: the node enabled digests that were not requested")
	}
	q.reader.HeaderDigest, q.reader.DataDigest = p.HeaderDigest, p.DataDigest
	q.writer.HeaderDigest, q.writer.DataDigest = p.HeaderDigest, p.DataDigest
	q.writer.Align, q.maxH2CData = p.Align, int(min(p.MaxH2CData, maxTransfer))
	return nil
}

// run starts the queue's reader and writer in g. They return when the connection ends.
func (q *queue) run(ctx context.Context, g *errgroup.Group) {
	g.Go(func() error { return q.readLoop() })
	g.Go(func() error { return q.writeLoop(ctx) })
}

// outstanding returns the number of commands that hold a slot.
func (q *queue) outstanding() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.slots) - q.freeCount
}

// submit starts a task with as many of its commands as there are free slots; the others follow as slots become free. It
// returns false if the queue is closed or has no free slot.
func (q *queue) submit(t *task) bool {
	q.mu.Lock()
	if q.closed || q.freeCount == 0 {
		q.mu.Unlock()
		return false
	}
	t.queue, t.unfinished, t.next = q, len(t.commands), 0
	t.buffer.Hold()
	for i := range t.commands {
		t.commands[i].slot = -1
	}
	for t.next < len(t.commands) && q.freeCount > 0 {
		q.assignSlot(t)
	}
	q.mu.Unlock()
	q.wakeWriter()
	return true
}

// assignSlot gives the next command of a task a free slot and queues its capsule. The caller holds mu.
func (q *queue) assignSlot(t *task) {
	index := q.free[q.freeHead]
	q.freeHead = (q.freeHead + 1) % len(q.free)
	q.freeCount--
	s := &q.slots[index]
	*s = slot{generation: s.generation + 1, busy: true, task: t, commandIndex: t.next}
	if q.cid(index) == 0xffff {
		s.generation++
	}
	p := &t.commands[t.next]
	t.next++
	p.slot = index
	p.sqe.SetCID(q.cid(index))
	q.sendQueue = append(q.sendQueue, sendEntry{cid: q.cid(index)})
}

// wakeWriter makes the writer look at the send queue.
func (q *queue) wakeWriter() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// cid returns the current command identifier of a slot.
func (q *queue) cid(index int) uint16 { return q.slots[index].generation<<q.indexBits | uint16(index) }

// findSlot returns the slot of a command identifier, or nil if no outstanding command has it.
func (q *queue) findSlot(cid uint16) *slot {
	index := int(cid) & (1<<q.indexBits - 1)
	if index >= len(q.slots) || !q.slots[index].busy || q.cid(index) != cid {
		return nil
	}
	return &q.slots[index]
}

// finishCommand frees a slot. It returns the task if this was its last command, otherwise nil. The caller holds mu.
func (q *queue) finishCommand(s *slot, o logic.Outcome) *task {
	t := s.task
	p := &t.commands[s.commandIndex]
	if t.dropped && s.sendStarted {
		q.droppedSlots--
	}
	if t.hasOutcome {
		o = combineOutcomes(t.outcome, o)
	}
	t.outcome, t.hasOutcome = o, true
	s.busy, s.task = false, nil
	q.free[(q.freeHead+q.freeCount)%len(q.free)] = p.slot
	q.freeCount++
	p.slot = -1
	t.unfinished--
	if t.next < len(t.commands) {
		if o == logic.OK && !t.dropped && !q.closed {
			q.assignSlot(t)
			q.wakeWriter()
		} else { // commands that have no slot yet are never sent
			t.unfinished -= len(t.commands) - t.next
			t.next = len(t.commands)
			t.outcome = combineOutcomes(t.outcome, logic.NotSent)
		}
	}
	if t.unfinished > 0 {
		return nil
	}
	return t
}

// finishTask releases the buffer of a finished task and reports it. A nil task is ignored.
func (q *queue) finishTask(t *task) {
	if t != nil {
		t.buffer.Release()
		q.onTaskDone(t)
	}
}

// drop abandons a task that nobody waits for. Commands whose sending has not started are never sent. The identifiers of
// the others stay in use until their answers arrive, and are passed to abort.
func (q *queue) drop(t *task, abort func(qid, cid uint16)) {
	q.mu.Lock()
	if t.dropped || t.unfinished == 0 {
		q.mu.Unlock()
		return
	}
	t.dropped = true
	var last *task
	for i := range t.commands {
		index := t.commands[i].slot
		if index < 0 {
			continue
		}
		s := &q.slots[index]
		if s.sendStarted {
			q.droppedSlots++
			abort(q.id, q.cid(index))
		} else {
			last = q.finishCommand(s, logic.NotSent)
		}
	}
	q.mu.Unlock()
	q.finishTask(last)
}

// droppedUsage returns how many slots dropped commands hold, how many slots there are, and when the oldest of the
// dropped commands was sent.
func (q *queue) droppedUsage() (dropped, capacity int, oldest logic.Micros) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.droppedSlots > 0 {
		for i := range q.slots {
			if s := &q.slots[i]; s.busy && s.task.dropped && (oldest == 0 || s.sentAt < oldest) {
				oldest = s.sentAt
			}
		}
	}
	return q.droppedSlots, len(q.slots), oldest
}

// failOutstanding ends all outstanding commands of a broken connection. Both goroutines must have returned.
func (q *queue) failOutstanding() {
	q.mu.Lock()
	q.closed = true
	var ended []*task
	for i := range q.slots {
		if s := &q.slots[i]; s.busy {
			o := logic.NotSent
			if s.sendStarted {
				o = logic.Reset
			}
			if t := q.finishCommand(s, o); t != nil {
				ended = append(ended, t)
			}
		}
	}
	q.sendQueue = nil
	q.mu.Unlock()
	for _, t := range ended {
		q.finishTask(t)
	}
}

// ---- sending ----

func (q *queue) writeLoop(ctx context.Context) error {
	var batch []sendEntry
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case f := <-q.terminations:
			q.writer.Terminate(nvme.H2CTermReq, f.err, f.header)
			close(f.sent)
			return f.err
		case <-q.wake:
		}
		for {
			q.mu.Lock()
			batch, q.sendQueue = q.sendQueue, batch[:0]
			q.mu.Unlock()
			if len(batch) == 0 {
				break
			}
			for _, it := range batch {
				if err := q.send(it); err != nil {
					return fmt.Errorf("nvme/tcp: send: %w", err)
				}
			}
		}
		if err := q.writer.Flush(); err != nil {
			return fmt.Errorf("nvme/tcp: send: %w", err)
		}
	}
}

func (q *queue) send(entry sendEntry) error {
	q.mu.Lock()
	s := q.findSlot(entry.cid)
	if s == nil { // dropped before it was sent, or completed before its data was sent
		q.mu.Unlock()
		return nil
	}
	if entry.isData && s.task.dropped {
		q.mu.Unlock()
		return nil
	}
	p := &s.task.commands[s.commandIndex]
	cmd, out := p.sqe, p.out
	// Counted before sending, as the answer may arrive, and the task end, before the write returns.
	if !entry.isData {
		s.sendStarted, s.sentAt = true, q.now()
		in := 0
		if _, inCapsule, _ := cmd.DataLen(); inCapsule {
			in = len(out)
		}
		s.task.bytesSent += int64(q.writer.CapsuleSize(in))
	} else {
		for left := int(entry.length); left > 0; left -= q.maxH2CData {
			s.task.bytesSent += int64(q.writer.TransferSize(min(left, q.maxH2CData)))
		}
	}
	// The node may answer, and the slot be reused, while the data of the command is still being written.
	held := s.task.buffer.Hold()
	q.mu.Unlock()
	defer held.Release()
	if !entry.isData {
		if _, in, _ := cmd.DataLen(); !in {
			out = nil
		}
		return q.writer.Capsule(&cmd, out)
	}
	for entry.length > 0 && !q.isDropped(entry.cid) {
		n := min(entry.length, uint32(q.maxH2CData))
		flags := uint8(0)
		if n == entry.length {
			flags = nvme.FlagLast
		}
		if err := q.writer.Transfer(nvme.H2CData, flags, entry.cid, entry.transferTag, entry.offset, n, out[entry.offset:entry.offset+n]); err != nil {
			return err
		}
		entry.offset, entry.length = entry.offset+n, entry.length-n
	}
	return nil
}

func (q *queue) isDropped(cid uint16) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := q.findSlot(cid)
	return s == nil || s.task.dropped
}

// ---- receiving ----

func (q *queue) readLoop() error {
	var h nvme.Header
	for {
		err := q.reader.Next(&h)
		if err == nil {
			q.onReceive()
			err = q.handlePDU(&h)
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

// terminate has the writer send a termination request with the reason, and waits for it for at most 100 ms, so that a
// node that does not read is disconnected as well.
func (q *queue) terminate(e *nvme.FatalError, header []byte) {
	f := termination{e, append([]byte(nil), header...), make(chan struct{})}
	q.terminations <- f // does not block: the buffer holds the only one a connection can have
	select {
	case <-f.sent:
	case <-time.After(100 * time.Millisecond):
	}
}

// termination asks the writer to send a termination request and to close sent afterwards.
type termination struct {
	err    *nvme.FatalError
	header []byte
	sent   chan struct{}
}

func (q *queue) handlePDU(h *nvme.Header) error {
	switch h.Type {
	case nvme.CapsuleResp:
		q.countReceived(h.Completion().CID(), h.PDULen)
	case nvme.C2HData, nvme.R2T:
		cid, _, _, _ := h.Transfer()
		q.countReceived(cid, h.PDULen)
	}
	switch h.Type {
	case nvme.CapsuleResp:
		return q.handleCompletion(*h.Completion())
	case nvme.C2HData:
		return q.handleData(h)
	case nvme.R2T:
		return q.handleR2T(h)
	case nvme.C2HTermReq:
		fes, off := h.Term()
		return fmt.Errorf("nvme/tcp: the node terminated the connection: fatal error status %d, field offset %d", fes, off)
	}
	return &nvme.FatalError{Status: nvme.FESSequence, Text: fmt.Sprintf("unexpected %v from the node", h.Type)}
}

// countReceived adds the length of a PDU to the task of its command.
func (q *queue) countReceived(cid uint16, bytes int) {
	q.mu.Lock()
	if s := q.findSlot(cid); s != nil && s.sendStarted {
		s.task.bytesReceived += int64(bytes)
	}
	q.mu.Unlock()
}

func (q *queue) handleCompletion(c nvme.Completion) error {
	q.mu.Lock()
	s := q.findSlot(c.CID())
	if s == nil || !s.sendStarted {
		q.mu.Unlock()
		return q.onUnexpected()
	}
	t := s.task
	o := outcomeOf(c.Status())
	if o == logic.OK && (s.digestError || s.received < len(t.commands[s.commandIndex].in)) && t.attempt != nil {
		o = logic.Failed // incomplete or damaged data is never reported as success
	}
	if t.reply != nil {
		t.reply <- reply{c, s.received, nil} // does not block: the channel has a buffer of one
	} else if rep, ok := nvme.ParseReport(c.DW0(), c.DW1()); ok && o == logic.OK {
		if t.hasReport {
			rep.ElsewhereKiB += t.report.ElsewhereKiB
		}
		t.report, t.hasReport = rep, true
	}
	if t.reply != nil {
		q.finishCommand(s, o)
		q.mu.Unlock()
		return nil
	}
	t = q.finishCommand(s, o)
	q.mu.Unlock()
	q.finishTask(t)
	return nil
}

// handleData handles a C2HData PDU (TCP Transport, section 3.6.2.7).
func (q *queue) handleData(h *nvme.Header) error {
	cid, _, off, n := h.Transfer()
	if int(n) != h.DataLen {
		return &nvme.FatalError{Status: nvme.FESHeaderField, Offset: 16, Text: fmt.Sprintf("C2HData carries %d bytes, but its header says %d", h.DataLen, n)}
	}
	q.mu.Lock()
	s := q.findSlot(cid)
	if s == nil || !s.sendStarted {
		q.mu.Unlock()
		if err := q.reader.Skip(); err != nil {
			return err
		}
		return q.onUnexpected()
	}
	in := s.task.commands[s.commandIndex].in
	if uint64(off)+uint64(n) > uint64(len(in)) {
		q.mu.Unlock()
		return &nvme.FatalError{Status: nvme.FESOutOfRange, Offset: 12, Text: fmt.Sprintf("C2HData of %d bytes at offset %d does not fit a command of %d bytes", n, off, len(in))}
	}
	// Only this goroutine frees a slot whose command was sent, so the buffer stays valid without the lock.
	q.mu.Unlock()
	err := q.reader.Data(in[off : off+n])
	if err != nil && err != nvme.ErrDataDigest {
		return err
	}
	q.mu.Lock()
	s.digestError = s.digestError || err != nil
	s.received += int(n)
	q.mu.Unlock()
	if h.Flags&nvme.FlagSuccess != 0 {
		return q.handleCompletion(nvme.NewCompletion(cid, 0, nvme.Success, 0, 0))
	}
	return nil
}

// handleR2T handles an R2T (TCP Transport, section 3.6.2.8). A dropped command gets no more data: its request has been
// answered, and a write that gets its data now would overwrite later ones, long after the pause of their key. Its
// identifier stays in use until the abort is answered or package links gives up the connection.
func (q *queue) handleR2T(h *nvme.Header) error {
	cid, tag, off, n := h.Transfer()
	q.mu.Lock()
	s := q.findSlot(cid)
	if s == nil || !s.sendStarted {
		q.mu.Unlock()
		return q.onUnexpected()
	}
	if s.task.dropped {
		q.mu.Unlock()
		return nil
	}
	out := s.task.commands[s.commandIndex].out
	s.requested += int(n)
	if n == 0 || uint64(off)+uint64(n) > uint64(len(out)) || s.requested > len(out) {
		q.mu.Unlock()
		return &nvme.FatalError{Status: nvme.FESOutOfRange, Offset: 12, Text: fmt.Sprintf("R2T for %d bytes at offset %d does not fit a command of %d bytes", n, off, len(out))}
	}
	q.sendQueue = append(q.sendQueue, sendEntry{cid: cid, isData: true, transferTag: tag, offset: off, length: n})
	q.mu.Unlock()
	q.wakeWriter()
	return nil
}

// call executes one admin command and waits for its completion.
func (q *queue) call(ctx context.Context, what string, cmd nvme.Command, out, in []byte) (nvme.Completion, error) {
	t := &task{reply: make(chan reply, 1), commands: []command{{sqe: cmd, out: out, in: in}}}
	if !q.submit(t) {
		return nvme.Completion{}, fmt.Errorf("nvme: %s: no free slot in queue %d", what, q.id)
	}
	select {
	case r := <-t.reply:
		if r.err != nil {
			return r.cqe, fmt.Errorf("nvme: %s: %w", what, r.err)
		}
		if s := r.cqe.Status().Code(); s != nvme.Success {
			return r.cqe, &nvme.StatusError{Status: s, What: what}
		}
		if r.received < len(in) {
			return r.cqe, fmt.Errorf("nvme: %s: received %d of %d bytes", what, r.received, len(in))
		}
		return r.cqe, nil
	case <-ctx.Done():
		return nvme.Completion{}, fmt.Errorf("nvme: %s: %w", what, context.Cause(ctx))
	}
}
