package engine

import (
	"fmt"
	"maps"
	"slices"

	"appleplank/internal/settings"
	"appleplank/logic"
	"appleplank/placing"
	"appleplank/ranges"
	"appleplank/slabs"
)

// A volume of objects has no addresses that its clients know: a write of a new object may go to any node, logic places
// it, and it gets its bytes at the node it is sent to. Where it lies is told with its answer; reads go there like any.

// object is a new object on its way.
type object struct {
	placing.ObjectPlacement
	places map[int]int64 // by cell: where it was sent to
	served bool
	at     int64 // where it lies, once it is served
}

func newSpace(v *settings.Volume) *slabs.Space {
	var all []slabs.Slab
	for _, x := range v.Extents {
		all = append(all, slabs.Slab{Cell: x.Cell, From: x.Start, Len: x.Len})
	}
	return slabs.New(all)
}

// cell is the one that a piece goes to, below zero where it may go to any.
func (p *piece) cell() int {
	if p.object != nil {
		return p.object.OnlyCell
	}
	return p.place.Cell
}

// newObject takes a write of a new object.
func (c *Core) newObject(now logic.Micros, op *Op, v *volume, by logic.Micros) {
	p := c.newPiece(op, v, nil, 0, 0, op.Len, by)
	p.ordered = false
	p.object = &object{ObjectPlacement: placing.ObjectPlacement{OnlyCell: -1}, places: map[int]int64{}}
	if wait := v.space.PauseLeft(now); wait > 0 {
		c.answer(now, p, ranges.Refused, wait)
		return
	}
	var cells []placing.Cell
	for i := range c.cfg.Nodes { // also those that hold no slab of this volume: logic must not choose them either
		n := &c.cfg.Nodes[i]
		if slices.ContainsFunc(cells, func(x placing.Cell) bool { return x.ID == n.Cell }) {
			continue
		}
		cells = append(cells, placing.Cell{ID: n.Cell, Zone: c.zone(n), Ready: c.reach(n.Cell), NoRoom: !v.space.Fits(now, n.Cell, op.Len),
			Used: -v.space.FreeBytes(now, n.Cell)})
	}
	var err error
	if p.object.ObjectPlacement, err = placing.PlaceObject(cells, c.cfg.Logic.Zone, op.Len); err != nil {
		op.NoRoom = true
		c.answer(now, p, ranges.Refused, 0)
		return
	}
	c.part(now, p)
}

// findRoom gives an attempt of a new object its bytes at the node it goes to; a further attempt there has the same.
func (c *Core) findRoom(now logic.Micros, a *attempt) bool {
	p := a.p
	cell := c.nodes[a.Node].Cell
	at, known := p.object.places[cell]
	if !known {
		var ok bool
		if at, ok = p.vol.space.Alloc(now, cell, p.len); !ok {
			return false
		}
		p.object.places[cell] = at
	}
	x := &p.vol.Extents[p.vol.find(at)]
	a.Namespace, a.Offset, a.object = x.Namespace, x.Base+at-x.Start, at
	return true
}

// objectEnded notes where a new object lies, and what an attempt may yet do to its bytes.
func (c *Core) objectEnded(a *attempt, o logic.Outcome) {
	p := a.p
	switch o {
	case logic.OK:
		if !p.answered {
			p.object.served, p.object.at = true, a.object
			p.op.Offset = a.object
		}
	case logic.TimedOut, logic.Reset, logic.Cancelled:
		p.vol.space.WriteInFlight(a.object, p.rest)
	}
}

// letGo gives back the bytes that a new object got and does not lie on.
func (c *Core) letGo(now logic.Micros, p *piece) {
	o := p.object
	for _, at := range sorted(o.places) {
		if !o.served || at != o.at {
			if err := p.vol.space.Free(now, at); err != nil {
				c.out = append(c.out, Action{Kind: Note, Text: err.Error()})
			}
		}
	}
	o.places = nil
}

// sorted gives the places in the order of the cells, so that nothing depends on map order.
func sorted(places map[int]int64) (out []int64) {
	for _, cell := range slices.Sorted(maps.Keys(places)) {
		out = append(out, places[cell])
	}
	return out
}

// TakeSpace marks what an object lies on as used, before anything happens.
func (c *Core) TakeSpace(volume int, at, n int64) error {
	v := &c.vols[volume]
	if v.space == nil {
		return fmt.Errorf("engine: volume %q is a disk", v.Name)
	}
	return v.space.MarkAllocated(at, n)
}

// FreeSpace gives an object's bytes back. Nobody may read them any more.
func (c *Core) FreeSpace(now logic.Micros, volume int, at int64) {
	if err := c.vols[volume].space.Free(now, at); err != nil {
		c.out = append(c.out, Action{Kind: Note, Text: err.Error()})
	}
}

// Space tells the free and used bytes of a volume of objects.
func (c *Core) Space(now logic.Micros, volume int) (free, used int64) {
	return c.vols[volume].space.Totals(now)
}
