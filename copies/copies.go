// Package copies decides about the replication of an extent that has several copies: where a change (a write) is sent,
// when enough copies hold it to answer it, which copies a read may use, what a copy has missed and when it is caught
// up. Package logic schedules each single send; this package only chooses the cells.
//
// For each region of the extent one copy is the lead: its content is the content of the region. Before a change is sent
// to any copy, marks of its regions, which name their leads, are written to stable storage. If the process is killed,
// each marked region is restored from its lead and all other copies of it count as stale. A copy for which a change
// ended without certainty that it holds the change is stale from then on, and is not read until it is up to date again.
// If the lead failed and enough other copies hold the change, the lead moves to one of them, and the change is answered
// once the new mark is on stable storage.
//
// This prevents reads from a copy that has missed a write because a node died, a link was cut, the gateway was killed
// between two sends, or the crossing budget did not admit the second send. Drawback: if changes are spread thinly over
// a large extent, the first change in each region waits for its mark.
//
// The package has no clock, goroutines or I/O, and no decision depends on map order.
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

	// MaxCopies is the maximum number of copies of an extent.
	MaxCopies = 8
	// markIdleTime is how long a region must be without changes before its mark is dropped. A shorter time writes more
	// marks if the same regions change repeatedly; a longer one leaves more to catch up after the process was killed.
	markIdleTime = 5 * sec
	// markRetryInterval is the interval at which writing a failed mark is retried.
	markRetryInterval = 1 * sec
	// leadWaitShare is the share of a change's aim for which its leads are awaited when other copies hold it.
	leadWaitShare = 0.5
	// retryAfter is the retry delay of a change that is refused because too few copies can take it or its mark failed.
	retryAfter = 300 * ms
	// catchUpPollInterval is the interval at which catching up checks again for reachable copies. An extent may have
	// millions of regions: each scan for the next one visits at most maxRegionsScanned, with scanPause between scans.
	catchUpPollInterval, scanPause = 500 * ms, 10 * ms
	maxRegionsScanned              = 1024
	// The backoff after a failure to catch up a copy doubles with each failure, within these bounds.
	minCatchUpBackoff, maxCatchUpBackoff = 100 * ms, 10 * sec
)

// Mask is a set of copies.
type Mask uint8

// MaskOf returns the set that contains only copy.
func MaskOf(copy int) Mask { return 1 << copy }

// Has reports whether copy is in the set.
func (m Mask) Has(copy int) bool { return m&MaskOf(copy) != 0 }

// Len returns the number of copies in the set.
func (m Mask) Len() int { return bits.OnesCount8(uint8(m)) }

// First returns the lowest copy in the set, or -1 if it is empty.
func (m Mask) First() int {
	if m == 0 {
		return -1
	}
	return bits.TrailingZeros8(uint8(m))
}

func allCopies(n int) Mask { return Mask(1<<n - 1) }

// Settings describes a mirrored extent.
type Settings struct {
	Copies int   // number of copies
	Hold   int   // number of copies that must hold a change before it is answered
	Region int64 // size in bytes of the regions for which marks are kept
	Size   int64 // size of the extent in bytes
}

// Check returns an error if a setting is out of range.
func (s *Settings) Check() error {
	switch {
	case s.Copies < 1 || s.Copies > MaxCopies:
		return fmt.Errorf("copies: %d copies, between 1 and %d can be", s.Copies, MaxCopies)
	case s.Hold < 1 || s.Hold > s.Copies:
		return fmt.Errorf("copies: %d of %d copies must hold a change", s.Hold, s.Copies)
	case s.Region <= 0 || s.Size <= 0:
		return fmt.Errorf("copies: invalid region size of %d bytes in an extent of %d bytes", s.Region, s.Size)
	}
	return nil
}

// Mark records which copy leads a region. It must survive the process.
type Mark struct {
	Region int64
	Lead   int
}

// Output is an action for the caller.
type Output struct {
	Kind   OutputKind
	Change *Change
	Mark   Mark
}

// OutputKind is the kind of an Output.
type OutputKind uint8

