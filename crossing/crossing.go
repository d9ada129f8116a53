// Package crossing decides which requests may go to a node in another zone, where each byte costs money and time. A
// budget over all gateways, of which each keeps its even part alone, is spent where it is worth most: what is worth
// least is refused first, at once and with the time to come back, and a part is held back for what is worth most.
// Package logic decides everything else: a request that is let through here is an ordinary one there.
//
// It guards against a burst of reports that spends the budget which saves need a moment later, and against a zone that
// loses its nodes: then the budget bends, for the classes that may, by a loan that is paid back from later income. It
// could harm where the traffic of gateways is uneven: an idle one's part is not used by the others.
//
// It has no clock, goroutine or I/O, and never acts on map order.
package crossing

import (
	"errors"
	"fmt"
	"math"
	"slices"

	"appleplank/logic"
)

const (
	ms, sec logic.Micros = 1000, 1000 * 1000

	// payBack is the part of the income that goes to a loan until it is paid back. More starves reports for longer,
	// less keeps the next loan away for longer.
	payBack = 0.5
	// most is the longest advice when to come back.
	most = 60 * sec
)

// Settings are the figures of a budget over all gateways together. Sizes are bytes, both directions together.
type Settings struct {
	Hosts    int
	Rate     float64      // a second; 0: there is no budget and everything crosses
	Burst    float64      // at once
	Period   logic.Micros // a longer time; 0: none
	PerTime  float64      // in it
	HoldBack float64      // part of burst and period that only the class worth most may spend, 0 to 1
	Lost     float64      // a zone is lost when this part of its nodes is gone; 0: never
	Bend     float64      // times the rate for classes that bend while a zone is lost; 1 or less: it does not bend
	BendFor  logic.Micros // and for so long at the most
	Classes  []Class
}

// Class is what is to be known of a class of requests.
type Class struct {
	Worth float64
	Bends bool
}

// Check finds what cannot be right.
func (s *Settings) Check() error {
	bad := func(name string, v float64) error { return fmt.Errorf("crossing: %s is %v", name, v) }
	for _, x := range []struct {
		name string
		v    float64
		most float64
	}{{"rate", s.Rate, 1 << 50}, {"burst", s.Burst, 1 << 60}, {"per_time", s.PerTime, 1 << 60}, {"hold_back", s.HoldBack, 1}, {"lost", s.Lost, 1}, {"bend", s.Bend, 1000}} {
		if math.IsNaN(x.v) || x.v < 0 || x.v > x.most {
			return bad(x.name, x.v)
		}
	}
	if s.Hosts < 1 {
		return bad("hosts", float64(s.Hosts))
	}
	if s.Rate > 0 && s.Burst <= 0 {
		return errors.New("crossing: a rate needs a burst")
	}
	if (s.Period > 0) != (s.PerTime > 0) {
		return errors.New("crossing: a period and what may cross in it go together")
	}
	return nil
}

// store is a bucket that fills with time. It may go below zero: what has crossed unasked is owed.
type store struct {
	rate  float64 // bytes a second
	most  float64
	level float64
}

// Budget is one gateway's part.
type Budget struct {
	set    Settings
	floors []float64 // by class: the part of each store that must be left
	short  store
	long   store
	at     logic.Micros
	begun  bool
	loan   float64 // owed: spent by bending, not paid back
	lost   bool    // a zone is lost now
	since  logic.Micros
	Tally  Tally
}

// Tally counts decisions.
type Tally struct {
	Passed, Refused []uint64  // by class
	PassedBytes     []float64 // admitted; what really crossed is in the ledger
	RefusedBytes    []float64 // what it would have cost to let them pass
	Bent            float64   // bytes that passed by bending
	Unasked         float64   // bytes that crossed without being asked for: repeats, connections
}

// New makes a gateway's part, full as at the start of a period.
func New(s Settings) (*Budget, error) {
	if err := s.Check(); err != nil {
		return nil, err
	}
	n := float64(s.Hosts)
	b := &Budget{set: s, short: store{s.Rate / n, s.Burst / n, s.Burst / n}}
	if s.Period > 0 {
		b.long = store{s.PerTime / n / seconds(s.Period), s.PerTime / n, s.PerTime / n}
	}
	b.floors = floors(s.Classes, s.HoldBack)
	b.Tally = Tally{make([]uint64, len(s.Classes)), make([]uint64, len(s.Classes)), make([]float64, len(s.Classes)), make([]float64, len(s.Classes)), 0, 0}
	return b, nil
}

// floors gives each class the part of a store that it must leave: none for what is worth most, all that is held back for
// what is worth least, evenly by rank between. Classes of one worth have one rank.
func floors(classes []Class, holdBack float64) []float64 {
	var worths []float64
	for _, c := range classes {
		worths = append(worths, c.Worth)
	}
	slices.Sort(worths)
	worths = slices.Compact(worths)
	out := make([]float64, len(classes))
	for i, c := range classes {
		if top := len(worths) - 1; top > 0 {
			out[i] = holdBack * float64(top-slices.Index(worths, c.Worth)) / float64(top)
		}
	}
	return out
}

func seconds(t logic.Micros) float64 { return float64(t) / 1e6 }

