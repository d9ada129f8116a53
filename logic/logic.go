package logic

// The interface of this module (settings, events, actions) is in logic/api.go. This file holds the scheduling
// decisions; limit.go (rate limits), slowstart.go (cold nodes) and retrybudget.go hold the rules on single
// quantities.
//
// The mechanism is Gage's (docs/design.md): each volume has a queue with a balance in units, which is visited
// in weighted round-robin; remaining capacity is shared by reservation; a window bounds the requests in
// flight at each node. The order of this file: constants, events, cycle, node window.

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
)

const (
	ms, sec Micros = 1000, 1000 * 1000

	cycle = 10 * ms // Gage's polling period; every Step runs a cycle too
	// maxBalanceSeconds caps a queue's balance, in seconds of its credit. The cap is never below one request
	// of the largest size.
	maxBalanceSeconds = 0.2
	stallThreshold    = 10 * cycle                // a timer this late means that the host stalled
	answerMargin      = cycle + 5*ms              // a held request is answered this long before its deadline
	minTimeShare      = 0.5                       // if work is saved, a request takes this share of its time
	never             = Micros(math.MaxInt64 / 4) // later than any clock; sums do not overflow

	// Each node has a window for each pass. The first pass sends reserved requests until the wait at the node
	// endangers the aims; the second only uses remaining capacity, so its window shrinks much earlier. Both
	// are bounded by maxPerHost, or with few hosts by this host's share of maxPerFleet if that is larger. A
	// window under one allows one request in flight and imposes a pause after its send.
	maxPerHost         = 2.0
	maxPerFleet        = 8.0
	minPerFleet        = 3.0
	secondPassPerFleet = 40.0 // initial second-pass window of a node, summed over all hosts
	windowGrowth       = 1.0  // relative growth of a window under one with each good answer
	// A request that waited at the node for more than this share of the shortest aim shrinks the window of
	// the pass. The shortest aim counts because a node has one queue for all classes.
	firstPassWaitShare  = 0.5
	secondPassWaitShare = 0.2
	// waitInfoLifetime is how long an answer remains evidence of the wait at its node. After that, a reduced
	// window with nothing in flight doubles once per waitInfoLifetime, up to its initial size.
	waitInfoLifetime = 1 * sec
	smoothing        = 0.2 // weight of a new sample in smoothed figures
	// The load of a failing node is multiplied by the attempts that one success takes, up to
	// 1/minSuccessShare.
	minSuccessShare = 0.01
	maxUnitTimeRise = 0.125 // caps a sample over twice the mean unit time, as it is mostly waiting
	// Attempts that time out between two quick answers of their node are taken for lost; more than
	// maxMissingAnswers in a row mean that the node hung. lossThreshold is the smoothed share of lost
	// attempts, among those that waited for long, above which the host assumes that answers get lost.
	maxMissingAnswers = 2
	lossThreshold     = 0.4
	// An attempt that a later one has overtaken is sent again above overtakenLossThreshold.
	overtakenLossThreshold = 0.3
	// A request that can no longer meet its aim goes only to a node with which this host had no exchange for
	// lateBackoff times the number of hosts, so that late requests of all hosts stay few. timeoutBackoff
	// times the number of hosts is the longest pause of a node after an unsuccessful attempt, for the same
	// reason.
	lateBackoff    = 250 * ms
	timeoutBackoff = 50 * ms

	retryDelay = 30 * ms // mean delay before the first retry; it doubles with each retry
	// A node that accepted no connection is tried again, by one request, after minConnectBackoff, which
	// doubles up to maxConnectBackoff.
	minConnectBackoff = 100 * ms
	maxConnectBackoff = 1600 * ms
	// presumedStartLifetime is how long a node that accepted no connections and then answers is treated as
	// restarted at the last failure, unless the node list names a later start.
	presumedStartLifetime = 5 * sec
	// rateSpan is the decay time of rates of service; a reported total older than maxRateAge is ignored.
	rateSpan   = 1 * sec
	maxRateAge = 3 * sec
	// maxFleetGrowth bounds the number of attached hosts that a request may name, as a multiple of the hosts
	// in the settings: the fleet may have grown since the settings were read. Larger numbers are not
	// plausible.
	maxFleetGrowth        = 16
	initialSubscribeDelay = 500 * ms // delay of the first new subscription; it doubles
)

