// Package core passes the platform's requests from the front to the targets and the answers back. [Core] is a plain
// struct without clock, sockets or goroutines; [Shell] runs it in real time with a front and a back. Package logic
// decides every send, retry, refusal and wait; package members decides which targets there are.
package core

import (
	"fmt"
	"slices"

	"appleplank/internal/drive"
	"appleplank/internal/platform/trace"
	"appleplank/logic"
	"appleplank/members"
)

// Tally counts what the core has done since its start and what it holds at present.
type Tally struct {
	Taken, Gone uint64
	Answers     [3]uint64 // by verdict
	Sends       uint64
	Outcomes    [8]uint64
	LateEnds    uint64 // ends of attempts that had been reported to logic as timed out
	Held        int    // requests that are not answered yet
	Entries     int    // requests with an entry, answered ones with attempts in flight included
	Out         int    // attempts whose end the back has not reported
}

// actionKind selects what the shell does for an action.
type actionKind uint8

const (
	actionStart actionKind = iota
	actionCancel
	actionCancelUnsent
	actionAnswer
	actionRelease
	actionLog
)

type action struct {
	kind    actionKind
	attempt *Attempt
	request *Request
	answer  Answer
	text    string
}

// Core is the state of the initiator's requests. It holds a request until it is answered or its client has left, and
// the request's entry until logic waits for none of its attempts any more. Memory is therefore bounded by the number of
// requests that the front submits and by their deadlines.
type Core struct {
	host             drive.Host
	entries          map[logic.RequestID]*entry
	lastID           logic.RequestID
	actions          []action
	previousActions  []action
	freeAttempts     []*Attempt // released attempts, for reuse
	freeEntries      []*entry
	shutdownDeadline logic.Micros // every request must be answered by then; 0: no shutdown has begun
	tally            Tally
	trace            *trace.Writer // nil: tracing is off
}

// entry is a request as logic knows it. It may outlive the front's [Request].
type entry struct {
	id          logic.RequestID
	request     *Request // nil: answered, or its client has left
	volume      logic.VolumeID
	units       float64
	deadline    logic.Micros
	outstanding []*Attempt // attempts whose end is not reported to logic yet
	sendCount   int
}

// New returns a core with the given settings. The seed determines the random decisions of logic.
func New(set logic.Settings, seed uint64) (*Core, error) {
	host, err := logic.New(set, seed)
	if err != nil {
		return nil, err
	}
	return &Core{host: drive.Host{Host: host}, entries: map[logic.RequestID]*entry{}}, nil
}

// Tally returns the counts so far.
func (c *Core) Tally() Tally {
	t := c.tally
	t.Entries = len(c.entries)
	return t
}

// Submit accepts a request from its front.
func (c *Core) Submit(now logic.Micros, r *Request) {
	c.lastID++
	e := c.newEntry()
	*e = entry{id: c.lastID, request: r, volume: r.Volume, units: r.Units, deadline: now + max(r.Timeout-r.Waited, 1), outstanding: e.outstanding[:0]}
	if c.shutdownDeadline > 0 {
		e.deadline = min(e.deadline, c.shutdownDeadline)
	}
	r.entry = e
	c.entries[e.id] = e
	c.tally.Taken++
	c.tally.Held++
	if c.trace != nil {
		c.writeTrace(now, "taken", e.id, 0, 0, fmt.Sprintf("%s:%x:%g:%g", r.ID, r.Volume, r.Units, r.Attached), r.Timeout, logic.NoLoad)
	}
	c.host.AddEvent(logic.Arrival{
		Request: e.id, Class: r.Class, Cell: r.Cell, Key: r.Block, Volume: r.Volume, Plan: r.Plan,
		Attached: r.Attached, Units: r.Units, Deadline: e.deadline, NotBefore: r.NotBefore,
	})
}

// ClientGone ends a request whose client has left and returns it to its front, with the answer to report there. It returns
// false if the request was already answered.
func (c *Core) ClientGone(now logic.Micros, r *Request) (Answer, bool) {
	e := r.entry
	if e == nil || e.request != r {
		return Answer{}, false
	}
	answer := Answer{Verdict: Failed, Sent: e.sendCount > 0}
	c.tally.Gone++
	c.writeTrace(now, "gone", e.id, 0, 0, "-", 0, logic.NoLoad)
	c.host.AddEvent(logic.ClientGone{Request: e.id})
	c.endRequest(e)
	return answer, true
}

