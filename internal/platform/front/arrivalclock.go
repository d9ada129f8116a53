package front

import (
	"time"

	"appleplank/logic"
)

// clockTolerance is how far the wall clock may deviate from the monotonic clock between two rounds, and arrival times from
// the rounds, without being taken for a clock that was set.
const clockTolerance = 5 * time.Millisecond

// arrivalClock tells how long ago data arrived. Arrival times are on the wall clock, which may be set at any time. They are
// used only where it was not set since the data can have arrived, which is since the previous round, or since the round
// before the connection was left unread.
type arrivalClock struct{ lastRound time.Time }

// update notes that all that had arrived by the given time was read, but for connections that are left unread.
func (k *arrivalClock) update(polled time.Time) { k.lastRound = polled }

// waited returns how long ago data arrived that was read in the current round, from a connection that may have had unread
// data since the given time; zero: since the previous round. It returns false if that is unknown.
func (k *arrivalClock) waited(now, arrived, unreadSince time.Time) (logic.Micros, bool) {
	if arrived.IsZero() {
		return 0, false
	}
	since := k.lastRound
	if !unreadSince.IsZero() {
		since = unreadSince
	}
	wallNow := now.Round(0)
	waited := wallNow.Sub(arrived)
	if !plausible(waited, now.Sub(since), wallNow.Sub(since.Round(0))) {
		return 0, false
	}
	return logic.Micros(max(waited, 0).Microseconds()), true
}

// plausible reports whether data can have waited for the given time on the wall clock, given the time since it can have
// arrived on the monotonic clock and on the wall clock.
func plausible(waited, elapsed, wallElapsed time.Duration) bool {
	wasSet := (wallElapsed - elapsed).Abs() > clockTolerance
	return !wasSet && waited >= -clockTolerance && waited <= elapsed+clockTolerance
}
