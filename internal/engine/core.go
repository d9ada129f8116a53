// Package engine dispatches block requests from the fronts to the nodes and returns their answers. [Core] is a plain
// struct without clock, sockets or goroutines: events go in, actions come out, so that it also runs in simulated time.
// [Engine] is the thin shell that connects it to real time and sockets. Package logic decides on every send, retry,
// refusal and wait; package ranges decides the order of overlapping changes.
package engine

import (
	"cmp"
	"fmt"

	"appleplank/copies"
	"appleplank/crossing"
	"appleplank/internal/block"
	"appleplank/internal/drive"
	"appleplank/internal/settings"
	"appleplank/logic"
	"appleplank/ranges"
	"appleplank/slabs"

	"golang.org/x/sync/semaphore"
)

// ActionKind is the kind of an [Action].
type ActionKind uint8

const (
	Start  ActionKind = iota // start Attempt at its node
	Drop                     // drop Attempt
	Finish                   // answer Op
	Note                     // log Text
	Keep                     // write Mark to stable storage and report with Kept; marks of one region in order
	Forget                   // delete Mark; may be delayed
)

// Action is one step for the caller to carry out. Actions are carried out in order.
type Action struct {
	Kind    ActionKind
	Attempt *block.Attempt
	Op      *Op // also set for Start; its Front is nil where a copy is caught up
	Text    string
	Mark    Mark
}

// Mark is the state of a region of a mirrored extent that must survive a restart of the process.
type Mark = copies.RegionMark

// Tally counts what the core has done since its creation, and what it holds now.
type Tally struct {
	Taken, Gone    uint64
	Answers        [3]uint64 // by verdict
	Sends, Repeats uint64
	Held           uint64 // changes held back because they overlapped changes of several keys, or one held back
	Elsewhere      uint64 // reads that were retried at another copy
	NoMemory       uint64 // attempts not made because no buffer memory was free
	Outcomes       [8]uint64
	LateEnds       uint64 // ends of attempts that had been reported to logic as timed out
	Ops            int    // accepted and not yet released
	Pieces         int
	Out            int // attempts whose ends have not been reported to logic
	Attempts       int // attempts that the back has not reported as ended
}

// Core is the engine without time and sockets. What it holds is bounded by what the fronts hand it: an op lives until
// its deadline, its attempts as long as the back keeps them.
type Core struct {
	cfg          *settings.Config
	host         drive.Host
	volumes      []volume
	pieces       map[logic.RequestID]*piece
	lastID       uint64
	keyNonce     uint64
	actions      []Action
	spareActions []Action // returned by the last Step; the slice is reused
	freeAttempts []*attempt
	tally        Tally
	budget       *crossing.Budget
	nodes        map[logic.NodeID]logic.Node
	localCells   map[int]bool // cells with a ready node in this gateway's zone
	readyCells   map[int]bool // cells with a ready node
	ledger       map[ledgerKey]*CrossingRow
	mirrors      mirrorState
}

type volume struct {
	*settings.Volume
	index   int
	orders  []*ranges.Order // one per copy index; an extent without mirrors uses the first
	mirrors []*mirror       // one per extent; nil where it has only one copy
	memory  *semaphore.Weighted
	space   *slabs.Space // nil unless it is a volume of objects
}

// attempt is the attempt started by one [logic.Send].
type attempt struct {
	block.Attempt
	piece        *piece
	drive        drive.Attempt
	volume       int
	class        int
	reason       Reason
	objectOffset int64   // offset of a new object in the volume, in bytes
	budgetBytes  float64 // bytes of the crossing budget reserved for it
}

