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
	set      Settings
	pcg      *rand.PCG
	rng      *rand.Rand
	now      Micros
	before   Micros // the Step before this one
	began    Micros // first Step; 0 before it
	started  bool
	out      []Action
	requests map[RequestID]*request
	volumes  map[VolumeID]*volume
	ring     []*volume // in order of creation, visited from turn on
	turns    int
	spare    float64 // virtual time of the second pass
	nodes    map[NodeID]*node
	order    []*node         // by id
	cells    map[int][]*node // by id for each shard
	chains   map[uint64]*chain
	shortAim Micros  // the shortest aim of any class
	waits    float64 // smoothed wait at all nodes, at waitsAt
	waitsAt  Micros
	vanish   float64 // smoothed share of lost attempts among those that waited for long
	unit     float64 // time of a unit where nothing waits, in Micros; 0: not seen
	seq      uint64
	anyAt    map[bool]Micros // soonest a new object could leave, late or not, as this Step has found
	unserved map[what]Micros // when what went unserved came, until its repeat is here
	gone     []*request      // the same in the order they ended
	held     int             // requests without an attempt out that are owed an answer
	owed     int             // all that are owed one
	owedMost int             // how many may be; 0: no bound
	wakeAt   Micros
	token    uint32
	askAt    Micros // subscribe mode: time of the next ask; 0: subscribed
	askWait  Micros
	taken    []Micros // arrivals in the budget's window
	extra    []Micros // further attempts in it
	strays   []stray  // the first to be forgotten first
}

// stray is the units of a request that is over, whose attempt was given up and may still arrive.
type stray struct {
	vol   *volume
	units float64
	until Micros
}

// request is a request from its arrival until it is over and has no attempt out.
type request struct {
	id       RequestID
	seq      uint64
	class    *Class
	vol      *volume
	cell     int
	key      uint64
	units    float64
	arrived  Micros
	came     Micros // when its client first asked, as far as is known
	aimAt    Micros
	dropDead Micros
	attempts []*attempt
	tried    int // attempts before it came here
	once     bool
	home     bool
	out      int
	queued   bool // in a lane of its volume
	waiting  bool // held: owed an answer, no attempt out
	over     bool
	stream   bool
	charged  bool // has drawn on the limit
	pending  bool // and no node is known to have seen it
	unsure   bool // one may have
	adrift   bool // an attempt was given up and may still arrive
	after    Micros
	maybe    bool // an attempt may have run
	group    *node
	until    Micros // a repeat must be sent before this
	chain    *chain
}

// tries is how many attempts were made.
func (r *request) tries() int { return r.tried + len(r.attempts) }

// what is all that a request and its client's repeat have in common.
type what struct {
	vol   *volume
	class *Class
	cell  int
	key   uint64
	units float64
}

func (r *request) what() what { return what{r.vol, r.class, r.cell, r.key, r.units} }

type attempt struct {
	req    *request
	node   *node
	sent   Micros
	lost   bool // given up for lost: it holds no place in the window any more
	blind  bool // the host stood still while it was out
	passed bool // one sent later was answered after it had waited for long
	done   bool
	marks  int // doublings of its wait that have shut windows
}

// volume is one queue: a balance in units and a lane for each shard its requests wait for.
type volume struct {
	id       VolumeID
	plan     *Plan
	attached float64
	balance  float64
	credited Micros
	share    float64 // virtual time in the second pass
	lanes    []*lane
	waiting  int
	live     int // requests not forgotten
	last     Micros
	store    float64 // the host's slice of the limit
	stored   Micros
	pending  float64 // units charged that no node is known to have seen
	straying float64 // and those of requests that are over and may still arrive
	own      rate    // units served through this host
	others   rate    // units told as served through other hosts
	total    float64
	totalAt  Micros
}

type lane struct {
	cell int
	q    []*request
}

// rate is an exponentially decaying sum, read as units a second over the span it decays in.
type rate struct {
	sum float64
	at  Micros
}

