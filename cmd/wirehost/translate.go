package main

import (
	"appleplank/internal/wire"
	"appleplank/logic"
)

var outcomes = map[uint8]logic.Outcome{
	10: logic.OK, 20: logic.Failed, 30: logic.Full, 40: logic.TimedOut,
	50: logic.ConnectFailed, 60: logic.Reset, 70: logic.Cancelled, 80: logic.NotSent,
}

var states = map[uint8]logic.NodeState{0: logic.Gone, 1: logic.Ready, 2: logic.Draining}

var listKinds = map[uint8]logic.ListKind{
	0: logic.ListCached, 1: logic.ListFull, 2: logic.ListFailed, 3: logic.ListDelta,
}

func (in *instance) decodeLoad(t *wire.Telemetry) logic.Load {
	l := logic.NoLoad
	for i := 0; i < t.N && i < len(in.fields); i++ {
		wire.AddLoad(&l, in.fields[i], float64(t.Values[i]))
	}
	return l
}

// translate converts an event of the protocol to one of package logic. It returns nil if logic has no such event.
func (in *instance) translate(e *wire.Event, lists map[uint16][]wire.Entry) logic.Event {
	switch e.Code {
	case wire.CodePeersKnown:
		list := logic.NodeList{Kind: wire.Known(listKinds, e.How, logic.ListFailed)}
		if list.Kind != logic.ListFailed {
			for _, n := range lists[e.Buffer] {
				list.Nodes = append(list.Nodes, logic.Node{
					ID: logic.NodeID(n.Target), Zone: int(n.Zone), Cell: int(n.Pack),
					Started: logic.Micros(n.Started), Rating: float64(n.Rating),
					State: wire.Known(states, n.State, logic.Draining),
				})
			}
		}
		return list
	case wire.CodeOrder:
		return logic.Arrival{
			Request: logic.RequestID(e.Request), Class: int(e.Lane), Cell: int(e.HomeCell), Key: e.Key,
			Volume: logic.VolumeID(e.Disk), Plan: int(e.Policy), Attached: float64(e.Attached),
			Units: float64(e.Units), Deadline: logic.Micros(e.DropDead),
		}
	case wire.CodeFirstByte:
		return logic.StreamStarted{Request: logic.RequestID(e.Request), Attempt: int(e.Attempt)}
	case wire.CodeFinished:
		return logic.AttemptEnded{
			Request: logic.RequestID(e.Request), Attempt: int(e.Attempt), Node: logic.NodeID(e.Target),
			Outcome: wire.Known(outcomes, e.Outcome, logic.Failed), Took: logic.Micros(e.Wait),
			Settled: e.Settled, Used: int(e.Used), Elsewhere: int(e.Elsewhere), Load: in.decodeLoad(&e.Load),
		}
	case wire.CodeTimedOutClient:
		return logic.ClientGone{Request: logic.RequestID(e.Request)}
	case wire.CodeFired:
		return logic.TimerFired{Token: e.Handle}
	case wire.CodeStatusBack:
		return logic.ProbeEnded{
			Node: logic.NodeID(e.Target), Outcome: wire.Known(outcomes, e.Outcome, logic.Failed),
			Took: logic.Micros(e.Wait), Load: in.decodeLoad(&e.Load),
		}
	}
	return nil // Mail: hosts do not communicate, so logic has no such event
}