// Shutdown begins the shutdown: all requests, held ones and new ones, must be answered by the deadline, whatever time their
// clients have.
func (c *Core) Shutdown(deadline logic.Micros) {
	c.shutdownDeadline = deadline
	for _, e := range c.entries {
		e.deadline = min(e.deadline, deadline)
		for _, a := range e.outstanding {
			c.host.ShortenDeadline(&a.Attempt, deadline)
		}
	}
	c.host.AddEvent(logic.Shutdown{Deadline: deadline})
}

// endRequest returns a request to its front. Nothing more is sent for it: attempts in flight that are not sent
// completely, because their connection is still being set up, are cancelled.
func (c *Core) endRequest(e *entry) {
	for _, a := range e.outstanding {
		c.actions = append(c.actions, action{kind: actionCancelUnsent, attempt: a})
	}
	e.request.entry = nil
	e.request = nil
	c.tally.Held--
	c.removeIfFinished(e)
}

func (c *Core) removeIfFinished(e *entry) {
	if e.request == nil && len(e.outstanding) == 0 && c.entries[e.id] == e {
		delete(c.entries, e.id)
		c.freeEntries = append(c.freeEntries, e)
	}
}

// AttemptEnded takes the end of an attempt from the back. If the attempt has timed out before, logic does not see its
// result.
func (c *Core) AttemptEnded(now logic.Micros, a *Attempt, res Result) {
	c.tally.Out--
	if c.host.MarkEnded(&a.Attempt) {
		c.reportEnd(now, a, res)
	} else {
		c.tally.LateEnds++
	}
	c.actions = append(c.actions, action{kind: actionRelease, attempt: a})
}

func (c *Core) reportEnd(now logic.Micros, a *Attempt, res Result) {
	e := a.e
	e.outstanding = slices.DeleteFunc(e.outstanding, func(x *Attempt) bool { return x == a })
	c.tally.Outcomes[res.Outcome]++
	c.writeTrace(now, "end", e.id, a.Number, a.Node, trace.OutcomeNames[res.Outcome], now-a.Sent, res.Load)
	c.host.AddEvent(logic.AttemptEnded{
		Request: e.id, Attempt: a.Number, Node: a.Node, Outcome: res.Outcome, Took: now - a.Sent,
		Settled: res.Outcome == logic.OK || e.request == nil, Used: res.Used, Elsewhere: res.Elsewhere, Load: res.Load,
	})
	if res.Outcome == logic.OK && e.request != nil {
		c.answerRequest(now, e, Answer{Verdict: Served, Body: res.Body, BodyStable: res.BodyStable})
	}
	c.removeIfFinished(e)
}

func (c *Core) answerRequest(now logic.Micros, e *entry, a Answer) {
	c.tally.Answers[a.Verdict]++
	a.Sent = e.sendCount > 0
	if c.trace != nil {
		c.writeTrace(now, "answer", e.id, 0, 0, verdictText(a), 0, logic.NoLoad)
	}
	c.actions = append(c.actions, action{kind: actionAnswer, request: e.request, answer: a})
	c.endRequest(e)
}

var verdictNames = [...]string{Served: "served", Refused: "refused", Failed: "failed"}

// verdictText returns the verdict of an answer as traces show it, with the reason of a refusal where that is known.
func verdictText(a Answer) string {
	if a.Limited {
		return verdictNames[a.Verdict] + ":limit"
	}
	return verdictNames[a.Verdict]
}

// limitShareText returns what is left of this host's share of a volume's limit, as traces show it.
func (c *Core) limitShareText(volume logic.VolumeID) string {
	s, limited := c.host.LimitShare(volume)
	if !limited {
		return "-"
	}
	return fmt.Sprintf("limit:%g:%.3f:%.3f", s.Hosts, s.Store, s.Pending)
}

// writeTrace writes an event, as the core sees it, to the trace.
func (c *Core) writeTrace(now logic.Micros, what string, id logic.RequestID, number int, node logic.NodeID, outcome string, took logic.Micros, load logic.Load) {
	if c.trace != nil {
		c.trace.WriteLine(trace.Line{At: now, Side: "core", Event: what, Request: id, Number: number, Node: node, Outcome: outcome, Took: took, Load: load.Waits})
	}
}

// SetCapacity sets the number n of requests that may be held at once.
func (c *Core) SetCapacity(n int) { c.host.AddEvent(logic.CapacityChanged{MaxUnanswered: n}) }