const (
	WriteMark  OutputKind = iota // write Mark to stable storage, then call MarkWritten; marks of one region in the order given
	DeleteMark                   // delete the mark of Mark.Region at any later time; nothing waits for it
	Send                         // send Change to the copies in Change.Sent
	Answer                       // Change.Verdict is final; attempts may still be in flight
)

// Verdict is the result of a change for its client.
type Verdict uint8

const (
	Served  Verdict = iota
	Refused         // it ran at no copy, or repeating it is harmless
	Failed          // no promise: it may have run
)

// Change is a write of the bytes [From, To) of the extent to its copies.
type Change struct {
	From, To   int64
	Aim        logic.Micros // response time that the class promises
	Deadline   logic.Micros // deadline of its answer
	Repeatable bool         // repeating it is harmless even if it may have run: it is refused rather than failed
	Owner      any          // opaque value of the caller

	Sent       Mask // copies that it is sent to
	Held       Mask // copies that certainly hold it
	Ended      Mask // copies at which it has ended
	Verdict    Verdict
	RetryAfter logic.Micros // retry delay of a refusal; 0: none

	leadWaitUntil logic.Micros // its leads are awaited until then; 0: no longer
	mayHaveRun    Mask         // copies at which it may have run without being held for certain
	seq           uint64
	pendingMarks  int // marks that must be on stable storage before it is sent
	markFailed    bool
	sent          bool
	answered      bool
}

// Done reports whether the change is answered and has ended at every copy that it was sent to.
func (c *Change) Done() bool { return c.answered && (!c.sent || c.Ended == c.Sent) }

type region struct {
	index                int64
	lead                 int
	stale                Mask
	marked               bool // its mark with this lead is on stable storage
	persisting           bool // a mark is being written
	pendingLead          int  // lead named by the mark that is being written
	leadsDiffer          bool // while persisting: a change ended that not both lead and pendingLead certainly hold
	numActive            int  // number of changes that are not done
	lastChange           logic.Micros
	inIdleList           bool              // in Set.idleRegions
	catchingUp           Mask              // copies that are being caught up
	missedFrom, missedTo [MaxCopies]int64  // by copy: the bytes that it has missed
	fillSeq              [MaxCopies]uint64 // by copy: sequence number of the last change begun before its latest fill started
	waitingChanges       []*Change         // to be sent once the mark is on stable storage
}

// Set is the state of one mirrored extent. Its size is bounded by the changes in flight, which the caller bounds, and
// by the number of regions.
type Set struct {
	settings         Settings
	regions          btree.Map[int64, *region] // regions with a mark, a change or a stale copy; all others are up to date
	active           []*Change                 // in the order begun
	seq              uint64
	catchUpBackoff   [MaxCopies]logic.Micros
	catchUpNotBefore [MaxCopies]logic.Micros // by copy: earliest time of the next fill after a failure
	nextScan         int64                   // region at which the next scan for stale regions starts
	numStaleRegions  int                     // number of regions with a stale copy
	numStaleByCopy   [MaxCopies]int          // number of regions in which the copy is stale
	idleRegions      []idleRegion            // candidates for dropping their marks, by time
	failedMarks      []int64                 // regions whose marks could not be written; retried at markRetryAt
	markRetryAt      logic.Micros
	outputs          []Output
	Tally            Tally
}

// idleRegion is a region that has had no changes since a time.
type idleRegion struct {
	index int64
	since logic.Micros
}

// Tally counts decisions.
type Tally struct {
	Marks, Forgotten uint64
	Missed           uint64 // times that a copy missed bytes of a region
	Moves            uint64 // changes of leads
	Caught           uint64 // byte ranges caught up
	CaughtBytes      uint64
	Refused          uint64 // changes refused because too few copies could take them
}

// New returns a set whose copies are all up to date.
func New(s Settings) (*Set, error) {
	if err := s.Check(); err != nil {
		return nil, err
	}
	return &Set{settings: s}, nil
}

// Out returns the actions since the last call, in order. The result is valid until the next call of any method.
func (s *Set) Out() []Output {
	out := s.outputs
	s.outputs = nil
	return out
}

