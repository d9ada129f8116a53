// Package crossing decides which requests may go to a node in another zone, where each byte costs money and time. The
// budget covers all gateways; each gateway enforces an equal share of it on its own. Classes with the lowest worth are
// refused first, immediately and with a retry delay, and part of the budget is reserved for the class with the highest
// worth. Package logic decides everything else: it treats a request that is admitted here like any other.
//
// The budget prevents a burst of low-worth requests (reports) from using up what high-worth requests (saves) need a
// moment later. When a zone loses its nodes, the budget bends: classes that are allowed to may exceed it by a loan,
// which is repaid from later income. Drawback: if traffic is uneven between gateways, the share of an idle gateway is
// not available to the others.
//
// The package has no clock, goroutines or I/O, and no decision depends on map order.
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

	// loanRepayShare is the share of the income that repays an outstanding loan. A larger share starves low-worth
	// requests for longer; a smaller one delays the next loan.
	loanRepayShare = 0.5
	// maxRetryAfter is the longest retry delay that a refusal returns.
	maxRetryAfter = 60 * sec
)

// Settings configures the budget of all gateways together. Sizes are in bytes and count both directions.
type Settings struct {
	Hosts    int          // number of gateways that share the budget
	Rate     float64      // bytes per second; 0: no budget, every request is admitted
	Burst    float64      // bytes that may cross at once
	Period   logic.Micros // length of an additional, longer window; 0: none
	PerTime  float64      // bytes that may cross within Period
	HoldBack float64      // share of Burst and PerTime reserved for the class with the highest worth, 0 to 1
	Lost     float64      // a zone counts as lost when this share of its nodes is unavailable; 0: never
	Bend     float64      // factor on Rate for classes that bend while a zone is lost; 1 or less: no bending
	BendFor  logic.Micros // longest time for which the budget bends
	Classes  []Class
}

// Class holds the properties of a request class that the budget uses.
type Class struct {
	Worth float64
	Bends bool // may exceed the budget while a zone is lost
}

// Check returns an error if a setting is out of range or inconsistent with another.
func (s *Settings) Check() error {
	bad := func(name string, v float64) error { return fmt.Errorf("crossing: invalid %s: %v", name, v) }
	for _, x := range []struct {
		name  string
		v     float64
		limit float64
	}{{"rate", s.Rate, 1 << 50}, {"burst", s.Burst, 1 << 60}, {"per_time", s.PerTime, 1 << 60}, {"hold_back", s.HoldBack, 1}, {"lost", s.Lost, 1}, {"bend", s.Bend, 1000}} {
		if math.IsNaN(x.v) || x.v < 0 || x.v > x.limit {
			return bad(x.name, x.v)
		}
	}
	if s.Hosts < 1 {
		return bad("hosts", float64(s.Hosts))
	}
	if s.Rate > 0 && s.Burst <= 0 {
		return errors.New("crossing: rate requires a burst")
	}
	if (s.Period > 0) != (s.PerTime > 0) {
		return errors.New("crossing: period and per_time must be set together")
	}
	return nil
}

// bucket is a token bucket of bytes. Its level may be negative: bytes that crossed without admission are charged too.
type bucket struct {
	rate     float64 // bytes per second
	capacity float64
	level    float64
}

// Budget is one gateway's share of the budget.
type Budget struct {
	settings      Settings
	floors        []float64 // by class: the share of each bucket's capacity that the class must leave
	short         bucket    // Rate and Burst
	long          bucket    // Period and PerTime
	updatedAt     logic.Micros
	started       bool    // updatedAt is valid
	loan          float64 // bytes admitted by bending and not repaid yet
	zoneLost      bool
	zoneLostSince logic.Micros
	Tally         Tally
}

// Tally counts decisions.
type Tally struct {
	Passed, Refused []uint64  // by class
	PassedBytes     []float64 // by class: admitted bytes; the bytes that actually crossed are in the ledger
	RefusedBytes    []float64 // by class: bytes of the refused requests
	Bent            float64   // bytes admitted by bending
	Unadmitted      float64   // bytes that crossed without admission: retries, connections
}

