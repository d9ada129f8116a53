// Package slabs decides which bytes of a volume a new object gets. A volume of objects is slabs, one or more a cell; an
// object lies in one run of one slab. What is used is known from the catalogue of the objects alone: after a crash the
// free space is what no object lies on, so nothing is ever leaked.
//
// A run that is freed while an attempt to write it may still run is not given out before that is surely over: it guards
// against an old write that lands on a new object. It could harm where objects of very different sizes come and go: free
// space is then many small runs. The smallest that fits is taken, which keeps large ones for large objects.
//
// It has no clock, goroutine or I/O, and never acts on map order.
package slabs

import (
	"cmp"
	"container/heap"
	"fmt"

	"appleplank/logic"

	"github.com/tidwall/btree"
)

// Unit is the granularity of space, in bytes.
const Unit = 4096

// Slab is a run of the volume's bytes at one cell.
type Slab struct {
	Cell      int
	From, Len int64 // bytes of the volume, multiples of Unit
}

type run struct{ from, len int64 }

// Space is what is free of a volume. Its size is bounded by its units.
type Space struct {
	slabs  []Slab
	byFrom *btree.BTreeG[run]         // free runs
	bySize map[int]*btree.BTreeG[run] // by cell: the same, by length and place
	free   map[int]int64              // bytes, by cell
	used   map[int64]held             // by first byte
	still  logic.Micros               // nothing is given out before
	resting
}

// held is a run that is given out.
type held struct {
	len   int64
	until logic.Micros // not to be given out again before
}

type rest struct {
	run
	until logic.Micros
}

// resting are freed runs that wait, soonest first.
type resting []rest

func (r resting) Len() int           { return len(r) }
func (r resting) Less(i, j int) bool { return r[i].until < r[j].until }
func (r resting) Swap(i, j int)      { r[i], r[j] = r[j], r[i] }
func (r *resting) Push(x any)        { *r = append(*r, x.(rest)) }
func (r *resting) Pop() any {
	old := *r
	x := old[len(old)-1]
	*r = old[:len(old)-1]
	return x
}

// New makes a space of which nothing is used. Slabs must not overlap.
func New(slabs []Slab) *Space {
	opts := btree.Options{NoLocks: true}
	s := &Space{slabs: slabs, bySize: map[int]*btree.BTreeG[run]{}, free: map[int]int64{}, used: map[int64]held{},
		byFrom: btree.NewBTreeGOptions(func(a, b run) bool { return a.from < b.from }, opts)}
	for _, x := range slabs {
		if s.bySize[x.Cell] == nil {
			s.bySize[x.Cell] = btree.NewBTreeGOptions(func(a, b run) bool { return cmp.Or(cmp.Compare(a.len, b.len), cmp.Compare(a.from, b.from)) < 0 }, opts)
		}
		s.add(run{x.From, x.Len / Unit * Unit})
	}
	return s
}

// slab is the one that holds a byte.
func (s *Space) slab(at int64) *Slab {
	for i := range s.slabs {
		if x := &s.slabs[i]; at >= x.From && at < x.From+x.Len {
			return x
		}
	}
	return nil
}

// add makes a run free, joined with its neighbours in the same slab.
func (s *Space) add(r run) {
	if r.len <= 0 {
		return
	}
	x := s.slab(r.from)
	s.free[x.Cell] += r.len
	s.byFrom.Descend(run{from: r.from}, func(b run) bool {
		if b.from >= x.From && b.from+b.len == r.from {
			s.cut(x.Cell, b)
			r = run{b.from, b.len + r.len}
		}
		return false
	})
	if b, ok := s.byFrom.Get(run{from: r.from + r.len}); ok && b.from < x.From+x.Len {
		s.cut(x.Cell, b)
		r.len += b.len
	}
	s.byFrom.Set(r)
	s.bySize[x.Cell].Set(r)
}

func (s *Space) cut(cell int, r run) {
	s.byFrom.Delete(r)
	s.bySize[cell].Delete(r)
}

