// Package engine carries block requests from the fronts to the nodes and their answers home. [Core] is a plain
// struct without clock, socket or goroutine: what happens goes in, what to do comes out, and it runs the same in
// simulated time. [Engine] is the thin shell that gives it real time and sockets. Every send, repeat, refusal and
// wait comes from package logic, the order of overlapping changes from package ranges.
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

// ActionKind says what an action asks for.
type ActionKind uint8

const (
	Start  ActionKind = iota // start Attempt at its node
	Drop                     // drop Attempt
	Finish                   // answer Op
	Note                     // log Text
	Keep                     // bring Mark to stable storage and say so with Kept; those of a region in turn
	Forget                   // take Mark away, some time
)

// Action is something to do, in turn.
type Action struct {
	Kind    ActionKind
	Attempt *block.Attempt
	Op      *Op // of Start too; without a front where a copy is caught up
	Text    string
	Mark    Mark
}

// Mark is what must outlast the process of a region of a mirrored extent.
type Mark = copies.RegionMark

// Tally counts what the core has done since it began, and what it holds now.
type Tally struct {
	Taken, Gone    uint64
	Answers        [3]uint64 // by verdict
	Sends, Repeats uint64
	Held           uint64 // changes held back because they overlapped several
	Elsewhere      uint64 // reads that went on at another copy
	NoMemory       uint64 // attempts not made for want of a buffer
	Outcomes       [8]uint64
	LateEnds       uint64 // ends of attempts that logic had been told of as timed out
	Ops            int    // taken and not forgotten
	Pieces         int
	Out            int // attempts whose ends logic waits for
	Attempts       int // attempts the back has not ended
}

// Core is the engine without time and sockets. What it holds is bounded by what fronts hand it: an op lives until
// its deadline, its attempts as long as the back keeps them.
type Core struct {
	cfg     *settings.Config
	host    drive.Host
	vols    []volume
	pieces  map[logic.RequestID]*piece
	lastID  uint64
	nonce   uint64
	out     []Action
	before  []Action // those of the last Step, to be used again
	pool    []*attempt
	tally   Tally
	budget  *crossing.Budget
	nodes   map[logic.NodeID]logic.Node
	home    map[int]bool // cells that a ready node of this gateway's zone holds
	ready   map[int]bool // cells that a ready node holds
	ledger  map[ledgerKey]*Crossed
	mirrors mirrors
}

type volume struct {
	*settings.Volume
	index  int
	orders []*ranges.Order // one for each copy that an extent has; what has no mirrors uses the first
	sets   []*mirror       // for each extent; nil where it has one copy
	memory *semaphore.Weighted
	space  *slabs.Space // of a volume of objects
}

// attempt is one Send of logic's.
type attempt struct {
	block.Attempt
	p      *piece
	drive  drive.Attempt
	volume int
	class  int
	reason Reason
	object int64   // byte of the volume, of a new object
	asked  float64 // bytes of the budget that it has been let through with
}

// NewCore makes a core. The nonce sets its repeat keys apart from those of other gateways and of its own earlier
// lives; only its low 32 bits count.
func NewCore(cfg *settings.Config, seed, nonce uint64) (*Core, error) {
	host, err := logic.New(cfg.Logic, seed)
	if err != nil {
		return nil, err
	}
	budget, err := crossing.New(cfg.Crossing)
	if err != nil {
		return nil, err
	}
	c := &Core{cfg: cfg, host: drive.Host{Host: host}, pieces: map[logic.RequestID]*piece{}, nonce: nonce << 32, budget: budget,
		nodes: map[logic.NodeID]logic.Node{}, home: map[int]bool{}, ready: map[int]bool{}, ledger: map[ledgerKey]*Crossed{}}
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
				m = &mirror{Set: set, extent: j, x: x}
			}
			vol.sets = append(vol.sets, m)
			for len(vol.orders) < len(x.Copies) {
				vol.orders = append(vol.orders, ranges.New(func() uint64 { lastKey++; return lastKey }))
			}
		}
		if v.Objects {
			vol.space = newSpace(v)
		}
		c.vols = append(c.vols, vol)
	}
	for i := range c.vols {
		for _, m := range c.vols[i].sets {
			if m != nil {
				m.vol = &c.vols[i]
			}
		}
	}
	return c, nil
}

