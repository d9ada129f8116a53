package front

import (
	"iter"
	"time"

	"appleplank/logic"
	"appleplank/quota"
)

// turnReason is what the coroutine of a connection waits for.
type turnReason uint8

const (
	untilData    turnReason = iota // until data has arrived
	untilInOrder                   // until all requests that arrived earlier were passed on
	untilFlushed                   // until its answer was written
	untilQuota                     // until its quota allows it to be read
	untilMemory                    // until the connections that were interrupted have returned their memory
)

// turns controls when the coroutine of a connection runs. It is guarded by the lock of [arrivals].
type turns struct {
	token    int32
	next     func() (turnReason, bool)
	yield    func(turnReason) bool
	waitsFor turnReason
	readable bool // data may be unread
	ended    bool // the end of the stream may be unread
	// interrupted tells that the connection is being closed, so that it waits for no quota before it drops what it has read.
	interrupted bool
	quota       quota.Reading
	arrived     time.Time    // of the data read last, on the kernel's wall clock; zero: unknown
	waited      logic.Micros // how long ago the last byte of the current request arrived

	round        uint64       // in which it was resumed last for data
	wakeups      int          // in that round
	blockedUntil logic.Micros // while it is left unread
	unreadSince  time.Time    // the round before it was first left unread during the current request; zero: it was not
}

// start makes serve a coroutine. It runs when it is resumed.
func (t *turns) start(serve func()) {
	t.next, _ = iter.Pull(func(yield func(turnReason) bool) {
		t.yield = yield
		serve()
	})
}

// await suspends the coroutine until what it waits for has happened. It may return early, except for untilInOrder.
func (t *turns) await(reason turnReason) {
	t.waitsFor = reason
	t.yield(reason)
}

// mayWake reports whether the connection may be resumed for data in a round, and counts that it is.
func (t *turns) mayWake(round uint64) bool {
	if t.round != round {
		t.round, t.wakeups = round, 0
	}
	t.wakeups++
	return t.wakeups <= maxWakeups
}
