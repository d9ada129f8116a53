package recall

import (
	"fmt"
	"reflect"
	"testing"

	"appleplank/logic"

	"pgregory.net/rapid"
)

func TestAge(t *testing.T) {
	then := Stamp{"b1", 100 * sec, 1000 * hour}
	for name, c := range map[string]struct {
		now      Stamp
		age      logic.Micros
		trust    Trust
		complain bool
	}{
		"same boot":                    {Stamp{"b1", 103 * sec, 5}, 3 * sec, Exact, false},
		"same boot, wall set back":     {Stamp{"b1", 103 * sec, 0}, 3 * sec, Exact, false},
		"same boot, backward":          {Stamp{"b1", 99 * sec, 1000 * hour}, 0, Unknown, true},
		"another boot":                 {Stamp{"b2", sec, 1000*hour + minute}, minute, ByWallClock, false},
		"another boot, clock set back": {Stamp{"b2", sec, 999 * hour}, 0, Unknown, true},
		"a year ahead":                 {Stamp{"b2", sec, 1000*hour + 2*maxClockJump}, 0, Unknown, true},
		"boot not known":               {Stamp{"", 103 * sec, 1000*hour + sec}, sec, ByWallClock, false},
	} {
		age, how, complaint := Age(then, c.now)
		if age != c.age || how != c.trust || (complaint != "") != c.complain {
			t.Errorf("%s: %d, %d, %q", name, age, how, complaint)
		}
	}
}

func TestLimits(t *testing.T) {
	for _, clean := range []bool{false, true} {
		for _, marked := range []bool{false, true} {
			for _, trust := range []Trust{Exact, ByWallClock, Unknown} {
				if got := LimitsUsable(clean, marked, trust); got != (clean && marked && trust == Exact) {
					t.Errorf("clean %v, marked %v, trust %d: %v", clean, marked, trust, got)
				}
			}
		}
	}
}

var settings = logic.Settings{
	Hosts: 2, Classes: []logic.Class{{Aim: 100 * ms, Deadline: 2 * sec, Worth: 1, LateShare: 0.2}, {Aim: 200 * ms, Deadline: 3 * sec, Worth: 2, InOrder: true}},
	Plans:       []logic.Plan{{Rate: 50, Reserve: 40, Weight: 1}, {Rate: 20, Weight: 1, Limit: 30, LimitBurst: 10, LimitSlack: 2}},
	Rules:       logic.Rules{ColdFrom: 0.2, ColdTime: 10 * sec, ColdUnits: 10, OverloadTime: sec, TipMultiple: 3, BudgetWindow: sec, BudgetFree: 2, BudgetPerTake: 0.1},
	MaxAttempts: 3, UnitMean: 1, UnitTop: 4,
}

// simulation plays random events to a host. It draws them, so that they are the same for each host that receives them.
type simulation struct {
	host     *logic.Host
	now      logic.Micros
	id       logic.RequestID
	inFlight []logic.Send
	timers   []logic.Wake
	attempts map[logic.RequestID]int
}

func (l *simulation) step(t *rapid.T) {
	var events []logic.Event
	l.now += logic.Micros(rapid.IntRange(1, 40_000).Draw(t, "pass"))
	for _, w := range l.timers {
		events = append(events, logic.TimerFired{Token: w.Token})
	}
	l.timers = nil
	for range rapid.IntRange(0, 3).Draw(t, "arrivals") {
		l.id++
		plan := rapid.IntRange(0, 1).Draw(t, "plan")
		events = append(events, logic.Arrival{Request: l.id, Class: rapid.IntRange(0, 1).Draw(t, "class"), Cell: rapid.IntRange(0, 2).Draw(t, "cell"),
			Key: uint64(l.id), Volume: logic.VolumeID(plan*2 + rapid.IntRange(0, 1).Draw(t, "volume")), Plan: plan, Attached: 2, Units: 1, Deadline: l.now + 2*sec})
	}
	for len(l.inFlight) > 0 && rapid.Bool().Draw(t, "end") {
		s := l.inFlight[0]
		l.inFlight = l.inFlight[1:]
		o := rapid.SampledFrom([]logic.Outcome{logic.OK, logic.OK, logic.OK, logic.Failed, logic.Full, logic.TimedOut, logic.ConnectFailed}).Draw(t, "outcome")
		events = append(events, logic.AttemptEnded{Request: s.Request, Attempt: l.attempts[s.Request], Node: s.Node, Outcome: o, Settled: o == logic.OK, Load: logic.NoLoad})
		l.attempts[s.Request]++
	}
	for _, a := range l.host.Step(l.now, events, nil) {
		switch a := a.(type) {
		case logic.Send:
			l.inFlight = append(l.inFlight, a)
		case logic.Wake:
			l.timers = append(l.timers, a)
		}
	}
}

func nodes(now logic.Micros) logic.NodeList {
	return logic.NodeList{Kind: logic.ListFull, Nodes: []logic.Node{{ID: 1, Cell: 0, State: logic.Ready}, {ID: 2, Cell: 1, State: logic.Ready, Started: now - 3*sec},
		{ID: 3, Cell: 2, State: logic.Ready}}}
}

