package crossing

import (
	"reflect"
	"testing"
)

// Only the growth of the totals is added, to the slot of its time. A clock that goes back, a restart and counters that
// are reset neither lose nor double counts. The oldest slots are evicted when there are too many.
func TestHistory(t *testing.T) {
	var h History
	c := func(class int, attempts uint64, out, in int64) Count {
		return Count{Volume: 7, Class: class, Attempts: attempts, Out: out, In: in}
	}
	h.Record(1000, []Count{c(1, 1, 10, 20), c(0, 2, 5, 5)})
	h.Record(1100, []Count{c(1, 3, 30, 20), c(0, 2, 5, 5)})
	h.Record(1200, []Count{c(1, 4, 40, 21)})
	h.Record(700, []Count{c(1, 5, 50, 21)}) // the clock was set back
	want := []Slot{{600, []Count{c(0, 2, 5, 5), c(1, 3, 30, 20)}}, {1200, []Count{c(1, 2, 20, 1)}}}
	if !reflect.DeepEqual(h.Slots, want) {
		t.Fatalf("%+v, want %+v", h.Slots, want)
	}
	kept := h.Clone()
	var again History
	again.Restore(append(kept, Slot{From: 5}), []Count{c(1, 5, 50, 21)})
	again.Record(1300, []Count{c(1, 6, 60, 21)})
	again.Record(1900, []Count{c(1, 1, 7, 1)}) // the counters were reset
	if n := len(again.Slots); n != 3 || again.Slots[1].Counts[0] != c(1, 3, 30, 1) || again.Slots[2].Counts[0] != c(1, 1, 7, 1) {
		t.Fatalf("%+v", again.Slots)
	}
	if !reflect.DeepEqual(kept, want) {
		t.Error("the copy has changed")
	}
	for i := range 300 {
		h.Record(int64(10_000+i*SlotLength), []Count{c(1, uint64(10+i), 100, 100)})
	}
	if len(h.Slots) != maxSlots {
		t.Errorf("%d slots", len(h.Slots))
	}
	var many []Count
	for v := range uint64(9000) {
		many = append(many, Count{Volume: v, Attempts: 1})
	}
	for i := range 4 {
		for j := range many {
			many[j].Attempts++
		}
		h.Record(int64(1_000_000+i*SlotLength), many)
	}
	if h.numCounts > maxCounts || len(h.Slots) != 2 {
		t.Errorf("%d counts in %d slots", h.numCounts, len(h.Slots))
	}
}
