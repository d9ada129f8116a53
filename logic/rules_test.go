package logic

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
)

// checker checks the seven rules against the behavior of one host. It sees only events and actions and shares no code
// with the module.
type checker struct {
	set          Settings
	startedAt    Micros
	started      bool
	requests     map[RequestID]*requestRecord
	arrivals     []RequestID
	nodes        map[NodeID]Node
	stoppedAt    map[NodeID]Micros // when reported as draining or gone
	sends        map[NodeID][]sendRecord
	served       map[NodeID][]sendRecord
	drawn        map[VolumeID][]sendRecord
	arrivalTimes []Micros
	retryTimes   []Micros
	violations   []string
}

type requestRecord struct {
	Arrival
	at       Micros
	finished bool
	answers  int
	attempts []*attemptRecord
}

type attemptRecord struct {
	node    Node
	at      Micros
	done    bool
	endedAt Micros
	outcome Outcome
	rests   bool
}

type sendRecord struct {
	at    Micros
	units float64
}

func newChecker(s Settings) *checker {
	return &checker{
		set: s, requests: map[RequestID]*requestRecord{}, nodes: map[NodeID]Node{}, stoppedAt: map[NodeID]Micros{},
		sends: map[NodeID][]sendRecord{}, served: map[NodeID][]sendRecord{}, drawn: map[VolumeID][]sendRecord{},
	}
}

func (c *checker) fail(format string, a ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, a...))
}

func (t *attemptRecord) mayHaveRun() bool {
	return !t.done || t.outcome == Failed || t.outcome == TimedOut || t.outcome == Reset || t.outcome == Cancelled
}

func (c *checker) recordEvents(now Micros, events []Event) {
	if !c.started {
		c.started, c.startedAt = true, now
	}
	for _, e := range events {
		switch e := e.(type) {
		case Arrival:
			c.requests[e.Request] = &requestRecord{Arrival: e, at: now}
			c.arrivals = append(c.arrivals, e.Request)
			c.arrivalTimes = append(c.arrivalTimes, now)
		case AttemptEnded:
			r := c.requests[e.Request]
			t := r.attempts[e.Attempt]
			t.done, t.endedAt, t.outcome = true, now, e.Outcome
			if e.Outcome == OK {
				c.served[e.Node] = append(c.served[e.Node], sendRecord{now, r.Units})
			}
			if e.Settled {
				r.finished = true
			}
		case ClientGone:
			c.requests[e.Request].finished = true
		case NodeList:
			if e.Kind == ListFailed {
				continue
			}
			if e.Kind != ListDelta {
				for id := range c.nodes {
					if _, ok := c.stoppedAt[id]; !ok {
						c.stoppedAt[id] = now
					}
				}
			}
			for _, n := range e.Nodes {
				c.nodes[n.ID] = n
				if n.State == Ready {
					delete(c.stoppedAt, n.ID)
				} else if _, ok := c.stoppedAt[n.ID]; !ok {
					c.stoppedAt[n.ID] = now
				}
			}
		}
	}
}

func (c *checker) checkActions(now Micros, actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case Send:
			c.checkSend(now, a)
		case Refuse:
			c.checkAnswer(now, a.Request, true)
		case Fail:
			c.checkAnswer(now, a.Request, false)
		}
	}
}

func (c *checker) checkAnswer(now Micros, id RequestID, denied bool) {
	r := c.requests[id]
	if r == nil {
		c.fail("answer to unknown request %d", id)
		return
	}
	if r.finished {
		c.fail("rule 1: request %d answered after its end", id)
	}
	r.finished = true
	if now > r.Deadline+c.set.Rules.AnswerSlack {
		c.fail("rule 1: request %d answered %d us late", id, now-r.Deadline)
	}
	class := c.set.Classes[r.Class]
	if denied && class.Repeat != Retryable {
		for _, t := range r.attempts {
			if t.mayHaveRun() && (class.Repeat == Fragile || class.Group != GroupAll) {
				c.fail("rule 2: request %d refused though it may have run", id)
			}
		}
	}
}

