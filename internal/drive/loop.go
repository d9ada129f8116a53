package drive

import (
	"sync"
	"sync/atomic"
	"time"

	"appleplank/logic"
)

// Loop gives a core real time. There is no goroutine of its own: whoever brings something that happened also runs the
// core, or leaves it to the one who does so at the moment. So all that is ready at a time goes into one step, and what
// is brought passes on without waiting for another goroutine.
type Loop[T any] struct {
	now  func() logic.Micros
	step func(now logic.Micros, in []T) (next logic.Micros)
	pace logic.Micros

	mu    sync.Mutex // the core; held for a step, which waits for no peer
	timer *time.Timer
	armed logic.Micros // 0: the timer is off
	ended bool
	work  []T
	last  atomic.Int64 // when the last step began

	inMu   sync.Mutex
	in     []T
	due    atomic.Bool // the timer has fired
	paced  atomic.Bool // pacer will fire
	pacer  *time.Timer
	Steps  atomic.Uint64
	Late   atomic.Uint64 // steps that began more than lateFrom after their timer was due
	LateBy atomic.Int64  // the most a timer has come too late, in Micros
}

// lateFrom, in Micros, is from when a step counts as late: two of the platform's shortest ticks.
const lateFrom = 2000

// NewLoop makes a loop. Step takes what has come and does what it wants, and tells when it must be called again; 0:
// not before something comes. Steps that are not asked for by their time begin pace apart at least, so that a crowd
// costs one core no more than so many.
func NewLoop[T any](now func() logic.Micros, pace logic.Micros, step func(now logic.Micros, in []T) logic.Micros) *Loop[T] {
	l := &Loop[T]{now: now, step: step, pace: pace}
	fire := func() {
		l.due.Store(true)
		l.catchUp()
	}
	l.timer = time.AfterFunc(time.Hour, fire)
	l.timer.Stop()
	l.pacer = time.AfterFunc(time.Hour, func() {
		l.paced.Store(false)
		l.catchUp()
	})
	l.pacer.Stop()
	return l
}

// Post brings something that has happened.
func (l *Loop[T]) Post(in T) {
	l.inMu.Lock()
	l.in = append(l.in, in)
	l.inMu.Unlock()
	l.catchUp()
}

// With runs f while no step runs.
func (l *Loop[T]) With(f func(now logic.Micros)) {
	l.mu.Lock()
	f(l.now())
	l.mu.Unlock()
	l.catchUp()
}

// Kick lets a step run even if nothing has come.
func (l *Loop[T]) Kick() {
	l.due.Store(true)
	l.catchUp()
}

// Close stops the timers. What is brought or fires after it still runs a step, but none is woken for.
func (l *Loop[T]) Close() {
	l.mu.Lock()
	l.ended = true
	l.timer.Stop()
	l.pacer.Stop()
	l.mu.Unlock()
}

// catchUp runs the core while there is a reason and nobody else runs it. Whoever has held the lock calls it after
// letting go, so nothing stays behind.
func (l *Loop[T]) catchUp() {
	for l.ready() && l.mu.TryLock() {
		l.run()
		l.mu.Unlock()
	}
}

func (l *Loop[T]) ready() bool {
	if l.due.Load() {
		return true
	}
	l.inMu.Lock()
	some := len(l.in) > 0
	l.inMu.Unlock()
	if !some {
		return false
	}
	wait := l.pace - (l.now() - logic.Micros(l.last.Load()))
	if l.pace == 0 || wait <= 0 {
		return true
	}
	if l.paced.CompareAndSwap(false, true) {
		l.pacer.Reset(time.Duration(wait) * time.Microsecond)
	}
	return false
}

// run steps until nothing is left to do now.
func (l *Loop[T]) run() {
	for {
		now := l.now()
		if l.due.Swap(false) && l.armed > 0 {
			late := int64(now - l.armed)
			if late > lateFrom {
				l.Late.Add(1)
			}
			if late > l.LateBy.Load() {
				l.LateBy.Store(late)
			}
			l.armed = 0
		}
		l.inMu.Lock()
		l.in, l.work = l.work[:0], l.in
		l.inMu.Unlock()
		l.last.Store(int64(now))
		l.Steps.Add(1)
		next := l.step(now, l.work)
		clear(l.work)
		if next > 0 && next <= l.now() {
			continue
		}
		l.arm(next)
		if l.pace > 0 || !l.more() {
			return
		}
	}
}

func (l *Loop[T]) more() bool {
	l.inMu.Lock()
	defer l.inMu.Unlock()
	return len(l.in) > 0
}

func (l *Loop[T]) arm(next logic.Micros) {
	if l.ended || next == 0 || l.armed != 0 && l.armed <= next {
		return
	}
	l.armed = next
	l.timer.Reset(time.Duration(next-l.now()) * time.Microsecond)
}
