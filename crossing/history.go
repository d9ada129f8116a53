package crossing

import (
	"cmp"
	"slices"
)

// Count counts attempts and bytes by purpose. The caller defines the meaning of Volume, Class, Zone and Reason.
type Count struct {
	Volume   uint64
	Class    int
	Zone     int
	Reason   uint8
	Attempts uint64
	Out, In  int64
}

func (c *Count) key() Count {
	return Count{Volume: c.Volume, Class: c.Class, Zone: c.Zone, Reason: c.Reason}
}

// Slot holds the counts of [SlotLength] seconds.
type Slot struct {
	From   int64 // seconds since 1970, a multiple of SlotLength
	Counts []Count
}

const (
	// SlotLength is the resolution of the history in seconds.
	SlotLength = 600
	// The history is bounded to a day and to maxCounts counts over all slots; the oldest slots are evicted first.
	maxSlots  = 144
	maxCounts = 20_000
)

// History holds counts over time. The zero value is an empty history.
type History struct {
	Slots      []Slot          // by ascending time
	lastTotals map[Count]Count // last totals noted, by their key
	numCounts  int             // over all slots
}

// Restore restores the slots of an earlier process and its totals. Later calls of Record add only what exceeds the
// totals.
func (h *History) Restore(slots []Slot, totals []Count) {
	h.Slots, h.numCounts = nil, 0
	for _, s := range slots {
		if n := len(h.Slots); n == 0 || s.From > h.Slots[n-1].From { // skip slots that are out of order
			h.Slots = append(h.Slots, Slot{s.From, slices.Clone(s.Counts)})
			h.numCounts += len(s.Counts)
		}
	}
	h.lastTotals = map[Count]Count{}
	for _, t := range totals {
		h.lastTotals[t.key()] = t
	}
	h.evictOldest()
}

// Record adds the growth of the totals to the slot of the wall-clock time, in seconds since 1970. If the clock was set
// back, it is added to the last slot.
func (h *History) Record(wall int64, totals []Count) {
	if h.lastTotals == nil {
		h.lastTotals = map[Count]Count{}
	}
	from := wall - wall%SlotLength
	for _, t := range totals {
		key := t.key()
		previous := h.lastTotals[key]
		delta := key
		delta.Attempts, delta.Out, delta.In = t.Attempts-previous.Attempts, t.Out-previous.Out, t.In-previous.In
		if t.Attempts < previous.Attempts || delta.Out < 0 || delta.In < 0 { // the counters were reset
			delta = t
		}
		if delta.Attempts == 0 && delta.Out == 0 && delta.In == 0 {
			continue
		}
		h.lastTotals[key] = t
		n := len(h.Slots)
		if n == 0 || h.Slots[n-1].From < from {
			h.Slots = append(h.Slots, Slot{From: from})
			n++
		}
		s := &h.Slots[n-1]
		i, found := slices.BinarySearchFunc(s.Counts, key, func(a, b Count) int { return compareKeys(a.key(), b) })
		if !found {
			s.Counts = slices.Insert(s.Counts, i, key)
			h.numCounts++
		}
		c := &s.Counts[i]
		c.Attempts += delta.Attempts
		c.Out += delta.Out
		c.In += delta.In
	}
	h.evictOldest()
}

func compareKeys(a, b Count) int {
	return cmp.Or(cmp.Compare(a.Volume, b.Volume), cmp.Compare(a.Class, b.Class), cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Reason, b.Reason))
}

func (h *History) evictOldest() {
	for len(h.Slots) > 1 && (len(h.Slots) > maxSlots || h.numCounts > maxCounts) {
		h.numCounts -= len(h.Slots[0].Counts)
		h.Slots = slices.Delete(h.Slots, 0, 1)
	}
}

// Clone returns a deep copy of the slots.
func (h *History) Clone() []Slot {
	out := make([]Slot, len(h.Slots))
	for i, s := range h.Slots {
		out[i] = Slot{s.From, slices.Clone(s.Counts)}
	}
	return out
}
