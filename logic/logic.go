package logic

// The interface of this module (settings, events, actions) is in logic/api.go. Decisions are here and, for
// the rules on single figures, in limit.go (rate limits), slowstart.go (cold nodes) and retrybudget.go.
//
// The mechanism is Gage's (docs/design.md): a queue per volume with a balance in units, visited in
// weighted round-robin; what room is left is shared by reservation; a window bounds each node. Read on
// in this order: constants, state, events, cycle, node window.

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
)

const (
	ms, sec Micros = 1000, 1000 * 1000

	cycle = 10 * ms // Gage's polling period; batches that change something also run one
	// burst caps a queue's balance, in seconds of its credit, with one largest request as the least.
	burst     = 0.2
	stall     = 10 * cycle                // a timer that comes so late says that the host stood still
	answerBy  = cycle + 5*ms              // a held request has its final answer so long before its dropDead
	leastTime = 0.5                       // part of its usual time a request takes at least, if work is saved
	never     = Micros(math.MaxInt64 / 4) // later than any clock, with room for sums

	// Each node has a window for each pass: the first pass holds what is reserved, and goes on until the
	// node's wait eats into the aims; the second takes only room that is left, so it shuts long before.
	// windowMost bounds both, or where hosts are few their part of mostTotal. A window under one means one
	// request out and a pause after its send.
	windowMost = 2.0
	mostTotal  = 8.0
	leastTotal = 3.0
	spareTotal = 40.0 // what all hosts together have out at a node from the second pass at the start: a few
	windowGrow = 1.0  // growth of a window under one with each good answer, as a part of it
	// A request that waited at the node for more than this part of the shortest aim shuts the window of the
	// first pass, of the second. A node's queue is one for all classes, so the shortest aim counts.
	reservePart = 0.5
	sparePart   = 0.2
	// newsOld is how long an answer tells of its node's wait; after it a shut window with nothing out
	// doubles in each such time again, up to where it started.
	newsOld   = 1 * sec
	smooth    = 0.2   // weight of a new sample in a node's smoothed figures
	failFloor = 0.01  // a failing node's load counts the attempts that one success takes, up to 1/failFloor
	slowRise  = 0.125 // bounds what a time over twice the usual counts: it is a wait for the most part
	// Attempts that time out between two quick answers of their node are lost ones; more than missingMost
	// in a row are a node that hung. vanishing is the smoothed share of lost ones among those that
	// waited for long from which a host takes it that answers vanish.
	missingMost = 2
	// One that a later request has passed is sent again from doubtful on.
	vanishing = 0.4
	doubtful  = 0.3
	// lateRest times the hosts is how long a node must have had nothing of this host before a request that
	// can no longer make its aim may go there, so that late ones of all hosts add up to few; vainRest times
	// the hosts how long at most a node is left alone after an attempt in vain, with the same purpose.
	lateRest = 250 * ms
	vainRest = 50 * ms

	retryPause = 30 * ms // the wait before a further attempt; it doubles with each
	// A node that took no connection is left alone for downPause, doubling to downMost, before one tries it.
	downPause = 100 * ms
	downMost  = 1600 * ms
	// doubt is how long a node that took no connections and then answers is treated as started at that
	// moment, unless the list says better.
	doubt = 5 * sec
	// meterTime smooths what others serve; meterOld is the age at which such news counts as none.
	meterTime = 1 * sec
	meterOld  = 3 * sec
	// fleetGrowth is how many times the hosts of the settings a request may name: the fleet may have grown
	// since they were read. More makes no sense.
	fleetGrowth = 16
	idleAge     = 30 * sec // a volume that is idle for so long loses its entry
	askAgain    = 500 * ms // the first wait before a failed ask for the node list is repeated; it doubles
)

// New starts a host, or gives an error that names the setting that cannot be right.
func New(s Settings, seed uint64) (*Host, error) {
	if err := s.check(); err != nil {
		return nil, err
	}
	short := slices.MinFunc(s.Classes, func(a, b Class) int { return cmp.Compare(a.Aim, b.Aim) }).Aim
	pcg := rand.NewPCG(seed, 0x9e3779b97f4a7c15)
	return &Host{
		set: s, shortAim: short, pcg: pcg, rng: rand.New(pcg),
		requests: map[RequestID]*request{}, volumes: map[VolumeID]*volume{},
		nodes: map[NodeID]*node{}, chains: map[uint64]*chain{}, cells: map[int][]*node{},
		unserved: map[what]Micros{}, anyAt: map[bool]Micros{},
	}, nil
}

