// Package seats controls the client connections of a front: which are admitted, which are closed because there are too
// many or because they are too slow, how much memory their bodies and answers may occupy together, and how long a request waits that
// repeats a refused one at once. It has no clock, goroutine or I/O.
//
// It guards against crowds of silent connections, request heads that never end, and clients that repeat a refused
// request without a pause. Harm: a client that needs seconds between connecting and sending its request is closed.
package seats

import "appleplank/logic"

const (
	ms, sec logic.Micros = 1000, 1000 * 1000

	// A client's first request must be complete within firstRequestTimeout of connecting, each further one within
	// nextRequestTimeout of its first byte. The limit that must be met is 3 s; the difference covers a late check.
	firstRequestTimeout = 2500 * ms
	nextRequestTimeout  = 2500 * ms
	// An idle connection that has carried a request is kept for maxIdle, and for minIdle while more than crowdedShare
	// of the seats are taken by such connections; a client that finds it closed retries on a new one. Otherwise clients that send one
	// request and keep the connection use up the connections that the platform grants to all clients together, long
	// before the seats run out.
	maxIdle, minIdle = 10 * sec, 2050 * ms
	crowdedShare     = 0.25
	// While they take more than scarceShare of the seats, a connection is closed after the answer to its first request,
	// so that clients that send one request and stay hold no connection that all clients share. Harm: a client that
	// would have sent more requests needs a new connection.
	scarceShare = 0.4
	// During shutdown a connection that has carried only one request and has been idle for onceUsedIdleLimit is not
	// expected to carry more. Of the other connections a reserve stays free of held requests: one in reserveDivisor, at
	// least minReserve. When no connection is free, clients have nowhere to send to, and all clients of this process
	// stop sending until it is back. Harm: held requests are refused that might have been served.
	onceUsedIdleLimit          = 1 * sec
	minReserve, reserveDivisor = 3, 6
	// A client that is slow to read its answer is disconnected answerGrace after the time for which it waits, for which a
	// final answer still counts, but not before sendTimeout.
	sendTimeout, answerGrace = 2 * sec, 550 * ms
	// After an answer that closes the connection, the client has lingerTimeout to read it.
	lingerTimeout = 200 * ms
)

// State is the phase a client connection is in.
type State uint8

const (
	Silent       State = iota // no byte received yet
	Checked                   // has carried health checks only, the last one answered
	ReadingFirst              // receiving its first request
	ReadingNext               // receiving a further request
	Complete                  // its request is complete and waits until earlier ones were passed on
	Idle                      // last request answered
	Serving                   // a request is held
	Sending                   // the client is slow to read its answer
	Lingering                 // the client was told that the connection closes
	numStates
)

// Seat is the entry of one connection in a Table.
type Seat struct {
	Owner      any
	state      State
	stateSince logic.Micros
	timedFrom  logic.Micros // from when the time of its first request counts
	prev, next *Seat
	memory     reservation
	requests   int          // requests admitted on it
	admittedAt logic.Micros // of its last request
	waitsUntil logic.Micros // how long the client waits for the answer to that
	peerRoom   int          // bytes that its system takes while the client reads nothing
	repeats    repeats
}

// Limits bounds a Table.
type Limits struct {
	Seats  int
	Open   int // requests admitted at once; 0: no limit but the seats
	Held   int // target for the requests held at once; 0: no limit but those admitted
	Bodies int // bytes that the buffers of all requests may occupy together, but for those of a KiB
	Unsent int // bytes that all answers may occupy together while they are sent
	// Transit is how many bytes more they may occupy of answers that the clients' systems take, whether they are read or not.
	Transit int
	// LongestAnswer is the length of the longest answer, in bytes; 0: unknown.
	LongestAnswer int
	// LongestWait is the longest time for which a client is taken to wait. Where room is needed, a client that names a longer
	// one loses an answer that it leaves unread; 0: no limit.
	LongestWait logic.Micros
}

