package core

import (
	"time"

	"appleplank/internal/drive"
	"appleplank/internal/platform/trace"
	"appleplank/logic"
	"appleplank/members"

	"go.uber.org/zap"
)

// Shell gives a core real time and sockets.
type Shell struct {
	core  *Core
	back  Back
	log   *zap.Logger
	loop  *drive.Loop[input]
	epoch time.Time
	base  logic.Micros
}

type inputKind uint8

const (
	taken inputKind = iota
	left
	ended
	nodes
	room
	ending
)

// input is something that happened. What is queued is bounded by what is out.
type input struct {
	kind    inputKind
	request *Request
	attempt *Attempt
	result  Result
	list    []logic.Node
	places  []Place
	room    int
	by      logic.Micros
}

// NewShell makes a shell whose steps begin pace apart at least. All initiators read one clock, by which hosts share
// out turns: it is the machine's at the start, and goes on while that is set.
func NewShell(c *Core, pace logic.Micros, log *zap.Logger) *Shell {
	now := time.Now()
	s := &Shell{core: c, log: log, epoch: now, base: logic.Micros(now.UnixMicro())}
	s.loop = drive.NewLoop(s.Now, pace, s.step)
	return s
}

// SetBack tells who carries attempts out, before anything is brought.
func (s *Shell) SetBack(b Back) { s.back = b }

// SetTrace makes the core write down what it believes, before anything is brought.
func (s *Shell) SetTrace(w *trace.Writer) { s.core.trace = w }

// Now is the shell's clock.
func (s *Shell) Now() logic.Micros { return s.base + logic.Micros(time.Since(s.epoch).Microseconds()) }

// Take hands a request over; its front hears of the answer once, unless it says before that the client has left.
func (s *Shell) Take(r *Request) { s.loop.Post(input{kind: taken, request: r}) }

// Gone says that a request's client has left. The front may still hear of an answer that was on its way.
func (s *Shell) Gone(r *Request) { s.loop.Post(input{kind: left, request: r}) }

// Room says how many requests may be held at once from now on.
func (s *Shell) Room(requests int) { s.loop.Post(input{kind: room, room: requests}) }

// End says that all that is held or comes must be answered by the given time.
func (s *Shell) End(by logic.Micros) { s.loop.Post(input{kind: ending, by: by}) }

// Ended brings the end of an attempt.
func (s *Shell) Ended(a *Attempt, res Result) {
	s.loop.Post(input{kind: ended, attempt: a, result: res})
}

// Nodes brings news of the targets, and where all of them are.
func (s *Shell) Nodes(changed []logic.Node, all []members.Target) {
	s.loop.Post(input{kind: nodes, list: changed, places: Places(all)})
}

// Steps counts a shell's steps.
type Steps struct {
	All, Late uint64
	LateBy    logic.Micros // the most a timer has come too late
}

// Tally tells the counts so far.
func (s *Shell) Tally() (t Tally, steps Steps) {
	s.loop.With(func(logic.Micros) { t = s.core.Tally() })
	return t, Steps{s.loop.Steps.Load(), s.loop.Late.Load(), logic.Micros(s.loop.LateBy.Load())}
}

// Close stops the timers.
func (s *Shell) Close() { s.loop.Close() }

func (s *Shell) step(now logic.Micros, in []input) logic.Micros {
	c := s.core
	for i := range in {
		switch x := &in[i]; x.kind {
		case taken:
			c.Take(now, x.request)
		case left:
			if c.Gone(now, x.request) {
				x.request.Front.Answer(now, x.request, Answer{Verdict: Failed})
			}
		case ended:
			c.Ended(now, x.attempt, x.result)
		case room:
			c.Room(x.room)
		case ending:
			c.End(x.by)
		case nodes:
			s.back.Targets(now, x.places)
			if len(x.list) > 0 {
				c.Nodes(listKind, x.list)
			}
		}
	}
	for _, a := range c.step(now) {
		switch a.kind {
		case start:
			s.back.Start(now, a.attempt, a.request)
		case drop:
			s.back.Drop(a.attempt)
		case recall:
			s.back.Recall(a.attempt)
		case answer:
			a.request.Front.Answer(now, a.request, a.answer)
		case done:
			s.back.Done(now, a.attempt)
			c.recycle(a.attempt)
		case note:
			s.log.Info(a.text)
		}
	}
	return c.Next()
}
