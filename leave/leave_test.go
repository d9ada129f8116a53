package leave

import (
	"testing"

	"appleplank/logic"
)

func TestLeave(t *testing.T) {
	l := New(2500 * ms)
	if p, ok := l.Room(5, 9*sec); p != 9*sec || !ok || l.Last(5) || l.Over(5, 0, 0) {
		t.Fatal("nothing was told yet")
	}
	l.Told(10 * sec)
	l.Told(11 * sec) // once more changes nothing
	till := 10*sec + 2500*ms + graceTime - margin
	if p, ok := l.Room(10*sec, 2500*ms); p != 2500*ms || !ok {
		t.Fatal("what comes at once has its whole time:", p)
	}
	if p, ok := l.Room(till-sec, 2500*ms); p != sec || !ok {
		t.Fatal("what comes late is answered before the kill:", p)
	}
	if _, ok := l.Room(till-leastRoom+1, sec); ok {
		t.Fatal("no room is left")
	}
	if l.Last(till-sec) || !l.Last(till-leastRoom) {
		t.Fatal("connections end when the end is near")
	}
	for _, c := range []struct {
		at                    int64
		connections, requests int
		over                  bool
	}{{0, 0, 0, false}, {int64(coming), 0, 0, true}, {int64(coming), 1, 0, false}, {int64(till - 10*sec), 1, 0, true},
		{int64(till - 10*sec), 1, 1, false}, {int64(till - 10*sec + margin), 1, 1, true}} {
		if got := l.Over(10*sec+logic.Micros(c.at), c.connections, c.requests); got != c.over {
			t.Errorf("%+v: %v", c, got)
		}
	}
	long := New(60 * sec)
	long.Told(sec)
	if p, ok := long.Room(sec, 60*sec); !ok || p >= mostDeadline+graceTime {
		t.Fatal("longer deadlines do not put the kill off:", p)
	}
}

// The latest end and the last look at clients are over before the kill.
func TestLastLookFits(t *testing.T) {
	l := New(3 * sec)
	l.Told(0)
	end := logic.Micros(0)
	for end = l.Till() - ms; !l.Over(end, 1, 1); end += ms {
	}
	if end+LastLook >= 3*sec+graceTime {
		t.Fatalf("over at %d us, killed at %d", end+LastLook, 3*sec+graceTime)
	}
}