// NewCore returns a core. The nonce distinguishes its idempotency keys from those of other gateways and of earlier
// processes of this gateway; only its low 32 bits count.
func NewCore(cfg *settings.Config, seed, nonce uint64) (*Core, error) {
	host, err := logic.New(cfg.Logic, seed)
	if err != nil {
		return nil, err
	}
	budget, err := crossing.New(cfg.Crossing)
	if err != nil {
		return nil, err
	}
	c := &Core{cfg: cfg, host: drive.Host{Host: host}, pieces: map[logic.RequestID]*piece{}, keyNonce: nonce << 32, budget: budget,
		nodes: map[logic.NodeID]logic.Node{}, localCells: map[int]bool{}, readyCells: map[int]bool{}, ledger: map[ledgerKey]*CrossingRow{}}
	lastKey := uint64(0)
	for i := range cfg.Volumes {
		v := &cfg.Volumes[i]
		vol := volume{Volume: v, index: i, memory: semaphore.NewWeighted(v.Memory)}
		for j := range v.Extents {
			x := &v.Extents[j]
			var m *mirror
			if len(x.Copies) > 1 {
				set, err := copies.New(copies.Settings{Copies: len(x.Copies), Hold: cfg.Copies.Hold, Region: cfg.Copies.Region, Size: x.Len})
				if err != nil {
					return nil, err
				}
				m = &mirror{Set: set, extentIndex: j, extent: x}
			}
			vol.mirrors = append(vol.mirrors, m)
			for len(vol.orders) < len(x.Copies) {
				vol.orders = append(vol.orders, ranges.New(func() uint64 { lastKey++; return lastKey }))
			}
		}
		if v.Objects {
			vol.space = newSpace(v)
		}
		c.volumes = append(c.volumes, vol)
	}
	for i := range c.volumes {
		for _, m := range c.volumes[i].mirrors {
			if m != nil {
				m.volume = &c.volumes[i]
			}
		}
	}
	return c, nil
}

// Restore restores a snapshot of what an earlier process has learned. It must be called before any event. Where that
// process did not shut down in good order, call [Core.HoldChanges] too.
func (c *Core) Restore(now logic.Micros, m logic.Snapshot) error { return c.host.Restore(now, m) }

// HoldChanges holds all changes back for the order rule's pause (OrderPause), because attempts of a killed process may
// still run.
func (c *Core) HoldChanges(now logic.Micros) {
	for i := range c.volumes {
		for _, o := range c.volumes[i].orders {
			o.PauseUntil(now + c.cfg.Logic.Rules.OrderPause)
		}
		if s := c.volumes[i].space; s != nil {
			s.PauseUntil(now + c.cfg.Logic.Rules.OrderPause)
		}
	}
}

// Quiet reports whether nothing is held and nothing that was sent may still run at a node.
func (c *Core) Quiet() bool {
	for i := range c.volumes {
		for _, o := range c.volumes[i].orders {
			if live, held, resting := o.Len(); live+held+resting > 0 {
				return false
			}
		}
	}
	return c.tally.Ops == 0 && c.tally.Attempts == 0
}

// Snapshot returns a copy of what the core has learned.
func (c *Core) Snapshot(now logic.Micros) logic.Snapshot { return c.host.Snapshot(now) }

// Memory returns the semaphore that bounds a volume's buffers. Fronts acquire from it for the requests that they
// accept.
func (c *Core) Memory(volume int) *semaphore.Weighted { return c.volumes[volume].memory }

// Tally returns the current counts.
func (c *Core) Tally() Tally {
	t := c.tally
	t.Pieces = len(c.pieces)
	return t
}

// ---- Events ----