func (c *checker) checkSend(now Micros, a Send) {
	r, n := c.requests[a.Request], c.nodes[a.Node]
	if r == nil || r.finished {
		c.fail("rule 1: send for request %d, unknown or over", a.Request)
		return
	}
	class, rules := c.set.Classes[r.Class], c.set.Rules
	for _, t := range r.attempts {
		if !t.done && !c.set.SecondCopies {
			c.fail("rule 2: two attempts of %d in flight", r.Request)
		}
		if !t.mayHaveRun() {
			continue
		}
		switch class.Repeat {
		case Fragile:
			c.fail("rule 2: fragile request %d sent again", r.Request)
		case Dedup:
			if now >= t.at+class.RepeatWindow {
				c.fail("rule 2: %d sent again after its window", r.Request)
			}
			if class.Group == GroupCell && n.Cell != t.node.Cell || class.Group == GroupZone && n.Zone != t.node.Zone {
				c.fail("rule 2: %d sent again outside its group", r.Request)
			}
		}
	}
	if at, ok := c.stoppedAt[n.ID]; ok && now >= at+rules.StopSending {
		c.fail("rule 3: send to node %d that drains or is gone", n.ID)
	}
	c.sends[n.ID] = append(c.sends[n.ID], sendRecord{now, r.Units})
	if n.Started > 0 && now < n.Started+rules.ColdTime {
		c.checkColdNode(now, n)
	}
	if class.InOrder && r.Key != 0 {
		c.checkOrder(now, r)
	}
	if len(r.attempts) > 0 {
		c.retryTimes = append(c.retryTimes, now)
		c.checkBudget(now)
	} else if p := c.set.Plans[r.Plan]; p.Limit > 0 {
		c.drawn[r.Volume] = append(c.drawn[r.Volume], sendRecord{now, r.Units})
		c.checkLimit(now, r, p)
	}
	r.attempts = append(r.attempts, &attemptRecord{node: n, at: now})
}

// checkColdNode checks that a host sends no more than its even share of what a cold node tolerates, which grows with
// the least growth of the node's capacity, or half the overload multiple of what the node has served for it in the
// time.
func (c *checker) checkColdNode(now Micros, n Node) {
	rules := c.set.Rules
	sum := func(l []sendRecord) (u float64) {
		for _, x := range l {
			if x.at >= now-rules.OverloadTime {
				u += x.units
			}
		}
		return u
	}
	age := math.Max(0, float64(now-rules.OverloadTime-n.Started)/float64(rules.ColdTime))
	part := rules.ColdUnits / float64(c.set.Hosts) * (1 + age*(1-rules.ColdFrom)/rules.ColdFrom)
	if x := sum(c.sends[n.ID]); x > math.Max(part, rules.TipMultiple/2*sum(c.served[n.ID]))+1e-6 {
		c.fail("rule 4: cold node %d was sent %v units, its part is %v", n.ID, x, part)
	}
}

func (c *checker) checkOrder(now Micros, r *requestRecord) {
	for _, id := range c.arrivals {
		o := c.requests[id]
		if o == r {
			return
		}
		if o.Key != r.Key || !c.set.Classes[o.Class].InOrder {
			continue
		}
		if !o.finished {
			c.fail("rule 6: %d sent before %d was over", r.Request, id)
		}
		for _, t := range o.attempts {
			if !t.done {
				c.fail("rule 6: %d sent while %d has an attempt in flight", r.Request, id)
			} else if (t.outcome == TimedOut || t.outcome == Reset || t.outcome == Cancelled) &&
				now < t.endedAt+c.set.Rules.OrderPause {
				c.fail("rule 6: %d sent in the pause after %d", r.Request, id)
			}
		}
	}
}

func (c *checker) checkBudget(now Micros) {
	rules := c.set.Rules
	if rules.BudgetWindow == 0 {
		return
	}
	count := func(l []Micros) (n float64) {
		for _, t := range l {
			if now-t < rules.BudgetWindow {
				n++
			}
		}
		return n
	}
	if x, most := count(c.retryTimes), rules.BudgetFree+rules.BudgetPerTake*count(c.arrivalTimes); x > most {
		c.fail("rule 7: %v retries, %v allowed", x, most)
	}
}

