package crossing

import (
	"cmp"
	"slices"
)

// Count is what was counted of bytes by what they were for; who counts says what the numbers name.
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

// Slot is what was counted in a time of [SlotLength] seconds.
type Slot struct {
	From   int64 // seconds since 1970, a multiple of SlotLength
	Counts []Count
}

const (
	// SlotLength is how fine the history is, in seconds.
	SlotLength = 600
	// Its bounds: a day, and so many counts over all slots; the oldest slots go first.
	mostSlots  = 144
	mostCounts = 20_000
)

// History is what was counted over time. Its zero value is an empty one.
type History struct {
	Slots []Slot // in time's order
	last  map[Count]Count
	sum   int
}

// Remember takes up what an earlier process has noted, and its totals: only what is counted beyond them is new.
func (h *History) Remember(slots []Slot, totals []Count) {
	h.Slots, h.sum = nil, 0
	for _, s := range slots {
		if n := len(h.Slots); n == 0 || s.From > h.Slots[n-1].From { // anything else is no history
			h.Slots = append(h.Slots, Slot{s.From, slices.Clone(s.Counts)})
			h.sum += len(s.Counts)
		}
	}
	h.last = map[Count]Count{}
	for _, t := range totals {
		h.last[t.key()] = t
	}
	h.bound()
}

// Note takes the totals at a time by the wall clock. A clock that was set back adds to the last slot.
func (h *History) Note(wall int64, totals []Count) {
	if h.last == nil {
		h.last = map[Count]Count{}
	}
	from := wall - wall%SlotLength
	for _, t := range totals {
		k := t.key()
		was := h.last[k]
		d := k
		d.Attempts, d.Out, d.In = t.Attempts-was.Attempts, t.Out-was.Out, t.In-was.In
		if t.Attempts < was.Attempts || d.Out < 0 || d.In < 0 { // counted anew from nothing
			d = t
		}
		if d.Attempts == 0 && d.Out == 0 && d.In == 0 {
			continue
		}
		h.last[k] = t
		n := len(h.Slots)
		if n == 0 || h.Slots[n-1].From < from {
			h.Slots = append(h.Slots, Slot{From: from})
			n++
		}
		s := &h.Slots[n-1]
		i, found := slices.BinarySearchFunc(s.Counts, k, func(a, b Count) int { return order(a.key(), b) })
		if !found {
			s.Counts = slices.Insert(s.Counts, i, k)
			h.sum++
		}
		c := &s.Counts[i]
		c.Attempts += d.Attempts
		c.Out += d.Out
		c.In += d.In
	}
	h.bound()
}

func order(a, b Count) int {
	return cmp.Or(cmp.Compare(a.Volume, b.Volume), cmp.Compare(a.Class, b.Class), cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Reason, b.Reason))
}

func (h *History) bound() {
	for len(h.Slots) > 1 && (len(h.Slots) > mostSlots || h.sum > mostCounts) {
		h.sum -= len(h.Slots[0].Counts)
		h.Slots = slices.Delete(h.Slots, 0, 1)
	}
}

// Copy is a copy that does not change any more.
func (h *History) Copy() []Slot {
	out := make([]Slot, len(h.Slots))
	for i, s := range h.Slots {
		out[i] = Slot{s.From, slices.Clone(s.Counts)}
	}
	return out
}
