package slabs

import (
	"testing"

	"appleplank/logic"

	"pgregory.net/rapid"
)

// For any sequence of allocations, frees, quarantines and restarts: no two allocated runs overlap, each lies in one
// slab of its cell, a quarantined run is not allocated early, and freed runs merge into one per slab.
func TestSpace(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slabs := []Slab{{0, 0, 20 * Unit}, {1, 20 * Unit, 16*Unit + 100}, {0, 40 * Unit, 8 * Unit}}
		s := New(slabs)
		now := logic.Micros(1000)
		type object struct {
			from, n int64
			until   logic.Micros
		}
		var allocated, quarantined []object
		checkRun := func(from, n int64, cell int) {
			x := s.slabAt(from)
			if x == nil || x.Cell != cell || from < x.From || from+roundUp(n) > x.From+x.Len {
				t.Fatalf("%d bytes at offset %d lie in no slab of cell %d", n, from, cell)
			}
			for _, o := range allocated {
				if from < o.from+roundUp(o.n) && o.from < from+roundUp(n) {
					t.Fatalf("%d+%d overlaps %d+%d", from, n, o.from, o.n)
				}
			}
			for _, o := range quarantined {
				if o.until > now && from < o.from+roundUp(o.n) && o.from < from+roundUp(n) {
					t.Fatalf("%d+%d is allocated while quarantined until %d, at %d", from, n, o.until, now)
				}
			}
		}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			switch k := rapid.IntRange(0, 9).Draw(t, "what"); {
			case k < 5:
				cell, n := rapid.IntRange(0, 2).Draw(t, "cell"), rapid.Int64Range(0, 7*Unit).Draw(t, "n")
				fits := s.Fits(now, cell, n)
				from, ok := s.Alloc(now, cell, n)
				if ok != fits {
					t.Fatalf("Fits gives %v, Alloc %v", fits, ok)
				}
				if ok {
					checkRun(from, n, cell)
					allocated = append(allocated, object{from: from, n: n})
				}
			case k < 8 && len(allocated) > 0:
				i := rapid.IntRange(0, len(allocated)-1).Draw(t, "which")
				o := allocated[i]
				if rapid.Bool().Draw(t, "busy") {
					o.until = now + 500
					s.WriteInFlight(o.from, o.until)
				}
				if err := s.Free(now, o.from); err != nil {
					t.Fatal(err)
				}
				if s.Free(now, o.from) == nil {
					t.Fatal("freed twice without an error")
				}
				allocated = append(allocated[:i], allocated[i+1:]...)
				quarantined = append(quarantined, o)
			case k == 8: // a restart: only the catalogued objects are allocated
				s = New(slabs)
				for _, o := range allocated {
					if err := s.MarkAllocated(o.from, o.n); err != nil {
						t.Fatal(err)
					}
				}
				for _, o := range allocated {
					if s.MarkAllocated(o.from, o.n) == nil {
						t.Fatal("taken twice without an error")
					}
				}
				quarantined = nil
			default:
				now += logic.Micros(rapid.IntRange(1, 800).Draw(t, "pass"))
			}
		}
		for _, o := range allocated {
			s.Free(now, o.from)
		}
		now += 10_000
		free, used := s.Totals(now)
		if free != 44*Unit || used != 0 || s.freeByOffset.Len() != 3 || s.FreeBytes(now, 1) != 16*Unit {
			t.Fatalf("%d bytes free, %d allocated, %d free runs", free, used, s.freeByOffset.Len())
		}
	})
}

func TestTakeOutside(t *testing.T) {
	s := New([]Slab{{0, 0, 4 * Unit}, {1, 4 * Unit, 4 * Unit}})
	for _, x := range [][2]int64{{-Unit, 1}, {8 * Unit, 1}, {100, 1}, {3 * Unit, 2 * Unit}} {
		if s.MarkAllocated(x[0], x[1]) == nil {
			t.Errorf("%d bytes at offset %d were accepted", x[1], x[0])
		}
	}
}
