// Package links decides on the connections to one storage node: when it is dialled again after it could not
// be reached or broke, when a connection that still stands is given up as dead, how many answers that belong to
// nothing are borne, and which of its queues takes the next command. Package logic decides on requests; it hears
// of what is decided here as attempts that could not connect or were reset.
//
// It has no clock, goroutine or I/O.
package links

import (
	"math/rand/v2"

	"appleplank/logic"
)

const (
	ms, sec logic.Micros = 1000, 1000 * 1000

	// A node that could not be reached is dialled again after firstPause, doubling to mostPause, each drawn at
	// random from its upper half so that gateways that lost a node together do not come back together. Logic
	// leaves a node alone for up to 1.6 s after failed connections, so a longer pause would only add to that.
	firstPause = 50 * ms
	mostPause  = 1600 * ms
	// steady is how long a connection must have stood for the pauses to begin anew; one that breaks sooner counts
	// as another failure, or a node that takes connections and drops them would be dialled in a tight loop.
	steady = 2 * sec
	// strayMost answers to nothing within strayTime are borne: a node that answers twice is a nuisance, and
	// breaking the connection would lose all that is out there. More say that its and our ids have parted ways.
	// Harm: a node whose every answer comes twice is cut off each time it has answered strayMost times.
	strayMost = 64
	strayTime = 10 * sec
	// An id whose answer never came stays taken. When lost ids fill lostPart of the places, or one is older than
	// lostOld, the connection is made anew: a node that swallows answers would else starve its own queue. Harm:
	// what else is out at the node is reset, once in lostOld at most.
	lostPart = 0.5
	lostOld  = 30 * sec
	// A node from which nothing at all was heard for silentParts of the keep-alive time is dead: the keep-alive
	// goes out at half of it, so one answer may be lost.
	silentParts = 1.0
)

// Link is what is known of the connections to one node.
type Link struct {
	rng       *rand.Rand
	keepAlive logic.Micros
	fails     int
	up        bool
	since     logic.Micros
	heard     logic.Micros
	next      logic.Micros
	strays    []logic.Micros
}

// New starts with a node that may be dialled at once. The keep-alive time is the one told to the node.
func New(keepAlive logic.Micros, seed uint64) *Link {
	return &Link{rng: rand.New(rand.NewPCG(seed, 0x6c696e6b)), keepAlive: keepAlive}
}

// DialAt is when the node may be dialled next.
func (l *Link) DialAt() logic.Micros { return l.next }

// Up says that the connection is set up and takes commands.
func (l *Link) Up(now logic.Micros) {
	l.up, l.since, l.heard, l.strays = true, now, now, l.strays[:0]
}

// Down says that the node could not be reached or that the connection is gone; it gives the time to dial again.
func (l *Link) Down(now logic.Micros) logic.Micros {
	if l.up && now-l.since >= steady {
		l.fails = 0
	}
	l.up = false
	pause := min(firstPause<<min(l.fails, 10), mostPause)
	l.fails++
	l.next = now + pause/2 + logic.Micros(l.rng.Int64N(int64(pause/2)+1))
	return l.next
}

// Heard says that something came from the node.
func (l *Link) Heard(now logic.Micros) { l.heard = now }

// Stray takes an answer that belongs to no command; it tells whether the connection must be given up.
func (l *Link) Stray(now logic.Micros) (giveUp bool) {
	keep := l.strays[:0]
	for _, at := range l.strays {
		if now-at < strayTime {
			keep = append(keep, at)
		}
	}
	l.strays = append(keep, now)
	return len(l.strays) > strayMost
}

// Lost is the state of the ids whose answers are not waited for any more: how many of how many places they
// take, and when the oldest was sent; 0: none.
type Lost struct {
	Places, Taken int
	Oldest        logic.Micros
}

// Verdict says why a connection is given up; empty: it is not.
type Verdict string

// Look is asked now and then, at the latest at the time it gave before.
func (l *Link) Look(now logic.Micros, lost Lost) (v Verdict, next logic.Micros) {
	if !l.up {
		return "", now + sec
	}
	silent := logic.Micros(float64(l.keepAlive) * silentParts)
	switch {
	case l.keepAlive > 0 && now-l.heard >= silent:
		return "nothing was heard for the keep-alive time", 0
	case lost.Taken > 0 && float64(lost.Taken) >= lostPart*float64(lost.Places):
		return "commands without an answer take half of the queue", 0
	case lost.Oldest > 0 && now-lost.Oldest >= lostOld:
		return "a command has had no answer for too long", 0
	}
	next = now + sec
	if l.keepAlive > 0 {
		next = min(next, l.heard+silent)
	}
	return "", next
}

// KeepAlive is when the next keep-alive goes out, after one at the given time.
func (l *Link) KeepAlive(last logic.Micros) logic.Micros { return last + l.keepAlive/2 }

// Pick chooses the queue for a command by what each has out and how many it takes: the emptiest; -1: all are
// full. Equal ones are taken in the order of their numbers, so that a quiet node uses one connection.
func Pick(out []int, depth int) int {
	best := -1
	for i, n := range out {
		if n < depth && (best < 0 || n < out[best]) {
			best = i
		}
	}
	return best
}
