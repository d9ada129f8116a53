package front

import (
	"errors"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"appleplank/internal/sock"
	"appleplank/logic"
	"appleplank/quota"

	"go.uber.org/zap"
)

const (
	listenerToken int32 = 0 // tokens of connections are above it

	// A round polls at most maxPolls times, and each time accepts one connection and reads those that are
	// ready, at most maxEvents of the poller. What a connection may have read is bounded by its quota.
	maxPolls = 128
	// In one round a connection is resumed at most maxWakeups times because data has arrived. It is then left unread, for
	// restFactor times as long as the round before took, so that a round lasts no longer for how often they send, and that
	// reading them takes a part of the processor only.
	maxWakeups, restFactor = 2, 4
	minRest, maxRest       = time.Millisecond, 100 * time.Millisecond
)

// arrivals reads the connections of a front in rounds, so that requests are passed on in the order of their arrival
// however late they are read. A round accepts and reads all that has arrived; only then are the requests that have become
// complete passed on, ordered by the arrival of their last byte.
//
// Each connection is served by a coroutine, which runs only while a round resumes it.
type arrivals struct {
	front       *Front
	poller      *sock.Poller
	rawListener syscall.RawConn

	mu        sync.Mutex // held during a round; acquired before the front's lock, never during a call of the handler's Process
	clients   map[int32]*client
	lastToken int32
	round     uint64        // number of the current round
	lastTook  time.Duration // how long the round before took
	complete  []*client     // their requests are complete and not passed on yet
	passing   []*client     // their requests are being passed on
	clock     arrivalClock
	throttle  throttle
	// interrupted holds the connections that are being closed while they wait for the rest of a request.
	interrupted []*client
	discarded   [4 << 10]byte // what is read to be discarded
	accepting   *quota.Accepting

	processorTime func() time.Duration // that the process has used

	stamps *sock.StampReader // guarded by the front's lock
}

func newArrivals(f *Front, accepting *quota.Accepting) (*arrivals, error) {
	a := &arrivals{front: f, clients: map[int32]*client{}, stamps: sock.NewStampReader(), accepting: accepting, processorTime: processorTime}
	a.throttle.init(func() { f.ReadArrived(); f.handler.Process() })
	a.clock.update(time.Now())
	raw, err := f.listener.SyscallConn()
	if err != nil {
		return nil, err
	}
	a.rawListener = raw
	if err := sock.StampArrivals(raw); err != nil {
		f.log.Warn("the arrival times of requests are unknown", zap.Error(err))
	}
	if a.poller, err = sock.NewPoller(&a.mu); err != nil {
		return nil, err
	}
	if err := a.poller.AddListener(raw, listenerToken); err != nil {
		a.poller.Close()
		return nil, err
	}
	return a, nil
}

func (a *arrivals) close() {
	a.throttle.timer.Stop()
	a.poller.Close()
}

// Serve accepts and reads connections until the front is closed.
func (f *Front) Serve() error {
	for {
		events, err := f.arrivals.poller.Wait()
		if errors.Is(err, os.ErrClosed) {
			return nil
		}
		if err != nil {
			return err
		}
		f.arrivals.runRound(events, f.arrivals.newRoundLimit())
		f.arrivals.mu.Unlock()
		f.handler.Process()
	}
}

// ReadArrived reads what has arrived, in the time of a round, and queues it at the handler, which the caller lets process it.
// It reports whether that was all.
func (f *Front) ReadArrived() (all bool) {
	a := f.arrivals
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.runRound(a.poller.Poll(), a.newRoundLimit())
}

// flushed goes on with a connection whose answer was written.
func (a *arrivals) flushed(c *client) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if c.turns.waitsFor == untilFlushed {
		a.resume(c)
	}
	a.runRound(a.poller.Poll(), a.newRoundLimit())
}

// runRound reads what the events report and what arrives meanwhile, until the limit is reached, and passes the complete
// requests on. It reports whether all that has arrived was read. The lock is held.
func (a *arrivals) runRound(events []sock.Event, limit roundLimit) (all bool) {
	polled := a.clock.lastRound // all that had arrived by then is read in this round
	begun := time.Now()
	a.round++
	a.resumeThrottled(limit)
	for range maxPolls {
		if len(events) == 0 || limit.reached() {
			break
		}
		a.handleEvents(events)
		polled = time.Now()
		events = a.poller.Poll()
	}
	all = len(events) == 0 && !limit.reached()
	a.handleEvents(events)
	now := time.Now()
	for len(a.complete) > 0 {
		a.passOn(now)
	}
	a.clock.update(polled)
	a.lastTook = time.Since(begun)
	a.front.noteRound(a.lastTook)
	return all
}

