// Package target sends attempts to targets, one at a time per connection, and reports the outcome of each from what was
// written and read. Package spares decides which connection is used and when one is closed.
package target

import (
	"context"
	"net"
	"strconv"
	"sync"
	"time"

	"appleplank/bounds"
	"appleplank/internal/platform/core"
	"appleplank/internal/platform/trace"
	"appleplank/logic"
	"appleplank/spares"
)

// Sink receives the outcomes of attempts.
type Sink interface {
	Now() logic.Micros
	Ended(a *core.Attempt, res core.Result)
}

// Settings configures a [Back].
type Settings struct {
	MaxConnections int           // maximum number of connections
	MaxCopyBytes   int           // bytes that the requests of all attempts may use together until they are written
	MaxAnswerBytes int           // bytes that all answers over http1.InitialBuffer may use together
	IdleTimeout    logic.Micros  // time after which targets close an idle connection
	ConnectTimeout time.Duration // limit on the time to connect
	LoadFields     LoadFields    // known fields of load reports
	Trace          *trace.Writer // nil: no trace
	// Dial opens a TCP connection; nil: [net.Dialer.DialContext].
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Back manages the connections to targets. It implements [core.Back].
type Back struct {
	settings Settings
	sink     Sink

	mu      sync.Mutex // never held during a call of the sink
	spares  *spares.Pool
	targets map[logic.NodeID]core.Endpoint
	conns   map[*connection]struct{}
	copies  *bounds.Pool // for requests of attempts that are not written yet
	// encodeBuffer is for the attempt that is being started.
	encodeBuffer []byte
	sweepTimer   *time.Timer
	closed       bool
	goroutines   sync.WaitGroup
	tally        Tally
}

// Tally counts dials, answers and faults of connections.
type Tally struct {
	Dialled, DialFailed, Answers, Spoilt, Surplus, Broken uint64
	Spares                                                spares.Tally
	Copies                                                bounds.PoolTally
}

// New returns a back that reports outcomes to sink.
func New(settings Settings, sink Sink) *Back {
	if settings.Dial == nil {
		settings.Dial = new(net.Dialer).DialContext
	}
	b := &Back{settings: settings, sink: sink, spares: spares.New(settings.MaxConnections, settings.MaxAnswerBytes, settings.IdleTimeout),
		targets: map[logic.NodeID]core.Endpoint{}, conns: map[*connection]struct{}{}, copies: bounds.NewPool(settings.MaxCopyBytes)}
	b.sweepTimer = time.AfterFunc(sweepInterval, b.sweep)
	return b
}

// sweepInterval is the interval at which idle connections are checked for timeouts.
const sweepInterval = 250 * time.Millisecond

// Start implements [core.Back].
func (b *Back) Start(now logic.Micros, a *core.Attempt, r *core.Request) {
	b.mu.Lock()
	for {
		s := b.spares.Pick(now, a.Node)
		if s == nil {
			break
		}
		c := s.Owner.(*connection)
		// Detects unexpected data and a close by the target, also if the reader has read the data already. Such data
		// would be taken for the answer to this attempt and be served to the wrong client. Nothing was written yet, so
		// another connection can be used.
		if c.unexpectedInput || c.conn.CheckIdle() != nil {
			b.tally.Surplus++
			b.close(c)
			continue
		}
		c.prepare(a, r)
		c.state = busy
		if !c.send(now) {
			c.attempt = nil
			b.close(c)
			continue
		}
		if b.settings.Trace != nil {
			b.trace("send", c, "reused:"+strconv.FormatInt(int64(now-c.answeredAt), 10))
		}
		b.mu.Unlock()
		return
	}
	dialled := b.dial(a, r)
	b.mu.Unlock()
	if !dialled {
		b.sink.Ended(a, core.Result{Outcome: logic.NotSent, Load: logic.NoLoad}) // nothing was sent
	}
}

// dial opens a connection for an attempt. It reports false if the target takes no work, or there is no connection or no
// memory for the attempt. The caller holds the lock.
func (b *Back) dial(a *core.Attempt, r *core.Request) bool {
	target := b.targets[a.Node]
	if !target.AcceptsWork || b.closed {
		return false
	}
	c := &connection{back: b, target: target, state: dialling}
	c.spare.Owner = c
	c.prepare(a, r)
	if !c.keepCopy() {
		c.attempt = nil
		return false
	}
	evicted, hasCapacity := b.spares.Reserve()
	if evicted != nil {
		b.close(evicted.Owner.(*connection))
	}
	if !hasCapacity {
		c.dropCopy()
		c.attempt = nil
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), b.settings.ConnectTimeout)
	c.cancelDial = cancel
	b.conns[c] = struct{}{}
	b.tally.Dialled++
	b.goroutines.Go(func() { c.run(ctx) })
	return true
}