// Remember gives the core what an earlier process has learned, before anything happens. Where that process did not
// end by itself, changes wait until its attempts are surely over.
func (c *Core) Remember(now logic.Micros, m logic.Snapshot) error { return c.host.Restore(now, m) }

// Rest holds changes back for the time of the order rule's pause, as attempts of a process that was killed may run.
func (c *Core) Rest(now logic.Micros) {
	for i := range c.vols {
		for _, o := range c.vols[i].orders {
			o.PauseUntil(now + c.cfg.Logic.Rules.OrderPause)
		}
		if s := c.vols[i].space; s != nil {
			s.PauseUntil(now + c.cfg.Logic.Rules.OrderPause)
		}
	}
}

// Quiet tells whether nothing is held, and nothing that was sent may still run at a node.
func (c *Core) Quiet() bool {
	for i := range c.vols {
		for _, o := range c.vols[i].orders {
			if live, held, resting := o.Len(); live+held+resting > 0 {
				return false
			}
		}
	}
	return c.tally.Ops == 0 && c.tally.Attempts == 0
}

// Learned copies what the core has learned by now.
func (c *Core) Learned(now logic.Micros) logic.Snapshot { return c.host.Snapshot(now) }

// Memory is what bounds a volume's buffers; fronts draw on it for what they take.
func (c *Core) Memory(volume int) *semaphore.Weighted { return c.vols[volume].memory }

// Tally tells the counts so far.
func (c *Core) Tally() Tally {
	t := c.tally
	t.Pieces = len(c.pieces)
	return t
}

// ---- what happens ----

// Take is a request from a front, which has checked that its range lies in the volume and that the volume's table
// knows its kind.
func (c *Core) Take(now logic.Micros, op *Op) {
	c.tally.Taken++
	c.tally.Ops++
	v := &c.vols[op.Volume]
	op.taken = now
	// What may have run before counts as a part that was served: a refusal of the rest would promise too much. It
	// guards against a request taken up after a restart that then finds no room; found by the day of restarts.
	op.joined, op.answer = op.Ran, ranges.Served
	op.Class, _ = v.Class(op.Kind, op.Len)
	by := now + cmp.Or(op.Left, c.cfg.Logic.Classes[op.Class].Deadline) - c.cfg.Times.AnswerMargin
	op.left, op.alive = 1, 1 // until all parts are made, so that none ends it before
	if op.Fresh {
		c.newObject(now, op, v, by)
	} else if op.Kind == block.Flush { // to each namespace the volume lies on; mirrored changes are durable already
		for i := range v.Extents {
			if x := &v.Extents[i]; len(x.Copies) == 1 && !sameNamespace(v.Extents[:i], x) {
				c.part(now, c.newPiece(op, v, x, 0, 0, 0, by))
			}
		}
	} else {
		part := 0
		ranges.Split(op.Offset, op.Len, func(at int64) int64 { x := &v.Extents[v.find(at)]; return x.Start + x.Len },
			func(from, n int64) {
				i := v.find(from)
				switch x := &v.Extents[i]; {
				case v.sets[i] == nil:
					p := c.newPiece(op, v, x, 0, from-op.Offset, n, by)
					p.number = part
					c.part(now, p)
				case op.Kind.Changes():
					c.begin(now, op, v.sets[i], from, n, by, part)
				default:
					c.read(now, op, v.sets[i], from, n, by)
				}
				part++
			})
	}
	for _, p := range op.pieces {
		c.forget(now, p) // those that were refused here
	}
	c.settled(now, op)
	c.let(op)
}

// newPiece makes a piece of an op and counts it as owed an answer.
func (c *Core) newPiece(op *Op, v *volume, x *settings.Extent, copy int, from, n int64, by logic.Micros) *piece {
	c.lastID++
	p := piecePool.Get().(*piece)
	*p = piece{id: logic.RequestID(c.lastID), op: op, vol: v, extent: x, copy: copy, from: from, len: n, units: v.Units(n),
		dropDead: by, fresh: true, ordered: op.Kind.Changes()}
	if x != nil {
		p.place = &x.Copies[copy]
	}
	op.pieces = append(op.pieces, p)
	op.left++
	op.alive++
	c.pieces[p.id] = p
	return p
}

