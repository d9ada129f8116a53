package engine

import (
	"slices"

	"appleplank/copies"
	"appleplank/internal/block"
	"appleplank/internal/settings"
	"appleplank/logic"
	"appleplank/ranges"
)

// What follows carries out for mirrored extents what package copies decides: changes go to several copies as pieces of
// their own, each in its copy's order; a read goes to one copy and, while there is time, to another; a copy that has
// missed something is read from the lead and written anew, in the orders of both.

// mirror is a mirrored extent.
type mirror struct {
	*copies.Set
	vol    *volume
	extent int
	x      *settings.Extent
	next   logic.Micros // when to tend it; 0: when something happens
	awake  bool         // in mirrors
}

// mirrors are those of which something is known but that all their copies are whole.
type mirrors struct {
	awake []*mirror
	next  logic.Micros // when to tend them; 0: when something happens
	fills int
	still bool // nothing is caught up any more
}

// change is a change of bytes of one mirrored extent.
type change struct {
	copies.Change
	mirror    *mirror
	op        *Op
	from, len int64 // byte of the op
	part      int
	asked     [copies.MaxCopies]float64 // of the crossing budget
	wait      logic.Micros              // advice of those who refused a part of it
}

// fillVolume sets the queues apart from which copies are caught up.
const fillVolume = logic.VolumeID(1) << 63

// reach tells whether a cell's node takes work and, as far as is known, connections.
func (c *Core) reach(cell int) bool { return c.ready[cell] && !c.host.Down(cell) }

// begin takes a change of a mirrored extent. What may not cross to a copy is not sent there, as long as enough others
// can hold it: the copy is caught up when there is room.
func (c *Core) begin(now logic.Micros, op *Op, m *mirror, at, n int64, by logic.Micros, part int) {
	class := &c.cfg.Logic.Classes[op.Class]
	ch := &change{mirror: m, op: op, from: at - op.Offset, len: n, part: part}
	ch.From, ch.To, ch.Owner = at-m.x.Start, at-m.x.Start+n, ch
	ch.Aim, ch.Deadline, ch.Repeatable = class.Aim, by, class.Repeat == logic.Retryable
	ready, need := copies.Mask(0), m.Targets(ch.From, ch.To)
	for i, p := range m.x.Copies {
		if !c.reach(p.Cell) {
			continue
		}
		if need.Has(i) {
			asked, wait, ok := c.ask(now, op.Class, p.Cell, dataBytes(op.Kind, n))
			if !ok {
				c.withheld(m.vol, op, p.Cell, n)
				ch.wait = max(ch.wait, wait)
				continue
			}
			ch.asked[i] = asked
		}
		ready |= copies.MaskOf(i)
	}
	op.changes = append(op.changes, ch)
	op.left++
	op.alive++
	m.Begin(now, &ch.Change, ready)
	c.carry(now, m)
}

// carry carries out what a set wants.
func (c *Core) carry(now logic.Micros, m *mirror) {
	if !m.awake {
		m.awake = true
		c.mirrors.awake = append(c.mirrors.awake, m)
	}
	m.next, c.mirrors.next = 1, 1 // its time may have changed
	for out := m.Out(); len(out) > 0; out = m.Out() {
		for _, o := range out {
			switch o.Kind {
			case copies.WriteMark:
				c.out = append(c.out, Action{Kind: Keep, Mark: Mark{Volume: m.vol.index, Extent: m.extent, Mark: o.Mark}})
			case copies.DeleteMark:
				c.out = append(c.out, Action{Kind: Forget, Mark: Mark{Volume: m.vol.index, Extent: m.extent, Mark: o.Mark}})
			case copies.Send:
				c.sendChange(o.Change.Owner.(*change))
			case copies.Answer:
				c.answerChange(now, o.Change.Owner.(*change))
			}
		}
	}
}

// sendChange makes the pieces of a change, one for each copy that it goes to.
func (c *Core) sendChange(ch *change) {
	for i := range ch.mirror.x.Copies {
		if !ch.Sent.Has(i) {
			continue
		}
		p := c.newPiece(ch.op, ch.mirror.vol, ch.mirror.x, i, ch.from, ch.len, ch.Deadline)
		ch.op.left-- // the change has one answer
		p.change, p.number, p.asked, ch.asked[i] = ch, ch.part|i<<16, ch.asked[i], 0
		c.launch(p)
	}
}

// copyEnded tells how a change has ended at a copy.
func (c *Core) copyEnded(now logic.Micros, p *piece, held bool, coolDown logic.Micros) {
	ch := p.change
	ch.wait = max(ch.wait, coolDown)
	ch.mirror.Ended(now, &ch.Change, p.copy, held, p.ran)
	c.carry(now, ch.mirror)
	c.letChange(ch)
}