// Take accepts a request from a front. The front has checked that its range lies in the volume and that the volume's
// table covers its kind.
func (c *Core) Take(now logic.Micros, op *Op) {
	c.tally.Taken++
	c.tally.Ops++
	v := &c.volumes[op.Volume]
	op.takenAt = now
	// A request that may have run in an earlier process counts as having one served part, since a refusal of the rest
	// would promise too much. This guards against a request that is resumed after a restart and then finds no node with
	// free capacity.
	op.hasAnswer, op.answer = op.MayHaveRun, ranges.Served
	op.Class, _ = v.Class(op.Kind, op.Len)
	deadline := now + cmp.Or(op.TimeLeft, c.cfg.Logic.Classes[op.Class].Deadline) - c.cfg.Times.AnswerMargin
	op.unanswered, op.unreleased = 1, 1 // held until all parts exist, so that no part ends the op early
	if op.NewObject {
		c.beginObject(now, op, v, deadline)
	} else if op.Kind == block.Flush { // one per namespace; mirrored changes are durable already
		for i := range v.Extents {
			if x := &v.Extents[i]; len(x.Copies) == 1 && !sameNamespace(v.Extents[:i], x) {
				c.admit(now, c.newPiece(op, v, x, 0, 0, 0, deadline))
			}
		}
	} else {
		partNumber := 0
		ranges.Split(op.Offset, op.Len, func(at int64) int64 { x := &v.Extents[v.extentAt(at)]; return x.Start + x.Len },
			func(from, n int64) {
				i := v.extentAt(from)
				switch x := &v.Extents[i]; {
				case v.mirrors[i] == nil:
					p := c.newPiece(op, v, x, 0, from-op.Offset, n, deadline)
					p.keyNumber = partNumber
					c.admit(now, p)
				case op.Kind.Changes():
					c.beginChange(now, op, v.mirrors[i], from, n, deadline, partNumber)
				default:
					c.beginRead(now, op, v.mirrors[i], from, n, deadline)
				}
				partNumber++
			})
	}
	for _, p := range op.pieces {
		c.releasePiece(now, p) // pieces that were refused above
	}
	c.partAnswered(now, op)
	c.releaseOp(op)
}

// newPiece adds a piece to an op and counts it as unanswered.
func (c *Core) newPiece(op *Op, v *volume, x *settings.Extent, copyIndex int, opOffset, n int64, deadline logic.Micros) *piece {
	c.lastID++
	p := piecePool.Get().(*piece)
	*p = piece{id: logic.RequestID(c.lastID), op: op, volume: v, extent: x, copyIndex: copyIndex, opOffset: opOffset, len: n, units: v.Units(n),
		deadline: deadline, opBufferUnused: true, ordered: op.Kind.Changes()}
	if x != nil {
		p.place = &x.Copies[copyIndex]
	}
	op.pieces = append(op.pieces, p)
	op.unanswered++
	op.unreleased++
	c.pieces[p.id] = p
	return p
}

// admit dispatches a piece if the crossing budget allows it, and refuses it otherwise.
func (c *Core) admit(now logic.Micros, p *piece) {
	if wait, ok := c.requestCrossing(now, p); !ok {
		c.answerPiece(now, p, ranges.Refused, wait)
		return
	}
	c.dispatch(p)
}

// dispatch hands a piece to logic. A change waits until overlapping earlier changes are done.
func (c *Core) dispatch(p *piece) {
	if !p.ordered {
		c.submit(p, 0)
		return
	}
	start := p.op.Offset + p.opOffset
	if key, ok := p.volume.orders[p.copyIndex].Take(p.id, start, start+p.len, p.deadline); ok {
		c.submit(p, key)
	} else {
		p.held = true
		c.tally.Held++
	}
}

// sameNamespace reports whether an earlier extent without mirrors lies in the same namespace of the same cell.
func sameNamespace(before []settings.Extent, x *settings.Extent) bool {
	for i := range before {
		if len(before[i].Copies) == 1 && before[i].Cell == x.Cell && before[i].Namespace == x.Namespace {
			return true
		}
	}
	return false
}

// extentAt returns the index of the extent that holds the given byte of the volume.
func (v *volume) extentAt(at int64) (index int) {
	lo, hi := 0, len(v.Extents)
	for lo < hi {
		if m := (lo + hi) / 2; v.Extents[m].Start+v.Extents[m].Len <= at {
			lo = m + 1
		} else {
			hi = m
		}
	}
	return lo
}

// submit hands a piece to logic. Key is the key of its order of changes, 0 for other requests.
func (c *Core) submit(p *piece, key uint64) {
	p.held = false
	a := logic.Arrival{
		Request: p.id, Class: p.op.Class, Cell: p.cell(), Key: key, Volume: logic.VolumeID(p.volume.Account),
		Plan: p.volume.Plan, Attached: p.volume.Attached, Units: p.units, Deadline: p.deadline, EarlierAttempts: p.attempts, SingleAttempt: p.route.GiveUpEarly,
	}
	a.HomeZoneOnly = p.object != nil && p.object.HomeOnly
	if p.op.fill != nil { // a separate queue, so that catching up yields to the volume's requests
		a.Volume, a.Plan = fillVolumeBit|a.Volume, c.cfg.Copies.Plan
	}
	c.host.AddEvent(a)
}