func (s *Set) emit(o Output) { s.outputs = append(s.outputs, o) }

// RestoreMark restores a mark of an earlier process; it must be called before any other method. All copies but the lead
// count as stale, because writes of that process that were still in flight may have reached any of them.
func (s *Set) RestoreMark(m Mark) error {
	if m.Region < 0 || m.Region*s.settings.Region >= s.settings.Size || m.Lead < 0 || m.Lead >= s.settings.Copies {
		return fmt.Errorf("copies: invalid mark of region %d with lead %d: the extent has %d copies of %d bytes", m.Region, m.Lead, s.settings.Copies, s.settings.Size)
	}
	r := s.ensureRegion(m.Region)
	r.lead, r.marked = m.Lead, true
	lo, hi := s.regionBounds(m.Region)
	for copy := range s.settings.Copies {
		if copy != m.Lead {
			s.setStale(r, copy, lo, hi)
		}
	}
	return nil
}

func (s *Set) regionBounds(n int64) (from, to int64) {
	return n * s.settings.Region, min((n+1)*s.settings.Region, s.settings.Size)
}

// ensureRegion returns the entry of a region and creates it if there is none.
func (s *Set) ensureRegion(n int64) *region {
	if r, ok := s.regions.Get(n); ok {
		return r
	}
	r := &region{index: n}
	s.regions.Set(n, r)
	return r
}

// forEachRegion calls f for each region of the bytes [from, to), with a nil r for regions without an entry.
func (s *Set) forEachRegion(from, to int64, f func(n int64, r *region)) {
	for n := from / s.settings.Region; n*s.settings.Region < to; n++ {
		r, _ := s.regions.Get(n)
		f(n, r)
	}
}

func (c *Change) overlaps(lo, hi int64) bool { return c.From < hi && lo < c.To }

// ---- changes ----

// Targets returns the copies that a change of the bytes [from, to) is sent to if they can be reached. If the change
// lies in one region, copies that are stale there are left out, unless they are being caught up: they get the change
// when they are caught up.
func (s *Set) Targets(from, to int64) (need Mask) {
	s.forEachRegion(from, to, func(_ int64, r *region) {
		need |= allCopies(s.settings.Copies)
		if r != nil && r.index == from/s.settings.Region && r.index == (to-1)/s.settings.Region {
			need = allCopies(s.settings.Copies)&^r.stale | r.catchingUp
		}
	})
	return need
}

// Begin accepts or refuses a change. Ready are the copies that can be reached and may be sent to.
func (s *Set) Begin(now logic.Micros, c *Change, ready Mask) {
	c.Sent = s.Targets(c.From, c.To) & ready
	c.leadWaitUntil = min(now+logic.Micros(leadWaitShare*float64(c.Aim)), c.Deadline)
	upToDate := ready
	s.forEachRegion(c.From, c.To, func(_ int64, r *region) {
		if r != nil {
			upToDate &^= r.stale
		}
	})
	// A refusal here has no effect. Sent to too few copies, the change would certainly fail and leave copies that
	// differ.
	if upToDate.Len() < s.settings.Hold {
		s.Tally.Refused++
		c.RetryAfter = retryAfter
		s.answer(c, Refused)
		s.nextScan = c.From / s.settings.Region // catch up the regions in demand first
		return
	}
	s.seq++
	c.seq = s.seq
	s.active = append(s.active, c)
	s.forEachRegion(c.From, c.To, func(n int64, _ *region) {
		r := s.ensureRegion(n)
		r.numActive++
		if !r.marked {
			c.pendingMarks++
			r.waitingChanges = append(r.waitingChanges, c)
			s.persistMark(r, r.lead)
		}
	})
	s.sendWhenMarked(now, c)
}

// persistMark requests that a region's mark with the given lead is written. Each region has at most one mark being
// written.
func (s *Set) persistMark(r *region, lead int) {
	if !r.persisting {
		r.persisting, r.pendingLead = true, lead
		s.Tally.Marks++
		s.emit(Output{Kind: WriteMark, Mark: Mark{r.index, lead}})
	}
}

