package front

import (
	"time"

	"appleplank/logic"
)

// throttle holds connections that are left unread for some time: those that have used up their quota, and those that wait
// for memory. It is guarded by the lock of [arrivals].
type throttle struct {
	epoch time.Time // from which the quotas count
	held  []*client // in the order in which they were held
	due   []*client // reused by resumeThrottled
	timer *time.Timer

	firstDue logic.Micros // for which the timer is set
	lifted   bool         // connections are read whatever they have used, because all of them are being closed
}

// init prepares the throttle. It calls wake when a connection may be read again.
func (t *throttle) init(wake func()) {
	t.epoch = time.Now()
	t.timer = time.AfterFunc(time.Hour, wake)
	t.timer.Stop()
}

// now returns the time by which quotas count.
func (t *throttle) now() logic.Micros { return logic.Micros(time.Since(t.epoch).Microseconds()) }

// setTimer sets the timer for the connection that may be read first.
func (t *throttle) setTimer() {
	if len(t.held) == 0 {
		return
	}
	t.firstDue = t.held[0].turns.blockedUntil
	for _, c := range t.held[1:] {
		t.firstDue = min(t.firstDue, c.turns.blockedUntil)
	}
	t.timer.Reset(micros(max(t.firstDue-t.now(), 0)))
}

// awaitQuota waits until the connection's quota allows more work.
func (c *client) awaitQuota() {
	a := c.front.arrivals
	for !a.throttle.lifted && !c.turns.interrupted {
		until := c.turns.quota.BlockedUntil(a.throttle.now())
		if until == 0 {
			return
		}
		a.front.throttled.Add(1)
		a.hold(c, until)
		c.turns.await(untilQuota)
	}
}

// hold leaves a connection unread until the given time. Its coroutine then waits with [untilQuota].
func (a *arrivals) hold(c *client, until logic.Micros) {
	c.turns.blockedUntil = until
	if c.turns.unreadSince.IsZero() {
		c.turns.unreadSince = a.clock.lastRound
	}
	a.poller.Mute(c.conn, c.turns.token)
	a.throttle.held = append(a.throttle.held, c)
	if len(a.throttle.held) == 1 || until < a.throttle.firstDue {
		a.throttle.setTimer()
	}
}

// liftThrottle goes on with all connections that are left unread, and holds none from now on. All of them have been shut
// down.
func (a *arrivals) liftThrottle() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.throttle.lifted = true
	for _, c := range a.throttle.held {
		c.turns.blockedUntil = 0
	}
	a.resumeThrottled(roundLimit{})
}

// resumeThrottled goes on with the connections whose time is over, until the limit is reached.
func (a *arrivals) resumeThrottled(limit roundLimit) {
	t := &a.throttle
	if len(t.held) == 0 {
		return
	}
	now, held := t.now(), t.held
	t.held, t.due = t.due[:0], t.due[:0:0]
	for _, c := range held {
		if c.turns.blockedUntil > now || limit.reached() {
			t.held = append(t.held, c)
			continue
		}
		if a.clients[c.turns.token] != c || c.turns.waitsFor != untilQuota {
			continue // it was interrupted meanwhile
		}
		a.poller.Unmute(c.conn, c.turns.token)
		a.resume(c)
	}
	clear(held)
	t.due = held[:0]
	t.setTimer()
}
