// Package recall decides how much of what a gateway learned before it was restarted still counts. Package logic takes
// its memory out and gives it back as plain data; here it is aged in between.
//
// It guards against two harms: a gateway that has forgotten which nodes were slow piles work onto them again, and one
// that trusts a clock or an old figure too much breaks a limit or leaves a node alone that has long been well. Where
// it is in doubt it keeps what makes the gateway send less, and forgets what would make it send more.
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

	// Each figure fades in its own time.
	failingHalf = 10 * sec    // a node that fails fast is found out within seconds, either way
	vanishHalf  = 10 * sec    // so are links that lose answers
	missingTime = 10 * sec    // time-outs in a row tell of a hang for as long as it lasts
	downTime    = 10 * sec    // as do connections that were refused; package links tries again within two seconds
	balanceTime = 1 * sec     // credit of a queue that waited; a debt stays, it is repaid by time
	windowTime  = 10 * minute // windows open by themselves while nothing is heard; beyond this nothing of them is left
	latencyTime = 10 * minute // how long a node usually takes
	unitTime    = 1 * hour    // how long a unit takes, over all nodes: changes with machines and software only
	shareTime   = 10 * minute // whose turn it is in the second pass

	// A clock that is more than tooFar ahead of the state was set, or the state is of another life.
	tooFar = 365 * 24 * hour
)

// Stamp is a moment by the clocks of a machine.
type Stamp struct {
	Boot  string       // names the machine's boot; empty: not known
	Since logic.Micros // since that boot, suspends included
	Wall  logic.Micros // since 1970
}

// Trust is how well an age is known.
type Trust uint8

const (
	Exact  Trust = iota // by one boot's own clock
	ByWall              // by a clock that may have been set
	None                // not at all
)

// Age is how long ago then was, and how well that is known. The complaint says what is wrong with the clocks, "" where
// nothing is.
func Age(then, now Stamp) (age logic.Micros, how Trust, complaint string) {
	if then.Boot != "" && then.Boot == now.Boot {
		if age = now.Since - then.Since; age >= 0 {
			return age, Exact, ""
		}
		return 0, None, "the machine's own clock went backward within one boot"
	}
	switch age = now.Wall - then.Wall; {
	case age < 0:
		return 0, None, fmt.Sprintf("the clock was set back, or the state comes from the future: by %.0f s", -float64(age)/1e6)
	case age > tooFar:
		return 0, None, "the clock is over a year ahead of the state"
	}
	return age, ByWall, ""
}

// Limits tells whether what the state says of limits may be built on: only where its gateway ended by itself, so that
// nothing was drawn after it was written, where its age is known for sure, as the store refills by it, and where it
// has been marked as used, so that nobody builds on it a second time.
func Limits(clean, marked bool, how Trust) bool { return clean && marked && how == Exact }

// Fade ages a memory. An age that is not known counts as long for what fades, and as no time for what is owed.
func Fade(m logic.Memory, age logic.Micros, how Trust, limits bool) logic.Memory {
	span := age
	if how == None {
		age, span = 0, logic.Micros(math.MaxInt64/8)
	}
	shift := func(at *logic.Micros) {
		if *at < logic.Never/2 {
			*at += age
		}
	}
	fade := func(x *float64, half logic.Micros) { *x *= math.Exp2(-float64(span) / float64(half)) }
	shift(&m.WaitsAge)
	fade(&m.Vanish, vanishHalf)
	if span > unitTime {
		m.Unit = 0
	}
	m.Taken, m.Extra = shifted(m.Taken, age), shifted(m.Extra, age)
	if span > shareTime {
		m.Spare = 0
	}
	nodes := m.Nodes
	m.Nodes = make([]logic.NodeMemory, len(nodes))
	for i, n := range nodes {
		// What the node itself has done goes on counting whoever looks: its start, and what it was sent while cold.
		for _, at := range []*logic.Micros{&n.Node.Started, &n.Halved[0], &n.Halved[1], &n.Rest, &n.Last, &n.Sent, &n.WaitAge, &n.DownAge, &n.Revived} {
			shift(at)
		}
		n.SentLog, n.Served = past(n.SentLog, age), past(n.Served, age)
		fade(&n.Failing, failingHalf)
		if span > missingTime {
			n.Missing = 0
		}
		if span > downTime {
			n.Down = 0
		}
		if span > latencyTime {
			n.Latency = 0
		}
		if span > windowTime {
			n.Window, n.Wait, n.WaitAge, n.Rest = [2]float64{}, 0, logic.Never, logic.Never
		}
		m.Nodes[i] = n
	}
	volumes := m.Volumes
	m.Volumes = make([]logic.VolumeMemory, len(volumes))
	for i, v := range volumes {
		for _, at := range []*logic.Micros{&v.Credited, &v.Last, &v.Stored, &v.Own.Age, &v.Others.Age, &v.TotalAge} {
			shift(at)
		}
		if span > balanceTime {
			v.Balance = min(v.Balance, 0)
		}
		if span > shareTime {
			v.Share = 0
		}
		v.Known = v.Known && limits
		m.Volumes[i] = v
	}
	return m
}

func shifted(l []logic.Micros, by logic.Micros) (out []logic.Micros) {
	for _, at := range l {
		out = append(out, at+by)
	}
	return out
}

func past(l []logic.Past, by logic.Micros) (out []logic.Past) {
	for _, p := range l {
		out = append(out, logic.Past{Age: p.Age + by, Units: p.Units})
	}
	return out
}

// Taken is a request that an earlier process had taken from a client and not answered, as the region that the client
// has kept tells of it.
type Taken struct {
	Known     bool         // the region is ours and says what follows; otherwise only that it was taken
	Sent      bool         // an attempt was begun, or was about to be
	Age       logic.Micros // since it was taken
	First     logic.Micros // since the first attempt
	SameGroup bool         // only nodes of the group that drops its repeats hold its data
}

// Fate is what becomes of such a request.
type Fate uint8

const (
	Again  Fate = iota // it is taken anew, within the time that is left
	Refuse             // a retry is harmless
	Fail               // no promise
)

// rememberMargin is how much of the time for which nodes drop repeats must be left for a repeat to be worth sending.
const rememberMargin = 200 * ms

// Resume decides on a request found in a client's ring after a restart; left is the time it has from now on. What was
// never sent is sent; what may have run follows its class.
func Resume(c *logic.Class, t Taken) (f Fate, left logic.Micros) {
	if left = c.Deadline; t.Known {
		left -= max(t.Age, 0)
	}
	sent := t.Sent || !t.Known
	switch {
	case sent && c.Repeat == logic.Fragile:
		return Fail, 0
	case sent && c.Repeat == logic.Dedup:
		remembered := c.RepeatWindow - max(t.First, 0)
		if !t.Known || !t.SameGroup || remembered < rememberMargin || left <= 0 {
			return Fail, 0
		}
		return Again, min(left, remembered)
	case left <= 0:
		return Refuse, 0
	}
	return Again, left
}

// HandWait is how long a gateway that hands its clients over waits for what is out at the nodes. Longer spares repeats,
// shorter is the wait of everybody else.
const HandWait = 250 * ms

// MustFinish tells whether only the process that has begun a request can give it its answer, so that a handover waits
// for it past [HandWait], until its deadline at the most: an unsafe one that was sent could else only be failed.
func MustFinish(c *logic.Class, sent bool) bool { return sent && c.Repeat == logic.Fragile }
