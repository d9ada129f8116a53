// Package audit checks a recorded day against the seven rules. It sees only what crossed the sockets: the requests on
// the clients' rings with their answers, and the traffic of the nodes and the directory. The only code that it shares
// with the gateway is the settings, which hold the rules' parameters.
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

// Request is a client's record of one request on its ring.
type Request struct {
	Gateway, Volume int // indexes into Day.Hosts and Config.Volumes
	Kind            block.Kind
	Offset, Len     int64
	Token           uint64 // a write's mark, in its first 8 bytes; unique within the day
	Start, End      time.Time
	Answers         int // number of answers received
	Verdict         block.Verdict
	Abandoned       bool // the client or the gateway went away before an answer arrived
}

// Node is a node's record of the commands that it received.
type Node struct {
	Commands []standin.Command
	Fell     bool // the node went down under its load
}

// Notice records that a gateway was notified at time At that a node drains or is gone, which held until time Until.
type Notice struct {
	Gateway, Node int
	At, Until     time.Time
}

// Outage is an interval in which a gateway was stopped or dead.
type Outage struct {
	Gateway  int
	From, To time.Time
	Killed   bool
}

// PoorLink is an interval in which commands from a gateway to some nodes arrive late.
type PoorLink struct {
	Gateway  int
	Nodes    []int
	From, To time.Time
}

// Day is the full record of a day.
type Day struct {
	Config   *settings.Config
	Hosts    []string // the gateways' host NQNs
	Requests []*Request
	Nodes    []Node // by cell
	Notices  []Notice
	Outages  []Outage
	TipOver  float64 // load limit of a cold node, as a multiple of its capacity within TipTime; 0 turns the check off
	TipTime  time.Duration
	// Grace allows for the time that passing the sockets of a loaded machine takes. It widens every check of a time.
	Grace time.Duration

	PoorLinks []PoorLink // intervals in which links between zones were slow or lossy

	Moves int // set by Check: commands in mirrored extents that bring a copy up to date and belong to no request
}

// Copies is the rule number of findings on mirrored extents, in addition to the seven rules.
const Copies = 8

// Finding is one violation of a rule.
type Finding struct {
	Rule int // index into Names: 1 to 7, or Copies
	At   time.Time
	Text string
}

// Names holds the names of the rules, starting at index 1.
var Names = [9]string{"", "one final answer, in time", "no effect twice", "drains kept", "no cold node pushed over", "order kept",
	"budget kept", "limits kept", "copies alike"}

func (f Finding) String() string {
	return fmt.Sprintf("rule %d, %s: %s", f.Rule, Names[f.Rule], f.Text)
}

// fragment is the part of a request that lies in one extent, with the commands that were sent for it.
type fragment struct {
	req      *Request
	volume   *settings.Volume
	off, len int64 // in the volume
	copy     int   // index of the copy in a mirrored extent, if the request is a change
	commands []*standin.Command
}

type auditor struct {
	*Day
	findings  []Finding
	fragments []*fragment
	hosts     map[string]int
}

// Check returns every violation of a rule, ordered by time.
func Check(d *Day) []Finding {
	a := &auditor{Day: d, hosts: map[string]int{}}
	for i, h := range d.Hosts {
		a.hosts[h] = i
	}
	a.matchCommands()
	a.checkAnswers()
	a.checkRepeats()
	a.checkDrains()
	a.checkColdNodes()
	a.checkOrder()
	a.checkBudget()
	a.checkLimits()
	slices.SortStableFunc(a.findings, func(x, y Finding) int { return x.At.Compare(y.At) })
	return a.findings
}

func (a *auditor) report(rule int, at time.Time, format string, args ...any) {
	a.findings = append(a.findings, Finding{rule, at, fmt.Sprintf(format, args...)})
}

func (a *auditor) class(r *Request) *logic.Class {
	i, _ := a.Config.Volumes[r.Volume].Class(r.Kind, r.Len)
	return &a.Config.Logic.Classes[i]
}

func (r *Request) String() string {
	return fmt.Sprintf("%s of %d bytes at %d of volume %d through gateway %d", r.Kind, r.Len, r.Offset, r.Volume, r.Gateway)
}

// location identifies the requests of one gateway and kind for a byte range of a node's namespace.
type location struct {
	host      int
	cell      int
	namespace uint32
	kind      block.Kind
	off, len  int64
}

