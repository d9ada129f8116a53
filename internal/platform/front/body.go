package front

import (
	"appleplank/internal/http1"
	"appleplank/internal/platform/core"
	"appleplank/logic"
	"appleplank/seats"

	"go.uber.org/zap"
)

// A body for which there is no memory is left unread until there is, or until all of it has arrived; this is looked for
// after minBodyWait first, then after twice the time again and again, up to maxBodyWait.
const minBodyWait, maxBodyWait logic.Micros = 5_000, 40_000

// reserveBody waits for memory for a buffer of the given size, for a message of which some bytes are missing, and reports
// whether there is enough.
func (c *client) reserveBody(size, missing int) bool {
	a := c.front.arrivals
	evicted := false
	for wait := minBodyWait; ; wait = min(2*wait, maxBodyWait) {
		arrived := c.hasArrived(missing)
		grant := c.tryReserveBody(size, arrived)
		if grant == seats.Granted {
			return true
		}
		if grant == seats.Pending && !evicted {
			evicted = true
			c.turns.await(untilMemory)
			continue
		}
		if grant == seats.Refused && arrived || c.closing() {
			return false
		}
		a.hold(c, a.throttle.now()+wait)
		c.turns.await(untilQuota)
		evicted = false
	}
}

// hasArrived reports whether the missing bytes of a message are there.
func (c *client) hasArrived(missing int) bool {
	if missing == http1.UnknownLength {
		return false
	}
	unread, err := c.conn.UnreadBytes()
	return err != nil || unread >= missing
}

// closing reports whether the connection is being closed.
func (c *client) closing() bool {
	c.front.mu.Lock()
	defer c.front.mu.Unlock()
	return c.seat.Closing()
}

// tryReserveBody reserves memory for a buffer. Requests that come slowly are refused to make room.
func (c *client) tryReserveBody(size int, arrived bool) seats.Grant {
	f := c.front
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.handler.Now()
	evicted, grant := f.seats.ReserveBody(now, c.seat, size, arrived, hasUnread)
	for _, s := range evicted {
		slow := s.Owner.(*client)
		f.log.Debug("a request was refused for its memory", zap.Stringer("client", slow.conn.RemoteAddr()))
		slow.conn.TryWrite(appendError(nil, errSlowBody))
		slow.linger(now)
		f.arrivals.interrupt(slow)
	}
	return grant
}

// errSlowBody rejects a request whose memory another one needs.
var errSlowBody = &rejectError{503, "the request comes slowly, and its memory is needed"}

// hasUnread reports whether data of a connection has arrived and was not read.
func hasUnread(s *seats.Seat) bool { return s.Owner.(*client).conn.HasUnread() }

// longBufferSize returns the size of a reader's buffer that is reserved; one of http1.InitialBuffer bytes is not.
func longBufferSize(r *http1.Reader) int {
	if size := r.BufferSize(); size > http1.InitialBuffer {
		return size
	}
	return 0
}

// dropMessage drops what was read and returns its memory. While the handler has the request, the memory is returned with its
// answer.
func (c *client) dropMessage() {
	c.reader.Drop()
	c.message = http1.Message{}
	f := c.front
	f.mu.Lock()
	defer f.mu.Unlock()
	if !c.held {
		c.request = core.Request{}
		f.seats.FreeBody(c.seat)
	}
}