// Table tracks the connections of one front.
type Table struct {
	limits         Limits
	bodyBytes      int // sum over all connections, at most Limits.Bodies
	arrivingBytes  int // sum over all connections
	returningBytes int // those of arrivingBytes whose owners were told to drop their buffers
	unsentBytes    int // sum over all connections, at most Limits.Unsent and Limits.Transit together
	cutBytes       int // sum over all connections whose answers were cut off, at most cutShare of Limits.Unsent
	shuttingDown   bool
	lists          [numStates]list
	Tally          Tally
}

// Tally counts the decisions of a Table.
type Tally struct {
	Taken, Turned, Displaced, Overdue, Postponed uint64
	Evicted                                      uint64 // requests and answers that gave up their memory
	Interrupted                                  uint64 // displaced while a request was being read
	Newcomers                                    uint64 // first requests that were refused for the unread answers of others
	NoBody                                       uint64 // times that there was no memory for a request, and none to be had
	Most                                         int    // maximum number of seats taken at once
	MostBody, MostUnsent                         int    // bytes at once
}

type list struct {
	first, last *Seat
	length      int
}

// New returns an empty table.
func New(l Limits) *Table { return &Table{limits: l} }

// BeginShutdown starts the shutdown: no new connections arrive from now on, so idle ones are kept. Clients whose
// connections were closed as usual during a shutdown had nowhere to send to until the process was back.
func (t *Table) BeginShutdown() { t.shuttingDown = true }

// MaxHeld returns how many requests should be held at once; 0: no limit.
func (t *Table) MaxHeld(now logic.Micros) int {
	if !t.shuttingDown {
		return t.limits.Held
	}
	usable := t.lists[Serving].length + t.lists[Complete].length + t.lists[ReadingNext].length + t.lists[Sending].length
	for s := t.lists[Idle].first; s != nil; s = s.next {
		if s.requests > 1 || now-s.stateSince < onceUsedIdleLimit {
			usable++
		}
	}
	quota := max(usable-max(usable/reserveDivisor, minReserve), 1)
	if t.limits.Held > 0 {
		quota = min(quota, t.limits.Held)
	}
	return quota
}

// Taken returns the number of seats in use.
func (t *Table) Taken() (n int) {
	for i := range t.lists {
		n += t.lists[i].length
	}
	return n
}

// fuller reports whether more than the given share of the seats is taken by connections that have carried a request.
// The others make room at once.
func (t *Table) fuller(share float64) bool {
	established := t.Taken() - t.lists[Silent].length - t.lists[Checked].length - t.lists[ReadingFirst].length - t.lists[Lingering].length
	return float64(established) > share*float64(t.limits.Seats)
}

// SetState changes the state of a connection. One that is lingering or released keeps its state. A request that is not read
// on returns its memory soon, with FreeBody.
func (t *Table) SetState(now logic.Micros, s *Seat, to State) {
	if s.state == to && to != Idle && to != Checked || s.Closing() {
		return
	}
	if s.state == Checked {
		s.timedFrom = now
	}
	t.remove(s)
	s.state, s.stateSince = to, now
	t.push(s)
	t.Progress(now, s)
	switch to {
	case Complete:
		t.bodyArrived(s)
	case Serving:
		s.requests++
		t.bodyArrived(s)
	case Lingering:
		t.awaitBody(s)
	}
}

// HealthAnswered notes that a health check was answered on a connection.
func (t *Table) HealthAnswered(now logic.Micros, s *Seat) {
	if s.requests == 0 {
		t.SetState(now, s, Checked)
	} else {
		t.SetState(now, s, Idle)
	}
}

// DataRead notes that data was read on a connection.
func (t *Table) DataRead(now logic.Micros, s *Seat) {
	t.Progress(now, s)
	switch s.state {
	case Silent, Checked:
		t.SetState(now, s, ReadingFirst)
	case Idle:
		t.SetState(now, s, ReadingNext)
	}
}

// ClosesAfterAnswer reports whether a connection is to be closed after the answer to its current request.
func (t *Table) ClosesAfterAnswer(s *Seat) bool {
	return !t.shuttingDown && s.requests <= 1 && t.fuller(scarceShare)
}

// State returns the current state of the connection.
func (s *Seat) State() State { return s.state }

// First reports whether the connection has carried no request yet.
func (s *Seat) First() bool { return s.requests == 0 }