// answerChange takes the answer of a change.
func (c *Core) answerChange(now logic.Micros, ch *change) {
	for i, asked := range ch.asked { // what was never sent
		if asked > 0 {
			c.budget.Refund(now, asked)
			ch.asked[i] = 0
		}
	}
	how := [...]ranges.Answer{copies.Served: ranges.Served, copies.Refused: ranges.Refused, copies.Failed: ranges.Failed}[ch.Verdict]
	wait := ch.wait
	if wait == 0 && c.cfg.Logic.CoolDowns {
		wait = min(ch.RetryAfter, c.cfg.Logic.MaxCoolDown)
	}
	c.join(ch.op, how, wait)
	c.settled(now, ch.op)
	c.letChange(ch)
}

// letChange lets go of a change once it is answered and over at each copy.
func (c *Core) letChange(ch *change) {
	if ch.op != nil && ch.Done() {
		op := ch.op
		ch.op = nil
		c.let(op)
	}
}

// ---- reads ----

// read takes a read of a mirrored extent, in as many pieces as it takes to read each from a copy that is whole there.
func (c *Core) read(now logic.Micros, op *Op, m *mirror, at, n int64, by logic.Micros) {
	for end := at + n; at < end; {
		mask, to := m.Readable(at-m.x.Start, end-m.x.Start)
		to += m.x.Start
		p := c.newPiece(op, m.vol, m.x, 0, at-op.Offset, to-at, by)
		p.set, p.way = m, copies.Read{Aim: c.cfg.Logic.Classes[op.Class].Aim, Deadline: by, MaxAttempts: c.cfg.Logic.MaxAttempts}
		seen := c.seen(p)
		wait, ok := p.way.Choose(mask, seen[:len(m.x.Copies)], c.asking(now, p))
		if c.go_(p); ok {
			c.launch(p)
		} else {
			c.withheld(m.vol, op, p.place.Cell, p.len)
			c.answer(now, p, ranges.Refused, wait)
		}
		at = to
	}
}

// go_ points a read at the copy that it goes to.
func (c *Core) go_(p *piece) { p.copy, p.place = p.way.Copy, &p.extent.Copies[p.way.Copy] }

// seen is what is known of the copies that a read may go to.
func (c *Core) seen(p *piece) (seen [copies.MaxCopies]copies.CopyState) {
	for i, x := range p.extent.Copies {
		seen[i] = copies.CopyState{Home: c.home[x.Cell], Ready: c.reach(x.Cell), ExpectedTime: c.host.EstimateResponseTime(x.Cell, p.units)}
	}
	return seen
}

// asking asks the crossing budget for a read.
func (c *Core) asking(now logic.Micros, p *piece) copies.Admitter {
	return func(copy int) (wait logic.Micros, ok bool) {
		asked, wait, ok := c.ask(now, p.op.Class, p.extent.Copies[copy].Cell, p.len)
		p.asked += asked
		return wait, ok
	}
}

// elsewhere lets a read that was not served where it went go on, as the same request: its attempts so far count.
func (c *Core) elsewhere(now logic.Micros, p *piece) bool {
	if p.set == nil || p.op.gone || p.out > 0 || c.pieces[p.id] != p {
		return false
	}
	from := p.op.Offset + p.from - p.extent.Start
	mask, end := p.set.Readable(from, from+p.len)
	seen := c.seen(p)
	if end < from+p.len || !p.way.Retry(now, mask, seen[:len(p.extent.Copies)], p.tries, c.asking(now, p)) {
		return false
	}
	c.go_(p)
	delete(c.pieces, p.id)
	c.lastID++
	p.id, p.before = logic.RequestID(c.lastID), p.tries
	c.pieces[p.id] = p
	c.tally.Elsewhere++
	c.arrive(p, 0)
	return true
}

// ---- catching up ----

// fill is a run of bytes on its way from the lead to a copy that has missed something.
type fill struct {
	copies.Fill
	mirror      *mirror
	read, write *piece
}

// tend lets time pass for the mirrors whose time has come, and begins to catch up what can be.
func (c *Core) tend(now logic.Micros) {
	ms := &c.mirrors
	if ms.next == 0 || ms.next > now {
		return
	}
	for _, m := range slices.Clone(ms.awake) {
		if m.next == 0 || m.next > now {
			continue
		}
		m.HandleTimeouts(now)
		c.carry(now, m)
		m.next = m.Next()
		if !ms.still {
			c.catchUp(now, m)
		}
	}
	ms.next = 0
	ms.awake = slices.DeleteFunc(ms.awake, func(m *mirror) bool {
		if m.awake = !m.Idle(); m.awake && m.next > 0 && (ms.next == 0 || m.next < ms.next) {
			ms.next = m.next
		}
		return !m.awake
	})
}

