// Package copies decides for an extent that lies at more than one place: where a change goes, when it is held by enough
// copies to be answered, which copies a read may go to, what a copy has missed and when it is caught up. Package logic
// decides everything about each single send; this package only finds the cells.
//
// One copy leads each region of the extent: what it holds is what the region is. Before a change is sent anywhere, a
// mark of its regions, which names their leads, is on stable storage; so after a process that was killed each marked
// region is as its lead has it, and every other copy of it counts as stale. A copy that ended a change without
// surely holding it is stale from then on, and is not read until it is whole again. Where a lead is the one that
// failed, and enough others hold the change, the lead moves, and the change is answered once that is on stable storage.
//
// It guards against a copy that missed a write and is read as if it had not: nodes that die, links that are cut, a
// gateway killed between two sends, a budget that lets no second send pass. It could harm where changes are spread
// thinly over a large extent: each first one in a region waits for its mark.
//
// It has no clock, goroutine or I/O, and never acts on map order.
package copies

import (
	"fmt"
	"math/bits"
	"slices"

	"appleplank/logic"

	"github.com/tidwall/btree"
)

const (
	ms, sec logic.Micros = 1000, 1000 * 1000

	// Most is how many copies an extent may have.
	Most = 8
	// quiet is how long a region has had no change when its mark is taken away: shorter costs more marks where the same
	// regions change again and again, longer more to be caught up after a process was killed.
	quiet = 5 * sec
	// retry is how often a mark that could not be kept is tried again.
	retry = 1 * sec
	// leadPart of a change's aim is how long its leads are waited for where others hold it.
	leadPart = 0.5
	// again is when a client is to come back where too few copies could take its change.
	again = 300 * ms
	// lookAgain is how long a copy that cannot be reached is left alone by catching up; of mostLooked regions at a time
	// the next one is looked for, with a breath between: an extent may have millions.
	lookAgain, breath = 500 * ms, 10 * ms
	mostLooked        = 1024
	// After a failure to catch a copy up the next try waits, twice as long each time.
	firstPause, mostPause = 100 * ms, 10 * sec
)

// Mask is a set of copies.
type Mask uint8

// Of is the set of one copy.
func Of(copy int) Mask { return 1 << copy }

// Has tells whether a copy is in the set.
func (m Mask) Has(copy int) bool { return m&Of(copy) != 0 }

// Len is how many are.
func (m Mask) Len() int { return bits.OnesCount8(uint8(m)) }

// First is the lowest copy in the set, below zero where there is none.
func (m Mask) First() int {
	if m == 0 {
		return -1
	}
	return bits.TrailingZeros8(uint8(m))
}

func all(n int) Mask { return Mask(1<<n - 1) }

// Settings are those of a mirrored extent.
type Settings struct {
	Copies int   // how many
	Hold   int   // a change is answered when so many hold it
	Region int64 // bytes of a region, for which marks are kept
	Size   int64 // bytes of the extent
}

// Check finds what cannot be right.
func (s *Settings) Check() error {
	switch {
	case s.Copies < 1 || s.Copies > Most:
		return fmt.Errorf("copies: %d copies, between 1 and %d can be", s.Copies, Most)
	case s.Hold < 1 || s.Hold > s.Copies:
		return fmt.Errorf("copies: %d of %d copies are to hold a change", s.Hold, s.Copies)
	case s.Region <= 0 || s.Size <= 0:
		return fmt.Errorf("copies: regions of %d bytes in an extent of %d", s.Region, s.Size)
	}
	return nil
}

// Mark is what must outlast the process for a region: which copy leads it.
type Mark struct {
	Region int64
	Lead   int
}

// Output is something to do.
type Output struct {
	Kind   OutputKind
	Change *Change
	Mark   Mark
}

// OutputKind says what.
type OutputKind uint8

const (
	Keep   OutputKind = iota // bring Mark to stable storage, then call Kept; marks of a region in the order given
	Forget                   // take the mark of Mark.Region away, some time; nothing waits for it
	Send                     // send Change to the copies of Change.Sent
	Answer                   // Change.Verdict is final; attempts may be out still
)

