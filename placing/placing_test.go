package placing

import (
	"errors"
	"reflect"
	"testing"

	"pgregory.net/rapid"
)

func TestPlace(t *testing.T) {
	const gib = 1 << 30
	good := func(id, zone int) Cell { return Cell{ID: id, Zone: zone, Ready: true, Capacity: 10 * gib} }
	modified := func(c Cell, f func(c *Cell)) Cell { f(&c); return c }
	cold := func(c *Cell) { c.Cold = true }
	full := func(c *Cell) { c.Used = c.Capacity - gib/2 }
	fails := func(c *Cell) { c.FailureShare = 0.3 }
	for _, x := range []struct {
		name   string
		cells  []Cell
		copies int
		want   []int // nil: NoRoomError
	}{
		{"at home", []Cell{good(0, 1), good(1, 0)}, 1, []int{1}},
		{"a copy elsewhere", []Cell{good(0, 0), good(1, 0), good(2, 1)}, 2, []int{0, 2}},
		{"the emptiest at home", []Cell{modified(good(0, 0), func(c *Cell) { c.Used = gib }), good(1, 0), good(2, 1)}, 1, []int{1}},
		{"home is cold", []Cell{modified(good(0, 0), cold), good(1, 1)}, 1, []int{1}},
		{"home is failing", []Cell{modified(good(0, 0), fails), good(1, 1)}, 1, []int{1}},
		{"home is full", []Cell{modified(good(0, 0), full), good(1, 1)}, 1, []int{1}},
		{"home is not ready", []Cell{modified(good(0, 0), func(c *Cell) { c.Ready = false }), good(1, 1)}, 1, []int{1}},
		{"all are cold", []Cell{modified(good(0, 1), cold), modified(good(1, 0), cold)}, 1, []int{1}},
		{"a cold one in another zone before a good one in the same", []Cell{good(0, 0), good(1, 0), modified(good(2, 1), cold)}, 2, []int{0, 2}},
		{"one zone only", []Cell{good(0, 0), good(1, 0)}, 2, []int{0, 1}},
		{"zones unknown", []Cell{good(0, -1), good(1, -1)}, 2, []int{0, 1}},
		{"no room", []Cell{modified(good(0, 0), full), modified(good(1, 1), full)}, 1, nil},
		{"no room for a second", []Cell{good(0, 0)}, 2, nil},
	} {
		got, err := Place(x.cells, 0, gib, x.copies)
		var none *NoRoomError
		if !reflect.DeepEqual(got, x.want) || (x.want == nil) != errors.As(err, &none) {
			t.Errorf("%s: %v, %v; want %v", x.name, got, err, x.want)
		}
	}
}

func TestNewObject(t *testing.T) {
	cell := func(id, zone int, ready, room bool) Cell {
		return Cell{ID: id, Zone: zone, Ready: ready, NoRoom: !room}
	}
	for _, x := range []struct {
		name      string
		cells     []Cell
		home      int
		want      ObjectPlacement
		wantError bool
	}{
		{"no zones", []Cell{cell(0, -1, true, true), cell(1, -1, true, true)}, -1, ObjectPlacement{false, -1}, false},
		{"no zones, one full", []Cell{cell(0, -1, true, false), cell(1, -1, true, true)}, -1, ObjectPlacement{false, 1}, false},
		{"home", []Cell{cell(0, 0, true, true), cell(1, 1, true, true)}, 0, ObjectPlacement{true, -1}, false},
		{"home, one cell full", []Cell{cell(0, 0, true, false), cell(1, 0, true, true), cell(2, 1, true, true)}, 0, ObjectPlacement{false, 1}, false},
		{"home full", []Cell{cell(0, 0, true, false), cell(1, 1, true, true)}, 0, ObjectPlacement{false, 1}, false},
		{"home not ready", []Cell{cell(0, 0, false, true), cell(1, 1, true, true)}, 0, ObjectPlacement{false, -1}, false},
		{"other zone full", []Cell{cell(0, 0, true, true), cell(1, 1, true, false)}, 0, ObjectPlacement{true, -1}, false},
		{"all full", []Cell{cell(0, 0, true, false), cell(1, 1, true, false)}, 0, ObjectPlacement{false, -1}, true},
		{"no cells", nil, 0, ObjectPlacement{false, -1}, true},
	} {
		got, err := PlaceObject(x.cells, x.home, 1)
		if got != x.want || (err != nil) != x.wantError {
			t.Errorf("%s: %+v, %v; want %+v", x.name, got, err, x.want)
		}
	}
}

// Copies never share a cell, no cell is overfilled, copies share a zone only if too few zones have room, and the good
// cells of a zone are filled evenly.
func TestPlaceEvenly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zones, cellsPerZone := rapid.IntRange(1, 3).Draw(t, "zones"), rapid.IntRange(1, 5).Draw(t, "each")
		var cells []Cell
		for i := range zones * cellsPerZone {
			cells = append(cells, Cell{ID: i, Zone: i % zones, Ready: true, Capacity: 100})
		}
		copies := rapid.IntRange(1, 3).Draw(t, "copies")
		for {
			ids, err := Place(cells, 0, 10, copies)
			if err != nil {
				break
			}
			seen, zonesUsed := map[int]bool{}, map[int]bool{}
			for _, id := range ids {
				seen[id], zonesUsed[cells[id].Zone] = true, true
			}
			if len(seen) != copies {
				t.Fatalf("%v: copies share a cell", ids)
			}
			zonesWithRoom := map[int]bool{}
			for _, c := range cells {
				if c.Used > c.Capacity {
					t.Fatalf("cell %d is overfilled", c.ID)
				}
				if c.Used+10 <= c.Capacity || seen[c.ID] {
					zonesWithRoom[c.Zone] = true
				}
			}
			if len(zonesUsed) < min(copies, len(zonesWithRoom)) {
				t.Fatalf("%v are in %d zones, %d zones have room", ids, len(zonesUsed), len(zonesWithRoom))
			}
			minUsed, maxUsed := int64(100), int64(0)
			for _, c := range cells {
				if c.Zone == 0 {
					minUsed, maxUsed = min(minUsed, c.Used), max(maxUsed, c.Used)
				}
			}
			if maxUsed-minUsed > 10 {
				t.Fatalf("zone 0 is filled from %d to %d", minUsed, maxUsed)
			}
		}
	})
}
