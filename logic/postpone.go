package logic

// Requests that wait before they are decided on. The interface of this module is in logic/api.go.
//
// A request whose arrival names a time in NotBefore is postponed: until then it only has its place in the
// order of its key. It is not in its volume's queue and does not count as unanswered.
// Exception: Gage would decide on it at once. A client that repeats a refused request at once would then take
// up the host's processor time with refusals.
// Harm: later requests of its key wait for it.

import (
	"math"
	"slices"
)

// postpone makes a new request wait until a given time.
func (h *Host) postpone(r *request, until Micros) {
	r.postponed, r.notBefore = true, until
	h.postponed = append(h.postponed, r)
}

// admitPostponed admits the postponed requests whose time has come, in order of arrival.
func (h *Host) admitPostponed() {
	var due []*request
	for _, r := range h.postponed {
		if r.notBefore <= h.now {
			due = append(due, r)
		}
	}
	for _, r := range due {
		h.removePostponed(r)
		h.admit(r)
	}
}

// endPostponements makes all postponed requests due.
func (h *Host) endPostponements() {
	for _, r := range h.postponed {
		r.notBefore = h.now
	}
}

func (h *Host) removePostponed(r *request) {
	r.postponed = false
	h.postponed = slices.DeleteFunc(h.postponed, func(x *request) bool { return x == r })
}

// nextPostponed returns the time at which the next postponed request is due, or the largest time if there is
// none.
func (h *Host) nextPostponed() Micros {
	next := Micros(math.MaxInt64)
	for _, r := range h.postponed {
		next = min(next, r.notBefore)
	}
	return next
}
