package drive

import (
	"sync"
	"sync/atomic"
	"time"

	"appleplank/logic"
)

// Loop runs the steps of a core in real time. It has no goroutine: the caller that posts an input also runs the step,
// or leaves it to the goroutine that is running one already. All inputs that are queued at that time go into one step,
// and no input has to wait for another goroutine to be scheduled.
type Loop[T any] struct {
	now         func() logic.Micros
	step        func(now logic.Micros, in []T) (next logic.Micros)
	minInterval logic.Micros
	catchUp     func()

	mu         sync.Mutex // guards the core; held during a step, which never blocks on a peer
	timer      *time.Timer
	timerDueAt logic.Micros // 0: the timer is not set
	closed     bool
	batch      []T
	lastStep   atomic.Int64 // start of the last step, in Micros

	queueMu          sync.Mutex
	queue            []T
	stepDue          atomic.Bool // the timer has fired, or a step was requested by ForceStep
	intervalTimerSet atomic.Bool // intervalTimer is running
	intervalTimer    *time.Timer
	Steps            atomic.Uint64
	LateSteps        atomic.Uint64 // steps that began more than lateThreshold after their timer was due
	MaxDelay         atomic.Int64  // maximum delay of a timer, in Micros
}

// lateThreshold is the delay, in Micros, above which a step counts as late: two of the platform's shortest ticks.
const lateThreshold = 2000

// NewLoop returns a loop around step, which processes the queued inputs and returns the time of its next call; 0 means
// not before another input is posted. Steps that are caused by inputs only, not by the timer, begin at least
// minInterval apart, which bounds the processor time that a burst of inputs costs.
func NewLoop[T any](now func() logic.Micros, minInterval logic.Micros, step func(now logic.Micros, in []T) logic.Micros) *Loop[T] {
	l := &Loop[T]{now: now, step: step, minInterval: minInterval}
	onTimer := func() {
		l.stepDue.Store(true)
		l.RunPending()
	}
	l.timer = time.AfterFunc(time.Hour, onTimer)
	l.timer.Stop()
	l.intervalTimer = time.AfterFunc(time.Hour, func() {
		l.intervalTimerSet.Store(false)
		l.RunPending()
	})
	l.intervalTimer.Stop()
	return l
}

// SetCatchUp sets a function that is called before each late step. It queues inputs that have happened but were not posted
// yet: after the process stood still, a timer may run before the goroutines that post them. The function must not run
// steps. It is set before the first input.
func (l *Loop[T]) SetCatchUp(f func()) { l.catchUp = f }

// Enqueue queues an input. The caller calls RunPending afterwards.
func (l *Loop[T]) Enqueue(in T) {
	l.queueMu.Lock()
	l.queue = append(l.queue, in)
	l.queueMu.Unlock()
}

// Post queues an input and runs a step if no other goroutine is running one and minInterval has passed.
func (l *Loop[T]) Post(in T) {
	l.Enqueue(in)
	l.RunPending()
}

// Schedule has pending steps run by the goroutine of a timer, for callers that a step may wait for.
func (l *Loop[T]) Schedule() {
	if l.intervalTimerSet.CompareAndSwap(false, true) {
		l.intervalTimer.Reset(0)
	}
}

// WithLock calls f while no step runs.
func (l *Loop[T]) WithLock(f func(now logic.Micros)) {
	l.mu.Lock()
	f(l.now())
	l.mu.Unlock()
	l.RunPending()
}

// ForceStep runs a step even if no input is queued.
func (l *Loop[T]) ForceStep() {
	l.stepDue.Store(true)
	l.RunPending()
}

// Close stops the timers. Inputs posted later, and timers that are firing already, still run a step, but steps no
// longer set the timer.
func (l *Loop[T]) Close() {
	l.mu.Lock()
	l.closed = true
	l.timer.Stop()
	l.intervalTimer.Stop()
	l.mu.Unlock()
}

// RunPending runs steps as long as one is needed and no other goroutine holds the lock. Every holder of the lock calls
// it after unlocking, so no input is left in the queue.
func (l *Loop[T]) RunPending() {
	for l.needsStep() && l.mu.TryLock() {
		l.runSteps()
		l.mu.Unlock()
	}
}

func (l *Loop[T]) needsStep() bool {
	if l.stepDue.Load() {
		return true
	}
	l.queueMu.Lock()
	hasInput := len(l.queue) > 0
	l.queueMu.Unlock()
	if !hasInput {
		return false
	}
	wait := l.minInterval - (l.now() - logic.Micros(l.lastStep.Load()))
	if l.minInterval == 0 || wait <= 0 {
		return true
	}
	if l.intervalTimerSet.CompareAndSwap(false, true) {
		l.intervalTimer.Reset(time.Duration(wait) * time.Microsecond)
	}
	return false
}

// runSteps runs steps until none is needed at the present time. The lock is held.
func (l *Loop[T]) runSteps() {
	for {
		now := l.now()
		if l.noteDelay(now) && l.catchUp != nil {
			l.catchUp()
		}
		l.queueMu.Lock()
		l.queue, l.batch = l.batch[:0], l.queue
		l.queueMu.Unlock()
		l.lastStep.Store(int64(now))
		l.Steps.Add(1)
		next := l.step(now, l.batch)
		clear(l.batch)
		if next > 0 && next <= l.now() {
			continue
		}
		l.setTimer(next)
		if l.minInterval > 0 || !l.hasInput() {
			return
		}
	}
}

// noteDelay records how late a step begins, and reports whether it is late.
func (l *Loop[T]) noteDelay(now logic.Micros) bool {
	due := l.timerDueAt
	if l.stepDue.Swap(false) {
		l.timerDueAt = 0
	}
	if due == 0 || now <= due {
		return false
	}
	delay := int64(now - due)
	if delay > l.MaxDelay.Load() {
		l.MaxDelay.Store(delay)
	}
	if delay <= lateThreshold {
		return false
	}
	l.LateSteps.Add(1)
	return true
}

func (l *Loop[T]) hasInput() bool {
	l.queueMu.Lock()
	defer l.queueMu.Unlock()
	return len(l.queue) > 0
}

func (l *Loop[T]) setTimer(next logic.Micros) {
	if l.closed || next == 0 || l.timerDueAt != 0 && l.timerDueAt <= next {
		return
	}
	l.timerDueAt = next
	l.timer.Reset(time.Duration(next-l.now()) * time.Microsecond)
}
