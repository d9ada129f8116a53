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

// Engine runs a [Core] in real time by means of a [drive.Loop]: a request passes from ring to socket without waiting
// for another goroutine.
type Engine struct {
	core  *Core
	back  block.Back
	marks Marks
	log   *zap.Logger
	epoch time.Time

	loop      *drive.Loop[input]
	abandoned []*Op // abandoned by their fronts in the current batch
	drained   chan struct{}
	draining  bool // drained is closed as soon as no op is held
}

// Marks stores the marks of mirrored extents, which must survive a restart. Its methods do not block. Operations on
// marks of one region are carried out in order.
type Marks interface {
	// Keep writes a mark to stable storage and reports the result through [Engine.Kept].
	Keep(m Mark)
	Forget(m Mark)
}

type inputKind uint8

const (
	requestTaken inputKind = iota
	clientGone
	attemptEnded
	nodesChanged
	markKept
	spaceFreed
)

// input is one event for the core. The queue is bounded by what is outstanding: an op is taken and abandoned at most
// once, an attempt ends once, and the node list is short.
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

// clockStart is the engine's time at its start. It is above zero, because logic takes zero for "never", and leaves room
// for the start times of nodes that started earlier.
const clockStart = time.Hour

// New returns an engine. [Engine.SetBack] must be called before the first request.
func New(cfg *settings.Config, seed, nonce uint64, log *zap.Logger) (*Engine, error) {
	core, err := NewCore(cfg, seed, nonce)
	if err != nil {
		return nil, err
	}
	e := &Engine{core: core, log: log, epoch: time.Now().Add(-clockStart), drained: make(chan struct{})}
	e.loop = drive.NewLoop(e.Now, 0, e.step)
	return e, nil
}

// SetBack sets the back, which carries out attempts.
func (e *Engine) SetBack(b block.Back) { e.back = b }

// SetMarks sets the store for the marks of mirrored extents. It is not needed where there are no mirrored extents.
func (e *Engine) SetMarks(m Marks) { e.marks = m }

// Kept reports whether a mark has reached stable storage.
func (e *Engine) Kept(m Mark, ok bool) { e.loop.Post(input{kind: markKept, mark: m, ok: ok}) }

// RestoreMark restores a mark of an earlier process. It must be called before any event.
func (e *Engine) RestoreMark(m Mark) (err error) {
	e.loop.WithLock(func(logic.Micros) { err = e.core.RestoreMark(m) })
	return err
}

// TakeSpace marks the n bytes of an object at offset at as used. It must be called before any event.
func (e *Engine) TakeSpace(volume int, at, n int64) (err error) {
	e.loop.WithLock(func(logic.Micros) { err = e.core.TakeSpace(volume, at, n) })
	return err
}

// FreeSpace frees the space of the object at offset at. Nobody may read the object any more.
func (e *Engine) FreeSpace(volume int, at int64) {
	e.loop.Post(input{kind: spaceFreed, volume: volume, at: at})
}

// Space returns the free and used bytes of a volume of objects.
func (e *Engine) Space(volume int) (free, used int64) {
	e.loop.WithLock(func(now logic.Micros) { free, used = e.core.Space(now, volume) })
	return free, used
}

// Mirrors returns the state of the copies of all mirrored extents.
func (e *Engine) Mirrors() (m []MirrorStatus) {
	e.loop.WithLock(func(logic.Micros) { m = e.core.Mirrors() })
	return m
}

// Now returns the time of the engine's clock, which is monotonic: setting the machine's clock does not affect it.
func (e *Engine) Now() logic.Micros { return logic.Micros(time.Since(e.epoch).Microseconds()) }

// Memory returns the semaphore that bounds a volume's buffers.
func (e *Engine) Memory(volume int) *semaphore.Weighted { return e.core.Memory(volume) }

// Take accepts a request. Its front receives the answer exactly once.
func (e *Engine) Take(op *Op) { e.loop.Post(input{kind: requestTaken, op: op}) }