// sendWhenMarked sends a change once all its marks are on stable storage, or refuses it if one of them failed.
func (s *Set) sendWhenMarked(now logic.Micros, c *Change) {
	switch {
	case c.pendingMarks > 0 || c.sent || c.answered:
	case c.markFailed:
		c.RetryAfter = retryAfter
		s.answer(c, Refused)
		s.finishIfDone(now, c)
	default:
		c.sent = true
		s.emit(Output{Kind: Send, Change: c})
	}
}

// MarkWritten reports that a mark is on stable storage, or, if ok is false, that this is not certain.
func (s *Set) MarkWritten(now logic.Micros, m Mark, ok bool) {
	r, found := s.regions.Get(m.Region)
	if !found || !r.persisting || r.pendingLead != m.Lead {
		return
	}
	r.persisting = false
	// If it is not certain, stable storage may name either lead. Nothing is answered until it certainly names one of
	// them, see evaluate.
	r.marked = ok
	if !ok {
		s.failedMarks, s.markRetryAt = append(s.failedMarks, r.index), now+markRetryInterval
	}
	if ok && r.lead != m.Lead {
		s.applyLeadMove(r, m.Lead)
	}
	r.leadsDiffer = false
	waitingChanges := r.waitingChanges
	r.waitingChanges = nil
	for _, c := range waitingChanges {
		c.pendingMarks--
		c.markFailed = c.markFailed || !ok
		s.sendWhenMarked(now, c)
	}
	lo, hi := s.regionBounds(r.index)
	for _, c := range slices.Clone(s.active) {
		if c.overlaps(lo, hi) {
			s.evaluate(now, c)
			s.finishIfDone(now, c)
		}
	}
}

// applyLeadMove makes a copy the lead. Any change that it does not hold has not been answered as served: evaluate and
// moveLead ensure that.
func (s *Set) applyLeadMove(r *region, lead int) {
	s.Tally.Moves++
	lo, hi := s.regionBounds(r.index)
	for copy := range s.settings.Copies {
		if copy == r.lead || r.leadsDiffer && copy != lead {
			s.setStale(r, copy, lo, hi)
		}
	}
	s.setUpToDate(r, lead)
	r.lead = lead
}

// Ended reports that a change ended at a copy: held if the copy certainly holds it, ran if it may have run there
// without that certainty.
func (s *Set) Ended(now logic.Micros, c *Change, copy int, held, ran bool) {
	if c.Ended.Has(copy) || !c.Sent.Has(copy) {
		return
	}
	c.Ended |= MaskOf(copy)
	if held {
		c.Held |= MaskOf(copy)
	}
	if ran {
		c.mayHaveRun |= MaskOf(copy)
	}
	s.evaluate(now, c)
	s.finishIfDone(now, c)
	for _, o := range slices.Clone(s.active) { // c may have prevented a move of a lead that o waits for
		if !o.answered && o != c && o.Held != 0 && (o.Ended == o.Sent || o.leadWaitUntil == 0) && o.overlaps(c.From-s.settings.Region, c.To+s.settings.Region) {
			s.evaluate(now, o)
			s.finishIfDone(now, o)
		}
	}
}

// ClientGone reports that the client of a change has left. A change that was not sent yet is dropped. Any other goes
// on, so that the copies stay identical; the caller discards its answer.
func (s *Set) ClientGone(now logic.Micros, c *Change) {
	if !c.sent && !c.answered {
		s.answer(c, Refused)
		s.finishIfDone(now, c)
	}
}

