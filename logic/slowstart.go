package logic

// Slow start limits what is sent to a node that has just started. The interface of this module is in
// logic/api.go.
//
// A cold node tolerates a given number of units from all hosts together within a given time, and more as it
// warms up. Each host keeps an even share of that; if a share is smaller than one request, the hosts take
// turns in time slots.

import (
	"cmp"
	"math"
)

// slotLength is the length of a time slot in overload times. In a longer slot more requests are waiting; with
// shorter slots every host's slot comes sooner.
const slotLength = 1.5

// slowStartAllows reports whether sending r keeps this host within its share of what a cold node tolerates in
// any overload time.
func (h *Host) slowStartAllows(n *node, r *request) bool {
	rules := &h.settings.Rules
	windowStart := h.now - rules.OverloadTime
	sent, served := n.sentLog.sumSince(windowStart)+n.unitsInFlightBefore(windowStart),
		n.servedLog.sumSince(windowStart)
	share, _, _ := h.slowStartShare(n, h.now)
	// Exception: what the node has just served for each host it can do for all hosts at once, so a host may
	// send half of the overload multiple of what was served for it if that exceeds its share. If calls are
	// counted, it may send no more than what was served: with twice that, a host doubled its sends in each
	// response time during a run of cheap requests.
	growth := rules.TipMultiple / 2
	if h.settings.ColdByCount {
		growth = min(growth/2, 1)
	}
	return sent+r.units <= max(share, growth*served)
}

// slowStartShare returns how many units this host may send a node within an overload time that ends at the
// given time, infinite once the node is warm; when it may next send there; and when the bound ends.
func (h *Host) slowStartShare(n *node, at Micros) (share float64, next, warm Micros) {
	rules := &h.settings.Rules
	started := n.Started
	if n.presumedStart > started && at < n.presumedStart+presumedStartLifetime {
		started = n.presumedStart
	}
	if warm = started + rules.ColdTime; started <= 0 || rules.ColdTime <= 0 || at >= warm {
		return math.Inf(1), at, at
	}
	// Exception: the share grows with the least capacity the node must have, which rises linearly from
	// ColdFrom to the whole over ColdTime, taken at the start of the overload time.
	capacity := func(at Micros) float64 {
		age := float64(max(at-rules.OverloadTime-started, 0)) / float64(rules.ColdTime)
		return rules.ColdUnits * (1 + max(1/cmp.Or(rules.ColdFrom, 1)-1, 0)*age)
	}
	// What an earlier process of this host has sent the node is not known; it may have been a whole share.
	if knownAt := h.startedAt + rules.OverloadTime; started < h.startedAt && at < knownAt {
		return 0, min(knownAt, warm), warm
	}
	if share = capacity(at) / float64(h.settings.Hosts); share < max(h.settings.UnitMean, 1) {
		slot := max(Micros(slotLength*float64(rules.OverloadTime)), 1)
		share, next = h.slotShare(n, capacity(at/slot*slot), slot, at)
		return share, min(next, warm), warm
	}
	return share, warm, warm
}

// slotShare returns how many units this host may send a cold node in the time slot that contains at, and when
// it may next send there.
// Exception: if the even share is smaller than one request, nothing could ever be sent; therefore slots of
// slotLength overload times rotate over the hosts by their number and the node's id. Half of the units is
// sent in a slot, as an overload time touches up to two slots, also with clocks that differ by half an
// overload time. A host that started within its slot sends nothing in it, as an earlier process may have used
// the slot.
func (h *Host) slotShare(n *node, units float64, slot, at Micros) (float64, Micros) {
	hostsPerSlot := max(1, int(units/2/max(h.settings.UnitMean, 1)))
	first := (int(n.ID%65536) + int(at/slot)*hostsPerSlot) % h.settings.Hosts
	position := (h.settings.Number - first + h.settings.Hosts) % h.settings.Hosts
	if position >= hostsPerSlot || at/slot <= h.startedAt/slot {
		return 0, (at/slot + max(Micros(position/hostsPerSlot), 1)) * slot
	}
	return units / 2 / float64(hostsPerSlot), at
}
