// Package logic schedules the requests of one host (initiator) of a shared storage pool: which request is sent
// next, to which storage node, when it is retried and when it is refused. It has no clock, goroutines or I/O:
// the caller passes events to [Host.Step] and carries out the returned actions. This file is the interface;
// logic.go, limit.go, slowstart.go and retrybudget.go hold the decisions.
package logic

// Micros is a point on the caller's clock or a duration, in microseconds. The clock may start anywhere and
// never goes backwards.
type Micros int64

// RequestID identifies a request; an id is never used twice.
type RequestID uint64

// NodeID identifies a storage node; it stays the same when the node's process restarts.
type NodeID uint32

// VolumeID identifies a volume.
type VolumeID uint64

// Repeat states whether requests of a class may run more than once.
type Repeat uint8

const (
	Retryable Repeat = iota // may run any number of times
	Dedup                   // the nodes of one group drop a repeat within the repeat window
	Fragile                 // must never run twice
)

// Group states which nodes recognize each other's repeats of a Dedup request.
type Group uint8

const (
	GroupAll  Group = iota // every node
	GroupZone              // the nodes of one zone
	GroupCell              // the nodes of one shard
)

// Class describes the terms of service of a kind of request.
type Class struct {
	Aim          Micros // an answer within this time earns its full worth
	AimPerWork   bool   // the aim grows with the request's work, up to the deadline
	Deadline     Micros // how long a client waits, over all its attempts
	Worth        float64
	LateShare    float64 // share of the worth that an answer after the aim earns
	Repeat       Repeat
	Group        Group  // Dedup: which nodes drop repeats
	RepeatWindow Micros // Dedup: for how long after the send of the first attempt that may have run
	InOrder      bool   // requests with the same key run one at a time, in the order of arrival
	Stream       bool   // the answer is a stream
	Writes       bool
}

// Plan is the service a volume has bought; its values apply to all hosts and nodes together.
type Plan struct {
	Rate       float64 // units a second that the volume is sized for
	Reserve    float64 // reserved units a second; 0: none
	Weight     float64 // weight in sharing the capacity beyond the reservations
	Price      float64
	Limit      float64 // units a second that must not be exceeded; 0: no limit
	LimitBurst float64 // capacity of the limit's token bucket, in units
	LimitSlack float64 // units by which the bucket may go below zero
}

// Rules are the parameters of the rules a host must keep. A zero means that the rule does not apply.
type Rules struct {
	AnswerSlack   Micros  // a final answer may be this late after the deadline
	StopSending   Micros  // time within which sends to a draining or gone node must end
	AskWithin     Micros  // subscribe mode: longest time without a subscription or an attempt to get one
	ColdFrom      float64 // least share of its capacity that a node starts with
	ColdTime      Micros  // a node is warm after this time at the latest
	ColdUnits     float64 // units within OverloadTime that a cold node always tolerates, from all hosts together
	OverloadTime  Micros
	TipMultiple   float64 // more than this multiple of its present capacity for OverloadTime overloads it
	OrderPause    Micros  // pause of a key after an attempt that may still be running
	BudgetWindow  Micros  // window of the retry budget; 0: no budget
	BudgetFree    float64 // retries always allowed in the window
	BudgetPerTake float64 // additional retries for each request that arrives in the window
}

// Settings is the configuration of a host.
type Settings struct {
	Hosts     int // hosts that share the pool, including this one
	Number    int // this host's number among them, from 0
	Zone      int // zone of this host
	Classes   []Class
	Plans     []Plan
	Rules     Rules
	Tick      Micros  // shortest time between two Steps
	Subscribe bool    // the node list is delivered only on request
	HeldPart  float64 // share of its time after which a request that was never sent is refused; 0: all of it
	// MaxVolumes is the number of volumes that the host should know at most; 0: no bound. Beyond it idle ones are dropped
	// sooner. Harm: the use that answers have told of them is forgotten.
	MaxVolumes     int
	MaxAttempts    int  // attempts allowed for one request; 0: no bound
	SecondCopies   bool // two attempts of a request may be in flight at once
	DrawnAtNode    bool // a request draws on its limit when it reaches a node, not at its Send
	ColdByCount    bool // what a cold node tolerates is counted in calls, regardless of the work they cause
	MayCancel      bool
	MayProbe       bool
	CoolDowns      bool    // refusals advise clients when to come back
	MaxCoolDown    Micros  // the longest wait that clients comply with
	UnitMean       float64 // mean units of a request; 0: not known
	UnitTop        float64 // largest units of a request; 0: not known
	UsePeriod      Micros  // period of the usage meter in answers; 0: no meter
	TellsElsewhere bool    // answers report what a shard served through other hosts
}

// NodeState is the state of a node in its life cycle.
type NodeState uint8

const (
	Gone NodeState = iota
	Ready
	Draining
)

// Node is one entry of the node list.
type Node struct {
	ID      NodeID
	Zone    int
	Cell    int    // shard that the node holds; a replacement holds the same one
	Started Micros // latest start of its process; 0: long ago
	Rating  float64
	State   NodeState
}

