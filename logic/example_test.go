package logic_test

import (
	"fmt"

	"appleplank/logic"
)

// A minimal initiator passes events to Step and carries out the returned actions. One request is sent to the node
// that holds its shard; a request for a shard without a node is refused until a node for it is listed.
func Example() {
	host, err := logic.New(logic.Settings{
		Hosts:   2,
		Classes: []logic.Class{{Aim: 500_000, Deadline: 4_000_000, Worth: 2, Repeat: logic.Retryable}},
		Plans:   []logic.Plan{{Rate: 20, Reserve: 10, Weight: 1}},
	}, 42)
	if err != nil {
		panic(err)
	}
	do := func(now logic.Micros, events ...logic.Event) {
		for _, action := range host.Step(now, events, nil) {
			switch a := action.(type) {
			case logic.Send:
				fmt.Printf("%d us: send request %d to node %d\n", now, a.Request, a.Node)
			case logic.Refuse:
				fmt.Printf("%d us: refuse request %d\n", now, a.Request)
			case logic.Wake:
				// start a timer; pass TimerFired{a.Token} to Step when it fires
			}
		}
	}
	ask := func(id logic.RequestID, shard int) logic.Arrival {
		return logic.Arrival{Request: id, Cell: shard, Volume: 1, Attached: 1, Units: 1, Deadline: 4_000_000}
	}
	do(0, logic.NodeList{Kind: logic.ListFull, Nodes: []logic.Node{{ID: 7, Cell: 0, State: logic.Ready}}})
	do(1000, ask(1, 0), ask(2, 5))
	do(60_000, logic.AttemptEnded{Request: 1, Node: 7, Outcome: logic.OK, Took: 59_000, Settled: true,
		Load: logic.NoLoad})
	do(70_000, logic.NodeList{Kind: logic.ListDelta, Nodes: []logic.Node{{ID: 8, Cell: 5, State: logic.Ready}}})
	do(80_000, ask(3, 5))
	// Output:
	// 1000 us: refuse request 2
	// 1000 us: send request 1 to node 7
	// 80000 us: send request 3 to node 8
}