// matchCommands finds the request that each command was sent for. A command that has none, or only one that was
// already answered, breaks rule 1.
func (a *auditor) matchCommands() {
	byLocation := map[location][]*fragment{}
	for _, r := range a.Requests {
		v := &a.Config.Volumes[r.Volume]
		for i := range v.Extents {
			x := &v.Extents[i]
			from, to := max(r.Offset, x.Start), min(r.Offset+r.Len, x.Start+x.Len)
			var p *fragment
			for j, c := range x.Copies {
				// A change has one fragment per copy; a read has a single one, whichever copy it goes to.
				if j == 0 || r.Kind.Changes() {
					p = &fragment{req: r, volume: v, off: from, len: to - from, copy: j}
				}
				at := location{r.Gateway, c.Cell, c.Namespace, r.Kind, c.Base + from - x.Start, to - from}
				if r.Kind == block.Flush {
					p.off, p.len, at.off, at.len = 0, 0, 0, 0
					if l := byLocation[at]; len(l) > 0 && l[len(l)-1].req == r {
						continue
					}
				} else if from >= to {
					continue
				}
				if j == 0 || r.Kind.Changes() {
					a.fragments = append(a.fragments, p)
				}
				byLocation[at] = append(byLocation[at], p)
			}
		}
	}
	for _, l := range byLocation {
		slices.SortFunc(l, func(x, y *fragment) int { return x.req.Start.Compare(y.req.Start) })
	}
	// Writes are matched last: a read of a mirrored extent that no client asked for shows that the write of the same
	// bytes to another copy brings that copy up to date.
	catchUpReads := map[location][]time.Time{}
	for _, writes := range []bool{false, true} {
		for cell := range a.Nodes {
			for i := range a.Nodes[cell].Commands {
				if c := &a.Nodes[cell].Commands[i]; (c.Opcode == nvme.OpWrite) == writes {
					a.matchCommand(cell, c, byLocation, catchUpReads)
				}
			}
		}
	}
	for _, p := range a.fragments {
		slices.SortFunc(p.commands, func(x, y *standin.Command) int { return x.Received.Compare(y.Received) })
	}
}

// matchCommand adds a command to the fragment that it was sent for, or reports it if there is none.
func (a *auditor) matchCommand(cell int, c *standin.Command, byLocation map[location][]*fragment, catchUpReads map[location][]time.Time) {
	kind, ok := kindByOpcode[c.Opcode]
	host, known := a.hosts[c.Host]
	if !ok || !known {
		return
	}
	at := location{host, cell, c.Namespace, kind, c.Offset, c.Len}
	if kind == block.Flush {
		at.off, at.len = 0, 0
	}
	extent, copyIndex := a.mirroredExtent(cell, c)
	if extent != nil && kind == block.Write {
		if l := catchUpReads[at]; len(l) > 0 && l[0].Before(c.Received) {
			catchUpReads[at] = l[1:]
			a.Moves++
			return
		}
	}
	p := a.pickFragment(byLocation[at], c)
	// A read with no open request brings a copy up to date, even if a client has read the same bytes before.
	if p != nil && extent != nil && kind == block.Read && !p.req.Abandoned && p.req.Answers > 0 && c.Received.After(p.req.End.Add(a.Grace)) {
		p = nil
	}
	if p == nil && extent != nil && (kind == block.Read || kind == block.Write) {
		a.Moves++
		for i, to := range extent.Copies {
			if i != copyIndex && kind == block.Read {
				k := location{host, to.Cell, to.Namespace, block.Write, to.Base + c.Offset - extent.Copies[copyIndex].Base, c.Len}
				catchUpReads[k] = append(catchUpReads[k], c.Received)
			}
		}
		return
	}
	if p == nil {
		a.report(1, c.Received, "node %d was sent a %s of %d bytes at %d of namespace %d that no client asked for", cell, kind, c.Len, c.Offset, c.Namespace)
		return
	}
	p.commands = append(p.commands, c)
	end := p.req.End
	if extent != nil && kind.Changes() { // It is answered once enough copies hold it, and is then sent to the others.
		end = p.req.Start.Add(time.Duration(a.class(p.req).Deadline) * time.Microsecond)
	}
	if !p.req.Abandoned && p.req.Answers > 0 && c.Received.After(end.Add(a.Grace)) && !a.unavailableBetween(host, p.req.Start, c.Received) && !a.degradedBetween(host, cell, end, c.Received) {
		a.report(1, c.Received, "%s was sent to node %d %v after its answer", p.req, cell, c.Received.Sub(p.req.End))
	}
}

// degradedBetween reports whether commands from a gateway to a node may have arrived late at some time between the two.
func (a *auditor) degradedBetween(gateway, node int, from, to time.Time) bool {
	for _, p := range a.PoorLinks {
		if p.Gateway == gateway && slices.Contains(p.Nodes, node) && p.From.Before(to) && p.To.After(from) {
			return true
		}
	}
	return false
}

