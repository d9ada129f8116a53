// Package placing decides where a new extent or object and its copies go: into the zone of the gateway that asks, unless
// what is there is full, cold or failing; each further copy to another zone than those before it, as long as there is
// one; and among equals to the cell that holds least, so that a pool fills evenly.
//
// It guards against a new volume that lies a zone away, or in one zone with all its copies, for want of anybody looking.
// It could harm where a zone is nearly full: what is placed there last goes to few cells, which then serve most of it.
//
// It has no clock, goroutine or I/O, and never acts on map order.
package placing

import (
	"fmt"
	"slices"
)

// failing is the share of attempts that fail from which a cell is passed by as long as others are left.
const failing = 0.1

// Cell is what is known of a cell.
type Cell struct {
	ID       int
	Zone     int     // below zero: not told; one of its own
	Ready    bool    // a node that takes work holds it
	Cold     bool    // that node has only just started
	Failing  float64 // share of its attempts that fail
	Capacity int64   // bytes; 0: not told, and never full
	Used     int64   // bytes of extents that lie there
	NoRoom   bool    // what is to be placed does not fit, whatever the sums say
}

// full tells whether so many more bytes do not fit.
func (c *Cell) full(size int64) bool { return c.NoRoom || c.Capacity > 0 && c.Used+size > c.Capacity }

// worse is how bad a cell is to place on: 0 good, 1 to be passed by while others are left, 2 never.
func (c *Cell) worse(size int64) int {
	switch {
	case c.full(size):
		return 2
	case !c.Ready || c.Cold || c.Failing >= failing:
		return 1
	}
	return 0
}

// NoRoomError says that too few cells have room.
type NoRoomError struct {
	Size         int64
	Copies, Have int
}

func (e *NoRoomError) Error() string {
	return fmt.Sprintf("placing: %d bytes in %d copies: only %d cells have room", e.Size, e.Copies, e.Have)
}

// Place finds the cells for a new extent of so many bytes with so many copies; the first is where it leads. Home is the
// zone that asks, below zero where it has none. The cells' Used is counted up, so that calls can follow one another.
func Place(cells []Cell, home int, size int64, copies int) (ids []int, err error) {
	var chosen []int // indexes
	zones := map[int]int{}
	for len(chosen) < copies {
		best := -1
		for i := range cells {
			if cells[i].worse(size) == 2 || slices.Contains(chosen, i) {
				continue
			}
			if best < 0 || better(&cells[i], &cells[best], home, size, zones, len(chosen) == 0) {
				best = i
			}
		}
		if best < 0 {
			return nil, &NoRoomError{size, copies, len(chosen)}
		}
		chosen = append(chosen, best)
		if z := cells[best].Zone; z >= 0 {
			zones[z]++
		}
	}
	for _, i := range chosen {
		cells[i].Used += size
		ids = append(ids, cells[i].ID)
	}
	return ids, nil
}

// Object is where a new object may go: to any cell, unless it says otherwise.
type Object struct {
	Home bool // only to cells of the zone that asks
	Only int  // only to this cell; below zero: not
}

// NewObject tells where logic, which knows nothing of zones and room, may place a new object of so many bytes: in the zone
// that asks as long as a cell there takes it. Exception: where some of the cells that logic could choose from have no room,
// the cell is found here.
func NewObject(cells []Cell, home int, size int64) (o Object, err error) {
	o.Only = -1
	var good, full [2]bool // at home, anywhere
	for i := range cells {
		c := &cells[i]
		here := home >= 0 && c.Zone == home
		fits := !c.full(size)
		good[0], good[1] = good[0] || here && fits && c.Ready, good[1] || fits
		full[0], full[1] = full[0] || here && !fits, full[1] || !fits
	}
	switch {
	case good[0] && !full[0]:
		o.Home = true
	case good[0] || full[1]:
		ids, err := Place(cells, home, size, 1)
		if err != nil {
			return o, err
		}
		o.Only = ids[0]
	case !good[1]:
		return o, &NoRoomError{size, 1, 0}
	}
	return o, nil
}

// better tells whether a cell is better than another for the next copy. A zone that holds a copy already comes after any
// that does not, even where those cells are cold: copies in one zone are lost together.
func better(a, b *Cell, home int, size int64, zones map[int]int, first bool) bool {
	if !first {
		if x, y := zones[a.Zone], zones[b.Zone]; x != y {
			return x < y
		}
	}
	if x, y := a.worse(size), b.worse(size); x != y {
		return x < y
	}
	if x, y := home >= 0 && a.Zone == home, home >= 0 && b.Zone == home; first && x != y {
		return x
	}
	if x, y := a.filled(), b.filled(); x != y {
		return x < y
	}
	return a.ID < b.ID
}

// filled is the part of a cell that is used; of one whose capacity is not told, as if it held a pebibyte.
func (c *Cell) filled() float64 {
	if c.Capacity > 0 {
		return float64(c.Used) / float64(c.Capacity)
	}
	return float64(c.Used) / (1 << 50)
}
