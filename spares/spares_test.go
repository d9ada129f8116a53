package spares

import (
	"math/rand/v2"
	"testing"

	"appleplank/logic"
)

func TestPick(t *testing.T) {
	s := New(10, 0, 1000*ms)
	var a, b Conn
	for range 2 {
		s.Reserve()
	}
	s.MarkIdle(0, 1, &a)
	s.MarkIdle(30*ms, 1, &b)
	if s.Pick(31*ms, 2) != nil {
		t.Fatal("picked a connection of another node")
	}
	if got := s.Pick(31*ms, 1); got != &a {
		t.Fatal("want a, which has settled; b has not")
	}
	s.MarkIdle(32*ms, 1, &a)
	if s.Pick(60*ms, 1) != &a || s.Pick(60*ms, 1) != &b || s.Pick(60*ms, 1) != nil {
		t.Fatal("want the connection used last first")
	}
}

// A connection that its target may close at any moment carries no further request, even if no sweep has closed it yet.
func TestOldOnesCarryNothing(t *testing.T) {
	s := New(10, 0, 1000*ms)
	var a Conn
	s.Reserve()
	s.MarkIdle(0, 1, &a)
	if s.Pick(750*ms, 1) != nil {
		t.Fatal("picked a connection that its target may close during the write")
	}
	if s.Overdue(749*ms) != nil || s.Overdue(750*ms) != &a || s.Overdue(750*ms) != nil {
		t.Fatal("want the connection overdue once, at its maximum idle time")
	}
	if open, idle := s.Open(); open != 0 || idle != 0 {
		t.Fatal(open, idle)
	}
}

func TestBound(t *testing.T) {
	s := New(2, 0, 1000*ms)
	var a, b Conn
	s.Reserve()
	s.Reserve()
	if _, ok := s.Reserve(); ok {
		t.Fatal("opened more connections than the limit")
	}
	s.MarkIdle(5, 1, &a)
	s.MarkIdle(4, 2, &b)
	if out, ok := s.Reserve(); !ok || out != &b {
		t.Fatal("want the connection idle for longest evicted")
	}
}

func TestSparesAddUp(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	s := New(20, 0, 100*ms)
	var out []*Conn
	now := logic.Micros(0)
	for range 20000 {
		now += logic.Micros(rng.Int64N(int64(5 * ms)))
		node := logic.NodeID(rng.IntN(6))
		if l := s.Pick(now, node); l != nil {
			out = append(out, l)
		} else if _, ok := s.Reserve(); ok {
			out = append(out, &Conn{node: node})
		}
		for len(out) > 0 && rng.IntN(3) > 0 {
			i := rng.IntN(len(out))
			l := out[i]
			out = append(out[:i], out[i+1:]...)
			if rng.IntN(4) == 0 {
				s.MarkClosed(l)
			} else {
				s.MarkIdle(now, l.node, l)
			}
		}
		for s.Overdue(now) != nil {
		}
		if open, idle := s.Open(); open != idle+len(out) || open > 20 {
			t.Fatalf("%d open, %d idle, %d in use", open, idle, len(out))
		}
	}
}

// The owner of an evicted or overdue connection closes it and reports that once more.
func TestGoneCountsOnce(t *testing.T) {
	s := New(2, 0, 1000*ms)
	var a, b, c Conn
	s.Reserve()
	s.Reserve()
	s.MarkIdle(0, 1, &a)
	s.MarkIdle(1, 1, &b)
	out, _ := s.Reserve()
	s.MarkClosed(out)
	s.MarkClosed(out)
	s.MarkIdle(2, 1, &c)
	if open, idle := s.Open(); open != 2 || idle != 2 {
		t.Fatalf("%d open, %d idle of two", open, idle)
	}
	for l := s.Overdue(2000 * ms); l != nil; l = s.Overdue(2000 * ms) {
		s.MarkClosed(l)
	}
	if open, idle := s.Open(); open != 0 || idle != 0 {
		t.Fatalf("%d open, %d idle of none", open, idle)
	}
}

func TestRoomForLongAnswers(t *testing.T) {
	s := New(2, 150, 1000*ms)
	if !s.ReserveBytes(100) || s.ReserveBytes(100) || !s.ReserveBytes(50) {
		t.Fatal("reserved bytes do not follow the limit")
	}
	s.FreeBytes(100)
	if !s.ReserveBytes(100) || s.Tally.NoRoom != 1 {
		t.Fatal("returned bytes are not available")
	}
}

// Connections of an age class with many losses are not used; younger ones are, and after a while that class again.
func TestAgesThatDoNotLast(t *testing.T) {
	s := New(10, 0, 100000*ms)
	var l Conn
	s.Reserve()
	now := logic.Micros(0)
	use := func(idle logic.Micros, lost bool) bool {
		s.MarkIdle(now, 1, &l)
		now += idle
		got := s.Pick(now, 1)
		if got == nil {
			s.removeIdle(&l)
			return false
		}
		s.RecordOutcome(now, got, lost)
		return true
	}
	for i := range 100 {
		if !use(30*ms, i%10 == 0) {
			t.Fatal("not used though one loss in ten is what new connections have as well")
		}
	}
	n := 0
	for i := 0; use(300*ms, i%2 == 0); i++ {
		if n++; n > 10 {
			t.Fatal("used though half of them are lost")
		}
	}
	if !use(30*ms, false) {
		t.Fatal("younger connections are not used")
	}
	now += 2 * lossHalfLife
	if !use(300*ms, false) {
		t.Fatal("the age class is not tried again")
	}
}