// Step takes the events of one moment and appends the actions that answer them.
func (h *Host) Step(now Micros, events []Event, actions []Action) []Action {
	if !h.started {
		h.started, h.began = true, now
		if h.set.Subscribe {
			h.askAt, h.askWait = now, askAgain
		}
	}
	h.before, h.now, h.out = h.now, max(now, h.now), actions
	clear(h.anyAt)
	// This host's own timer comes much too late: the host stood still, so the times of what was out tell
	// nothing of the nodes. Also covers a suspended machine; harm: one round trip less is learned from.
	for _, n := range h.order {
		for _, a := range n.flight {
			a.blind = a.blind || h.wakeAt > 0 && h.now-h.wakeAt > stall
		}
	}
	for _, e := range events {
		switch e := e.(type) {
		case Arrival:
			h.arrive(e)
		case AttemptEnded:
			h.ended(e)
		case StreamStarted:
			if r := h.requests[e.Request]; r != nil {
				r.stream = true
			}
		case ClientGone:
			if r := h.requests[e.Request]; r != nil {
				h.forgo(r)
				h.finish(r)
			}
		case Ending:
			// The end goes before any client's patience: who would wait for longer would find nobody.
			for _, r := range h.requests {
				r.dropDead, r.aimAt = min(r.dropDead, e.By), min(r.aimAt, e.By)
			}
		case RoomChanged:
			h.owedMost = max(e.Room, 0)
		case NodeList:
			h.list(e)
		case TimerFired:
			if e.Token == h.token {
				h.wakeAt = 0
			}
		}
	}
	h.releaseStrays()
	h.watch()
	h.expire()
	h.releaseChains()
	h.runCycle()
	h.relieve()
	h.subscribe()
	h.wake()
	actions, h.out = h.out, nil
	return actions
}

func (h *Host) emit(a Action) { h.out = append(h.out, a) }

// wake keeps one timer running while anything waits.
func (h *Host) wake() {
	want := Micros(math.MaxInt64)
	if h.held > 0 {
		want = h.now + cycle
	} else if len(h.requests) > 0 {
		want = h.now + stall/2
	}
	if h.askAt > 0 {
		want = min(want, h.askAt)
	}
	if want == math.MaxInt64 || h.wakeAt > h.now && h.wakeAt <= want {
		return
	}
	h.token++
	h.wakeAt = max(want, h.now+1)
	h.emit(Wake{h.wakeAt - h.now, h.token})
}

// ---- events ----

func (h *Host) arrive(e Arrival) {
	if h.requests[e.Request] != nil {
		return
	}
	if h.set.Rules.BudgetWindow > 0 && e.Tried <= 0 {
		h.taken = append(h.taken, h.now)
	}
	if e.Class < 0 || e.Class >= len(h.set.Classes) {
		h.emit(Deny{Request: e.Request})
		return
	}
	v := h.volume(e)
	h.seq++
	r := &request{
		id: e.Request, seq: h.seq, class: &h.set.Classes[e.Class], vol: v, cell: max(e.Cell, -1), key: e.Key,
		units: e.Units, arrived: h.now, dropDead: e.DropDead, tried: max(e.Tried, 0), charged: e.Tried > 0,
		once: e.Once, home: e.Home && e.Cell < 0,
	}
	if !(r.units > 0) || math.IsInf(r.units, 0) {
		r.units = 1 // can't be right
	}
	// What a host finds after it stood still came in between: its aim counts from then.
	came := r.dropDead - r.class.Deadline
	if came < h.before || came > h.now {
		came = h.now
	}
	// Repeat guard: what looks like a request that went unserved a moment ago is its client's repeat, and its
	// aim counts from the first. Taken for new, repeats would take the places of requests that can earn all.
	// Harm: a new request for the same data in the same size inherits an older aim, once.
	if first, ok := h.unserved[r.what()]; ok && r.key != 0 && first+r.class.Deadline > h.now {
		came = min(came, first)
	}
	delete(h.unserved, r.what())
	r.came = came
	r.aimAt = min(came+r.class.Aim, r.dropDead)
	h.requests[r.id] = r
	h.owed++
	v.live++
	v.last = h.now
	h.hold(r, true)
	if r.class.InOrder && r.key != 0 {
		c := h.chains[r.key]
		if c == nil {
			c = &chain{}
			h.chains[r.key] = c
		}
		r.chain = c
		c.q = append(c.q, r)
		if c.q[0] != r || h.now < c.rest {
			return
		}
	}
	h.enqueue(r)
}

func (h *Host) volume(e Arrival) *volume {
	attached := e.Attached
	if !(attached >= 1 && attached <= fleetGrowth*float64(h.set.Hosts)) {
		attached = float64(h.set.Hosts)
	}
	v := h.volumes[e.Volume]
	if v == nil {
		plan := &Plan{}
		if e.Plan >= 0 && e.Plan < len(h.set.Plans) {
			plan = &h.set.Plans[e.Plan]
		}
		v = &volume{id: e.Volume, plan: plan, attached: attached, credited: h.now, share: h.spare}
		// Limit guard: what the slice had spent before a restart is unknown, so it starts at its lowest
		// at the time this host began. An entry that aged out was full, and is so again by this sum.
		v.store, v.stored = -plan.LimitSlack/attached, h.began
		h.volumes[e.Volume] = v
		h.ring = append(h.ring, v)
	}
	v.attached = max(v.attached, attached)
	return v
}

