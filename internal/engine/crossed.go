package engine

import (
	"cmp"
	"slices"

	"appleplank/crossing"
	"appleplank/internal/block"
	"appleplank/internal/settings"
	"appleplank/logic"
)

// Reason says why bytes crossed, or that they did not.
type Reason uint8

const (
	AtHome     Reason = iota // the node is in this gateway's zone
	NoCopyHere               // a first attempt at data that lies elsewhere alone
	Again                    // a further attempt
	TooLate                  // an attempt whose end nobody waited for any more
	Spill                    // a read that a copy at home would have answered too late
	Copied                   // a change on its way to one of several copies
	Moved                    // catching up a copy
	Withheld                 // not sent: what the budget has refused, by what it would have cost
)

func (r Reason) String() string {
	return [...]string{"at home", "no copy here", "repeat", "ended too late", "spill", "copy", "move", "withheld"}[r]
}

// ledgerKey is what is counted apart.
type ledgerKey struct {
	volume uint64
	class  int
	zone   int
	reason Reason
}

// Crossed is a row of the ledger: bytes on the connections, headers included.
type Crossed struct {
	Volume   uint64
	Class    int
	Zone     int // of the node
	Reason   Reason
	Attempts uint64
	Out, In  int64
}

// overhead is about what headers add to a request's data; the true sum is settled when an attempt ends.
const overhead = 160

func (c *Core) foreign(zone int) bool { return crossing.CrossesZones(c.cfg.Logic.Zone, zone) }

// mayCross asks the budget for a piece whose data lies in no node of this gateway's zone; wait is when to come back.
func (c *Core) mayCross(now logic.Micros, p *piece) (wait logic.Micros, ok bool) {
	if p.object != nil && p.object.HomeOnly {
		return 0, true
	}
	p.asked, wait, ok = c.ask(now, p.op.Class, p.cell(), dataBytes(p.op.Kind, p.len))
	if !ok {
		c.withheld(p.vol, p.op, p.cell(), p.len)
	}
	return wait, ok
}

// withheld counts what was not sent for the budget.
func (c *Core) withheld(v *volume, op *Op, cell int, n int64) {
	row := c.row(ledgerKey{v.ID, op.Class, c.zoneOf(cell), Withheld})
	row.Attempts++
	row.Out += dataBytes(op.Kind, n) + overhead
}

// zone is that of a node, as it was last told.
func (c *Core) zone(n *settings.Node) int {
	if x, listed := c.nodes[n.ID]; listed {
		return x.Zone
	}
	return n.Zone
}

// zoneOf is the zone of a cell's node.
func (c *Core) zoneOf(cell int) int {
	for i := range c.cfg.Nodes {
		if n := &c.cfg.Nodes[i]; n.Cell == cell {
			return c.zone(n)
		}
	}
	return -1
}

// row is a row of the ledger.
func (c *Core) row(k ledgerKey) *Crossed {
	row := c.ledger[k]
	if row == nil {
		row = &Crossed{Volume: k.volume, Class: k.class, Zone: k.zone, Reason: k.reason}
		c.ledger[k] = row
	}
	return row
}

// dataBytes is what a request's data comes to on a connection.
func dataBytes(k block.Kind, n int64) int64 {
	if k == block.Read || k == block.Write {
		return n
	}
	return 0
}

// ask asks the budget for a request of a class to a cell, with so much data. Asked is 0 where nothing crosses.
func (c *Core) ask(now logic.Micros, class, cell int, data int64) (asked float64, wait logic.Micros, ok bool) {
	if c.cfg.Crossing.Rate <= 0 || c.cfg.Logic.Zone < 0 || c.home[cell] || len(c.nodes) == 0 {
		return 0, 0, true
	}
	asked = float64(data + overhead)
	if ok, wait = c.budget.Admit(now, class, asked); !ok {
		return 0, wait, false
	}
	return asked, 0, true
}

// reason says why a piece's next attempt is made, if it crosses.
func (c *Core) reason(p *piece) Reason {
	switch {
	case p.op.fill != nil:
		return Moved
	case p.tries > 0:
		return Again
	case p.change != nil:
		return Copied
	case p.way.CrossesZones:
		return Spill
	}
	return NoCopyHere
}

// crossed settles an attempt's bytes with budget and ledger. A zone that is not known is a foreign one.
func (c *Core) crossed(now logic.Micros, a *attempt, r block.Result) {
	n, known := c.nodes[a.Node]
	k := ledgerKey{c.cfg.Volumes[a.volume].ID, a.class, n.Zone, AtHome}
	if !known {
		n.Zone = -1
	}
	if c.foreign(n.Zone) {
		switch bytes := float64(r.BytesOut+r.BytesIn) - a.asked; {
		case bytes >= 0:
			c.budget.Charge(now, bytes)
		default:
			c.budget.Refund(now, -bytes)
		}
		k.reason = a.reason
		if !a.drive.Pending() {
			k.reason = TooLate
		}
	}
	row := c.row(k)
	row.Attempts++
	row.Out += r.BytesOut
	row.In += r.BytesIn
}

// zones takes news of the nodes: which cells are at home, and which zones have lost how many.
func (c *Core) zones(now logic.Micros, news []logic.Node) {
	for _, n := range news {
		c.nodes[n.ID] = n
	}
	clear(c.home)
	clear(c.ready)
	var zones []crossing.Zone
	for k := range c.cfg.Nodes {
		known := &c.cfg.Nodes[k]
		n, listed := c.nodes[known.ID]
		zone := c.zone(known)
		i := slices.IndexFunc(zones, func(z crossing.Zone) bool { return z.ID == zone })
		if i < 0 {
			i = len(zones)
			zones = append(zones, crossing.Zone{ID: zone})
		}
		zones[i].Nodes++
		if listed && n.State == logic.Ready {
			zones[i].Ready++
			c.ready[n.Cell] = true
			c.home[n.Cell] = c.home[n.Cell] || !c.foreign(n.Zone)
		}
	}
	c.budget.UpdateZones(now, zones)
	c.lookAgain() // a copy may be in reach again
}

// Crossing copies the ledger, in a fixed order, and what is left of the budget.
func (c *Core) Crossing(now logic.Micros) (rows []Crossed, m crossing.Snapshot) {
	for _, r := range c.ledger {
		rows = append(rows, *r)
	}
	slices.SortFunc(rows, func(a, b Crossed) int {
		return cmp.Or(cmp.Compare(a.Volume, b.Volume), cmp.Compare(a.Class, b.Class), cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Reason, b.Reason))
	})
	return rows, c.budget.Snapshot(now)
}

// RememberCrossing takes up what an earlier process has counted, and what it had left, so long ago; nothing is at hand
// where that is not known.
func (c *Core) RememberCrossing(rows []Crossed, m *crossing.Snapshot, age logic.Micros) error {
	for _, r := range rows {
		row := r
		c.ledger[ledgerKey{r.Volume, r.Class, r.Zone, r.Reason}] = &row
	}
	return c.budget.Restore(m, age)
}
