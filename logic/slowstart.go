package logic

// Slow start: what a node that has just come up may be sent. The interface of this module is in logic/api.go.
//
// A cold node bears a stated number of units from all hosts together within a stated time, and more as it
// warms up. Each host keeps an even share of that; where a share is under one request, the hosts take turns.

import (
	"cmp"
	"math"
)

// slotLength is the length of a turn in overload times: longer ones find more requests waiting, shorter ones
// go round faster.
const slotLength = 1.5

// slowStartAllows keeps this host's share of what a cold node bears, over every overload window.
func (h *Host) slowStartAllows(n *node, r *request) bool {
	rules := &h.settings.Rules
	began := h.now - rules.OverloadTime
	sent, served := n.sentLog.sumSince(began)+n.unitsInFlightBefore(began), n.servedLog.sumSince(began)
	part, _, _ := h.slowStartShare(n, h.now)
	// Exception: what the node has just served for each host it can do for all of them at once, so half
	// of the multiple that pushes it over may go by that. Where calls are counted, as much as was served:
	// with twice that a host doubled its sends in each answer's time while a run of cheap requests lasted.
	grow := rules.TipMultiple / 2
	if h.settings.ColdByCount {
		grow = min(grow/2, 1)
	}
	return sent+r.units <= max(part, grow*served)
}

// slowStartShare is what this host may send a node within an overload time that ends at the given time,
// without bound once it is warm; and when it may next send there, and when without bound.
func (h *Host) slowStartShare(n *node, at Micros) (part float64, next, warm Micros) {
	rules := &h.settings.Rules
	started := n.Started
	if n.presumedStart > started && at < n.presumedStart+presumedStartLifetime {
		started = n.presumedStart
	}
	if warm = started + rules.ColdTime; started <= 0 || rules.ColdTime <= 0 || at >= warm {
		return math.Inf(1), at, at
	}
	// Exception: the part grows as the node's capacity must, evenly from ColdFrom to the whole over
	// ColdTime, seen from the start of the window.
	grown := func(at Micros) float64 {
		age := float64(max(at-rules.OverloadTime-started, 0)) / float64(rules.ColdTime)
		return rules.ColdUnits * (1 + max(1/cmp.Or(rules.ColdFrom, 1)-1, 0)*age)
	}
	// What an earlier process of this host has sent it is not known: it may have been a whole part.
	if known := h.startedAt + rules.OverloadTime; started < h.startedAt && at < known {
		return 0, min(known, warm), warm
	}
	if part = grown(at) / float64(h.settings.Hosts); part < max(h.settings.UnitMean, 1) {
		slot := max(Micros(slotLength*float64(rules.OverloadTime)), 1)
		part, next = h.slotShare(n, grown(at/slot*slot), slot, at)
		return part, min(next, warm), warm
	}
	return part, warm, warm
}

// slotShare is what this host may send a cold node in the slot of the given time, and when its next slot is.
// Exception: where the even share is under one request and nothing could ever go, slots of turnLength
// overload times go round the hosts by number and node. Half of the units goes in a slot, as a window meets
// two, also with clocks half an overload time apart. A host that began within the slot may have used its slotShare
// before.
func (h *Host) slotShare(n *node, units float64, slot, at Micros) (float64, Micros) {
	takers := max(1, int(units/2/max(h.settings.UnitMean, 1)))
	first := (int(n.ID%65536) + int(at/slot)*takers) % h.settings.Hosts
	place := (h.settings.Number - first + h.settings.Hosts) % h.settings.Hosts
	if place >= takers || at/slot <= h.startedAt/slot {
		return 0, (at/slot + max(Micros(place/takers), 1)) * slot
	}
	return units / 2 / float64(takers), at
}
