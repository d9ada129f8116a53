package drive

import (
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"appleplank/logic"
)

func newClock() func() logic.Micros {
	started := time.Now()
	return func() logic.Micros { return 1 + logic.Micros(time.Since(started).Microseconds()) }
}

// Inputs posted by several goroutines at once are each processed once, in steps that never overlap.
func TestLoopTakesAll(t *testing.T) {
	for _, minInterval := range []logic.Micros{0, 2000} {
		var running atomic.Int32
		sum := 0
		l := NewLoop(newClock(), minInterval, func(_ logic.Micros, in []int) logic.Micros {
			if running.Add(1) != 1 {
				t.Error("two steps ran concurrently")
			}
			for _, x := range in {
				sum += x
			}
			running.Add(-1)
			return 0
		})
		var posters sync.WaitGroup
		for range 8 {
			posters.Go(func() {
				for range 5000 {
					l.Post(1)
				}
			})
		}
		posters.Wait()
		for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
			got := 0
			if l.WithLock(func(logic.Micros) { got = sum }); got == 40000 {
				break
			}
		}
		if sum != 40000 {
			t.Fatalf("minimum interval %d: %d of 40000 inputs processed", minInterval, sum)
		}
		if steps := l.Steps.Load(); minInterval > 0 && steps > 2000 {
			t.Errorf("%d steps despite a minimum interval", steps)
		}
		l.Close()
	}
}

// Guards against a loop that spins for ever while holding the lock, because it is closed while its timer fires.
func TestClosedLoopDoesNotSpin(t *testing.T) {
	l := NewLoop(newClock(), 0, func(logic.Micros, []int) logic.Micros { return 0 })
	l.Close()
	done := make(chan struct{})
	go func() { l.ForceStep(); l.Post(1); close(done) }()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		t.Fatal("the loop still runs after 5 s")
	}
}

func TestLoopWakes(t *testing.T) {
	woken := make(chan struct{})
	now, dueAt := newClock(), logic.Micros(0)
	l := NewLoop(now, 0, func(now logic.Micros, in []int) logic.Micros {
		if len(in) > 0 {
			dueAt = now + 20_000
			return dueAt
		}
		if dueAt > 0 && now >= dueAt {
			dueAt = 0
			close(woken)
		}
		return dueAt
	})
	defer l.Close()
	l.Post(1)
	select {
	case <-woken:
	case <-time.After(10 * time.Second):
		t.Fatal("the timer did not run a step")
	}
}

func TestLoopCountsLateSteps(t *testing.T) {
	now, dueAt := newClock(), logic.Micros(0)
	l := NewLoop(now, 0, func(now logic.Micros, in []int) logic.Micros {
		if len(in) > 0 {
			dueAt = now + 5_000
		}
		if now >= dueAt {
			return 0
		}
		return dueAt
	})
	defer l.Close()
	l.Post(1)
	l.WithLock(func(logic.Micros) { time.Sleep(40 * time.Millisecond) }) // delays the step that is due
	for deadline := time.Now().Add(10 * time.Second); l.LateSteps.Load() == 0 && time.Now().Before(deadline); time.Sleep(time.Millisecond) {
	}
	if n, by := l.LateSteps.Load(), l.MaxDelay.Load(); n == 0 || by < 20_000 {
		t.Errorf("%d steps late, by at most %d us; want at least one, by 20 ms or more", n, by)
	}
}

// Guards against a step that was held up and decides on what became due before it hears of what has happened meanwhile.
func TestLateStepCatchesUp(t *testing.T) {
	const due, input = 5_000, 7
	now, dueAt := newClock(), logic.Micros(0)
	late := make(chan []int, 1)
	l := NewLoop(now, 0, func(now logic.Micros, in []int) logic.Micros {
		switch {
		case dueAt == 0:
			dueAt = now + due
		case now >= dueAt && len(late) == 0:
			late <- slices.Clone(in)
			return 0
		}
		return dueAt
	})
	defer l.Close()
	caughtUp := false
	l.SetCatchUp(func() {
		if !caughtUp {
			caughtUp = true
			l.Enqueue(input)
		}
	})
	l.Post(1)
	l.WithLock(func(logic.Micros) { time.Sleep((due + 10*lateThreshold) * time.Microsecond) }) // the step is held up
	select {
	case in := <-late:
		if !slices.Contains(in, input) {
			t.Errorf("the late step processed %v, want the input that it caught up with", in)
		}
	case <-time.After(10 * time.Second):
		t.Fatal("the timer did not run a step")
	}
}
