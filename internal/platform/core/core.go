// Package core carries the platform's requests from their front to the targets and the answers home. [Core] is a
// plain struct without clock, socket or goroutine; [Shell] gives it both. Every send, repeat, refusal and wait comes
// from package logic, what targets there are from package members.
package core

import (
	"fmt"
	"slices"

	"appleplank/internal/drive"
	"appleplank/internal/platform/trace"
	"appleplank/logic"
	"appleplank/members"
)

// Tally counts what the core has done, and what it holds now.
type Tally struct {
	Taken, Gone uint64
	Answers     [3]uint64 // by verdict
	Sends       uint64
	Outcomes    [8]uint64
	LateEnds    uint64 // ends of attempts that logic had been told of as timed out
	Held        int    // requests without an answer
	Entries     int    // requests not forgotten
	Out         int    // attempts the back has not ended
}

// actionKind says what an action asks for.
type actionKind uint8

const (
	start actionKind = iota
	drop
	recall
	answer
	done
	note
)

type action struct {
	kind    actionKind
	attempt *Attempt
	request *Request
	answer  Answer
	text    string
}

// Core holds a request until it is answered, its entry until its last attempt has ended: what it holds is bounded by
// what its front hands over and by the deadlines.
type Core struct {
	host    drive.Host
	entries map[logic.RequestID]*entry
	lastID  logic.RequestID
	out     []action
	before  []action
	attempt []*Attempt // pools
	entry   []*entry
	by      logic.Micros // all must be answered by then; 0: it does not end
	tally   Tally
	trace   *trace.Writer // nil: off
}

// entry is what logic calls a request.
type entry struct {
	id       logic.RequestID
	r        *Request // nil: it is over
	volume   logic.VolumeID
	units    float64
	dropDead logic.Micros
	out      []*Attempt // logic waits for their ends
	sends    int
}

// New makes a core.
func New(set logic.Settings, seed uint64) (*Core, error) {
	host, err := logic.New(set, seed)
	if err != nil {
		return nil, err
	}
	return &Core{host: drive.Host{Host: host}, entries: map[logic.RequestID]*entry{}}, nil
}

// Tally tells the counts so far.
func (c *Core) Tally() Tally {
	t := c.tally
	t.Entries = len(c.entries)
	return t
}

// Take is a request from its front.
func (c *Core) Take(now logic.Micros, r *Request) {
	c.lastID++
	e := c.newEntry()
	*e = entry{id: c.lastID, r: r, volume: r.Volume, units: r.Units, dropDead: now + r.Left, out: e.out[:0]}
	if c.by > 0 {
		e.dropDead = min(e.dropDead, c.by)
	}
	r.entry = e
	c.entries[e.id] = e
	c.tally.Taken++
	c.tally.Held++
	if c.trace != nil {
		c.note(now, "taken", e.id, 0, 0, fmt.Sprintf("%s:%x:%g:%g", r.ID, r.Volume, r.Units, r.Attached), r.Left, logic.NoLoad)
	}
	c.host.Tell(logic.Arrival{
		Request: e.id, Class: r.Class, Cell: r.Cell, Key: r.Block, Volume: r.Volume, Plan: r.Plan,
		Attached: r.Attached, Units: r.Units, DropDead: e.dropDead,
	})
}

// Gone says that the client of a request has left; the request is its front's again. It tells whether it was not
// over yet.
func (c *Core) Gone(now logic.Micros, r *Request) bool {
	e := r.entry
	if e == nil || e.r != r {
		return false
	}
	c.tally.Gone++
	c.note(now, "gone", e.id, 0, 0, "-", 0, logic.NoLoad)
	c.host.Tell(logic.ClientGone{Request: e.id})
	c.over(e)
	return true
}

