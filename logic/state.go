package logic

// The state of a host and the data structures that hold it. This file takes no scheduling decisions.

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
)

// Host is the scheduler of one initiator. It is not safe for concurrent use.
type Host struct {
	settings          Settings
	pcg               *rand.PCG
	rng               *rand.Rand
	now               Micros
	previousStep      Micros // time of the Step before the current one
	startedAt         Micros // time of the first Step; 0 before it
	started           bool
	actions           []Action
	requests          map[RequestID]*request
	volumes           map[VolumeID]*volume
	roundRobin        []*volume // in order of creation; each round starts one volume later
	queued            []*volume // those with queued requests; in order of creation if queuedSorted
	queuedSorted      bool
	cycleOrder        []*volume // reused by queuedFrom
	nextIdleScan      Micros    // when idle volumes are looked for again
	rotation          int
	virtualTime       float64 // virtual time of the second pass, the largest at which a volume was served
	nodes             map[NodeID]*node
	sortedNodes       []*node         // sorted by id
	nodesByCell       map[int][]*node // nodes of each shard, sorted by id
	keyQueues         map[uint64]*keyQueue
	minAim            Micros  // shortest aim of any class
	meanWait          float64 // smoothed wait at all nodes in Micros, as of meanWaitAt
	meanWaitAt        Micros
	lossShare         float64 // smoothed share of lost attempts among those that waited for long
	unitTime          float64 // service time of one unit without waiting, in Micros; 0: not known
	seq               uint64
	earliestNewObject map[bool]Micros      // cached for this Step: earliest send of a new object, by late
	unserved          map[signature]Micros // first arrival of unserved requests, until the client repeats them
	unservedByEnd     []*request           // the same requests in the order in which they ended
	heldCount         int                  // unanswered requests that wait for an attempt
	unanswered        int                  // admitted requests that still need a final answer
	postponed         []*request           // requests that are not admitted yet, in order of arrival
	maxUnanswered     int                  // upper bound of unanswered; 0: no bound
	wakeAt            Micros
	token             uint32
	subscribeAt       Micros // subscribe mode: time of the next attempt to subscribe; 0: subscribed
	subscribeDelay    Micros
	recentArrivals    []Micros         // times of arrivals within the retry budget's window
	recentRetries     []Micros         // times of retries within the same window
	abandoned         []abandonedUnits // ordered by expiry
}

// abandonedUnits are the charged units of a finished request whose attempt was given up and may still reach
// a node.
type abandonedUnits struct {
	vol   *volume
	units float64
	until Micros
}

// request is kept from its arrival until it is finished and has no attempt in flight.
type request struct {
	id              RequestID
	seq             uint64
	class           *Class
	vol             *volume
	cell            int
	key             uint64
	units           float64
	arrivedAt       Micros
	firstAskedAt    Micros // when the client first sent it, as far as is known
	aimAt           Micros
	deadline        Micros
	attempts        []*attempt
	earlierAttempts int // attempts made under other ids before it arrived here
	singleAttempt   bool
	homeZoneOnly    bool
	inFlight        int
	queued          bool // is in a queue of its volume
	held            bool // unanswered and waiting for an attempt
	postponed       bool // waits for notBefore and is not admitted yet
	finished        bool
	streaming       bool
	charged         bool // units of the attempts in flight were taken from the limit
	pending         bool // charged, and no node is known to have seen it
	maybeSeen       bool // a node may have seen it
	mayStillArrive  bool // an attempt was given up and may still reach its node
	notBefore       Micros
	mayHaveRun      bool // an attempt may have run on a node
	dedupNode       *node
	retryUntil      Micros // a retry must be sent before this
	keyQueue        *keyQueue
}

// attemptCount returns the number of attempts made, including those before the request arrived here.
func (r *request) attemptCount() int { return r.earlierAttempts + len(r.attempts) }

// signature holds the properties that a request shares with a repeat of it by its client.
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
	lost          bool // taken for lost: it no longer counts against the window
	duringStall   bool // the host stalled while it was in flight
	overtaken     bool // had waited for long when a later one was answered
	ended         bool
	waitDoublings int // doublings of its wait that have shrunk windows
}

// volume is one schedulable queue: a balance in units and one cellQueue for each shard with requests.
type volume struct {
	id           VolumeID
	position     int // in the host's roundRobin
	plan         *Plan
	attached     float64
	balance      float64
	creditedAt   Micros
	virtualTime  float64 // virtual time in the second pass: units sent per weight
	queues       []*cellQueue
	queueLength  int
	liveRequests int // requests that are still kept
	lastUsed     Micros
	tokens       float64 // what this host's share of the limit holds, as of tokensAt
	tokensAt     Micros
	pending      float64     // units charged that no node is known to have seen
	abandoned    float64     // units charged for finished requests that may still reach a node
	ownRate      decayingSum // units served through this host
	otherRate    decayingSum // units that answers report as served through other hosts
	totalRate    float64
	totalRateAt  Micros
}

type cellQueue struct {
	cell     int
	requests []*request
}

// decayingSum is an exponentially decaying sum that is read as units a second over its decay span.
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
	window          [2]float64 // for each pass: how many requests this host may have in flight
	reducedAt       [2]Micros
	inFlight        []*attempt // attempts of this host in flight, without lost ones
	unitsInFlight   float64    // units of the attempts in flight
	missingAnswers  int        // attempts timed out or overtaken since its last answer
	backoffUntil    Micros     // nothing is sent before this
	latency         float64    // smoothed response time, in Micros
	lastActive      Micros     // time of the last send or answer
	sentAt          Micros     // time of the last send
	wait            float64    // how long the last answered request waited at the node, in Micros
	waitAt          Micros
	waitAssumed     bool   // wait comes from an overdue answer, not from one that arrived
	connectBackoff  Micros // pause after failed connections; 0: connections succeed
	connectFailedAt Micros
	presumedStart   Micros  // when its process may have restarted, judging by its connections
	failureShare    float64 // smoothed share of failed attempts
	sentLog         unitLog // units sent within the overload time
	servedLog       unitLog // units served within the overload time
}

// unitLog records recent events with their units.
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

// sumSince drops entries older than t and returns the units of the rest.
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

// keyQueue holds the requests of one key, which run one at a time in the order of arrival; the first runs next.
type keyQueue struct {
	requests    []*request
	pausedUntil Micros // no request of the key is sent before this
}

// setHeld marks whether a request waits for an attempt and keeps heldCount up to date.
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

// sortByArrival sorts q in place by arrival and returns it.
func sortByArrival(q []*request) []*request {
	slices.SortFunc(q, func(a, b *request) int { return cmp.Compare(a.seq, b.seq) })
	return q
}

// recordUnserved remembers a request that went unserved until its class's deadline has passed, after which its
// client does not repeat it.
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

// removeInFlight removes an attempt from those that count against the window.
func (n *node) removeInFlight(a *attempt) {
	for i, x := range n.inFlight {
		if x == a {
			n.inFlight = append(n.inFlight[:i], n.inFlight[i+1:]...)
			n.unitsInFlight -= a.req.units
		}
	}
}

// unitsInFlightBefore returns the units sent before the given time that are unanswered and may still reach the
// node.
func (n *node) unitsInFlightBefore(before Micros) (units float64) {
	for _, a := range n.inFlight {
		if a.sentAt < before {
			units += a.req.units
		}
	}
	return units
}

func seconds(d Micros) float64 { return float64(d) / 1e6 }