// mirroredExtent returns the mirrored extent that a command lies in and the index of the copy, or nil if there is none.
func (a *auditor) mirroredExtent(cell int, c *standin.Command) (x *settings.Extent, copyIndex int) {
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

var kindByOpcode = map[uint8]block.Kind{nvme.OpRead: block.Read, nvme.OpWrite: block.Write, nvme.OpFlush: block.Flush,
	nvme.OpWriteZeroes: block.WriteZeroes}

// pickFragment returns the candidate that a command belongs to; candidates are for the same bytes, ordered by start
// time. A write is matched by its mark. Any other command belongs to the last candidate that started before it and was
// open or abandoned by its client, or to the first one that started before it if there is none.
func (a *auditor) pickFragment(candidates []*fragment, c *standin.Command) (found *fragment) {
	for _, p := range candidates {
		if c.Opcode == nvme.OpWrite {
			// Each sector carries the mark, so a fragment that is not the request's first one starts with it too.
			if p.req.Token == c.Token {
				return p
			}
			continue
		}
		if p.req.Start.After(c.Received) {
			break
		}
		if found == nil || p.req.Abandoned || p.req.End.Add(a.Grace).After(c.Received) {
			found = p
		}
	}
	return found
}

// unavailableBetween reports whether a gateway was stopped or dead at some time between the two.
func (a *auditor) unavailableBetween(gateway int, from, to time.Time) bool {
	for _, w := range a.Outages {
		if w.Gateway == gateway && w.From.Before(to) && w.To.After(from) {
			return true
		}
	}
	return false
}

// checkAnswers checks rule 1: each request gets exactly one answer, in time.
func (a *auditor) checkAnswers() {
	for _, r := range a.Requests {
		if r.Abandoned {
			continue
		}
		switch {
		case r.Answers == 0:
			a.report(1, r.Start, "%s was never answered", r)
		case r.Answers > 1:
			a.report(1, r.End, "%s was answered %d times", r, r.Answers)
		default:
			limit := time.Duration(a.class(r).Deadline+a.Config.Logic.Rules.AnswerSlack) * time.Microsecond
			if took := r.End.Sub(r.Start); took > limit+a.Grace && !a.unavailableBetween(r.Gateway, r.Start, r.End) {
				a.report(1, r.End, "%s was answered after %v, its deadline was %v", r, took, limit)
			}
		}
	}
}

// checkRepeats checks rule 2: a request whose class is not Retryable takes effect at most once, and not at all if it was
// refused. One of a Fragile class is not sent again once it may have taken effect.
func (a *auditor) checkRepeats() {
	for _, p := range a.fragments {
		cl := a.class(p.req)
		if cl.Repeat == logic.Retryable {
			continue
		}
		executions := 0
		for i, c := range p.commands {
			if c.Executed.IsZero() || c.Repeat {
				continue
			}
			if executions++; executions > 1 {
				a.report(2, c.Executed, "%s took effect %d times", p.req, executions)
			}
			if cl.Repeat == logic.Fragile && i > 0 {
				if before := p.commands[i-1]; before.Status == nvme.Success && !before.Executed.IsZero() {
					a.report(2, c.Received, "%s may have run and was sent again", p.req)
				}
			}
		}
		if p.req.Verdict == block.Refused && p.req.Answers > 0 && executions > 0 && cl.Repeat != logic.Retryable {
			a.report(2, p.req.End, "%s was refused, which promises that a retry is harmless, but took effect", p.req)
		}
	}
}

// checkDrains checks rule 3: a gateway stops sending to a node within StopSending of
// the notice that the node drains or is gone.
func (a *auditor) checkDrains() {
	grace := time.Duration(a.Config.Logic.Rules.StopSending)*time.Microsecond + a.Grace
	for _, t := range a.Notices {
		for i := range a.Nodes[t.Node].Commands {
			c := &a.Nodes[t.Node].Commands[i]
			if a.hosts[c.Host] != t.Gateway || !c.Received.After(t.At.Add(grace)) || !c.Received.Before(t.Until) || a.unavailableBetween(t.Gateway, t.At, c.Received) ||
				a.degradedBetween(t.Gateway, t.Node, t.At, c.Received) {
				continue
			}
			a.report(3, c.Received, "node %d was sent new work by gateway %d, %v after that was told that it drains or is gone", t.Node, t.Gateway,
				c.Received.Sub(t.At))
		}
	}
}

// checkColdNodes checks rule 4: no node goes down under its load, and no cold node is sent more work than it bears.
func (a *auditor) checkColdNodes() {
	for i := range a.Nodes {
		n := &a.Nodes[i]
		if n.Fell {
			at := time.Time{}
			if len(n.Commands) > 0 {
				at = n.Commands[len(n.Commands)-1].Received
			}
			a.report(4, at, "node %d was pushed over", i)
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
				a.report(4, c.Received, "node %d was sent %v of work within %v while it was worth %.2f cores", i, sum, a.TipTime, c.Capacity)
				break
			}
		}
	}
}