// New returns a gateway's share of the budget with full buckets.
func New(s Settings) (*Budget, error) {
	if err := s.Check(); err != nil {
		return nil, err
	}
	hosts := float64(s.Hosts)
	b := &Budget{settings: s, short: bucket{s.Rate / hosts, s.Burst / hosts, s.Burst / hosts}}
	if s.Period > 0 {
		b.long = bucket{s.PerTime / hosts / seconds(s.Period), s.PerTime / hosts, s.PerTime / hosts}
	}
	b.floors = floors(s.Classes, s.HoldBack)
	b.Tally = Tally{make([]uint64, len(s.Classes)), make([]uint64, len(s.Classes)), make([]float64, len(s.Classes)), make([]float64, len(s.Classes)), 0, 0}
	return b, nil
}

// floors returns for each class the share of a bucket's capacity that the class must leave: 0 for the highest worth,
// holdBack for the lowest, and evenly spaced by rank in between. Classes of equal worth have the same rank.
func floors(classes []Class, holdBack float64) []float64 {
	var worths []float64
	for _, c := range classes {
		worths = append(worths, c.Worth)
	}
	slices.Sort(worths)
	worths = slices.Compact(worths)
	result := make([]float64, len(classes))
	for i, c := range classes {
		if top := len(worths) - 1; top > 0 {
			result[i] = holdBack * float64(top-slices.Index(worths, c.Worth)) / float64(top)
		}
	}
	return result
}

func seconds(t logic.Micros) float64 { return float64(t) / 1e6 }

// advance adds the income since the last call. A clock that jumps ahead can at most fill the buckets; a clock that goes
// back adds nothing.
func (b *Budget) advance(now logic.Micros) {
	if !b.started {
		b.started, b.updatedAt = true, now
	}
	elapsed := seconds(max(now-b.updatedAt, 0))
	b.updatedAt = max(now, b.updatedAt)
	income := b.short.rate * elapsed
	if b.loan > 0 {
		repayment := min(b.loan, loanRepayShare*income)
		b.loan -= repayment
		income -= repayment
	}
	b.short.level = min(b.short.level+income, b.short.capacity)
	b.long.level = min(b.long.level+b.long.rate*elapsed, b.long.capacity)
}

// Admit reports whether a request of the class may cross zones; bytes is its data in both directions. If it is refused,
// wait is the time after which the same request would be admitted if no other request is admitted meanwhile, at most
// maxRetryAfter.
func (b *Budget) Admit(now logic.Micros, class int, bytes float64) (ok bool, wait logic.Micros) {
	if b.settings.Rate <= 0 || class < 0 || class >= len(b.floors) {
		return true, 0
	}
	b.advance(now)
	floor := b.floors[class]
	if waitSeconds := max(b.short.secondsUntilAvailable(bytes, floor), b.long.secondsUntilAvailable(bytes, floor)); waitSeconds > 0 {
		if b.mayBend(class, bytes) {
			b.loan += bytes
			b.Tally.Bent += bytes
			b.long.level -= bytes
			b.recordPassed(class, bytes)
			return true, 0
		}
		b.Tally.Refused[class]++
		b.Tally.RefusedBytes[class] += bytes
		return false, min(logic.Micros(math.Ceil(waitSeconds*1e6)), maxRetryAfter)
	}
	b.short.level -= bytes
	b.long.level -= bytes
	b.recordPassed(class, bytes)
	return true, 0
}

func (b *Budget) recordPassed(class int, bytes float64) {
	b.Tally.Passed[class]++
	b.Tally.PassedBytes[class] += bytes
}

// secondsUntilAvailable returns the time in seconds until bytes can be taken while the share floor of the capacity is
// left; 0: now. A request larger than the bucket can ever provide passes when the bucket is full and leaves it
// negative, because it could never cross otherwise.
func (s *bucket) secondsUntilAvailable(bytes, floor float64) float64 {
	if s.capacity <= 0 {
		return 0
	}
	need := min(bytes+floor*s.capacity, s.capacity)
	return max(need-s.level, 0) / s.rate
}

