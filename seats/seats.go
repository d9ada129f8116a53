// Package seats decides on the connections of a front's clients: which are taken, which are closed when there are
// too many or they take too long, how much their bodies may hold together, and how soon a client that comes back at
// once is listened to again. It has no clock, goroutine or I/O.
//
// It guards against crowds that say nothing, heads that never end, and clients that repeat what was refused without
// a pause; it could harm a client that needs seconds between connecting and asking.
package seats

import "appleplank/logic"

const (
	ms, sec logic.Micros = 1000, 1000 * 1000

	// A client's first request must be whole speakBy after it connected, each further one readBy after its first
	// byte: what is owed in 3 s has room for a late look.
	speakBy = 2500 * ms
	readBy  = 2500 * ms
	// An idle connection that has asked before is kept for idleMost, and for idleLeast where more than crowded of
	// the seats are taken: a client that finds it closed asks again on a new one. Clients that ask once and stay for
	// good would else use up the connections that their platform grants to all clients together, long before the
	// seats are gone: found on the long day, where a fifth of all requests had no connection left.
	idleMost, idleLeast = 10 * sec, 2050 * ms
	crowded             = 0.25
	// Where more than scarce of the seats are taken, a connection ends with the answer to its first request: who asks
	// once and stays holds none of those that all clients share. Found on the long day's rush, where closing idle ones
	// after idleLeast still left 6% of the requests without one. Harm: a new connection for who would have asked again.
	scarce = 0.4
	// Where seats are short, a connection is not taken for speechless before unread: its request may be there and
	// not be read yet.
	unread = 250 * ms
	// While the process ends, a connection that has asked once is not counted on for further requests from staysAfter
	// on, and spare ones are left over, at least and as a part of all: where no connection is free a client has nowhere
	// to go, and all clients of this process stop asking until it is back. Found by an incident: in four of eight ends
	// no request came for the last 2 to 3 s, with 11 to 190 connections idle, many of them of who had asked once; each
	// time since a moment when few or none were. Harm: held requests are given up that might have been served.
	staysAfter          = 1 * sec
	spareLeast, spareOf = 3, 6
	// An answer must have been taken takeBy after it left: who reads more slowly is cut.
	takeBy = 2 * sec
	// After an answer that ends a connection the client has lingerFor to read it.
	lingerFor = 200 * ms
	// A request that is the same as one refused less than atOnce before on its connection comes back at once: after
	// its answer the connection is not listened to for a pause, doubling with each from firstRest to mostRest.
	atOnce              = 20 * ms
	firstRest, mostRest = 20 * ms, 640 * ms
)

// State is what a client's connection is at.
type State uint8

const (
	Silent    State = iota // has sent nothing yet
	Speaking               // in the middle of its first request
	Resuming               // in the middle of a further one
	Idle                   // has been answered
	Open                   // a request is held
	Sending                // is slow to take its answer
	Lingering              // told that it ends
	states
)

// Seat is a connection's place.
type Seat struct {
	Owner      any
	state      State
	since      logic.Micros
	came       logic.Micros
	prev, next *Seat
	body       int
	asked      int // requests that were taken on it

	refused logic.Micros // when it was listened to again after the last refusal; 0: there was none
	what    uint64       // what was refused
	rest    logic.Micros // pause after the answer to the request at hand
	rests   int
}

// Limits bounds a table.
type Limits struct {
	Seats  int
	Open   int // requests taken at once; 0: as many as there are seats
	Held   int // requests that should be held at once; 0: as many as are taken
	Bodies int // bytes that bodies may hold together
}

// Table holds the seats.
type Table struct {
	limits Limits
	held   int // of Bodies
	ending bool
	lists  [states]list
	Tally  Tally
}

// Tally counts what was decided.
type Tally struct {
	Taken, Turned, Displaced, Overdue, Rested uint64
	Most                                      int // seats taken at once
}

type list struct {
	first, last *Seat
	n           int
}

// New makes a table.
func New(l Limits) *Table { return &Table{limits: l} }

// Ending says that no new connections will come: idle ones are kept from then on, as their clients cannot get others.
// Found by an incident: clients whose connections ended as usual had nowhere to go until the process was back.
func (t *Table) Ending() { t.ending = true }

// Room tells how many requests should be held at once; 0: there is no bound.
func (t *Table) Room(now logic.Micros) int {
	if !t.ending {
		return t.limits.Held
	}
	n := t.lists[Open].n + t.lists[Resuming].n + t.lists[Sending].n
	for s := t.lists[Idle].first; s != nil; s = s.next {
		if s.asked > 1 || now-s.since < staysAfter {
			n++
		}
	}
	room := max(n-max(n/spareOf, spareLeast), 1)
	if t.limits.Held > 0 {
		room = min(room, t.limits.Held)
	}
	return room
}

// Taken tells how many seats are.
func (t *Table) Taken() (n int) {
	for i := range t.lists {
		n += t.lists[i].n
	}
	return n
}

// beyond tells whether more than a part of the seats is taken.
func (t *Table) beyond(part float64) bool { return float64(t.Taken()) > part*float64(t.limits.Seats) }