// HandleTimeouts handles timeouts: leads awaited for too long, deadlines of answers, failed marks to retry and marks
// that are no longer needed.
func (s *Set) HandleTimeouts(now logic.Micros) {
	for _, c := range slices.Clone(s.active) {
		switch {
		case c.answered:
		case c.Deadline <= now && c.sent:
			s.answer(c, Failed)
			s.finishIfDone(now, c)
		case c.Deadline <= now:
			s.answer(c, Refused)
			s.finishIfDone(now, c)
		case c.leadWaitUntil > 0 && c.leadWaitUntil <= now:
			c.leadWaitUntil = 0
			s.evaluate(now, c)
		}
	}
	if len(s.failedMarks) > 0 && s.markRetryAt <= now {
		for _, n := range s.failedMarks {
			if r, found := s.regions.Get(n); found && !r.marked && (r.numActive > 0 || r.stale != 0) {
				s.persistMark(r, r.lead)
			}
		}
		s.failedMarks = nil
	}
	for len(s.idleRegions) > 0 && s.idleRegions[0].since+markIdleTime <= now {
		n := s.idleRegions[0].index
		s.idleRegions = s.idleRegions[1:]
		r, found := s.regions.Get(n)
		if !found {
			continue
		}
		r.inIdleList = false
		switch {
		case r.numActive > 0 || r.stale != 0: // finishIfDone or Filled adds it again
		case r.persisting:
			s.addIdle(r, now)
		case r.lastChange+markIdleTime > now:
			s.addIdle(r, r.lastChange)
		default:
			s.regions.Delete(n)
			s.Tally.Forgotten++
			s.emit(Output{Kind: DeleteMark, Mark: Mark{Region: n}})
		}
	}
}

// addIdle adds a region to the idle list if it has no changes and no stale copy, with the time since when.
func (s *Set) addIdle(r *region, at logic.Micros) {
	if r.numActive == 0 && r.stale == 0 && !r.inIdleList {
		r.inIdleList = true
		s.idleRegions = append(s.idleRegions, idleRegion{r.index, at})
	}
}

// Next returns the latest time for the next call of HandleTimeouts; 0: no call is needed.
func (s *Set) Next() (at logic.Micros) {
	consider := func(t logic.Micros) {
		if at == 0 || t < at {
			at = max(t, 1)
		}
	}
	for _, c := range s.active {
		if !c.answered {
			consider(c.Deadline)
			if c.leadWaitUntil > 0 {
				consider(c.leadWaitUntil)
			}
		}
	}
	if len(s.failedMarks) > 0 {
		consider(s.markRetryAt)
	}
	if len(s.idleRegions) > 0 {
		consider(s.idleRegions[0].since + markIdleTime)
	}
	return at
}

// evaluate answers a change if its result is settled, and moves leads that do not hold it if others do.
func (s *Set) evaluate(now logic.Micros, c *Change) {
	if c.answered || !c.sent {
		return
	}
	upToDate, leads := allCopies(s.settings.Copies), Mask(0)
	heldByLeads, leadsSettled := true, true
	s.forEachRegion(c.From, c.To, func(_ int64, r *region) {
		upToDate &^= r.stale
		leads |= MaskOf(r.lead)
		heldByLeads = heldByLeads && c.Held.Has(r.lead)
		// While a lead moves, an answered change must be held by both leads: either may lead after a crash.
		leadsSettled = leadsSettled && r.marked && (!r.persisting || c.Held.Has(r.pendingLead))
	})
	enough := (c.Held & upToDate).Len() >= s.settings.Hold
	allEnded := c.Ended == c.Sent
	switch {
	case enough && heldByLeads:
		if leadsSettled {
			s.answer(c, Served)
		}
	case c.Held&upToDate != 0 && (allEnded || enough && (leads&c.Sent&^c.Ended == 0 || c.leadWaitUntil <= now)):
		// The change has ended at the leads without being held there, or they are no longer awaited. The lead also
		// moves if too few copies hold the change: the content of the old lead is unknown then, that of a holding copy
		// is known.
		if !s.moveLead(c, c.Held&upToDate) && allEnded {
			s.answer(c, Failed)
		}
	case !allEnded:
	case c.mayHaveRun|c.Held == 0:
		s.answer(c, Refused)
	default:
		s.answer(c, Failed)
	}
}