// longRound is the duration above which a round is logged.
const longRound = 100 * time.Millisecond

// noteRound records how long a round took.
func (f *Front) noteRound(took time.Duration) {
	if took >= longRound {
		f.log.Warn("reading the connections took long", zap.Duration("took", took))
	}
	f.mu.Lock()
	f.tally.LongestRound = max(f.tally.LongestRound, took)
	f.mu.Unlock()
}

// handleEvents reads the connections that have data, and then accepts a new one if there is any: which connection has to
// make room for it depends on what was read.
func (a *arrivals) handleEvents(events []sock.Event) {
	acceptable := false
	for _, e := range events {
		if e.Token == listenerToken {
			acceptable = true
		} else if c := a.clients[e.Token]; c != nil {
			a.notify(c, e)
		}
	}
	if acceptable {
		a.accept()
	}
}

// notify tells a connection that data or its end has arrived.
func (a *arrivals) notify(c *client, e sock.Event) {
	c.turns.readable = true
	c.turns.ended = c.turns.ended || e.Ended
	switch {
	case c.turns.waitsFor == untilData && (e.Ended || a.throttle.lifted || c.turns.mayWake(a.round)):
		a.resume(c)
	case c.turns.waitsFor == untilData:
		c.turns.waitsFor = untilQuota
		a.hold(c, a.throttle.now()+a.rest(c))
	}
}

// rest returns how long a connection is left unread that has been resumed often enough in the current round.
func (a *arrivals) rest(c *client) logic.Micros {
	rest := minRest
	if !c.turns.quota.AwaitsAnswer() {
		rest = min(max(restFactor*a.lastTook, minRest), maxRest)
	}
	return logic.Micros(rest.Microseconds())
}

// interrupt makes the coroutine of a connection that is being closed run as soon as the present one waits.
func (a *arrivals) interrupt(c *client) {
	c.turns.interrupted = true
	a.interrupted = append(a.interrupted, c)
}

// resumeInterrupted lets the connections that are being closed drop what they have read of a request.
func (a *arrivals) resumeInterrupted() {
	for len(a.interrupted) > 0 {
		c := a.interrupted[0]
		a.interrupted = a.interrupted[1:]
		if a.clients[c.turns.token] != c {
			continue
		}
		switch c.turns.waitsFor {
		case untilData:
			a.step(c)
		case untilQuota:
			a.poller.Unmute(c.conn, c.turns.token)
			a.step(c)
		}
	}
	a.interrupted = nil
}

// resume runs the coroutine of a connection until it waits again, and those of the connections that it interrupts.
func (a *arrivals) resume(c *client) {
	a.step(c)
	a.resumeInterrupted()
	for c.turns.waitsFor == untilMemory {
		a.step(c)
		a.resumeInterrupted()
	}
}

// step runs the coroutine of a connection until it waits again.
func (a *arrivals) step(c *client) {
	c.turns.waitsFor = untilData
	if _, waits := c.turns.next(); !waits {
		delete(a.clients, c.turns.token)
		a.front.goroutines.Done()
		return
	}
	if c.turns.waitsFor == untilInOrder {
		a.complete = append(a.complete, c)
	}
}

// passOn passes the requests that have become complete on, in the order in which they arrived.
func (a *arrivals) passOn(now time.Time) {
	a.passing, a.complete = a.complete, a.passing[:0]
	allKnown := true
	for _, c := range a.passing {
		known := false
		c.turns.waited, known = a.clock.waited(now, c.turns.arrived, c.turns.unreadSince)
		c.turns.unreadSince = time.Time{}
		allKnown = allKnown && known
	}
	if allKnown { // otherwise in the order in which the connections became ready
		slices.SortStableFunc(a.passing, func(x, y *client) int { return x.turns.arrived.Compare(y.turns.arrived) })
	}
	for _, c := range a.passing {
		a.resume(c)
	}
	clear(a.passing)
}
