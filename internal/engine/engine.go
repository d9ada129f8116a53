package engine

import (
	"context"
	"time"

	"appleplank/crossing"
	"appleplank/internal/block"
	"appleplank/internal/drive"
	"appleplank/internal/settings"
	"appleplank/logic"

	"go.uber.org/zap"
	"golang.org/x/sync/semaphore"
)

// Engine gives a [Core] real time and sockets, by a [drive.Loop]: a request passes from ring to socket without
// waiting for another goroutine.
type Engine struct {
	core  *Core
	back  block.Back
	marks Marks
	log   *zap.Logger
	epoch time.Time

	loop *drive.Loop[input]
	left []*Op // given up by their fronts in the batch at hand
	idle chan struct{}
	cold bool // idle is to be closed when nothing is held
}

// Marks keeps what must outlast the process of mirrored extents. Neither method waits; marks of one region are carried
// out in turn.
type Marks interface {
	// Keep brings a mark to stable storage and says through [Engine.Kept] how that went.
	Keep(m Mark)
	Forget(m Mark)
}

type inputKind uint8

const (
	taken inputKind = iota
	gone
	ended
	nodes
	kept
	freed
)

// input is something that happened. What is queued is bounded by what is out: an op is taken and gone once, an
// attempt ends once, and the node list is short.
type input struct {
	kind    inputKind
	op      *Op
	attempt *block.Attempt
	result  block.Result
	nodes   []logic.Node
	mark    Mark
	ok      bool
	volume  int
	at      int64
}

// clockStart is the engine's time at its start: above zero, as logic takes zero for never, and with room for nodes
// that started before.
const clockStart = time.Hour

// New makes an engine; [Engine.SetBack] gives it the nodes before the first request.
func New(cfg *settings.Config, seed, nonce uint64, log *zap.Logger) (*Engine, error) {
	core, err := NewCore(cfg, seed, nonce)
	if err != nil {
		return nil, err
	}
	e := &Engine{core: core, log: log, epoch: time.Now().Add(-clockStart), idle: make(chan struct{})}
	e.loop = drive.NewLoop(e.Now, 0, e.step)
	return e, nil
}

// SetBack tells the engine who carries attempts out.
func (e *Engine) SetBack(b block.Back) { e.back = b }

// SetMarks tells the engine who keeps the marks of mirrored extents, where there are any.
func (e *Engine) SetMarks(m Marks) { e.marks = m }

// Kept says how keeping a mark has gone.
func (e *Engine) Kept(m Mark, ok bool) { e.loop.Post(input{kind: kept, mark: m, ok: ok}) }

// RememberMark gives the engine a mark of an earlier process, before anything is brought.
func (e *Engine) RememberMark(m Mark) (err error) {
	e.loop.WithLock(func(logic.Micros) { err = e.core.RememberMark(m) })
	return err
}

// TakeSpace marks what an object lies on as used, before anything is brought.
func (e *Engine) TakeSpace(volume int, at, n int64) (err error) {
	e.loop.WithLock(func(logic.Micros) { err = e.core.TakeSpace(volume, at, n) })
	return err
}

// FreeSpace gives an object's bytes back. Nobody may read them any more.
func (e *Engine) FreeSpace(volume int, at int64) {
	e.loop.Post(input{kind: freed, volume: volume, at: at})
}

// Space tells the free and used bytes of a volume of objects.
func (e *Engine) Space(volume int) (free, used int64) {
	e.loop.WithLock(func(now logic.Micros) { free, used = e.core.Space(now, volume) })
	return free, used
}

// Mirrors tells how the copies of mirrored extents are.
func (e *Engine) Mirrors() (m []Mirrored) {
	e.loop.WithLock(func(logic.Micros) { m = e.core.Mirrors() })
	return m
}

// Now is the engine's clock, which goes on while the machine's is set.
func (e *Engine) Now() logic.Micros { return logic.Micros(time.Since(e.epoch).Microseconds()) }

// Memory is what bounds a volume's buffers.
func (e *Engine) Memory(volume int) *semaphore.Weighted { return e.core.Memory(volume) }

// Take hands a request over; its front hears of the answer exactly once.
func (e *Engine) Take(op *Op) { e.loop.Post(input{kind: taken, op: op}) }

