package engine

import (
	"slices"

	"appleplank/copies"
	"appleplank/internal/block"
	"appleplank/internal/settings"
	"appleplank/logic"
	"appleplank/ranges"
)

// This file carries out the decisions of package copies for mirrored extents. A change goes to several copies as
// separate pieces, each in the order of its copy. A read goes to one copy and, while there is time, to another one. A
// copy that has missed a change is read from the lead and rewritten, in the order of changes of both copies.

// mirror is a mirrored extent and the state of its copies.
type mirror struct {
	*copies.Set
	volume      *volume
	extentIndex int
	extent      *settings.Extent
	nextAt      logic.Micros // when it is due in advanceMirrors; 0: not before the next event
	active      bool         // listed in mirrorState.active
}

// mirrorState lists the active mirrors, which are those with changes in progress or with copies that are not whole.
type mirrorState struct {
	active       []*mirror
	nextAt       logic.Micros // earliest nextAt of active; 0: not before the next event
	activeFills  int
	fillsStopped bool // no further fills are started
}

// change is a change of a byte range in one mirrored extent.
type change struct {
	copies.Change
	mirror        *mirror
	op            *Op
	opOffset, len int64 // offset in the op, in bytes
	partNumber    int
	budgetBytes   [copies.MaxCopies]float64 // bytes of the crossing budget reserved, per copy
	coolDown      logic.Micros              // longest cool-down advised by a refusal of one of its pieces
}

// fillVolumeBit is set in the volume IDs of the separate queues of fills.
const fillVolumeBit = logic.VolumeID(1) << 63

// reachable reports whether a cell's node accepts work and, as far as is known, connections.
func (c *Core) reachable(cell int) bool { return c.readyCells[cell] && !c.host.Down(cell) }

// beginChange starts a change of a mirrored extent. Where the crossing budget does not allow sending it to a copy, it
// is not sent there as long as enough other copies can hold it. The copy is caught up when the budget allows it.
func (c *Core) beginChange(now logic.Micros, op *Op, m *mirror, at, n int64, deadline logic.Micros, partNumber int) {
	class := &c.cfg.Logic.Classes[op.Class]
	ch := &change{mirror: m, op: op, opOffset: at - op.Offset, len: n, partNumber: partNumber}
	ch.From, ch.To, ch.Owner = at-m.extent.Start, at-m.extent.Start+n, ch
	ch.Aim, ch.Deadline, ch.Repeatable = class.Aim, deadline, class.Repeat == logic.Retryable
	ready, need := copies.Mask(0), m.Targets(ch.From, ch.To)
	for i, p := range m.extent.Copies {
		if !c.reachable(p.Cell) {
			continue
		}
		if need.Has(i) {
			asked, wait, ok := c.requestBudget(now, op.Class, p.Cell, dataBytes(op.Kind, n))
			if !ok {
				c.recordWithheld(m.volume, op, p.Cell, n)
				ch.coolDown = max(ch.coolDown, wait)
				continue
			}
			ch.budgetBytes[i] = asked
		}
		ready |= copies.MaskOf(i)
	}
	op.changes = append(op.changes, ch)
	op.unanswered++
	op.unreleased++
	m.Begin(now, &ch.Change, ready)
	c.applyMirrorActions(now, m)
}

// applyMirrorActions carries out the actions of a mirror's set.
func (c *Core) applyMirrorActions(now logic.Micros, m *mirror) {
	if !m.active {
		m.active = true
		c.mirrors.active = append(c.mirrors.active, m)
	}
	m.nextAt, c.mirrors.nextAt = 1, 1 // the mirror's due time may have changed
	for out := m.Out(); len(out) > 0; out = m.Out() {
		for _, o := range out {
			switch o.Kind {
			case copies.WriteMark:
				c.actions = append(c.actions, Action{Kind: Keep, Mark: Mark{Volume: m.volume.index, Extent: m.extentIndex, Mark: o.Mark}})
			case copies.DeleteMark:
				c.actions = append(c.actions, Action{Kind: Forget, Mark: Mark{Volume: m.volume.index, Extent: m.extentIndex, Mark: o.Mark}})
			case copies.Send:
				c.sendChange(o.Change.Owner.(*change))
			case copies.Answer:
				c.answerChange(now, o.Change.Owner.(*change))
			}
		}
	}
}

