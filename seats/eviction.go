package seats

import "appleplank/logic"

const (
	// When seats are short, a connection counts as silent only after unreadGrace, and a request as stalled: more of it may
	// have arrived and not been read yet.
	unreadGrace = 250 * ms
	// arrivalGrace is the time within which a request follows its connection where the network is fast.
	arrivalGrace = 5 * ms
)

// candidates is a group of connections that make room for a new one, once they have been in their state, or without
// progress, for minAge.
type candidates struct {
	states []State
	order  evictionOrder
	minAge logic.Micros
}

// evictionOrder tells which of the candidates goes first.
type evictionOrder uint8

const (
	oldestFirst  evictionOrder = iota // the one longest in its state
	stalledFirst                      // the one of which nothing was read for longest
)

var (
	unused  = []State{Silent, Checked}
	reading = []State{ReadingFirst, ReadingNext}
)

// evictionPlan lists which connections make room for a new one: of those that carry no request the ones that are about to
// end, then the ones that have never carried one; those whose request does not go on; idle ones; and so on with shorter ages.
var evictionPlan = [...]candidates{
	{[]State{Lingering}, oldestFirst, 0},
	{unused, oldestFirst, unreadGrace},
	{reading, stalledFirst, unreadGrace},
	{[]State{Idle}, oldestFirst, minIdle},
	{unused, oldestFirst, arrivalGrace},
	{[]State{ReadingFirst}, stalledFirst, arrivalGrace},
	{[]State{Idle}, oldestFirst, unreadGrace},
	{unused, oldestFirst, 0},
	{[]State{ReadingFirst}, stalledFirst, 0},
	{[]State{ReadingNext}, stalledFirst, 0},
}

// Accept admits a new connection. If no seat is free it evicts one, in the order of evictionPlan, last one whose client has
// not read its answer in its time, or names one that is too long. The caller must close it, and refuse the request that is
// being read on it. If every other connection is in service, the new one is rejected and s is nil.
func (t *Table) Accept(now logic.Micros, owner any) (s, evicted *Seat) {
	if t.Taken() >= t.limits.Seats {
		if evicted = t.pickEvicted(now); evicted == nil {
			t.Tally.Turned++
			return nil, nil
		}
		t.Tally.Displaced++
		if evicted.Reading() {
			t.Tally.Interrupted++
		}
		t.Release(evicted)
	}
	s = &Seat{Owner: owner, stateSince: now, timedFrom: now}
	t.push(s)
	t.Tally.Taken++
	t.Tally.Most = max(t.Tally.Most, t.Taken())
	return s, evicted
}

// Reading reports whether the connection carries a request that is not admitted yet. It remains valid when the seat is
// released.
func (s *Seat) Reading() bool {
	return s.state == ReadingFirst || s.state == ReadingNext || s.state == Complete
}

// pickEvicted returns the connection that makes room for a new one, or nil.
func (t *Table) pickEvicted(now logic.Micros) *Seat {
	for _, c := range evictionPlan {
		if s, since := t.first(c); s != nil && now-since >= c.minAge {
			return s
		}
	}
	return t.dispensableAnswer(now)
}

// first returns the candidate that goes first, or nil, and since when it has been in its state or without progress.
func (t *Table) first(c candidates) (first *Seat, since logic.Micros) {
	for _, state := range c.states {
		for s := t.lists[state].first; s != nil; s = s.next {
			at := s.stateSince
			if c.order == stalledFirst {
				at = s.memory.progressAt
			}
			if first == nil || at < since {
				first, since = s, at
			}
			if c.order == oldestFirst {
				break // a list is ordered by the time of entering the state
			}
		}
	}
	return first, since
}

// dispensableAnswer returns the connection whose answer is cut off because its seat is needed, or nil.
func (t *Table) dispensableAnswer(now logic.Micros) *Seat {
	for s := t.lists[Sending].first; s != nil; s = s.next {
		if t.makesRoom(now, s) || now >= s.sendDeadline() {
			return s
		}
	}
	return nil
}
