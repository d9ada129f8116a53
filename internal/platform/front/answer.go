package front

import (
	"strconv"

	"appleplank/internal/platform/core"
	"appleplank/logic"
	"appleplank/replay"
	"appleplank/seats"

	"go.uber.org/zap"
)

var (
	healthyAnswer   = []byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	unhealthyAnswer = []byte("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
)

func appendHead(b []byte, a core.Answer, closeAfter bool) []byte {
	switch {
	case a.Verdict == core.Served:
		b = append(b, "HTTP/1.1 200 OK\r\n"...)
	case a.Verdict == core.Failed:
		b = append(b, "HTTP/1.1 504 Gateway Timeout\r\n"...)
	case a.Limited:
		b = append(b, "HTTP/1.1 429 Too Many Requests\r\n"...)
	default:
		b = append(b, "HTTP/1.1 503 Service Unavailable\r\n"...)
	}
	if a.Verdict == core.Refused && a.CoolDown > 0 {
		b = append(b, "Retry-After: "...)
		b = strconv.AppendFloat(b, float64(a.CoolDown)/1e6, 'f', 3, 64)
		b = append(b, "\r\n"...)
	}
	if closeAfter {
		b = append(b, "Connection: close\r\n"...)
	}
	b = append(b, "Content-Length: "...)
	b = strconv.AppendInt(b, int64(len(a.Body)), 10)
	return append(b, "\r\n\r\n"...)
}

func appendError(b []byte, r *rejectError) []byte {
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(r.status), 10)
	b = append(b, " Rejected\r\nContent-Type: text/plain\r\nConnection: close\r\nContent-Length: "...)
	b = strconv.AppendInt(b, int64(len(r.reason)), 10)
	b = append(b, "\r\n\r\n"...)
	return append(b, r.reason...)
}

// Answer implements [core.Front].
func (c *client) Answer(now logic.Micros, r *core.Request, a core.Answer) {
	f := c.front
	f.mu.Lock()
	defer f.mu.Unlock()
	c.held = false
	c.request = core.Request{} // an idle connection keeps nothing of it
	delete(f.openIDs, c.idHash)
	if a.Sent {
		f.replays.Add(now, c.idHash, c.ending())
	}
	f.seats.FreeBody(c.seat)
	if a.Verdict == core.Refused {
		f.seats.Refused(now, c.seat, c.targetHash)
	}
	if !c.seat.Released() && !c.reserveAnswer(now, len(a.Body)) {
		f.tally.NoMemory++
		f.log.Warn("an answer was replaced for want of memory", zap.ByteString("request", c.requestID), zap.Int("bytes", len(a.Body)))
		a = core.Answer{Verdict: core.Failed}
	}
	closeAfter := c.closeAfterAnswer || c.conn.HasUnread() || f.shutdown.Last(now) || f.seats.ClosesAfterAnswer(c.seat)
	unsent, err := c.writeAnswer(a, closeAfter)
	if err == nil && len(unsent) > 0 && len(a.Body) <= seats.SmallAnswer && !f.seats.ReserveRest(c.seat, len(unsent)) {
		c.cutAnswer("there was no memory for what its client's system does not take")
		return
	}
	if err == nil && len(unsent) > 0 {
		f.seats.KeepAnswer(c.seat, len(unsent))
		f.seats.SetState(now, c.seat, seats.Sending)
		c.flushing = true
		f.goroutines.Go(func() { c.flushAnswer(unsent, closeAfter) })
		return
	}
	f.seats.KeepAnswer(c.seat, 0)
	c.disconnected = c.disconnected || err != nil
	c.answerSent(now, closeAfter)
}

// ending returns how the request that is being answered ends for its client. The caller holds the lock.
func (c *client) ending() replay.Ending {
	if c.disconnected || c.seat.Released() {
		return replay.Abandoned
	}
	return replay.Answered
}

// reserveAnswer reserves memory for an answer and reports whether there is enough. Answers that are left unread are cut
// off to make room. The caller holds the lock.
func (c *client) reserveAnswer(now logic.Micros, bytes int) bool {
	if bytes > seats.SmallAnswer {
		c.notePeerRoom()
	}
	evicted, ok := c.front.seats.ReserveAnswer(now, c.seat, bytes)
	for _, s := range evicted {
		s.Owner.(*client).cutAnswer("it was left unread and its memory was needed")
	}
	return ok
}