// moveLead moves the lead of each region whose lead does not hold the change to one of the copies in to. The new lead
// must also hold all changes that were answered as served and have not ended everywhere, because the old lead may have
// been counted for them. It reports whether a mark of such a region is being written.
func (s *Set) moveLead(c *Change, to Mask) (moving bool) {
	s.forEachRegion(c.From, c.To, func(_ int64, r *region) {
		if c.Held.Has(r.lead) {
			return
		}
		lo, hi := s.regionBounds(r.index)
		eligible := to
		for _, o := range s.active {
			if o.answered && o.Verdict == Served && o.overlaps(lo, hi) {
				eligible &= o.Held
			}
		}
		if eligible != 0 && r.marked {
			s.persistMark(r, eligible.First())
		}
		moving = moving || r.persisting
	})
	return moving
}

func (s *Set) answer(c *Change, v Verdict) {
	if c.answered, c.Verdict = true, v; v == Failed && c.Repeatable {
		c.Verdict = Refused
	}
	s.emit(Output{Kind: Answer, Change: c})
}

// finishIfDone removes a change that is done and records which copies have missed it.
func (s *Set) finishIfDone(now logic.Micros, c *Change) {
	i := slices.Index(s.active, c)
	if !c.Done() || i < 0 {
		return
	}
	s.active = slices.Delete(s.active, i, i+1)
	s.forEachRegion(c.From, c.To, func(_ int64, r *region) {
		r.numActive--
		r.lastChange = now
		defer s.addIdle(r, now)
		if c.mayHaveRun|c.Held == 0 {
			return // it ran at no copy
		}
		r.leadsDiffer = r.leadsDiffer || r.persisting && (!c.Held.Has(r.lead) || !c.Held.Has(r.pendingLead))
		for copy := range s.settings.Copies {
			switch {
			case copy == r.lead || c.Held.Has(copy) && c.Held.Has(r.lead):
			case !c.Sent.Has(copy) && c.seq <= r.fillSeq[copy]: // it had ended at the source before the fill read it
			default:
				s.setStale(r, copy, c.From, c.To)
			}
		}
	})
}

// setStale records that a copy of a region is not certain to hold the same bytes [from, to) as its lead.
func (s *Set) setStale(r *region, copy int, from, to int64) {
	lo, hi := s.regionBounds(r.index)
	from, to = max(from, lo), min(to, hi)
	s.Tally.Missed++
	if r.stale == 0 {
		s.numStaleRegions++
	}
	if !r.stale.Has(copy) {
		r.stale |= MaskOf(copy)
		s.numStaleByCopy[copy]++
		r.missedFrom[copy], r.missedTo[copy] = from, to
		return
	}
	r.missedFrom[copy], r.missedTo[copy] = min(r.missedFrom[copy], from), max(r.missedTo[copy], to)
}

// setUpToDate records that a copy of a region holds the same bytes as its lead.
func (s *Set) setUpToDate(r *region, copy int) {
	if !r.stale.Has(copy) {
		return
	}
	r.stale &^= MaskOf(copy)
	s.numStaleByCopy[copy]--
	if r.stale == 0 {
		s.numStaleRegions--
	}
}

// ---- reads ----

// Readable returns the copies from which the bytes [from, end) may be read; end is at most to. Stale copies are not in
// the set. While a change is in flight only the lead is, because the others may be behind or ahead of what was read
// before.
func (s *Set) Readable(from, to int64) (m Mask, end int64) {
	m, end = allCopies(s.settings.Copies), to
	if s.regions.Len() == 0 {
		return m, end
	}
	first := true
	s.forEachRegion(from, to, func(n int64, r *region) {
		lo, hi := s.regionBounds(n)
		regionCopies := allCopies(s.settings.Copies)
		if r != nil {
			regionCopies &^= r.stale
			for _, c := range s.active {
				if r.numActive > 0 && c.overlaps(max(lo, from), min(hi, to)) {
					regionCopies = MaskOf(r.lead)
				}
			}
		}
		switch common := m & regionCopies; {
		case lo >= end:
		case first || common != 0:
			m = common
		default:
			end = lo
		}
		first = false
	})
	return m, end
}

// CopyState is the state of a copy that is used to choose where a read goes.
type CopyState struct {
	Home         bool
	Ready        bool         // a node that accepts work serves it
	ExpectedTime logic.Micros // expected time to an answer, by the reports of its nodes
}