// sendChange creates the pieces of a change, one for each copy that it goes to.
func (c *Core) sendChange(ch *change) {
	for i := range ch.mirror.extent.Copies {
		if !ch.Sent.Has(i) {
			continue
		}
		p := c.newPiece(ch.op, ch.mirror.volume, ch.mirror.extent, i, ch.opOffset, ch.len, ch.Deadline)
		ch.op.unanswered-- // the change as a whole has one answer
		p.change, p.keyNumber, p.budgetBytes, ch.budgetBytes[i] = ch, ch.partNumber|i<<16, ch.budgetBytes[i], 0
		c.dispatch(p)
	}
}

// copyEnded records how a change has ended at one copy.
func (c *Core) copyEnded(now logic.Micros, p *piece, held bool, coolDown logic.Micros) {
	ch := p.change
	ch.coolDown = max(ch.coolDown, coolDown)
	ch.mirror.Ended(now, &ch.Change, p.copyIndex, held, p.mayHaveRun)
	c.applyMirrorActions(now, ch.mirror)
	c.releaseChange(ch)
}

// answerChange merges the answer of a change into that of its op.
func (c *Core) answerChange(now logic.Micros, ch *change) {
	for i, asked := range ch.budgetBytes { // budget of pieces that were never sent
		if asked > 0 {
			c.budget.Refund(now, asked)
			ch.budgetBytes[i] = 0
		}
	}
	answer := [...]ranges.Answer{copies.Served: ranges.Served, copies.Refused: ranges.Refused, copies.Failed: ranges.Failed}[ch.Verdict]
	wait := ch.coolDown
	if wait == 0 && c.cfg.Logic.CoolDowns {
		wait = min(ch.RetryAfter, c.cfg.Logic.MaxCoolDown)
	}
	c.mergeAnswer(ch.op, answer, wait)
	c.partAnswered(now, ch.op)
	c.releaseChange(ch)
}

// releaseChange releases a change once it is answered and has ended at each copy.
func (c *Core) releaseChange(ch *change) {
	if ch.op != nil && ch.Done() {
		op := ch.op
		ch.op = nil
		c.releaseOp(op)
	}
}

// ---- Reads ----

// beginRead starts a read of a mirrored extent. It creates as many pieces as are needed to read each one from a copy
// that is whole in its range.
func (c *Core) beginRead(now logic.Micros, op *Op, m *mirror, at, n int64, deadline logic.Micros) {
	for end := at + n; at < end; {
		mask, to := m.Readable(at-m.extent.Start, end-m.extent.Start)
		to += m.extent.Start
		p := c.newPiece(op, m.volume, m.extent, 0, at-op.Offset, to-at, deadline)
		p.mirror, p.route = m, copies.Read{Aim: c.cfg.Logic.Classes[op.Class].Aim, Deadline: deadline, MaxAttempts: c.cfg.Logic.MaxAttempts}
		seen := c.copyStates(p)
		wait, ok := p.route.Choose(mask, seen[:len(m.extent.Copies)], c.budgetRequester(now, p))
		if c.routeToCopy(p); ok {
			c.dispatch(p)
		} else {
			c.recordWithheld(m.volume, op, p.place.Cell, p.len)
			c.answerPiece(now, p, ranges.Refused, wait)
		}
		at = to
	}
}

// routeToCopy directs a read to the copy that its route has chosen.
func (c *Core) routeToCopy(p *piece) {
	p.copyIndex, p.place = p.route.Copy, &p.extent.Copies[p.route.Copy]
}

