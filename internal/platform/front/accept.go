package front

import (
	"errors"
	"net"
	"os"
	"slices"
	"time"

	"appleplank/internal/sock"
	"appleplank/quota"

	"go.uber.org/zap"
)

const (
	// acceptTimeout bounds the wait for a connection that broke after the poller had reported it.
	acceptTimeout = 5 * time.Millisecond
	// acceptRetryDelay is the pause after a failed accept, for example for lack of file descriptors.
	acceptRetryDelay = 10 * time.Millisecond
)

// accept accepts a connection, if the quota of the listener allows it.
func (a *arrivals) accept() {
	f := a.front
	if until := a.accepting.BlockedUntil(a.throttle.now()); until > 0 {
		a.pauseAccepting(micros(until - a.throttle.now()))
		return
	}
	f.listener.SetDeadline(time.Now().Add(acceptTimeout))
	raw, err := f.listener.Accept()
	switch {
	case err == nil:
		a.add(raw.(*net.TCPConn))
	case errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded):
	default: // out of file descriptors, or the connection broke before it was accepted
		f.log.Warn("accept failed", zap.Error(err))
		a.pauseAccepting(acceptRetryDelay)
	}
}

// pauseAccepting leaves new connections waiting for some time.
func (a *arrivals) pauseAccepting(delay time.Duration) {
	a.poller.PauseListener(a.rawListener, listenerToken)
	time.AfterFunc(delay, a.resumeAccepting)
}

// resumeAccepting goes on accepting.
func (a *arrivals) resumeAccepting() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.poller.ResumeListener(a.rawListener, listenerToken)
}

// add gives a new connection a seat and starts its coroutine.
func (a *arrivals) add(raw *net.TCPConn) {
	f := a.front
	conn, err := sock.New(raw)
	if err != nil {
		raw.Close()
		return
	}
	unread, err := conn.Pending()
	if err != nil || a.skips(conn.PeerState()) {
		f.skipped.Add(1)
		a.accepting.AcceptedEnded()
		conn.Close()
		return
	}
	a.accepting.Accepted()
	raw.SetWriteBuffer(sendBufferSize)
	c := &client{front: f, conn: conn}
	if !f.takeSeat(c) {
		conn.TryWrite(appendError(nil, errNoSeat))
		conn.Close()
		return
	}
	a.lastToken++
	c.turns.token = a.lastToken
	c.turns.readable = unread // what has arrived already is read before another connection needs the seat
	a.clients[c.turns.token] = c
	c.turns.start(c.serve)
	if err := a.poller.Add(conn, c.turns.token); err != nil {
		f.log.Warn("a connection cannot be watched", zap.Error(err))
		conn.Shutdown()
		c.turns.readable, c.turns.ended = true, true
	}
	a.resume(c)
}

// skips reports whether a new connection is closed although it may have carried a request: its client has left. One that has
// only stopped sending is served unless there are many new connections.
func (a *arrivals) skips(state sock.PeerState) bool {
	return state == sock.PeerAborted || state == sock.PeerEnded && a.accepting.Short()
}

// takeSeat seats a new connection, in place of another one if necessary. It returns false if the connection is rejected.
func (f *Front) takeSeat(c *client) bool {
	now := f.handler.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	seat, evicted := f.seats.Accept(now, c)
	if evicted != nil {
		evicted.Owner.(*client).evict()
		f.arrivals.interrupt(evicted.Owner.(*client))
	}
	if c.seat = seat; seat == nil {
		return false
	}
	if f.closed {
		f.seats.Release(seat)
		return false
	}
	f.goroutines.Add(1)
	return true
}

// maxFinalRounds is the number of rounds in which connections are accepted before the listener is closed.
const maxFinalRounds = 4

// acceptWaiting accepts and reads the connections that wait, whatever the quota of the listener says: the listener is
// about to be closed, which would end them with no answer. A round accepts a part of them.
func (a *arrivals) acceptWaiting() {
	const unlimited = 1e9
	a.mu.Lock()
	defer a.mu.Unlock()
	a.accepting = quota.NewAccepting(unlimited, unlimited)
	a.poller.ResumeListener(a.rawListener, listenerToken)
	for range maxFinalRounds {
		events := a.poller.Poll()
		waiting := slices.ContainsFunc(events, func(e sock.Event) bool { return e.Token == listenerToken })
		a.runRound(events, roundLimit{})
		if !waiting {
			return
		}
	}
}
