package engine

import (
	"cmp"
	"slices"

	"appleplank/crossing"
	"appleplank/internal/block"
	"appleplank/internal/settings"
	"appleplank/logic"
)

// Reason is the reason why bytes crossed to another zone, or that they did not.
type Reason uint8

const (
	LocalZone      Reason = iota // the node is in this gateway's zone
	NoCopyHere                   // a first attempt at data of which no copy lies in this zone
	Retry                        // another attempt after one that ended
	TooLate                      // an attempt that ended after it had been given up
	Spill                        // a read that a copy in this zone would have answered too late
	MirroredChange               // a change sent to one of several copies
	CatchUp                      // catching up a stale copy
	Withheld                     // not sent because the budget refused it; counted by its estimated bytes
)

func (r Reason) String() string {
	return [...]string{"at home", "no copy here", "repeat", "ended too late", "spill", "copy", "move", "withheld"}[r]
}

// ledgerKey identifies a row of the ledger.
type ledgerKey struct {
	volume uint64
	class  int
	zone   int
	reason Reason
}

// CrossingRow is a row of the ledger. It counts bytes on the connections, headers included.
type CrossingRow struct {
	Volume   uint64
	Class    int
	Zone     int // of the node
	Reason   Reason
	Attempts uint64
	Out, In  int64
}

// headerOverhead estimates the bytes that headers add to a request's data. The exact number is settled when an attempt
// ends.
const headerOverhead = 160

func (c *Core) isForeign(zone int) bool { return crossing.CrossesZones(c.cfg.Logic.Zone, zone) }

// requestCrossing requests budget for a piece whose data has no node in this gateway's zone. If that fails, wait is the
// delay before the next try.
func (c *Core) requestCrossing(now logic.Micros, p *piece) (wait logic.Micros, ok bool) {
	if p.object != nil && p.object.HomeOnly {
		return 0, true
	}
	p.budgetBytes, wait, ok = c.requestBudget(now, p.op.Class, p.cell(), dataBytes(p.op.Kind, p.len))
	if !ok {
		c.recordWithheld(p.volume, p.op, p.cell(), p.len)
	}
	return wait, ok
}

// recordWithheld counts a request that was not sent because the budget refused it.
func (c *Core) recordWithheld(v *volume, op *Op, cell int, n int64) {
	row := c.ledgerRow(ledgerKey{v.ID, op.Class, c.cellZone(cell), Withheld})
	row.Attempts++
	row.Out += dataBytes(op.Kind, n) + headerOverhead
}

// nodeZone returns the zone of a node as last reported, or else as configured.
func (c *Core) nodeZone(n *settings.Node) int {
	if x, listed := c.nodes[n.ID]; listed {
		return x.Zone
	}
	return n.Zone
}

// cellZone returns the zone of the cell's first node, or -1 if it has none.
func (c *Core) cellZone(cell int) int {
	for i := range c.cfg.Nodes {
		if n := &c.cfg.Nodes[i]; n.Cell == cell {
			return c.nodeZone(n)
		}
	}
	return -1
}

// ledgerRow returns the row of the ledger for a key, and adds it if there is none.
func (c *Core) ledgerRow(k ledgerKey) *CrossingRow {
	row := c.ledger[k]
	if row == nil {
		row = &CrossingRow{Volume: k.volume, Class: k.class, Zone: k.zone, Reason: k.reason}
		c.ledger[k] = row
	}
	return row
}

// dataBytes returns the number of data bytes that a request transfers on a connection.
func dataBytes(k block.Kind, n int64) int64 {
	if k == block.Read || k == block.Write {
		return n
	}
	return 0
}

// requestBudget requests budget for a request of a class to a cell with the given number of data bytes. Asked is 0
// where nothing crosses zones.
func (c *Core) requestBudget(now logic.Micros, class, cell int, data int64) (asked float64, wait logic.Micros, ok bool) {
	if c.cfg.Crossing.Rate <= 0 || c.cfg.Logic.Zone < 0 || c.localCells[cell] || len(c.nodes) == 0 {
		return 0, 0, true
	}
	asked = float64(data + headerOverhead)
	if ok, wait = c.budget.Admit(now, class, asked); !ok {
		return 0, wait, false
	}
	return asked, 0, true
}

// attemptReason returns the reason that the next attempt of a piece is counted under if it crosses zones.
func (c *Core) attemptReason(p *piece) Reason {
	switch {
	case p.op.fill != nil:
		return CatchUp
	case p.attempts > 0:
		return Retry
	case p.change != nil:
		return MirroredChange
	case p.route.CrossesZones:
		return Spill
	}
	return NoCopyHere
}

// settleTransfer settles an attempt's bytes with the budget and the ledger. An unknown zone counts as a foreign one.
func (c *Core) settleTransfer(now logic.Micros, a *attempt, r block.Result) {
	n, known := c.nodes[a.Node]
	k := ledgerKey{c.cfg.Volumes[a.volume].ID, a.class, n.Zone, LocalZone}
	if !known {
		n.Zone = -1
	}
	if c.isForeign(n.Zone) {
		switch bytes := float64(r.BytesOut+r.BytesIn) - a.budgetBytes; {
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
	row := c.ledgerRow(k)
	row.Attempts++
	row.Out += r.BytesOut
	row.In += r.BytesIn
}

// updateNodes processes changes of the node list. It determines which cells are local and ready, and reports the number
// of ready nodes per zone to the budget.
func (c *Core) updateNodes(now logic.Micros, news []logic.Node) {
	for _, n := range news {
		c.nodes[n.ID] = n
	}
	clear(c.localCells)
	clear(c.readyCells)
	var zones []crossing.Zone
	for k := range c.cfg.Nodes {
		known := &c.cfg.Nodes[k]
		n, listed := c.nodes[known.ID]
		zone := c.nodeZone(known)
		i := slices.IndexFunc(zones, func(z crossing.Zone) bool { return z.ID == zone })
		if i < 0 {
			i = len(zones)
			zones = append(zones, crossing.Zone{ID: zone})
		}
		zones[i].Nodes++
		if listed && n.State == logic.Ready {
			zones[i].Ready++
			c.readyCells[n.Cell] = true
			c.localCells[n.Cell] = c.localCells[n.Cell] || !c.isForeign(n.Zone)
		}
	}
	c.budget.UpdateZones(now, zones)
	c.recheckMirrors() // a copy may have become reachable
}

// Crossing returns a copy of the ledger, sorted, and the state of the budget.
func (c *Core) Crossing(now logic.Micros) (rows []CrossingRow, m crossing.Snapshot) {
	for _, r := range c.ledger {
		rows = append(rows, *r)
	}
	slices.SortFunc(rows, func(a, b CrossingRow) int {
		return cmp.Or(cmp.Compare(a.Volume, b.Volume), cmp.Compare(a.Class, b.Class), cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Reason, b.Reason))
	})
	return rows, c.budget.Snapshot(now)
}

// RestoreCrossing restores the ledger and the crossing budget of an earlier process. Age is the time since they were
// saved, 0 if unknown: then the budget has gained nothing since. The budget starts empty if m is nil.
func (c *Core) RestoreCrossing(rows []CrossingRow, m *crossing.Snapshot, age logic.Micros) error {
	for _, r := range rows {
		row := r
		c.ledger[ledgerKey{r.Volume, r.Class, r.Zone, r.Reason}] = &row
	}
	return c.budget.Restore(m, age)
}
