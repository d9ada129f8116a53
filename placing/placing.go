// Package placing chooses the cells for a new extent or object and its copies. The first copy goes to the zone of the
// requesting gateway unless its cells are full, cold or failing; each further copy goes to a zone without a copy as
// long as there is one; and among equal cells the least filled one is chosen, so that the pool fills evenly.
//
// This prevents new volumes from being placed in a remote zone, or with all copies in one zone, unintentionally.
// Drawback: if a zone is nearly full, the last data placed there goes to few cells, which then serve most of the
// requests for it.
//
// The package has no clock, goroutines or I/O, and no decision depends on map order.
package placing

import (
	"fmt"
	"slices"
)

// failingShare is the share of failed attempts from which a cell is avoided as long as other cells are left.
const failingShare = 0.1

// Cell is the state of a cell that placement uses.
type Cell struct {
	ID           int
	Zone         int     // below zero: unknown, not shared with any other cell
	Ready        bool    // a node that accepts work serves it
	Cold         bool    // that node started only recently
	FailureShare float64 // share of failed attempts
	Capacity     int64   // bytes; 0: unknown, treated as unlimited
	Used         int64   // bytes of the extents placed there
	NoRoom       bool    // the data to be placed does not fit, whatever Capacity and Used are
}

// full reports whether size more bytes do not fit.
func (c *Cell) full(size int64) bool { return c.NoRoom || c.Capacity > 0 && c.Used+size > c.Capacity }

// rank returns the suitability of a cell: 0 good, 1 only if no good cell is left, 2 never.
func (c *Cell) rank(size int64) int {
	switch {
	case c.full(size):
		return 2
	case !c.Ready || c.Cold || c.FailureShare >= failingShare:
		return 1
	}
	return 0
}

// NoRoomError reports that fewer cells have room than copies are required.
type NoRoomError struct {
	Size         int64
	Copies, Have int
}

func (e *NoRoomError) Error() string {
	return fmt.Sprintf("placing: %d bytes in %d copies: only %d cells have room", e.Size, e.Copies, e.Have)
}

// Place chooses the cells for a new extent of size bytes with the given number of copies; the first one is the lead.
// Home is the zone of the requesting gateway, below zero if it has none. Place adds size to Used of the chosen cells,
// so that consecutive calls take earlier ones into account.
func Place(cells []Cell, home int, size int64, copies int) (ids []int, err error) {
	var chosen []int // indexes
	zones := map[int]int{}
	for len(chosen) < copies {
		bestIndex := -1
		for i := range cells {
			if cells[i].rank(size) == 2 || slices.Contains(chosen, i) {
				continue
			}
			if bestIndex < 0 || better(&cells[i], &cells[bestIndex], home, size, zones, len(chosen) == 0) {
				bestIndex = i
			}
		}
		if bestIndex < 0 {
			return nil, &NoRoomError{size, copies, len(chosen)}
		}
		chosen = append(chosen, bestIndex)
		if z := cells[bestIndex].Zone; z >= 0 {
			zones[z]++
		}
	}
	for _, i := range chosen {
		cells[i].Used += size
		ids = append(ids, cells[i].ID)
	}
	return ids, nil
}

// ObjectPlacement restricts the cells that a new object may go to.
type ObjectPlacement struct {
	HomeOnly bool // only cells of the requesting gateway's zone
	OnlyCell int  // only this cell; below zero: no such restriction
}

// PlaceObject returns the cells among which package logic, which knows neither zones nor free space, may place a new
// object of size bytes: those of the requesting gateway's zone as long as a ready cell there has room. Exception: if
// some of the cells that logic could choose from have no room, PlaceObject chooses the cell itself.
func PlaceObject(cells []Cell, home int, size int64) (o ObjectPlacement, err error) {
	o.OnlyCell = -1
	var usable, anyFull [2]bool // at home, anywhere
	for i := range cells {
		c := &cells[i]
		local := home >= 0 && c.Zone == home
		fits := !c.full(size)
		usable[0], usable[1] = usable[0] || local && fits && c.Ready, usable[1] || fits
		anyFull[0], anyFull[1] = anyFull[0] || local && !fits, anyFull[1] || !fits
	}
	switch {
	case usable[0] && !anyFull[0]:
		o.HomeOnly = true
	case usable[0] || anyFull[1]:
		ids, err := Place(cells, home, size, 1)
		if err != nil {
			return o, err
		}
		o.OnlyCell = ids[0]
	case !usable[1]:
		return o, &NoRoomError{size, 1, 0}
	}
	return o, nil
}

// better reports whether cell a is preferable to cell b for the next copy. A zone that already holds a copy comes after
// any that does not, even if the cells of the latter are cold, because copies in one zone are lost together.
func better(a, b *Cell, home int, size int64, zones map[int]int, first bool) bool {
	if !first {
		if x, y := zones[a.Zone], zones[b.Zone]; x != y {
			return x < y
		}
	}
	if x, y := a.rank(size), b.rank(size); x != y {
		return x < y
	}
	if x, y := home >= 0 && a.Zone == home, home >= 0 && b.Zone == home; first && x != y {
		return x
	}
	if x, y := a.fillLevel(), b.fillLevel(); x != y {
		return x < y
	}
	return a.ID < b.ID
}

// fillLevel returns the used share of a cell's capacity. An unknown capacity counts as one pebibyte.
func (c *Cell) fillLevel() float64 {
	if c.Capacity > 0 {
		return float64(c.Used) / float64(c.Capacity)
	}
	return float64(c.Used) / (1 << 50)
}