// checkOrder checks rule 5: a change must not take effect after a later change of the same bytes was sent to the node,
// unless the later one has waited for OrderPause, the pause after an attempt whose outcome is unknown.
func (a *auditor) checkOrder() {
	pause := time.Duration(a.Config.Logic.Rules.OrderPause) * time.Microsecond
	byVolume := map[[3]int][]*fragment{} // by volume, gateway and copy: each gateway keeps its own order at each copy
	for _, p := range a.fragments {
		if p.req.Kind.Changes() && a.class(p.req).InOrder && len(p.commands) > 0 {
			key := [3]int{p.req.Volume, p.req.Gateway, p.copy}
			byVolume[key] = append(byVolume[key], p)
		}
	}
	for _, l := range byVolume {
		slices.SortFunc(l, func(x, y *fragment) int { return cmp.Or(cmp.Compare(x.off, y.off), x.req.Start.Compare(y.req.Start)) })
		maxLen := int64(0)
		for i, p := range l {
			maxLen = max(maxLen, p.len)
			for j := i - 1; j >= 0 && l[j].off+maxLen > p.off; j-- {
				if q := l[j]; q.off+q.len > p.off {
					a.checkPair(p, q, pause)
					a.checkPair(q, p, pause)
				}
			}
		}
	}
}

// checkPair reports a command of earlier that was sent before a command of later but took effect after that was sent.
func (a *auditor) checkPair(earlier, later *fragment, pause time.Duration) {
	if earlier.req == later.req {
		return
	}
	for _, x := range earlier.commands {
		for _, y := range later.commands {
			if x.Received.Before(y.Received) && x.Executed.After(y.Received) && y.Received.Before(x.Received.Add(pause)) {
				a.report(5, y.Received, "%s was sent while %s was not over: it took effect %v later", later.req, earlier.req, x.Executed.Sub(y.Received))
				return
			}
		}
	}
}

// checkBudget checks rule 6: the retries of each gateway within a window stay within its retry budget.
func (a *auditor) checkBudget() {
	r := &a.Config.Logic.Rules
	if r.BudgetWindow <= 0 {
		return
	}
	window := time.Duration(r.BudgetWindow)*time.Microsecond - a.Grace
	for g := range a.Hosts {
		var accepted, retries []time.Time
		for _, q := range a.Requests {
			if q.Gateway == g {
				accepted = append(accepted, q.Start)
			}
		}
		for _, p := range a.fragments {
			if p.req.Gateway == g {
				for _, c := range p.commands[min(1, len(p.commands)):] {
					retries = append(retries, c.Received)
				}
			}
		}
		slices.SortFunc(accepted, time.Time.Compare)
		slices.SortFunc(retries, time.Time.Compare)
		for i, at := range retries {
			if a.unavailableBetween(g, at.Add(-2*window), at) {
				continue
			}
			n := 1
			for j := i - 1; j >= 0 && at.Sub(retries[j]) < window; j-- {
				n++
			}
			// The window for accepted requests is a little longer, as a request may have been accepted some time
			// before its commands are counted as sent.
			acceptedInWindow := 0
			for _, t := range accepted {
				if !t.After(at) && at.Sub(t) <= window+2*a.Grace {
					acceptedInWindow++
				}
			}
			if allowed := r.BudgetFree + r.BudgetPerTake*float64(acceptedInWindow); float64(n) > allowed {
				a.report(6, at, "gateway %d made %d further attempts within %v, %.1f were allowed", g, n, window, allowed)
				break
			}
		}
	}
}

// checkLimits checks rule 7: the plan limit of each volume holds over all gateways together.
func (a *auditor) checkLimits() {
	for i := range a.Config.Volumes {
		v := &a.Config.Volumes[i]
		plan := &a.Config.Logic.Plans[v.Plan]
		if plan.Limit <= 0 {
			continue
		}
		type charge struct {
			at    time.Time
			units float64
		}
		var charges []charge
		for _, p := range a.fragments {
			if p.req.Volume == i && len(p.commands) > 0 {
				charges = append(charges, charge{p.commands[0].Received, v.Units(p.len)})
			}
		}
		slices.SortFunc(charges, func(x, y charge) int { return x.at.Compare(y.at) })
		level, last := plan.LimitBurst, time.Time{}
		for _, d := range charges {
			if !last.IsZero() {
				level = min(level+plan.Limit*d.at.Sub(last).Seconds(), plan.LimitBurst)
			}
			last = d.at
			if level -= d.units; level < -plan.LimitSlack-plan.Limit*a.Grace.Seconds() {
				a.report(7, d.at, "volume %q was sent %.1f units more than its plan's limit allows, slack %.1f", v.Name, -level, plan.LimitSlack)
				break
			}
		}
	}
}