// pass lets time go by. A clock that jumps ahead fills the stores at most; one that goes back fills nothing.
func (b *Budget) pass(now logic.Micros) {
	if !b.begun {
		b.begun, b.at = true, now
	}
	dt := seconds(max(now-b.at, 0))
	b.at = max(now, b.at)
	income := b.short.rate * dt
	if b.loan > 0 {
		back := min(b.loan, payBack*income)
		b.loan -= back
		income -= back
	}
	b.short.level = min(b.short.level+income, b.short.most)
	b.long.level = min(b.long.level+b.long.rate*dt, b.long.most)
}

// Ask is a request of a class whose data, both ways, will be so many bytes. A refusal says after what time the same
// request would have passed, if nothing else does meanwhile.
func (b *Budget) Ask(now logic.Micros, class int, bytes float64) (ok bool, wait logic.Micros) {
	if b.set.Rate <= 0 || class < 0 || class >= len(b.floors) {
		return true, 0
	}
	b.pass(now)
	floor := b.floors[class]
	if w := max(b.short.wait(bytes, floor), b.long.wait(bytes, floor)); w > 0 {
		if b.bends(class, bytes) {
			b.loan += bytes
			b.Tally.Bent += bytes
			b.long.level -= bytes
			b.passed(class, bytes)
			return true, 0
		}
		b.Tally.Refused[class]++
		b.Tally.RefusedBytes[class] += bytes
		return false, min(logic.Micros(math.Ceil(w*1e6)), most)
	}
	b.short.level -= bytes
	b.long.level -= bytes
	b.passed(class, bytes)
	return true, 0
}

func (b *Budget) passed(class int, bytes float64) {
	b.Tally.Passed[class]++
	b.Tally.PassedBytes[class] += bytes
}

// wait is how many seconds until so many bytes may be taken, with the floor's part left; 0: now. What is larger than a
// store can ever give passes when the store is full, and is owed: it could never cross otherwise.
func (s *store) wait(bytes, floor float64) float64 {
	if s.most <= 0 {
		return 0
	}
	need := min(bytes+floor*s.most, s.most)
	return max(need-s.level, 0) / s.rate
}

// bends tells whether the budget bends for a request: for its class, while a zone is lost, for a stated time, and up to a
// loan that grows at the bent rate and that what comes in later pays back.
func (b *Budget) bends(class int, bytes float64) bool {
	s := &b.set
	if !b.lost || s.Bend <= 1 || !s.Classes[class].Bends || b.at-b.since > s.BendFor {
		return false
	}
	return b.loan+bytes <= (s.Bend-1)*b.short.rate*seconds(b.at-b.since)+b.short.most
}

// Spent is what has crossed without having been asked for, or the difference to what was asked: repeats, second copies,
// answers to what was called off, connections. It is owed whatever is left.
func (b *Budget) Spent(now logic.Micros, bytes float64) {
	b.pass(now)
	b.short.level = min(b.short.level-bytes, b.short.most)
	b.long.level = min(b.long.level-bytes, b.long.most)
	b.Tally.Unasked += max(bytes, 0)
}

// Back gives back what was asked for and never crossed.
func (b *Budget) Back(now logic.Micros, bytes float64) {
	b.pass(now)
	b.short.level = min(b.short.level+bytes, b.short.most)
	b.long.level = min(b.long.level+bytes, b.long.most)
}

// Zones is news of the nodes: for each zone how many there should be and how many take work.
func (b *Budget) Zones(now logic.Micros, zones []Zone) {
	b.pass(now)
	lost := false
	for _, z := range zones {
		lost = lost || b.set.Lost > 0 && z.Nodes > 0 && float64(z.Nodes-z.Ready) >= b.set.Lost*float64(z.Nodes)
	}
	// A zone that flaps is lost since it first was, as long as the loan for it is not paid back: or each flap would lend
	// anew.
	if lost && !b.lost && b.loan == 0 {
		b.since = now
	}
	b.lost = lost
}

// Foreign tells whether bytes between a gateway and a node of a zone cross. One whose zone is not told, which is below
// zero, counts as foreign: too much is held to the budget rather than too little. A gateway whose own is not told has no
// zones.
func Foreign(own, node int) bool { return own >= 0 && node != own }

// Zone is a zone's nodes.
type Zone struct{ ID, Nodes, Ready int }

// Level is what the stores hold, and what is owed of the loan.
func (b *Budget) Level(now logic.Micros) (short, long, loan float64) {
	b.pass(now)
	return b.short.level, b.long.level, b.loan
}

// Memory is what outlasts a restart: levels, and the age of them.
type Memory struct{ Short, Long, Loan float64 }

// Memory copies it.
func (b *Budget) Memory(now logic.Micros) Memory {
	b.pass(now)
	return Memory{b.short.level, b.long.level, b.loan}
}

// Remember gives a new budget what an earlier process had left, which is so old, 0 where that is not known: then nothing
// has come in since. Without a memory a gateway that may have spent before begins with nothing at hand.
func (b *Budget) Remember(m *Memory, age logic.Micros) error {
	if m == nil {
		b.short.level, b.long.level = 0, 0
		return nil
	}
	for _, v := range []float64{m.Short, m.Long, m.Loan} {
		if math.IsNaN(v) || math.IsInf(v, 0) {
			return fmt.Errorf("crossing: a memory of %v", v)
		}
	}
	b.short.level, b.long.level, b.loan = min(m.Short, b.short.most), min(m.Long, b.long.most), max(m.Loan, 0)
	if age > 0 {
		b.begun, b.at = true, -age
		b.pass(0)
		b.begun = false
	}
	return nil
}
