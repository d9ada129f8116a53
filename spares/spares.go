// Package spares decides on the connections to targets that carry one request at a time: which idle one takes the
// next, which are closed and when, and which gives way when there are too many. It has no clock, goroutine or I/O.
package spares

import (
	"math"
	"math/bits"

	"appleplank/logic"
)

const (
	ms logic.Micros = 1000

	// A target closes what was idle for the settings' time, and what is written then is lost: ours are closed at
	// idlePart of it. Harm: a target asked so seldom costs a new connection.
	idlePart = 0.75
	// settle is how long a connection rests after an answer before it takes the next request: what a target sends
	// beyond its answer comes right behind it, a second answer some milliseconds later, as the operators say. Nothing
	// tells it from the answer to a request that was written meanwhile. Harm: a new connection for who asks again sooner.
	settle = 20 * ms

	// Some targets, or what stands before them, drop connections long before the settings' time and say so only to
	// the next request. What became of requests on kept connections is remembered by how long those had been idle;
	// connections of an age at which more than lostPart were lost, of lostLeast at least, are not used. Such news
	// counts half after newsHalf, so that an age is tried again. Found by a trace: of those idle for 0.2 to 0.5 s 40%
	// were reset, of younger ones 9%, as of new ones. Harm: new connections where kept ones would have done.
	lostPart  = 0.2
	lostLeast = 3.0
	newsHalf  = 10 * 1000 * ms
	ages      = 16 // the last for all of 16 s and more
)

// Line is a connection.
type Line struct {
	Owner any
	node  logic.NodeID
	since logic.Micros
	idle  bool
	gone  bool
	age   int // class of how long it had been idle when it was last used, plus one; 0: it is new
}

// fate is what became of requests on connections that had been idle for about as long; the sums fade.
type fate struct {
	lost, all float64
	at        logic.Micros
}

// age is the class of a time: doublings from a millisecond on.
func age(idle logic.Micros) int { return min(bits.Len64(uint64(max(idle, 0)/ms)), ages-1) }

// Set holds the connections of one initiator to its targets.
type Set struct {
	most  int
	room  int // bytes for long answers
	held  int
	idle  logic.Micros
	open  int
	nodes map[logic.NodeID][]*Line // idle, the longest first
	fates [ages]fate               // by the age at which a connection was used
	Tally Tally
}

// Tally counts what was decided.
type Tally struct {
	Opened, Used, Aged, Displaced, Turned, NoRoom uint64
	Most                                          int
}

// New makes a set for so many connections at most, whose long answers may hold so many bytes together; targets close
// what was idle for the given time.
func New(most, room int, idle logic.Micros) *Set {
	return &Set{most: most, room: room, idle: logic.Micros(float64(idle) * idlePart), nodes: map[logic.NodeID][]*Line{}}
}

// Open tells how many connections there are, and how many of them are idle.
func (s *Set) Open() (open, idle int) {
	for _, l := range s.nodes {
		idle += len(l)
	}
	return s.open, idle
}

// Pick takes the idle connection for a node's next request: of those that have settled the one used last, as the
// others age out; nil: a new one is needed.
func (s *Set) Pick(now logic.Micros, node logic.NodeID) *Line {
	list := s.nodes[node]
	for i := len(list) - 1; i >= 0; i-- {
		if x := list[i]; now-x.since >= settle && now-x.since < s.idle && s.lasts(now, age(now-x.since)) {
			s.take(x)
			x.age = 1 + age(now-x.since)
			s.Tally.Used++
			return x
		}
	}
	return nil
}

// Ended says whether the request that a connection took last was lost with it.
func (s *Set) Ended(now logic.Micros, l *Line, lost bool) {
	if l.age == 0 {
		return
	}
	f := &s.fates[l.age-1]
	f.fade(now)
	f.all++
	if lost {
		f.lost++
	}
	l.age = 0
}

func (f *fate) fade(now logic.Micros) {
	part := math.Exp2(-float64(now-f.at) / float64(newsHalf))
	f.lost, f.all, f.at = f.lost*part, f.all*part, now
}

// lasts tells whether connections that were idle for so long are used.
func (s *Set) lasts(now logic.Micros, age int) bool {
	f := s.fates[age]
	f.fade(now)
	return f.lost < lostLeast || f.lost <= lostPart*f.all
}

// Dial asks for room for a new connection: where there is none the connection idle for longest is out, to be closed;
// ok is false where none is idle.
func (s *Set) Dial() (out *Line, ok bool) {
	if s.open >= s.most {
		for _, list := range s.nodes {
			if len(list) > 0 && (out == nil || list[0].since < out.since || list[0].since == out.since && list[0].node < out.node) {
				out = list[0]
			}
		}
		if out == nil {
			s.Tally.Turned++
			return nil, false
		}
		s.Tally.Displaced++
		s.Gone(out)
	}
	s.open++
	s.Tally.Opened++
	s.Tally.Most = max(s.Tally.Most, s.open)
	return out, true
}

// Idle says that a connection has nothing out.
func (s *Set) Idle(now logic.Micros, node logic.NodeID, l *Line) {
	l.node, l.since, l.idle = node, now, true
	s.nodes[node] = append(s.nodes[node], l)
}

// Gone says that a connection is closed or will be; it counts once. Who closed one that was displaced or overdue said
// so again, and the number of open ones fell below zero, so that their bound never held.
func (s *Set) Gone(l *Line) {
	if l.gone {
		return
	}
	l.gone = true
	if l.idle {
		s.take(l)
	}
	s.open--
}

// Overdue gives the next connection that was idle for too long, taken out; nil: there is none.
func (s *Set) Overdue(now logic.Micros) (out *Line) {
	for _, list := range s.nodes {
		if l := list[0]; now-l.since >= s.idle && (out == nil || l.node < out.node) {
			out = l
		}
	}
	if out != nil {
		s.Tally.Aged++
		s.Gone(out)
	}
	return out
}

// Hold takes room for an answer of more than a few KiB; false: all together would hold more than their part of the
// memory. Harm: a target that claims such lengths and sends nothing holds the room until its attempts time out.
func (s *Set) Hold(bytes int) bool {
	if s.held+bytes > s.room {
		s.Tally.NoRoom++
		return false
	}
	s.held += bytes
	return true
}

// Free gives room back.
func (s *Set) Free(bytes int) { s.held -= bytes }

func (s *Set) take(l *Line) {
	l.idle = false
	list := s.nodes[l.node]
	for i, x := range list {
		if x == l {
			list = append(list[:i], list[i+1:]...)
			break
		}
	}
	if len(list) == 0 {
		delete(s.nodes, l.node)
	} else {
		s.nodes[l.node] = list
	}
}