// End says that the process ends: all that is held or comes must be answered by the given time. Found on the short
// days: requests whose clients would wait for 29 s were held until the process was gone.
func (c *Core) End(by logic.Micros) {
	c.by = by
	for _, e := range c.entries {
		e.dropDead = min(e.dropDead, by)
		for _, a := range e.out {
			c.host.Bound(&a.Attempt, by)
		}
	}
	c.host.Tell(logic.Ending{By: by})
}

// over ends a request for its front. Nothing more is sent for it: attempts that are out and have not left whole, as
// their connection is still coming up, are called back. Found on the short days: such left 0.2 s after their client.
func (c *Core) over(e *entry) {
	for _, a := range e.out {
		c.out = append(c.out, action{kind: recall, attempt: a})
	}
	e.r.entry = nil
	e.r = nil
	c.tally.Held--
	c.forget(e)
}

func (c *Core) forget(e *entry) {
	if e.r == nil && len(e.out) == 0 && c.entries[e.id] == e {
		delete(c.entries, e.id)
		c.entry = append(c.entry, e)
	}
}

// Ended is the end of an attempt, as the back tells it.
func (c *Core) Ended(now logic.Micros, a *Attempt, res Result) {
	c.tally.Out--
	if c.host.Ended(&a.Attempt) {
		c.tell(now, a, res)
	} else {
		c.tally.LateEnds++
	}
	c.out = append(c.out, action{kind: done, attempt: a})
}

func (c *Core) tell(now logic.Micros, a *Attempt, res Result) {
	e := a.e
	e.out = slices.DeleteFunc(e.out, func(x *Attempt) bool { return x == a })
	c.tally.Outcomes[res.Outcome]++
	c.note(now, "end", e.id, a.Number, a.Node, trace.Words[res.Outcome], now-a.Sent, res.Load)
	c.host.Tell(logic.AttemptEnded{
		Request: e.id, Attempt: a.Number, Node: a.Node, Outcome: res.Outcome, Took: now - a.Sent,
		Settled: res.Outcome == logic.OK || e.r == nil, Used: res.Used, Elsewhere: res.Elsewhere, Load: res.Load,
	})
	if res.Outcome == logic.OK && e.r != nil {
		c.finish(now, e, Answer{Verdict: Served, Body: res.Body, Kept: res.Kept})
	}
	c.forget(e)
}

func (c *Core) finish(now logic.Micros, e *entry, a Answer) {
	c.tally.Answers[a.Verdict]++
	if c.trace != nil {
		c.note(now, "answer", e.id, 0, 0, reason(a), 0, logic.NoLoad)
	}
	c.out = append(c.out, action{kind: answer, request: e.r, answer: a})
	c.over(e)
}

var verdicts = [...]string{Served: "served", Refused: "refused", Failed: "failed"}

// reason is an answer's verdict as it stands in a trace, and why a request was refused where that is known.
func reason(a Answer) string {
	if a.Limited {
		return verdicts[a.Verdict] + ":limit"
	}
	return verdicts[a.Verdict]
}

// slice is what is left of a volume's limit as it stands in a trace.
func (c *Core) slice(volume logic.VolumeID) string {
	s, limited := c.host.Slice(volume)
	if !limited {
		return "-"
	}
	return fmt.Sprintf("limit:%g:%.3f:%.3f", s.Hosts, s.Store, s.Pending)
}

// note writes down what the core believes.
func (c *Core) note(now logic.Micros, what string, id logic.RequestID, number int, node logic.NodeID, outcome string, took logic.Micros, load logic.Load) {
	if c.trace != nil {
		c.trace.Put(trace.Line{At: now, Side: "core", What: what, Request: id, Number: number, Node: node, Outcome: outcome, Took: took, Load: load.Waits})
	}
}

// Room says how many requests may be held at once from now on.
func (c *Core) Room(requests int) { c.host.Tell(logic.RoomChanged{Room: requests}) }

// Nodes is news of the targets.
func (c *Core) Nodes(kind logic.ListKind, list []logic.Node) {
	c.host.Tell(logic.NodeList{Kind: kind, Nodes: list})
}