// The same memory restored into the same module leads to the same decisions: two hosts restored from one memory act
// alike on one stream of events, and a host that exports its memory right after the restore exports the same memory.
func TestSameMemorySameDecisions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		first, _ := logic.New(settings, 7)
		l := &simulation{host: first, now: 3600 * sec, attempts: map[logic.RequestID]int{}}
		list := nodes(l.now)
		first.Step(l.now, []logic.Event{list}, nil)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			l.step(t)
		}
		m := first.Snapshot(l.now)
		if err := m.Check(); err != nil {
			t.Fatal(err)
		}
		var twins [2]*logic.Host
		for i := range twins {
			twins[i], _ = logic.New(settings, uint64(i)) // the seed is part of the memory
			if err := twins[i].Restore(l.now, m); err != nil {
				t.Fatal(err)
			}
		}
		if again := twins[0].Snapshot(l.now); !reflect.DeepEqual(normalize(again), normalize(m)) {
			t.Fatalf("the memory exported after the restore differs:\n%+v\n%+v", normalize(again), normalize(m))
		}
		for _, h := range twins {
			h.Step(l.now, []logic.Event{list}, nil)
		}
		a := &simulation{host: twins[0], now: l.now, id: l.id, attempts: map[logic.RequestID]int{}}
		for range rapid.IntRange(1, 30).Draw(t, "after") {
			var events []logic.Event
			a.now += logic.Micros(rapid.IntRange(1, 40_000).Draw(t, "pass"))
			for _, w := range a.timers {
				events = append(events, logic.TimerFired{Token: w.Token})
			}
			a.timers = nil
			for range rapid.IntRange(0, 3).Draw(t, "arrivals") {
				a.id++
				events = append(events, logic.Arrival{Request: a.id, Cell: rapid.IntRange(0, 2).Draw(t, "cell"), Volume: 2, Plan: 1, Attached: 2, Units: 1, Deadline: a.now + 2*sec})
			}
			for len(a.inFlight) > 0 && rapid.Bool().Draw(t, "end") {
				s := a.inFlight[0]
				a.inFlight = a.inFlight[1:]
				o := rapid.SampledFrom([]logic.Outcome{logic.OK, logic.Failed, logic.Full, logic.TimedOut}).Draw(t, "outcome")
				events = append(events, logic.AttemptEnded{Request: s.Request, Attempt: a.attempts[s.Request], Node: s.Node, Outcome: o, Settled: o == logic.OK, Load: logic.NoLoad})
				a.attempts[s.Request]++
			}
			x := twins[0].Step(a.now, events, nil)
			y := twins[1].Step(a.now, events, nil)
			if fmt.Sprint(x) != fmt.Sprint(y) {
				t.Fatalf("the hosts act differently: %v and %v", x, y)
			}
			for _, act := range x {
				switch act := act.(type) {
				case logic.Send:
					a.inFlight = append(a.inFlight, act)
				case logic.Wake:
					a.timers = append(a.timers, act)
				}
			}
		}
	})
}

// normalize drops what a new host cannot have: nodes are gone until a list names them, and times before the clock began
// are equivalent to never.
func normalize(m logic.Snapshot) logic.Snapshot {
	for i := range m.Nodes {
		m.Nodes[i].Node.State = logic.Gone
		if m.Nodes[i].SentLog == nil {
			m.Nodes[i].SentLog = []logic.AgedUnits{}
		}
		if m.Nodes[i].Served == nil {
			m.Nodes[i].Served = []logic.AgedUnits{}
		}
		for _, at := range []*logic.Micros{&m.Nodes[i].Rest} {
			if *at >= logic.Never/2 {
				*at = logic.Never
			}
		}
	}
	for i := range m.Volumes {
		v := &m.Volumes[i]
		if v.Own.Units == 0 {
			v.Own = logic.AgedUnits{}
		}
		if v.Others.Units == 0 {
			v.Others = logic.AgedUnits{}
		}
	}
	return m
}

