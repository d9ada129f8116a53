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
	vol    *volume
	extent int
}

func (m mirror) x() *settings.Extent { return &m.vol.Extents[m.extent] }

// mirrors are those of which something is known but that all their copies are whole.
type mirrors struct {
	awake []mirror
	next  logic.Micros // when to tend them; 0: when something happens
	fills int
	still bool // nothing is caught up any more
}

// change is a change of bytes of one mirrored extent.
type change struct {
	copies.Change
	mirror
	op        *Op
	from, len int64 // byte of the op
	by        logic.Micros
	part      int
	asked     [copies.Most]float64 // of the crossing budget
	wait      logic.Micros         // advice where it is refused
}

// again is when a client is to come back where too few copies could take its change.
const again = 300_000

// lookAgain is how long a copy whose nodes take no connections is left alone by catching up.
const lookAgain = 500_000

// fillVolume sets the queues apart from which copies are caught up.
const fillVolume = logic.VolumeID(1) << 63

// reach tells whether a cell's node takes work and, as far as is known, connections.
func (c *Core) reach(cell int) bool { return c.ready[cell] && !c.host.Down(cell) }

func (c *Core) setOf(m mirror) *copies.Set { return m.vol.sets[m.extent] }

// begin takes a change of a mirrored extent. What may not cross to a copy is not sent there, as long as enough others
// can hold it: the copy is caught up when there is room.
func (c *Core) begin(now logic.Micros, op *Op, m mirror, at, n int64, by logic.Micros, part int) {
	x := m.x()
	ch := &change{mirror: m, op: op, from: at - op.Offset, len: n, by: by, part: part}
	ch.From, ch.To, ch.Owner = at-x.Start, at-x.Start+n, ch
	ch.By, ch.Patience = by, min(now+c.cfg.Logic.Classes[op.Class].Aim/2, by)
	set, ready := c.setOf(m), copies.Mask(0)
	need := set.Need(ch.From, ch.To)
	for i := range x.Copies {
		if !c.reach(x.Copies[i].Cell) {
			continue
		}
		if need.Has(i) {
			asked, wait, ok := c.ask(now, op.Class, x.Copies[i].Cell, dataBytes(op.Kind, n))
			if !ok {
				c.withheld(m.vol, op, x.Copies[i].Cell, n)
				ch.wait = max(ch.wait, wait)
				continue
			}
			ch.asked[i] = asked
		}
		ready |= copies.Of(i)
	}
	op.changes = append(op.changes, ch)
	op.left++
	op.alive++
	c.wakeMirror(m)
	set.Begin(now, &ch.Change, ready)
	c.carry(now, m)
}

// carry carries out what a set wants.
func (c *Core) carry(now logic.Micros, m mirror) {
	set := c.setOf(m)
	for out := set.Out(); len(out) > 0; out = set.Out() {
		for _, o := range out {
			switch o.Kind {
			case copies.Keep:
				c.out = append(c.out, Action{Kind: Keep, Mark: Mark{m.vol.index, m.extent, o.Mark}})
			case copies.Forget:
				c.out = append(c.out, Action{Kind: Forget, Mark: Mark{m.vol.index, m.extent, o.Mark}})
			case copies.Send:
				c.sendChange(o.Change.Owner.(*change))
			case copies.Answer:
				c.answerChange(now, o.Change.Owner.(*change))
			}
		}
	}
	c.mirrors.next = 1 // its time may have changed
}

// sendChange makes the pieces of a change, one for each copy that it goes to.
func (c *Core) sendChange(ch *change) {
	for i := range ch.x().Copies {
		if !ch.Sent.Has(i) {
			continue
		}
		p := c.newPiece(ch.op, ch.vol, ch.x(), i, ch.from, ch.len, ch.by)
		ch.op.left-- // the change has one answer
		p.change, p.number, p.asked, ch.asked[i] = ch, ch.part|i<<16, ch.asked[i], 0
		c.launch(p)
	}
}

