package links

import (
	"testing"

	"appleplank/logic"

	"pgregory.net/rapid"
)

// A node that takes connections and drops them at once is not dialled in a tight loop, one that stood for long is
// dialled soon, and all pauses stay between their bounds.
func TestPauses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := New(10*sec, rapid.Uint64().Draw(t, "seed"))
		now, fails := logic.Micros(0), 0
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = max(now, l.DialAt())
			if rapid.Bool().Draw(t, "reached") {
				l.Up(now)
				stood := logic.Micros(rapid.IntRange(0, int(2*steady)).Draw(t, "stood"))
				if now += stood; stood >= steady {
					fails = 0
				}
			}
			want := min(firstPause<<min(fails, 10), mostPause)
			if p := l.Down(now) - now; p < want/2 || p > want {
				t.Fatalf("pause of %d after %d failures, want %d to %d", p, fails, want/2, want)
			}
			fails++
		}
	})
}

func TestGiveUp(t *testing.T) {
	l := New(10*sec, 1)
	l.Up(0)
	for _, c := range []struct {
		now  logic.Micros
		lost Lost
		up   bool
	}{
		{9 * sec, Lost{}, true},
		{10 * sec, Lost{}, false},                                    // silent
		{sec, Lost{Places: 64, Taken: 31, Oldest: 1}, true},          // a few lost ids are borne
		{sec, Lost{Places: 64, Taken: 32, Oldest: 1}, false},         // half of the queue
		{9 * sec, Lost{Places: 64, Taken: 1, Oldest: 1}, true},       // one, for a while
		{lostOld + 1, Lost{Places: 64, Taken: 1, Oldest: 1}, false},  // and too long
		{lostOld, Lost{Places: 64, Taken: 1, Oldest: 2 * sec}, true}, // not yet
	} {
		if l.heard = 0; c.now >= lostOld {
			l.Heard(c.now - 1)
		}
		v, next := l.Look(c.now, c.lost)
		if (v == "") != c.up {
			t.Errorf("at %d with %+v: %q", c.now, c.lost, v)
		}
		if v == "" && next <= c.now {
			t.Errorf("at %d asks to be looked at again at %d", c.now, next)
		}
	}
}

func TestStrays(t *testing.T) {
	l := New(0, 1)
	l.Up(0)
	for i := range strayMost {
		if l.Stray(logic.Micros(i)) {
			t.Fatalf("gave up after %d", i+1)
		}
	}
	if !l.Stray(strayMost) {
		t.Error("bears any number of strays")
	}
	if l.Stray(strayTime + 2*strayMost) {
		t.Error("strays of long ago still count")
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
