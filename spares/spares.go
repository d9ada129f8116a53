// Package spares manages the connections to targets that carry one request at a time: which idle one carries the next
// request, which are closed and when, and which is evicted when there are too many. It has no clock, goroutine or I/O.
package spares

import (
	"math"
	"math/bits"

	"appleplank/bounds"
	"appleplank/logic"
)

const (
	ms logic.Micros = 1000

	// A target closes a connection that was idle for the configured time, and what is written to it then is lost: the
	// initiator closes idle connections at usableIdleShare of that time. Harm: a target that is used so seldom needs a
	// new connection.
	usableIdleShare = 0.75
	// settleTime is how long a connection stays unused after an answer. Anything a target sends beyond its answer
	// follows right behind it, a second answer some milliseconds later, according to the operators. It cannot be told
	// from the answer to a request that was written in the meantime. Harm: a request that comes sooner needs a new
	// connection.
	settleTime = 20 * ms

	// Some targets, or the devices in front of them, drop connections long before the configured time and show it only
	// to the next request. The pool therefore records the outcomes of requests on reused connections by how long these
	// had been idle; connections of an age class with more than maxLossShare losses, and at least minLosses, are not
	// used. Records lose half of their weight within lossHalfLife, so that an age class is tried again. In a trace 40%
	// of the connections idle for 0.2 to 0.5 s were reset, and 9% of younger ones, as of new ones. Harm: new
	// connections where reused ones would have worked.
	maxLossShare = 0.2
	minLosses    = 3.0
	lossHalfLife = 10 * 1000 * ms
	ageClasses   = 16 // the last class covers 16 s and more
)

// Conn is a connection to a target.
type Conn struct {
	Owner        any
	node         logic.NodeID
	idleSince    logic.Micros
	idle         bool
	closed       bool
	usedAgeClass int // age class at its last use, plus one; 0: it is new
}

// lossRecord counts requests on reused connections of one age class, and those lost; older ones weigh less.
type lossRecord struct {
	lost, total float64
	updatedAt   logic.Micros
}

// ageClass returns the class of an idle time; the classes double from 1 ms on.
func ageClass(d logic.Micros) int { return min(bits.Len64(uint64(max(d, 0)/ms)), ageClasses-1) }

// Pool holds the connections of one initiator to its targets.
type Pool struct {
	maxOpen   int
	answers   *bounds.Pool
	maxIdle   logic.Micros
	open      int
	idleConns map[logic.NodeID][]*Conn // longest idle first
	losses    [ageClasses]lossRecord   // by the age class of the connection when it was used
	Tally     Tally
}

// Tally counts the decisions of a Pool.
type Tally struct {
	Opened, Used, Aged, Displaced, Turned, NoRoom uint64
	Most                                          int // connections open at once
	MostBytes                                     int // of answers at once
}

// New returns an empty pool for up to maxOpen connections, whose long answers may occupy maxAnswerBytes together.
// Targets close a connection that was idle for the given time.
func New(maxOpen, maxAnswerBytes int, idle logic.Micros) *Pool {
	return &Pool{maxOpen: maxOpen, answers: bounds.NewPool(maxAnswerBytes), maxIdle: logic.Micros(float64(idle) * usableIdleShare), idleConns: map[logic.NodeID][]*Conn{}}
}

// Open returns the number of connections, and how many of them are idle.
func (s *Pool) Open() (open, idle int) {
	for _, l := range s.idleConns {
		idle += len(l)
	}
	return s.open, idle
}

// Pick returns an idle connection for the node's next request, or nil if a new one is needed. Of the connections that
// have settled it takes the one used last, so that the others reach their maximum idle time.
func (s *Pool) Pick(now logic.Micros, node logic.NodeID) *Conn {
	list := s.idleConns[node]
	for i := len(list) - 1; i >= 0; i-- {
		if conn := list[i]; now-conn.idleSince >= settleTime && now-conn.idleSince < s.maxIdle && s.usableAt(now, ageClass(now-conn.idleSince)) {
			s.removeIdle(conn)
			conn.usedAgeClass = 1 + ageClass(now-conn.idleSince)
			s.Tally.Used++
			return conn
		}
	}
	return nil
}

