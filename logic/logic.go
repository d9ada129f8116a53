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
	// maxBalanceSeconds caps a queue's balance, in seconds of its credit, with one largest request as the least.
	maxBalanceSeconds = 0.2
	stallThreshold    = 10 * cycle                // a timer that comes so late says that the host stood still
	answerMargin      = cycle + 5*ms              // a held request has its final answer so long before its dropDead
	minTimeShare      = 0.5                       // part of its usual time a request takes at least, if work is saved
	never             = Micros(math.MaxInt64 / 4) // later than any clock, with room for sums

	// Each node has a window for each pass: the first pass holds what is reserved, and goes on until the
	// node's wait eats into the aims; the second takes only room that is left, so it shuts long before.
	// maxHostWindow bounds both, or where hosts are few their part of mostTotal. A window under one means one
	// request out and a pause after its send.
	maxHostWindow         = 2.0
	maxFleetWindow        = 8.0
	minFleetWindow        = 3.0
	secondPassFleetWindow = 40.0 // what all hosts together have out at a node from the second pass at the start: a few
	windowGrowth          = 1.0  // growth of a window under one with each good answer, as a part of it
	// A request that waited at the node for more than this part of the shortest aim shuts the window of the
	// first pass, of the second. A node's queue is one for all classes, so the shortest aim counts.
	firstPassWaitShare  = 0.5
	secondPassWaitShare = 0.2
	// waitInfoLifetime is how long an answer tells of its node's wait; after it a shut window with nothing out
	// doubles in each such time again, up to where it started.
	waitInfoLifetime = 1 * sec
	smoothing        = 0.2   // weight of a new sample in a node's smoothed figures
	minSuccessShare  = 0.01  // a failing node's load counts the attempts that one success takes, up to 1/failFloor
	maxUnitTimeRise  = 0.125 // bounds what a time over twice the usual counts: it is a wait for the most part
	// Attempts that time out between two quick answers of their node are lost ones; more than maxMissingAnswers
	// in a row are a node that hung. vanishing is the smoothed share of lost ones among those that
	// waited for long from which a host takes it that answers vanish.
	maxMissingAnswers = 2
	// One that a later request has passed is sent again from doubtful on.
	lossThreshold          = 0.4
	overtakenLossThreshold = 0.3
	// lateBackoff times the hosts is how long a node must have had nothing of this host before a request that
	// can no longer make its aim may go there, so that late ones of all hosts add up to few; vainRest times
	// the hosts how long at most a node is left alone after an attempt in vain, with the same purpose.
	lateBackoff    = 250 * ms
	timeoutBackoff = 50 * ms

	retryDelay = 30 * ms // the wait before a further attempt; it doubles with each
	// A node that took no connection is left alone for minConnectBackoff, doubling to downMost, before one tries it.
	minConnectBackoff = 100 * ms
	maxConnectBackoff = 1600 * ms
	// presumedStartLifetime is how long a node that took no connections and then answers is treated as started at that
	// moment, unless the list says better.
	presumedStartLifetime = 5 * sec
	// rateSpan smooths what others serve; meterOld is the age at which such news counts as none.
	rateSpan   = 1 * sec
	maxRateAge = 3 * sec
	// maxFleetGrowth is how many times the hosts of the settings a request may name: the fleet may have grown
	// since they were read. More makes no sense.
	maxFleetGrowth        = 16
	maxVolumeIdle         = 30 * sec // a volume that is idle for so long loses its entry
	initialSubscribeDelay = 500 * ms // the first wait before a failed ask for the node list is repeated; it doubles
)

// New starts a host, or gives an error that names the setting that cannot be right.
func New(s Settings, seed uint64) (*Host, error) {
	if err := s.check(); err != nil {
		return nil, err
	}
	short := slices.MinFunc(s.Classes, func(a, b Class) int { return cmp.Compare(a.Aim, b.Aim) }).Aim
	pcg := rand.NewPCG(seed, 0x9e3779b97f4a7c15)
	return &Host{
		settings: s, minAim: short, pcg: pcg, rng: rand.New(pcg),
		requests: map[RequestID]*request{}, volumes: map[VolumeID]*volume{},
		nodes: map[NodeID]*node{}, keyQueues: map[uint64]*keyQueue{}, nodesByCell: map[int][]*node{},
		unserved: map[signature]Micros{}, earliestNewObject: map[bool]Micros{},
	}, nil
}