func (h *Host) enqueue(r *request) {
	v := r.vol
	if v.waiting == 0 {
		if v.balance < 0 {
			v.balance = min(v.balance+h.reservation(v)*seconds(h.now-v.credited), 0)
		}
		v.credited = h.now
		v.share = max(v.share, h.spare)
	}
	v.line(r)
}

func (h *Host) ended(e AttemptEnded) {
	r := h.requests[e.Request]
	if r == nil || e.Attempt < 0 || e.Attempt >= len(r.attempts) || r.attempts[e.Attempt].done {
		return
	}
	a := r.attempts[e.Attempt]
	a.done = true
	r.out--
	n := a.node
	n.land(a)
	n.last = h.now
	h.learn(r, a, e)
	ran := e.Outcome == Failed
	switch e.Outcome {
	case OK:
		h.release(r)
	case Failed, Full: // it may have been answered before its last byte had left
		r.unsure = true
	case TimedOut, Reset, Cancelled:
		r.unsure, r.adrift = true, r.adrift || e.Outcome != Reset
		ran = true
		if r.chain != nil {
			r.chain.rest = max(r.chain.rest, h.now+h.set.Rules.OrderPause)
		}
	}
	if r.over || e.Settled || e.Outcome == OK {
		h.finish(r)
		return
	}
	if ran {
		h.mayHaveRun(r, a)
	}
	if r.out > 0 || r.queued {
		return
	}
	r.after = h.now + h.pause(len(r.attempts))
	if !h.mayRepeat(r) {
		h.giveUp(r)
		return
	}
	h.hold(r, true)
	h.enqueue(r)
}

// mayHaveRun binds a request that must not run twice to the group that drops its repeats.
func (h *Host) mayHaveRun(r *request, a *attempt) {
	if r.class.Repeat == Retryable {
		return
	}
	if until := a.sent + r.class.RepeatWindow; !r.maybe || until < r.until {
		r.until = until
	}
	r.maybe, r.group = true, a.node
	if r.class.Group == GroupCell {
		r.cell = a.node.Cell
	}
}

func (h *Host) pause(tries int) Micros {
	p := retryPause << min(tries-1, 4)
	return p/2 + Micros(h.rng.Int64N(int64(p)))
}

// mayRepeat tells whether a further attempt can still be made at r.after.
func (h *Host) mayRepeat(r *request) bool {
	once := r.maybe && (r.class.Repeat == Fragile || r.after >= r.until)
	more := h.set.MaxAttempts == 0 || r.tries() < h.set.MaxAttempts
	return more && !once && !r.stream && !r.once && r.after+answerBy < r.dropDead
}

// giveUp answers a request that will not be served: refused, with advice, where a retry is surely harmless.
func (h *Host) giveUp(r *request) {
	if r.class.Repeat == Retryable || !r.maybe && r.out == 0 {
		deny := Deny{Request: r.id}
		if h.set.CoolDowns {
			deny.CoolDown = min(h.soonest(r, false)-h.now, h.set.MaxCoolDown)
		}
		h.emit(deny)
	} else {
		h.emit(Surrender{r.id})
	}
	h.forgo(r)
	h.finish(r)
}

// finish ends a request; it is forgotten when no attempt is out.
func (h *Host) finish(r *request) {
	if !r.over {
		h.owed--
	}
	r.over = true
	h.hold(r, false)
	h.dequeue(r)
	if r.out > 0 {
		return
	}
	h.discharge(r)
	delete(h.requests, r.id)
	r.vol.live--
	r.vol.last = h.now
	if c := r.chain; c != nil {
		c.q = slices.DeleteFunc(c.q, func(x *request) bool { return x == r })
	}
}

// releaseChains lets the first request of each rested key into its volume's queue.
func (h *Host) releaseChains() {
	var due []*request
	for k, c := range h.chains {
		if len(c.q) == 0 && h.now >= c.rest {
			delete(h.chains, k)
		} else if h.now >= c.rest && c.q[0].waiting && !c.q[0].queued {
			due = append(due, c.q[0])
		}
	}
	for _, r := range inTurn(due) {
		h.enqueue(r)
	}
}

