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

// The clients of a volume of objects do not address bytes of it. A write of a new object may go to any node: logic
// chooses the node, and the object gets its space when it is sent there. The answer reports its offset, and reads use
// that offset as in any other volume.

// object is a new object whose write is in progress.
type object struct {
	placing.ObjectPlacement
	offsets map[int]int64 // by cell: the offset allocated for it there
	served  bool
	offset  int64 // its final offset, once it is served
}

func newSpace(v *settings.Volume) *slabs.Space {
	var all []slabs.Slab
	for _, x := range v.Extents {
		all = append(all, slabs.Slab{Cell: x.Cell, From: x.Start, Len: x.Len})
	}
	return slabs.New(all)
}

// cell returns the cell that a piece goes to, or a negative number if it may go to any.
func (p *piece) cell() int {
	if p.object != nil {
		return p.object.OnlyCell
	}
	return p.place.Cell
}

// beginObject starts the write of a new object.
func (c *Core) beginObject(now logic.Micros, op *Op, v *volume, deadline logic.Micros) {
	p := c.newPiece(op, v, nil, 0, 0, op.Len, deadline)
	p.ordered = false
	p.object = &object{ObjectPlacement: placing.ObjectPlacement{OnlyCell: -1}, offsets: map[int]int64{}}
	if wait := v.space.PauseLeft(now); wait > 0 {
		c.answerPiece(now, p, ranges.Refused, wait)
		return
	}
	var cells []placing.Cell
	for i := range c.cfg.Nodes { // includes cells without a slab of this volume, since logic must not choose them either
		n := &c.cfg.Nodes[i]
		if slices.ContainsFunc(cells, func(x placing.Cell) bool { return x.ID == n.Cell }) {
			continue
		}
		cells = append(cells, placing.Cell{ID: n.Cell, Zone: c.nodeZone(n), Ready: c.reachable(n.Cell), NoRoom: !v.space.Fits(now, n.Cell, op.Len),
			Used: -v.space.FreeBytes(now, n.Cell)})
	}
	var err error
	if p.object.ObjectPlacement, err = placing.PlaceObject(cells, c.cfg.Logic.Zone, op.Len); err != nil {
		op.NoSpace = true
		c.answerPiece(now, p, ranges.Refused, 0)
		return
	}
	c.admit(now, p)
}

// allocateSpace allocates space for an attempt of a new object at the node it goes to. A further attempt at the same
// cell reuses that space. It returns false if no space is free.
func (c *Core) allocateSpace(now logic.Micros, a *attempt) bool {
	p := a.piece
	cell := c.nodes[a.Node].Cell
	at, known := p.object.offsets[cell]
	if !known {
		var ok bool
		if at, ok = p.volume.space.Alloc(now, cell, p.len); !ok {
			return false
		}
		p.object.offsets[cell] = at
	}
	x := &p.volume.Extents[p.volume.extentAt(at)]
	a.Namespace, a.Offset, a.objectOffset = x.Namespace, x.Base+at-x.Start, at
	return true
}

// objectEnded records the offset of a served object, and marks its space busy while an attempt may still write to it.
func (c *Core) objectEnded(a *attempt, o logic.Outcome) {
	p := a.piece
	switch o {
	case logic.OK:
		if !p.answered {
			p.object.served, p.object.offset = true, a.objectOffset
			p.op.Offset = a.objectOffset
		}
	case logic.TimedOut, logic.Reset, logic.Cancelled:
		p.volume.space.WriteInFlight(a.objectOffset, p.runningUntil)
	}
}

// freeUnusedSpace frees all space allocated for a new object except where it was stored.
func (c *Core) freeUnusedSpace(now logic.Micros, p *piece) {
	o := p.object
	for _, at := range sortedByCell(o.offsets) {
		if !o.served || at != o.offset {
			if err := p.volume.space.Free(now, at); err != nil {
				c.actions = append(c.actions, Action{Kind: Note, Text: err.Error()})
			}
		}
	}
	o.offsets = nil
}

// sortedByCell returns the offsets in the order of their cells, so that nothing depends on map order.
func sortedByCell(offsets map[int]int64) (out []int64) {
	for _, cell := range slices.Sorted(maps.Keys(offsets)) {
		out = append(out, offsets[cell])
	}
	return out
}

// TakeSpace marks the n bytes of an object at offset at as used. It must be called before any event.
func (c *Core) TakeSpace(volume int, at, n int64) error {
	v := &c.volumes[volume]
	if v.space == nil {
		return fmt.Errorf("engine: volume %q is a disk, not a volume of objects", v.Name)
	}
	return v.space.MarkAllocated(at, n)
}

// FreeSpace frees the space of the object at offset at. Nobody may read the object any more.
func (c *Core) FreeSpace(now logic.Micros, volume int, at int64) {
	if err := c.volumes[volume].space.Free(now, at); err != nil {
		c.actions = append(c.actions, Action{Kind: Note, Text: err.Error()})
	}
}

// Space returns the free and used bytes of a volume of objects.
func (c *Core) Space(now logic.Micros, volume int) (free, used int64) {
	return c.volumes[volume].space.Totals(now)
}
