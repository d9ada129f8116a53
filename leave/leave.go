// Package leave controls the graceful shutdown of a process: for how long it still serves, how long a request that
// arrives in the meantime may take, and when the process exits. It has no clock, goroutine or I/O.
//
// It guards against exiting too early, which loses the requests of all clients that have nowhere else to go, and too
// late, which loses the held requests when the process is killed. Harm: requests are lost if the kill comes earlier
// than announced.
package leave

import "appleplank/logic"

const (
	ms, sec logic.Micros = 1000, 1000 * 1000

	// The process is killed no sooner than killGrace after the longest deadline, of which at most maxDeadline counts.
	maxDeadline = 3 * sec
	killGrace   = 700 * ms
	// The last answer must be sent answerMargin before that. A request with less than minTimeLeft is not started.
	answerMargin = 150 * ms
	minTimeLeft  = 60 * ms
	// After the deadline for answers the process goes on for heldSlack while a request is held, and for readSlack while one is
	// being read, which is refused in any case.
	heldSlack, readSlack = 75 * ms, 20 * ms
	// Where checks are further apart than maxCheckGap, the process stood still, so that what is due may not have been done.
	maxCheckGap = 25 * ms
	// A process with a part of a core stands still for the rest of each quotaPeriod once it has used its part. That may happen
	// before it notes that it is to end, and again before it has ended.
	quotaPeriod = 100 * ms
	holdUps     = 2
	// New connections may still arrive for acceptTime; a process without clients does not exit before.
	acceptTime = 600 * ms
	// LingerTime is how long clients then have to read the last answers and to learn that requests sent while their
	// connection was being closed were not taken. It must fit into what is left of answerMargin; a test checks the sum.
	LingerTime = 40 * ms
)

// Shutdown is the state of a graceful shutdown. startedAt is valid only once started is set.
type Shutdown struct {
	longest   logic.Micros // longest deadline of any request
	holdUp    logic.Micros // for which the process may stand still once
	checkedAt logic.Micros // time of the last call of Done
	startedAt logic.Micros
	started   bool
}

// New returns a Shutdown for requests with the given longest deadline, of a process that is granted a number of cores; 0: as
// many as there are.
func New(longest logic.Micros, cores float64) *Shutdown {
	holdUp := logic.Micros(0)
	if cores > 0 && cores < 1 {
		holdUp = logic.Micros((1 - cores) * float64(quotaPeriod))
	}
	return &Shutdown{longest: min(longest, maxDeadline), holdUp: holdUp}
}

// Start starts the shutdown; further calls have no effect.
func (l *Shutdown) Start(now logic.Micros) {
	if !l.started {
		l.started, l.startedAt = true, now
	}
}

// Deadline returns the time by which the last answer must be sent.
func (l *Shutdown) Deadline() logic.Micros {
	return l.startedAt + l.longest + killGrace - answerMargin - holdUps*l.holdUp
}

// Admit limits the time left of a request that arrives now. It returns false if the request must be refused and its
// connection closed.
func (l *Shutdown) Admit(now, timeLeft logic.Micros) (logic.Micros, bool) {
	if !l.started {
		return timeLeft, true
	}
	remaining := l.Deadline() - now
	return min(timeLeft, remaining), remaining >= minTimeLeft
}

// Last reports whether a connection closes after its next answer. That is so only near the end, because clients that
// lose their connection have nowhere to go until the process is back.
func (l *Shutdown) Last(now logic.Micros) bool { return l.started && now >= l.Deadline()-minTimeLeft }

// Done reports whether the process may exit, given the numbers of connections, and of those whose requests it holds and is
// reading.
func (l *Shutdown) Done(now logic.Micros, connections, held, reading int) bool {
	late := now - l.Deadline()
	stoodStill := now-l.checkedAt > maxCheckGap && late < heldSlack+l.holdUp+maxCheckGap
	l.checkedAt = now
	switch {
	case !l.started || now < l.startedAt+acceptTime:
		return false
	case connections == 0:
		return true
	case held > 0:
		return late >= heldSlack && !stoodStill
	case reading > 0:
		return late >= readSlack && !stoodStill
	}
	return late >= 0
}