// Gone says that the client of a request has left, and passes the front's hold on it to the engine. The front must
// not have heard of an answer, and takes none from then on.
func (e *Engine) Gone(op *Op) { e.loop.Post(input{kind: gone, op: op}) }

// AttemptEnded implements [block.Sink].
func (e *Engine) AttemptEnded(a *block.Attempt, r block.Result) {
	e.loop.Post(input{kind: ended, attempt: a, result: r})
}

// Nodes gives news of the nodes.
func (e *Engine) Nodes(list []logic.Node) { e.loop.Post(input{kind: nodes, nodes: list}) }

// Remember gives the engine what an earlier process has learned, before anything is brought. Rest is set where that
// process may have left attempts at nodes.
func (e *Engine) Remember(m *logic.Snapshot, rest bool) (err error) {
	e.loop.WithLock(func(now logic.Micros) {
		if rest {
			e.core.Rest(now)
		}
		if m != nil {
			err = e.core.Remember(now, *m)
		}
	})
	return err
}

// Crossing tells what crossed and what is left of the budget.
func (e *Engine) Crossing() (rows []Crossed, m crossing.Snapshot) {
	e.loop.WithLock(func(now logic.Micros) { rows, m = e.core.Crossing(now) })
	return rows, m
}

// RememberCrossing gives the engine what an earlier process has counted and left, before anything is brought.
func (e *Engine) RememberCrossing(rows []Crossed, m *crossing.Snapshot, age logic.Micros) (err error) {
	e.loop.WithLock(func(logic.Micros) { err = e.core.RememberCrossing(rows, m, age) })
	return err
}

// Quiet tells whether nothing is held, and nothing that was sent may still run at a node.
func (e *Engine) Quiet() (quiet bool) {
	e.loop.WithLock(func(logic.Micros) { quiet = e.core.Quiet() })
	return quiet
}

// Learned copies what has been learned, and the time of it.
func (e *Engine) Learned() (m logic.Snapshot, now logic.Micros) {
	e.loop.WithLock(func(at logic.Micros) { m, now = e.core.Learned(at), at })
	return m, now
}

// Tally tells the counts so far.
func (e *Engine) Tally() (t Tally) {
	e.loop.WithLock(func(logic.Micros) { t = e.core.Tally() })
	return t
}

// Drained waits until nothing is held any more, or ctx ends. Fronts must have stopped taking.
func (e *Engine) Drained(ctx context.Context) error {
	e.loop.WithLock(func(logic.Micros) {
		e.cold = true
		e.core.Still()
	})
	e.loop.ForceStep()
	select {
	case <-e.idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Close stops the timer. Nothing may be brought any more.
func (e *Engine) Close() { e.loop.Close() }

// step lets the core take what was brought, and carries out what it wants.
func (e *Engine) step(now logic.Micros, in []input) logic.Micros {
	for i := range in {
		switch in := &in[i]; in.kind {
		case taken:
			e.core.Take(now, in.op)
		case gone:
			e.core.Gone(now, in.op)
			e.left = append(e.left, in.op)
		case ended:
			e.core.Ended(now, in.attempt, in.result)
		case nodes:
			e.core.Nodes(now, in.nodes)
		case freed:
			e.core.FreeSpace(now, in.volume, in.at)
		case kept:
			e.core.Kept(now, in.mark, in.ok)
		}
	}
	for _, a := range e.core.Step(now) {
		switch a.Kind {
		case Start:
			if a.Op.Front != nil {
				a.Op.Front.Sending(a.Op, a.Attempt.Node)
			}
			e.back.Start(a.Attempt)
		case Drop:
			e.back.Drop(a.Attempt)
		case Finish:
			a.Op.Front.Done(a.Op)
		case Note:
			e.log.Info(a.Text)
		case Keep:
			e.marks.Keep(a.Mark)
		case Forget:
			e.marks.Forget(a.Mark)
		}
	}
	// Only now: an answer may have been on its way to a front that had given its request up.
	for i, op := range e.left {
		op.Release()
		e.left[i] = nil
	}
	e.left = e.left[:0]
	if e.cold && e.core.tally.Ops == 0 { // attempts without an answer that nobody waits for end with their connections
		e.cold = false
		close(e.idle)
	}
	return e.core.Next()
}