// checkLimit checks the limit against an even share that is at its lowest when the host starts.
func (c *checker) checkLimit(now Micros, r *requestRecord, p Plan) {
	n := r.Attached
	store, at := -p.LimitSlack/n, c.startedAt
	for _, d := range c.drawn[r.Volume] {
		store = math.Min(store+p.Limit/n*float64(d.at-at)/1e6, p.LimitBurst/n) - d.units
		at = d.at
	}
	if store < -p.LimitSlack/n-1e-6 {
		c.fail("rule 5: volume %d exceeded its share by %v", r.Volume, -p.LimitSlack/n-store)
	}
}

func (c *checker) finish(now Micros) []string {
	for id, r := range c.requests {
		if !r.finished {
			c.fail("rule 1: request %d never answered by %d", id, now)
		}
	}
	return c.violations
}

func ruleSettings() Settings {
	return Settings{
		Hosts: 3, Tick: 2 * ms, MaxAttempts: 4, UnitMean: 2, UnitTop: 6, UsePeriod: sec, TellsElsewhere: true,
		Classes: []Class{
			{Aim: 400 * ms, Deadline: 2 * sec, Worth: 3, Repeat: Retryable},
			{Aim: 700 * ms, Deadline: 3 * sec, Worth: 2, Repeat: Dedup, Group: GroupCell, RepeatWindow: sec,
				InOrder: true, Writes: true},
			{Aim: 700 * ms, Deadline: 3 * sec, Worth: 2, Repeat: Dedup, Group: GroupZone, RepeatWindow: sec},
			{Aim: 700 * ms, Deadline: 3 * sec, Worth: 2, Repeat: Dedup, Group: GroupAll, RepeatWindow: sec},
			{Aim: 700 * ms, Deadline: 3 * sec, Worth: 1, Repeat: Fragile, InOrder: true},
		},
		Plans: []Plan{
			{Rate: 5, Reserve: 2, Weight: 1, Limit: 20, LimitBurst: 40, LimitSlack: 6},
			{Rate: 10, Reserve: 8, Weight: 3},
		},
		Rules: Rules{
			AnswerSlack: 8 * ms, StopSending: 250 * ms, ColdFrom: 0.2, ColdTime: 3 * sec, ColdUnits: 9,
			OverloadTime: sec, TipMultiple: 3, OrderPause: 100 * ms, BudgetWindow: 2 * sec, BudgetFree: 3,
			BudgetPerTake: 0.1,
		},
	}
}

// scenario drives a host with seeded random events that the interface allows; it models no server.
type scenario struct {
	t        *testing.T
	rng      *rand.Rand
	host     *Host
	check    *checker
	now      Micros
	nextID   RequestID
	inFlight []pendingAttempt
	timers   []TimerFired
	fireAt   []Micros
	nodes    []Node
	attempts map[RequestID]int
	ordered  bool
}

type pendingAttempt struct {
	id      RequestID
	attempt int
	node    NodeID
	at, end Micros
	outcome Outcome
}

func (s *scenario) step(events []Event) []Action {
	s.check.recordEvents(s.now, events)
	actions := s.host.Step(s.now, events, nil)
	s.check.checkActions(s.now, actions)
	for _, a := range actions {
		switch a := a.(type) {
		case Send:
			r := s.check.requests[a.Request]
			o := pendingAttempt{id: a.Request, attempt: s.attempts[a.Request], node: a.Node, at: s.now}
			s.attempts[a.Request]++
			if s.rng.IntN(4) == 0 {
				o.outcome = []Outcome{Failed, Full, Failed, TimedOut, ConnectFailed, Reset, NotSent, OK}[s.rng.IntN(8)]
			}
			o.end = s.now + Micros(s.rng.IntN(120_000)) + ms
			if o.outcome == TimedOut || o.end > r.Deadline {
				o.outcome, o.end = TimedOut, r.Deadline
			}
			s.inFlight = append(s.inFlight, o)
		case Wake:
			s.timers = append(s.timers, TimerFired{a.Token})
			s.fireAt = append(s.fireAt, s.now+a.After)
		}
	}
	return actions
}