// An old memory counts for less, and of a week-old one only the list of nodes counts; debts stay.
func TestFade(t *testing.T) {
	m := logic.Snapshot{Vanish: 0.8, Unit: 10_000, Spare: 5, Extra: []logic.Micros{ms}, WaitsAge: logic.Never,
		Nodes: []logic.NodeSnapshot{{Node: logic.Node{ID: 4, Cell: 2, Started: 2 * sec}, Window: [2]float64{0.5, 0.5}, Failing: 0.8, Missing: 2, Latency: 9000,
			Wait: 1e6, WaitAge: 0, Down: 100 * ms, SentLog: []logic.AgedUnits{{Age: ms, Units: 3}}}},
		Volumes: []logic.VolumeSnapshot{{ID: 1, Attached: 1, Balance: 4, Store: 1, Known: true, Share: 3}, {ID: 2, Attached: 1, Balance: -4, Known: true}}}
	short := Fade(m, 10*sec, Exact, true)
	if n := short.Nodes[0]; n.Failing != 0.4 || n.Latency != 9000 || n.Node.Started != 12*sec || n.Window[0] != 0.5 || n.SentLog[0].Age != 10*sec+ms {
		t.Errorf("after 10 s: %+v", n)
	}
	if short.Vanish != 0.4 || short.Extra[0] != 10*sec+ms || short.WaitsAge != logic.Never || !short.Volumes[0].Known || short.Volumes[0].Stored != 10*sec {
		t.Errorf("after 10 s: %+v", short)
	}
	if short.Volumes[0].Balance != 0 || short.Volumes[1].Balance != -4 {
		t.Errorf("balances %v, %v: credit must expire, a debt must stay", short.Volumes[0].Balance, short.Volumes[1].Balance)
	}
	for name, old := range map[string]logic.Snapshot{"a week": Fade(m, 7*24*hour, ByWallClock, false), "no telling": Fade(m, 0, Unknown, false)} {
		n := old.Nodes[0]
		if n.Node.ID != 4 || n.Node.Cell != 2 || n.Window != [2]float64{} || n.Latency != 0 || n.Failing > 1e-9 || n.Missing != 0 || n.Down != 0 || n.Wait != 0 {
			t.Errorf("%s: node %+v", name, n)
		}
		if old.Unit != 0 || old.Vanish > 1e-9 || old.Spare != 0 || old.Volumes[0].Known || old.Volumes[0].Share != 0 {
			t.Errorf("%s: %+v", name, old)
		}
		host, _ := logic.New(settings, 1)
		if err := host.Restore(3600*sec, old); err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
	if none := Fade(m, 0, Unknown, false); none.Nodes[0].Node.Started != 2*sec {
		t.Errorf("a start of unknown age counts as %d ago, want the reported age", none.Nodes[0].Node.Started)
	}
	if !reflect.DeepEqual(m.Nodes[0].SentLog, []logic.AgedUnits{{Age: ms, Units: 3}}) || !m.Volumes[0].Known {
		t.Error("the memory passed in was modified")
	}
}

// The requests that their own process must finish are exactly those that the next process could only fail.
func TestMustFinish(t *testing.T) {
	for _, repeat := range []logic.Repeat{logic.Retryable, logic.Dedup, logic.Fragile} {
		for _, sent := range []bool{false, true} {
			c := &logic.Class{Deadline: 2 * sec, Repeat: repeat, RepeatWindow: 4 * sec}
			fate, _ := Resume(c, Unanswered{Known: true, Sent: sent, Age: HandoverWait, First: HandoverWait, SameGroup: true})
			if MustFinish(c, sent) != (fate == Fail) {
				t.Errorf("repeat %d, sent %v: must finish %v, the next process's fate is %d", repeat, sent, MustFinish(c, sent), fate)
			}
		}
	}
}

func TestResume(t *testing.T) {
	safe := logic.Class{Deadline: 2 * sec}
	keyed := logic.Class{Deadline: 2 * sec, Repeat: logic.Dedup, RepeatWindow: sec}
	unsafe := logic.Class{Deadline: 2 * sec, Repeat: logic.Fragile}
	for name, c := range map[string]struct {
		class logic.Class
		taken Unanswered
		fate  Decision
		left  logic.Micros
	}{
		"never sent":                   {unsafe, Unanswered{Known: true, Age: sec}, Retry, sec},
		"never sent, too old":          {unsafe, Unanswered{Known: true, Age: 3 * sec}, Refuse, 0},
		"safe, sent":                   {safe, Unanswered{Known: true, Sent: true, Age: sec, First: sec}, Retry, sec},
		"safe, sent, too old":          {safe, Unanswered{Known: true, Sent: true, Age: 2 * sec}, Refuse, 0},
		"safe, a foreign region":       {safe, Unanswered{}, Retry, 2 * sec},
		"keyed, remembered":            {keyed, Unanswered{Known: true, Sent: true, Age: 500 * ms, First: 400 * ms, SameGroup: true}, Retry, 600 * ms},
		"keyed, barely remembered":     {keyed, Unanswered{Known: true, Sent: true, Age: 900 * ms, First: 900 * ms, SameGroup: true}, Fail, 0},
		"keyed, forgotten":             {keyed, Unanswered{Known: true, Sent: true, Age: 1500 * ms, First: 1500 * ms, SameGroup: true}, Fail, 0},
		"keyed, another group":         {keyed, Unanswered{Known: true, Sent: true}, Fail, 0},
		"keyed, a foreign region":      {keyed, Unanswered{SameGroup: true}, Fail, 0},
		"keyed, sent, deadline passed": {keyed, Unanswered{Known: true, Sent: true, Age: 3 * sec, SameGroup: true}, Fail, 0},
		"unsafe, sent":                 {unsafe, Unanswered{Known: true, Sent: true}, Fail, 0},
		"unsafe, a foreign region":     {unsafe, Unanswered{}, Fail, 0},
		"a clock that went backward":   {safe, Unanswered{Known: true, Age: -sec}, Retry, 2 * sec},
	} {
		if f, left := Resume(&c.class, c.taken); f != c.fate || left != c.left {
			t.Errorf("%s: %d with %d left, want %d with %d", name, f, left, c.fate, c.left)
		}
	}
}
