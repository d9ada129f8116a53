// Package links manages the connections to one storage node: when the node is dialled again after it could not be
// reached or its connection broke, when a connection that is still open is given up as dead, how many answers without a
// command are tolerated, and which queue takes the next command. Package logic schedules the requests; it learns of
// these decisions through attempts that could not connect or were reset.
//
// It has no clock, goroutine or I/O.
package links

import (
	"math/rand/v2"

	"appleplank/logic"
)

const (
	ms, sec logic.Micros = 1000, 1000 * 1000

	// A node that could not be reached is dialled again after a backoff from minBackoff, doubling up to maxBackoff.
	// Each backoff is drawn at random from its upper half, so that gateways that lost a node together do not reconnect
	// together. Package logic does not use a node for up to 1.6 s after failed connections; a longer backoff would only
	// add to that.
	minBackoff = 50 * ms
	maxBackoff = 1600 * ms
	// stableAfter is how long a connection must have been up for the backoff to start again from its minimum. One that
	// breaks sooner counts as another failure; otherwise a node that accepts connections and drops them would be
	// dialled in a tight loop.
	stableAfter = 2 * sec
	// Up to maxStrays answers without a command are tolerated within strayWindow: a node that answers twice does little
	// damage, and closing the connection would lose every command in flight there. More of them show that the command
	// ids of the two sides no longer match. Harm: a node that sends every answer twice is disconnected each time it has
	// answered maxStrays times.
	maxStrays   = 64
	strayWindow = 10 * sec
	// An id stays taken until its answer arrives. When lost ids take maxLostShare of the queue's ids, or one is older
	// than maxLostAge, the connection is replaced: a node that drops answers would otherwise use up its own queue.
	// Harm: the other commands in flight at the node are reset, at most once in maxLostAge.
	maxLostShare = 0.5
	maxLostAge   = 30 * sec
	// A node that has sent nothing for maxSilence, in keep-alive times, is dead. Keep-alives are sent every half of the
	// keep-alive time, so that one answer may be lost.
	maxSilence = 1.0
)

// Link tracks the connections to one node.
type Link struct {
	rng          *rand.Rand
	keepAlive    logic.Micros
	failures     int
	connected    bool
	connectedAt  logic.Micros
	lastReceived logic.Micros
	dialAt       logic.Micros
	strays       []logic.Micros
}

// New returns the Link of a node that may be dialled at once. keepAlive is the keep-alive time announced to the node.
func New(keepAlive logic.Micros, seed uint64) *Link {
	return &Link{rng: rand.New(rand.NewPCG(seed, 0x6c696e6b)), keepAlive: keepAlive}
}

// DialAt returns the earliest time of the next dial.
func (l *Link) DialAt() logic.Micros { return l.dialAt }

// Connected records that the connection is set up and takes commands.
func (l *Link) Connected(now logic.Micros) {
	l.connected, l.connectedAt, l.lastReceived, l.strays = true, now, now, l.strays[:0]
}

// Disconnected records that the node could not be reached or that the connection is gone, and returns the time of the
// next dial.
func (l *Link) Disconnected(now logic.Micros) logic.Micros {
	if l.connected && now-l.connectedAt >= stableAfter {
		l.failures = 0
	}
	l.connected = false
	backoff := min(minBackoff<<min(l.failures, 10), maxBackoff)
	l.failures++
	l.dialAt = now + backoff/2 + logic.Micros(l.rng.Int64N(int64(backoff/2)+1))
	return l.dialAt
}

// Received records that something was received from the node.
func (l *Link) Received(now logic.Micros) { l.lastReceived = now }

// Stray records an answer that belongs to no command and reports whether the connection must be given up.
func (l *Link) Stray(now logic.Micros) (giveUp bool) {
	recent := l.strays[:0]
	for _, at := range l.strays {
		if now-at < strayWindow {
			recent = append(recent, at)
		}
	}
	l.strays = append(recent, now)
	return len(l.strays) > maxStrays
}

// LostIDs describes the command ids whose answers are no longer waited for: how many ids the queue has, how many of
// them are lost, and when the oldest of those was sent; 0: none.
type LostIDs struct {
	Capacity, Count int
	Oldest          logic.Micros
}

// Verdict is the reason to give a connection up; it is empty if the connection stays.
type Verdict string

// Check checks the connection. It must be called again no later than at the time it returns.
func (l *Link) Check(now logic.Micros, lost LostIDs) (verdict Verdict, next logic.Micros) {
	if !l.connected {
		return "", now + sec
	}
	silenceLimit := logic.Micros(float64(l.keepAlive) * maxSilence)
	switch {
	case l.keepAlive > 0 && now-l.lastReceived >= silenceLimit:
		return "nothing was heard for the keep-alive time", 0
	case lost.Count > 0 && float64(lost.Count) >= maxLostShare*float64(lost.Capacity):
		return "commands without an answer take half of the queue", 0
	case lost.Oldest > 0 && now-lost.Oldest >= maxLostAge:
		return "a command has had no answer for too long", 0
	}
	next = now + sec
	if l.keepAlive > 0 {
		next = min(next, l.lastReceived+silenceLimit)
	}
	return "", next
}

// NextKeepAlive returns when the next keep-alive is due after one that was sent at the given time.
func (l *Link) NextKeepAlive(last logic.Micros) logic.Micros { return last + l.keepAlive/2 }

// Pick chooses the queue for a command: the one with the fewest commands in flight, below the given depth; -1 if all
// are full. Of equal queues the lowest number wins, so that a quiet node uses one connection.
func Pick(inFlight []int, depth int) int {
	best := -1
	for i, n := range inFlight {
		if n < depth && (best < 0 || n < inFlight[best]) {
			best = i
		}
	}
	return best
}
