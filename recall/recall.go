// Package recall decides how much of a gateway's state from before a restart still counts. Package logic exports its
// state and imports it as plain data; this package ages it in between.
//
// It guards against two kinds of harm: a gateway that no longer knows which nodes were slow overloads them again, and
// one that trusts a clock or an old figure too much exceeds a limit or avoids a node that recovered long ago. In doubt
// it keeps what makes the gateway send less and drops what would make it send more.
//
// It has no clock, goroutine or I/O.
package recall

import (
	"fmt"
	"math"

	"appleplank/logic"
)

const (
	ms, sec logic.Micros = 1000, 1000 * 1000
	minute               = 60 * sec
	hour                 = 60 * minute

	// Each kind of figure ages at its own rate.
	failingHalfLife = 10 * sec    // a node that fails fast is detected within seconds, and so is its recovery
	vanishHalfLife  = 10 * sec    // the same holds for links that lose answers
	missingMaxAge   = 10 * sec    // consecutive timeouts indicate a hang only as long as it lasts
	downMaxAge      = 10 * sec    // so do refused connections; package links retries within two seconds
	balanceMaxAge   = 1 * sec     // credit of a queue that waited; a debt stays, it is repaid over time
	windowMaxAge    = 10 * minute // windows open by themselves while nothing is received; after this nothing of them is left
	latencyMaxAge   = 10 * minute // typical response time of a node
	unitMaxAge      = 1 * hour    // time per unit over all nodes; changes only with machines and software
	shareMaxAge     = 10 * minute // whose turn it is in the second pass

	// A clock that is more than maxClockJump ahead of the state was set, or the state is left over from an earlier
	// deployment.
	maxClockJump = 365 * 24 * hour
)

// Stamp is a moment by the clocks of a machine.
type Stamp struct {
	Boot  string       // id of the machine's boot; empty: unknown
	Since logic.Micros // time since that boot, including suspends
	Wall  logic.Micros // time since 1970
}

// Trust is how reliably an age is known.
type Trust uint8

const (
	Exact       Trust = iota // by the clock of one boot
	ByWallClock              // by a wall clock that may have been set
	Unknown                  // unknown
)

// Age returns the time from then to now and how reliably it is known. The complaint describes a fault of the clocks; it
// is "" if there is none.
func Age(then, now Stamp) (age logic.Micros, trust Trust, complaint string) {
	if then.Boot != "" && then.Boot == now.Boot {
		if age = now.Since - then.Since; age >= 0 {
			return age, Exact, ""
		}
		return 0, Unknown, "the boot clock went backward within one boot"
	}
	switch age = now.Wall - then.Wall; {
	case age < 0:
		return 0, Unknown, fmt.Sprintf("the clock was set back, or the saved state is from the future, by %.0f s", -float64(age)/1e6)
	case age > maxClockJump:
		return 0, Unknown, "the clock is more than a year ahead of the saved state"
	}
	return age, ByWallClock, ""
}

// LimitsUsable reports whether the stored state of limits may be used. The gateway must have shut down by itself, so
// that nothing was drawn after the state was written; the age must be exact, because the store refills by it; and the
// state must be marked as used, so that no other process uses it a second time.
func LimitsUsable(clean, marked bool, trust Trust) bool { return clean && marked && trust == Exact }

