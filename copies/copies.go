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
	// sweep is how often marks are looked through.
	sweep = 1 * sec
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
	Refused         // it was sent nowhere, or ran nowhere
	Failed          // no promise
)

// Change is a change of the bytes [From, To) of the extent on its way to the copies.
type Change struct {
	From, To int64
	Patience logic.Micros // how long leads are waited for where others hold the change
	By       logic.Micros // its answer is due
	Owner    any          // the caller's own

	Sent    Mask // copies that it goes to
	Held    Mask // that surely hold it
	Over    Mask // whose end is known
	Verdict Verdict

	ran      Mask // may have run there
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
	swept   logic.Micros
	stale   int // regions with a stale copy
	out     []Output
	Tally   Tally
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
	whole := ready
	s.span(c.From, c.To, func(_ int64, r *region) {
		if r != nil {
			whole &^= r.stale
		}
	})
	// Refused here, nothing was done; sent to too few, it would surely fail and leave copies that differ.
	if whole.Len() < s.set.Hold {
		s.Tally.Refused++
		c.Verdict = Refused
		s.answer(c)
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
		c.Verdict = Refused
		s.answer(c)
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
	r.stale &^= Of(lead)
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
		if !o.answered && o != c && o.Held != 0 && (o.Over == o.Sent || o.Patience == 0) && o.in(c.From-s.set.Region, c.To+s.set.Region) {
			s.judge(now, o)
			s.settle(now, o)
		}
	}
}

// Gone says that a change's client has left. What was not sent is forgotten; the rest goes on, so that the copies stay
// the same, and only its answer is not wanted.
func (s *Set) Gone(now logic.Micros, c *Change) {
	if !c.sent && !c.answered {
		c.Verdict = Refused
		s.answer(c)
		s.settle(now, c)
	}
}

// Late lets time pass: leads that are waited for in vain, answers that are due, marks that are not needed any more.
func (s *Set) Late(now logic.Micros) {
	for _, c := range slices.Clone(s.live) {
		switch {
		case c.answered:
		case c.By <= now:
			c.Verdict = Failed
			if !c.sent {
				c.Verdict = Refused
			}
			s.answer(c)
			s.settle(now, c)
		case c.Patience > 0 && c.Patience <= now:
			c.Patience = 0
			s.judge(now, c)
		}
	}
	if s.regions.Len() == 0 || now-s.swept < sweep {
		return
	}
	s.swept = now
	var idle []int64
	s.regions.Scan(func(n int64, r *region) bool {
		if !r.kept && (r.live > 0 || r.stale != 0) {
			s.keep(r, r.lead) // it could not be kept before
		}
		if r.live == 0 && r.stale == 0 && !r.keeping && now-r.changed >= quiet {
			idle = append(idle, n)
		}
		return true
	})
	for _, n := range idle {
		s.regions.Delete(n)
		s.Tally.Forgotten++
		s.emit(Output{Kind: Forget, Mark: Mark{Region: n}})
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
			if c.Patience > 0 {
				soon(c.Patience)
			}
		}
	}
	if s.regions.Len() > s.stale || len(s.live) > 0 {
		soon(s.swept + sweep)
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
			c.Verdict = Served
			s.answer(c)
		}
	case c.Held&whole != 0 && (over || enough && (leads&c.Sent&^c.Over == 0 || c.Patience <= now)):
		// The leads have ended without it, or are waited for no longer. Also where too few hold it: the lead's content is
		// not known then, and that of a copy that holds it is.
		if !s.move(c, c.Held&whole) && over {
			c.Verdict = Failed
			s.answer(c)
		}
	case !over:
	case c.ran|c.Held == 0:
		c.Verdict = Refused
		s.answer(c)
	default:
		c.Verdict = Failed
		s.answer(c)
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

func (s *Set) answer(c *Change) {
	c.answered = true
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
		r.from[copy], r.to[copy] = from, to
		return
	}
	r.from[copy], r.to[copy] = min(r.from[copy], from), max(r.to[copy], to)
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

// Choose finds the copy that a read goes to, of those it may be read from: one at home as long as it can answer within
// the aim, then one elsewhere that can, then the soonest. Spills tells that bytes cross although a copy lies at home;
// the budget for what crosses may forbid that, and then the best one at home stands in its place.
func Choose(m Mask, seen []Seen, aim logic.Micros) (copy int, spills bool, home int) {
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
		return home, false, home
	}
	away := best(func(x *Seen) bool { return !x.Home })
	switch {
	case away < 0 && home < 0:
		return m.First(), false, -1 // nowhere; it will be refused there with advice
	case away >= 0 && (home < 0 || seen[away].Takes <= aim || seen[away].Takes < seen[home].Takes/2):
		return away, home >= 0, home
	}
	return home, false, home
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
func (s *Set) Whole(copy int) bool {
	whole := true
	s.regions.Scan(func(_ int64, r *region) bool {
		whole = !r.stale.Has(copy)
		return whole
	})
	return whole
}

// Fill gives the next run to be caught up between copies that can be reached, at most so many bytes; wait is when to ask
// again where there is none now, 0 where nothing is stale. From here on changes go to its target too, and whoever
// carries it out orders it among the changes at both copies.
func (s *Set) Fill(now logic.Micros, ready Mask) (f Fill, ok bool, wait logic.Micros) {
	if s.stale == 0 {
		return f, false, 0
	}
	wait = mostPause
	find := func(_ int64, r *region) bool {
		// One whose lead is about to move waits: it would be given what the old one holds.
		if r.stale == 0 || r.filling != 0 || !ready.Has(r.lead) || !r.kept || r.keeping {
			return true
		}
		for copy := range s.set.Copies {
			if !(r.stale & ready).Has(copy) {
				continue
			}
			if s.until[copy] > now {
				wait = min(wait, s.until[copy]-now)
				continue
			}
			f, ok = s.fill(r, copy), true
			return false
		}
		return true
	}
	s.regions.Ascend(s.next, func(n int64, r *region) bool { return find(n, r) })
	if !ok && s.next > 0 {
		s.next = 0
		s.regions.Scan(find)
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
	s.next = r.n + 1
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
	r.stale &^= Of(f.Target)
	r.changed = now
	if r.stale == 0 {
		s.stale--
	}
}

// Idle tells that nothing is known of the extent but that all its copies are whole.
func (s *Set) Idle() bool { return s.regions.Len() == 0 && len(s.live) == 0 && len(s.out) == 0 }

// Marks gives what must outlast the process, by region; what Kept was told of and Forget was not.
func (s *Set) Marks() (out []Mark) {
	s.regions.Scan(func(n int64, r *region) bool {
		if r.kept {
			out = append(out, Mark{n, r.lead})
		}
		return true
	})
	return out
}