func (s *scenario) run(steps int) {
	for i := range steps {
		s.now += 2 * ms
		var events []Event
		for j := 0; j < len(s.timers); {
			if s.fireAt[j] <= s.now {
				events = append(events, s.timers[j])
				s.timers = append(s.timers[:j], s.timers[j+1:]...)
				s.fireAt = append(s.fireAt[:j], s.fireAt[j+1:]...)
			} else {
				j++
			}
		}
		for j := 0; j < len(s.inFlight); {
			o := s.inFlight[j]
			if o.end > s.now {
				j++
				continue
			}
			r := s.check.requests[o.id]
			events = append(events, AttemptEnded{Request: o.id, Attempt: o.attempt, Node: o.node, Outcome: o.outcome,
				Took: s.now - o.at, Settled: r.finished || o.outcome == OK, Load: NoLoad,
				Used: s.rng.IntN(200), Elsewhere: s.rng.IntN(4)})
			s.inFlight = append(s.inFlight[:j], s.inFlight[j+1:]...)
		}
		if i < steps-1700 {
			for s.rng.IntN(4) == 0 {
				events = append(events, s.arrival())
			}
			if s.rng.IntN(40) == 0 && s.nextID > 1 {
				if r := s.check.requests[RequestID(s.rng.IntN(int(s.nextID)-1)+1)]; r != nil && !r.finished {
					events = append(events, ClientGone{r.Request})
				}
			}
			if s.rng.IntN(600) == 0 {
				events = append(events, s.nodeChange())
			}
		}
		if len(events) > 0 {
			s.step(events)
		}
	}
}

func (s *scenario) arrival() Arrival {
	s.nextID++
	v := s.rng.IntN(6)
	a := Arrival{Request: s.nextID, Class: s.rng.IntN(5), Cell: s.rng.IntN(6) - 1, Key: uint64(s.rng.IntN(8)),
		Volume: VolumeID(v), Plan: v % 2, Attached: float64(v%3 + 1), Units: float64(1 + s.rng.IntN(6))}
	a.Deadline = s.now + s.check.set.Classes[a.Class].Deadline - Micros(s.rng.IntN(900_000))
	return a
}

func (s *scenario) nodeChange() NodeList {
	n := &s.nodes[s.rng.IntN(len(s.nodes))]
	switch n.State {
	case Ready:
		n.State = Draining
		if s.rng.IntN(2) == 0 {
			n.State, n.Started = Ready, s.now-Micros(s.rng.IntN(2_000_000))
		}
	case Draining:
		n.State = Gone
	case Gone:
		n.State, n.Started = Ready, s.now-Micros(s.rng.IntN(2_000_000))
	}
	return NodeList{Kind: ListDelta, Nodes: []Node{*n}}
}

func newScenario(t *testing.T, set Settings, seed uint64) *scenario {
	h, err := New(set, seed)
	if err != nil {
		t.Fatal(err)
	}
	s := &scenario{t: t, rng: rand.New(rand.NewPCG(seed, 1)), host: h, check: newChecker(set), now: 7 * sec,
		attempts: map[RequestID]int{}}
	for i := range 5 {
		s.nodes = append(s.nodes, Node{ID: NodeID(100 + i), Zone: i % 2, Cell: i, Rating: 1, State: Ready})
	}
	s.step([]Event{NodeList{Kind: ListCached, Nodes: append([]Node(nil), s.nodes...)}})
	return s
}

// TestRulesUnderRandomScripts checks the seven rules under random failures, restarts and drains.
func TestRulesUnderRandomScripts(t *testing.T) {
	served := 0
	for seed := range uint64(40) {
		s := newScenario(t, ruleSettings(), seed)
		s.run(4500)
		for i, b := range s.check.finish(s.now) {
			if i < 5 {
				t.Errorf("seed %d: %s", seed, b)
			}
		}
		for _, r := range s.check.requests {
			if n := len(r.attempts); n > 0 && r.attempts[n-1].outcome == OK {
				served++
			}
		}
	}
	if served < 6000 {
		t.Errorf("only %d requests were served: the scripts drive nothing", served)
	}
}

