// Package audit judges a day by the seven rules. It knows only what crossed the sockets: what clients put on their
// rings and were answered, and what nodes and the directory were asked and told. It shares no code with the gateway
// but the settings, which say what the rules' figures are.
package audit

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"appleplank/internal/block"
	"appleplank/internal/nvme"
	"appleplank/internal/settings"
	"appleplank/internal/standin"
	"appleplank/logic"
)

// Request is a client's record of one ring request.
type Request struct {
	Gateway, Volume int // indexes
	Kind            block.Kind
	Offset, Len     int64
	Token           uint64 // a write's mark, in its first 8 bytes; unique over the day
	Start, End      time.Time
	Answers         int // how many came
	Verdict         block.Verdict
	Left            bool // its client or its gateway went away before an answer came
}

// Node is a node's record.
type Node struct {
	Commands []standin.Command
	Fell     bool
}

// Told says that a gateway was told that a node drains or is gone, and until when that stood.
type Told struct {
	Gateway, Node int
	At, Until     time.Time
}

// Away is a time in which a gateway stood still or was dead.
type Away struct {
	Gateway  int
	From, To time.Time
	Killed   bool
}

// Poor is a time in which what a gateway sends to some nodes comes late.
type Poor struct {
	Gateway  int
	Nodes    []int
	From, To time.Time
}

// Day is all that is known of a day.
type Day struct {
	Config   *settings.Config
	Hosts    []string // the gateways' host NQNs
	Requests []*Request
	Nodes    []Node // by cell
	Told     []Told
	Away     []Away
	TipOver  float64 // of cold nodes: more than so many times their capacity within TipTime
	TipTime  time.Duration
	// Grace is what passing a loaded machine's sockets may take; it widens every check by time.
	Grace time.Duration

	Poor []Poor // times in which links between zones were poor

	Moves int // found: commands in mirrored extents that are no client's, as they catch copies up
}

// Copies is the number under which findings on mirrored extents stand, beside the seven rules.
const Copies = 8

// Finding is a broken rule.
type Finding struct {
	Rule int // 1 to 7, in the order of the brief, or Copies
	At   time.Time
	Text string
}

// Names of the rules, from 1.
var Names = [9]string{"", "one final answer, in time", "no effect twice", "drains kept", "no cold node pushed over", "order kept",
	"budget kept", "limits kept", "copies alike"}

func (f Finding) String() string {
	return fmt.Sprintf("rule %d, %s: %s", f.Rule, Names[f.Rule], f.Text)
}

// piece is a request's part in one extent, with the commands that were sent for it.
type piece struct {
	r        *Request
	volume   *settings.Volume
	off, len int64 // in the volume
	copy     int   // of a mirrored extent, where it is a change
	sent     []*standin.Command
}

type auditor struct {
	*Day
	found  []Finding
	pieces []*piece
	hosts  map[string]int
}

// Check gives every rule that was broken, in time's order.
func Check(d *Day) []Finding {
	a := &auditor{Day: d, hosts: map[string]int{}}
	for i, h := range d.Hosts {
		a.hosts[h] = i
	}
	a.match()
	a.answers()
	a.repeats()
	a.drains()
	a.cold()
	a.order()
	a.budget()
	a.limits()
	slices.SortStableFunc(a.found, func(x, y Finding) int { return x.At.Compare(y.At) })
	return a.found
}

func (a *auditor) fail(rule int, at time.Time, format string, args ...any) {
	a.found = append(a.found, Finding{rule, at, fmt.Sprintf(format, args...)})
}

func (a *auditor) class(r *Request) *logic.Class {
	i, _ := a.Config.Volumes[r.Volume].Class(r.Kind, r.Len)
	return &a.Config.Logic.Classes[i]
}

func (r *Request) String() string {
	return fmt.Sprintf("%s of %d bytes at %d of volume %d through gateway %d", r.Kind, r.Len, r.Offset, r.Volume, r.Gateway)
}

// place is where a byte range lies at nodes.
type place struct {
	host      int
	cell      int
	namespace uint32
	kind      block.Kind
	off, len  int64
}