// Verdict is how a change ended for its client.
type Verdict uint8

const (
	Served  Verdict = iota
	Refused         // it ran nowhere, or doing it again is harmless
	Failed          // no promise
)

// Change is a change of the bytes [From, To) of the extent on its way to the copies.
type Change struct {
	From, To int64
	Aim      logic.Micros // a good answer comes within this
	By       logic.Micros // its answer is due
	Harmless bool         // doing it again is, also where it may have run: then it is refused rather than failed
	Owner    any          // the caller's own

	Sent    Mask // copies that it goes to
	Held    Mask // that surely hold it
	Over    Mask // whose end is known
	Verdict Verdict
	Wait    logic.Micros // refused: advice when to come back; 0: none

	patience logic.Micros // its leads are waited for until then; 0: no longer
	ran      Mask         // may have run there
	seq      uint64
	waits    int // marks that are not kept yet, before it is sent
	unkept   bool
	sent     bool
	answered bool
}

// Done tells whether nothing of the change is left: answered, and over at every copy.
func (c *Change) Done() bool { return c.answered && (!c.sent || c.Over == c.Sent) }

type region struct {
	n        int64
	lead     int
	stale    Mask
	kept     bool // its mark is on stable storage, with this lead
	keeping  bool // and on its way there
	want     int  // the lead that the mark on its way names
	upset    bool // meanwhile a change has failed that not both of the leads surely hold
	live     int  // changes not done
	changed  logic.Micros
	listed   bool // in Set.idle
	filling  Mask // copies that are being caught up now
	from, to [Most]int64
	after    [Most]uint64 // the last change begun before a copy was last caught up
	waiting  []*Change    // for the mark, to be sent
}

// Set is one mirrored extent. Its size is bounded by its caller's changes, which are bounded, and by its regions.
type Set struct {
	set     Settings
	regions btree.Map[int64, *region] // those that are not plainly whole
	live    []*Change                 // in turn
	seq     uint64
	pause   [Most]logic.Micros
	until   [Most]logic.Micros // of catching up
	next    int64              // region from which the next one to be caught up is looked for
	stale   int                // regions with a stale copy
	missing [Most]int          // regions in which a copy is
	idle    []idle             // whose marks may be needed no more, by time
	unkept  []int64            // whose marks could not be kept, to be tried again at retryAt
	retryAt logic.Micros
	out     []Output
	Tally   Tally
}

// idle is a region without changes since a time.
type idle struct {
	n  int64
	at logic.Micros
}

// Tally counts what was decided.
type Tally struct {
	Marks, Forgotten uint64
	Missed           uint64 // ends of changes that left a copy stale
	Moves            uint64 // of leads
	Caught           uint64 // runs caught up
	CaughtBytes      uint64
	Refused          uint64 // changes that too few copies could take
}

// New makes a set whose copies are all whole.
func New(s Settings) (*Set, error) {
	if err := s.Check(); err != nil {
		return nil, err
	}
	return &Set{set: s}, nil
}

// Out gives what there is to do since the last call, in turn. It is valid until the next call of any method.
func (s *Set) Out() []Output {
	out := s.out
	s.out = nil
	return out
}

func (s *Set) emit(o Output) { s.out = append(s.out, o) }

// Remember takes up a mark that an earlier process has left, before anything else. All copies but its lead count as
// stale: what that process had sent and not heard of may have reached any of them.
func (s *Set) Remember(m Mark) error {
	if m.Region < 0 || m.Region*s.set.Region >= s.set.Size || m.Lead < 0 || m.Lead >= s.set.Copies {
		return fmt.Errorf("copies: a mark of region %d, led by copy %d, of %d copies of %d bytes", m.Region, m.Lead, s.set.Copies, s.set.Size)
	}
	r := s.at(m.Region)
	r.lead, r.kept = m.Lead, true
	lo, hi := s.bounds(m.Region)
	for copy := range s.set.Copies {
		if copy != m.Lead {
			s.miss(r, copy, lo, hi)
		}
	}
	return nil
}

