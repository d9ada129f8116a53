package core

import (
	"appleplank/internal/drive"
	"appleplank/logic"
)

// Request is a client's request. The core uses it from the time its front submits it until it is answered or its client
// has left; the front must not change the contents of its slices until then.
type Request struct {
	Method, Target, ID, IdempotencyKey []byte // IdempotencyKey lets targets detect repeated requests
	Body                               []byte

	Class, Plan, Cell int
	Block             uint64
	Volume            logic.VolumeID
	Attached, Units   float64
	Timeout           logic.Micros // how long the client waits, from the request's last byte on
	Waited            logic.Micros // how long ago the last byte arrived when the request was submitted
	NotBefore         logic.Micros // as in [logic.Arrival]
	Front             Front

	entry *entry
}

// Verdict is the kind of final answer that a request gets.
type Verdict uint8

const (
	Served  Verdict = iota
	Refused         // a retry is safe
	Failed          // the request may or may not have taken effect
)

// Answer is the final answer to a request. Each request gets one.
type Answer struct {
	Verdict    Verdict
	Body       []byte       // served: the body of the target's answer
	BodyStable bool         // the body stays valid; otherwise only until Front.Answer returns
	CoolDown   logic.Micros // refused: after which a retry may succeed; 0: unknown
	Limited    bool         // refused: the plan's limit is used up
	Sent       bool         // an attempt was begun, so the request may have run
}

// Front is the source of requests. Answer delivers the final answer to one of its requests and hands the request back
// to the front. It is called while the core's lock is held and must not block.
type Front interface {
	Answer(now logic.Micros, r *Request, a Answer)
}

// Attempt is one send of a request. It is valid from [Back].Start until [Back].Release.
type Attempt struct {
	drive.Attempt
	SendDeadline logic.Micros // it must be sent completely by then, or not at all; 0: no bound
	Conn         any          // set and used by the back only

	e *entry
}

// Result describes how an attempt ended.
type Result struct {
	Outcome    logic.Outcome
	Used       int // as in [logic.AttemptEnded]
	Elsewhere  int
	Load       logic.Load
	Body       []byte // of an answer; valid until [Back].Release
	BodyStable bool   // the body stays valid after Release
}

// Back sends attempts to targets. Its methods are called while the core's lock is held and must not block. It reports
// the end of each attempt that was started exactly once, by [Shell.Ended].
type Back interface {
	// Start begins an attempt. The request is valid only during the call.
	Start(now logic.Micros, a *Attempt, r *Request)
	// Cancel cancels an attempt; its end is still reported.
	Cancel(a *Attempt)
	// CancelUnsent cancels an attempt unless it is sent completely; its end is still reported.
	CancelUnsent(a *Attempt)
	// Release is called when the result of an attempt is no longer used; the attempt is reused afterwards.
	Release(now logic.Micros, a *Attempt)
	// SetTargets replaces the list of targets; targets that are not listed are gone.
	SetTargets(now logic.Micros, list []Endpoint)
}

// Endpoint identifies a running target and its address. An attempt is not sent if the endpoint of its target has
// changed since the attempt was started.
type Endpoint struct {
	Node        logic.NodeID
	Address     string
	Cell        int
	Started     logic.Micros
	AcceptsWork bool // accepts new work: it is not draining
}