// match finds the request that each command was sent for. A command for which there is none, or only one that had its
// answer already, breaks the first rule.
func (a *auditor) match() {
	byPlace := map[place][]*piece{}
	for _, r := range a.Requests {
		v := &a.Config.Volumes[r.Volume]
		for i := range v.Extents {
			x := &v.Extents[i]
			from, to := max(r.Offset, x.Start), min(r.Offset+r.Len, x.Start+x.Len)
			var p *piece
			for j, c := range x.Copies {
				// A change is a piece of its own at each copy; a read is one wherever it goes.
				if j == 0 || r.Kind.Changes() {
					p = &piece{r: r, volume: v, off: from, len: to - from, copy: j}
				}
				at := place{r.Gateway, c.Cell, c.Namespace, r.Kind, c.Base + from - x.Start, to - from}
				if r.Kind == block.Flush {
					p.off, p.len, at.off, at.len = 0, 0, 0, 0
					if l := byPlace[at]; len(l) > 0 && l[len(l)-1].r == r {
						continue
					}
				} else if from >= to {
					continue
				}
				if j == 0 || r.Kind.Changes() {
					a.pieces = append(a.pieces, p)
				}
				byPlace[at] = append(byPlace[at], p)
			}
		}
	}
	for _, l := range byPlace {
		slices.SortFunc(l, func(x, y *piece) int { return x.r.Start.Compare(y.r.Start) })
	}
	// Writes come last: a read of a mirrored extent that no client asked for tells that the write of the same bytes to
	// another copy catches that up.
	read := map[place][]time.Time{}
	for _, writes := range []bool{false, true} {
		for cell := range a.Nodes {
			for i := range a.Nodes[cell].Commands {
				if c := &a.Nodes[cell].Commands[i]; (c.Opcode == nvme.OpWrite) == writes {
					a.find(cell, c, byPlace, read)
				}
			}
		}
	}
	for _, p := range a.pieces {
		slices.SortFunc(p.sent, func(x, y *standin.Command) int { return x.Received.Compare(y.Received) })
	}
}

// find gives a command to the request that it was sent for.
func (a *auditor) find(cell int, c *standin.Command, byPlace map[place][]*piece, read map[place][]time.Time) {
	kind, ok := kinds[c.Opcode]
	host, known := a.hosts[c.Host]
	if !ok || !known {
		return
	}
	at := place{host, cell, c.Namespace, kind, c.Offset, c.Len}
	if kind == block.Flush {
		at.off, at.len = 0, 0
	}
	x, copy := a.mirrored(cell, c)
	if x != nil && kind == block.Write {
		if l := read[at]; len(l) > 0 && l[0].Before(c.Received) {
			read[at] = l[1:]
			a.Moves++
			return
		}
	}
	p := a.pick(byPlace[at], c)
	// A read for which none is open is that of catching up, also where a client once read the very same bytes.
	if p != nil && x != nil && kind == block.Read && !p.r.Left && p.r.Answers > 0 && c.Received.After(p.r.End.Add(a.Grace)) {
		p = nil
	}
	if p == nil && x != nil && (kind == block.Read || kind == block.Write) {
		a.Moves++
		for i, to := range x.Copies {
			if i != copy && kind == block.Read {
				k := place{host, to.Cell, to.Namespace, block.Write, to.Base + c.Offset - x.Copies[copy].Base, c.Len}
				read[k] = append(read[k], c.Received)
			}
		}
		return
	}
	if p == nil {
		a.fail(1, c.Received, "node %d was sent a %s of %d bytes at %d of namespace %d that no client asked for", cell, kind, c.Len, c.Offset, c.Namespace)
		return
	}
	p.sent = append(p.sent, c)
	end := p.r.End
	if x != nil && kind.Changes() { // answered when enough copies hold it, it goes on to the others
		end = p.r.Start.Add(time.Duration(a.class(p.r).Deadline) * time.Microsecond)
	}
	if !p.r.Left && p.r.Answers > 0 && c.Received.After(end.Add(a.Grace)) && !a.awayBetween(host, p.r.Start, c.Received) && !a.poor(host, cell, end, c.Received) {
		a.fail(1, c.Received, "%s was sent to node %d %v after its answer", p.r, cell, c.Received.Sub(p.r.End))
	}
}

// poor tells whether what a gateway sent to a node at some time between may have come late.
func (a *auditor) poor(gateway, node int, from, to time.Time) bool {
	for _, p := range a.Poor {
		if p.Gateway == gateway && slices.Contains(p.Nodes, node) && p.From.Before(to) && p.To.After(from) {
			return true
		}
	}
	return false
}

// mirrored gives the mirrored extent that a command lies in, and the copy.
func (a *auditor) mirrored(cell int, c *standin.Command) (x *settings.Extent, copy int) {
	for i := range a.Config.Volumes {
		for j := range a.Config.Volumes[i].Extents {
			x := &a.Config.Volumes[i].Extents[j]
			for k, p := range x.Copies {
				if len(x.Copies) > 1 && p.Cell == cell && p.Namespace == c.Namespace && c.Offset >= p.Base && c.Offset+c.Len <= p.Base+x.Len {
					return x, k
				}
			}
		}
	}
	return nil, 0
}