func (s *Set) bounds(n int64) (from, to int64) {
	return n * s.set.Region, min((n+1)*s.set.Region, s.set.Size)
}

// at is a region's entry, made where there is none.
func (s *Set) at(n int64) *region {
	if r, ok := s.regions.Get(n); ok {
		return r
	}
	r := &region{n: n}
	s.regions.Set(n, r)
	return r
}

// span calls f for each region of some bytes, with nil for those that are plainly whole.
func (s *Set) span(from, to int64, f func(n int64, r *region)) {
	for n := from / s.set.Region; n*s.set.Region < to; n++ {
		r, _ := s.regions.Get(n)
		f(n, r)
	}
}

func (c *Change) in(lo, hi int64) bool { return c.From < hi && lo < c.To }

// ---- changes ----

// Need gives the copies that a change of some bytes goes to, if they can be reached: one that is stale all over those
// bytes will be given them when it is caught up.
func (s *Set) Need(from, to int64) (need Mask) {
	s.span(from, to, func(_ int64, r *region) {
		need |= all(s.set.Copies)
		if r != nil && r.n == from/s.set.Region && r.n == (to-1)/s.set.Region {
			need = all(s.set.Copies)&^r.stale | r.filling
		}
	})
	return need
}

// Begin takes a change. Ready are the copies that can be reached and may be sent to.
func (s *Set) Begin(now logic.Micros, c *Change, ready Mask) {
	c.Sent = s.Need(c.From, c.To) & ready
	c.patience = min(now+logic.Micros(leadPart*float64(c.Aim)), c.By)
	whole := ready
	s.span(c.From, c.To, func(_ int64, r *region) {
		if r != nil {
			whole &^= r.stale
		}
	})
	// Refused here, nothing was done; sent to too few, it would surely fail and leave copies that differ.
	if whole.Len() < s.set.Hold {
		s.Tally.Refused++
		c.Wait = again
		s.answer(c, Refused)
		s.next = c.From / s.set.Region // what is wanted is caught up first
		return
	}
	s.seq++
	c.seq = s.seq
	s.live = append(s.live, c)
	s.span(c.From, c.To, func(n int64, _ *region) {
		r := s.at(n)
		r.live++
		if !r.kept {
			c.waits++
			r.waiting = append(r.waiting, c)
			s.keep(r, r.lead)
		}
	})
	s.launch(now, c)
}

// keep asks for a region's mark to be kept with a lead. One at a time is on its way for each region.
func (s *Set) keep(r *region, lead int) {
	if !r.keeping {
		r.keeping, r.want = true, lead
		s.Tally.Marks++
		s.emit(Output{Kind: Keep, Mark: Mark{r.n, lead}})
	}
}

// launch sends a change once its marks are kept.
func (s *Set) launch(now logic.Micros, c *Change) {
	switch {
	case c.waits > 0 || c.sent || c.answered:
	case c.unkept:
		c.Wait = again
		s.answer(c, Refused)
		s.settle(now, c)
	default:
		c.sent = true
		s.emit(Output{Kind: Send, Change: c})
	}
}

// Kept says that a mark is on stable storage, or that this cannot be told.
func (s *Set) Kept(now logic.Micros, m Mark, ok bool) {
	r, there := s.regions.Get(m.Region)
	if !there || !r.keeping || r.want != m.Lead {
		return
	}
	r.keeping = false
	// Where it cannot be told, either lead may stand there; nothing is answered until one surely does, see judge.
	r.kept = ok
	if !ok {
		s.unkept, s.retryAt = append(s.unkept, r.n), now+retry
	}
	if ok && r.lead != m.Lead {
		s.moved(r, m.Lead)
	}
	r.upset = false
	waiting := r.waiting
	r.waiting = nil
	for _, c := range waiting {
		c.waits--
		c.unkept = c.unkept || !ok
		s.launch(now, c)
	}
	lo, hi := s.bounds(r.n)
	for _, c := range slices.Clone(s.live) {
		if c.in(lo, hi) {
			s.judge(now, c)
			s.settle(now, c)
		}
	}
}