// Since returns when the connection entered its current state.
func (s *Seat) Since() logic.Micros { return s.stateSince }

// Release frees a seat. Its memory is returned with FreeBody and KeepAnswer, when its buffers are dropped. Further calls have
// no effect on the seat.
func (t *Table) Release(s *Seat) {
	if s.Released() {
		return
	}
	t.awaitBody(s)
	if t.cutFits(s) {
		t.awaitAnswer(s)
	}
	t.remove(s)
	s.stateSince = -1
}

// Released reports whether the seat was freed.
func (s *Seat) Released() bool { return s.stateSince < 0 }

// Closing reports whether input on the connection is ignored because the seat is freed or lingering.
func (s *Seat) Closing() bool { return s.Released() || s.state == Lingering }

// Overdue returns the next connection that has exceeded its time limit, or nil. The caller must close it or move it to
// Lingering.
func (t *Table) Overdue(now logic.Micros) *Seat {
	maxIdleNow := maxIdle
	if t.shuttingDown {
		maxIdleNow = 0
	} else if t.fuller(crowdedShare) {
		maxIdleNow = minIdle
	}
	for st, timeout := range [...]logic.Micros{Silent: firstRequestTimeout, Checked: maxIdleNow, ReadingNext: nextRequestTimeout, Idle: maxIdleNow, Lingering: lingerTimeout} {
		if s := t.lists[st].first; s != nil && timeout > 0 && now-s.stateSince >= timeout {
			if State(st) != Lingering {
				t.Tally.Overdue++
			}
			return s
		}
	}
	for s := t.lists[ReadingFirst].first; s != nil; s = s.next { // ordered by first byte, not by time of connecting
		if now-s.timedFrom >= firstRequestTimeout {
			t.Tally.Overdue++
			return s
		}
	}
	for s := t.lists[Sending].first; s != nil; s = s.next {
		if now >= s.sendDeadline() {
			t.Tally.Overdue++
			return s
		}
	}
	return nil
}

// sendDeadline returns when the client must have read its answer.
func (s *Seat) sendDeadline() logic.Micros {
	return max(s.stateSince+sendTimeout, s.waitsUntil+answerGrace)
}

// Admit decides whether a complete request is admitted. Nothing is to be decided on it before notBefore, unless that is
// 0; timeout is the time for which its client waits.
func (t *Table) Admit(now logic.Micros, s *Seat, key uint64, timeout logic.Micros) (notBefore logic.Micros, admitted bool) {
	if s.Closing() || t.limits.Open > 0 && t.lists[Serving].length >= t.limits.Open {
		return 0, false
	}
	if s.First() && t.refusesNewcomers(s) {
		t.Tally.Newcomers++
		return 0, false
	}
	notBefore = t.postponement(now, s, key, timeout)
	s.admittedAt, s.waitsUntil = now, now+timeout
	t.SetState(now, s, Serving)
	return notBefore, true
}

func (t *Table) push(s *Seat) {
	l := &t.lists[s.state]
	l.length++
	s.prev, s.next = l.last, nil
	if l.last != nil {
		l.last.next = s
	} else {
		l.first = s
	}
	l.last = s
}

func (t *Table) remove(s *Seat) {
	l := &t.lists[s.state]
	l.length--
	if s.prev != nil {
		s.prev.next = s.next
	} else {
		l.first = s.next
	}
	if s.next != nil {
		s.next.prev = s.prev
	} else {
		l.last = s.prev
	}
	s.prev, s.next = nil, nil
}

// All returns every seat in use.
func (t *Table) All() (out []*Seat) {
	for i := range t.lists {
		for s := t.lists[i].first; s != nil; s = s.next {
			out = append(out, s)
		}
	}
	return out
}

// Held returns the number of connections whose request is complete and not answered.
func (t *Table) Held() int { return t.lists[Complete].length + t.lists[Serving].length }

// Reading returns the number of connections on which a request is being read.
func (t *Table) Reading() int { return t.lists[ReadingFirst].length + t.lists[ReadingNext].length }

// Busy returns the number of connections on which a request is being read, served or answered.
func (t *Table) Busy() int { return t.Held() + t.Reading() + t.lists[Sending].length }