func (h *Host) list(e NodeList) {
	if e.Kind == ListFailed {
		if h.set.Subscribe {
			h.askAt = h.now + h.askWait
			h.askWait *= 2
			if w := h.set.Rules.AskWithin / 2; w > 0 {
				h.askWait = min(h.askWait, w)
			}
		}
		return
	}
	if e.Kind != ListDelta {
		for _, n := range h.order {
			n.State = Gone
		}
	}
	for _, x := range e.Nodes {
		n := h.nodes[x.ID]
		if n == nil {
			n = &node{}
			h.nodes[x.ID] = n
			h.order = append(h.order, n)
		}
		if n.window[0] == 0 || x.Started != n.Started {
			n.window, n.latency, n.failing = [2]float64{h.opening(0), h.opening(1)}, 0, 0
		}
		n.Node = x
	}
	slices.SortFunc(h.order, func(a, b *node) int { return cmp.Compare(a.ID, b.ID) })
	clear(h.cells)
	for _, n := range h.order {
		h.cells[n.Cell] = append(h.cells[n.Cell], n)
	}
	if h.set.Subscribe && e.Kind != ListCached {
		h.askAt, h.askWait = 0, askAgain
	}
}

func (h *Host) subscribe() {
	if h.askAt > 0 && h.now >= h.askAt {
		h.emit(Watch{On: true})
		h.askAt = h.now + max(h.set.Rules.AskWithin/2, sec)
	}
}

// expire answers every held request for which nothing can be earned any more, in the Step that finds it:
// held back, its client could not come again in time. One with an attempt out waits for that alone.
func (h *Host) expire() {
	var due []*request
	for _, r := range h.requests {
		if r.waiting && !h.earns(r) {
			due = append(due, r)
		}
	}
	for _, r := range inTurn(due) {
		if h.dequeue(r); r.out > 0 {
			h.hold(r, false)
		} else {
			h.giveUp(r)
		}
	}
}

// relieve gives up held requests while more are owed an answer than there is room for: clients whose
// connections are all taken cannot ask at all, and who finds none is drawn by lot, reserved or not.
// Exception: Gage would hold a request as long as it can earn something. First go those that can no longer
// make their aim, then those of the volume whose queue is longest for what is reserved for it, the last in
// its turn first. Harm: where a rush is over sooner than the aims, they were given up for nothing.
func (h *Host) relieve() {
	for h.owedMost > 0 && h.owed > h.owedMost {
		var worst *request
		var length float64 // how long its queue takes by its reservation, in seconds
		for _, v := range h.ring {
			r, units := h.last(v)
			if r == nil {
				continue
			}
			long := units / max(h.reservation(v), 1)
			past := h.past(r)
			if worst == nil || past && !h.past(worst) || past == h.past(worst) && long > length {
				worst, length = r, long
			}
		}
		if worst == nil {
			return
		}
		worst.after = max(worst.after, h.now+Micros(length*float64(sec))) // the advice when to come back
		h.giveUp(worst)
	}
}

// last is the held request of a volume that gives way first, nil where there is none, and all units that
// wait there.
func (h *Host) last(v *volume) (last *request, units float64) {
	for _, l := range v.lanes {
		for _, r := range l.q {
			if units += r.units; r.out == 0 && (last == nil || h.yields(r, last)) {
				last = r
			}
		}
	}
	return last, units
}

// past tells whether a held request can no longer make its aim.
func (h *Host) past(r *request) bool { return h.now+Micros(h.unit*r.units) > r.aimAt }

// yields orders the requests of one volume for last.
func (h *Host) yields(r, o *request) bool {
	if h.past(r) != h.past(o) {
		return h.past(r)
	}
	return o.leads(r)
}

// earns tells whether a held request can still be sent so that its answer earns something: within its aim,
// or late where that earns a part and its client still waits.
// Exception: where the settings name a part of its time after which one that never left is better refused, it
// must leave by then. Harm: late answers that would have earned a little.
func (h *Host) earns(r *request) bool {
	need, last := h.unit*r.units, r.dropDead-answerBy-h.set.Tick
	leave := last
	if h.set.HeldPart > 0 && r.tries() == 0 {
		leave = min(last, r.arrived+Micros(h.set.HeldPart*float64(r.dropDead-r.arrived))-answerBy)
	}
	at := h.soonest(r, false)
	if at < never && at <= leave && at+Micros(need) <= r.aimAt {
		return true
	}
	at = h.soonest(r, true)
	return r.class.LateShare > 0 && !r.once && at <= leave && at+Micros(leastTime*need) <= last
}