func whole(n int64) int64 { return max((n+Unit-1)/Unit*Unit, Unit) }

// Take marks as used what an object of the catalogue lies on, before anything is given out.
func (s *Space) Take(from, n int64) error {
	n = whole(n)
	x := s.slab(from)
	if x == nil || from%Unit != 0 || from+n > x.From+x.Len {
		return fmt.Errorf("slabs: %d bytes from %d lie in no slab", n, from)
	}
	found := false
	s.byFrom.Descend(run{from: from}, func(b run) bool {
		if b.from+b.len < from+n {
			return false
		}
		found = true
		s.cut(x.Cell, b)
		s.free[x.Cell] -= b.len // what is left is added again
		s.split(b, from, n)
		return false
	})
	if !found {
		return fmt.Errorf("slabs: %d bytes from %d are used twice", n, from)
	}
	s.used[from] = held{len: n}
	return nil
}

// split gives back what a run has before and behind the bytes that are taken of it.
func (s *Space) split(b run, from, n int64) {
	for _, r := range []run{{b.from, from - b.from}, {from + n, b.from + b.len - from - n}} {
		if r.len > 0 {
			x := s.slab(r.from)
			s.free[x.Cell] += r.len
			s.byFrom.Set(r)
			s.bySize[x.Cell].Set(r)
		}
	}
}

// Rest gives nothing out until then: what an earlier process had sent when it was killed may land anywhere that is free.
func (s *Space) Rest(until logic.Micros) { s.still = until }

// Wait is how long nothing is given out yet.
func (s *Space) Wait(now logic.Micros) logic.Micros { return max(s.still-now, 0) }

// Alloc gives out space for an object at a cell; false where no run there is large enough.
func (s *Space) Alloc(now logic.Micros, cell int, n int64) (from int64, ok bool) {
	s.pass(now)
	t := s.bySize[cell]
	if t == nil || s.still > now {
		return 0, false
	}
	n = whole(n)
	t.Ascend(run{len: n}, func(b run) bool {
		ok, from = true, b.from
		s.cut(cell, b)
		s.free[cell] -= b.len
		s.split(b, from, n)
		return false
	})
	if ok {
		s.used[from] = held{len: n}
	}
	return from, ok
}

// Busy says that an attempt to write a run that is given out may go on until then.
func (s *Space) Busy(from int64, until logic.Micros) {
	if h, ok := s.used[from]; ok {
		h.until = max(h.until, until)
		s.used[from] = h
	}
}

// Free takes a run back; it is given out again once nothing can land on it any more. One that is not given out is a
// mistake of the caller's, which it is told.
func (s *Space) Free(now logic.Micros, from int64) error {
	h, ok := s.used[from]
	if !ok {
		return fmt.Errorf("slabs: what lies at %d is freed twice", from)
	}
	delete(s.used, from)
	if h.until > now {
		heap.Push(&s.resting, rest{run{from, h.len}, h.until})
	} else {
		s.add(run{from, h.len})
	}
	return nil
}

func (s *Space) pass(now logic.Micros) {
	for len(s.resting) > 0 && s.resting[0].until <= now {
		s.add(heap.Pop(&s.resting).(rest).run)
	}
}

// Fits tells whether an object of so many bytes has room at a cell.
func (s *Space) Fits(now logic.Micros, cell int, n int64) bool {
	s.pass(now)
	t := s.bySize[cell]
	if t == nil {
		return false
	}
	most, ok := t.Max()
	return ok && most.len >= whole(n)
}

// Room is how much is free at a cell; what rests is not counted.
func (s *Space) Room(now logic.Micros, cell int) int64 { s.pass(now); return s.free[cell] }

// Totals are free and used bytes over all cells; what rests is neither.
func (s *Space) Totals(now logic.Micros) (free, used int64) {
	s.pass(now)
	for _, x := range s.slabs {
		used += x.Len / Unit * Unit
	}
	for _, n := range s.free {
		free += n
	}
	for _, r := range s.resting {
		used -= r.len
	}
	return free, used - free
}
