package initiator

import (
	"appleplank/internal/nvme"
	"appleplank/logic"
)

// outcomes is the one table from a command's status to logic's words. What stands here as Full, Moot or
// ConnectFailed promises that the command did not run; everything that is not listed may have run.
//
//	connection broke before the capsule was begun   Moot           (node.go, sweep)
//	connection broke after that                     Reset          (node.go, sweep)
//	no connection stands                            ConnectFailed  (node.go, Start)
//	no place in the queues                          Full           (node.go, Start)
//	data came short or damaged                      Failed         (task.go)
var outcomes = map[nvme.Status]logic.Outcome{
	nvme.Success: logic.OK,

	// Refused by the specification's own words before it is executed, for now.
	nvme.NamespaceNotReady: logic.Full,
	nvme.ANAInaccessible:   logic.Full,
	nvme.ANAPersistentLoss: logic.Full,
	nvme.ANATransition:     logic.Full,

	// Refused because of what it asks; it says nothing of the node's load.
	nvme.InvalidOpcode:    logic.Moot,
	nvme.InvalidField:     logic.Moot,
	nvme.InvalidNamespace: logic.Moot,
	nvme.SGLLengthInvalid: logic.Moot,
	nvme.LBAOutOfRange:    logic.Moot,
	nvme.WriteProtected:   logic.Moot,

	nvme.AbortRequested:   logic.Cancelled,
	nvme.AbortedSQDeleted: logic.Cancelled,
}

func outcome(s nvme.Status) logic.Outcome {
	if o, ok := outcomes[s.Code()]; ok {
		return o
	}
	return logic.Failed
}

func neverRan(o logic.Outcome) bool {
	return o == logic.Full || o == logic.Moot || o == logic.ConnectFailed
}

// join is how an attempt ended whose parts ended so: as the part of which least is known.
func join(a, b logic.Outcome) logic.Outcome {
	switch {
	case a == b || neverRan(a) && neverRan(b):
		return a
	case a == logic.OK && neverRan(b) || b == logic.OK && neverRan(a):
		return logic.Failed // a part of it ran
	case a == logic.OK || neverRan(a):
		return b
	}
	return a
}