// Cancel implements [core.Back].
func (b *Back) Cancel(a *core.Attempt) { b.abandon(a, false) }

// CancelUnsent implements [core.Back].
func (b *Back) CancelUnsent(a *core.Attempt) { b.abandon(a, true) }

// abandon gives up an attempt; with onlyUnsent, only if it was not written completely.
func (b *Back) abandon(a *core.Attempt, onlyUnsent bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c, ok := a.Conn.(*connection)
	if !ok || c.attempt != a || c.state != busy && c.state != dialling || onlyUnsent && c.written {
		return
	}
	c.dropped, c.recalled = true, c.recalled || onlyUnsent
	if c.conn != nil {
		c.conn.Shutdown() // the reader reports the outcome
	}
	c.cancelDial()
}

// Release implements [core.Back].
func (b *Back) Release(now logic.Micros, a *core.Attempt) {
	b.mu.Lock()
	if c, ok := a.Conn.(*connection); ok && c.attempt == a {
		c.attempt = nil
		c.releaseAnswer()
		if c.state == reported {
			c.forgetExchange()
			if c.closeAfterUse || b.closed || !b.valid(c) {
				b.close(c)
			} else {
				c.state = idle
				b.spares.MarkIdle(now, c.target.Node, &c.spare)
			}
		}
	}
	b.mu.Unlock()
}

// SetTargets implements [core.Back].
func (b *Back) SetTargets(_ logic.Micros, list []core.Endpoint) {
	b.mu.Lock()
	defer b.mu.Unlock()
	clear(b.targets)
	for _, p := range list {
		b.targets[p.Node] = p
	}
	for c := range b.conns {
		if c.state == idle && !b.valid(c) {
			b.close(c)
		}
	}
}

// valid reports whether a connection still leads to the current address of its node. The caller holds the lock.
func (b *Back) valid(c *connection) bool { return b.targets[c.target.Node].Address == c.target.Address }

// close closes a connection that has no attempt in flight. The caller holds the lock.
func (b *Back) close(c *connection) {
	if c.state == closed {
		return
	}
	c.releaseAnswer()
	if _, ok := b.conns[c]; ok {
		delete(b.conns, c)
		b.spares.MarkClosed(&c.spare)
	}
	if c.conn != nil {
		c.conn.SetDiscardUnsent(c.state != idle) // an idle one has no unsent data and is closed normally
		c.conn.Shutdown()                        // the reader closes it
	}
	c.state = closed
	c.cancelDial()
}

func (b *Back) sweep() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return
	}
	for s := b.spares.Overdue(b.sink.Now()); s != nil; s = b.spares.Overdue(b.sink.Now()) {
		b.close(s.Owner.(*connection))
	}
	b.sweepTimer.Reset(sweepInterval)
}

// Close closes all connections and waits for their goroutines.
func (b *Back) Close() {
	b.mu.Lock()
	b.closed = true
	b.sweepTimer.Stop()
	for c := range b.conns {
		if c.state == idle || c.state == reported {
			b.close(c)
		} else if c.dropped = true; c.conn != nil {
			c.conn.Shutdown()
		}
		c.cancelDial()
	}
	b.mu.Unlock()
	b.goroutines.Wait()
}

// ConnectionCounts returns the number of connections and how many of them are idle.
func (b *Back) ConnectionCounts() (open, idle int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.spares.Open()
}

// Tally returns the current counts.
func (b *Back) Tally() Tally {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.tally
	t.Spares, t.Copies = b.spares.Tally, b.copies.Tally
	return t
}