// Take gives a new connection a seat. Where none is free the one that loses its own is out, to be closed: first who
// has said nothing for longest, then who is longest in the middle of a first request, then who is idle for longest;
// those that came or were served a moment ago only after all others. Where all others are in service the new one is
// turned away (nil).
func (t *Table) Take(now logic.Micros, owner any) (s, out *Seat) {
	if t.Taken() >= t.limits.Seats {
		for i, st := range [...]State{Lingering, Silent, Speaking, Idle, Silent, Speaking, Idle} {
			least := [states]logic.Micros{Silent: unread, Speaking: unread, Idle: idleLeast}[st]
			if i > 3 {
				least = 0
			}
			if out = t.lists[st].first; out != nil && now-out.since >= least {
				break
			}
			out = nil
		}
		if out == nil {
			t.Tally.Turned++
			return nil, nil
		}
		t.Tally.Displaced++
		t.Leave(out)
	}
	s = &Seat{Owner: owner, since: now, came: now}
	t.push(s)
	t.Tally.Taken++
	t.Tally.Most = max(t.Tally.Most, t.Taken())
	return s, out
}

// Move says that a connection is at something else now. What is idle holds no body, and what was told that it ends
// comes to nothing else.
func (t *Table) Move(now logic.Micros, s *Seat, to State) {
	if s.state == to && to != Idle || s.Over() {
		return
	}
	t.pull(s)
	s.state, s.since = to, now
	t.push(s)
	switch to {
	case Open:
		s.asked++
	case Idle:
		t.Free(s)
	}
}

// Last tells whether a connection ends with the answer to the request that it has open.
func (t *Table) Last(s *Seat) bool {
	return !t.ending && s.asked <= 1 && t.beyond(scarce)
}

// State is what the connection is at.
func (s *Seat) State() State { return s.state }

// Leave frees a seat and what its body holds; it does so once.
func (t *Table) Leave(s *Seat) {
	t.Free(s)
	if s.Gone() {
		return
	}
	t.pull(s)
	s.since = -1
}

// Gone tells whether the seat was freed.
func (s *Seat) Gone() bool { return s.since < 0 }

// Over tells whether nothing that comes on the connection is taken any more.
func (s *Seat) Over() bool { return s.Gone() || s.state == Lingering }

// Hold takes room for a body; false: there is none, and the request must be refused.
func (t *Table) Hold(s *Seat, bytes int) bool {
	if s.Over() || t.held+bytes > t.limits.Bodies {
		return false
	}
	s.body += bytes
	t.held += bytes
	return true
}

// Free gives the room of a seat's body back.
func (t *Table) Free(s *Seat) {
	t.held -= s.body
	s.body = 0
}

// Overdue gives the next connection that has taken too long, nil where there is none. It must be closed, or moved to
// Lingering.
func (t *Table) Overdue(now logic.Micros) *Seat {
	idle := idleMost
	if t.ending {
		idle = 0
	} else if t.beyond(crowded) {
		idle = idleLeast
	}
	for st, most := range [...]logic.Micros{Silent: speakBy, Resuming: readBy, Idle: idle, Sending: takeBy, Lingering: lingerFor} {
		if s := t.lists[st].first; s != nil && most > 0 && now-s.since >= most {
			if State(st) != Lingering {
				t.Tally.Overdue++
			}
			return s
		}
	}
	for s := t.lists[Speaking].first; s != nil; s = s.next { // in order of their first bytes, not of their coming
		if now-s.came >= speakBy {
			t.Tally.Overdue++
			return s
		}
	}
	return nil
}

// Refused notes that a request was refused; what tells it from others.
func (t *Table) Refused(now logic.Micros, s *Seat, what uint64) { s.refused, s.what = now+s.rest, what }

// Ask is asked when a request has come whole: whether it is taken, and for how long its connection is not listened to
// after the answer.
func (t *Table) Ask(now logic.Micros, s *Seat, what uint64) (rest logic.Micros, taken bool) {
	if s.Over() || t.limits.Open > 0 && t.lists[Open].n >= t.limits.Open {
		return 0, false
	}
	rest = t.rest(now, s, what)
	t.Move(now, s, Open)
	return rest, true
}

func (t *Table) rest(now logic.Micros, s *Seat, what uint64) (rest logic.Micros) {
	if s.refused == 0 || s.what != what || now-s.refused > atOnce {
		s.rest, s.rests = 0, 0
		return 0
	}
	s.rest = min(firstRest<<min(s.rests, 10), mostRest)
	if t.ending {
		s.rest = firstRest // a request that is not read by the end is lost
	}
	s.rests++
	t.Tally.Rested++
	return s.rest
}

func (t *Table) push(s *Seat) {
	l := &t.lists[s.state]
	l.n++
	s.prev, s.next = l.last, nil
	if l.last != nil {
		l.last.next = s
	} else {
		l.first = s
	}
	l.last = s
}

func (t *Table) pull(s *Seat) {
	l := &t.lists[s.state]
	l.n--
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

// All gives every seat that is taken.
func (t *Table) All() (out []*Seat) {
	for i := range t.lists {
		for s := t.lists[i].first; s != nil; s = s.next {
			out = append(out, s)
		}
	}
	return out
}

// Busy tells how many connections are in the middle of a request or its answer.
func (t *Table) Busy() int {
	return t.lists[Speaking].n + t.lists[Resuming].n + t.lists[Open].n + t.lists[Sending].n
}
