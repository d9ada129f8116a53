package core

import (
	"appleplank/internal/drive"
	"appleplank/logic"
)

// Request is a request from the time its front hands it over until it is answered or its client has left. What its
// slices hold must stand until then.
type Request struct {
	Method, Target, ID, Once []byte // Once: the key by which targets drop repeats
	Body                     []byte

	Class, Plan, Cell int
	Block             uint64
	Volume            logic.VolumeID
	Attached, Units   float64
	Left              logic.Micros // patience from its last byte on
	Front             Front

	entry *entry
}

// Verdict is the kind of a final answer.
type Verdict uint8

const (
	Served  Verdict = iota
	Refused         // a retry does no harm
	Failed          // no promise
)

// Answer is a request's one final answer.
type Answer struct {
	Verdict  Verdict
	Body     []byte       // served: what the target made for it
	Kept     bool         // the body stands for good; else until the call returns
	CoolDown logic.Micros // refused: when a retry has a chance; 0: no advice
	Limited  bool         // refused: the plan's limit stands in the way
}

// Front is where requests come from. It is called while the core's lock is held and must not wait; the request is its
// own again.
type Front interface {
	Answer(now logic.Micros, r *Request, a Answer)
}

// Attempt is one send of a request, from Start until its end was brought and the back is Done with it.
type Attempt struct {
	drive.Attempt
	By   logic.Micros // it must have left by then, or not at all; 0: there is no such time
	Conn any          // the back's own

	e *entry
}

// Result is how an attempt ended.
type Result struct {
	Outcome   logic.Outcome
	Used      int // as in [logic.AttemptEnded]
	Elsewhere int
	Load      logic.Load
	Body      []byte // of an answer; stands until Done
	Kept      bool   // or for good
}

// Back carries attempts out. Its methods are called while the core's lock is held and must not wait.
type Back interface {
	// Start begins an attempt; its end is brought exactly once. The request stands only for the call.
	Start(now logic.Micros, a *Attempt, r *Request)
	// Drop gives an attempt up; its end is brought as of any other.
	Drop(a *Attempt)
	// Recall gives an attempt up that has not left whole; its end is brought as of any other.
	Recall(a *Attempt)
	// Done says that what its end brought was used.
	Done(now logic.Micros, a *Attempt)
	// Targets says where targets are from now on; those that are not named are gone.
	Targets(now logic.Micros, list []Place)
}

// Place is where a target is reached, and as what. An attempt that was meant for another place is not sent.
type Place struct {
	Node    logic.NodeID
	Address string
	Cell    int
	Started logic.Micros
	Takes   bool // new work: it does not drain
}
