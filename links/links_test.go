package links

import (
	"testing"

	"appleplank/logic"

	"pgregory.net/rapid"
)

// A node that accepts connections and drops them at once is not dialled in a tight loop, one that was connected for
// long is dialled soon, and every backoff stays within its bounds.
func TestPauses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := New(10*sec, rapid.Uint64().Draw(t, "seed"))
		now, fails := logic.Micros(0), 0
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = max(now, l.DialAt())
			if rapid.Bool().Draw(t, "reached") {
				l.Connected(now)
				stood := logic.Micros(rapid.IntRange(0, int(2*stableAfter)).Draw(t, "stood"))
				if now += stood; stood >= stableAfter {
					fails = 0
				}
			}
			want := min(minBackoff<<min(fails, 10), maxBackoff)
			if p := l.Disconnected(now) - now; p < want/2 || p > want {
				t.Fatalf("backoff of %d after %d failures, want %d to %d", p, fails, want/2, want)
			}
			fails++
		}
	})
}

func TestGiveUp(t *testing.T) {
	l := New(10*sec, 1)
	l.Connected(0)
	for _, c := range []struct {
		now  logic.Micros
		lost LostIDs
		up   bool
	}{
		{9 * sec, LostIDs{}, true},
		{10 * sec, LostIDs{}, false},                                         // silent
		{sec, LostIDs{Capacity: 64, Count: 31, Oldest: 1}, true},             // a few lost ids are tolerated
		{sec, LostIDs{Capacity: 64, Count: 32, Oldest: 1}, false},            // half of the queue
		{9 * sec, LostIDs{Capacity: 64, Count: 1, Oldest: 1}, true},          // one lost id, for a while
		{maxLostAge + 1, LostIDs{Capacity: 64, Count: 1, Oldest: 1}, false},  // one lost id for too long
		{maxLostAge, LostIDs{Capacity: 64, Count: 1, Oldest: 2 * sec}, true}, // not yet too long
	} {
		if l.lastReceived = 0; c.now >= maxLostAge {
			l.Received(c.now - 1)
		}
		v, next := l.Check(c.now, c.lost)
		if (v == "") != c.up {
			t.Errorf("at %d with %+v: %q", c.now, c.lost, v)
		}
		if v == "" && next <= c.now {
			t.Errorf("at %d wants the next look at %d", c.now, next)
		}
	}
}

func TestStrays(t *testing.T) {
	l := New(0, 1)
	l.Connected(0)
	for i := range maxStrays {
		if l.Stray(logic.Micros(i)) {
			t.Fatalf("gave up after %d", i+1)
		}
	}
	if !l.Stray(maxStrays) {
		t.Error("tolerates any number of strays")
	}
	if l.Stray(strayWindow + 2*maxStrays) {
		t.Error("old strays still count")
	}
}

func TestPick(t *testing.T) {
	for _, c := range []struct {
		out  []int
		want int
	}{{[]int{0, 0}, 0}, {[]int{2, 1}, 1}, {[]int{4, 4}, -1}, {nil, -1}, {[]int{4, 3}, 1}} {
		if got := Pick(c.out, 4); got != c.want {
			t.Errorf("of %v picks %d, want %d", c.out, got, c.want)
		}
	}
}
