// Package logic decides what one host (initiator) of a shared disk pool does with the requests it
// takes: which leaves next, to which storage node, when it is tried again and when it is refused.
// It holds no clock, goroutine or I/O: the caller hands events to [Host.Step] and carries out the
// actions that come back. This file is the interface; logic.go, limit.go, slowstart.go and
// retrybudget.go hold the decisions.
package logic

// Micros is a point on the caller's clock or a length of time, in microseconds. The clock may start
// anywhere but only goes forward.
type Micros int64

// RequestID names a request; an id is never used twice.
type RequestID uint64

// NodeID names a storage node; it stays the same when the node's process restarts.
type NodeID uint32

// VolumeID names a volume.
type VolumeID uint64

// Repeat says whether a class may run more than once.
type Repeat uint8

const (
	Retryable Repeat = iota // any number of runs does no harm
	Dedup                   // nodes of one group drop a repeat while they remember it
	Fragile                 // must never run twice
)

// Group says which nodes drop each other's repeats of a Dedup request.
type Group uint8

const (
	GroupAll  Group = iota // every node
	GroupZone              // the nodes of one zone
	GroupCell              // the nodes of one shard
)

// Class is a kind of request.
type Class struct {
	Aim          Micros // an answer within this earns its full worth
	AimPerWork   bool   // the aim grows with a request's work; the deadline bounds it
	Deadline     Micros // the client's patience over all its tries
	Worth        float64
	LateShare    float64 // part of the worth left to an answer past the aim
	Repeat       Repeat
	Group        Group  // Dedup: who drops repeats
	RepeatWindow Micros // Dedup: for how long, from the send of the first attempt that may have run
	InOrder      bool   // requests with one key run one at a time, in the order taken
	Stream       bool   // the answer is a stream
	Writes       bool
}

// Plan is what a volume has bought; its figures hold over all hosts and nodes together.
type Plan struct {
	Rate       float64 // units a second the volume is sized for
	Reserve    float64 // units a second that are reserved; 0: none
	Weight     float64 // share of what is left beyond the reserves
	Price      float64
	Limit      float64 // units a second that must not be passed; 0: no limit
	LimitBurst float64 // most units the limit's store holds
	LimitSlack float64 // units the store may go below zero
}

// Rules are the figures of the rules a host must keep. A zero means that the rule does not apply.
type Rules struct {
	AnswerSlack   Micros  // a final answer may come this much after the deadline
	StopSending   Micros  // grace before sends to a draining or gone node must have ended
	AskWithin     Micros  // subscribe mode: longest time without a subscription or an ask
	ColdFrom      float64 // part of its capacity a node starts with, at least
	ColdTime      Micros  // a node is warm after this, at the latest
	ColdUnits     float64 // units within OverloadTime a cold node always bears, from all hosts together
	OverloadTime  Micros
	TipMultiple   float64 // more than so many times its present capacity for OverloadTime pushes it over
	OrderPause    Micros  // rest of a key after an attempt that may still run
	BudgetWindow  Micros  // further attempts are counted over this time; 0: no budget
	BudgetFree    float64 // further attempts always allowed in the window
	BudgetPerTake float64 // and so many more for each request taken in it
}

// Settings is what a host is told when it starts.
type Settings struct {
	Hosts          int // hosts that share the pool, this one included
	Number         int // this host's number among them, from 0
	Zone           int // zone of this host
	Classes        []Class
	Plans          []Plan
	Rules          Rules
	Tick           Micros  // shortest time between two Steps
	Subscribe      bool    // the node list comes only when asked for
	HeldPart       float64 // part of its time after which a request that never left is better refused; 0: all of it
	MaxAttempts    int     // attempts allowed for one request; 0: no bound
	SecondCopies   bool    // two attempts of a request may be out at once
	DrawnAtNode    bool    // a request draws on its limit when it reaches a node, not with its Send
	ColdByCount    bool    // what a cold node bears is counted in calls, whatever it can do with them
	MayCancel      bool
	MayProbe       bool
	CoolDowns      bool    // clients are told when to come back
	MaxCoolDown    Micros  // the longest wait a client follows
	UnitMean       float64 // mean units of a request; 0: not told
	UnitTop        float64 // most units of a request; 0: not told
	UsePeriod      Micros  // period of the use meter in answers; 0: no meter
	TellsElsewhere bool    // answers tell what a shard served through other hosts
}