// copyStates returns what is known of the copies that a read may go to.
func (c *Core) copyStates(p *piece) (seen [copies.MaxCopies]copies.CopyState) {
	for i, x := range p.extent.Copies {
		seen[i] = copies.CopyState{Home: c.localCells[x.Cell], Ready: c.reachable(x.Cell), ExpectedTime: c.host.EstimateResponseTime(x.Cell, p.units)}
	}
	return seen
}

// budgetRequester returns a function that requests crossing budget for a read of a copy.
func (c *Core) budgetRequester(now logic.Micros, p *piece) copies.Admitter {
	return func(copy int) (wait logic.Micros, ok bool) {
		asked, wait, ok := c.requestBudget(now, p.op.Class, p.extent.Copies[copy].Cell, p.len)
		p.budgetBytes += asked
		return wait, ok
	}
}

// retryElsewhere retries a read that was not served at another copy and reports whether it did. It is still the same
// client request: the attempts so far count towards its maximum.
func (c *Core) retryElsewhere(now logic.Micros, p *piece) bool {
	if p.mirror == nil || p.op.clientGone || p.outstanding > 0 || c.pieces[p.id] != p {
		return false
	}
	from := p.op.Offset + p.opOffset - p.extent.Start
	mask, end := p.mirror.Readable(from, from+p.len)
	seen := c.copyStates(p)
	if end < from+p.len || !p.route.Retry(now, mask, seen[:len(p.extent.Copies)], p.attempts, c.budgetRequester(now, p)) {
		return false
	}
	c.routeToCopy(p)
	delete(c.pieces, p.id)
	c.lastID++
	p.id, p.earlierAttempts = logic.RequestID(c.lastID), p.attempts
	c.pieces[p.id] = p
	c.tally.Elsewhere++
	c.submit(p, 0)
	return true
}

// ---- Catching up ----

// fill is the copying of a byte range from the lead to a copy that has missed a change.
type fill struct {
	copies.Fill
	mirror      *mirror
	read, write *piece
}

// advanceMirrors processes the mirrors that are due, and starts the fills that are possible.
func (c *Core) advanceMirrors(now logic.Micros) {
	ms := &c.mirrors
	if ms.nextAt == 0 || ms.nextAt > now {
		return
	}
	for _, m := range slices.Clone(ms.active) {
		if m.nextAt == 0 || m.nextAt > now {
			continue
		}
		m.HandleTimeouts(now)
		c.applyMirrorActions(now, m)
		m.nextAt = m.Next()
		if !ms.fillsStopped {
			c.startFills(now, m)
		}
	}
	ms.nextAt = 0
	ms.active = slices.DeleteFunc(ms.active, func(m *mirror) bool {
		if m.active = !m.Idle(); m.active && m.nextAt > 0 && (ms.nextAt == 0 || m.nextAt < ms.nextAt) {
			ms.nextAt = m.nextAt
		}
		return !m.active
	})
}

// startFills starts the fills of a mirror that are possible now.
func (c *Core) startFills(now logic.Micros, m *mirror) {
	ready := copies.Mask(0)
	for i, p := range m.extent.Copies {
		if c.reachable(p.Cell) {
			ready |= copies.MaskOf(i)
		}
	}
	for c.mirrors.activeFills < c.cfg.Copies.Together {
		f, ok, wait := m.Fill(now, ready)
		if !ok {
			if wait > 0 && (m.nextAt == 0 || now+wait < m.nextAt) {
				m.nextAt = now + wait
			}
			return
		}
		c.beginFill(now, &fill{Fill: f, mirror: m})
	}
}

// recheckMirrors makes every active mirror due, because the fills that are possible may have changed.
func (c *Core) recheckMirrors() {
	for _, m := range c.mirrors.active {
		m.nextAt, c.mirrors.nextAt = 1, 1
	}
}