var kinds = map[uint8]block.Kind{nvme.OpRead: block.Read, nvme.OpWrite: block.Write, nvme.OpFlush: block.Flush,
	nvme.OpWriteZeroes: block.WriteZeroes}

// pick is the request of those for the same bytes that a command belongs to: by its mark, or the last one asked
// before that had no answer yet, or else the last one.
func (a *auditor) pick(l []*piece, c *standin.Command) (found *piece) {
	for _, p := range l {
		if c.Opcode == nvme.OpWrite {
			// A piece that is not a request's first begins with the mark of its first sector all the same.
			if p.r.Token == c.Token {
				return p
			}
			continue
		}
		if p.r.Start.After(c.Received) {
			break
		}
		if found == nil || p.r.Left || p.r.End.Add(a.Grace).After(c.Received) {
			found = p
		}
	}
	return found
}

// awayBetween tells whether a gateway stood still or was dead at some time between.
func (a *auditor) awayBetween(gateway int, from, to time.Time) bool {
	for _, w := range a.Away {
		if w.Gateway == gateway && w.From.Before(to) && w.To.After(from) {
			return true
		}
	}
	return false
}

// answers: rule 1.
func (a *auditor) answers() {
	for _, r := range a.Requests {
		if r.Left {
			continue
		}
		switch {
		case r.Answers == 0:
			a.fail(1, r.Start, "%s was never answered", r)
		case r.Answers > 1:
			a.fail(1, r.End, "%s was answered %d times", r, r.Answers)
		default:
			limit := time.Duration(a.class(r).Deadline+a.Config.Logic.Rules.AnswerSlack) * time.Microsecond
			if took := r.End.Sub(r.Start); took > limit+a.Grace && !a.awayBetween(r.Gateway, r.Start, r.End) {
				a.fail(1, r.End, "%s was answered after %v, its deadline was %v", r, took, limit)
			}
		}
	}
}

// repeats: rule 2.
func (a *auditor) repeats() {
	for _, p := range a.pieces {
		cl := a.class(p.r)
		if cl.Repeat == logic.Retryable {
			continue
		}
		ran := 0
		for i, c := range p.sent {
			if c.Executed.IsZero() || c.Repeat {
				continue
			}
			if ran++; ran > 1 {
				a.fail(2, c.Executed, "%s took effect %d times", p.r, ran)
			}
			if cl.Repeat == logic.Fragile && i > 0 {
				if before := p.sent[i-1]; before.Status == nvme.Success && !before.Executed.IsZero() {
					a.fail(2, c.Received, "%s may have run and was sent again", p.r)
				}
			}
		}
		if p.r.Verdict == block.Refused && p.r.Answers > 0 && ran > 0 && cl.Repeat != logic.Retryable {
			a.fail(2, p.r.End, "%s was refused, which promises that a retry is harmless, but took effect", p.r)
		}
	}
}

// drains: rule 3.
func (a *auditor) drains() {
	grace := time.Duration(a.Config.Logic.Rules.StopSending)*time.Microsecond + a.Grace
	for _, t := range a.Told {
		for i := range a.Nodes[t.Node].Commands {
			c := &a.Nodes[t.Node].Commands[i]
			if a.hosts[c.Host] != t.Gateway || !c.Received.After(t.At.Add(grace)) || !c.Received.Before(t.Until) || a.awayBetween(t.Gateway, t.At, c.Received) ||
				a.poor(t.Gateway, t.Node, t.At, c.Received) {
				continue
			}
			a.fail(3, c.Received, "node %d was sent new work by gateway %d, %v after that was told that it drains or is gone", t.Node, t.Gateway,
				c.Received.Sub(t.At))
		}
	}
}

// cold: rule 4.
func (a *auditor) cold() {
	for i := range a.Nodes {
		n := &a.Nodes[i]
		if n.Fell {
			at := time.Time{}
			if len(n.Commands) > 0 {
				at = n.Commands[len(n.Commands)-1].Received
			}
			a.fail(4, at, "node %d was pushed over", i)
		}
		if a.TipOver <= 0 {
			continue
		}
		first, sum := 0, time.Duration(0)
		for j := range n.Commands {
			c := &n.Commands[j]
			sum += c.Work
			for c.Received.Sub(n.Commands[first].Received) > a.TipTime {
				sum -= n.Commands[first].Work
				first++
			}
			if c.Cold && float64(sum) > a.TipOver*c.Capacity*float64(a.TipTime) {
				a.fail(4, c.Received, "node %d was sent %v of work within %v while it was worth %.2f cores", i, sum, a.TipTime, c.Capacity)
				break
			}
		}
	}
}