// RecordOutcome records whether the last request on a connection was lost with the connection.
func (s *Pool) RecordOutcome(now logic.Micros, l *Conn, lost bool) {
	if l.usedAgeClass == 0 {
		return
	}
	record := &s.losses[l.usedAgeClass-1]
	record.decay(now)
	record.total++
	if lost {
		record.lost++
	}
	l.usedAgeClass = 0
}

func (r *lossRecord) decay(now logic.Micros) {
	factor := math.Exp2(-float64(now-r.updatedAt) / float64(lossHalfLife))
	r.lost, r.total, r.updatedAt = r.lost*factor, r.total*factor, now
}

// usableAt reports whether connections of the given age class are used.
func (s *Pool) usableAt(now logic.Micros, class int) bool {
	record := s.losses[class]
	record.decay(now)
	return record.lost < minLosses || record.lost <= maxLossShare*record.total
}

// Reserve reserves a place for a new connection. If there is none, it evicts the connection that was idle for longest,
// which the caller must close; ok is false if no connection is idle.
func (s *Pool) Reserve() (evicted *Conn, ok bool) {
	if s.open >= s.maxOpen {
		for _, list := range s.idleConns {
			if len(list) > 0 && (evicted == nil || list[0].idleSince < evicted.idleSince || list[0].idleSince == evicted.idleSince && list[0].node < evicted.node) {
				evicted = list[0]
			}
		}
		if evicted == nil {
			s.Tally.Turned++
			return nil, false
		}
		s.Tally.Displaced++
		s.MarkClosed(evicted)
	}
	s.open++
	s.Tally.Opened++
	s.Tally.Most = max(s.Tally.Most, s.open)
	return evicted, true
}

// MarkIdle records that a connection has no request in flight.
func (s *Pool) MarkIdle(now logic.Micros, node logic.NodeID, l *Conn) {
	l.node, l.idleSince, l.idle = node, now, true
	s.idleConns[node] = append(s.idleConns[node], l)
}

// MarkClosed records that a connection is closed or about to be; repeated calls have no effect. The owner of an evicted
// or overdue connection reports its closing once more; if that counted, the number of open connections would fall below
// zero and their limit would not hold.
func (s *Pool) MarkClosed(l *Conn) {
	if l.closed {
		return
	}
	l.closed = true
	if l.idle {
		s.removeIdle(l)
	}
	s.open--
}

// Overdue removes and returns the next connection that was idle for too long, or nil.
func (s *Pool) Overdue(now logic.Micros) (overdue *Conn) {
	for _, list := range s.idleConns {
		if l := list[0]; now-l.idleSince >= s.maxIdle && (overdue == nil || l.node < overdue.node) {
			overdue = l
		}
	}
	if overdue != nil {
		s.Tally.Aged++
		s.MarkClosed(overdue)
	}
	return overdue
}

// ReserveBytes reserves bytes for an answer of more than a KiB. It returns false if all long answers together would
// exceed their share of the memory. Harm: a target that announces long answers and sends nothing occupies the bytes
// until its attempts time out.
func (s *Pool) ReserveBytes(bytes int) bool {
	if !s.answers.Reserve(bytes) {
		s.Tally.NoRoom++
		return false
	}
	s.Tally.MostBytes = s.answers.Tally.Most
	return true
}

// FreeBytes returns reserved bytes.
func (s *Pool) FreeBytes(bytes int) { s.answers.Return(bytes) }

func (s *Pool) removeIdle(l *Conn) {
	l.idle = false
	list := s.idleConns[l.node]
	for i, x := range list {
		if x == l {
			list = append(list[:i], list[i+1:]...)
			break
		}
	}
	if len(list) == 0 {
		delete(s.idleConns, l.node)
	} else {
		s.idleConns[l.node] = list
	}
}
