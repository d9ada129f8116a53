package logic

// What a host remembers, and the sums it is kept in. Nothing is decided here.

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
)

// Host is one initiator's scheduler. It is not safe for concurrent use.
type Host struct {
	settings          Settings
	pcg               *rand.PCG
	rng               *rand.Rand
	now               Micros
	previousStep      Micros // the Step before this one
	startedAt         Micros // first Step; 0 before it
	started           bool
	actions           []Action
	requests          map[RequestID]*request
	volumes           map[VolumeID]*volume
	roundRobin        []*volume // in order of creation, visited from turn on
	rotation          int
	virtualTime       float64 // virtual time of the second pass
	nodes             map[NodeID]*node
	sortedNodes       []*node         // by id
	nodesByCell       map[int][]*node // by id for each shard
	keyQueues         map[uint64]*keyQueue
	minAim            Micros  // the shortest aim of any class
	meanWait          float64 // smoothed wait at all nodes, at waitsAt
	meanWaitAt        Micros
	lossShare         float64 // smoothed share of lost attempts among those that waited for long
	unitTime          float64 // time of a unit where nothing waits, in Micros; 0: not seen
	seq               uint64
	earliestNewObject map[bool]Micros      // soonest a new object could leave, late or not, as this Step has found
	unserved          map[signature]Micros // when what went unserved came, until its repeat is here
	unservedByEnd     []*request           // the same in the order they ended
	heldCount         int                  // requests without an attempt out that are owed an answer
	unanswered        int                  // all that are owed one
	maxUnanswered     int                  // how many may be; 0: no bound
	wakeAt            Micros
	token             uint32
	subscribeAt       Micros // subscribe mode: time of the next ask; 0: subscribed
	subscribeDelay    Micros
	recentArrivals    []Micros         // arrivals in the budget's window
	recentRetries     []Micros         // further attempts in it
	abandoned         []abandonedUnits // the first to be forgotten first
}

// abandonedUnits is the units of a request that is over, whose attempt was given up and may still arrive.
type abandonedUnits struct {
	vol   *volume
	units float64
	until Micros
}

// request is a request from its arrival until it is over and has no attempt out.
type request struct {
	id              RequestID
	seq             uint64
	class           *Class
	vol             *volume
	cell            int
	key             uint64
	units           float64
	arrivedAt       Micros
	firstAskedAt    Micros // when its client first asked, as far as is known
	aimAt           Micros
	deadline        Micros
	attempts        []*attempt
	earlierAttempts int // attempts before it came here
	singleAttempt   bool
	homeZoneOnly    bool
	inFlight        int
	queued          bool // in a lane of its volume
	held            bool // held: owed an answer, no attempt out
	finished        bool
	streaming       bool
	charged         bool // has drawn on the limit
	pending         bool // and no node is known to have seen it
	maybeSeen       bool // one may have
	mayStillArrive  bool // an attempt was given up and may still arrive
	notBefore       Micros
	mayHaveRun      bool // an attempt may have run
	dedupNode       *node
	retryUntil      Micros // a repeat must be sent before this
	keyQueue        *keyQueue
}

// attemptCount is how many attempts were made.
func (r *request) attemptCount() int { return r.earlierAttempts + len(r.attempts) }

// signature is all that a request and its client's repeat have in common.
type signature struct {
	vol   *volume
	class *Class
	cell  int
	key   uint64
	units float64
}

func (r *request) signature() signature { return signature{r.vol, r.class, r.cell, r.key, r.units} }

type attempt struct {
	req           *request
	node          *node
	sentAt        Micros
	lost          bool // given up for lost: it holds no place in the window any more
	duringStall   bool // the host stood still while it was out
	overtaken     bool // one sent later was answered after it had waited for long
	ended         bool
	waitDoublings int // doublings of its wait that have shut windows
}

// volume is one queue: a balance in units and a lane for each shard its requests wait for.
type volume struct {
	id           VolumeID
	plan         *Plan
	attached     float64
	balance      float64
	creditedAt   Micros
	virtualTime  float64 // virtual time in the second pass
	queues       []*cellQueue
	queueLength  int
	liveRequests int // requests not forgotten
	lastUsed     Micros
	tokens       float64 // the host's slice of the limit
	tokensAt     Micros
	pending      float64     // units charged that no node is known to have seen
	abandoned    float64     // and those of requests that are over and may still arrive
	ownRate      decayingSum // units served through this host
	otherRate    decayingSum // units told as served through other hosts
	totalRate    float64
	totalRateAt  Micros
}

type cellQueue struct {
	cell     int
	requests []*request
}