// beginFill starts a fill. Its read is ordered among the changes at the source, and the position of its write is
// reserved among those at the target.
func (c *Core) beginFill(now logic.Micros, f *fill) {
	x, v, class := f.mirror.extent, f.mirror.volume, c.cfg.Copies.Class
	n := f.To - f.From
	refused := func(wait logic.Micros) {
		f.mirror.Filled(now, f.Fill, false, wait)
	}
	sourceBytes, wait, ok := c.requestBudget(now, class, x.Copies[f.Source].Cell, n)
	if !ok {
		refused(wait)
		return
	}
	targetBytes, wait, ok := c.requestBudget(now, class, x.Copies[f.Target].Cell, n)
	if !ok || !v.memory.TryAcquire(n) {
		c.budget.Refund(now, sourceBytes+targetBytes)
		refused(wait)
		return
	}
	deadline := now + c.cfg.Logic.Classes[class].Deadline - c.cfg.Times.AnswerMargin
	newFillPiece := func(k block.Kind, copy int, asked float64) *piece {
		op := NewOp()
		op.Release() // releases the front's reference, as there is no front
		op.Volume, op.Kind, op.Class, op.Offset, op.Len, op.fill, op.takenAt = v.index, k, class, x.Start+f.From, n, f, now
		p := c.newPiece(op, v, x, copy, 0, n, deadline)
		p.ordered, p.budgetBytes = true, asked
		return p
	}
	f.read, f.write = newFillPiece(block.Read, f.Source, sourceBytes), newFillPiece(block.Write, f.Target, targetBytes)
	f.read.op.Buffer = block.NewBuffer(n, v.memory.Release)
	f.write.held = true
	c.mirrors.activeFills++
	start := x.Start + f.From
	v.orders[f.Target].Reserve(f.write.id, start, start+n)
	c.dispatch(f.read)
}

// fillEnded continues a fill whose read or write has ended.
func (c *Core) fillEnded(now logic.Micros, p *piece, served bool, coolDown logic.Micros) {
	f := p.op.fill
	if served && p == f.read {
		w := f.write
		w.op.Buffer, w.op.bufferOffset = p.result.Hold(), p.resultOffset
		w.deadline = now + c.cfg.Logic.Classes[c.cfg.Copies.Class].Deadline - c.cfg.Times.AnswerMargin
		if key, ok := w.volume.orders[w.copyIndex].Ready(w.id, w.deadline); ok {
			c.submit(w, key)
		}
		return
	}
	if p == f.read {
		f.write.answered = true
		c.releasePiece(now, f.write)
	}
	c.mirrors.activeFills--
	f.mirror.Filled(now, f.Fill, served, coolDown)
	c.recheckMirrors() // a fill of another mirror may be possible now
}

// ---- State that survives a restart ----

// Kept reports whether a mark is on stable storage; ok is false if that is unknown.
func (c *Core) Kept(now logic.Micros, m Mark, ok bool) {
	at := c.volumes[m.Volume].mirrors[m.Extent]
	at.MarkWritten(now, m.Mark, ok)
	c.applyMirrorActions(now, at)
}

// RestoreMark restores a mark of an earlier process. It must be called before any event.
func (c *Core) RestoreMark(m Mark) error {
	at := c.volumes[m.Volume].mirrors[m.Extent]
	if err := at.RestoreMark(m.Mark); err != nil {
		return err
	}
	c.applyMirrorActions(0, at)
	return nil
}

// StopFills stops the start of further fills. Fills in progress go on.
func (c *Core) StopFills() { c.mirrors.fillsStopped = true }

// MirrorStatus is the state of the copies of a mirrored extent.
type MirrorStatus struct {
	Volume, Extent int
	Stale          int // number of regions with a stale copy
	Whole          []bool
	Tally          copies.Tally
}

// Mirrors returns the state of the copies of all mirrored extents.
func (c *Core) Mirrors() (out []MirrorStatus) {
	for i := range c.volumes {
		for j, m := range c.volumes[i].mirrors {
			if m == nil {
				continue
			}
			at := MirrorStatus{Volume: i, Extent: j, Stale: m.Stale(), Tally: m.Tally}
			for k := range m.extent.Copies {
				at.Whole = append(at.Whole, m.UpToDate(k))
			}
			out = append(out, at)
		}
	}
	return out
}
