// Package replay remembers the ids of requests that may have run, so that none of them runs again. It has no clock,
// goroutine or I/O.
//
// It guards against a request that comes again, on another connection, after its client has left or its answer was
// given. Harm: the ids take memory, and while more requests come than it has room for, the oldest are forgotten early.
package replay

import "appleplank/logic"

// retention is how long an id is remembered.
const retention logic.Micros = 60 * 1000 * 1000

// EntrySize is the memory that an id takes, in bytes, at most.
const EntrySize = 96

// Ending is how a request ended.
type Ending uint8

const (
	// Answered requests had a final answer.
	Answered Ending = iota
	// Abandoned requests had none: their clients had left, and may send them again.
	Abandoned
	numEndings
)

// Guard remembers ids by their hashes. Each [Ending] has half of the room, so that requests which are answered, however
// many, do not displace those whose clients may come again.
type Guard struct {
	known map[uint64]struct{}
	rings [numEndings]ring
}

// ring holds ids in the order in which they were added, the oldest at first.
type ring struct {
	entries []entry
	first   int
	length  int
}

type entry struct {
	id    uint64
	until logic.Micros
}

// NewGuard returns a guard that remembers at most capacity ids, which must be at least 2.
func NewGuard(capacity int) *Guard {
	g := &Guard{known: map[uint64]struct{}{}}
	for i := range g.rings {
		g.rings[i].entries = make([]entry, capacity/int(numEndings))
	}
	return g
}

// Add remembers an id from now on. Where there is no room it forgets the oldest of the same ending.
func (g *Guard) Add(now logic.Micros, id uint64, ending Ending) {
	g.expire(now)
	if _, known := g.known[id]; known {
		return
	}
	r := &g.rings[ending]
	if r.length == len(r.entries) {
		g.forgetOldest(r)
	}
	r.entries[(r.first+r.length)%len(r.entries)] = entry{id, now + retention}
	r.length++
	g.known[id] = struct{}{}
}

// Known reports whether an id is remembered.
func (g *Guard) Known(now logic.Micros, id uint64) bool {
	g.expire(now)
	_, known := g.known[id]
	return known
}

// Len returns the number of ids that are remembered.
func (g *Guard) Len() int { return len(g.known) }

func (g *Guard) expire(now logic.Micros) {
	for i := range g.rings {
		for r := &g.rings[i]; r.length > 0 && r.entries[r.first].until <= now; {
			g.forgetOldest(r)
		}
	}
}

func (g *Guard) forgetOldest(r *ring) {
	delete(g.known, r.entries[r.first].id)
	r.first = (r.first + 1) % len(r.entries)
	r.length--
}