// Step takes the events of one moment and appends the actions that answer them.
func (h *Host) Step(now Micros, events []Event, actions []Action) []Action {
	if !h.started {
		h.started, h.startedAt = true, now
		if h.settings.Subscribe {
			h.subscribeAt, h.subscribeDelay = now, initialSubscribeDelay
		}
	}
	h.previousStep, h.now, h.actions = h.now, max(now, h.now), actions
	clear(h.earliestNewObject)
	// This host's own timer comes much too late: the host stood still, so the times of what was out tell
	// nothing of the nodes. Also covers a suspended machine; harm: one round trip less is learned from.
	for _, n := range h.sortedNodes {
		for _, a := range n.inFlight {
			a.duringStall = a.duringStall || h.wakeAt > 0 && h.now-h.wakeAt > stallThreshold
		}
	}
	for _, e := range events {
		switch e := e.(type) {
		case Arrival:
			h.handleArrival(e)
		case AttemptEnded:
			h.handleAttemptEnded(e)
		case StreamStarted:
			if r := h.requests[e.Request]; r != nil {
				r.streaming = true
			}
		case ClientGone:
			if r := h.requests[e.Request]; r != nil {
				h.recordUnserved(r)
				h.finish(r)
			}
		case Ending:
			// The end goes before any client's patience: who would wait for longer would find nobody.
			for _, r := range h.requests {
				r.deadline, r.aimAt = min(r.deadline, e.By), min(r.aimAt, e.By)
			}
		case RoomChanged:
			h.maxUnanswered = max(e.Room, 0)
		case NodeList:
			h.handleNodeList(e)
		case TimerFired:
			if e.Token == h.token {
				h.wakeAt = 0
			}
		}
	}
	h.expireAbandoned()
	h.checkOverdue()
	h.expireHeld()
	h.releaseKeyQueues()
	h.runCycle()
	h.shedExcess()
	h.subscribe()
	h.armTimer()
	actions, h.actions = h.actions, nil
	return actions
}

func (h *Host) emit(a Action) { h.actions = append(h.actions, a) }

// armTimer keeps one timer running while anything waits.
func (h *Host) armTimer() {
	want := Micros(math.MaxInt64)
	if h.heldCount > 0 {
		want = h.now + cycle
	} else if len(h.requests) > 0 {
		want = h.now + stallThreshold/2
	}
	if h.subscribeAt > 0 {
		want = min(want, h.subscribeAt)
	}
	if want == math.MaxInt64 || h.wakeAt > h.now && h.wakeAt <= want {
		return
	}
	h.token++
	h.wakeAt = max(want, h.now+1)
	h.emit(Wake{h.wakeAt - h.now, h.token})
}

// ---- events ----

func (h *Host) handleArrival(e Arrival) {
	if h.requests[e.Request] != nil {
		return
	}
	if h.settings.Rules.BudgetWindow > 0 && e.Tried <= 0 {
		h.recentArrivals = append(h.recentArrivals, h.now)
	}
	if e.Class < 0 || e.Class >= len(h.settings.Classes) {
		h.emit(Deny{Request: e.Request})
		return
	}
	v := h.volumeFor(e)
	h.seq++
	r := &request{
		id: e.Request, seq: h.seq, class: &h.settings.Classes[e.Class], vol: v, cell: max(e.Cell, -1), key: e.Key,
		units: e.Units, arrivedAt: h.now, deadline: e.DropDead, earlierAttempts: max(e.Tried, 0), charged: e.Tried > 0,
		singleAttempt: e.Once, homeZoneOnly: e.Home && e.Cell < 0,
	}
	if !(r.units > 0) || math.IsInf(r.units, 0) {
		r.units = 1 // can't be right
	}
	// What a host finds after it stood still came in between: its aim counts from then.
	came := r.deadline - r.class.Deadline
	if came < h.previousStep || came > h.now {
		came = h.now
	}
	// Repeat guard: what looks like a request that went unserved a moment ago is its client's repeat, and its
	// aim counts from the first. Taken for new, repeats would take the places of requests that can earn all.
	// Harm: a new request for the same data in the same size inherits an older aim, once.
	if first, ok := h.unserved[r.signature()]; ok && r.key != 0 && first+r.class.Deadline > h.now {
		came = min(came, first)
	}
	delete(h.unserved, r.signature())
	r.firstAskedAt = came
	r.aimAt = min(came+r.class.Aim, r.deadline)
	h.requests[r.id] = r
	h.unanswered++
	v.liveRequests++
	v.lastUsed = h.now
	h.setHeld(r, true)
	if r.class.InOrder && r.key != 0 {
		c := h.keyQueues[r.key]
		if c == nil {
			c = &keyQueue{}
			h.keyQueues[r.key] = c
		}
		r.keyQueue = c
		c.requests = append(c.requests, r)
		if c.requests[0] != r || h.now < c.pausedUntil {
			return
		}
	}
	h.enqueue(r)
}

func (h *Host) volumeFor(e Arrival) *volume {
	attached := e.Attached
	if !(attached >= 1 && attached <= maxFleetGrowth*float64(h.settings.Hosts)) {
		attached = float64(h.settings.Hosts)
	}
	v := h.volumes[e.Volume]
	if v == nil {
		plan := &Plan{}
		if e.Plan >= 0 && e.Plan < len(h.settings.Plans) {
			plan = &h.settings.Plans[e.Plan]
		}
		v = &volume{id: e.Volume, plan: plan, attached: attached, creditedAt: h.now, virtualTime: h.virtualTime}
		// Limit guard: what the slice had spent before a restart is unknown, so it starts at its lowest
		// at the time this host began. An entry that aged out was full, and is so again by this sum.
		v.tokens, v.tokensAt = -plan.LimitSlack/attached, h.startedAt
		h.volumes[e.Volume] = v
		h.roundRobin = append(h.roundRobin, v)
	}
	v.attached = max(v.attached, attached)
	return v
}