// soonest is when r could leave, by all that is known now, for a node where nothing would wait before it;
// never where nothing can make that true: no node, no repeat left, more units than its limit ever holds.
func (h *Host) soonest(r *request, late bool) Micros {
	at := max(h.now, r.after)
	if r.chain != nil {
		at = max(at, r.chain.rest)
	}
	if p := r.vol.plan; p.Limit > 0 && !r.charged {
		room, least := p.LimitBurst/r.vol.attached, r.units-p.LimitSlack/r.vol.attached
		if late {
			least = max(least, room)
		}
		if least > room {
			return never
		}
		at = max(at, h.now+Micros(max(least-h.fill(r.vol), 0)*r.vol.attached/p.Limit*float64(sec)))
	}
	units, anywhere := r.units, r.cell < 0 && !r.maybe && !r.home
	if anywhere {
		units = h.set.UnitMean // found once a Step for all of them
	}
	node, known := h.anyAt[late]
	if !known || !anywhere {
		node = never
		for _, n := range h.places(r) {
			node = min(node, h.opens(n, units, late))
		}
	}
	if anywhere {
		h.anyAt[late] = node
	}
	if at = max(at, node); r.maybe && (r.class.Repeat == Fragile || at >= r.until) {
		return never
	}
	return at
}

// opens is when a node that is not told of as drained or gone would take such a request, by its rests, its
// pause, the pace of its window, the guard of cold nodes and what waits there.
func (h *Host) opens(n *node, units float64, late bool) Micros {
	if n.State != Ready {
		return never
	}
	at := h.now + Micros(h.wait(n))
	if n.silent() {
		at = min(at, n.last+h.tryPause())
	}
	if at = max(at, h.now, n.restTo); late {
		at = max(at, n.last+lateRest*Micros(h.set.Hosts))
	}
	if w := max(h.window(n, 0), h.window(n, 1)); w < 1 && len(n.flight) == 0 {
		opened := max(n.last, n.halved[0]) + Micros(float64(newsOld)*(1+math.Log2(1/w)))
		at = max(at, min(n.sentAt+Micros(h.pace(n)/w), opened))
	}
	if part, next, warm := h.slowStartShare(n, at); units > part {
		if part, _, _ = h.slowStartShare(n, next); units > part {
			next = warm
		}
		at = max(at, next)
	}
	return at
}

// Outlook is how long an answer from a cell would take a request that came now, by all that is known of its
// nodes: for callers that may choose between cells that hold the same. Where a window is full, one answer is
// waited for first.
func (h *Host) Outlook(cell int, units float64) Micros {
	at := never
	for _, n := range h.cells[cell] {
		t := h.opens(n, units, false)
		if t < never && !h.room(n, 0) {
			t += Micros(h.pace(n))
		}
		at = min(at, t)
	}
	if at >= never {
		return never
	}
	return at - h.now + Micros(h.unit*units)
}

// Down tells that no node of a cell takes connections for now, so that what may go elsewhere need not wait
// for the next try.
func (h *Host) Down(cell int) bool {
	for _, n := range h.cells[cell] {
		if n.State == Ready && (n.down == 0 || h.now >= n.restTo) {
			return false
		}
	}
	return true
}

// ---- cycle ----

// credit adds what the queue's reservation has earned since the last visit. It is called only for a
// queue that waits, and the balance is capped.
func (h *Host) credit(v *volume) {
	rate := h.reservation(v)
	v.balance += rate * seconds(h.now-v.credited)
	v.credited = h.now
	v.balance = min(v.balance, max(rate*burst, h.set.UnitTop))
}

// reservation is this host's part of the plan's reservation: the even slice, or where answers tell what
// the volume gets through all hosts, the part that goes through this one and half of what nobody uses.
// The parts of all hosts add up to the whole, so that a jam, where little is served, frees no flood.
func (h *Host) reservation(v *volume) float64 {
	whole := v.plan.Reserve
	slice := whole / v.attached
	own, total := v.own.get(h.now, meterTime), v.total
	if v.totalAt == 0 || h.now-v.totalAt >= meterOld {
		if !h.set.TellsElsewhere {
			return slice
		}
		total = own + v.others.get(h.now, meterTime)
	}
	mine := whole*own/max(total, own, 1) + max(whole-total, 0)/2
	return min(max(slice, mine), whole)
}

// weight is the queue's part in the second pass.
func (v *volume) weight() float64 { return cmp.Or(v.plan.Reserve, v.plan.Weight, 1) / v.attached }

// runCycle is Gage's: a first pass by reservation, a second over the room that is left.
func (h *Host) runCycle() {
	h.age()
	for _, late := range []bool{false, true} {
		h.turns++
		for i := range h.ring {
			v := h.ring[(h.turns+i)%len(h.ring)]
			if v.waiting == 0 {
				continue
			}
			h.credit(v)
			for v.balance >= 0 && v.waiting > 0 {
				r, n := h.next(v, 0, late)
				if r == nil {
					break
				}
				v.balance -= r.units
				h.send(r, n)
			}
		}
		for {
			var best *request
			var at *node
			for _, v := range h.ring {
				if v.waiting == 0 || best != nil && v.share >= best.vol.share {
					continue
				}
				if r, n := h.next(v, 1, late); r != nil {
					best, at = r, n
				}
			}
			if best == nil {
				break
			}
			h.spare = max(h.spare, best.vol.share)
			best.vol.share += best.units / best.vol.weight()
			h.send(best, at)
		}
	}
}