// TestCheckerSeesBrokenRules checks that the checker reports actions that break a rule, for each rule.
func TestCheckerSeesBrokenRules(t *testing.T) {
	node := func(id NodeID, cell int) Node { return Node{ID: id, Cell: cell, Zone: cell % 2, State: Ready} }
	list := NodeList{Kind: ListFull, Nodes: []Node{node(1, 0), node(2, 1)}}
	arrive := func(id RequestID, class int, key uint64) Arrival {
		return Arrival{Request: id, Class: class, Key: key, Volume: 1, Plan: 1, Attached: 1, Units: 1,
			Deadline: 3 * sec}
	}
	cold := list
	cold.Nodes = []Node{{ID: 1, State: Ready, Started: 1}}
	large := arrive(1, 0, 0)
	large.Units = 6
	type moment struct {
		at      Micros
		events  []Event
		actions []Action
	}
	ended := func(id RequestID, how Outcome) AttemptEnded {
		return AttemptEnded{Request: id, Node: 1, Outcome: how}
	}
	for _, c := range []struct {
		name    string
		moments []moment
	}{
		{"1: lost", []moment{{0, []Event{list, arrive(1, 0, 0)}, nil}}},
		{"1: late", []moment{{0, []Event{list, arrive(1, 0, 0)}, nil}, {4 * sec, nil, []Action{Refuse{Request: 1}}}}},
		{"1: twice", []moment{{0, []Event{list, arrive(1, 0, 0)}, []Action{Refuse{Request: 1}, Refuse{Request: 1}}}}},
		{"1: sent after the end", []moment{{0, []Event{list, arrive(1, 0, 0)},
			[]Action{Refuse{Request: 1}, Send{Request: 1, Node: 1}}}}},
		{"2: fragile again", []moment{{0, []Event{list, arrive(1, 4, 0)}, []Action{Send{Request: 1, Node: 1}}},
			{ms, []Event{ended(1, Failed)}, []Action{Send{Request: 1, Node: 1}, Fail{1}}}}},
		{"2: refused after it may have run", []moment{{0, []Event{list, arrive(1, 1, 0)},
			[]Action{Send{Request: 1, Node: 1}}}, {ms, []Event{ended(1, Failed)}, []Action{Refuse{Request: 1}}}}},
		{"2: outside the group", []moment{{0, []Event{list, arrive(1, 1, 0)}, []Action{Send{Request: 1, Node: 1}}},
			{ms, []Event{ended(1, Failed)}, []Action{Send{Request: 1, Node: 2}, Fail{1}}}}},
		{"2: outside the window", []moment{{0, []Event{list, arrive(1, 1, 0)}, []Action{Send{Request: 1, Node: 1}}},
			{ms, []Event{ended(1, Failed)}, nil}, {2 * sec, nil, []Action{Send{Request: 1, Node: 1}, Fail{1}}}}},
		{"3: drained", []moment{{0, []Event{list, arrive(1, 0, 0)}, nil},
			{ms, []Event{NodeList{Kind: ListDelta, Nodes: []Node{{ID: 1, State: Draining}}}}, nil},
			{sec, nil, []Action{Send{Request: 1, Node: 1}, Refuse{Request: 1}}}}},
		{"4: cold", []moment{{ms, []Event{cold, large}, []Action{Send{Request: 1, Node: 1}, Refuse{Request: 1}}}}},
		{"5: limit", []moment{{0, []Event{list, Arrival{Request: 1, Volume: 1, Attached: 2, Units: 6,
			Deadline: sec}}, []Action{Send{Request: 1, Node: 1}, Refuse{Request: 1}}}}},
		{"6: out of turn", []moment{{0, []Event{list, arrive(1, 1, 9), arrive(2, 1, 9)},
			[]Action{Send{Request: 2, Node: 1}, Refuse{Request: 1}, Fail{2}}}}},
		{"7: budget", []moment{{0, []Event{list, arrive(1, 0, 0)}, []Action{Send{Request: 1, Node: 1},
			Send{Request: 1, Node: 1}, Send{Request: 1, Node: 1}, Send{Request: 1, Node: 1},
			Send{Request: 1, Node: 1}, Send{Request: 1, Node: 1}, Refuse{Request: 1}}}}},
	} {
		set := ruleSettings()
		set.SecondCopies = true
		ch := newChecker(set)
		for _, m := range c.moments {
			ch.recordEvents(m.at, m.events)
			ch.checkActions(m.at, m.actions)
		}
		if len(ch.finish(5*sec)) == 0 {
			t.Errorf("%s: the checker saw nothing", c.name)
		}
	}
}