// ClientGone reports that the client of a request has left. Attempts in flight go on as logic decides.
func (c *Core) ClientGone(now logic.Micros, op *Op) {
	if op.answered || op.clientGone {
		return
	}
	op.clientGone = true
	c.tally.Gone++
	for _, ch := range op.changes {
		ch.mirror.ClientGone(now, &ch.Change)
		c.applyMirrorActions(now, ch.mirror)
	}
	for _, p := range op.pieces {
		if p.answered || p.change != nil { // a change goes on at all copies, so that they stay identical
			continue
		}
		p.answered = true
		if !p.held {
			c.host.AddEvent(logic.ClientGone{Request: p.id})
		}
		c.releasePiece(now, p)
	}
}

// AttemptEnded reports the end of an attempt, as the back delivers it.
func (c *Core) AttemptEnded(now logic.Micros, b *block.Attempt, r block.Result) {
	a := b.Owner.(*attempt)
	c.settleTransfer(now, a, r)
	if c.host.MarkEnded(&a.drive) {
		c.reportEnd(now, a, r)
	} else {
		c.tally.LateEnds++
	}
	c.recycle(a)
}

func (c *Core) recycle(a *attempt) {
	a.Buffer.Release()
	a.Buffer, a.piece = nil, nil
	c.tally.Attempts--
	c.freeAttempts = append(c.freeAttempts, a)
}

// reportEnd reports the end of an attempt to logic.
func (c *Core) reportEnd(now logic.Micros, a *attempt, r block.Result) {
	p := a.piece
	c.tally.Outcomes[r.Outcome]++
	c.tally.Out--
	p.outstanding--
	switch r.Outcome {
	case logic.Failed:
		p.mayHaveRun = true
	case logic.TimedOut, logic.Reset, logic.Cancelled:
		p.mayHaveRun = true
		p.runningUntil = now + c.cfg.Logic.Rules.OrderPause
	case logic.OK:
		if !p.answered && p.op.Kind == block.Read {
			p.result, p.resultOffset = a.Buffer.Hold(), a.BufferOffset
		}
	}
	if p.object != nil {
		c.objectEnded(a, r.Outcome)
	}
	c.host.AddEvent(logic.AttemptEnded{
		Request: p.id, Attempt: a.drive.Number, Node: a.Node, Outcome: r.Outcome, Took: now - a.drive.Sent,
		Settled: r.Outcome == logic.OK || p.answered, Elsewhere: int(r.BytesElsewhere / p.volume.UnitBytes), Load: r.Load,
	})
	if r.Outcome == logic.OK {
		c.answerPiece(now, p, ranges.Served, 0)
	}
	c.releasePiece(now, p)
}

// Nodes reports changes of the node list.
func (c *Core) Nodes(now logic.Micros, nodes []logic.Node) {
	if len(nodes) > 0 {
		c.host.AddEvent(logic.NodeList{Kind: logic.ListDelta, Nodes: nodes})
		c.updateNodes(now, nodes)
	}
}

// Next returns the time at which Step must be called at the latest, or 0 if not before the next event.
func (c *Core) Next() (at logic.Micros) {
	if len(c.actions) > 0 {
		return 1
	}
	consider := func(t logic.Micros) {
		if t > 0 && (at == 0 || t < at) {
			at = t
		}
	}
	consider(c.host.Next())
	for i := range c.volumes {
		for _, o := range c.volumes[i].orders {
			consider(o.Next())
		}
	}
	consider(c.mirrors.nextAt)
	return at
}