// Next is when Step must be called at the latest; 0: not before something happens.
func (c *Core) Next() logic.Micros {
	if len(c.out) > 0 {
		return 1
	}
	return c.host.Next()
}

// step lets all that has happened by now take its effect. The actions are valid until the next call.
func (c *Core) step(now logic.Micros) []action {
	for a := c.host.TimedOut(now); a != nil; a = c.host.TimedOut(now) {
		x := a.Owner.(*Attempt)
		c.out = append(c.out, action{kind: drop, attempt: x})
		c.tell(now, x, Result{Outcome: logic.TimedOut, Load: logic.NoLoad})
	}
	for _, x := range c.host.Run(now) {
		c.act(now, x)
	}
	out := c.out
	clear(c.before)
	c.out, c.before = c.before[:0], out
	return out
}

func (c *Core) act(now logic.Micros, x logic.Action) {
	switch x := x.(type) {
	case logic.Wake: // seen to by drive
	case logic.Send:
		c.send(now, x)
	case logic.Deny:
		if e := c.entries[x.Request]; e != nil && e.r != nil {
			limited := c.host.Limited(e.volume, e.units)
			c.finish(now, e, Answer{Verdict: Refused, CoolDown: x.CoolDown, Limited: limited})
		}
	case logic.Surrender:
		if e := c.entries[x.Request]; e != nil && e.r != nil {
			c.finish(now, e, Answer{Verdict: Failed})
		}
	case logic.Abort:
		if e := c.entries[x.Request]; e != nil {
			c.out = append(c.out, action{kind: note, text: "logic calls an attempt off, which this core leaves to time-outs"})
		}
	case logic.Note:
		c.out = append(c.out, action{kind: note, text: x.Text})
	default:
		c.out = append(c.out, action{kind: note, text: fmt.Sprintf("logic asks for %T, which the platform has no form for", x)})
	}
}

func (c *Core) send(now logic.Micros, s logic.Send) {
	e := c.entries[s.Request]
	if e == nil || e.r == nil {
		return
	}
	a := c.newAttempt()
	a.e = e
	a.Request, a.Number, a.Node, a.Sent, a.StopAt = e.id, e.sends, s.Node, now, e.dropDead
	if s.StopAt > 0 {
		a.StopAt = min(a.StopAt, s.StopAt)
	}
	a.By = s.By
	e.sends++
	e.out = append(e.out, a)
	c.tally.Sends++
	c.tally.Out++
	if c.trace != nil {
		c.note(now, "send", e.id, a.Number, a.Node, c.slice(e.volume), 0, logic.NoLoad)
	}
	c.host.Sent(&a.Attempt)
	c.out = append(c.out, action{kind: start, attempt: a, request: e.r})
}

func (c *Core) newAttempt() *Attempt {
	if n := len(c.attempt); n > 0 {
		a := c.attempt[n-1]
		c.attempt = c.attempt[:n-1]
		return a
	}
	a := &Attempt{}
	a.Owner = a
	return a
}

func (c *Core) newEntry() *entry {
	if n := len(c.entry); n > 0 {
		e := c.entry[n-1]
		c.entry = c.entry[:n-1]
		return e
	}
	return new(entry)
}

// recycle takes an attempt back that nobody holds any more.
func (c *Core) recycle(a *Attempt) {
	a.e, a.Conn = nil, nil
	c.attempt = append(c.attempt, a)
}

// listKind is how logic takes a list of changes: what members gives names every change, also those of a whole list.
const listKind = logic.ListDelta

// Places gives the targets that are in use or drain.
func Places(list []members.Target) (out []Place) {
	for _, t := range list {
		if t.State != logic.Gone {
			out = append(out, Place{t.ID, t.Address, t.Cell, t.Started, t.State == logic.Ready})
		}
	}
	return out
}
