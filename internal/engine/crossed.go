package engine

import (
	"cmp"
	"slices"

	"appleplank/crossing"
	"appleplank/internal/block"
	"appleplank/logic"
)

// Reason says why bytes crossed, or that they did not.
type Reason uint8

const (
	AtHome     Reason = iota // the node is in this gateway's zone
	NoCopyHere               // a first attempt at data that lies elsewhere alone
	Again                    // a further attempt
	TooLate                  // an attempt whose end nobody waited for any more
)

func (r Reason) String() string {
	return [...]string{"at home", "no copy here", "repeat", "ended too late"}[r]
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

// mayCross asks the budget for a piece whose data lies in no node of this gateway's zone; wait is when to come back.
func (c *Core) mayCross(now logic.Micros, p *piece) (wait logic.Micros, ok bool) {
	if c.cfg.Crossing.Rate <= 0 || c.home[p.extent.Cell] || len(c.nodes) == 0 {
		return 0, true
	}
	bytes := float64(overhead)
	if k := p.op.Kind; k == block.Read || k == block.Write {
		bytes += float64(p.len)
	}
	if ok, wait = c.budget.Ask(now, p.op.Class, bytes); ok {
		p.asked = bytes
	}
	return wait, ok
}

// crossed settles an attempt's bytes with budget and ledger. A zone that is not known is a foreign one.
func (c *Core) crossed(now logic.Micros, a *attempt, r block.Result) {
	n, known := c.nodes[a.Node]
	k := ledgerKey{c.cfg.Volumes[a.volume].ID, a.class, n.Zone, AtHome}
	if !known || n.Zone != c.cfg.Logic.Zone {
		switch bytes := float64(r.Out+r.In) - a.asked; {
		case bytes >= 0:
			c.budget.Spent(now, bytes)
		default:
			c.budget.Back(now, -bytes)
		}
		switch {
		case a.told:
			k.reason = TooLate
		case a.number > 0:
			k.reason = Again
		default:
			k.reason = NoCopyHere
		}
	}
	row := c.ledger[k]
	if row == nil {
		row = &Crossed{Volume: k.volume, Class: k.class, Zone: k.zone, Reason: k.reason}
		c.ledger[k] = row
	}
	row.Attempts++
	row.Out += r.Out
	row.In += r.In
}

// zones takes news of the nodes: which cells are at home, and which zones have lost how many.
func (c *Core) zones(now logic.Micros, news []logic.Node) {
	for _, n := range news {
		c.nodes[n.ID] = n
	}
	clear(c.home)
	var zones []crossing.Zone
	for _, known := range c.cfg.Nodes {
		n, listed := c.nodes[known.ID]
		zone := known.Zone
		if listed {
			zone = n.Zone
		}
		i := slices.IndexFunc(zones, func(z crossing.Zone) bool { return z.ID == zone })
		if i < 0 {
			i = len(zones)
			zones = append(zones, crossing.Zone{ID: zone})
		}
		zones[i].Nodes++
		if listed && n.State == logic.Ready {
			zones[i].Ready++
			c.home[n.Cell] = c.home[n.Cell] || n.Zone == c.cfg.Logic.Zone
		}
	}
	c.budget.Zones(now, zones)
}

// Crossing copies the ledger, in a fixed order, and what is left of the budget.
func (c *Core) Crossing(now logic.Micros) (rows []Crossed, m crossing.Memory) {
	for _, r := range c.ledger {
		rows = append(rows, *r)
	}
	slices.SortFunc(rows, func(a, b Crossed) int {
		return cmp.Or(cmp.Compare(a.Volume, b.Volume), cmp.Compare(a.Class, b.Class), cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Reason, b.Reason))
	})
	return rows, c.budget.Memory(now)
}

// RememberCrossing takes up what an earlier process has counted, and what it had left, so long ago; nothing is at hand
// where that is not known.
func (c *Core) RememberCrossing(rows []Crossed, m *crossing.Memory, age logic.Micros) error {
	for _, r := range rows {
		row := r
		c.ledger[ledgerKey{r.Volume, r.Class, r.Zone, r.Reason}] = &row
	}
	return c.budget.Remember(m, age)
}