// Step processes all events so far and returns the resulting actions, which are valid until the next Step.
func (c *Core) Step(now logic.Micros) []Action {
	for due := c.host.PopExpired(now); due != nil; due = c.host.PopExpired(now) {
		a := due.Owner.(*attempt)
		c.actions = append(c.actions, Action{Kind: Drop, Attempt: &a.Attempt})
		c.reportEnd(now, a, block.Result{Outcome: logic.TimedOut, Load: logic.NoLoad})
	}
	for i := range c.volumes {
		for _, o := range c.volumes[i].orders {
			o.RefuseExpired(now, func(id logic.RequestID) { c.endUnserved(now, id, ranges.Refused, 0) })
			o.Release(now, func(id logic.RequestID, key uint64) { c.submit(c.pieces[id], key) })
		}
	}
	for _, x := range c.host.Run(now) {
		c.apply(now, x)
	}
	c.advanceMirrors(now) // after logic has processed the changed node list
	out := c.actions
	clear(c.spareActions)
	c.actions, c.spareActions = c.spareActions[:0], out
	return out
}

// ---- Actions ----

func (c *Core) apply(now logic.Micros, x logic.Action) {
	switch x := x.(type) {
	case logic.Send:
		c.send(now, x)
	case logic.Refuse:
		c.endUnserved(now, x.Request, ranges.Refused, x.RetryAfter)
	case logic.Fail:
		c.endUnserved(now, x.Request, ranges.Failed, 0)
	case logic.Wake: // handled by package drive
	case logic.Note:
		c.actions = append(c.actions, Action{Kind: Note, Text: x.Text})
	case logic.Abort, logic.Probe, logic.Watch, logic.Fetch:
		// Package logic has these actions for other callers. Here a timeout aborts the attempt, load reports arrive
		// with answers, and the node list is pushed.
		c.actions = append(c.actions, Action{Kind: Note, Text: fmt.Sprintf("logic requested %T, which the engine does not support", x)})
	}
}

// endUnserved ends a piece that was not served.
func (c *Core) endUnserved(now logic.Micros, id logic.RequestID, answer ranges.Answer, coolDown logic.Micros) {
	if p := c.pieces[id]; p != nil {
		c.answerPiece(now, p, answer, coolDown)
		c.releasePiece(now, p)
	}
}

// send makes an attempt for a piece and adds the action that starts it. Without space or buffer memory the attempt ends
// at once as moot.
func (c *Core) send(now logic.Micros, s logic.Send) {
	p := c.pieces[s.Request]
	if p == nil {
		return
	}
	a := c.newAttempt()
	op := p.op
	a.piece = p
	a.drive.Request, a.drive.Number, a.drive.Node, a.drive.Sent, a.drive.Deadline = p.id, p.attempts-p.earlierAttempts, s.Node, now, p.deadline
	a.reason = c.attemptReason(p)
	a.volume, a.class, a.budgetBytes, p.budgetBytes = op.Volume, op.Class, p.budgetBytes, 0
	if s.StopAt > 0 {
		a.drive.Deadline = min(a.drive.Deadline, s.StopAt)
	}
	a.Node, a.Kind, a.Len, a.Offset, a.BufferOffset, a.Key = s.Node, op.Kind, p.len, 0, 0, 0
	allocated := true
	if p.object != nil {
		allocated = c.allocateSpace(now, a)
	} else {
		a.Namespace = p.place.Namespace
	}
	// Changes of mirrored extents are always durable: a copy that lost a change it had not stored would be read as if
	// it were up to date.
	a.Durable = op.Durable || p.extent != nil && len(p.extent.Copies) > 1
	if op.Kind != block.Flush && p.object == nil {
		a.Offset = p.place.Base + op.Offset + p.opOffset - p.extent.Start
	}
	if op.Kind.Changes() {
		if a.Key = c.keyNonce | uint64(p.id)&0xffffffff; op.Key != 0 {
			a.Key = op.Key + uint64(p.keyNumber)<<1
		}
	}
	c.tally.Sends++
	if p.attempts > 0 {
		c.tally.Repeats++
	}
	p.attempts++
	p.outstanding++
	c.tally.Out++
	c.tally.Attempts++
	switch {
	case !allocated:
		c.budget.Refund(now, a.budgetBytes)
		c.reportEnd(now, a, block.Result{Outcome: logic.NotSent, Load: logic.NoLoad})
		c.recycle(a)
		return
	case op.Kind == block.Write:
		a.Buffer, a.BufferOffset = op.Buffer.Hold(), p.opOffset+op.bufferOffset
	case op.Kind == block.Read && p.opBufferUnused:
		a.Buffer, a.BufferOffset, p.opBufferUnused = op.Buffer.Hold(), p.opOffset, false
	case op.Kind == block.Read:
		// An earlier attempt may still read into the op's buffer, so a further one gets a buffer of its own.
		if !p.volume.memory.TryAcquire(p.len) {
			c.tally.NoMemory++
			c.budget.Refund(now, a.budgetBytes)
			c.reportEnd(now, a, block.Result{Outcome: logic.NotSent, Load: logic.NoLoad})
			c.recycle(a)
			return
		}
		a.Buffer = block.NewBuffer(p.len, p.volume.memory.Release)
	}
	c.host.Track(&a.drive)
	c.actions = append(c.actions, Action{Kind: Start, Attempt: &a.Attempt, Op: op})
}