// next is the request of v that leaves next and the node it goes to, or nil.
func (h *Host) next(v *volume, pass int, late bool) (*request, *node) {
	var best *request
	var at *node
	for _, l := range v.lanes {
		for _, r := range l.q {
			if r.after > h.now || best != nil && !r.leads(best) {
				continue
			}
			if n := h.place(r, pass, late); n != nil {
				best, at = r, n
			}
		}
	}
	if best != nil && !best.charged && !h.limitAllows(best) {
		return nil, nil
	}
	return best, at
}

// leads orders the requests of one volume: the class worth most per unit first, then in turn of arrival.
func (r *request) leads(o *request) bool {
	if r.class.Worth != o.class.Worth {
		return r.class.Worth > o.class.Worth
	}
	return r.seq < o.seq
}

// places are the nodes in use that hold r's shard, or all of them for a new object, and of those the ones
// that drop its repeat where it may have run.
func (h *Host) places(r *request) []*node {
	nodes := h.order
	if r.cell >= 0 {
		nodes = h.cells[r.cell]
	}
	bound := r.maybe && r.class.Group == GroupZone
	if !bound && !r.home {
		return nodes
	}
	// Exception: where bytes between zones cost, a caller keeps its new objects in this host's zone.
	// Harm: other zones idle.
	var zone []*node
	for _, n := range nodes {
		if (!bound || n.Zone == r.group.Zone) && (!r.home || n.Zone == h.set.Zone) {
			zone = append(zone, n)
		}
	}
	return zone
}

// place finds the node for r: the one that holds its shard, or for a new object, of those that take it now,
// the one with the least estimated outstanding load; nil where none does.
func (h *Host) place(r *request, pass int, late bool) *node {
	if r.tries() > 0 && !h.budgetAllows() || late && !r.charged && !h.sliceFull(r.vol) {
		return nil
	}
	// Herd guard: a node not heard of yet, as after its start, is taken to be as fast as the others, or it
	// would look best to all hosts at once. Also covers a new list; harm: a faster one is found later.
	usual := max(h.unit*h.set.UnitMean, 1)
	var best *node
	var least float64
	for _, n := range h.places(r) {
		load := (n.units + r.units) * cmp.Or(n.latency, usual) / (1 + failFloor - n.failing)
		if (best == nil || load < least) && h.takes(n, r, pass, late) {
			best, least = n, load
		}
	}
	return best
}

// takes tells whether a request may go to a node now: whether it is late there as asked, whether the node
// takes connections, whether its window has room, and the guard of cold nodes.
func (h *Host) takes(n *node, r *request, pass int, late bool) bool {
	wait, try := h.wait(n), h.tryPast(n)
	if try {
		wait = 0 // nobody knows
	}
	if n.State != Ready || late != (h.now+Micros(wait+h.unit*r.units) > r.aimAt) ||
		late && (r.class.LateShare <= 0 || h.now+Micros(wait+leastTime*h.unit*r.units) > r.dropDead) ||
		(n.down > 0 || late) && len(n.flight) > 0 ||
		late && h.now-n.last < lateRest*Micros(h.set.Hosts) || h.now < n.restTo ||
		pass == 1 && h.opening(1) < 1 && wait > sparePart*float64(h.shortAim) {
		return false // the last line: many hosts, whose windows learn late that no room is left
	}
	return (h.room(n, pass) || try) && h.slowStartAllows(n, r)
}

func (h *Host) send(r *request, n *node) {
	h.dequeue(r)
	h.hold(r, false)
	h.charge(r)
	if r.tries() > 0 && h.set.Rules.BudgetWindow > 0 {
		h.extra = append(h.extra, h.now)
	}
	a := &attempt{req: r, node: n, sent: h.now}
	r.attempts = append(r.attempts, a)
	r.out++
	n.flight = append(n.flight, a)
	n.units += r.units
	n.last, n.sentAt = h.now, h.now
	n.sent.add(h.now, r.units)
	s := Send{Request: r.id, Node: n.ID}
	if r.maybe && r.class.Repeat == Dedup {
		s.By = r.until // its connection may take longer to come up
	}
	h.emit(s)
}

// age drops the entries of volumes that have long been idle; one with a limit only once its slice is
// surely full, which is what a new entry starts from.
func (h *Host) age() {
	keep := h.ring[:0]
	for _, v := range h.ring {
		if v.live == 0 && h.now-v.last > idleAge && (v.plan.Limit <= 0 || h.sliceFull(v)) {
			delete(h.volumes, v.id)
			continue
		}
		keep = append(keep, v)
	}
	h.ring = keep
}

// ---- node window ----

