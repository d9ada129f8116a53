package members

import "appleplank/logic"

const (
	// clocksAgree is how far clocks of two machines may be apart and still count as one.
	clocksAgree = 500 * ms
	// startToldWithin is how late discovery may tell of a start, outages included. News of an older one, while the list
	// is followed, says that this machine's clock is ahead. Harm: after a longer outage a target that came up in it
	// counts as cold for longer than it is.
	startToldWithin = 60 * sec
	// clocksMostApart is from when on a start is taken for a mistake of who told it.
	clocksMostApart = 24 * 3600 * sec
)

// startClock relates the clock by which starts are told to this machine's, which may have been set wrong before the
// process began. A start is never in the future, and one that is told while the list is followed was a moment ago.
type startClock struct {
	ahead logic.Micros // of this machine's clock
}

// own gives a start that was told by this machine's clock; 0, long ago, stays so.
func (c *startClock) own(told logic.Micros) logic.Micros {
	if told <= 0 {
		return 0
	}
	return max(told+c.ahead, 1)
}

// learn takes the youngest start that is known; followed: some start was told now, by a list that has been followed since
// before it. It tells whether the clocks count as otherwise apart than before.
func (c *startClock) learn(now, told logic.Micros, followed bool) bool {
	if told <= 0 {
		return false
	}
	age := now - (told + c.ahead)
	if age >= -clocksAgree && (!followed || age <= startToldWithin) {
		return false
	}
	if ahead := now - told; ahead >= -clocksMostApart && ahead <= clocksMostApart {
		c.ahead = ahead
		return true
	}
	return false
}