// New returns a host with the given settings, or an error that names the invalid setting. The seed determines
// the host's random numbers.
func New(s Settings, seed uint64) (*Host, error) {
	if err := s.check(); err != nil {
		return nil, err
	}
	minAim := slices.MinFunc(s.Classes, func(a, b Class) int { return cmp.Compare(a.Aim, b.Aim) }).Aim
	pcg := rand.NewPCG(seed, 0x9e3779b97f4a7c15)
	return &Host{
		settings: s, minAim: minAim, pcg: pcg, rng: rand.New(pcg),
		requests: map[RequestID]*request{}, volumes: map[VolumeID]*volume{},
		nodes: map[NodeID]*node{}, keyQueues: map[uint64]*keyQueue{}, nodesByCell: map[int][]*node{},
		unserved: map[signature]Micros{}, earliestNewObject: map[bool]Micros{},
	}, nil
}

// Step processes the events of one moment and appends the resulting actions to actions.
func (h *Host) Step(now Micros, events []Event, actions []Action) []Action {
	if !h.started {
		h.started, h.startedAt = true, now
		if h.settings.Subscribe {
			h.subscribeAt, h.subscribeDelay = now, initialSubscribeDelay
		}
	}
	h.previousStep, h.now, h.actions = h.now, max(now, h.now), actions
	clear(h.earliestNewObject)
	// If the host's own timer fires much too late, the host stalled, and the times of attempts in flight say
	// nothing about the nodes. This also covers a suspended machine. Harm: nothing is learned from these
	// attempts.
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
		case Shutdown:
			// The shutdown bounds every deadline: no process would be there to answer later.
			for _, r := range h.requests {
				r.deadline, r.aimAt = min(r.deadline, e.Deadline), min(r.aimAt, e.Deadline)
			}
			h.endPostponements()
		case CapacityChanged:
			h.maxUnanswered = max(e.MaxUnanswered, 0)
		case NodeList:
			h.handleNodeList(e)
		case TimerFired:
			if e.Token == h.token {
				h.wakeAt = 0
			}
		}
	}
	h.expireAbandoned()
	h.admitPostponed()
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

// armTimer keeps one timer running while anything is pending.
func (h *Host) armTimer() {
	due := Micros(math.MaxInt64)
	if h.heldCount > 0 {
		due = h.now + cycle
	} else if len(h.requests) > 0 {
		due = h.now + stallThreshold/2
	}
	if h.subscribeAt > 0 {
		due = min(due, h.subscribeAt)
	}
	due = min(due, h.nextPostponed())
	if due == math.MaxInt64 || h.wakeAt > h.now && h.wakeAt <= due {
		return
	}
	h.token++
	h.wakeAt = max(due, h.now+1)
	h.emit(Wake{h.wakeAt - h.now, h.token})
}

// ---- events ----

func (h *Host) handleArrival(e Arrival) {
	if h.requests[e.Request] != nil {
		return
	}
	if h.settings.Rules.BudgetWindow > 0 && e.EarlierAttempts <= 0 {
		h.recentArrivals = append(h.recentArrivals, h.now)
	}
	if e.Class < 0 || e.Class >= len(h.settings.Classes) {
		h.emit(Refuse{Request: e.Request})
		return
	}
	v := h.volumeFor(e)
	h.seq++
	r := &request{
		id: e.Request, seq: h.seq, class: &h.settings.Classes[e.Class], vol: v,
		cell: max(e.Cell, -1), key: e.Key,
		units: e.Units, arrivedAt: h.now, deadline: e.Deadline,
		earlierAttempts: max(e.EarlierAttempts, 0), charged: e.EarlierAttempts > 0,
		singleAttempt: e.SingleAttempt, homeZoneOnly: e.HomeZoneOnly && e.Cell < 0,
	}
	if !(r.units > 0) || math.IsInf(r.units, 0) {
		r.units = 1 // not a valid size
	}
	// A request found after a stall arrived during it: its aim counts from the arrival time that its deadline
	// implies, if that lies after the previous Step.
	askedAt := r.deadline - r.class.Deadline
	if askedAt < h.previousStep || askedAt > h.now {
		askedAt = h.now
	}
	// A request with the signature of one that recently went unserved is taken for its client's repeat, and
	// its aim counts from the first arrival. Treated as new, repeats would displace requests that can earn
	// their full worth. Harm: a new request for the same data in the same size inherits an older aim, once.
	if first, ok := h.unserved[r.signature()]; ok && r.key != 0 && first+r.class.Deadline > h.now {
		askedAt = min(askedAt, first)
	}
	delete(h.unserved, r.signature())
	r.firstAskedAt = askedAt
	r.aimAt = min(askedAt+r.class.Aim, r.deadline)
	h.requests[r.id] = r
	v.liveRequests++
	v.lastUsed = h.now
	h.joinKeyQueue(r)
	if e.NotBefore > h.now {
		h.postpone(r, e.NotBefore)
		return
	}
	h.admit(r)
}