// mayBend reports whether a request may exceed the budget: its class bends, a zone is lost, and has been for no longer
// than BendFor, and the loan stays within a limit that grows at the additional rate. Later income repays the loan.
func (b *Budget) mayBend(class int, bytes float64) bool {
	s := &b.settings
	if !b.zoneLost || s.Bend <= 1 || !s.Classes[class].Bends || b.updatedAt-b.zoneLostSince > s.BendFor {
		return false
	}
	return b.loan+bytes <= (s.Bend-1)*b.short.rate*seconds(b.updatedAt-b.zoneLostSince)+b.short.capacity
}

// Charge charges bytes that crossed without admission, or the difference from what was admitted: retries, hedges,
// answers to cancelled attempts, connections. They are charged even if the level becomes negative.
func (b *Budget) Charge(now logic.Micros, bytes float64) {
	b.advance(now)
	b.short.level = min(b.short.level-bytes, b.short.capacity)
	b.long.level = min(b.long.level-bytes, b.long.capacity)
	b.Tally.Unadmitted += max(bytes, 0)
}

// Refund refunds bytes that were admitted and never crossed.
func (b *Budget) Refund(now logic.Micros, bytes float64) {
	b.advance(now)
	b.short.level = min(b.short.level+bytes, b.short.capacity)
	b.long.level = min(b.long.level+bytes, b.long.capacity)
}

// UpdateZones updates the state of all zones: how many nodes each should have and how many accept work.
func (b *Budget) UpdateZones(now logic.Micros, zones []Zone) {
	b.advance(now)
	lost := false
	for _, z := range zones {
		lost = lost || b.settings.Lost > 0 && z.Nodes > 0 && float64(z.Nodes-z.Ready) >= b.settings.Lost*float64(z.Nodes)
	}
	// While a loan is not repaid, the start time of the first loss is kept. Otherwise each change of a flapping zone
	// would grant a new loan.
	if lost && !b.zoneLost && b.loan == 0 {
		b.zoneLostSince = now
	}
	b.zoneLost = lost
}

// CrossesZones reports whether bytes between a gateway in zone own and a node in zone node cross zones. A negative zone
// is unknown. A node of unknown zone counts as being in another zone, so that the budget covers too much rather than
// too little. For a gateway of unknown zone nothing crosses.
func CrossesZones(own, node int) bool { return own >= 0 && node != own }

// Zone is a zone with its number of configured nodes and of nodes that accept work.
type Zone struct{ ID, Nodes, Ready int }

// Levels returns the levels of the short-term and the long-term bucket and the loan that is not repaid, in bytes.
func (b *Budget) Levels(now logic.Micros) (short, long, loan float64) {
	b.advance(now)
	return b.short.level, b.long.level, b.loan
}

// Snapshot is the state that is saved over a restart. The caller stores its age with it.
type Snapshot struct{ Short, Long, Loan float64 }

// Snapshot returns the state to save.
func (b *Budget) Snapshot(now logic.Micros) Snapshot {
	b.advance(now)
	return Snapshot{b.short.level, b.long.level, b.loan}
}

// Restore restores the state that an earlier process saved. Age is the time since then; with 0, age unknown, no income
// is added. With a nil m the buckets start empty, because an earlier process may have spent the budget.
func (b *Budget) Restore(m *Snapshot, age logic.Micros) error {
	if m == nil {
		b.short.level, b.long.level = 0, 0
		return nil
	}
	for _, v := range []float64{m.Short, m.Long, m.Loan} {
		if math.IsNaN(v) || math.IsInf(v, 0) {
			return fmt.Errorf("crossing: saved state contains invalid value %v", v)
		}
	}
	b.short.level, b.long.level, b.loan = min(m.Short, b.short.capacity), min(m.Long, b.long.capacity), max(m.Loan, 0)
	if age > 0 {
		b.started, b.updatedAt = true, -age
		b.advance(0)
		b.started = false
	}
	return nil
}