func (h *Host) enqueue(r *request) {
	v := r.vol
	if v.queueLength == 0 {
		if v.balance < 0 {
			v.balance = min(v.balance+h.reservation(v)*seconds(h.now-v.creditedAt), 0)
		}
		v.creditedAt = h.now
		v.virtualTime = max(v.virtualTime, h.virtualTime)
	}
	v.push(r)
}

func (h *Host) handleAttemptEnded(e AttemptEnded) {
	r := h.requests[e.Request]
	if r == nil || e.Attempt < 0 || e.Attempt >= len(r.attempts) || r.attempts[e.Attempt].ended {
		return
	}
	a := r.attempts[e.Attempt]
	a.ended = true
	r.inFlight--
	n := a.node
	n.removeInFlight(a)
	n.lastActive = h.now
	h.recordOutcome(r, a, e)
	ran := e.Outcome == Failed
	switch e.Outcome {
	case OK:
		h.clearPending(r)
	case Failed, Full: // it may have been answered before its last byte had left
		r.maybeSeen = true
	case TimedOut, Reset, Cancelled:
		r.maybeSeen, r.mayStillArrive = true, r.mayStillArrive || e.Outcome != Reset
		ran = true
		if r.keyQueue != nil {
			r.keyQueue.pausedUntil = max(r.keyQueue.pausedUntil, h.now+h.settings.Rules.OrderPause)
		}
	}
	if r.finished || e.Settled || e.Outcome == OK {
		h.finish(r)
		return
	}
	if ran {
		h.restrictRetries(r, a)
	}
	if r.inFlight > 0 || r.queued {
		return
	}
	r.notBefore = h.now + h.retryBackoff(len(r.attempts))
	if !h.mayRetry(r) {
		h.answerUnserved(r)
		return
	}
	h.setHeld(r, true)
	h.enqueue(r)
}

// restrictRetries binds a request that must not run twice to the group that drops its repeats.
func (h *Host) restrictRetries(r *request, a *attempt) {
	if r.class.Repeat == Retryable {
		return
	}
	if until := a.sentAt + r.class.RepeatWindow; !r.mayHaveRun || until < r.retryUntil {
		r.retryUntil = until
	}
	r.mayHaveRun, r.dedupNode = true, a.node
	if r.class.Group == GroupCell {
		r.cell = a.node.Cell
	}
}

func (h *Host) retryBackoff(tries int) Micros {
	p := retryDelay << min(tries-1, 4)
	return p/2 + Micros(h.rng.Int64N(int64(p)))
}

// mayRetry tells whether a further attempt can still be made at r.after.
func (h *Host) mayRetry(r *request) bool {
	once := r.mayHaveRun && (r.class.Repeat == Fragile || r.notBefore >= r.retryUntil)
	more := h.settings.MaxAttempts == 0 || r.attemptCount() < h.settings.MaxAttempts
	return more && !once && !r.streaming && !r.singleAttempt && r.notBefore+answerMargin < r.deadline
}

// answerUnserved answers a request that will not be served: refused, with advice, where a retry is surely harmless.
func (h *Host) answerUnserved(r *request) {
	if r.class.Repeat == Retryable || !r.mayHaveRun && r.inFlight == 0 {
		deny := Deny{Request: r.id}
		if h.settings.CoolDowns {
			deny.CoolDown = min(h.earliestSend(r, false)-h.now, h.settings.MaxCoolDown)
		}
		h.emit(deny)
	} else {
		h.emit(Surrender{r.id})
	}
	h.recordUnserved(r)
	h.finish(r)
}

// finish ends a request; it is forgotten when no attempt is out.
func (h *Host) finish(r *request) {
	if !r.finished {
		h.unanswered--
	}
	r.finished = true
	h.setHeld(r, false)
	h.dequeue(r)
	if r.inFlight > 0 {
		return
	}
	h.settleCharge(r)
	delete(h.requests, r.id)
	r.vol.liveRequests--
	r.vol.lastUsed = h.now
	if c := r.keyQueue; c != nil {
		c.requests = slices.DeleteFunc(c.requests, func(x *request) bool { return x == r })
	}
}

// releaseKeyQueues lets the first request of each rested key into its volume's queue.
func (h *Host) releaseKeyQueues() {
	var due []*request
	for k, c := range h.keyQueues {
		if len(c.requests) == 0 && h.now >= c.pausedUntil {
			delete(h.keyQueues, k)
		} else if h.now >= c.pausedUntil && c.requests[0].held && !c.requests[0].queued {
			due = append(due, c.requests[0])
		}
	}
	for _, r := range sortByArrival(due) {
		h.enqueue(r)
	}
}

