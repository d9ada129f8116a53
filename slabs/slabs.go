// Package slabs allocates the bytes of a volume to new objects. A volume of objects consists of slabs, one or more per
// cell; an object occupies one contiguous run of one slab. The allocated space is derived from the object catalogue
// alone: after a crash all space that no object occupies is free, so that no space is leaked.
//
// A run that is freed while an attempt to write it may still be in flight is not allocated again before that attempt
// has certainly ended. This prevents an old write from overwriting a new object. Drawback: objects of very different
// sizes fragment the free space into many small runs. The smallest run that fits is allocated (best fit), which keeps
// large runs for large objects.
//
// The package has no clock, goroutines or I/O, and no decision depends on map order.
package slabs

import (
	"cmp"
	"container/heap"
	"fmt"

	"appleplank/logic"

	"github.com/tidwall/btree"
)

// Unit is the allocation granularity in bytes.
const Unit = 4096

// Slab is a contiguous range of the volume's bytes that lies at one cell.
type Slab struct {
	Cell      int
	From, Len int64 // bytes of the volume, multiples of Unit
}

type run struct{ from, length int64 }

// Space tracks the free and allocated bytes of a volume. Its size is bounded by the number of units.
type Space struct {
	slabs        []Slab
	freeByOffset *btree.BTreeG[run]         // free runs
	freeBySize   map[int]*btree.BTreeG[run] // by cell: free runs by length, then offset
	free         map[int]int64              // free bytes by cell
	allocated    map[int64]allocation       // by first byte of the run
	pausedUntil  logic.Micros               // nothing is allocated before
	quarantine
}

// allocation is an allocated run.
type allocation struct {
	length        int64
	writableUntil logic.Micros // a write may be in flight until then
}

type quarantinedRun struct {
	run
	until logic.Micros
}

// quarantine is a heap of freed runs that must not be allocated yet, by the time at which they can be.
type quarantine []quarantinedRun

func (r quarantine) Len() int           { return len(r) }
func (r quarantine) Less(i, j int) bool { return r[i].until < r[j].until }
func (r quarantine) Swap(i, j int)      { r[i], r[j] = r[j], r[i] }
func (r *quarantine) Push(x any)        { *r = append(*r, x.(quarantinedRun)) }
func (r *quarantine) Pop() any {
	old := *r
	x := old[len(old)-1]
	*r = old[:len(old)-1]
	return x
}

// New returns a space in which all bytes are free. Slabs must not overlap.
func New(slabs []Slab) *Space {
	options := btree.Options{NoLocks: true}
	s := &Space{slabs: slabs, freeBySize: map[int]*btree.BTreeG[run]{}, free: map[int]int64{}, allocated: map[int64]allocation{},
		freeByOffset: btree.NewBTreeGOptions(func(a, b run) bool { return a.from < b.from }, options)}
	for _, x := range slabs {
		if s.freeBySize[x.Cell] == nil {
			s.freeBySize[x.Cell] = btree.NewBTreeGOptions(func(a, b run) bool { return cmp.Or(cmp.Compare(a.length, b.length), cmp.Compare(a.from, b.from)) < 0 }, options)
		}
		s.addFree(run{x.From, x.Len / Unit * Unit})
	}
	return s
}

// slabAt returns the slab that contains the byte, or nil.
func (s *Space) slabAt(at int64) *Slab {
	for i := range s.slabs {
		if x := &s.slabs[i]; at >= x.From && at < x.From+x.Len {
			return x
		}
	}
	return nil
}

// addFree makes a run free and merges it with adjacent free runs of the same slab.
func (s *Space) addFree(r run) {
	if r.length <= 0 {
		return
	}
	x := s.slabAt(r.from)
	s.free[x.Cell] += r.length
	s.freeByOffset.Descend(run{from: r.from}, func(b run) bool {
		if b.from >= x.From && b.from+b.length == r.from {
			s.removeFree(x.Cell, b)
			r = run{b.from, b.length + r.length}
		}
		return false
	})
	if b, ok := s.freeByOffset.Get(run{from: r.from + r.length}); ok && b.from < x.From+x.Len {
		s.removeFree(x.Cell, b)
		r.length += b.length
	}
	s.freeByOffset.Set(r)
	s.freeBySize[x.Cell].Set(r)
}

// removeFree removes a run from both free lists; the caller adjusts the sum of free bytes.
func (s *Space) removeFree(cell int, r run) {
	s.freeByOffset.Delete(r)
	s.freeBySize[cell].Delete(r)
}

// roundUp rounds n up to a multiple of Unit, at least one.
func roundUp(n int64) int64 { return max((n+Unit-1)/Unit*Unit, Unit) }