// part lets a piece go to its place.
func (c *Core) part(now logic.Micros, p *piece) {
	if wait, ok := c.mayCross(now, p); !ok {
		c.answer(now, p, ranges.Refused, wait)
		return
	}
	c.launch(p)
}

// launch hands a piece to logic, a change in its turn.
func (c *Core) launch(p *piece) {
	if !p.ordered {
		c.arrive(p, 0)
		return
	}
	start := p.op.Offset + p.from
	if key, ok := p.vol.orders[p.copy].Take(p.id, start, start+p.len, p.dropDead); ok {
		c.arrive(p, key)
	} else {
		p.held = true
		c.tally.Held++
	}
}

// sameNamespace tells whether an earlier extent without mirrors lies in the same namespace of the same cell.
func sameNamespace(before []settings.Extent, x *settings.Extent) bool {
	for i := range before {
		if len(before[i].Copies) == 1 && before[i].Cell == x.Cell && before[i].Namespace == x.Namespace {
			return true
		}
	}
	return false
}

// find is the extent that holds a byte of the volume.
func (v *volume) find(at int64) (index int) {
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

func (c *Core) arrive(p *piece, key uint64) {
	p.held = false
	a := logic.Arrival{
		Request: p.id, Class: p.op.Class, Cell: p.cell(), Key: key, Volume: logic.VolumeID(p.vol.Account),
		Plan: p.vol.Plan, Attached: p.vol.Attached, Units: p.units, Deadline: p.dropDead, EarlierAttempts: p.tries, SingleAttempt: p.way.GiveUpEarly,
	}
	a.HomeZoneOnly = p.object != nil && p.object.HomeOnly
	if p.op.fill != nil { // a queue of its own, so that it yields to the volume's
		a.Volume, a.Plan = fillVolume|a.Volume, c.cfg.Copies.Plan
	}
	c.host.AddEvent(a)
}

// Gone says that the client of a request has left. What is out runs on as logic decides.
func (c *Core) Gone(now logic.Micros, op *Op) {
	if op.over || op.gone {
		return
	}
	op.gone = true
	c.tally.Gone++
	for _, ch := range op.changes {
		ch.mirror.ClientGone(now, &ch.Change)
		c.carry(now, ch.mirror)
	}
	for _, p := range op.pieces {
		if p.answered || p.change != nil { // a change goes on at the copies, so that they stay the same
			continue
		}
		p.answered = true
		if !p.held {
			c.host.AddEvent(logic.ClientGone{Request: p.id})
		}
		c.forget(now, p)
	}
}

// Ended is the end of an attempt, as the back tells it.
func (c *Core) Ended(now logic.Micros, b *block.Attempt, r block.Result) {
	a := b.Owner.(*attempt)
	c.crossed(now, a, r)
	if c.host.MarkEnded(&a.drive) {
		c.tell(now, a, r)
	} else {
		c.tally.LateEnds++
	}
	c.recycle(a)
}

func (c *Core) recycle(a *attempt) {
	a.Buffer.Release()
	a.Buffer, a.p = nil, nil
	c.tally.Attempts--
	c.pool = append(c.pool, a)
}

// tell gives logic the end of an attempt.
func (c *Core) tell(now logic.Micros, a *attempt, r block.Result) {
	p := a.p
	c.tally.Outcomes[r.Outcome]++
	c.tally.Out--
	p.out--
	switch r.Outcome {
	case logic.Failed:
		p.ran = true
	case logic.TimedOut, logic.Reset, logic.Cancelled:
		p.ran = true
		p.rest = now + c.cfg.Logic.Rules.OrderPause
	case logic.OK:
		if !p.answered && p.op.Kind == block.Read {
			p.result, p.at = a.Buffer.Hold(), a.BufferOffset
		}
	}
	if p.object != nil {
		c.objectEnded(a, r.Outcome)
	}
	c.host.AddEvent(logic.AttemptEnded{
		Request: p.id, Attempt: a.drive.Number, Node: a.Node, Outcome: r.Outcome, Took: now - a.drive.Sent,
		Settled: r.Outcome == logic.OK || p.answered, Elsewhere: int(r.BytesElsewhere / p.vol.UnitBytes), Load: r.Load,
	})
	if r.Outcome == logic.OK {
		c.answer(now, p, ranges.Served, 0)
	}
	c.forget(now, p)
}

// Nodes is news of the nodes.
func (c *Core) Nodes(now logic.Micros, nodes []logic.Node) {
	if len(nodes) > 0 {
		c.host.AddEvent(logic.NodeList{Kind: logic.ListDelta, Nodes: nodes})
		c.zones(now, nodes)
	}
}

// Next is when Step must be called at the latest; 0: not before something happens.
func (c *Core) Next() (at logic.Micros) {
	if len(c.out) > 0 {
		return 1
	}
	soon := func(t logic.Micros) {
		if t > 0 && (at == 0 || t < at) {
			at = t
		}
	}
	soon(c.host.Next())
	for i := range c.vols {
		for _, o := range c.vols[i].orders {
			soon(o.Next())
		}
	}
	soon(c.mirrors.next)
	return at
}

// Step lets all that has happened by now take its effect. The actions are valid until the next Step.
func (c *Core) Step(now logic.Micros) []Action {
	for due := c.host.PopExpired(now); due != nil; due = c.host.PopExpired(now) {
		a := due.Owner.(*attempt)
		c.out = append(c.out, Action{Kind: Drop, Attempt: &a.Attempt})
		c.tell(now, a, block.Result{Outcome: logic.TimedOut, Load: logic.NoLoad})
	}
	for i := range c.vols {
		for _, o := range c.vols[i].orders {
			o.RefuseExpired(now, func(id logic.RequestID) { c.refuse(now, id, ranges.Refused, 0) })
			o.Release(now, func(id logic.RequestID, key uint64) { c.arrive(c.pieces[id], key) })
		}
	}
	for _, x := range c.host.Run(now) {
		c.act(now, x)
	}
	c.tend(now) // after logic has heard of the nodes
	out := c.out
	clear(c.before)
	c.out, c.before = c.before[:0], out
	return out
}

// ---- what to do ----

func (c *Core) act(now logic.Micros, x logic.Action) {
	switch x := x.(type) {
	case logic.Send:
		c.send(now, x)
	case logic.Refuse:
		c.refuse(now, x.Request, ranges.Refused, x.RetryAfter)
	case logic.Fail:
		c.refuse(now, x.Request, ranges.Failed, 0)
	case logic.Wake: // seen to by drive
	case logic.Note:
		c.out = append(c.out, Action{Kind: Note, Text: x.Text})
	case logic.Abort, logic.Probe, logic.Watch, logic.Fetch:
		// The module has these for other callers; here a time-out aborts, reports come with answers, and the node
		// list is pushed.
		c.out = append(c.out, Action{Kind: Note, Text: fmt.Sprintf("logic asks for %T, which this engine has no use for", x)})
	}
}

// refuse ends a piece without service.
func (c *Core) refuse(now logic.Micros, id logic.RequestID, how ranges.Answer, coolDown logic.Micros) {
	if p := c.pieces[id]; p != nil {
		c.answer(now, p, how, coolDown)
		c.forget(now, p)
	}
}

func (c *Core) send(now logic.Micros, s logic.Send) {
	p := c.pieces[s.Request]
	if p == nil {
		return
	}
	a := c.newAttempt()
	op := p.op
	a.p = p
	a.drive.Request, a.drive.Number, a.drive.Node, a.drive.Sent, a.drive.Deadline = p.id, p.tries-p.before, s.Node, now, p.dropDead
	a.reason = c.reason(p)
	a.volume, a.class, a.asked, p.asked = op.Volume, op.Class, p.asked, 0
	if s.StopAt > 0 {
		a.drive.Deadline = min(a.drive.Deadline, s.StopAt)
	}
	a.Node, a.Kind, a.Len, a.Offset, a.BufferOffset, a.Key = s.Node, op.Kind, p.len, 0, 0, 0
	room := true
	if p.object != nil {
		room = c.findRoom(now, a)
	} else {
		a.Namespace = p.place.Namespace
	}
	// A copy that loses what it had not stored yet would be read as if nothing had happened.
	a.Durable = op.Durable || p.extent != nil && len(p.extent.Copies) > 1
	if op.Kind != block.Flush && p.object == nil {
		a.Offset = p.place.Base + op.Offset + p.from - p.extent.Start
	}
	if op.Kind.Changes() {
		if a.Key = c.nonce | uint64(p.id)&0xffffffff; op.Key != 0 {
			a.Key = op.Key + uint64(p.number)<<1
		}
	}
	c.tally.Sends++
	if p.tries > 0 {
		c.tally.Repeats++
	}
	p.tries++
	p.out++
	c.tally.Out++
	c.tally.Attempts++
	switch {
	case !room:
		c.budget.Refund(now, a.asked)
		c.tell(now, a, block.Result{Outcome: logic.NotSent, Load: logic.NoLoad})
		c.recycle(a)
		return
	case op.Kind == block.Write:
		a.Buffer, a.BufferOffset = op.Buffer.Hold(), p.from+op.at
	case op.Kind == block.Read && p.fresh:
		a.Buffer, a.BufferOffset, p.fresh = op.Buffer.Hold(), p.from, false
	case op.Kind == block.Read:
		// An earlier attempt may still be read into the op's own buffer, so a further one has its own.
		if !p.vol.memory.TryAcquire(p.len) {
			c.tally.NoMemory++
			c.budget.Refund(now, a.asked)
			c.tell(now, a, block.Result{Outcome: logic.NotSent, Load: logic.NoLoad})
			c.recycle(a)
			return
		}
		a.Buffer = block.NewBuffer(p.len, p.vol.memory.Release)
	}
	c.host.Track(&a.drive)
	c.out = append(c.out, Action{Kind: Start, Attempt: &a.Attempt, Op: op})
}

func (c *Core) newAttempt() *attempt {
	if n := len(c.pool); n > 0 {
		a := c.pool[n-1]
		c.pool = c.pool[:n-1]
		return a
	}
	a := &attempt{}
	a.Owner, a.drive.Owner = a, a
	return a
}

// answer takes the final answer of a piece.
func (c *Core) answer(now logic.Micros, p *piece, how ranges.Answer, coolDown logic.Micros) {
	if p.answered || how != ranges.Served && c.elsewhere(now, p) {
		return
	}
	p.answered = true
	switch {
	case p.change != nil:
		c.copyEnded(now, p, how == ranges.Served, coolDown)
	case p.op.fill != nil:
		c.fillEnded(now, p, how == ranges.Served, coolDown)
	default:
		c.join(p.op, how, coolDown)
		c.settled(now, p.op)
	}
}

// join adds the answer of a part to that of its op.
func (c *Core) join(op *Op, how ranges.Answer, coolDown logic.Micros) {
	op.answer = ranges.Join(op.answer, how, !op.joined, c.cfg.Logic.Classes[op.Class].Repeat)
	op.joined = true
	op.CoolDown = max(op.CoolDown, coolDown)
}

// settled says that a part of an op has its answer; with the last one the op has.
func (c *Core) settled(now logic.Micros, op *Op) {
	if op.left--; op.left > 0 || op.gone {
		return
	}
	op.over = true
	op.Verdict = verdicts[op.answer]
	if op.Verdict != block.Refused {
		op.CoolDown = 0
	} else if v := &c.vols[op.Volume]; !op.NoRoom {
		op.Limited = c.host.Limited(logic.VolumeID(v.Account), v.Units(op.Len))
	}
	op.Took = now - op.taken
	c.tally.Answers[op.Verdict]++
	c.out = append(c.out, Action{Kind: Finish, Op: op})
}

var verdicts = [...]block.Verdict{ranges.Served: block.Served, ranges.Refused: block.Refused, ranges.Failed: block.Failed}

// forget lets go of a piece that is answered and has nothing out.
func (c *Core) forget(now logic.Micros, p *piece) {
	if !p.answered || p.out > 0 || c.pieces[p.id] != p {
		return
	}
	delete(c.pieces, p.id)
	if p.asked > 0 { // it never crossed after all
		c.budget.Refund(now, p.asked)
	}
	if p.object != nil {
		c.letGo(now, p)
	}
	if p.ordered {
		rest := p.rest
		if rest <= now {
			rest = 0
		}
		p.vol.orders[p.copy].Done(p.id, rest)
	}
	c.let(p.op)
}

// let lets go of a part of an op; the front's hold keeps that until it has answered.
func (c *Core) let(op *Op) {
	if op.alive--; op.alive > 0 {
		return
	}
	if op.fill == nil {
		c.tally.Ops--
	}
	op.Release()
}
