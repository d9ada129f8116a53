package front

import (
	"time"

	"appleplank/leave"
	"appleplank/seats"

	"go.uber.org/zap"
)

// lastBufferSize is the size of the kernel's buffer, per client, for an answer that is not read before the process ends. It
// holds the longest answer.
const lastBufferSize = 128 << 10

// Drain begins the shutdown. The front goes on serving until [Front.Drained] reports true.
func (f *Front) Drain() {
	f.mu.Lock()
	f.shutdown.Start(f.handler.Now())
	f.seats.BeginShutdown()
	connections, busy, deadline := f.seats.Taken(), f.seats.Busy(), f.shutdown.Deadline()
	f.mu.Unlock()
	f.handler.End(deadline)
	f.reportCapacity()
	f.log.Info("told to end", zap.Int("connections", connections), zap.Int("busy", busy))
}

// Drained reports whether the front may be closed after Drain. Once it has reported true, no further requests are
// accepted.
func (f *Front) Drained() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.handler.Now()
	if now >= f.shutdown.Deadline() {
		f.handOverAnswers()
	}
	f.closing = f.closing || f.shutdown.Done(now, f.seats.Taken(), f.seats.Held(), f.seats.Reading())
	return f.closing
}

// Close closes the listener and all connections; all requests must have been answered. Before it closes them it waits
// for the time that package leave sets, so that clients can read their last answers, and a client whose request crossed
// the close of its connection is refused with a 503 when it sends the request again. Closing a connection with unread
// input at once would reset it, which would lose both.
func (f *Front) Close() {
	now := f.handler.Now()
	f.mu.Lock()
	f.closing = true
	f.sweepTimer.Stop()
	for _, s := range f.seats.All() {
		c := s.Owner.(*client)
		c.refuseAtTheEnd()
		if s.Reading() || s.State() == seats.Idle || s.State() == seats.Checked {
			c.linger(now)
		}
	}
	f.handOverAnswers()
	remaining := f.seats.Taken()
	f.mu.Unlock()
	if remaining > 0 {
		time.Sleep(time.Duration(leave.LingerTime) * time.Microsecond)
	}
	f.arrivals.acceptWaiting()
	f.listener.Close()
	f.mu.Lock()
	f.closed = true
	for _, s := range f.seats.All() {
		c := s.Owner.(*client)
		c.refuseAtTheEnd() // what has begun since
		f.seats.Release(s)
		c.conn.Shutdown()
	}
	f.mu.Unlock()
	f.arrivals.liftThrottle()
	f.goroutines.Wait()
	f.arrivals.close()
}

// refuseAtTheEnd refuses a request that is being read or lies unread on the connection. The caller holds the lock.
func (c *client) refuseAtTheEnd() {
	switch state := c.seat.State(); {
	case c.seat.Reading():
	case (state == seats.Silent || state == seats.Idle || state == seats.Checked) && c.conn.HasUnread():
	default:
		return
	}
	c.conn.TryWrite(appendError(nil, errEnding))
}

// handOverAnswers lets the system take the answers that are being sent. It delivers them also after the process has ended.
// The caller holds the lock.
func (f *Front) handOverAnswers() {
	for _, s := range f.seats.All() {
		if s.State() == seats.Sending {
			s.Owner.(*client).conn.SetWriteBuffer(lastBufferSize)
		}
	}
}