func (h *Host) handleNodeList(e NodeList) {
	if e.Kind == ListFailed {
		if h.settings.Subscribe {
			h.subscribeAt = h.now + h.subscribeDelay
			h.subscribeDelay *= 2
			if w := h.settings.Rules.AskWithin / 2; w > 0 {
				h.subscribeDelay = min(h.subscribeDelay, w)
			}
		}
		return
	}
	if e.Kind != ListDelta {
		for _, n := range h.sortedNodes {
			n.State = Gone
		}
	}
	for _, x := range e.Nodes {
		n := h.nodes[x.ID]
		if n == nil {
			n = &node{}
			h.nodes[x.ID] = n
			h.sortedNodes = append(h.sortedNodes, n)
		}
		if n.window[0] == 0 || x.Started != n.Started {
			n.window, n.latency, n.failureShare = [2]float64{h.initialWindow(0), h.initialWindow(1)}, 0, 0
		}
		n.Node = x
	}
	slices.SortFunc(h.sortedNodes, func(a, b *node) int { return cmp.Compare(a.ID, b.ID) })
	clear(h.nodesByCell)
	for _, n := range h.sortedNodes {
		h.nodesByCell[n.Cell] = append(h.nodesByCell[n.Cell], n)
	}
	if h.settings.Subscribe && e.Kind != ListCached {
		h.subscribeAt, h.subscribeDelay = 0, initialSubscribeDelay
	}
}

func (h *Host) subscribe() {
	if h.subscribeAt > 0 && h.now >= h.subscribeAt {
		h.emit(Watch{On: true})
		h.subscribeAt = h.now + max(h.settings.Rules.AskWithin/2, sec)
	}
}

// expireHeld answers every held request for which nothing can be earned any more, in the Step that finds it:
// held back, its client could not come again in time. One with an attempt out waits for that alone.
func (h *Host) expireHeld() {
	var due []*request
	for _, r := range h.requests {
		if r.held && !h.canEarn(r) {
			due = append(due, r)
		}
	}
	for _, r := range sortByArrival(due) {
		if h.dequeue(r); r.inFlight > 0 {
			h.setHeld(r, false)
		} else {
			h.answerUnserved(r)
		}
	}
}

// shedExcess gives up held requests while more are owed an answer than there is room for: clients whose
// connections are all taken cannot ask at all, and who finds none is drawn by lot, reserved or not.
// Exception: Gage would hold a request as long as it can earn something. First go those that can no longer
// make their aim, then those of the volume whose queue is longest for what is reserved for it, the last in
// its turn first. Harm: where a rush is over sooner than the aims, they were given up for nothing.
func (h *Host) shedExcess() {
	for h.maxUnanswered > 0 && h.unanswered > h.maxUnanswered {
		var worst *request
		var length float64 // how long its queue takes by its reservation, in seconds
		for _, v := range h.roundRobin {
			r, units := h.shedCandidate(v)
			if r == nil {
				continue
			}
			long := units / max(h.reservation(v), 1)
			past := h.missesAim(r)
			if worst == nil || past && !h.missesAim(worst) || past == h.missesAim(worst) && long > length {
				worst, length = r, long
			}
		}
		if worst == nil {
			return
		}
		worst.notBefore = max(worst.notBefore, h.now+Micros(length*float64(sec))) // the advice when to come back
		h.answerUnserved(worst)
	}
}

// shedCandidate is the held request of a volume that gives way first, nil where there is none, and all units that
// wait there.
func (h *Host) shedCandidate(v *volume) (last *request, units float64) {
	for _, l := range v.queues {
		for _, r := range l.requests {
			if units += r.units; r.inFlight == 0 && (last == nil || h.shedsBefore(r, last)) {
				last = r
			}
		}
	}
	return last, units
}

// missesAim tells whether a held request can no longer make its aim.
func (h *Host) missesAim(r *request) bool { return h.now+Micros(h.unitTime*r.units) > r.aimAt }

// shedsBefore orders the requests of one volume for last.
func (h *Host) shedsBefore(r, o *request) bool {
	if h.missesAim(r) != h.missesAim(o) {
		return h.missesAim(r)
	}
	return o.precedes(r)
}

// canEarn tells whether a held request can still be sent so that its answer canEarn something: within its aim,
// or late where that canEarn a part and its client still waits.
// Exception: where the settings name a part of its time after which one that never left is better refused, it
// must leave by then. Harm: late answers that would have earned a little.
func (h *Host) canEarn(r *request) bool {
	need, last := h.unitTime*r.units, r.deadline-answerMargin-h.settings.Tick
	leave := last
	if h.settings.HeldPart > 0 && r.attemptCount() == 0 {
		leave = min(last, r.arrivedAt+Micros(h.settings.HeldPart*float64(r.deadline-r.arrivedAt))-answerMargin)
	}
	at := h.earliestSend(r, false)
	if at < never && at <= leave && at+Micros(need) <= r.aimAt {
		return true
	}
	at = h.earliestSend(r, true)
	return r.class.LateShare > 0 && !r.singleAttempt && at <= leave && at+Micros(minTimeShare*need) <= last
}

