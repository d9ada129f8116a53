package logic

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

// limitFleet models a few hosts that serve one volume with a limit, the network between them and their nodes, and the
// limit's bucket as the nodes see it. Arrivals and the outcomes of attempts are random, from a seed.
type limitFleet struct {
	t             *testing.T
	rng           *rand.Rand
	set           Settings
	now           Micros
	hosts         []*limitHost
	pendingEvents []limitEvent
	next          RequestID

	store       float64 // units left in the limit's bucket, by what has arrived
	storeAt     Micros
	arrived     map[RequestID]bool
	minStore    float64
	unitsServed float64 // units
	unitsAsked  float64
}

// limitHost is one process of the fleet, from its start to its end.
type limitHost struct {
	*Host
	requests map[RequestID]*limitRequest
	surge    bool // many requests arrive at it
}

type limitRequest struct {
	units    float64
	deadline Micros
	attempts int
	finished bool
}

// limitEvent is a scheduled event.
type limitEvent struct {
	at   Micros
	run  func()
	host *limitHost // the event happens only while this process runs; nil: in any case
}

const limitFleetTick = 5 * ms

func newLimitFleet(t *testing.T, seed uint64, hosts int) *limitFleet {
	set := testSettings()
	set.Hosts, set.DrawnAtNode, set.HeldPart, set.MaxAttempts, set.UnitMean = hosts, true, 0.5, 4, 2
	set.Plans[2].LimitSlack = 6
	f := &limitFleet{t: t, rng: rand.New(rand.NewPCG(seed, 1)), set: set, now: 100 * sec, arrived: map[RequestID]bool{}}
	f.store, f.minStore, f.storeAt = f.plan().LimitBurst, f.plan().LimitBurst, f.now
	for i := range hosts {
		f.hosts = append(f.hosts, nil)
		f.startHost(i)
	}
	return f
}

func (f *limitFleet) plan() Plan { return f.set.Plans[2] }

// startHost starts a new process at the given index.
func (f *limitFleet) startHost(place int) {
	set := f.set
	set.Number = place
	host, err := New(set, f.rng.Uint64())
	if err != nil {
		f.t.Fatal(err)
	}
	h := &limitHost{Host: host, requests: map[RequestID]*limitRequest{}}
	f.hosts[place] = h
	list := NodeList{Kind: ListFull}
	for i := range 8 {
		list.Nodes = append(list.Nodes, Node{ID: NodeID(i + 1), Cell: i, State: Ready})
	}
	f.stepHost(h, list)
}

func (f *limitFleet) schedule(wait Micros, host *limitHost, do func()) {
	f.pendingEvents = append(f.pendingEvents, limitEvent{f.now + wait, do, host})
}

func (f *limitFleet) randomUpTo(most Micros) Micros { return Micros(f.rng.Int64N(int64(most) + 1)) }

// run simulates the given length of time.
func (f *limitFleet) run(length Micros, kills bool) {
	for end := f.now + length; f.now < end; f.now += limitFleetTick {
		for i := 0; i < len(f.pendingEvents); i++ {
			if e := f.pendingEvents[i]; e.at <= f.now {
				f.pendingEvents = slices.Delete(f.pendingEvents, i, i+1)
				i--
				if e.host == nil || slices.Contains(f.hosts, e.host) {
					e.run()
				}
			}
		}
		for place, h := range f.hosts {
			if h == nil {
				continue
			}
			toggleProbability, requestProbability := 0.0008, 0.003 // quiet for 6 s on average, so that the bucket fills
			if h.surge {
				toggleProbability, requestProbability = 0.005, 0.5
			}
			if f.rng.Float64() < toggleProbability {
				h.surge = !h.surge
			}
			if f.rng.Float64() < requestProbability {
				f.sendRequest(h)
			}
			f.stepHost(h, TimerFired{h.token})
			if kills && f.rng.Float64() < 0.0005 {
				f.hosts[place] = nil
				f.schedule(f.randomUpTo(3*sec), nil, func() { f.startHost(place) })
			}
		}
	}
}