// moved makes a copy lead. What it lacks then was answered to nobody as served: judge and move see to that.
func (s *Set) moved(r *region, lead int) {
	s.Tally.Moves++
	lo, hi := s.bounds(r.n)
	for copy := range s.set.Copies {
		if copy == r.lead || r.upset && copy != lead {
			s.miss(r, copy, lo, hi)
		}
	}
	s.heal(r, lead)
	r.lead = lead
}

// Ended says how a change ended at a copy; ran where it may have run there without being held surely.
func (s *Set) Ended(now logic.Micros, c *Change, copy int, held, ran bool) {
	if c.Over.Has(copy) || !c.Sent.Has(copy) {
		return
	}
	c.Over |= Of(copy)
	if held {
		c.Held |= Of(copy)
	}
	if ran {
		c.ran |= Of(copy)
	}
	s.judge(now, c)
	s.settle(now, c)
	for _, o := range slices.Clone(s.live) { // one that waits for a lead to move, which what ended now may have been in the way of
		if !o.answered && o != c && o.Held != 0 && (o.Over == o.Sent || o.patience == 0) && o.in(c.From-s.set.Region, c.To+s.set.Region) {
			s.judge(now, o)
			s.settle(now, o)
		}
	}
}

// Gone says that a change's client has left. What was not sent is forgotten; the rest goes on, so that the copies stay
// the same, and only its answer is not wanted.
func (s *Set) Gone(now logic.Micros, c *Change) {
	if !c.sent && !c.answered {
		s.answer(c, Refused)
		s.settle(now, c)
	}
}

// Late lets time pass: leads that are waited for in vain, answers that are due, marks that are not needed any more.
func (s *Set) Late(now logic.Micros) {
	for _, c := range slices.Clone(s.live) {
		switch {
		case c.answered:
		case c.By <= now && c.sent:
			s.answer(c, Failed)
			s.settle(now, c)
		case c.By <= now:
			s.answer(c, Refused)
			s.settle(now, c)
		case c.patience > 0 && c.patience <= now:
			c.patience = 0
			s.judge(now, c)
		}
	}
	if len(s.unkept) > 0 && s.retryAt <= now {
		for _, n := range s.unkept {
			if r, there := s.regions.Get(n); there && !r.kept && (r.live > 0 || r.stale != 0) {
				s.keep(r, r.lead)
			}
		}
		s.unkept = nil
	}
	for len(s.idle) > 0 && s.idle[0].at+quiet <= now {
		n := s.idle[0].n
		s.idle = s.idle[1:]
		r, there := s.regions.Get(n)
		if !there {
			continue
		}
		r.listed = false
		switch {
		case r.live > 0 || r.stale != 0: // it is listed again when that is over
		case r.keeping:
			s.list(r, now)
		case r.changed+quiet > now:
			s.list(r, r.changed)
		default:
			s.regions.Delete(n)
			s.Tally.Forgotten++
			s.emit(Output{Kind: Forget, Mark: Mark{Region: n}})
		}
	}
}

// list notes a region that has had no changes and no stale copy since a time.
func (s *Set) list(r *region, at logic.Micros) {
	if r.live == 0 && r.stale == 0 && !r.listed {
		r.listed = true
		s.idle = append(s.idle, idle{r.n, at})
	}
}

// Next is when Late must be called at the latest; 0: never.
func (s *Set) Next() (at logic.Micros) {
	soon := func(t logic.Micros) {
		if at == 0 || t < at {
			at = max(t, 1)
		}
	}
	for _, c := range s.live {
		if !c.answered {
			soon(c.By)
			if c.patience > 0 {
				soon(c.patience)
			}
		}
	}
	if len(s.unkept) > 0 {
		soon(s.retryAt)
	}
	if len(s.idle) > 0 {
		soon(s.idle[0].at + quiet)
	}
	return at
}