// Gone reports that the client of a request has left, and transfers the front's reference to the engine. The front must
// not have received an answer yet, and must ignore one that arrives later.
func (e *Engine) Gone(op *Op) { e.loop.Post(input{kind: clientGone, op: op}) }

// AttemptEnded implements [block.Sink].
func (e *Engine) AttemptEnded(a *block.Attempt, r block.Result) {
	e.loop.Post(input{kind: attemptEnded, attempt: a, result: r})
}

// Nodes reports changes of the node list.
func (e *Engine) Nodes(list []logic.Node) { e.loop.Post(input{kind: nodesChanged, nodes: list}) }

// Restore restores a snapshot of what an earlier process has learned, where m is not nil. It must be called before any
// event. Rest is set where that process may have left attempts running at nodes: changes are then held back.
func (e *Engine) Restore(m *logic.Snapshot, rest bool) (err error) {
	e.loop.WithLock(func(now logic.Micros) {
		if rest {
			e.core.HoldChanges(now)
		}
		if m != nil {
			err = e.core.Restore(now, *m)
		}
	})
	return err
}

// Crossing returns the ledger of the bytes that crossed zones and the state of the crossing budget.
func (e *Engine) Crossing() (rows []CrossingRow, m crossing.Snapshot) {
	e.loop.WithLock(func(now logic.Micros) { rows, m = e.core.Crossing(now) })
	return rows, m
}

// RestoreCrossing restores the ledger and the crossing budget of an earlier process. It must be called before any
// event.
func (e *Engine) RestoreCrossing(rows []CrossingRow, m *crossing.Snapshot, age logic.Micros) (err error) {
	e.loop.WithLock(func(logic.Micros) { err = e.core.RestoreCrossing(rows, m, age) })
	return err
}

// Quiet reports whether nothing is held and nothing that was sent may still run at a node.
func (e *Engine) Quiet() (quiet bool) {
	e.loop.WithLock(func(logic.Micros) { quiet = e.core.Quiet() })
	return quiet
}

// Snapshot returns a copy of what has been learned, and the time of the copy.
func (e *Engine) Snapshot() (m logic.Snapshot, now logic.Micros) {
	e.loop.WithLock(func(at logic.Micros) { m, now = e.core.Snapshot(at), at })
	return m, now
}

// Tally returns the current counts.
func (e *Engine) Tally() (t Tally) {
	e.loop.WithLock(func(logic.Micros) { t = e.core.Tally() })
	return t
}

// Drain waits until no op is held or ctx ends. Fronts must have stopped accepting requests. No fill is started from
// then on.
func (e *Engine) Drain(ctx context.Context) error {
	e.loop.WithLock(func(logic.Micros) {
		e.draining = true
		e.core.StopFills()
	})
	e.loop.ForceStep()
	select {
	case <-e.drained:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Close stops the timer. No event may be reported after it.
func (e *Engine) Close() { e.loop.Close() }

// step passes the queued events to the core and carries out the resulting actions.
func (e *Engine) step(now logic.Micros, in []input) logic.Micros {
	for i := range in {
		switch in := &in[i]; in.kind {
		case requestTaken:
			e.core.Take(now, in.op)
		case clientGone:
			e.core.ClientGone(now, in.op)
			e.abandoned = append(e.abandoned, in.op)
		case attemptEnded:
			e.core.AttemptEnded(now, in.attempt, in.result)
		case nodesChanged:
			e.core.Nodes(now, in.nodes)
		case spaceFreed:
			e.core.FreeSpace(now, in.volume, in.at)
		case markKept:
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
	// Released only now, because the actions above may have included an answer to a request that its front had
	// abandoned.
	for i, op := range e.abandoned {
		op.Release()
		e.abandoned[i] = nil
	}
	e.abandoned = e.abandoned[:0]
	if e.draining && e.core.tally.Ops == 0 { // attempts that nobody waits for end with their connections
		e.draining = false
		close(e.drained)
	}
	return e.core.Next()
}