func (f *limitFleet) sendRequest(h *limitHost) {
	f.next++
	r := &limitRequest{units: float64(1 + f.rng.IntN(6)), deadline: f.now + 2*sec + f.randomUpTo(6*sec)}
	h.requests[f.next] = r
	id := f.next
	f.unitsAsked += r.units
	if f.rng.Float64() < 0.05 {
		f.schedule(f.randomUpTo(2*sec), h, func() { f.stepHost(h, ClientGone{id}) })
	}
	f.stepHost(h, Arrival{Request: id, Class: 0, Cell: f.rng.IntN(8), Volume: 7, Plan: 2, Attached: float64(len(f.hosts)),
		Units: r.units, Deadline: r.deadline})
}

// stepHost steps a host and carries out its actions.
func (f *limitFleet) stepHost(h *limitHost, events ...Event) {
	for _, e := range events {
		if gone, ok := e.(ClientGone); ok && h.requests[gone.Request] != nil {
			h.requests[gone.Request].finished = true
		}
	}
	for _, action := range h.Step(f.now, events, nil) {
		switch x := action.(type) {
		case Send:
			f.send(h, x)
		case Refuse:
			h.requests[x.Request].finished = true
		case Fail:
			h.requests[x.Request].finished = true
		}
	}
}

// send draws the fate of an attempt at random.
func (f *limitFleet) send(h *limitHost, s Send) {
	r := h.requests[s.Request]
	number, left := r.attempts, r.deadline-f.now
	r.attempts++
	transit := f.randomUpTo(2 * ms)
	if f.rng.Float64() < 0.2 {
		transit = f.randomUpTo(1500 * ms)
	}
	work := 5*ms + f.randomUpTo(100*ms)
	arrives := func(wait Micros) { f.schedule(wait, nil, func() { f.arrive(s.Request, r.units) }) }
	ends := func(wait Micros, how Outcome) {
		if wait >= left {
			wait, how = left, TimedOut
		}
		f.schedule(wait, h, func() {
			if how == OK && !r.finished {
				r.finished = true
				f.unitsServed += r.units
			}
			f.stepHost(h, AttemptEnded{Request: s.Request, Attempt: number, Node: s.Node, Outcome: how, Took: wait, Load: NoLoad})
		})
	}
	switch x := f.rng.Float64(); {
	case x < 0.1:
		ends(transit, ConnectFailed)
	case x < 0.15:
		ends(transit, NotSent)
	case x < 0.2: // reset on its way
		ends(transit, Reset)
	case x < 0.22: // answered before its last byte was sent
		ends(transit, []Outcome{Full, Failed}[f.rng.IntN(2)])
	case x < 0.27: // reset, but it reaches the node nevertheless
		ends(transit/2, Reset)
		arrives(transit)
	case x < 0.37:
		arrives(transit)
		ends(transit+work, []Outcome{Full, Failed, Reset}[f.rng.IntN(3)])
	case x < 0.42: // no answer arrives
		arrives(transit + f.randomUpTo(left+maxArrivalDelay-1500*ms))
		ends(left, TimedOut)
	default:
		arrives(transit)
		ends(transit+work, OK)
	}
}

// arrive takes a request's units from the bucket when it first reaches a node.
func (f *limitFleet) arrive(id RequestID, units float64) {
	if f.arrived[id] {
		return
	}
	f.arrived[id] = true
	f.store = min(f.store+f.plan().Limit*seconds(f.now-f.storeAt), f.plan().LimitBurst) - units
	f.storeAt = f.now
	f.minStore = min(f.minStore, f.store)
}

// TestLimitHoldsOverAFleetUnderFaults: the limit holds at the nodes whatever happens to attempts on their way and
// whichever process is killed.
func TestLimitHoldsOverAFleetUnderFaults(t *testing.T) {
	for _, hosts := range []int{1, 2, 3} {
		for _, kills := range []bool{false, true} {
			t.Run(fmt.Sprintf("hosts=%d,kills=%v", hosts, kills), func(t *testing.T) {
				for seed := range uint64(30) {
					f := newLimitFleet(t, seed, hosts)
					f.run(60*sec, kills)
					if f.minStore < -f.plan().LimitSlack-1e-6 {
						t.Errorf("seed %d: the limit's store was at %.2f, its slack is %v", seed, f.minStore, f.plan().LimitSlack)
					}
					if least := f.plan().Limit * 60 / 10; f.unitsServed < least {
						t.Errorf("seed %d: %v units served of %v asked, fewer than a tenth of the limit", seed, f.unitsServed, f.unitsAsked)
					}
				}
			})
		}
	}
}