// TestColdTurns: with 200 hosts the even share of what a cold node tolerates is a twentieth of a unit. With time slots
// requests are sent, and the sum over all hosts stays below the whole in every overload time, also with hosts that
// restart within a slot and clocks half a slot apart.
func TestColdTurns(t *testing.T) {
	const hosts, restarts = 200, 3
	type sent struct {
		at    Micros
		units float64
	}
	var all []sent
	s := coldSettings()
	s.Hosts, s.UnitMean, s.Rules.ColdUnits, s.Rules.ColdTime = hosts, 2, 9, 16*sec
	for number := range hosts {
		s.Number = number
		skew := Micros(number%2) * s.Rules.OverloadTime / 4
		start := 100 * sec
		var b *fixture
		for now := start; now < start+12*sec; now += 50 * ms {
			if b == nil || number < restarts && (now-start)%(3*sec) == 250*ms {
				b = newFixture(t, s, 1)
				b.now = now + skew
				b.h.startedAt = b.now
				b.step(NodeList{Kind: ListFull, Nodes: []Node{{ID: 1, State: Ready, Started: start}}})
			}
			b.now = now + skew
			n := b.h.sortedNodes[0]
			n.window, n.wait = [2]float64{2, 2}, 0
			a := b.arrival(0, 4, units(2))
			for range sends(b.step(a)) {
				all = append(all, sent{now, 2})
				b.step(attemptEnded(a.Request, 0, 1, Cancelled))
			}
			b.step(ClientGone{a.Request})
		}
	}
	total := 0.0
	for _, x := range all {
		total += x.units
		in, grown := 0.0, 1+(1/s.Rules.ColdFrom-1)*float64(x.at-100*sec)/float64(s.Rules.ColdTime)
		for _, y := range all {
			if y.at >= x.at && y.at <= x.at+s.Rules.OverloadTime {
				in += y.units
			}
		}
		if in > grown*s.Rules.ColdUnits {
			t.Errorf("%v units within the window from %v, the node bears %v", in, x.at, grown*s.Rules.ColdUnits)
			break
		}
	}
	if total < 48 {
		t.Errorf("%v units in 24 slots: the node starves", total)
	}
}

// fleet models many hosts in simulated time and nodes that serve requests in order.
type fleet struct {
	set         Settings
	now         Micros
	hosts       []*Host
	nodes       []*coldNode
	inFlight    []flightRecord
	timers      []map[uint32]Micros
	lastID      RequestID
	speed       float64       // speed of the nodes, as a multiple of the least that the settings name
	transitTime func() Micros // transit time of a request; nil: it arrives at once
	inTransit   []arrival
}

// arrival is a request in transit to a node.
type arrival struct {
	at    Micros
	units float64
	node  *coldNode
}

// coldNode serves requests in order, the faster the warmer it is.
type coldNode struct {
	Node
	busyUntil Micros // when its queue is empty
	sent      []sendRecord
	maxShare  float64 // largest amount sent within an overload time, as a share of coldCapacity
}

type flightRecord struct {
	host, attempt int
	id            RequestID
	node          *coldNode
	at            Micros // time of its answer
	lost          bool
}

// coldCapacity returns what all hosts together may send a node in an overload time, by the operators' rule: N requests
// plus twice the square root of N plus two, where N is what the settings allow by then.
func (f *fleet) coldCapacity(n *coldNode) float64 {
	rules := f.set.Rules
	requests := rules.ColdUnits * (1 + (1/rules.ColdFrom-1)*f.warmth(n)) / f.set.UnitMean
	return (requests + 2*math.Sqrt(requests) + 2) * f.set.UnitMean
}

// warmth rises from 0 at a node's start to 1; before its start the node was warm.
func (f *fleet) warmth(n *coldNode) float64 {
	if f.now < n.Started {
		return 1
	}
	return min(float64(f.now-n.Started)/float64(f.set.Rules.ColdTime), 1)
}