// earliestSend is when r could leave, by all that is known now, for a node where nothing would wait before it;
// never where nothing can make that true: no node, no repeat left, more units than its limit ever holds.
func (h *Host) earliestSend(r *request, late bool) Micros {
	at := max(h.now, r.notBefore)
	if r.keyQueue != nil {
		at = max(at, r.keyQueue.pausedUntil)
	}
	if p := r.vol.plan; p.Limit > 0 && !r.charged {
		room, least := p.LimitBurst/r.vol.attached, r.units-p.LimitSlack/r.vol.attached
		if late {
			least = max(least, room)
		}
		if least > room {
			return never
		}
		at = max(at, h.now+Micros(max(least-h.availableTokens(r.vol), 0)*r.vol.attached/p.Limit*float64(sec)))
	}
	units, anywhere := r.units, r.cell < 0 && !r.mayHaveRun && !r.homeZoneOnly
	if anywhere {
		units = h.settings.UnitMean // found once a Step for all of them
	}
	node, known := h.earliestNewObject[late]
	if !known || !anywhere {
		node = never
		for _, n := range h.candidates(r) {
			node = min(node, h.nodeAvailableAt(n, units, late))
		}
	}
	if anywhere {
		h.earliestNewObject[late] = node
	}
	if at = max(at, node); r.mayHaveRun && (r.class.Repeat == Fragile || at >= r.retryUntil) {
		return never
	}
	return at
}