// chooseCopy chooses the copy in m that a read goes to: a ready one in the home zone if it can answer within the aim,
// else one in another zone that can, or that takes less than half the time; else the one at home. Home is the fastest
// ready copy in the home zone, or -1 if there is none.
func chooseCopy(m Mask, seen []CopyState, aim logic.Micros) (copy, home int) {
	best := func(ok func(x *CopyState) bool) int {
		at := -1
		for i := range seen {
			if x := &seen[i]; m.Has(i) && x.Ready && ok(x) && (at < 0 || x.ExpectedTime < seen[at].ExpectedTime) {
				at = i
			}
		}
		return at
	}
	home = best(func(x *CopyState) bool { return x.Home })
	if home >= 0 && seen[home].ExpectedTime <= aim {
		return home, home
	}
	away := best(func(x *CopyState) bool { return !x.Home })
	switch {
	case away < 0 && home < 0:
		return m.First(), -1 // none is ready; the read is refused there with a retry delay
	case away >= 0 && (home < 0 || seen[away].ExpectedTime <= aim || seen[away].ExpectedTime < seen[home].ExpectedTime/2):
		return away, home
	}
	return home, home
}

// Read is a read that goes to one of the copies.
type Read struct {
	Aim, Deadline logic.Micros
	MaxAttempts   int // maximum number of attempts; 0: no limit

	Copy         int  // copy that it goes to
	CrossesZones bool // bytes cross zones although there is a copy in the home zone
	GiveUpEarly  bool // another copy is left to try: the read is given up early at this one
	tried        Mask
}

// Admitter requests admission of a read at a copy from the budget for bytes between zones; wait is the retry delay of a
// refusal.
type Admitter func(copy int) (wait logic.Micros, ok bool)

// Choose chooses the copy in m that a read goes to. A read that may not cross zones goes to the fastest copy at home.
// If the read is refused, Copy is the copy that it may not go to.
func (r *Read) Choose(m Mask, seen []CopyState, ask Admitter) (wait logic.Micros, ok bool) {
	copy, home := chooseCopy(m, seen, r.Aim)
	wait, ok = ask(copy)
	if !ok && home >= 0 && copy != home {
		copy, ok = home, true
	}
	r.Copy, r.CrossesZones, r.GiveUpEarly = copy, home >= 0 && copy != home, false
	r.tried |= MaskOf(copy)
	for i := range seen {
		r.GiveUpEarly = r.GiveUpEarly || i != copy && (m&^r.tried).Has(i) && seen[i].Ready
	}
	if !ok {
		r.tried |= m // no retry after a refusal
	}
	return wait, ok
}

// Retry reports whether a read that was not served at a copy is retried as the same request, after the given number of
// tries; if so, Copy is the copy to use. A read that was given up early in favour of a copy that it may not go to stays
// at its copy and may be late.
func (r *Read) Retry(now logic.Micros, m Mask, seen []CopyState, tries int, ask Admitter) bool {
	if m &^= r.tried; m == 0 || now >= r.Deadline || r.MaxAttempts > 0 && tries >= r.MaxAttempts {
		return false
	}
	previous := *r
	if _, ok := r.Choose(m, seen, ask); ok && seen[r.Copy].Ready {
		r.CrossesZones = r.CrossesZones || seen[previous.Copy].Home
		return true
	}
	r.Copy, r.CrossesZones, r.GiveUpEarly = previous.Copy, previous.CrossesZones, false
	return previous.GiveUpEarly && seen[previous.Copy].Ready
}

// ---- catching up ----

// Fill is a range of bytes to be copied from the lead, Source, to a stale copy, Target.
type Fill struct {
	From, To int64
	Source   int
	Target   int
	region   int64
}

// Stale returns the number of regions with a stale copy.
func (s *Set) Stale() int { return s.numStaleRegions }

// UpToDate reports whether a copy is up to date in all regions.
func (s *Set) UpToDate(copy int) bool { return s.numStaleByCopy[copy] == 0 }