// Fade ages a memory. An unknown age counts as very long for figures that fade, and as zero for debts.
func Fade(m logic.Snapshot, age logic.Micros, trust Trust, limits bool) logic.Snapshot {
	fadeAge := age
	if trust == Unknown {
		age, fadeAge = 0, logic.Micros(math.MaxInt64/8)
	}
	shift := func(at *logic.Micros) {
		if *at < logic.Never/2 {
			*at += age
		}
	}
	fade := func(x *float64, halfLife logic.Micros) { *x *= math.Exp2(-float64(fadeAge) / float64(halfLife)) }
	shift(&m.WaitsAge)
	fade(&m.Vanish, vanishHalfLife)
	if fadeAge > unitMaxAge {
		m.Unit = 0
	}
	m.Taken, m.Extra = addAge(m.Taken, age), addAge(m.Extra, age)
	if fadeAge > shareMaxAge {
		m.Spare = 0
	}
	nodes := m.Nodes
	m.Nodes = make([]logic.NodeSnapshot, len(nodes))
	for i, n := range nodes {
		// A node's start and what it was sent while cold continue to count, whichever gateway observes it.
		for _, at := range []*logic.Micros{&n.Node.Started, &n.Halved[0], &n.Halved[1], &n.Rest, &n.Last, &n.Sent, &n.WaitAge, &n.DownAge, &n.Revived} {
			shift(at)
		}
		n.SentLog, n.Served = addPastAge(n.SentLog, age), addPastAge(n.Served, age)
		fade(&n.Failing, failingHalfLife)
		if fadeAge > missingMaxAge {
			n.Missing = 0
		}
		if fadeAge > downMaxAge {
			n.Down = 0
		}
		if fadeAge > latencyMaxAge {
			n.Latency = 0
		}
		if fadeAge > windowMaxAge {
			n.Window, n.Wait, n.WaitAge, n.Rest = [2]float64{}, 0, logic.Never, logic.Never
		}
		m.Nodes[i] = n
	}
	volumes := m.Volumes
	m.Volumes = make([]logic.VolumeSnapshot, len(volumes))
	for i, v := range volumes {
		for _, at := range []*logic.Micros{&v.Credited, &v.Last, &v.Stored, &v.Own.Age, &v.Others.Age, &v.TotalAge} {
			shift(at)
		}
		if fadeAge > balanceMaxAge {
			v.Balance = min(v.Balance, 0)
		}
		if fadeAge > shareMaxAge {
			v.Share = 0
		}
		v.Known = v.Known && limits
		m.Volumes[i] = v
	}
	return m
}

func addAge(l []logic.Micros, age logic.Micros) (out []logic.Micros) {
	for _, at := range l {
		out = append(out, at+age)
	}
	return out
}

func addPastAge(l []logic.AgedUnits, age logic.Micros) (out []logic.AgedUnits) {
	for _, p := range l {
		out = append(out, logic.AgedUnits{Age: p.Age + age, Units: p.Units})
	}
	return out
}

// Unanswered is a request that an earlier process had taken from a client and not answered, as described by the
// inflight region that the client has kept. If Known is false, all that is known is that the request was taken.
type Unanswered struct {
	Known     bool         // the region is this gateway's and sets the fields below
	Sent      bool         // an attempt was begun, or was about to be
	Age       logic.Micros // since the request was taken
	First     logic.Micros // since the first attempt
	SameGroup bool         // its data is only on nodes of the group that drops its repeats
}

// Decision is what becomes of an Unanswered request.
type Decision uint8

const (
	Retry  Decision = iota // taken again, with the time that is left
	Refuse                 // answered as refused; a retry is harmless
	Fail                   // answered as failed, with no promise
)

// minRepeatTimeLeft is how much of the time for which nodes drop repeats must be left for a repeat to be sent.
const minRepeatTimeLeft = 200 * ms

// Resume decides what becomes of a request found in a client's ring after a restart; left is the time it has from now
// on. A request that was never sent is sent; for one that may have been executed its class decides.
func Resume(c *logic.Class, t Unanswered) (f Decision, left logic.Micros) {
	if left = c.Deadline; t.Known {
		left -= max(t.Age, 0)
	}
	sent := t.Sent || !t.Known
	switch {
	case sent && c.Repeat == logic.Fragile:
		return Fail, 0
	case sent && c.Repeat == logic.Dedup:
		repeatTimeLeft := c.RepeatWindow - max(t.First, 0)
		if !t.Known || !t.SameGroup || repeatTimeLeft < minRepeatTimeLeft || left <= 0 {
			return Fail, 0
		}
		return Retry, min(left, repeatTimeLeft)
	case left <= 0:
		return Refuse, 0
	}
	return Retry, left
}

// HandoverWait is how long a gateway waits for requests in flight at the nodes when it hands over its clients. A longer
// wait saves repeats, a shorter one delays the other requests less.
const HandoverWait = 250 * ms

// MustFinish reports whether only the process that has sent a request can answer it. The handover then waits for it
// beyond [HandoverWait], at most until its deadline: the next process could only fail an unsafe request that was sent.
func MustFinish(c *logic.Class, sent bool) bool { return sent && c.Repeat == logic.Fragile }