func (f *fleet) step(i int, events ...Event) {
	for token, at := range f.timers[i] {
		if at <= f.now {
			events = append(events, TimerFired{token})
			delete(f.timers[i], token)
		}
	}
	if len(events) == 0 {
		return
	}
	for _, a := range f.hosts[i].Step(f.now, events, nil) {
		switch a := a.(type) {
		case Wake:
			f.timers[i][a.Token] = f.now + a.After
		case Send:
			f.send(i, a)
		}
	}
}

func (f *fleet) send(i int, a Send) {
	r := f.hosts[i].requests[a.Request]
	n := f.nodes[a.Node-1]
	at := f.now
	if f.transitTime != nil {
		at += f.transitTime()
	}
	if at > f.now {
		f.inTransit = append(f.inTransit, arrival{at, r.units, n})
	} else {
		f.arrive(n, r.units)
	}
	rules := f.set.Rules
	rate := f.speed * rules.ColdUnits / rules.TipMultiple * (1 + (1/rules.ColdFrom-1)*f.warmth(n)) / float64(rules.OverloadTime)
	n.busyUntil = max(n.busyUntil, at) + Micros(r.units/rate)
	f.inFlight = append(f.inFlight, flightRecord{i, len(r.attempts) - 1, r.id, n, n.busyUntil, false})
}

// arrive counts what reaches a node within the overload time.
func (f *fleet) arrive(n *coldNode, units float64) {
	rules := f.set.Rules
	n.sent = append(n.sent, sendRecord{f.now, units})
	for n.sent[0].at < f.now-rules.OverloadTime || n.sent[0].at < n.Started && f.now >= n.Started {
		n.sent = n.sent[1:]
	}
	if f.now >= n.Started && f.now < n.Started+rules.ColdTime {
		sum := 0.0
		for _, s := range n.sent {
			sum += s.units
		}
		n.maxShare = max(n.maxShare, sum/f.coldCapacity(n))
	}
}

// deliverArrivals delivers the requests in transit whose time has come.
func (f *fleet) deliverArrivals() {
	keep := f.inTransit[:0]
	for _, x := range f.inTransit {
		if x.at > f.now {
			keep = append(keep, x)
		} else {
			f.arrive(x.node, x.units)
		}
	}
	f.inTransit = keep
}

// startHost starts a new process of a host with the present node list.
func (f *fleet) startHost(t *testing.T, i int, seed uint64) {
	set := f.set
	set.Number = i
	h, err := New(set, seed)
	if err != nil {
		t.Fatal(err)
	}
	f.hosts[i], f.timers[i] = h, map[uint32]Micros{}
	list := NodeList{Kind: ListCached}
	for _, n := range f.nodes {
		x := n.Node
		if x.Started > f.now {
			x.Started = 0 // as before that start
		}
		list.Nodes = append(list.Nodes, x)
	}
	f.step(i, list)
}

// killHost ends a host's process; the outcomes of its attempts in flight are not reported.
func (f *fleet) killHost(i int) {
	f.hosts[i] = nil
	f.inFlight = slices.DeleteFunc(f.inFlight, func(x flightRecord) bool { return x.host == i })
}

// TestColdRampOverTheFleet: a fleet of twenty to thirty processes, or of few, has uneven traffic with a burst and
// several nodes that start together and later. All processes together stay within the operators' rule for a cold node
// and still use some of it.
func TestColdRampOverTheFleet(t *testing.T) {
	for seed := range uint64(16) {
		runColdRamp(t, seed, false)
	}
}

// TestColdRampWhileProcessesRestart: the same while seven in ten processes are killed at once, twice, and return within
// the rule's time, and some requests arrive late because their connections come up late or a link delays them.
func TestColdRampWhileProcessesRestart(t *testing.T) {
	for seed := range uint64(16) {
		runColdRamp(t, seed, true)
	}
}

