package drive

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"appleplank/logic"
)

func clock() func() logic.Micros {
	begun := time.Now()
	return func() logic.Micros { return 1 + logic.Micros(time.Since(begun).Microseconds()) }
}

// Whatever is brought by many at once is taken once, in steps that never overlap.
func TestLoopTakesAll(t *testing.T) {
	for _, pace := range []logic.Micros{0, 2000} {
		var running atomic.Int32
		sum := 0
		l := NewLoop(clock(), pace, func(_ logic.Micros, in []int) logic.Micros {
			if running.Add(1) != 1 {
				t.Error("two steps at once")
			}
			for _, x := range in {
				sum += x
			}
			running.Add(-1)
			return 0
		})
		var wait sync.WaitGroup
		for range 8 {
			wait.Go(func() {
				for range 5000 {
					l.Post(1)
				}
			})
		}
		wait.Wait()
		for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
			got := 0
			if l.With(func(logic.Micros) { got = sum }); got == 40000 {
				break
			}
		}
		if sum != 40000 {
			t.Fatalf("pace %d: %d taken", pace, sum)
		}
		if steps := l.Steps.Load(); pace > 0 && steps > 2000 {
			t.Errorf("%d steps with a pace", steps)
		}
		l.Close()
	}
}

// A loop that was closed while its timer fired spun for ever, holding the lock: found by the gateway's tests.
func TestClosedLoopDoesNotSpin(t *testing.T) {
	l := NewLoop(clock(), 0, func(logic.Micros, []int) logic.Micros { return 0 })
	l.Close()
	done := make(chan struct{})
	go func() { l.Kick(); l.Post(1); close(done) }()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		t.Fatal("it spins")
	}
}

func TestLoopWakes(t *testing.T) {
	woken := make(chan struct{})
	now, at := clock(), logic.Micros(0)
	l := NewLoop(now, 0, func(now logic.Micros, in []int) logic.Micros {
		if len(in) > 0 {
			at = now + 20_000
			return at
		}
		if at > 0 && now >= at {
			at = 0
			close(woken)
		}
		return at
	})
	defer l.Close()
	l.Post(1)
	select {
	case <-woken:
	case <-time.After(10 * time.Second):
		t.Fatal("never woken")
	}
}

func TestLoopCountsLateSteps(t *testing.T) {
	now, at := clock(), logic.Micros(0)
	l := NewLoop(now, 0, func(now logic.Micros, in []int) logic.Micros {
		if len(in) > 0 {
			at = now + 5_000
		}
		if now >= at {
			return 0
		}
		return at
	})
	defer l.Close()
	l.Post(1)
	l.With(func(logic.Micros) { time.Sleep(40 * time.Millisecond) }) // somebody holds the core up
	for end := time.Now().Add(10 * time.Second); l.Late.Load() == 0 && time.Now().Before(end); time.Sleep(time.Millisecond) {
	}
	if n, by := l.Late.Load(), l.LateBy.Load(); n == 0 || by < 20_000 {
		t.Errorf("%d steps late, by %d us at most", n, by)
	}
}