// copyEnded tells how a change has ended at a copy.
func (c *Core) copyEnded(now logic.Micros, p *piece, held bool, coolDown logic.Micros) {
	ch := p.change
	ch.wait = max(ch.wait, coolDown)
	c.setOf(ch.mirror).Ended(now, &ch.Change, p.copy, held, p.ran)
	c.carry(now, ch.mirror)
	c.letChange(ch)
}

// answerChange takes the answer of a change.
func (c *Core) answerChange(now logic.Micros, ch *change) {
	for i, asked := range ch.asked { // what was never sent
		if asked > 0 {
			c.budget.Back(now, asked)
			ch.asked[i] = 0
		}
	}
	how, wait := [...]ranges.Answer{copies.Served: ranges.Served, copies.Refused: ranges.Refused, copies.Failed: ranges.Failed}[ch.Verdict], ch.wait
	if how == ranges.Failed && c.cfg.Logic.Classes[ch.op.Class].Repeat == logic.Retryable {
		how = ranges.Refused
	}
	if how == ranges.Refused && wait == 0 && c.cfg.Logic.CoolDowns {
		wait = min(again, c.cfg.Logic.MaxCoolDown)
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
func (c *Core) read(now logic.Micros, op *Op, m mirror, at, n int64, by logic.Micros) {
	x := m.x()
	for end := at + n; at < end; {
		mask, to := c.setOf(m).Readable(at-x.Start, end-x.Start)
		to += x.Start
		p := c.newPiece(op, m.vol, x, 0, at-op.Offset, to-at, by)
		p.set = m
		wait, ok := c.choose(now, p, mask)
		if ok {
			c.launch(p)
		} else {
			p.tried = mask // there is no better one
			c.answer(now, p, ranges.Refused, wait)
		}
		at = to
	}
}

// choose finds the copy a read goes to next and asks the budget where that crosses. A spill that may not cross goes to
// the best copy at home.
func (c *Core) choose(now logic.Micros, p *piece, mask copies.Mask) (wait logic.Micros, ok bool) {
	x := p.extent
	var seen [copies.Most]copies.Seen
	for i := range x.Copies {
		cell := x.Copies[i].Cell
		seen[i] = copies.Seen{Home: c.home[cell], Ready: c.reach(cell), Takes: c.host.Outlook(cell, p.units)}
	}
	copy, spills, home := copies.Choose(mask, seen[:len(x.Copies)], c.cfg.Logic.Classes[p.op.Class].Aim)
	if copy < 0 {
		return 0, false
	}
	asked, wait, ok := c.ask(now, p.op.Class, x.Copies[copy].Cell, p.len)
	if !ok && spills {
		copy, spills, asked, ok = home, false, 0, true
	}
	if !ok {
		c.withheld(p.vol, p.op, x.Copies[copy].Cell, p.len)
	}
	p.asked += asked
	p.once = false
	for i := range x.Copies {
		p.once = p.once || i != copy && mask.Has(i) && seen[i].Ready
	}
	p.copy, p.place, p.spills = copy, &x.Copies[copy], spills
	p.tried |= copies.Of(copy)
	return wait, ok
}

// elsewhere sends a read that one copy did not serve to another, as the same request goes on: its attempts so far count.
func (c *Core) elsewhere(now logic.Micros, p *piece) bool {
	most := c.cfg.Logic.MaxAttempts
	if p.set.vol == nil || p.op.gone || p.out > 0 || now >= p.dropDead || most > 0 && p.tries >= most || c.pieces[p.id] != p {
		return false
	}
	from := p.op.Offset + p.from - p.extent.Start
	mask, end := c.setOf(p.set).Readable(from, from+p.len)
	if mask &^= p.tried; mask == 0 || end < from+p.len {
		return false
	}
	before, once := p.copy, p.once
	if _, ok := c.choose(now, p, mask); !ok || !c.reach(p.place.Cell) {
		p.copy, p.place = before, &p.extent.Copies[before]
		if p.once = false; !once || !c.reach(p.place.Cell) {
			return false
		}
		// It was given up early for the sake of a copy that it may not go to: it goes on where it was, if need be late.
	} else {
		p.spills = p.spills || c.home[p.extent.Copies[before].Cell]
	}
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
	mirror
	read, write *piece
}

// wakeMirror notes that something is known of a mirror.
func (c *Core) wakeMirror(m mirror) {
	if !slices.Contains(c.mirrors.awake, m) {
		c.mirrors.awake = append(c.mirrors.awake, m)
	}
}

// tend lets time pass for the mirrors, and begins to catch up what can be.
func (c *Core) tend(now logic.Micros) {
	ms := &c.mirrors
	if ms.next == 0 || ms.next > now {
		return
	}
	ms.next = 0
	soon := func(t logic.Micros) {
		if t > 0 && (ms.next == 0 || t < ms.next) {
			ms.next = t
		}
	}
	keep := ms.awake[:0]
	for _, m := range ms.awake {
		set := c.setOf(m)
		set.Late(now)
		c.carry(now, m)
		if set.Idle() {
			continue
		}
		keep = append(keep, m)
	}
	ms.awake = keep
	ms.next = 0
	for _, m := range ms.awake {
		soon(c.setOf(m).Next())
	}
	if ms.still {
		return
	}
	for _, m := range ms.awake {
		ready := copies.Mask(0)
		for i, p := range m.x().Copies {
			if c.reach(p.Cell) {
				ready |= copies.Of(i)
			} else if c.ready[p.Cell] {
				soon(now + lookAgain)
			}
		}
		for {
			if ms.fills >= c.cfg.Copies.Together { // the end of one brings us here
				return
			}
			f, ok, wait := c.setOf(m).Fill(now, ready)
			if !ok {
				if wait > 0 {
					soon(now + wait)
				}
				break
			}
			c.fill(now, &fill{Fill: f, mirror: m})
		}
	}
}

// fill begins to catch up a run of bytes: the read takes its turn among the changes at the source, and the place of the
// write is kept among those at the target.
func (c *Core) fill(now logic.Micros, f *fill) {
	x, v, class := f.x(), f.vol, c.cfg.Copies.Class
	n := f.To - f.From
	refused := func(wait logic.Micros) {
		c.setOf(f.mirror).Filled(now, f.Fill, false, wait)
		c.carry(now, f.mirror)
	}
	from, wait, ok := c.ask(now, class, x.Copies[f.Source].Cell, n)
	if !ok {
		refused(wait)
		return
	}
	to, wait, ok := c.ask(now, class, x.Copies[f.Target].Cell, n)
	if !ok || !v.memory.TryAcquire(n) {
		c.budget.Back(now, from+to)
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
	c.setOf(f.mirror).Filled(now, f.Fill, served, coolDown)
	c.carry(now, f.mirror)
}

// ---- what outlasts the process ----

// Kept says that a mark is on stable storage, or that this cannot be told.
func (c *Core) Kept(now logic.Micros, m Mark, ok bool) {
	at := mirror{&c.vols[m.Volume], m.Extent}
	c.setOf(at).Kept(now, m.Mark, ok)
	c.carry(now, at)
}

// RememberMark takes up a mark of an earlier process, before anything happens.
func (c *Core) RememberMark(m Mark) error {
	at := mirror{&c.vols[m.Volume], m.Extent}
	c.wakeMirror(at)
	c.mirrors.next = 1
	return c.setOf(at).Remember(m.Mark)
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
		for j, set := range c.vols[i].sets {
			if set == nil {
				continue
			}
			m := Mirrored{Volume: i, Extent: j, Stale: set.Stale(), Tally: set.Tally}
			for k := range c.vols[i].Extents[j].Copies {
				m.Whole = append(m.Whole, set.Whole(k))
			}
			out = append(out, m)
		}
	}
	return out
}
