// Package leave decides how a process that was told to end goes on: for how long it still serves, how long a request
// that comes meanwhile may take, and when it ends. It has no clock, goroutine or I/O.
//
// It guards against ending too early, which loses the requests of all clients that have nowhere else to go, and too
// late, which loses what is held when the process is killed. It could harm where the killing comes sooner than told.
package leave

import "appleplank/logic"

const (
	ms, sec logic.Micros = 1000, 1000 * 1000

	// The process is killed no sooner than graceTime after the longest deadline, which counts as mostDeadline where
	// it is longer.
	mostDeadline = 3 * sec
	graceTime    = 700 * ms
	// Answers have left margin before that; a request must have leastRoom left to be begun at all.
	margin    = 150 * ms
	leastRoom = 60 * ms
	// Connections may still come for coming: whoever has no client any more does not end before.
	coming = 600 * ms
	// LastLook is how long clients then have to read what was answered last, and to be told that what crossed the end
	// of their connection was not taken. It fits into what margin leaves: a test adds them up.
	LastLook = 40 * ms
)

// Leave is the state of an end; the zero value of begun says that none was told.
type Leave struct {
	longest logic.Micros
	begun   logic.Micros
	told    bool
}

// New starts with the longest deadline of any request.
func New(longest logic.Micros) *Leave { return &Leave{longest: min(longest, mostDeadline)} }

// Told says that the process is to end.
func (l *Leave) Told(now logic.Micros) {
	if !l.told {
		l.told, l.begun = true, now
	}
}

// Till is when the last answer must have left.
func (l *Leave) Till() logic.Micros { return l.begun + l.longest + graceTime - margin }

// Room is the patience that a request that comes now is taken with, at most the given one; false: it must be refused,
// and its connection closed.
func (l *Leave) Room(now, patience logic.Micros) (logic.Micros, bool) {
	if !l.told {
		return patience, true
	}
	room := l.Till() - now
	return min(patience, room), room >= leastRoom
}

// Last tells whether a connection ends with its next answer: not before the end is near, as clients that lose theirs
// have nowhere to go until the process is back.
func (l *Leave) Last(now logic.Micros) bool { return l.told && now >= l.Till()-leastRoom }

// Over tells whether the process may end, by how many connections and requests it holds.
func (l *Leave) Over(now logic.Micros, connections, requests int) bool {
	if !l.told || now < l.begun+coming {
		return false
	}
	return connections == 0 || now >= l.Till() && requests == 0 || now >= l.Till()+margin/2
}