// Load is what a node reports about itself; a negative value was not reported.
type Load struct {
	Holds   float64 // requests at the node
	Waits   float64 // requests at the node that wait
	Busy    float64 // share of its CPU in use
	Service float64 // recent service time in milliseconds, without waiting
}

// NoLoad is the Load of an answer without a load report.
var NoLoad = Load{-1, -1, -1, -1}

// Outcome is the result of an attempt.
type Outcome uint8

const (
	OK            Outcome = iota // served
	Failed                       // the node reported an error; it may have run
	Full                         // rejected before it was read; never ran
	TimedOut                     // no answer in time; may have run or still be running
	ConnectFailed                // no connection; never ran
	Reset                        // the connection broke; may have run
	Cancelled                    // aborted; may have run
	NotSent                      // not sent; never ran
)

// Event is an input of a host. The events of one Step happen at the same time, in the given order.
type Event interface{ event() }

// Arrival is a new request, to which the host must give a final answer.
type Arrival struct {
	Request         RequestID
	Class           int
	Cell            int // shard that holds the data; negative: a new object, which any node may take
	Key             uint64
	Volume          VolumeID
	Plan            int
	Attached        float64 // number of hosts through which the volume's requests arrive
	Units           float64
	Deadline        Micros // when the client stops waiting for this attempt of its own
	EarlierAttempts int    // attempts made earlier under other ids, at cells with the same data
	HomeZoneOnly    bool   // a new object goes only to nodes of this host's zone
	SingleAttempt   bool   // the caller has an alternative: ended when one attempt fails or the aim cannot be met here
	NotBefore       Micros // time before which the request only has its place in the order of its key; 0: decided on at once
}

// StreamStarted reports that an answer has begun to stream: the request no longer has a deadline.
type StreamStarted struct {
	Request RequestID
	Attempt int
}

// AttemptEnded is the end of one Send; each Send gets exactly one.
type AttemptEnded struct {
	Request   RequestID
	Attempt   int // counts a request's Sends from zero
	Node      NodeID
	Outcome   Outcome
	Took      Micros
	Settled   bool // the request is finished; otherwise the host must still give an answer
	Used      int  // 1 + percent of the plan's rate served for the volume in a past period; 0: not reported
	Elsewhere int  // units that the shard served for the volume through other hosts since its last answer here
	Load      Load
}

// ClientGone reports that the client has left; no answer is needed any more.
type ClientGone struct{ Request RequestID }

// Shutdown announces the shutdown of the host: every request it holds must have its final answer by then.
type Shutdown struct{ Deadline Micros }

// TimerFired reports that the timer of a Wake has fired.
type TimerFired struct{ Token uint32 }

// ProbeEnded is the result of a Probe.
type ProbeEnded struct {
	Node    NodeID
	Outcome Outcome
	Took    Micros
	Load    Load
}

// ListKind states what a NodeList contains.
type ListKind uint8

const (
	ListCached ListKind = iota // the whole list as last known; may be out of date
	ListFull                   // the whole list
	ListDelta                  // changed entries only
	ListFailed                 // a fetch failed or the subscription ended; no entries
)

// CapacityChanged sets how many requests may be unanswered at this host; 0, the initial value, means no bound.
type CapacityChanged struct{ MaxUnanswered int }

// NodeList reports the nodes or changes of them.
type NodeList struct {
	Kind  ListKind
	Nodes []Node
}

func (Arrival) event()         {}
func (StreamStarted) event()   {}
func (AttemptEnded) event()    {}
func (ClientGone) event()      {}
func (Shutdown) event()        {}
func (TimerFired) event()      {}
func (ProbeEnded) event()      {}
func (CapacityChanged) event() {}
func (NodeList) event()        {}

// Action is something the caller must do. Actions happen at the time of the Step, in the given order.
type Action interface{ action() }

// Send starts an attempt.
type Send struct {
	Request RequestID
	Node    NodeID
	StopAt  Micros // when to time the attempt out; 0: when the client stops waiting
	By      Micros // it must be sent by then, or its node may no longer recognize the repeat; 0: no bound
}

// Abort cancels an attempt.
type Abort struct {
	Request RequestID
	Attempt int
}

// Refuse is a final answer: the request was refused and a retry does no harm.
type Refuse struct {
	Request    RequestID
	RetryAfter Micros // how long the client should wait before it retries; 0: no advice
}

// Fail is a final answer: the request failed and may have had an effect.
type Fail struct{ Request RequestID }

// Wake asks for a TimerFired.
type Wake struct {
	After Micros
	Token uint32
}

// Probe asks a node for its load report.
type Probe struct{ Node NodeID }

// Watch subscribes to changes of the node list.
type Watch struct{ On bool }

// Fetch asks for the whole node list once.
type Fetch struct{}

// Note is a message for the operators' log.
type Note struct{ Text string }

func (Send) action()   {}
func (Abort) action()  {}
func (Refuse) action() {}
func (Fail) action()   {}
func (Wake) action()   {}
func (Probe) action()  {}
func (Watch) action()  {}
func (Fetch) action()  {}
func (Note) action()   {}
