package logic

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

// limitFleet is a few hosts that serve one volume with a limit, the network between them and their nodes, and the limit's
// store as the nodes see it. It draws from a seed when requests come and what becomes of each attempt.
type limitFleet struct {
	t     *testing.T
	rng   *rand.Rand
	set   Settings
	now   Micros
	hosts []*limitHost
	due   []limitEvent
	next  RequestID

	store   float64 // units left of the limit, by what has arrived
	at      Micros
	arrived map[RequestID]bool
	least   float64
	served  float64 // units
	asked   float64
}

// limitHost is one process of the fleet, from its start to its end.
type limitHost struct {
	*Host
	requests map[RequestID]*limitRequest
	busy     bool // a surge goes through it
}

type limitRequest struct {
	units    float64
	deadline Micros
	attempts int
	over     bool
}

// limitEvent is something that will happen.
type limitEvent struct {
	at   Micros
	do   func()
	host *limitHost // it happens only while this process runs; nil: in any case
}

const limitFleetStep = 5 * ms

func newLimitFleet(t *testing.T, seed uint64, hosts int) *limitFleet {
	set := plain()
	set.Hosts, set.DrawnAtNode, set.HeldPart, set.MaxAttempts, set.UnitMean = hosts, true, 0.5, 4, 2
	set.Plans[2].LimitSlack = 6
	f := &limitFleet{t: t, rng: rand.New(rand.NewPCG(seed, 1)), set: set, now: 100 * sec, arrived: map[RequestID]bool{}}
	f.store, f.least, f.at = f.plan().LimitBurst, f.plan().LimitBurst, f.now
	for i := range hosts {
		f.hosts = append(f.hosts, nil)
		f.start(i)
	}
	return f
}

func (f *limitFleet) plan() Plan { return f.set.Plans[2] }

// start gives a place a new process.
func (f *limitFleet) start(place int) {
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
	f.tell(h, list)
}

func (f *limitFleet) after(wait Micros, host *limitHost, do func()) {
	f.due = append(f.due, limitEvent{f.now + wait, do, host})
}

func (f *limitFleet) upTo(most Micros) Micros { return Micros(f.rng.Int64N(int64(most) + 1)) }

// run plays for so long.
func (f *limitFleet) run(length Micros, kills bool) {
	for end := f.now + length; f.now < end; f.now += limitFleetStep {
		for i := 0; i < len(f.due); i++ {
			if e := f.due[i]; e.at <= f.now {
				f.due = slices.Delete(f.due, i, i+1)
				i--
				if e.host == nil || slices.Contains(f.hosts, e.host) {
					e.do()
				}
			}
		}
		for place, h := range f.hosts {
			if h == nil {
				continue
			}
			turn, ask := 0.0008, 0.003 // quiet for 6 s in the mean, so that the store fills
			if h.busy {
				turn, ask = 0.005, 0.5
			}
			if f.rng.Float64() < turn {
				h.busy = !h.busy
			}
			if f.rng.Float64() < ask {
				f.ask(h)
			}
			f.tell(h, TimerFired{h.token})
			if kills && f.rng.Float64() < 0.0005 {
				f.hosts[place] = nil
				f.after(f.upTo(3*sec), nil, func() { f.start(place) })
			}
		}
	}
}

func (f *limitFleet) ask(h *limitHost) {
	f.next++
	r := &limitRequest{units: float64(1 + f.rng.IntN(6)), deadline: f.now + 2*sec + f.upTo(6*sec)}
	h.requests[f.next] = r
	id := f.next
	f.asked += r.units
	if f.rng.Float64() < 0.05 {
		f.after(f.upTo(2*sec), h, func() { f.tell(h, ClientGone{id}) })
	}
	f.tell(h, Arrival{Request: id, Class: 0, Cell: f.rng.IntN(8), Volume: 7, Plan: 2, Attached: float64(len(f.hosts)),
		Units: r.units, DropDead: r.deadline})
}

// tell steps a host and carries out what it asks for.
func (f *limitFleet) tell(h *limitHost, events ...Event) {
	for _, e := range events {
		if gone, ok := e.(ClientGone); ok && h.requests[gone.Request] != nil {
			h.requests[gone.Request].over = true
		}
	}
	for _, action := range h.Step(f.now, events, nil) {
		switch x := action.(type) {
		case Send:
			f.send(h, x)
		case Deny:
			h.requests[x.Request].over = true
		case Surrender:
			h.requests[x.Request].over = true
		}
	}
}

// send draws what becomes of an attempt.
func (f *limitFleet) send(h *limitHost, s Send) {
	r := h.requests[s.Request]
	number, left := r.attempts, r.deadline-f.now
	r.attempts++
	way := f.upTo(2 * ms)
	if f.rng.Float64() < 0.2 {
		way = f.upTo(1500 * ms)
	}
	work := 5*ms + f.upTo(100*ms)
	arrives := func(wait Micros) { f.after(wait, nil, func() { f.arrive(s.Request, r.units) }) }
	ends := func(wait Micros, how Outcome) {
		if wait >= left {
			wait, how = left, TimedOut
		}
		f.after(wait, h, func() {
			if how == OK && !r.over {
				r.over = true
				f.served += r.units
			}
			f.tell(h, AttemptEnded{Request: s.Request, Attempt: number, Node: s.Node, Outcome: how, Took: wait, Load: NoLoad})
		})
	}
	switch x := f.rng.Float64(); {
	case x < 0.1:
		ends(way, ConnectFailed)
	case x < 0.15:
		ends(way, Moot)
	case x < 0.2: // reset on its way
		ends(way, Reset)
	case x < 0.22: // answered before its last byte has left
		ends(way, []Outcome{Full, Failed}[f.rng.IntN(2)])
	case x < 0.27: // reset, and the node has it all the same
		ends(way/2, Reset)
		arrives(way)
	case x < 0.37:
		arrives(way)
		ends(way+work, []Outcome{Full, Failed, Reset}[f.rng.IntN(3)])
	case x < 0.42: // nothing is heard of it
		arrives(way + f.upTo(left+maxArrivalDelay-1500*ms))
		ends(left, TimedOut)
	default:
		arrives(way)
		ends(way+work, OK)
	}
}

// arrive takes a request's units from the limit when it first reaches a node.
func (f *limitFleet) arrive(id RequestID, units float64) {
	if f.arrived[id] {
		return
	}
	f.arrived[id] = true
	f.store = min(f.store+f.plan().Limit*seconds(f.now-f.at), f.plan().LimitBurst) - units
	f.at = f.now
	f.least = min(f.least, f.store)
}

// The limit holds at the nodes whatever becomes of the attempts on their way, and whoever is killed.
func TestLimitHoldsOverAFleetUnderFaults(t *testing.T) {
	for _, hosts := range []int{1, 2, 3} {
		for _, kills := range []bool{false, true} {
			t.Run(fmt.Sprintf("hosts=%d,kills=%v", hosts, kills), func(t *testing.T) {
				for seed := range uint64(30) {
					f := newLimitFleet(t, seed, hosts)
					f.run(60*sec, kills)
					if f.least < -f.plan().LimitSlack-1e-6 {
						t.Errorf("seed %d: the limit's store was at %.2f, its slack is %v", seed, f.least, f.plan().LimitSlack)
					}
					if least := f.plan().Limit * 60 / 10; f.served < least {
						t.Errorf("seed %d: %v units served of %v asked, fewer than a tenth of the limit", seed, f.served, f.asked)
					}
				}
			})
		}
	}
}