// nodeAvailableAt is when a node that is not told of as drained or gone would take such a request, by its rests, its
// pause, the pace of its window, the guard of cold nodes and what waits there.
func (h *Host) nodeAvailableAt(n *node, units float64, late bool) Micros {
	if n.State != Ready {
		return never
	}
	at := h.now + Micros(h.expectedWait(n))
	if n.unresponsive() {
		at = min(at, n.lastActive+h.trialInterval())
	}
	if at = max(at, h.now, n.backoffUntil); late {
		at = max(at, n.lastActive+lateBackoff*Micros(h.settings.Hosts))
	}
	if w := max(h.window(n, 0), h.window(n, 1)); w < 1 && len(n.inFlight) == 0 {
		opened := max(n.lastActive, n.reducedAt[0]) + Micros(float64(waitInfoLifetime)*(1+math.Log2(1/w)))
		at = max(at, min(n.sentAt+Micros(h.responseTime(n)/w), opened))
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
	for _, n := range h.nodesByCell[cell] {
		t := h.nodeAvailableAt(n, units, false)
		if t < never && !h.hasCapacity(n, 0) {
			t += Micros(h.responseTime(n))
		}
		at = min(at, t)
	}
	if at >= never {
		return never
	}
	return at - h.now + Micros(h.unitTime*units)
}

// Down tells that no node of a cell takes connections for now, so that what may go elsewhere need not wait
// for the next try.
func (h *Host) Down(cell int) bool {
	for _, n := range h.nodesByCell[cell] {
		if n.State == Ready && (n.connectBackoff == 0 || h.now >= n.backoffUntil) {
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
	v.balance += rate * seconds(h.now-v.creditedAt)
	v.creditedAt = h.now
	v.balance = min(v.balance, max(rate*maxBalanceSeconds, h.settings.UnitTop))
}

// reservation is this host's part of the plan's reservation: the even slice, or where answers tell what
// the volume gets through all hosts, the part that goes through this one and half of what nobody uses.
// The parts of all hosts add up to the whole, so that a jam, where little is served, frees no flood.
func (h *Host) reservation(v *volume) float64 {
	whole := v.plan.Reserve
	slice := whole / v.attached
	own, total := v.ownRate.perSecond(h.now, rateSpan), v.totalRate
	if v.totalRateAt == 0 || h.now-v.totalRateAt >= maxRateAge {
		if !h.settings.TellsElsewhere {
			return slice
		}
		total = own + v.otherRate.perSecond(h.now, rateSpan)
	}
	mine := whole*own/max(total, own, 1) + max(whole-total, 0)/2
	return min(max(slice, mine), whole)
}

// weight is the queue's part in the second pass.
func (v *volume) weight() float64 { return cmp.Or(v.plan.Reserve, v.plan.Weight, 1) / v.attached }

// runCycle is Gage's: a first pass by reservation, a second over the room that is left.
func (h *Host) runCycle() {
	h.dropIdleVolumes()
	for _, late := range []bool{false, true} {
		h.rotation++
		for i := range h.roundRobin {
			v := h.roundRobin[(h.rotation+i)%len(h.roundRobin)]
			if v.queueLength == 0 {
				continue
			}
			h.credit(v)
			for v.balance >= 0 && v.queueLength > 0 {
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
			for _, v := range h.roundRobin {
				if v.queueLength == 0 || best != nil && v.virtualTime >= best.vol.virtualTime {
					continue
				}
				if r, n := h.next(v, 1, late); r != nil {
					best, at = r, n
				}
			}
			if best == nil {
				break
			}
			h.virtualTime = max(h.virtualTime, best.vol.virtualTime)
			best.vol.virtualTime += best.units / best.vol.weight()
			h.send(best, at)
		}
	}
}

// next is the request of v that leaves next and the node it goes to, or nil.
func (h *Host) next(v *volume, pass int, late bool) (*request, *node) {
	var best *request
	var at *node
	for _, l := range v.queues {
		for _, r := range l.requests {
			if r.notBefore > h.now || best != nil && !r.precedes(best) {
				continue
			}
			if n := h.selectNode(r, pass, late); n != nil {
				best, at = r, n
			}
		}
	}
	if best != nil && !best.charged && !h.limitAllows(best) {
		return nil, nil
	}
	return best, at
}

// precedes orders the requests of one volume: the class worth most per unit first, then in turn of arrival.
func (r *request) precedes(o *request) bool {
	if r.class.Worth != o.class.Worth {
		return r.class.Worth > o.class.Worth
	}
	return r.seq < o.seq
}

// candidates are the nodes in use that hold r's shard, or all of them for a new object, and of those the ones
// that drop its repeat where it may have run.
func (h *Host) candidates(r *request) []*node {
	nodes := h.sortedNodes
	if r.cell >= 0 {
		nodes = h.nodesByCell[r.cell]
	}
	bound := r.mayHaveRun && r.class.Group == GroupZone
	if !bound && !r.homeZoneOnly {
		return nodes
	}
	// Exception: where bytes between zones cost, a caller keeps its new objects in this host's zone.
	// Harm: other zones idle.
	var zone []*node
	for _, n := range nodes {
		if (!bound || n.Zone == r.dedupNode.Zone) && (!r.homeZoneOnly || n.Zone == h.settings.Zone) {
			zone = append(zone, n)
		}
	}
	return zone
}

// selectNode finds the node for r: the one that holds its shard, or for a new object, of those that take it now,
// the one with the least estimated outstanding load; nil where none does.
func (h *Host) selectNode(r *request, pass int, late bool) *node {
	if r.attemptCount() > 0 && !h.budgetAllows() || late && !r.charged && !h.bucketFull(r.vol) {
		return nil
	}
	// Herd guard: a node not heard of yet, as after its start, is taken to be as fast as the others, or it
	// would look best to all hosts at once. Also covers a new list; harm: a faster one is found later.
	usual := max(h.unitTime*h.settings.UnitMean, 1)
	var best *node
	var least float64
	for _, n := range h.candidates(r) {
		load := (n.unitsInFlight + r.units) * cmp.Or(n.latency, usual) / (1 + minSuccessShare - n.failureShare)
		if (best == nil || load < least) && h.accepts(n, r, pass, late) {
			best, least = n, load
		}
	}
	return best
}

// accepts tells whether a request may go to a node now: whether it is late there as asked, whether the node
// accepts connections, whether its window has room, and the guard of cold nodes.
func (h *Host) accepts(n *node, r *request, pass int, late bool) bool {
	wait, try := h.expectedWait(n), h.allowsTrial(n)
	if try {
		wait = 0 // nobody knows
	}
	if n.State != Ready || late != (h.now+Micros(wait+h.unitTime*r.units) > r.aimAt) ||
		late && (r.class.LateShare <= 0 || h.now+Micros(wait+minTimeShare*h.unitTime*r.units) > r.deadline) ||
		(n.connectBackoff > 0 || late) && len(n.inFlight) > 0 ||
		late && h.now-n.lastActive < lateBackoff*Micros(h.settings.Hosts) || h.now < n.backoffUntil ||
		pass == 1 && h.initialWindow(1) < 1 && wait > secondPassWaitShare*float64(h.minAim) {
		return false // the last line: many hosts, whose windows learn late that no room is left
	}
	return (h.hasCapacity(n, pass) || try) && h.slowStartAllows(n, r)
}

func (h *Host) send(r *request, n *node) {
	h.dequeue(r)
	h.setHeld(r, false)
	h.charge(r)
	if r.attemptCount() > 0 && h.settings.Rules.BudgetWindow > 0 {
		h.recentRetries = append(h.recentRetries, h.now)
	}
	a := &attempt{req: r, node: n, sentAt: h.now}
	r.attempts = append(r.attempts, a)
	r.inFlight++
	n.inFlight = append(n.inFlight, a)
	n.unitsInFlight += r.units
	n.lastActive, n.sentAt = h.now, h.now
	n.sentLog.add(h.now, r.units)
	s := Send{Request: r.id, Node: n.ID}
	if r.mayHaveRun && r.class.Repeat == Dedup {
		s.By = r.retryUntil // its connection may take longer to come up
	}
	h.emit(s)
}

// dropIdleVolumes drops the entries of volumes that have long been idle; one with a limit only once its slice is
// surely full, which is what a new entry starts from.
func (h *Host) dropIdleVolumes() {
	keep := h.roundRobin[:0]
	for _, v := range h.roundRobin {
		if v.liveRequests == 0 && h.now-v.lastUsed > maxVolumeIdle && (v.plan.Limit <= 0 || h.bucketFull(v)) {
			delete(h.volumes, v.id)
			continue
		}
		keep = append(keep, v)
	}
	h.roundRobin = keep
}

// ---- node window ----

// recordOutcome takes what the end of an attempt tells of its node and volume.
func (h *Host) recordOutcome(r *request, a *attempt, e AttemptEnded) {
	n, v := a.node, r.vol
	if e.Elsewhere > 0 {
		v.otherRate.add(h.now, float64(e.Elsewhere), rateSpan)
	}
	if e.Used > 0 && h.settings.UsePeriod > 0 {
		v.totalRate = float64(e.Used-1) / 100 * v.plan.Rate / seconds(h.settings.UsePeriod)
		v.totalRateAt = h.now
	}
	took := h.now - a.sentAt
	bad := 0.0
	// Down guard: a node that takes no connections is tried by one request at a time, so that those it
	// would serve later do not burn their attempts on it. Also covers a cut link or a full connection
	// table; harm: up to downMost of a node's time after it is back.
	if e.Outcome != ConnectFailed {
		if n.connectBackoff > minConnectBackoff && n.Started < n.connectFailedAt {
			n.presumedStart = n.connectFailedAt // more than one try in a row failed: its process may be new
		}
		n.connectBackoff = 0
	} else if a.sentAt >= n.connectFailedAt {
		n.connectBackoff, n.connectFailedAt = min(max(2*n.connectBackoff, minConnectBackoff), maxConnectBackoff), h.now
		n.backoffUntil = h.now + n.connectBackoff
	}
	if e.Outcome == OK {
		v.ownRate.add(h.now, r.units, rateSpan)
		n.servedLog.add(h.now, r.units)
	}
	if a.duringStall {
		return
	}
	switch e.Outcome {
	case OK:
		n.latency = cmp.Or(n.latency, float64(took))
		n.latency += smoothing * (float64(took) - n.latency)
		h.updateUnitTime(float64(took) / r.units)
		wait := max(float64(took)-h.unitTime*r.units, 0)
		h.recordWait(n, wait)
		for _, x := range n.inFlight {
			if x.waitDoublings > 0 && x.sentAt < a.sentAt && !x.overtaken {
				x.overtaken = true
				n.missingAnswers++
			}
		}
		if wait < secondPassWaitShare*float64(h.minAim) && n.missingAnswers <= maxMissingAnswers {
			h.lossShare = 1 - (1-h.lossShare)*math.Pow(1-smoothing, float64(n.missingAnswers))
		}
		if n.missingAnswers, n.backoffUntil = 0, 0; a.waitDoublings > 0 {
			h.lossShare -= smoothing * h.lossShare
		}
		for p, part := range [2]float64{firstPassWaitShare, secondPassWaitShare} {
			if past := part * float64(h.minAim); wait > past {
				h.shrinkWindow(n, p, a, past/wait)
			} else if w := h.window(n, p); w < 1 {
				n.window[p] = w * (1 + windowGrowth)
			} else if float64(len(n.inFlight)+1) >= w/2 {
				n.window[p] = min(w+1/w, h.maxWindow())
			}
		}
	case TimedOut, Full, ConnectFailed:
		// A client that gives up before the node is late is impatient: that is no answer that vanished.
		if e.Outcome == TimedOut && !a.overtaken && took > Micros(firstPassWaitShare*float64(h.minAim)) {
			n.missingAnswers++
		}
		h.shrinkWindow(n, 0, a, 0)
		h.shrinkWindow(n, 1, a, 0)
		// Jam guard: a node that works through what nobody waits for any more stays jammed as long as each
		// host tries it again by itself every few seconds. After an attempt in vain a host leaves it alone
		// for a time drawn at random up to vainRest times the hosts, so that the tries of all are spread over
		// it and the node can drain. One that waited for long may be a lost answer: there it takes as many
		// in a row as a hung node. Also covers cut-off and slowed nodes, and clients so impatient that the
		// work of their tries is lost. Harm: a node that was late for an impatient one idles for this host.
		if e.Outcome != ConnectFailed && (a.waitDoublings == 0 || n.missingAnswers > maxMissingAnswers) {
			n.backoffUntil = h.now + Micros(h.rng.Float64()*float64(timeoutBackoff)*float64(h.settings.Hosts))
		}
		bad = 1
	case Failed, Reset:
		bad = 1
	default:
		return
	}
	n.failureShare += smoothing * (bad - n.failureShare)
}

// shrinkWindow shuts a window to the given part, at most by half and at most once a round trip.
func (h *Host) shrinkWindow(n *node, pass int, a *attempt, part float64) {
	if a.sentAt < n.reducedAt[pass] || a.lost {
		return
	}
	n.window[pass] = max(h.window(n, pass)*max(part, 0.5), h.minWindow())
	n.reducedAt[pass] = h.now
}

// initialWindow is where a window starts: the first pass at its most, the second at this host's part of a few.
func (h *Host) initialWindow(pass int) float64 {
	return []float64{h.maxWindow(), min(h.maxWindow(), secondPassFleetWindow/float64(h.settings.Hosts))}[pass]
}

// maxWindow is what this host may have out at a node: where there are few hosts, its part of what one should bear.
func (h *Host) maxWindow() float64 {
	return max(maxHostWindow, maxFleetWindow/float64(h.settings.Hosts))
}

// minWindow is this host's part of what all hosts together keep out at a node however slow it is.
func (h *Host) minWindow() float64 { return min(1, minFleetWindow/float64(h.settings.Hosts)) }

// window is the node's window now: one that shut opens again while nothing is heard and nothing is out.
func (h *Host) window(n *node, pass int) float64 {
	w, open := n.window[pass], h.initialWindow(pass)
	if old := h.now - max(n.lastActive, n.reducedAt[pass]); w < open && old > waitInfoLifetime && len(n.inFlight) == 0 {
		return min(w*math.Exp2(float64(old-waitInfoLifetime)/float64(waitInfoLifetime)), open)
	}
	return w
}

// hasCapacity tells whether the node's window takes one more request.
func (h *Host) hasCapacity(n *node, pass int) bool {
	w := h.window(n, pass)
	if w >= 1 {
		return float64(len(n.inFlight))+1 <= w
	}
	return len(n.inFlight) == 0 && h.now >= n.sentAt+Micros(h.responseTime(n)/w)
}

// responseTime is how long a node usually takes; where nothing was seen yet, as long as the second pass may wait.
func (h *Host) responseTime(n *node) float64 {
	return cmp.Or(max(n.latency, h.unitTime*h.settings.UnitMean), secondPassWaitShare*float64(h.minAim))
}

// checkOverdue looks at requests that have waited at a node for longer than the first pass allows: their answers
// may be seconds away, or never come. Each says that the node is slow, and shuts its windows at each
// doubling of its wait. Where answers are known to vanish it is lost instead: it gives up its place and is
// sent again. Covers lossy links and dropped requests; harm: a request that is only heavy runs twice.
func (h *Host) checkOverdue() {
	for _, n := range h.sortedNodes {
		for i := 0; i < len(n.inFlight); i++ {
			a := n.inFlight[i]
			waited := float64(h.now-a.sentAt) - h.unitTime*a.req.units
			if a.duringStall || h.unitTime == 0 {
				continue
			}
			long := waited > firstPassWaitShare*float64(h.minAim)*math.Exp2(float64(a.waitDoublings))
			if long {
				if a.waitDoublings++; h.lossShare < lossThreshold/4 {
					h.recordWait(n, waited)
					n.waitAssumed = true
				}
			}
			if a.overtaken || long && h.lossShare > lossThreshold {
				n.removeInFlight(a)
				i--
				a.lost = true
				n.failureShare += smoothing * (1 - n.failureShare)
				if h.lossShare > lossThreshold || a.overtaken && h.lossShare > overtakenLossThreshold {
					h.hedge(a)
				}
				continue
			}
			for p := range n.window {
				if long {
					n.window[p], n.reducedAt[p] = max(n.window[p]/2, h.minWindow()), h.now
				}
			}
			if waited > h.expectedWait(n) && h.lossShare <= lossThreshold {
				n.wait, n.waitAt, n.waitAssumed = waited, h.now, true
			}
		}
	}
}

// hedge sends a request again whose answer is lost, where a second hedge is allowed.
func (h *Host) hedge(a *attempt) {
	r := a.req
	if r.finished || r.queued || !h.settings.SecondCopies || r.class.Repeat == Fragile {
		return
	}
	h.restrictRetries(r, a)
	if r.notBefore = h.now; h.mayRetry(r) {
		h.enqueue(r)
		h.setHeld(r, true)
	}
}

// allowsTrial lets one request past attempts that wait for long, whether they hold the window or their wait
// makes all others late, so seldom that those of all hosts add up to few: its answer tells lost attempts from
// a node that hangs. Held to the aim by that wait, none would leave before the lost one has timed out.
func (h *Host) allowsTrial(n *node) bool {
	return n.unresponsive() && h.now-n.lastActive > h.trialInterval()
}

func (h *Host) trialInterval() Micros {
	return Micros(float64(h.minAim) * max(1, float64(h.settings.Hosts)/minFleetWindow))
}

// unresponsive tells whether all that is known of the node's wait is that answers have not come.
func (n *node) unresponsive() bool {
	quick := slices.ContainsFunc(n.inFlight, func(a *attempt) bool { return a.waitDoublings == 0 })
	return !quick && (len(n.inFlight) > 0 || n.waitAssumed)
}

// expectedWait is what a request would expectedWait at the node, by its last news: a queue drains no faster than time. A
// node not heard of lately is taken to be like the others: in a rush that fills all nodes each host would
// else lose a request to each of them to find out. Harm: one slow node makes unknown ones seem slower.
func (h *Host) expectedWait(n *node) float64 {
	if h.now-n.waitAt > waitInfoLifetime {
		return max(n.wait-float64(h.now-n.waitAt), h.meanWait-float64(h.now-h.meanWaitAt), 0)
	}
	return max(n.wait-float64(h.now-n.waitAt), 0)
}

// recordWait takes in what a request has waited at a node.
func (h *Host) recordWait(n *node, wait float64) {
	n.wait, n.waitAt, n.waitAssumed = wait, h.now, false
	past := max(h.meanWait-float64(h.now-h.meanWaitAt), 0)
	h.meanWait, h.meanWaitAt = past+smoothing*(wait-past), h.now
}

// updateUnitTime follows the mean time a unit takes, over all nodes, as one node answers one host too seldom;
// what an answer took beyond it is a wait. Times over twice the mean are waits for the most part and raise
// it slowly, or after a jam all requests would seem too late to be sent, and nothing would teach better.
func (h *Host) updateUnitTime(x float64) {
	h.unitTime = cmp.Or(h.unitTime, x)
	if x > 2*h.unitTime {
		x = h.unitTime * (1 + maxUnitTimeRise)
	}
	h.unitTime += smoothing * (x - h.unitTime)
}