// judge finds out whether a change can be answered.
func (s *Set) judge(now logic.Micros, c *Change) {
	if c.answered || !c.sent {
		return
	}
	whole, leads := all(s.set.Copies), Mask(0)
	led, sure := true, true
	s.span(c.From, c.To, func(_ int64, r *region) {
		whole &^= r.stale
		leads |= Of(r.lead)
		led = led && c.Held.Has(r.lead)
		// While a lead moves, what is answered must be held by both, as either may lead after a crash.
		sure = sure && r.kept && (!r.keeping || c.Held.Has(r.want))
	})
	enough := (c.Held & whole).Len() >= s.set.Hold
	over := c.Over == c.Sent
	switch {
	case enough && led:
		if sure {
			s.answer(c, Served)
		}
	case c.Held&whole != 0 && (over || enough && (leads&c.Sent&^c.Over == 0 || c.patience <= now)):
		// The leads have ended without it, or are waited for no longer. Also where too few hold it: the lead's content is
		// not known then, and that of a copy that holds it is.
		if !s.move(c, c.Held&whole) && over {
			s.answer(c, Failed)
		}
	case !over:
	case c.ran|c.Held == 0:
		s.answer(c, Refused)
	default:
		s.answer(c, Failed)
	}
}

// move lets a copy lead that holds the change where the lead does not. It must hold as well whatever was answered and
// is not over: that may have been on the word of the old lead. It tells whether a move is on its way.
func (s *Set) move(c *Change, to Mask) (moving bool) {
	s.span(c.From, c.To, func(_ int64, r *region) {
		if c.Held.Has(r.lead) {
			return
		}
		lo, hi := s.bounds(r.n)
		can := to
		for _, o := range s.live {
			if o.answered && o.Verdict == Served && o.in(lo, hi) {
				can &= o.Held
			}
		}
		if can != 0 && r.kept {
			s.keep(r, can.First())
		}
		moving = moving || r.keeping
	})
	return moving
}

func (s *Set) answer(c *Change, v Verdict) {
	if c.answered, c.Verdict = true, v; v == Failed && c.Harmless {
		c.Verdict = Refused
	}
	s.emit(Output{Kind: Answer, Change: c})
}

// settle notes what copies have missed of a change, and forgets it when it is done.
func (s *Set) settle(now logic.Micros, c *Change) {
	i := slices.Index(s.live, c)
	if !c.Done() || i < 0 {
		return
	}
	s.live = slices.Delete(s.live, i, i+1)
	s.span(c.From, c.To, func(_ int64, r *region) {
		r.live--
		r.changed = now
		defer s.list(r, now)
		if c.ran|c.Held == 0 {
			return // it ran nowhere
		}
		r.upset = r.upset || r.keeping && (!c.Held.Has(r.lead) || !c.Held.Has(r.want))
		for copy := range s.set.Copies {
			switch {
			case copy == r.lead || c.Held.Has(copy) && c.Held.Has(r.lead):
			case !c.Sent.Has(copy) && c.seq <= r.after[copy]: // it was over at the source when that was read
			default:
				s.miss(r, copy, c.From, c.To)
			}
		}
	})
}

// miss notes that a copy of a region does not surely hold some bytes as its lead does.
func (s *Set) miss(r *region, copy int, from, to int64) {
	lo, hi := s.bounds(r.n)
	from, to = max(from, lo), min(to, hi)
	s.Tally.Missed++
	if r.stale == 0 {
		s.stale++
	}
	if !r.stale.Has(copy) {
		r.stale |= Of(copy)
		s.missing[copy]++
		r.from[copy], r.to[copy] = from, to
		return
	}
	r.from[copy], r.to[copy] = min(r.from[copy], from), max(r.to[copy], to)
}

// heal notes that a copy of a region holds what its lead does.
func (s *Set) heal(r *region, copy int) {
	if !r.stale.Has(copy) {
		return
	}
	r.stale &^= Of(copy)
	s.missing[copy]--
	if r.stale == 0 {
		s.stale--
	}
}

// ---- reads ----

