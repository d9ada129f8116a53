// Package drive is the event loop around a [logic.Host]. [Host] collects the events of a core, tracks the deadlines of
// its attempts and its timers; [Loop] runs a core in real time. All decisions are left to package logic.
package drive

import (
	"cmp"
	"container/heap"

	"appleplank/logic"
)

// Attempt is one [logic.Send], tracked until its end is reported to logic.
type Attempt struct {
	Request  logic.RequestID
	Number   int // index of the attempt within its request, from zero
	Node     logic.NodeID
	Sent     logic.Micros
	Deadline logic.Micros // when the attempt times out
	Owner    any          // set and used by the core only

	pending      bool // its end is not reported to logic yet
	heapPosition int  // index in the deadline heap plus one; 0: not in the heap
}

// Pending reports whether logic still waits for the end of the attempt.
func (a *Attempt) Pending() bool { return a.pending }

// Host is a [logic.Host] together with the events queued for its next step, its attempts in flight and its timers.
type Host struct {
	*logic.Host
	attempts deadlineHeap
	timers   []timer
	events   []logic.Event
	actions  []logic.Action
}

type timer struct {
	dueAt logic.Micros
	token uint32
}

// AddEvent queues an event for the next call of Run.
func (h *Host) AddEvent(e logic.Event) { h.events = append(h.events, e) }

// Track starts tracking an attempt that logic has asked for.
func (h *Host) Track(a *Attempt) {
	a.pending = true
	heap.Push(&h.attempts, a)
}

// ShortenDeadline moves the deadline of an attempt forward to the given time, unless it is earlier.
func (h *Host) ShortenDeadline(a *Attempt, deadline logic.Micros) {
	if a.Deadline > deadline && a.heapPosition > 0 {
		a.Deadline = deadline
		heap.Fix(&h.attempts, a.heapPosition-1)
	}
}

// MarkEnded stops tracking an attempt. It returns false if an end of the attempt was already taken, so that each is
// reported to logic only once.
func (h *Host) MarkEnded(a *Attempt) bool {
	if !a.pending {
		return false
	}
	a.pending = false
	if a.heapPosition > 0 {
		heap.Remove(&h.attempts, a.heapPosition-1)
	}
	return true
}

// PopExpired stops tracking an attempt whose deadline has passed and returns it, or nil if there is none. The caller
// cancels the attempt and reports its end to logic.
func (h *Host) PopExpired(now logic.Micros) *Attempt {
	if len(h.attempts) == 0 || h.attempts[0].Deadline > now {
		return nil
	}
	a := h.attempts[0]
	h.MarkEnded(a)
	return a
}

// Next returns the time by which Run must be called; 0 means not before another event is queued.
func (h *Host) Next() (at logic.Micros) {
	if len(h.events) > 0 {
		return 1
	}
	if len(h.attempts) > 0 {
		at = h.attempts[0].Deadline
	}
	for _, w := range h.timers {
		if at == 0 || w.dueAt < at {
			at = w.dueAt
		}
	}
	return at
}

// Run runs one step of the host with the events queued so far and the timers that are due. The actions are valid until
// the next call. [logic.Wake] actions are included, but Run has already set their timers: callers ignore them.
func (h *Host) Run(now logic.Micros) []logic.Action {
	remaining := h.timers[:0]
	for _, w := range h.timers {
		if w.dueAt <= now {
			h.events = append(h.events, logic.TimerFired{Token: w.token})
		} else {
			remaining = append(remaining, w)
		}
	}
	h.timers = remaining
	clear(h.actions)
	h.actions = h.Host.Step(now, h.events, h.actions[:0])
	clear(h.events)
	h.events = h.events[:0]
	for _, x := range h.actions {
		if w, ok := x.(logic.Wake); ok {
			h.timers = append(h.timers, timer{now + w.After, w.Token})
		}
	}
	return h.actions
}

// Pending returns the number of attempts that logic waits for and the number of timers that are set.
func (h *Host) Pending() (attempts, timers int) { return len(h.attempts), len(h.timers) }

// deadlineHeap is a heap of attempts, ordered by their deadlines.
type deadlineHeap []*Attempt

func (h deadlineHeap) Len() int { return len(h) }
func (h deadlineHeap) Less(i, j int) bool {
	a, b := h[i], h[j]
	return cmp.Or(cmp.Compare(a.Deadline, b.Deadline), cmp.Compare(a.Request, b.Request), cmp.Compare(a.Number, b.Number)) < 0
}
func (h deadlineHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapPosition, h[j].heapPosition = i+1, j+1
}
func (h *deadlineHeap) Push(x any) {
	a := x.(*Attempt)
	*h = append(*h, a)
	a.heapPosition = len(*h)
}
func (h *deadlineHeap) Pop() any {
	old := *h
	a := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	a.heapPosition = 0
	return a
}