// NodeState is a node's place in its life.
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
	Cell    int    // shard the node holds; a replacement holds the same
	Started Micros // last start of its process; 0: long ago
	Rating  float64
	State   NodeState
}

// Load is what a node reports of itself; a value below zero was not reported.
type Load struct {
	Holds   float64 // requests at the node
	Waits   float64 // of these, those that wait
	Busy    float64 // part of its CPU in use
	Service float64 // recent service time in milliseconds, without waiting
}

// NoLoad is the Load of an answer that carried no report.
var NoLoad = Load{-1, -1, -1, -1}

// Outcome is how an attempt ended.
type Outcome uint8

const (
	OK            Outcome = iota // served
	Failed                       // the node reported an error; it may have run
	Full                         // turned away unseen; never ran
	TimedOut                     // no answer in time; may have run or run on
	ConnectFailed                // no connection; never ran
	Reset                        // the connection broke; may have run
	Cancelled                    // called off; may have run
	Moot                         // not sent; never ran
)

// Event is something a host learns. The events of one Step happen at the same time, in their order.
type Event interface{ event() }

// Arrival is a request that the host takes and now owes a final answer.
type Arrival struct {
	Request  RequestID
	Class    int
	Cell     int // shard that holds the data; below zero: a new object, any node may take it
	Key      uint64
	Volume   VolumeID
	Plan     int
	Attached float64 // hosts through which the volume's requests come
	Units    float64
	DropDead Micros // when the client stops waiting for this try
	Tried    int    // attempts made before under other ids, at cells that hold the same
	Home     bool   // a new object: only to nodes of this host's zone
	Once     bool   // its caller has another place: given up when one attempt fails or the aim is missed here
}

// StreamStarted says that an answer has begun to stream: the request has no deadline any more.
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
	Settled   bool // the request is over; otherwise the host still owes an answer
	Used      int  // 1 + percent of the plan's rate served for the volume in a past period; 0: not told
	Elsewhere int  // units the shard served for the volume through other hosts since its last answer here
	Load      Load
}

// ClientGone says that the client has left; no answer is owed any more.
type ClientGone struct{ Request RequestID }

// Ending says that the host ends: whatever it holds must have its final answer by then.
type Ending struct{ By Micros }

// TimerFired is the end of a Wake.
type TimerFired struct{ Token uint32 }

// ProbeEnded is the result of a Probe.
type ProbeEnded struct {
	Node    NodeID
	Outcome Outcome
	Took    Micros
	Load    Load
}

// ListKind says what a NodeList carries.
type ListKind uint8

const (
	ListCached ListKind = iota // the whole list as last known; may be old
	ListFull                   // the whole list
	ListDelta                  // changed entries only
	ListFailed                 // an ask failed or the subscription broke
)

// RoomChanged says how many requests may be owed an answer here from now on; 0, as at the start: no bound.
type RoomChanged struct{ Room int }

// NodeList is news of the nodes.
type NodeList struct {
	Kind  ListKind
	Nodes []Node
}

func (Arrival) event()       {}
func (StreamStarted) event() {}
func (AttemptEnded) event()  {}
func (ClientGone) event()    {}
func (Ending) event()        {}
func (TimerFired) event()    {}
func (ProbeEnded) event()    {}
func (RoomChanged) event()   {}
func (NodeList) event()      {}

// Action is something the caller must do. Actions happen at the Step's time, in their order.
type Action interface{ action() }

// Send starts an attempt.
type Send struct {
	Request RequestID
	Node    NodeID
	StopAt  Micros // give up then; 0: when the client stops waiting
	By      Micros // it must leave by then, or its node may not know the first one any more; 0: no bound
}

// Abort calls an attempt off.
type Abort struct {
	Request RequestID
	Attempt int
}

// Deny is a final answer: refused, and a retry does no harm.
type Deny struct {
	Request  RequestID
	CoolDown Micros // how long the client should wait before it comes back; 0: no advice
}

// Surrender is a final answer: failed, with no promise.
type Surrender struct{ Request RequestID }

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

// Note is a line for the operators' log.
type Note struct{ Text string }

func (Send) action()      {}
func (Abort) action()     {}
func (Deny) action()      {}
func (Surrender) action() {}
func (Wake) action()      {}
func (Probe) action()     {}
func (Watch) action()     {}
func (Fetch) action()     {}
func (Note) action()      {}
