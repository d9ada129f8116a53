package initiator

import (
	"appleplank/internal/nvme"
	"appleplank/logic"
)

// outcomeByStatus is the only mapping from the status of a command to a logic.Outcome. Full, NotSent and ConnectFailed
// guarantee that the command was not executed; a command with a status that is not listed may have been executed.
//
//	connection broke before its sending started     NotSent        (queue.go, failOutstanding)
//	connection broke after that                     Reset          (queue.go, failOutstanding)
//	not connected                                   ConnectFailed  (node.go, Start)
//	no free slot in the queues                      Full           (node.go, Start)
//	data incomplete or damaged                      Failed         (queue.go, handleCompletion)
var outcomeByStatus = map[nvme.Status]logic.Outcome{
	nvme.Success: logic.OK,

	// Temporary refusals that by the specification come before the command is executed.
	nvme.NamespaceNotReady: logic.Full,
	nvme.ANAInaccessible:   logic.Full,
	nvme.ANAPersistentLoss: logic.Full,
	nvme.ANATransition:     logic.Full,

	// Refused because of what the command asks for; this says nothing about the node's load.
	nvme.InvalidOpcode:    logic.NotSent,
	nvme.InvalidField:     logic.NotSent,
	nvme.InvalidNamespace: logic.NotSent,
	nvme.SGLLengthInvalid: logic.NotSent,
	nvme.LBAOutOfRange:    logic.NotSent,
	nvme.WriteProtected:   logic.NotSent,

	nvme.AbortRequested:   logic.Cancelled,
	nvme.AbortedSQDeleted: logic.Cancelled,
}

// outcomeOf returns the outcome of a command with status s, Failed if the status is not listed.
func outcomeOf(s nvme.Status) logic.Outcome {
	if o, ok := outcomeByStatus[s.Code()]; ok {
		return o
	}
	return logic.Failed
}

// neverRan reports whether an outcome guarantees that the command was not executed.
func neverRan(o logic.Outcome) bool {
	return o == logic.Full || o == logic.NotSent || o == logic.ConnectFailed
}

// combineOutcomes returns the outcome of an attempt whose commands ended with a and b: the one that guarantees least.
func combineOutcomes(a, b logic.Outcome) logic.Outcome {
	switch {
	case a == b || neverRan(a) && neverRan(b):
		return a
	case a == logic.OK && neverRan(b) || b == logic.OK && neverRan(a):
		return logic.Failed // part of the attempt was executed
	case a == logic.OK || neverRan(a):
		return b
	}
	return a
}