// UpdateNodes passes a list of targets, or changes to it, to logic.
func (c *Core) UpdateNodes(kind logic.ListKind, list []logic.Node) {
	c.host.AddEvent(logic.NodeList{Kind: kind, Nodes: list})
}

// Next returns the time by which step must be called; 0 means not before another input arrives.
func (c *Core) Next() logic.Micros {
	if len(c.actions) > 0 {
		return 1
	}
	return c.host.Next()
}

// step processes the inputs and time-outs up to now. The returned actions are valid until the next call.
func (c *Core) step(now logic.Micros) []action {
	for a := c.host.PopExpired(now); a != nil; a = c.host.PopExpired(now) {
		x := a.Owner.(*Attempt)
		c.actions = append(c.actions, action{kind: actionCancel, attempt: x})
		c.reportEnd(now, x, Result{Outcome: logic.TimedOut, Load: logic.NoLoad})
	}
	for _, x := range c.host.Run(now) {
		c.perform(now, x)
	}
	actions := c.actions
	clear(c.previousActions)
	c.actions, c.previousActions = c.previousActions[:0], actions
	return actions
}

func (c *Core) perform(now logic.Micros, requested logic.Action) {
	switch x := requested.(type) {
	case logic.Wake: // its timer is set by package drive
	case logic.Send:
		c.send(now, x)
	case logic.Refuse:
		if e := c.entries[x.Request]; e != nil && e.request != nil {
			limited := c.host.Limited(e.volume, e.units)
			c.answerRequest(now, e, Answer{Verdict: Refused, CoolDown: x.RetryAfter, Limited: limited})
		}
	case logic.Fail:
		if e := c.entries[x.Request]; e != nil && e.request != nil {
			c.answerRequest(now, e, Answer{Verdict: Failed})
		}
	case logic.Abort:
		if e := c.entries[x.Request]; e != nil {
			c.actions = append(c.actions, action{kind: actionLog, text: "abort of an attempt ignored: attempts are cancelled by time-out only"})
		}
	case logic.Note:
		c.actions = append(c.actions, action{kind: actionLog, text: x.Text})
	default:
		c.actions = append(c.actions, action{kind: actionLog, text: fmt.Sprintf("action %T of logic ignored: the platform does not support it", x)})
	}
}

func (c *Core) send(now logic.Micros, s logic.Send) {
	e := c.entries[s.Request]
	if e == nil || e.request == nil {
		return
	}
	a := c.newAttempt()
	a.e = e
	a.Request, a.Number, a.Node, a.Sent, a.Deadline = e.id, e.sendCount, s.Node, now, e.deadline
	if s.StopAt > 0 {
		a.Deadline = min(a.Deadline, s.StopAt)
	}
	a.SendDeadline = s.By
	e.sendCount++
	e.outstanding = append(e.outstanding, a)
	c.tally.Sends++
	c.tally.Out++
	if c.trace != nil {
		c.writeTrace(now, "send", e.id, a.Number, a.Node, c.limitShareText(e.volume), 0, logic.NoLoad)
	}
	c.host.Track(&a.Attempt)
	c.actions = append(c.actions, action{kind: actionStart, attempt: a, request: e.request})
}

func (c *Core) newAttempt() *Attempt {
	if n := len(c.freeAttempts); n > 0 {
		a := c.freeAttempts[n-1]
		c.freeAttempts = c.freeAttempts[:n-1]
		return a
	}
	a := &Attempt{}
	a.Owner = a
	return a
}

func (c *Core) newEntry() *entry {
	if n := len(c.freeEntries); n > 0 {
		e := c.freeEntries[n-1]
		c.freeEntries = c.freeEntries[:n-1]
		return e
	}
	return new(entry)
}

// recycle puts an attempt that is no longer referenced back into the pool.
func (c *Core) recycle(a *Attempt) {
	a.e, a.Conn = nil, nil
	c.freeAttempts = append(c.freeAttempts, a)
}

// listKind marks all lists as changes: package members reports a complete list, too, as the changes it makes.
const listKind = logic.ListDelta

// Endpoints returns where to reach the targets that are ready or draining.
func Endpoints(list []members.Target) (out []Endpoint) {
	for _, t := range list {
		if t.State != logic.Gone {
			out = append(out, Endpoint{t.ID, t.Address, t.Cell, t.Started, t.State == logic.Ready})
		}
	}
	return out
}