// notePeerRoom notes what the client's system takes while the client reads nothing, and the own system for it. The caller
// holds the lock.
func (c *client) notePeerRoom() { c.front.seats.SetPeerRoom(c.seat, c.conn.PeerRoom()+sendBufferSize) }

// writeAnswer writes what the socket takes at once and returns the rest. The caller holds the lock.
func (c *client) writeAnswer(a core.Answer, closeAfter bool) (unsent []byte, err error) {
	out := appendHead(c.front.outBuf[:0], a, closeAfter)
	if !a.BodyStable {
		out = append(out, a.Body...)
	}
	c.front.outBuf = out
	n, err := c.conn.TryWrite(out)
	switch {
	case err != nil:
	case n < len(out):
		unsent = append(unsent, out[n:]...)
		if a.BodyStable {
			unsent = append(unsent, a.Body...)
		}
	case a.BodyStable:
		n, err = c.conn.TryWrite(a.Body)
		unsent = append(unsent, a.Body[n:]...) // not the whole answer, of which a part is written
	}
	return unsent, err
}

// answerSent closes the connection or prepares it for the next request after an answer was written. The caller holds
// the lock.
func (c *client) answerSent(now logic.Micros, closeAfter bool) {
	switch {
	case c.disconnected:
		c.front.seats.Release(c.seat)
		c.conn.Shutdown()
	case closeAfter:
		c.linger(now)
	default:
		c.front.seats.SetState(now, c.seat, seats.Idle)
	}
}

// flushSize is the number of bytes of an answer after which its progress is noted.
const flushSize = 8 << 10

// flushAnswer writes the part of an answer that the socket did not take at once.
func (c *client) flushAnswer(unsent []byte, closeAfter bool) {
	f := c.front
	var err error
	for len(unsent) > 0 && err == nil { // package seats ends the connection if this takes too long
		n := min(len(unsent), flushSize)
		_, err = c.conn.Write(unsent[:n])
		unsent = unsent[n:]
		f.mu.Lock()
		f.seats.Progress(f.handler.Now(), c.seat)
		f.mu.Unlock()
	}
	f.mu.Lock()
	f.seats.KeepAnswer(c.seat, 0)
	c.disconnected = c.disconnected || err != nil
	c.answerSent(f.handler.Now(), closeAfter)
	c.flushing = false
	f.mu.Unlock()
	f.arrivals.flushed(c)
	f.handler.Process()
}

// answerHealth answers a health check: whether the front is ready for requests. It reports false when the connection
// has ended.
func (c *client) answerHealth(now logic.Micros) bool {
	f := c.front
	f.mu.Lock()
	defer f.mu.Unlock()
	answer := healthyAnswer
	if !f.ready.Load() || f.shutdown.Last(now) {
		answer = unhealthyAnswer
	}
	n, err := c.conn.TryWrite(answer)
	c.disconnected = err != nil || n < len(answer)
	if c.disconnected {
		f.seats.Release(c.seat)
		c.conn.Shutdown()
		return false
	}
	f.seats.HealthAnswered(now, c.seat)
	return true
}

// cutAnswer ends a connection whose answer is not sent completely. The caller holds the lock.
func (c *client) cutAnswer(reason string) {
	c.front.tally.Cut++
	c.front.log.Warn("an answer was cut off", zap.ByteString("request", c.requestID), zap.String("reason", reason),
		zap.Duration("sending for", micros(c.front.handler.Now()-c.seat.Since())))
	c.front.seats.Release(c.seat)
	c.conn.Shutdown()
}

// evict ends a connection that has lost its seat. The caller holds the front's lock.
func (c *client) evict() {
	c.front.log.Debug("a connection gave up its seat", zap.Uint8("state", uint8(c.seat.State())), zap.Stringer("client", c.conn.RemoteAddr()))
	switch {
	case c.flushing:
		c.cutAnswer("its connection was needed")
		return
	case c.seat.Reading():
		c.conn.TryWrite(appendError(nil, errNoSeat))
	}
	c.conn.Shutdown()
}