// Fill returns the next range to catch up between copies that can be reached. If there is none now, wait is the time
// until the next call, or 0 if nothing is stale. From this call on changes are sent to the target too, and the caller
// must order the fill among the changes at both copies.
func (s *Set) Fill(now logic.Micros, ready Mask) (f Fill, ok bool, wait logic.Micros) {
	if s.numStaleRegions == 0 {
		return f, false, 0
	}
	var targets Mask // copies that can be caught up now
	wait = catchUpPollInterval
	for copy := range s.settings.Copies {
		switch remaining := s.catchUpNotBefore[copy] - now; {
		case s.numStaleByCopy[copy] == 0 || !ready.Has(copy):
		case remaining > 0:
			wait = min(wait, remaining)
		default:
			targets |= MaskOf(copy)
		}
	}
	if targets == 0 {
		return f, false, wait
	}
	scanned := 0
	visit := func(n int64, r *region) bool {
		scanned++
		s.nextScan = n + 1
		// A region whose lead is about to move waits: the copy would get the content of the old lead.
		if to := r.stale & targets; to != 0 && r.catchingUp == 0 && ready.Has(r.lead) && r.marked && !r.persisting {
			f, ok = s.startFill(r, to.First()), true
		}
		return !ok && scanned < maxRegionsScanned
	}
	from := s.nextScan
	if s.regions.Ascend(from, visit); !ok && scanned < maxRegionsScanned && from > 0 {
		s.regions.Ascend(0, func(n int64, r *region) bool { return n < from && visit(n, r) })
	}
	if !ok && scanned == maxRegionsScanned {
		wait = scanPause // there are regions that were not scanned
	}
	return f, ok, wait
}

func (s *Set) startFill(r *region, copy int) Fill {
	from, to := r.missedFrom[copy], r.missedTo[copy]
	lo, hi := s.regionBounds(r.index)
	for _, c := range s.active {
		switch {
		case !c.overlaps(lo, hi) || c.Sent.Has(copy):
		case c.sent: // in flight to the source, where it ends before the fill reads it
			from, to = min(from, max(c.From, lo)), max(to, min(c.To, hi))
		case !c.answered:
			c.Sent |= MaskOf(copy)
		}
	}
	r.fillSeq[copy] = s.seq
	r.catchingUp |= MaskOf(copy)
	r.missedFrom[copy], r.missedTo[copy] = hi, lo // empty range: records only what is missed from here on
	return Fill{From: from, To: to, Source: r.lead, Target: copy, region: r.index}
}

// Filled reports the end of a fill: done if the target certainly holds what the source held. RetryDelay is the one that
// a refusal named, 0 if none.
func (s *Set) Filled(now logic.Micros, f Fill, done bool, retryDelay logic.Micros) {
	r, found := s.regions.Get(f.region)
	if !found || !r.catchingUp.Has(f.Target) {
		return
	}
	r.catchingUp &^= MaskOf(f.Target)
	if !done || r.lead != f.Source || r.persisting && r.pendingLead != f.Source {
		// The whole region: changes in flight to the source were not sent to the target because of the fill.
		r.missedFrom[f.Target], r.missedTo[f.Target] = s.regionBounds(r.index)
		if retryDelay == 0 {
			s.catchUpBackoff[f.Target] = min(max(2*s.catchUpBackoff[f.Target], minCatchUpBackoff), maxCatchUpBackoff)
			retryDelay = s.catchUpBackoff[f.Target]
		}
		s.catchUpNotBefore[f.Target] = now + min(retryDelay, maxCatchUpBackoff)
		return
	}
	s.catchUpBackoff[f.Target] = 0
	s.Tally.Caught++
	s.Tally.CaughtBytes += uint64(f.To - f.From)
	if r.missedFrom[f.Target] < r.missedTo[f.Target] {
		return // the copy missed a change during the fill
	}
	s.setUpToDate(r, f.Target)
	r.lastChange = now
	s.addIdle(r, now)
}

// Idle reports whether the set holds no state: all copies are up to date and there is nothing to do.
func (s *Set) Idle() bool { return s.regions.Len() == 0 && len(s.active) == 0 && len(s.outputs) == 0 }