// learn takes what the end of an attempt tells of its node and volume.
func (h *Host) learn(r *request, a *attempt, e AttemptEnded) {
	n, v := a.node, r.vol
	if e.Elsewhere > 0 {
		v.others.add(h.now, float64(e.Elsewhere), meterTime)
	}
	if e.Used > 0 && h.set.UsePeriod > 0 {
		v.total = float64(e.Used-1) / 100 * v.plan.Rate / seconds(h.set.UsePeriod)
		v.totalAt = h.now
	}
	took := h.now - a.sent
	bad := 0.0
	// Down guard: a node that takes no connections is tried by one request at a time, so that those it
	// would serve later do not burn their attempts on it. Also covers a cut link or a full connection
	// table; harm: up to downMost of a node's time after it is back.
	if e.Outcome != ConnectFailed {
		if n.down > downPause && n.Started < n.downAt {
			n.revived = n.downAt // more than one try in a row failed: its process may be new
		}
		n.down = 0
	} else if a.sent >= n.downAt {
		n.down, n.downAt = min(max(2*n.down, downPause), downMost), h.now
		n.restTo = h.now + n.down
	}
	if e.Outcome == OK {
		v.own.add(h.now, r.units, meterTime)
		n.served.add(h.now, r.units)
	}
	if a.blind {
		return
	}
	switch e.Outcome {
	case OK:
		n.latency = cmp.Or(n.latency, float64(took))
		n.latency += smooth * (float64(took) - n.latency)
		h.learnUnit(float64(took) / r.units)
		wait := max(float64(took)-h.unit*r.units, 0)
		h.hear(n, wait)
		for _, x := range n.flight {
			if x.marks > 0 && x.sent < a.sent && !x.passed {
				x.passed = true
				n.missing++
			}
		}
		if wait < sparePart*float64(h.shortAim) && n.missing <= missingMost {
			h.vanish = 1 - (1-h.vanish)*math.Pow(1-smooth, float64(n.missing))
		}
		if n.missing, n.restTo = 0, 0; a.marks > 0 {
			h.vanish -= smooth * h.vanish
		}
		for p, part := range [2]float64{reservePart, sparePart} {
			if past := part * float64(h.shortAim); wait > past {
				h.shut(n, p, a, past/wait)
			} else if w := h.window(n, p); w < 1 {
				n.window[p] = w * (1 + windowGrow)
			} else if float64(len(n.flight)+1) >= w/2 {
				n.window[p] = min(w+1/w, h.most())
			}
		}
	case TimedOut, Full, ConnectFailed:
		// A client that gives up before the node is late is impatient: that is no answer that vanished.
		if e.Outcome == TimedOut && !a.passed && took > Micros(reservePart*float64(h.shortAim)) {
			n.missing++
		}
		h.shut(n, 0, a, 0)
		h.shut(n, 1, a, 0)
		// Jam guard: a node that works through what nobody waits for any more stays jammed as long as each
		// host tries it again by itself every few seconds. After an attempt in vain a host leaves it alone
		// for a time drawn at random up to vainRest times the hosts, so that the tries of all are spread over
		// it and the node can drain. One that waited for long may be a lost answer: there it takes as many
		// in a row as a hung node. Also covers cut-off and slowed nodes, and clients so impatient that the
		// work of their tries is lost. Harm: a node that was late for an impatient one idles for this host.
		if e.Outcome != ConnectFailed && (a.marks == 0 || n.missing > missingMost) {
			n.restTo = h.now + Micros(h.rng.Float64()*float64(vainRest)*float64(h.set.Hosts))
		}
		bad = 1
	case Failed, Reset:
		bad = 1
	default:
		return
	}
	n.failing += smooth * (bad - n.failing)
}

// shut shuts a window to the given part, at most by half and at most once a round trip.
func (h *Host) shut(n *node, pass int, a *attempt, part float64) {
	if a.sent < n.halved[pass] || a.lost {
		return
	}
	n.window[pass] = max(h.window(n, pass)*max(part, 0.5), h.least())
	n.halved[pass] = h.now
}

// opening is where a window starts: the first pass at its most, the second at this host's part of a few.
func (h *Host) opening(pass int) float64 {
	return []float64{h.most(), min(h.most(), spareTotal/float64(h.set.Hosts))}[pass]
}

// most is what this host may have out at a node: where there are few hosts, its part of what one should bear.
func (h *Host) most() float64 { return max(windowMost, mostTotal/float64(h.set.Hosts)) }

// least is this host's part of what all hosts together keep out at a node however slow it is.
func (h *Host) least() float64 { return min(1, leastTotal/float64(h.set.Hosts)) }