// runColdRamp simulates one seed and checks the sum over all hosts against what a cold node tolerates.
func runColdRamp(t *testing.T, seed uint64, faults bool) {
	rng := rand.New(rand.NewPCG(seed, 11))
	hosts := 20 + rng.IntN(11)
	if seed >= 8 {
		hosts = 3 + rng.IntN(6)
	}
	// Nodes are twice as fast as the settings say, or hang, so that no answer feeds back, or answer at once, as a run
	// of very cheap requests does.
	f := &fleet{now: 1000 * sec, set: testSettings(), speed: []float64{2, 0.02, 2, 20}[seed/4]}
	f.set.ColdByCount = true
	f.set.Hosts, f.set.Tick, f.set.MaxAttempts, f.set.UnitMean, f.set.UnitTop = hosts, 2*ms, 4, 2, 6
	f.set.Rules.ColdFrom, f.set.Rules.ColdTime, f.set.Rules.OverloadTime, f.set.Rules.TipMultiple = 0.2, 8*sec, sec, 4
	f.set.Rules.ColdUnits = []float64{9, 20, 60, 200}[seed%4]
	startedAt := f.now
	for i := range 4 {
		f.nodes = append(f.nodes, &coldNode{Node: Node{ID: NodeID(i + 1), Cell: i, State: Ready, Started: startedAt + Micros(i/2)*4*sec}})
	}
	total := 0.0
	weight := make([]float64, hosts)
	for i := range weight {
		weight[i] = 1 / float64(1+i)
		total += weight[i]
		f.hosts, f.timers = append(f.hosts, nil), append(f.timers, nil)
		f.startHost(t, i, seed*100+uint64(i))
	}
	restartAt := map[int]Micros{} // when a killed process restarts
	if faults {
		f.transitTime = func() Micros {
			switch x := rng.Float64(); {
			case x < 0.02:
				return Micros(rng.Int64N(int64(1500 * ms)))
			case x < 0.2:
				return Micros(rng.Int64N(int64(250 * ms)))
			}
			return 0
		}
	}
	// The load is two thirds of the nodes' full capacity, and more in a burst.
	full := f.set.Rules.ColdUnits / f.set.Rules.ColdFrom / f.set.Rules.TipMultiple * 2 * 4 // units a second
	served := 0
	for f.now < startedAt+14*sec {
		f.now += 2 * ms
		f.deliverArrivals()
		for i := range hosts {
			if at := f.now - startedAt; faults && (at == 2*sec || at == 5200*ms) && rng.Float64() < 0.7 {
				f.killHost(i)
				restartAt[i] = f.now + Micros(rng.Int64N(int64(800*ms)))
			}
			if at, dead := restartAt[i]; dead && f.now >= at {
				delete(restartAt, i)
				f.startHost(t, i, seed*100+uint64(i)+uint64(f.now))
			}
		}
		keep := f.inFlight[:0]
		ended := map[int][]Event{}
		for _, x := range f.inFlight {
			if x.at > f.now {
				keep = append(keep, x)
				continue
			}
			served++
			ended[x.host] = append(ended[x.host], attemptEnded(x.id, x.attempt, x.node.ID, OK))
		}
		f.inFlight = keep
		load := 0.67
		if f.now < startedAt+sec || f.now > startedAt+5*sec && f.now < startedAt+7*sec {
			load = 3
		}
		for i := range hosts {
			if f.hosts[i] == nil {
				continue
			}
			events := ended[i]
			for _, n := range f.nodes {
				if n.Started > startedAt && f.now >= n.Started && f.now < n.Started+2*ms {
					events = append(events, NodeList{Kind: ListDelta, Nodes: []Node{n.Node}})
				}
			}
			if rng.Float64() < load*full/f.set.UnitMean*0.002*weight[i]/total {
				f.lastID++
				events = append(events, Arrival{Request: f.lastID, Class: 0, Cell: rng.IntN(4), Volume: VolumeID(rng.IntN(40)), Plan: rng.IntN(2),
					Attached: 3, Units: float64(1 + rng.IntN(3)), Deadline: f.now + 4*sec})
			}
			f.step(i, events...)
		}
	}
	maxShare := 0.0
	for _, n := range f.nodes {
		maxShare = max(maxShare, n.maxShare)
	}
	t.Logf("seed %d: %d hosts, %v units: at most %.2f of what a node bears, %d served", seed, hosts, f.set.Rules.ColdUnits, maxShare, served)
	if maxShare > 1 {
		t.Errorf("seed %d: all together send %.2f of what a cold node bears", seed, maxShare)
	}
	if maxShare < 0.1 || served == 0 && !faults { // some nodes hang, and processes that wait for them are killed
		t.Errorf("seed %d: %.2f of what a cold node bears is used", seed, maxShare)
	}
}