// Readable gives the copies from which bytes may be read from a place on, and up to where that set holds, at most to.
// Copies that are stale are not in it; where a change is on its way only the lead is, as others may be behind or ahead
// of what was read before.
func (s *Set) Readable(from, to int64) (m Mask, end int64) {
	m, end = all(s.set.Copies), to
	if s.regions.Len() == 0 {
		return m, end
	}
	first := true
	s.span(from, to, func(n int64, r *region) {
		lo, hi := s.bounds(n)
		here := all(s.set.Copies)
		if r != nil {
			here &^= r.stale
			for _, c := range s.live {
				if r.live > 0 && c.in(max(lo, from), min(hi, to)) {
					here = Of(r.lead)
				}
			}
		}
		switch both := m & here; {
		case lo >= end:
		case first || both != 0:
			m = both
		default:
			end = lo
		}
		first = false
	})
	return m, end
}

// Seen is what is known of a copy when a read is to go somewhere.
type Seen struct {
	Home  bool
	Ready bool         // a node that takes work holds it
	Takes logic.Micros // until an answer could be had from there, by the news of its nodes
}

// choose finds the copy that a read goes to, of those it may be read from: one at home as long as it can answer within
// the aim, then one elsewhere that can, then the soonest. Home is the best one at home, below zero where there is none.
func choose(m Mask, seen []Seen, aim logic.Micros) (copy, home int) {
	best := func(ok func(x *Seen) bool) int {
		at := -1
		for i := range seen {
			if x := &seen[i]; m.Has(i) && x.Ready && ok(x) && (at < 0 || x.Takes < seen[at].Takes) {
				at = i
			}
		}
		return at
	}
	home = best(func(x *Seen) bool { return x.Home })
	if home >= 0 && seen[home].Takes <= aim {
		return home, home
	}
	away := best(func(x *Seen) bool { return !x.Home })
	switch {
	case away < 0 && home < 0:
		return m.First(), -1 // nowhere; it will be refused there with advice
	case away >= 0 && (home < 0 || seen[away].Takes <= aim || seen[away].Takes < seen[home].Takes/2):
		return away, home
	}
	return home, home
}

// Read is a read on its way to one of the copies.
type Read struct {
	Aim, By logic.Micros
	Most    int // attempts that it may have; 0: no bound

	At     int  // the copy that it goes to
	Spills bool // bytes cross although a copy lies at home
	Once   bool // it may go to another copy yet: at this one it is given up early
	tried  Mask
}

// Ask asks whoever bounds what crosses for a read at a copy; wait is when to come back.
type Ask func(copy int) (wait logic.Micros, ok bool)

// First finds the copy that a read goes to, of those it may be read from. A spill that may not cross goes to the best copy
// at home. Where it is refused At is the copy that it may not go to.
func (r *Read) First(m Mask, seen []Seen, ask Ask) (wait logic.Micros, ok bool) {
	copy, home := choose(m, seen, r.Aim)
	wait, ok = ask(copy)
	if !ok && home >= 0 && copy != home {
		copy, ok = home, true
	}
	r.At, r.Spills, r.Once = copy, home >= 0 && copy != home, false
	r.tried |= Of(copy)
	for i := range seen {
		r.Once = r.Once || i != copy && (m&^r.tried).Has(i) && seen[i].Ready
	}
	if !ok {
		r.tried |= m // there is no better one
	}
	return wait, ok
}

// Again tells whether a read that was not served where it went goes on, as the same request, after so many attempts; then
// At is where. One that was given up early for the sake of a copy that it may not go to stays, if need be late.
func (r *Read) Again(now logic.Micros, m Mask, seen []Seen, tries int, ask Ask) bool {
	if m &^= r.tried; m == 0 || now >= r.By || r.Most > 0 && tries >= r.Most {
		return false
	}
	was := *r
	if _, ok := r.First(m, seen, ask); ok && seen[r.At].Ready {
		r.Spills = r.Spills || seen[was.At].Home
		return true
	}
	r.At, r.Spills, r.Once = was.At, was.Spills, false
	return was.Once && seen[was.At].Ready
}