func (c *Core) newAttempt() *attempt {
	if n := len(c.freeAttempts); n > 0 {
		a := c.freeAttempts[n-1]
		c.freeAttempts = c.freeAttempts[:n-1]
		return a
	}
	a := &attempt{}
	a.Owner, a.drive.Owner = a, a
	return a
}

// answerPiece records the final answer of a piece, unless the piece is a read that is retried at another copy.
func (c *Core) answerPiece(now logic.Micros, p *piece, answer ranges.Answer, coolDown logic.Micros) {
	if p.answered || answer != ranges.Served && c.retryElsewhere(now, p) {
		return
	}
	p.answered = true
	switch {
	case p.change != nil:
		c.copyEnded(now, p, answer == ranges.Served, coolDown)
	case p.op.fill != nil:
		c.fillEnded(now, p, answer == ranges.Served, coolDown)
	default:
		c.mergeAnswer(p.op, answer, coolDown)
		c.partAnswered(now, p.op)
	}
}

// mergeAnswer merges the answer of a part into that of its op.
func (c *Core) mergeAnswer(op *Op, answer ranges.Answer, coolDown logic.Micros) {
	op.answer = ranges.Join(op.answer, answer, !op.hasAnswer, c.cfg.Logic.Classes[op.Class].Repeat)
	op.hasAnswer = true
	op.CoolDown = max(op.CoolDown, coolDown)
}

// partAnswered counts down the unanswered parts of an op. After the last one it finishes the op.
func (c *Core) partAnswered(now logic.Micros, op *Op) {
	if op.unanswered--; op.unanswered > 0 || op.clientGone {
		return
	}
	op.answered = true
	op.Verdict = verdicts[op.answer]
	if op.Verdict != block.Refused {
		op.CoolDown = 0
	} else if v := &c.volumes[op.Volume]; !op.NoSpace {
		op.Limited = c.host.Limited(logic.VolumeID(v.Account), v.Units(op.Len))
	}
	op.Took = now - op.takenAt
	c.tally.Answers[op.Verdict]++
	c.actions = append(c.actions, Action{Kind: Finish, Op: op})
}

var verdicts = [...]block.Verdict{ranges.Served: block.Served, ranges.Refused: block.Refused, ranges.Failed: block.Failed}

// releasePiece releases a piece that is answered and has no attempts outstanding.
func (c *Core) releasePiece(now logic.Micros, p *piece) {
	if !p.answered || p.outstanding > 0 || c.pieces[p.id] != p {
		return
	}
	delete(c.pieces, p.id)
	if p.budgetBytes > 0 { // it was never sent
		c.budget.Refund(now, p.budgetBytes)
	}
	if p.object != nil {
		c.freeUnusedSpace(now, p)
	}
	if p.ordered {
		rest := p.runningUntil
		if rest <= now {
			rest = 0
		}
		p.volume.orders[p.copyIndex].Done(p.id, rest)
	}
	c.releaseOp(p.op)
}

// releaseOp releases a part of an op. The front's reference keeps the op until the front has answered.
func (c *Core) releaseOp(op *Op) {
	if op.unreleased--; op.unreleased > 0 {
		return
	}
	if op.fill == nil {
		c.tally.Ops--
	}
	op.Release()
}