// catchUp begins to catch up what can be of a mirror.
func (c *Core) catchUp(now logic.Micros, m *mirror) {
	ready := copies.Mask(0)
	for i, p := range m.x.Copies {
		if c.reach(p.Cell) {
			ready |= copies.MaskOf(i)
		}
	}
	for c.mirrors.fills < c.cfg.Copies.Together {
		f, ok, wait := m.Fill(now, ready)
		if !ok {
			if wait > 0 && (m.next == 0 || now+wait < m.next) {
				m.next = now + wait
			}
			return
		}
		c.fill(now, &fill{Fill: f, mirror: m})
	}
}

// lookAgain has every mirror tended: what they can do may have changed.
func (c *Core) lookAgain() {
	for _, m := range c.mirrors.awake {
		m.next, c.mirrors.next = 1, 1
	}
}

// fill begins to catch up a run of bytes: the read takes its turn among the changes at the source, and the place of the
// write is kept among those at the target.
func (c *Core) fill(now logic.Micros, f *fill) {
	x, v, class := f.mirror.x, f.mirror.vol, c.cfg.Copies.Class
	n := f.To - f.From
	refused := func(wait logic.Micros) {
		f.mirror.Filled(now, f.Fill, false, wait)
	}
	from, wait, ok := c.ask(now, class, x.Copies[f.Source].Cell, n)
	if !ok {
		refused(wait)
		return
	}
	to, wait, ok := c.ask(now, class, x.Copies[f.Target].Cell, n)
	if !ok || !v.memory.TryAcquire(n) {
		c.budget.Refund(now, from+to)
		refused(wait)
		return
	}
	by := now + c.cfg.Logic.Classes[class].Deadline - c.cfg.Times.AnswerMargin
	op := func(k block.Kind, copy int, asked float64) *piece {
		op := NewOp()
		op.Release() // there is no front
		op.Volume, op.Kind, op.Class, op.Offset, op.Len, op.fill, op.taken = v.index, k, class, x.Start+f.From, n, f, now
		p := c.newPiece(op, v, x, copy, 0, n, by)
		p.ordered, p.asked = true, asked
		return p
	}
	f.read, f.write = op(block.Read, f.Source, from), op(block.Write, f.Target, to)
	f.read.op.Buffer = block.NewBuffer(n, v.memory.Release)
	f.write.held = true
	c.mirrors.fills++
	start := x.Start + f.From
	v.orders[f.Target].Reserve(f.write.id, start, start+n)
	c.launch(f.read)
}

// fillEnded goes on with catching up when its read or its write has ended.
func (c *Core) fillEnded(now logic.Micros, p *piece, served bool, coolDown logic.Micros) {
	f := p.op.fill
	if served && p == f.read {
		w := f.write
		w.op.Buffer, w.op.at = p.result.Hold(), p.at
		w.dropDead = now + c.cfg.Logic.Classes[c.cfg.Copies.Class].Deadline - c.cfg.Times.AnswerMargin
		if key, ok := w.vol.orders[w.copy].Ready(w.id, w.dropDead); ok {
			c.arrive(w, key)
		}
		return
	}
	if p == f.read {
		f.write.answered = true
		c.forget(now, f.write)
	}
	c.mirrors.fills--
	f.mirror.Filled(now, f.Fill, served, coolDown)
	c.lookAgain() // also another one's turn may have come
}

// ---- what outlasts the process ----

// Kept says that a mark is on stable storage, or that this cannot be told.
func (c *Core) Kept(now logic.Micros, m Mark, ok bool) {
	at := c.vols[m.Volume].sets[m.Extent]
	at.MarkWritten(now, m.Mark, ok)
	c.carry(now, at)
}

// RememberMark takes up a mark of an earlier process, before anything happens.
func (c *Core) RememberMark(m Mark) error {
	at := c.vols[m.Volume].sets[m.Extent]
	if err := at.RestoreMark(m.Mark); err != nil {
		return err
	}
	c.carry(0, at)
	return nil
}

// Still begins to catch nothing up any more.
func (c *Core) Still() { c.mirrors.still = true }

// Mirrored is how the copies of a mirrored extent are.
type Mirrored struct {
	Volume, Extent int
	Stale          int // regions in which a copy is
	Whole          []bool
	Tally          copies.Tally
}

// Mirrors tells of all mirrored extents how their copies are.
func (c *Core) Mirrors() (out []Mirrored) {
	for i := range c.vols {
		for j, m := range c.vols[i].sets {
			if m == nil {
				continue
			}
			at := Mirrored{Volume: i, Extent: j, Stale: m.Stale(), Tally: m.Tally}
			for k := range m.x.Copies {
				at.Whole = append(at.Whole, m.UpToDate(k))
			}
			out = append(out, at)
		}
	}
	return out
}