// decayingSum is an exponentially decaying sum, read as units a second over the span it decays in.
type decayingSum struct {
	sum float64
	at  Micros
}

func (r *decayingSum) add(now Micros, v float64, span Micros) {
	r.sum = r.sum*math.Exp(-float64(now-r.at)/float64(span)) + v
	r.at = now
}

func (r *decayingSum) perSecond(now, span Micros) float64 {
	return r.sum * math.Exp(-float64(now-r.at)/float64(span)) / seconds(span)
}

type node struct {
	Node
	window          [2]float64 // for each pass
	reducedAt       [2]Micros
	inFlight        []*attempt // out from this host and not lost
	unitsInFlight   float64    // their units
	missingAnswers  int        // time-outs since its last answer
	backoffUntil    Micros     // left alone until then
	latency         float64    // smoothed time of answers, in Micros
	lastActive      Micros     // last send or answer
	sentAt          Micros     // last send
	wait            float64    // what the last answer waited at the node, in Micros
	waitAt          Micros
	waitAssumed     bool   // no answer told that wait, but one that did not come
	connectBackoff  Micros // pause after connections failed; 0: they do not
	connectFailedAt Micros
	presumedStart   Micros  // when its process may have started, going by its connections
	failureShare    float64 // smoothed share of attempts that failed
	sentLog         unitLog // units sent within the overload time
	servedLog       unitLog // and served
}

// unitLog is what happened lately, in units.
type unitLog []struct {
	at    Micros
	units float64
}

func (l *unitLog) add(now Micros, units float64) {
	*l = append(*l, struct {
		at    Micros
		units float64
	}{now, units})
}

// sumSince drops what is older and sums the rest.
func (l *unitLog) sumSince(t Micros) (sum float64) {
	keep := (*l)[:0]
	for _, e := range *l {
		if e.at >= t {
			keep = append(keep, e)
			sum += e.units
		}
	}
	*l = keep
	return sum
}

// keyQueue holds the requests of one key that must run in turn; the first is the one whose turn it is.
type keyQueue struct {
	requests    []*request
	pausedUntil Micros // the key rests until then
}

// setHeld counts the requests that wait for an attempt.
func (h *Host) setHeld(r *request, on bool) {
	if r.held != on {
		r.held = on
		if on {
			h.heldCount++
		} else {
			h.heldCount--
		}
	}
}

// push puts a request at the end of its volume's lane for its shard.
func (v *volume) push(r *request) {
	i := slices.IndexFunc(v.queues, func(l *cellQueue) bool { return l.cell == r.cell })
	if i < 0 {
		i = len(v.queues)
		v.queues = append(v.queues, &cellQueue{cell: r.cell})
	}
	v.queues[i].requests = append(v.queues[i].requests, r)
	v.queueLength++
	r.queued = true
}

// sortByArrival sorts requests by their turn of arrival.
func sortByArrival(q []*request) []*request {
	slices.SortFunc(q, func(a, b *request) int { return cmp.Compare(a.seq, b.seq) })
	return q
}

// recordUnserved remembers a request that went unserved, until its client has given up all its tries.
func (h *Host) recordUnserved(r *request) {
	if r.finished {
		return
	}
	h.unserved[r.signature()] = r.firstAskedAt
	h.unservedByEnd = append(h.unservedByEnd, r)
	for len(h.unservedByEnd) > 0 && h.unservedByEnd[0].firstAskedAt+h.unservedByEnd[0].class.Deadline < h.now {
		if w := h.unservedByEnd[0].signature(); h.unserved[w] == h.unservedByEnd[0].firstAskedAt {
			delete(h.unserved, w)
		}
		h.unservedByEnd = h.unservedByEnd[1:]
	}
}

// dequeue takes a request out of its lane.
func (h *Host) dequeue(r *request) {
	if !r.queued {
		return
	}
	r.queued = false
	r.vol.queueLength--
	for _, l := range r.vol.queues {
		for i, x := range l.requests {
			if x == r {
				l.requests = append(l.requests[:i], l.requests[i+1:]...)
				return
			}
		}
	}
}

// removeInFlight takes an attempt out of the window.
func (n *node) removeInFlight(a *attempt) {
	for i, x := range n.inFlight {
		if x == a {
			n.inFlight = append(n.inFlight[:i], n.inFlight[i+1:]...)
			n.unitsInFlight -= a.req.units
		}
	}
}

// unitsInFlightBefore is the units that left before the given time and may still arrive at the node.
func (n *node) unitsInFlightBefore(before Micros) (units float64) {
	for _, a := range n.inFlight {
		if a.sentAt < before {
			units += a.req.units
		}
	}
	return units
}

func seconds(d Micros) float64 { return float64(d) / 1e6 }
