package front

import (
	"time"

	"golang.org/x/sys/unix"
)

// maxRoundWork is how much processor time the process may use before a round reads no further. Time for which the process
// stands still does not count: what arrives meanwhile is read in one round.
const maxRoundWork = 20 * time.Millisecond

// roundLimit tells when a round has taken its processor time. The zero value sets no limit.
type roundLimit struct {
	used func() time.Duration // processor time that the process has used
	end  time.Duration
}

// newRoundLimit returns the limit of a round that begins now.
func (a *arrivals) newRoundLimit() roundLimit {
	return roundLimit{a.processorTime, a.processorTime() + maxRoundWork}
}

// reached reports whether the processor time is used up.
func (l roundLimit) reached() bool { return l.used != nil && l.used() >= l.end }

// processorTime returns how much processor time the process has used; 0 if the system does not tell.
func processorTime() time.Duration {
	var used unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_PROCESS_CPUTIME_ID, &used); err != nil {
		return 0
	}
	return time.Duration(used.Nano())
}