// MarkAllocated marks the bytes of a catalogued object as allocated. All calls must precede the first Alloc. It returns
// an error if the bytes lie in no slab or are allocated already.
func (s *Space) MarkAllocated(from, n int64) error {
	n = roundUp(n)
	x := s.slabAt(from)
	if x == nil || from%Unit != 0 || from+n > x.From+x.Len {
		return fmt.Errorf("slabs: %d bytes at offset %d lie in no slab", n, from)
	}
	found := false
	s.freeByOffset.Descend(run{from: from}, func(b run) bool {
		if b.from+b.length < from+n {
			return false
		}
		found = true
		s.removeFree(x.Cell, b)
		s.free[x.Cell] -= b.length // addRemainder adds the rest again
		s.addRemainder(b, from, n)
		return false
	})
	if !found {
		return fmt.Errorf("slabs: %d bytes at offset %d are already allocated", n, from)
	}
	s.allocated[from] = allocation{length: n}
	return nil
}

// addRemainder makes the parts of run b before and after the n allocated bytes free again.
func (s *Space) addRemainder(b run, from, n int64) {
	for _, r := range []run{{b.from, from - b.from}, {from + n, b.from + b.length - from - n}} {
		if r.length > 0 {
			x := s.slabAt(r.from)
			s.free[x.Cell] += r.length
			s.freeByOffset.Set(r)
			s.freeBySize[x.Cell].Set(r)
		}
	}
}

// PauseUntil suspends allocation until the given time: writes that an earlier process had in flight when it was killed
// may still reach any bytes that are free now.
func (s *Space) PauseUntil(until logic.Micros) { s.pausedUntil = until }

// PauseLeft returns the remaining time for which allocation is suspended.
func (s *Space) PauseLeft(now logic.Micros) logic.Micros { return max(s.pausedUntil-now, 0) }

// Alloc allocates a run for an object of n bytes at a cell; ok is false if no free run there is large enough or
// allocation is suspended.
func (s *Space) Alloc(now logic.Micros, cell int, n int64) (from int64, ok bool) {
	s.advance(now)
	t := s.freeBySize[cell]
	if t == nil || s.pausedUntil > now {
		return 0, false
	}
	n = roundUp(n)
	t.Ascend(run{length: n}, func(b run) bool {
		ok, from = true, b.from
		s.removeFree(cell, b)
		s.free[cell] -= b.length
		s.addRemainder(b, from, n)
		return false
	})
	if ok {
		s.allocated[from] = allocation{length: n}
	}
	return from, ok
}

// WriteInFlight reports that an attempt to write the allocated run may be in flight until the given time.
func (s *Space) WriteInFlight(from int64, until logic.Micros) {
	if h, ok := s.allocated[from]; ok {
		h.writableUntil = max(h.writableUntil, until)
		s.allocated[from] = h
	}
}

// Free frees an allocated run; it can be allocated again once no write to it can be in flight. It returns an error if
// the run is not allocated, which is a mistake of the caller.
func (s *Space) Free(now logic.Micros, from int64) error {
	h, ok := s.allocated[from]
	if !ok {
		return fmt.Errorf("slabs: no run is allocated at offset %d", from)
	}
	delete(s.allocated, from)
	if h.writableUntil > now {
		heap.Push(&s.quarantine, quarantinedRun{run{from, h.length}, h.writableUntil})
	} else {
		s.addFree(run{from, h.length})
	}
	return nil
}

// advance frees the quarantined runs whose time has passed.
func (s *Space) advance(now logic.Micros) {
	for len(s.quarantine) > 0 && s.quarantine[0].until <= now {
		s.addFree(heap.Pop(&s.quarantine).(quarantinedRun).run)
	}
}

// Fits reports whether a cell has a free run for an object of n bytes.
func (s *Space) Fits(now logic.Micros, cell int, n int64) bool {
	s.advance(now)
	t := s.freeBySize[cell]
	if t == nil {
		return false
	}
	largest, ok := t.Max()
	return ok && largest.length >= roundUp(n)
}

// FreeBytes returns the free bytes of a cell without the quarantined ones.
func (s *Space) FreeBytes(now logic.Micros, cell int) int64 { s.advance(now); return s.free[cell] }

// Totals returns the free and the allocated bytes of all cells; quarantined bytes count as neither.
func (s *Space) Totals(now logic.Micros) (free, used int64) {
	s.advance(now)
	for _, x := range s.slabs {
		used += x.Len / Unit * Unit
	}
	for _, n := range s.free {
		free += n
	}
	for _, r := range s.quarantine {
		used -= r.length
	}
	return free, used - free
}