// ---- catching up ----

// Fill is a run of bytes that a copy is to be given from the lead.
type Fill struct {
	From, To int64
	Source   int
	Target   int
	region   int64
}

// Stale tells how many regions have a stale copy.
func (s *Set) Stale() int { return s.stale }

// Whole tells whether a copy is whole all over.
func (s *Set) Whole(copy int) bool { return s.missing[copy] == 0 }

// Fill gives the next run to be caught up between copies that can be reached; wait is when to ask
// again where there is none now, 0 where nothing is stale. From here on changes go to its target too, and whoever
// carries it out orders it among the changes at both copies.
func (s *Set) Fill(now logic.Micros, ready Mask) (f Fill, ok bool, wait logic.Micros) {
	if s.stale == 0 {
		return f, false, 0
	}
	var can Mask // may be given something now
	wait = lookAgain
	for copy := range s.set.Copies {
		switch rest := s.until[copy] - now; {
		case s.missing[copy] == 0 || !ready.Has(copy):
		case rest > 0:
			wait = min(wait, rest)
		default:
			can |= Of(copy)
		}
	}
	if can == 0 {
		return f, false, wait
	}
	looked := 0
	look := func(n int64, r *region) bool {
		looked++
		s.next = n + 1
		// One whose lead is about to move waits: it would be given what the old one holds.
		if to := r.stale & can; to != 0 && r.filling == 0 && ready.Has(r.lead) && r.kept && !r.keeping {
			f, ok = s.fill(r, to.First()), true
		}
		return !ok && looked < mostLooked
	}
	from := s.next
	if s.regions.Ascend(from, look); !ok && looked < mostLooked && from > 0 {
		s.regions.Ascend(0, func(n int64, r *region) bool { return n < from && look(n, r) })
	}
	if !ok && looked == mostLooked {
		wait = breath // there are others
	}
	return f, ok, wait
}

func (s *Set) fill(r *region, copy int) Fill {
	from, to := r.from[copy], r.to[copy]
	lo, hi := s.bounds(r.n)
	for _, c := range s.live {
		switch {
		case !c.in(lo, hi) || c.Sent.Has(copy):
		case c.sent: // on its way to the source, where it will be over before that is read
			from, to = min(from, max(c.From, lo)), max(to, min(c.To, hi))
		case !c.answered:
			c.Sent |= Of(copy)
		}
	}
	r.after[copy] = s.seq
	r.filling |= Of(copy)
	r.from[copy], r.to[copy] = hi, lo // nothing: what is missed from here on
	return Fill{From: from, To: to, Source: r.lead, Target: copy, region: r.n}
}

// Filled says how catching up ended: done where the target surely holds what the source held. Rest is the advice of
// whoever refused it, 0 where there is none.
func (s *Set) Filled(now logic.Micros, f Fill, done bool, rest logic.Micros) {
	r, there := s.regions.Get(f.region)
	if !there || !r.filling.Has(f.Target) {
		return
	}
	r.filling &^= Of(f.Target)
	if !done || r.lead != f.Source || r.keeping && r.want != f.Source {
		// Also what was on its way to the source, and was not sent to the target for that.
		r.from[f.Target], r.to[f.Target] = s.bounds(r.n)
		if rest == 0 {
			s.pause[f.Target] = min(max(2*s.pause[f.Target], firstPause), mostPause)
			rest = s.pause[f.Target]
		}
		s.until[f.Target] = now + min(rest, mostPause)
		return
	}
	s.pause[f.Target] = 0
	s.Tally.Caught++
	s.Tally.CaughtBytes += uint64(f.To - f.From)
	if r.from[f.Target] < r.to[f.Target] {
		return // something was missed meanwhile
	}
	s.heal(r, f.Target)
	r.changed = now
	s.list(r, now)
}

// Idle tells that nothing is known of the extent but that all its copies are whole.
func (s *Set) Idle() bool { return s.regions.Len() == 0 && len(s.live) == 0 && len(s.out) == 0 }