// joinKeyQueue gives a request its place in the order of its key, if its class has one.
func (h *Host) joinKeyQueue(r *request) {
	if !r.class.InOrder || r.key == 0 {
		return
	}
	c := h.keyQueues[r.key]
	if c == nil {
		c = &keyQueue{}
		h.keyQueues[r.key] = c
	}
	r.keyQueue = c
	c.requests = append(c.requests, r)
}

// admit begins to decide on a request.
func (h *Host) admit(r *request) {
	h.unanswered++
	h.setHeld(r, true)
	if c := r.keyQueue; c != nil && (c.requests[0] != r || h.now < c.pausedUntil) {
		return
	}
	h.enqueue(r)
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
	mayHaveRun := e.Outcome == Failed
	switch e.Outcome {
	case OK:
		h.clearPending(r)
	case Failed, Full: // the node may answer before the last byte was sent
		r.maybeSeen = true
	case TimedOut, Reset, Cancelled:
		r.maybeSeen, r.mayStillArrive = true, r.mayStillArrive || e.Outcome != Reset
		mayHaveRun = true
		if r.keyQueue != nil {
			r.keyQueue.pausedUntil = max(r.keyQueue.pausedUntil, h.now+h.settings.Rules.OrderPause)
		}
	}
	if r.finished || e.Settled || e.Outcome == OK {
		h.finish(r)
		return
	}
	if mayHaveRun {
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

// restrictRetries restricts retries of a request that may have run to the group and the time in which nodes
// drop its repeats.
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

// mayRetry reports whether a further attempt may be made at r.notBefore.
func (h *Host) mayRetry(r *request) bool {
	mustNotRerun := r.mayHaveRun && (r.class.Repeat == Fragile || r.notBefore >= r.retryUntil)
	attemptsLeft := h.settings.MaxAttempts == 0 || r.attemptCount() < h.settings.MaxAttempts
	return attemptsLeft && !mustNotRerun && !r.streaming && !r.singleAttempt &&
		r.notBefore+answerMargin < r.deadline
}

// answerUnserved gives a request that will not be served its final answer. It is refused, with advice on when
// to come back, if a retry is certain to do no harm; otherwise it fails.
func (h *Host) answerUnserved(r *request) {
	if r.class.Repeat == Retryable || !r.mayHaveRun && r.inFlight == 0 {
		refusal := Refuse{Request: r.id}
		if h.settings.CoolDowns {
			refusal.RetryAfter = min(h.earliestSend(r, false)-h.now, h.settings.MaxCoolDown)
		}
		h.emit(refusal)
	} else {
		h.emit(Fail{r.id})
	}
	h.recordUnserved(r)
	h.finish(r)
}

// finish marks a request as finished and drops it once no attempt is in flight.
func (h *Host) finish(r *request) {
	switch {
	case r.postponed:
		h.removePostponed(r)
	case !r.finished:
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

// releaseKeyQueues moves the first request of each key whose pause has ended to its volume's queue.
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

// expireHeld answers every held request that can no longer earn anything, in the Step that finds it: if the
// answer were delayed, the client could not retry in time. A request with an attempt in flight only waits for
// that.
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

// shedExcess refuses held requests while there are more unanswered requests than maxUnanswered: clients whose
// connections are all in use cannot send at all, and which requests then find no connection is random,
// whether reserved or not. It sheds requests that can no longer meet their aim first, then those of the
// volume whose queue is longest relative to its reservation, the latest arrival first.
// Exception: Gage would hold a request as long as it can earn something.
// Harm: if a burst ends before the aims pass, the shed requests could have been served.
func (h *Host) shedExcess() {
	for h.maxUnanswered > 0 && h.unanswered > h.maxUnanswered {
		var worst *request
		var worstDrainTime float64 // seconds to drain the queue at its reserved rate
		for _, v := range h.queuedVolumes() {
			r, units := h.shedCandidate(v)
			if r == nil {
				continue
			}
			drainTime := units / max(h.reservation(v), 1)
			missed := h.missesAim(r)
			if worst == nil || missed && !h.missesAim(worst) ||
				missed == h.missesAim(worst) && drainTime > worstDrainTime {
				worst, worstDrainTime = r, drainTime
			}
		}
		if worst == nil {
			return
		}
		// answerUnserved derives the advice on when to come back from notBefore.
		worst.notBefore = max(worst.notBefore, h.now+Micros(worstDrainTime*float64(sec)))
		h.answerUnserved(worst)
	}
}

// shedCandidate returns the held request of a volume that is shed first, or nil, and the units of all its
// queued requests.
func (h *Host) shedCandidate(v *volume) (candidate *request, units float64) {
	for _, l := range v.queues {
		for _, r := range l.requests {
			if units += r.units; r.inFlight == 0 && (candidate == nil || h.shedsBefore(r, candidate)) {
				candidate = r
			}
		}
	}
	return candidate, units
}

// missesAim reports whether a held request can no longer meet its aim.
func (h *Host) missesAim(r *request) bool { return h.now+Micros(h.unitTime*r.units) > r.aimAt }

// shedsBefore reports whether r is shed before o, a request of the same volume.
func (h *Host) shedsBefore(r, o *request) bool {
	if h.missesAim(r) != h.missesAim(o) {
		return h.missesAim(r)
	}
	return o.precedes(r)
}

// canEarn reports whether a held request can still be sent so that its answer earns something: within its
// aim, or late if late answers earn a share and the client still waits.
// Exception: if HeldPart is set, a request that was never sent must leave within that part of its time.
// Harm: late answers that would have earned a little are lost.
func (h *Host) canEarn(r *request) bool {
	serviceTime, latest := h.unitTime*r.units, r.deadline-answerMargin-h.settings.Tick
	leaveBy := latest
	if h.settings.HeldPart > 0 && r.attemptCount() == 0 {
		leaveBy = min(latest,
			r.arrivedAt+Micros(h.settings.HeldPart*float64(r.deadline-r.arrivedAt))-answerMargin)
	}
	at := h.earliestSend(r, false)
	if at < never && at <= leaveBy && at+Micros(serviceTime) <= r.aimAt {
		return true
	}
	at = h.earliestSend(r, true)
	return r.class.LateShare > 0 && !r.singleAttempt && at <= leaveBy &&
		at+Micros(minTimeShare*serviceTime) <= latest
}

// earliestSend estimates when r could be sent to a node without a queue. It returns never if that cannot
// happen: there is no node, no retry is left, or r has more units than its limit ever holds.
func (h *Host) earliestSend(r *request, late bool) Micros {
	at := max(h.now, r.notBefore)
	if r.keyQueue != nil {
		at = max(at, r.keyQueue.pausedUntil)
	}
	if p := r.vol.plan; p.Limit > 0 && !r.charged {
		capacity, needed := p.LimitBurst/r.vol.attached, r.units-p.LimitSlack/r.vol.attached
		if late {
			needed = max(needed, capacity)
		}
		if needed > capacity {
			return never
		}
		at = max(at,
			h.now+Micros(max(needed-h.availableTokens(r.vol), 0)*r.vol.attached/p.Limit*float64(sec)))
	}
	units, anywhere := r.units, r.cell < 0 && !r.mayHaveRun && !r.homeZoneOnly
	if anywhere {
		units = h.settings.UnitMean // computed once per Step for all new objects
	}
	nodeAt, known := h.earliestNewObject[late]
	if !known || !anywhere {
		nodeAt = never
		for _, n := range h.candidates(r) {
			nodeAt = min(nodeAt, h.nodeAvailableAt(n, units, late))
		}
	}
	if anywhere {
		h.earliestNewObject[late] = nodeAt
	}
	if at = max(at, nodeAt); r.mayHaveRun && (r.class.Repeat == Fragile || at >= r.retryUntil) {
		return never
	}
	return at
}

// nodeAvailableAt estimates when a node would accept a request of the given units, by its wait, its backoffs,
// the pause of its window and slow start. It returns never for a node that is not Ready.
func (h *Host) nodeAvailableAt(n *node, units float64, late bool) Micros {
	if n.State != Ready {
		return never
	}
	at := h.now + Micros(h.expectedWait(n))
	if n.silent() {
		at = min(at, n.lastActive+h.trialDelay())
	}
	if at = max(at, h.now, n.backoffUntil); late {
		at = max(at, n.lastActive+lateBackoff*Micros(h.settings.Hosts))
	}
	if w := max(h.window(n, 0), h.window(n, 1)); w < 1 && len(n.inFlight) == 0 {
		reopensAt := max(n.lastActive, n.reducedAt[0]) + Micros(float64(waitInfoLifetime)*(1+math.Log2(1/w)))
		at = max(at, min(n.sentAt+Micros(h.responseTime(n)/w), reopensAt))
	}
	if part, next, warm := h.slowStartShare(n, at); units > part {
		if part, _, _ = h.slowStartShare(n, next); units > part {
			next = warm
		}
		at = max(at, next)
	}
	return at
}

// EstimateResponseTime estimates the response time of a cell for a request that arrives now, for callers that
// may choose between cells with the same data. A full window adds the response time of one request. It
// returns Never if the cell has no node that can serve the request.
func (h *Host) EstimateResponseTime(cell int, units float64) Micros {
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

// Down reports whether no node of a cell accepts connections at present, so that a request that may go
// elsewhere need not wait for the next attempt.
func (h *Host) Down(cell int) bool {
	for _, n := range h.nodesByCell[cell] {
		if n.State == Ready && (n.connectBackoff == 0 || h.now >= n.backoffUntil) {
			return false
		}
	}
	return true
}

// ---- cycle ----

// credit adds to the balance what the reservation has earned since the last visit, up to a cap. It is called
// only while requests are queued.
func (h *Host) credit(v *volume) {
	rate := h.reservation(v)
	v.balance += rate * seconds(h.now-v.creditedAt)
	v.creditedAt = h.now
	v.balance = min(v.balance, max(rate*maxBalanceSeconds, h.settings.UnitTop))
}

// reservation returns this host's share of the plan's reservation, in units a second. It is the even share,
// or, if answers report the volume's use over all hosts and that is larger, the proportion served through
// this host plus half of the unused rest. The shares of all hosts add up to the whole reservation, so that a
// congestion, in which little is served, does not release a flood of requests.
func (h *Host) reservation(v *volume) float64 {
	full := v.plan.Reserve
	even := full / v.attached
	own, total := v.ownRate.perSecond(h.now, rateSpan), v.totalRate
	if v.totalRateAt == 0 || h.now-v.totalRateAt >= maxRateAge {
		if !h.settings.TellsElsewhere {
			return even
		}
		total = own + v.otherRate.perSecond(h.now, rateSpan)
	}
	proportional := full*own/max(total, own, 1) + max(full-total, 0)/2
	return min(max(even, proportional), full)
}

// weight returns the volume's weight in the second pass.
func (v *volume) weight() float64 { return cmp.Or(v.plan.Reserve, v.plan.Weight, 1) / v.attached }

// runCycle runs one cycle of Gage: a first pass by reservation and a second over the remaining capacity, both
// for requests that can meet their aim and then for late ones.
func (h *Host) runCycle() {
	h.dropIdleVolumes()
	for _, late := range []bool{false, true} {
		h.rotation++
		for _, v := range h.queuedFrom(h.rotation) {
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
			for _, v := range h.queuedVolumes() {
				if best != nil && v.virtualTime >= best.vol.virtualTime {
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

// next returns the request of v to send next and its node, or nil.
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

// precedes orders the requests of one volume by the worth of their class, highest first, then by arrival.
func (r *request) precedes(o *request) bool {
	if r.class.Worth != o.class.Worth {
		return r.class.Worth > o.class.Worth
	}
	return r.seq < o.seq
}

// candidates returns the nodes that hold r's shard, or all nodes for a new object. If r may have run, only
// those that drop its repeat are returned.
func (h *Host) candidates(r *request) []*node {
	nodes := h.sortedNodes
	if r.cell >= 0 {
		nodes = h.nodesByCell[r.cell]
	}
	zoneBound := r.mayHaveRun && r.class.Group == GroupZone
	if !zoneBound && !r.homeZoneOnly {
		return nodes
	}
	// Exception: where traffic between zones costs money, a caller keeps its new objects in this host's zone.
	// Harm: nodes of other zones may idle.
	var zone []*node
	for _, n := range nodes {
		if (!zoneBound || n.Zone == r.dedupNode.Zone) && (!r.homeZoneOnly || n.Zone == h.settings.Zone) {
			zone = append(zone, n)
		}
	}
	return zone
}

// selectNode returns the node for r, or nil: of the candidates that accept r now, the one with the least
// estimated outstanding load.
func (h *Host) selectNode(r *request, pass int, late bool) *node {
	if r.attemptCount() > 0 && !h.budgetAllows() || late && !r.charged && !h.bucketFull(r.vol) {
		return nil
	}
	// A node without any answer yet, as after its start, is assumed to be as fast as the others; otherwise
	// all hosts would prefer it at once. This also covers a new node list. Harm: a faster node is found
	// later.
	defaultLatency := max(h.unitTime*h.settings.UnitMean, 1)
	var best *node
	var leastLoad float64
	for _, n := range h.candidates(r) {
		load := (n.unitsInFlight + r.units) * cmp.Or(n.latency, defaultLatency) /
			(1 + minSuccessShare - n.failureShare)
		if (best == nil || load < leastLoad) && h.accepts(n, r, pass, late) {
			best, leastLoad = n, load
		}
	}
	return best
}

// accepts reports whether r may be sent to n now: r is late there or in time, as asked for, the node accepts
// connections, its window has capacity and slow start allows it.
func (h *Host) accepts(n *node, r *request, pass int, late bool) bool {
	wait, trial := h.expectedWait(n), h.allowsTrial(n)
	if trial {
		wait = 0 // the wait is not known
	}
	if n.State != Ready || late != (h.now+Micros(wait+h.unitTime*r.units) > r.aimAt) ||
		late && (r.class.LateShare <= 0 || h.now+Micros(wait+minTimeShare*h.unitTime*r.units) > r.deadline) ||
		(n.connectBackoff > 0 || late) && len(n.inFlight) > 0 ||
		late && h.now-n.lastActive < lateBackoff*Micros(h.settings.Hosts) || h.now < n.backoffUntil ||
		pass == 1 && h.initialWindow(1) < 1 && wait > secondPassWaitShare*float64(h.minAim) {
		return false // the last condition: with many hosts, the windows react late when capacity runs out
	}
	return (h.hasCapacity(n, pass) || trial) && h.slowStartAllows(n, r)
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
		s.By = r.retryUntil // the connection may be established later
	}
	h.emit(s)
}

// ---- node window ----

// recordOutcome updates the state of the node and the volume from the end of an attempt.
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
	failure := 0.0
	// A node that accepts no connections is tried by one request at a time, so that requests it could serve
	// later do not use up their attempts. This also covers a cut link or a full connection table. Harm: up to
	// maxConnectBackoff of a node's time is unused after it is back.
	if e.Outcome != ConnectFailed {
		if n.connectBackoff > minConnectBackoff && n.Started < n.connectFailedAt {
			n.presumedStart = n.connectFailedAt // several failures in a row: its process may be new
		}
		n.connectBackoff = 0
	} else if a.sentAt >= n.connectFailedAt {
		n.connectBackoff, n.connectFailedAt =
			min(max(2*n.connectBackoff, minConnectBackoff), maxConnectBackoff), h.now
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
		for _, older := range n.inFlight {
			if older.waitDoublings > 0 && older.sentAt < a.sentAt && !older.overtaken {
				older.overtaken = true
				n.missingAnswers++
			}
		}
		if wait < secondPassWaitShare*float64(h.minAim) && n.missingAnswers <= maxMissingAnswers {
			h.lossShare = 1 - (1-h.lossShare)*math.Pow(1-smoothing, float64(n.missingAnswers))
		}
		if n.missingAnswers, n.backoffUntil = 0, 0; a.waitDoublings > 0 {
			h.lossShare -= smoothing * h.lossShare
		}
		for p, share := range [2]float64{firstPassWaitShare, secondPassWaitShare} {
			if maxWait := share * float64(h.minAim); wait > maxWait {
				h.shrinkWindow(n, p, a, maxWait/wait)
			} else if w := h.window(n, p); w < 1 {
				n.window[p] = w * (1 + windowGrowth)
			} else if float64(len(n.inFlight)+1) >= w/2 {
				n.window[p] = min(w+1/w, h.maxWindow())
			}
		}
	case TimedOut, Full, ConnectFailed:
		// If the client gave up before the node was overdue, the answer does not count as lost.
		if e.Outcome == TimedOut && !a.overtaken && took > Micros(firstPassWaitShare*float64(h.minAim)) {
			n.missingAnswers++
		}
		h.shrinkWindow(n, 0, a, 0)
		h.shrinkWindow(n, 1, a, 0)
		// A congested node that works on requests whose clients have left stays congested if every host sends
		// it another request every few seconds. After an unsuccessful attempt a host therefore backs off for
		// a random time of up to timeoutBackoff times the number of hosts, which spreads the attempts of all
		// hosts so that the node can drain its queue. An attempt that waited for long may be a lost answer;
		// it then takes as many in a row as for a hung node. This also covers cut-off and slowed nodes, and
		// clients with deadlines so short that the work of their attempts is wasted. Harm: a node that was
		// late only for such a client gets nothing from this host for a while.
		if e.Outcome != ConnectFailed && (a.waitDoublings == 0 || n.missingAnswers > maxMissingAnswers) {
			n.backoffUntil = h.now + Micros(h.rng.Float64()*float64(timeoutBackoff)*float64(h.settings.Hosts))
		}
		failure = 1
	case Failed, Reset:
		failure = 1
	default:
		return
	}
	n.failureShare += smoothing * (failure - n.failureShare)
}

// shrinkWindow reduces a window by the given factor, at most by half and at most once per round trip.
func (h *Host) shrinkWindow(n *node, pass int, a *attempt, factor float64) {
	if a.sentAt < n.reducedAt[pass] || a.lost {
		return
	}
	n.window[pass] = max(h.window(n, pass)*max(factor, 0.5), h.minWindow())
	n.reducedAt[pass] = h.now
}

// initialWindow returns the initial size of a window: the maximum for the first pass, this host's share of
// secondPassPerFleet for the second.
func (h *Host) initialWindow(pass int) float64 {
	return []float64{h.maxWindow(), min(h.maxWindow(), secondPassPerFleet/float64(h.settings.Hosts))}[pass]
}

// maxWindow returns how many requests this host may have in flight at a node; with few hosts, its share of
// maxPerFleet.
func (h *Host) maxWindow() float64 { return max(maxPerHost, maxPerFleet/float64(h.settings.Hosts)) }

// minWindow returns this host's share of what all hosts together keep in flight at a node, however slow it
// is.
func (h *Host) minWindow() float64 { return min(1, minPerFleet/float64(h.settings.Hosts)) }

// window returns the node's window now. A reduced window grows again while nothing is in flight and no answer
// arrives.
func (h *Host) window(n *node, pass int) float64 {
	w, initial := n.window[pass], h.initialWindow(pass)
	if silence := h.now - max(n.lastActive, n.reducedAt[pass]); w < initial &&
		silence > waitInfoLifetime && len(n.inFlight) == 0 {
		return min(w*math.Exp2(float64(silence-waitInfoLifetime)/float64(waitInfoLifetime)), initial)
	}
	return w
}

// hasCapacity reports whether the node's window admits one more request.
func (h *Host) hasCapacity(n *node, pass int) bool {
	w := h.window(n, pass)
	if w >= 1 {
		return float64(len(n.inFlight))+1 <= w
	}
	return len(n.inFlight) == 0 && h.now >= n.sentAt+Micros(h.responseTime(n)/w)
}

// responseTime returns the node's usual response time, or while none is known the longest wait that the
// second pass tolerates.
func (h *Host) responseTime(n *node) float64 {
	return cmp.Or(max(n.latency, h.unitTime*h.settings.UnitMean), secondPassWaitShare*float64(h.minAim))
}

// checkOverdue handles attempts that have waited at a node for longer than the first pass tolerates: the
// answer may take seconds or never come. Such an attempt indicates a slow node and shrinks its windows at
// each doubling of its wait. If answers are known to get lost, the attempt counts as lost instead: it leaves
// the window and the request is sent again. This covers lossy links and dropped requests. Harm: a request
// that is merely expensive runs twice.
func (h *Host) checkOverdue() {
	for _, n := range h.sortedNodes {
		for i := 0; i < len(n.inFlight); i++ {
			a := n.inFlight[i]
			waited := float64(h.now-a.sentAt) - h.unitTime*a.req.units
			if a.duringStall || h.unitTime == 0 {
				continue
			}
			overdue := waited > firstPassWaitShare*float64(h.minAim)*math.Exp2(float64(a.waitDoublings))
			if overdue {
				if a.waitDoublings++; h.lossShare < lossThreshold/4 {
					h.recordWait(n, waited)
					n.waitAssumed = true
				}
			}
			if a.overtaken || overdue && h.lossShare > lossThreshold {
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
				if overdue {
					n.window[p], n.reducedAt[p] = max(n.window[p]/2, h.minWindow()), h.now
				}
			}
			if waited > h.expectedWait(n) && h.lossShare <= lossThreshold {
				n.wait, n.waitAt, n.waitAssumed = waited, h.now, true
			}
		}
	}
}

// hedge queues another attempt of a request whose answer seems lost, if two attempts at once are allowed.
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

// allowsTrial reports whether one request may be sent to n although attempts there are overdue, which fill
// the window or make all other requests late. Its answer distinguishes lost attempts from a node that hangs;
// if the assumed wait counted, nothing would be sent before the lost attempt has timed out. Trials are so
// rare that those of all hosts together stay few.
func (h *Host) allowsTrial(n *node) bool { return n.silent() && h.now-n.lastActive > h.trialDelay() }

func (h *Host) trialDelay() Micros {
	return Micros(float64(h.minAim) * max(1, float64(h.settings.Hosts)/minPerFleet))
}

// silent reports whether the only evidence of the node's wait is that answers are overdue.
func (n *node) silent() bool {
	quick := slices.ContainsFunc(n.inFlight, func(a *attempt) bool { return a.waitDoublings == 0 })
	return !quick && (len(n.inFlight) > 0 || n.waitAssumed)
}

// expectedWait estimates the wait of a request at the node from the last known wait, less the time since: a
// queue drains no faster than that. A node without recent answers is assumed to be like the others;
// otherwise, in a burst that fills all nodes, each host would lose a request to each of them to find out.
// Harm: one slow node makes unknown ones seem slower.
func (h *Host) expectedWait(n *node) float64 {
	if h.now-n.waitAt > waitInfoLifetime {
		return max(n.wait-float64(h.now-n.waitAt), h.meanWait-float64(h.now-h.meanWaitAt), 0)
	}
	return max(n.wait-float64(h.now-n.waitAt), 0)
}

// recordWait records how long a request has waited at a node.
func (h *Host) recordWait(n *node, wait float64) {
	n.wait, n.waitAt, n.waitAssumed = wait, h.now, false
	mean := max(h.meanWait-float64(h.now-h.meanWaitAt), 0)
	h.meanWait, h.meanWaitAt = mean+smoothing*(wait-mean), h.now
}

// updateUnitTime updates the mean service time of a unit. It is kept over all nodes because one node answers
// one host too rarely. The time that an answer takes beyond it counts as wait. Samples over twice the mean
// are mostly waiting and raise it slowly; otherwise, after a congestion, all requests would seem too late to
// be sent and no answer would correct the estimate.
func (h *Host) updateUnitTime(sample float64) {
	h.unitTime = cmp.Or(h.unitTime, sample)
	if sample > 2*h.unitTime {
		sample = h.unitTime * (1 + maxUnitTimeRise)
	}
	h.unitTime += smoothing * (sample - h.unitTime)
}