// order: rule 5. A change may not take effect after a later one of the same bytes was sent to the node, unless the
// later one has waited out the rest that the rule gives an attempt whose end is not known.
func (a *auditor) order() {
	pause := time.Duration(a.Config.Logic.Rules.OrderPause) * time.Microsecond
	byVolume := map[[3]int][]*piece{} // by volume, gateway and copy: each gateway keeps the order of what it took at each
	for _, p := range a.pieces {
		if p.r.Kind.Changes() && a.class(p.r).InOrder && len(p.sent) > 0 {
			key := [3]int{p.r.Volume, p.r.Gateway, p.copy}
			byVolume[key] = append(byVolume[key], p)
		}
	}
	for _, l := range byVolume {
		slices.SortFunc(l, func(x, y *piece) int { return cmp.Or(cmp.Compare(x.off, y.off), x.r.Start.Compare(y.r.Start)) })
		longest := int64(0)
		for i, p := range l {
			longest = max(longest, p.len)
			for j := i - 1; j >= 0 && l[j].off+longest > p.off; j-- {
				if q := l[j]; q.off+q.len > p.off {
					a.pair(p, q, pause)
					a.pair(q, p, pause)
				}
			}
		}
	}
}

// pair looks for a command of p that took effect after q's were sent, having been sent before them.
func (a *auditor) pair(p, q *piece, pause time.Duration) {
	if p.r == q.r {
		return
	}
	for _, x := range p.sent {
		for _, y := range q.sent {
			if x.Received.Before(y.Received) && x.Executed.After(y.Received) && y.Received.Before(x.Received.Add(pause)) {
				a.fail(5, y.Received, "%s was sent while %s was not over: it took effect %v later", q.r, p.r, x.Executed.Sub(y.Received))
				return
			}
		}
	}
}

// budget: rule 6.
func (a *auditor) budget() {
	r := &a.Config.Logic.Rules
	if r.BudgetWindow <= 0 {
		return
	}
	window := time.Duration(r.BudgetWindow)*time.Microsecond - a.Grace
	for g := range a.Hosts {
		var taken, extra []time.Time
		for _, q := range a.Requests {
			if q.Gateway == g {
				taken = append(taken, q.Start)
			}
		}
		for _, p := range a.pieces {
			if p.r.Gateway == g {
				for _, c := range p.sent[min(1, len(p.sent)):] {
					extra = append(extra, c.Received)
				}
			}
		}
		slices.SortFunc(taken, time.Time.Compare)
		slices.SortFunc(extra, time.Time.Compare)
		for i, at := range extra {
			if a.awayBetween(g, at.Add(-2*window), at) {
				continue
			}
			n := 1
			for j := i - 1; j >= 0 && at.Sub(extra[j]) < window; j-- {
				n++
			}
			// What was taken in a window a little longer, as what is counted as sent then may have been taken before.
			took := 0
			for _, t := range taken {
				if !t.After(at) && at.Sub(t) <= window+2*a.Grace {
					took++
				}
			}
			if allowed := r.BudgetFree + r.BudgetPerTake*float64(took); float64(n) > allowed {
				a.fail(6, at, "gateway %d made %d further attempts within %v, %.1f were allowed", g, n, window, allowed)
				break
			}
		}
	}
}

// limits: rule 7, over all gateways together.
func (a *auditor) limits() {
	for i := range a.Config.Volumes {
		v := &a.Config.Volumes[i]
		plan := &a.Config.Logic.Plans[v.Plan]
		if plan.Limit <= 0 {
			continue
		}
		type draw struct {
			at    time.Time
			units float64
		}
		var draws []draw
		for _, p := range a.pieces {
			if p.r.Volume == i && len(p.sent) > 0 {
				draws = append(draws, draw{p.sent[0].Received, v.Units(p.len)})
			}
		}
		slices.SortFunc(draws, func(x, y draw) int { return x.at.Compare(y.at) })
		level, last := plan.LimitBurst, time.Time{}
		for _, d := range draws {
			if !last.IsZero() {
				level = min(level+plan.Limit*d.at.Sub(last).Seconds(), plan.LimitBurst)
			}
			last = d.at
			if level -= d.units; level < -plan.LimitSlack-plan.Limit*a.Grace.Seconds() {
				a.fail(7, d.at, "volume %q was sent %.1f units more than its plan's limit allows, slack %.1f", v.Name, -level, plan.LimitSlack)
				break
			}
		}
	}
}