// window is the node's window now: one that shut opens again while nothing is heard and nothing is out.
func (h *Host) window(n *node, pass int) float64 {
	w, open := n.window[pass], h.opening(pass)
	if old := h.now - max(n.last, n.halved[pass]); w < open && old > newsOld && len(n.flight) == 0 {
		return min(w*math.Exp2(float64(old-newsOld)/float64(newsOld)), open)
	}
	return w
}

// room tells whether the node's window takes one more request.
func (h *Host) room(n *node, pass int) bool {
	w := h.window(n, pass)
	if w >= 1 {
		return float64(len(n.flight))+1 <= w
	}
	return len(n.flight) == 0 && h.now >= n.sentAt+Micros(h.pace(n)/w)
}

// pace is how long a node usually takes; where nothing was seen yet, as long as the second pass may wait.
func (h *Host) pace(n *node) float64 {
	return cmp.Or(max(n.latency, h.unit*h.set.UnitMean), sparePart*float64(h.shortAim))
}

// watch looks at requests that have waited at a node for longer than the first pass allows: their answers
// may be seconds away, or never come. Each says that the node is slow, and shuts its windows at each
// doubling of its wait. Where answers are known to vanish it is lost instead: it gives up its place and is
// sent again. Covers lossy links and dropped requests; harm: a request that is only heavy runs twice.
func (h *Host) watch() {
	for _, n := range h.order {
		for i := 0; i < len(n.flight); i++ {
			a := n.flight[i]
			waited := float64(h.now-a.sent) - h.unit*a.req.units
			if a.blind || h.unit == 0 {
				continue
			}
			long := waited > reservePart*float64(h.shortAim)*math.Exp2(float64(a.marks))
			if long {
				if a.marks++; h.vanish < vanishing/4 {
					h.hear(n, waited)
					n.feared = true
				}
			}
			if a.passed || long && h.vanish > vanishing {
				n.land(a)
				i--
				a.lost = true
				n.failing += smooth * (1 - n.failing)
				if h.vanish > vanishing || a.passed && h.vanish > doubtful {
					h.copy(a)
				}
				continue
			}
			for p := range n.window {
				if long {
					n.window[p], n.halved[p] = max(n.window[p]/2, h.least()), h.now
				}
			}
			if waited > h.wait(n) && h.vanish <= vanishing {
				n.wait, n.waitAt, n.feared = waited, h.now, true
			}
		}
	}
}

// copy sends a request again whose answer is lost, where a second copy is allowed.
func (h *Host) copy(a *attempt) {
	r := a.req
	if r.over || r.queued || !h.set.SecondCopies || r.class.Repeat == Fragile {
		return
	}
	h.mayHaveRun(r, a)
	if r.after = h.now; h.mayRepeat(r) {
		h.enqueue(r)
		h.hold(r, true)
	}
}

// tryPast lets one request past attempts that wait for long, whether they hold the window or their wait
// makes all others late, so seldom that those of all hosts add up to few: its answer tells lost attempts from
// a node that hangs. Held to the aim by that wait, none would leave before the lost one has timed out.
func (h *Host) tryPast(n *node) bool { return n.silent() && h.now-n.last > h.tryPause() }

func (h *Host) tryPause() Micros {
	return Micros(float64(h.shortAim) * max(1, float64(h.set.Hosts)/leastTotal))
}

// silent tells whether all that is known of the node's wait is that answers have not come.
func (n *node) silent() bool {
	quick := slices.ContainsFunc(n.flight, func(a *attempt) bool { return a.marks == 0 })
	return !quick && (len(n.flight) > 0 || n.feared)
}

// wait is what a request would wait at the node, by its last news: a queue drains no faster than time. A
// node not heard of lately is taken to be like the others: in a rush that fills all nodes each host would
// else lose a request to each of them to find out. Harm: one slow node makes unknown ones seem slower.
func (h *Host) wait(n *node) float64 {
	if h.now-n.waitAt > newsOld {
		return max(n.wait-float64(h.now-n.waitAt), h.waits-float64(h.now-h.waitsAt), 0)
	}
	return max(n.wait-float64(h.now-n.waitAt), 0)
}

// hear takes in what a request has waited at a node.
func (h *Host) hear(n *node, wait float64) {
	n.wait, n.waitAt, n.feared = wait, h.now, false
	past := max(h.waits-float64(h.now-h.waitsAt), 0)
	h.waits, h.waitsAt = past+smooth*(wait-past), h.now
}

// learnUnit follows the mean time a unit takes, over all nodes, as one node answers one host too seldom;
// what an answer took beyond it is a wait. Times over twice the mean are waits for the most part and raise
// it slowly, or after a jam all requests would seem too late to be sent, and nothing would teach better.
func (h *Host) learnUnit(x float64) {
	h.unit = cmp.Or(h.unit, x)
	if x > 2*h.unit {
		x = h.unit * (1 + slowRise)
	}
	h.unit += smooth * (x - h.unit)
}
