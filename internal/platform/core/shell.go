package core

import (
	"sync/atomic"
	"time"

	"appleplank/internal/drive"
	"appleplank/internal/platform/trace"
	"appleplank/logic"
	"appleplank/members"

	"go.uber.org/zap"
)

// Shell runs a [Core] in real time, between a front and a back.
type Shell struct {
	core  *Core
	back  Back
	log   *zap.Logger
	loop  *drive.Loop[input]
	epoch time.Time    // when the shell was made, on the monotonic clock
	start logic.Micros // the time of the machine at epoch

	catchUp func()
	heldUp  atomic.Bool // a request was read late, and catchUp has not been called since
}

type inputKind uint8

const (
	inputRequest inputKind = iota
	inputClientGone
	inputAttemptEnded
	inputNodes
	inputCapacity
	inputEnd
)

// input is an event for the core. The number of queued inputs is bounded by the number of requests and attempts.
type input struct {
	kind      inputKind
	request   *Request
	attempt   *Attempt
	result    Result
	changed   []logic.Node
	endpoints []Endpoint
	capacity  int
	deadline  logic.Micros
}

// NewShell returns a shell whose steps begin at least minInterval apart. The clocks of all initiators must agree, as
// hosts use them to take turns: the shell's clock starts at the time of the machine and runs on steadily when that is
// changed.
func NewShell(c *Core, minInterval logic.Micros, log *zap.Logger) *Shell {
	now := time.Now()
	s := &Shell{core: c, log: log, epoch: now, start: logic.Micros(now.UnixMicro())}
	s.loop = drive.NewLoop(s.Now, minInterval, s.step)
	return s
}

// SetBack sets the back. It is called before any input.
func (s *Shell) SetBack(b Back) { s.back = b }

// SetTrace makes the core write its events to w; nil turns tracing off. It is called before any input.
func (s *Shell) SetTrace(w *trace.Writer) { s.core.trace = w }

// Now returns the time of the shell's clock.
func (s *Shell) Now() logic.Micros { return s.start + logic.Micros(time.Since(s.epoch).Microseconds()) }

// SetCatchUp sets a function that queues what has arrived. It is called before a late step and before requests that were
// read late are processed, so that the core decides on nothing before it has heard of it. It is set before any input.
func (s *Shell) SetCatchUp(f func()) {
	s.catchUp = f
	s.loop.SetCatchUp(f)
}

// lateArrival is the age above which a request shows that the process stood still.
const lateArrival logic.Micros = 5000

// Take queues a request. Its front receives exactly one answer.
func (s *Shell) Take(r *Request) {
	if r.Waited > lateArrival {
		s.heldUp.Store(true)
	}
	s.loop.Enqueue(input{kind: inputRequest, request: r})
}

// Gone queues the report that the client of a request has left. The front still receives an answer: Failed, or the final
// answer if that was given before.
func (s *Shell) Gone(r *Request) { s.loop.Enqueue(input{kind: inputClientGone, request: r}) }

// Process processes what is queued, or leaves it to the goroutine that is processing already.
func (s *Shell) Process() {
	if s.heldUp.Load() && s.catchUp != nil {
		s.catchUp()
		s.heldUp.Store(false)
	}
	s.loop.RunPending()
}

// Room sets the number n of requests that may be held at once.
func (s *Shell) Room(n int) { s.loop.Post(input{kind: inputCapacity, capacity: n}) }

// End begins the shutdown: all requests, held ones and new ones, must be answered by time t.
func (s *Shell) End(t logic.Micros) { s.loop.Post(input{kind: inputEnd, deadline: t}) }

// Ended reports the end of an attempt.
func (s *Shell) Ended(a *Attempt, res Result) {
	s.loop.Post(input{kind: inputAttemptEnded, attempt: a, result: res})
}

// Schedule has what is queued processed by another goroutine, for callers that the processing may wait for.
func (s *Shell) Schedule() { s.loop.Schedule() }

// UpdateTargets queues changed targets, and the list of all of them.
func (s *Shell) UpdateTargets(changed []logic.Node, all []members.Target) {
	s.loop.Enqueue(input{kind: inputNodes, changed: changed, endpoints: Endpoints(all)})
}

// Steps counts the steps of a shell.
type Steps struct {
	All, Late uint64
	LateBy    logic.Micros // maximum delay of a timer
}

// Tally returns the counts so far.
func (s *Shell) Tally() (t Tally, steps Steps) {
	s.loop.WithLock(func(logic.Micros) { t = s.core.Tally() })
	return t, Steps{s.loop.Steps.Load(), s.loop.LateSteps.Load(), logic.Micros(s.loop.MaxDelay.Load())}
}

// Close stops the timers of the shell.
func (s *Shell) Close() { s.loop.Close() }

func (s *Shell) step(now logic.Micros, in []input) logic.Micros {
	c := s.core
	for i := range in {
		switch x := &in[i]; x.kind {
		case inputRequest:
			c.Submit(now, x.request)
		case inputClientGone:
			if answer, open := c.ClientGone(now, x.request); open {
				x.request.Front.Answer(now, x.request, answer)
			}
		case inputAttemptEnded:
			c.AttemptEnded(now, x.attempt, x.result)
		case inputCapacity:
			c.SetCapacity(x.capacity)
		case inputEnd:
			c.Shutdown(x.deadline)
		case inputNodes:
			s.back.SetTargets(now, x.endpoints)
			if len(x.changed) > 0 {
				c.UpdateNodes(listKind, x.changed)
			}
		}
	}
	for _, a := range c.step(now) {
		switch a.kind {
		case actionStart:
			s.back.Start(now, a.attempt, a.request)
		case actionCancel:
			s.back.Cancel(a.attempt)
		case actionCancelUnsent:
			s.back.CancelUnsent(a.attempt)
		case actionAnswer:
			a.request.Front.Answer(now, a.request, a.answer)
		case actionRelease:
			s.back.Release(now, a.attempt)
			c.recycle(a.attempt)
		case actionLog:
			s.log.Info(a.text)
		}
	}
	return c.Next()
}
