// Package quota bounds the work that peers may cause before others get their turn: what is read from one client's
// connection, how many connections are accepted, and what discovery sends. It has no clock, goroutine or I/O.
//
// It guards against clients that send, or connect, faster than one that waits for each answer, and against many of them that
// use their quotas up together. Harm: the rest of a request that comes in very many pieces is read up to one window late, and
// in a rush of new connections each waits.
package quota

import "appleplank/logic"

const (
	ms logic.Micros = 1000

	// Window is the time for which a quota counts. It doubles with each window in a row in which a connection uses its
	// quota up, to maxWindow, unless its client waits for an answer: that the client leaves is to be noticed at once.
	Window, maxWindow = 5 * ms, 320 * ms
	// MaxBytes and MaxReads allow the longest request, in several pieces, within one window.
	MaxBytes = 96 << 10
	MaxReads = 16
	// MaxAnswers is the number of requests that are answered at once, without being passed on.
	MaxAnswers = 4
	// discardWeight is how often a discarded byte counts: a connection that ends has no request left to read.
	discardWeight = 4
)

// Reading is what one connection has used of its quota in its current window. Its zero value is a new connection's.
type Reading struct {
	windowStart           logic.Micros
	window                logic.Micros // 0: Window
	awaitsAnswer          bool
	bytes, reads, answers int
}

// CountRead counts a read of some bytes.
func (q *Reading) CountRead(now logic.Micros, bytes int) {
	q.roll(now)
	q.reads++
	q.bytes += bytes
}

// CountDiscarded counts a read of some bytes that nobody uses.
func (q *Reading) CountDiscarded(now logic.Micros, bytes int) { q.CountRead(now, discardWeight*bytes) }

// CountAnswer counts a request that was answered without being passed on.
func (q *Reading) CountAnswer(now logic.Micros) {
	q.roll(now)
	q.answers++
}

// RequestPassedOn begins anew: the client waits for an answer from now on.
func (q *Reading) RequestPassedOn(now logic.Micros) {
	*q = Reading{windowStart: now, awaitsAnswer: true}
}

// Answered notes that the client waits no longer.
func (q *Reading) Answered() { q.awaitsAnswer = false }

// AwaitsAnswer reports whether the client waits for an answer.
func (q *Reading) AwaitsAnswer() bool { return q.awaitsAnswer }

// BlockedUntil returns when the connection may be read again; 0: at once.
func (q *Reading) BlockedUntil(now logic.Micros) logic.Micros {
	q.roll(now)
	if !q.usedUp() {
		return 0
	}
	return q.windowStart + q.length()
}

// usedUp reports whether nothing is left of the quota in the current window.
func (q *Reading) usedUp() bool {
	return q.bytes >= MaxBytes || q.reads >= MaxReads || q.answers >= MaxAnswers
}

// length returns the length of the current window.
func (q *Reading) length() logic.Micros { return max(q.window, Window) }

// roll begins a new window if the current one is over.
func (q *Reading) roll(now logic.Micros) {
	length := q.length()
	if now-q.windowStart < length {
		return
	}
	next := Window
	if q.usedUp() && !q.awaitsAnswer {
		next = min(2*length, maxWindow)
	}
	*q = Reading{windowStart: now, window: next, awaitsAnswer: q.awaitsAnswer}
}