func (r *rate) add(now Micros, v float64, span Micros) {
	r.sum = r.sum*math.Exp(-float64(now-r.at)/float64(span)) + v
	r.at = now
}

func (r *rate) get(now, span Micros) float64 {
	return r.sum * math.Exp(-float64(now-r.at)/float64(span)) / seconds(span)
}

type node struct {
	Node
	window  [2]float64 // for each pass
	halved  [2]Micros
	flight  []*attempt // out from this host and not lost
	units   float64    // their units
	missing int        // time-outs since its last answer
	restTo  Micros     // left alone until then
	latency float64    // smoothed time of answers, in Micros
	last    Micros     // last send or answer
	sentAt  Micros     // last send
	wait    float64    // what the last answer waited at the node, in Micros
	waitAt  Micros
	feared  bool   // no answer told that wait, but one that did not come
	down    Micros // pause after connections failed; 0: they do not
	downAt  Micros
	revived Micros  // when its process may have started, going by its connections
	failing float64 // smoothed share of attempts that failed
	sent    log     // units sent within the overload time
	served  log     // and served
}

// log is what happened lately, in units.
type log []struct {
	at    Micros
	units float64
}

func (l *log) add(now Micros, units float64) {
	*l = append(*l, struct {
		at    Micros
		units float64
	}{now, units})
}

// since drops what is older and sums the rest.
func (l *log) since(t Micros) (sum float64) {
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

// chain holds the requests of one key that must run in turn; the first is the one whose turn it is.
type chain struct {
	q    []*request
	rest Micros // the key rests until then
}

// hold counts the requests that wait for an attempt.
func (h *Host) hold(r *request, on bool) {
	if r.waiting != on {
		r.waiting = on
		if on {
			h.held++
		} else {
			h.held--
		}
	}
}

// line puts a request at the end of its volume's lane for its shard.
func (v *volume) line(r *request) {
	i := slices.IndexFunc(v.lanes, func(l *lane) bool { return l.cell == r.cell })
	if i < 0 {
		i = len(v.lanes)
		v.lanes = append(v.lanes, &lane{cell: r.cell})
	}
	v.lanes[i].q = append(v.lanes[i].q, r)
	v.waiting++
	r.queued = true
}

// inTurn sorts requests by their turn of arrival.
func inTurn(q []*request) []*request {
	slices.SortFunc(q, func(a, b *request) int { return cmp.Compare(a.seq, b.seq) })
	return q
}

// forgo remembers a request that went unserved, until its client has given up all its tries.
func (h *Host) forgo(r *request) {
	if r.over {
		return
	}
	h.unserved[r.what()] = r.came
	h.gone = append(h.gone, r)
	for len(h.gone) > 0 && h.gone[0].came+h.gone[0].class.Deadline < h.now {
		if w := h.gone[0].what(); h.unserved[w] == h.gone[0].came {
			delete(h.unserved, w)
		}
		h.gone = h.gone[1:]
	}
}

// dequeue takes a request out of its lane.
func (h *Host) dequeue(r *request) {
	if !r.queued {
		return
	}
	r.queued = false
	r.vol.waiting--
	for _, l := range r.vol.lanes {
		for i, x := range l.q {
			if x == r {
				l.q = append(l.q[:i], l.q[i+1:]...)
				return
			}
		}
	}
}

// land takes an attempt out of the window.
func (n *node) land(a *attempt) {
	for i, x := range n.flight {
		if x == a {
			n.flight = append(n.flight[:i], n.flight[i+1:]...)
			n.units -= a.req.units
		}
	}
}

// unanswered is the units that left before the given time and may still arrive at the node.
func (n *node) unanswered(before Micros) (units float64) {
	for _, a := range n.flight {
		if a.sent < before {
			units += a.req.units
		}
	}
	return units
}

func seconds(d Micros) float64 { return float64(d) / 1e6 }
