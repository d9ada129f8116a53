// Package drive carries a [logic.Host] through time for the cores that stand on it: the ends of its attempts, its
// timers, and the shell that gives a core real time. It decides nothing.
package drive

import (
	"cmp"
	"container/heap"

	"appleplank/logic"
)

// Attempt is one Send of logic's, until logic has heard of its end.
type Attempt struct {
	Request logic.RequestID
	Number  int // counts the request's sends from zero
	Node    logic.NodeID
	Sent    logic.Micros
	StopAt  logic.Micros // logic hears of a time-out then
	Owner   any          // the core's own

	out   bool // logic waits for its end
	place int  // in the heap, plus one; 0: not there
}

// Out tells whether logic still waits for its end.
func (a *Attempt) Out() bool { return a.out }

// Host is a logic.Host with what has happened and not been told to it yet.
type Host struct {
	*logic.Host
	due     dueHeap
	wakes   []wake
	events  []logic.Event
	actions []logic.Action
}

type wake struct {
	at    logic.Micros
	token uint32
}

// Tell adds an event to the next Step.
func (h *Host) Tell(e logic.Event) { h.events = append(h.events, e) }

// Sent notes an attempt that logic has asked for.
func (h *Host) Sent(a *Attempt) {
	a.out = true
	heap.Push(&h.due, a)
}

// Bound makes an attempt's time end at the given time, if it would end later.
func (h *Host) Bound(a *Attempt, by logic.Micros) {
	if a.StopAt > by && a.place > 0 {
		a.StopAt = by
		heap.Fix(&h.due, a.place-1)
	}
}

// Ended takes an attempt's end; false: logic has heard of one already.
func (h *Host) Ended(a *Attempt) bool {
	if !a.out {
		return false
	}
	a.out = false
	if a.place > 0 {
		heap.Remove(&h.due, a.place-1)
	}
	return true
}

// TimedOut takes the end of an attempt whose time is up, nil where there is none; the core gives it up and tells.
func (h *Host) TimedOut(now logic.Micros) *Attempt {
	if len(h.due) == 0 || h.due[0].StopAt > now {
		return nil
	}
	a := h.due[0]
	h.Ended(a)
	return a
}

// Next is when Step must be called at the latest; 0: not before something happens.
func (h *Host) Next() (at logic.Micros) {
	if len(h.events) > 0 {
		return 1
	}
	if len(h.due) > 0 {
		at = h.due[0].StopAt
	}
	for _, w := range h.wakes {
		if at == 0 || w.at < at {
			at = w.at
		}
	}
	return at
}

// Run lets the host take what it was told. The actions are valid until the next call; its wishes to be woken are
// seen to and not among them to be carried out.
func (h *Host) Run(now logic.Micros) []logic.Action {
	keep := h.wakes[:0]
	for _, w := range h.wakes {
		if w.at <= now {
			h.events = append(h.events, logic.TimerFired{Token: w.token})
		} else {
			keep = append(keep, w)
		}
	}
	h.wakes = keep
	clear(h.actions)
	h.actions = h.Host.Step(now, h.events, h.actions[:0])
	clear(h.events)
	h.events = h.events[:0]
	for _, x := range h.actions {
		if w, ok := x.(logic.Wake); ok {
			h.wakes = append(h.wakes, wake{now + w.After, w.Token})
		}
	}
	return h.actions
}

// Held tells how many attempts logic waits for, and how many timers it has set.
func (h *Host) Held() (attempts, wakes int) { return len(h.due), len(h.wakes) }

// dueHeap holds attempts by the time they are given up.
type dueHeap []*Attempt

func (h dueHeap) Len() int { return len(h) }
func (h dueHeap) Less(i, j int) bool {
	a, b := h[i], h[j]
	return cmp.Or(cmp.Compare(a.StopAt, b.StopAt), cmp.Compare(a.Request, b.Request), cmp.Compare(a.Number, b.Number)) < 0
}
func (h dueHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].place, h[j].place = i+1, j+1
}
func (h *dueHeap) Push(x any) {
	a := x.(*Attempt)
	*h = append(*h, a)
	a.place = len(*h)
}
func (h *dueHeap) Pop() any {
	old := *h
	a := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	a.place = 0
	return a
}
