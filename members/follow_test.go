package members

import (
	"fmt"
	"testing"

	"appleplank/logic"
)

func target(id uint32, state logic.NodeState) Target {
	return Target{Node: logic.Node{ID: logic.NodeID(id), State: state}, Name: fmt.Sprint("t", id), Address: fmt.Sprint("10.0.0.", id, ":1")}
}

// deliver applies the update and expects exactly the given targets to change, in order of ids.
func deliver(t *testing.T, f *Follower, n Update, first bool, changed ...logic.NodeID) {
	t.Helper()
	nodes, again, err := f.Receive(1*sec, n, first)
	if again || err != nil || len(nodes) != len(changed) {
		t.Fatalf("%+v, again %v, %v; want %v", nodes, again, err, changed)
	}
	for i, n := range nodes {
		if n.ID != changed[i] {
			t.Fatalf("%+v, want %v", nodes, changed)
		}
	}
}

func address(f *Follower, id logic.NodeID) string {
	for _, x := range f.Targets() {
		if x.ID == id && x.State != logic.Gone {
			return x.Address
		}
	}
	return ""
}

func TestFollow(t *testing.T) {
	f, first := NewFollower(0, Update{Revision: 41, Complete: true, Targets: []Target{target(1, logic.Ready), target(2, logic.Ready)}})
	if whole, after := f.NextRequest(); len(first) != 2 || whole || after != 41 {
		t.Fatal(first, whole, after)
	}
	deliver(t, f, Update{Revision: 43, Targets: []Target{target(2, logic.Draining), target(3, logic.Ready)}}, true, 2, 3)
	deliver(t, f, Update{Revision: 43, Targets: []Target{target(2, logic.Ready)}}, false) // a repeated delivery
	deliver(t, f, Update{Revision: 44, Targets: []Target{target(2, logic.Gone)}}, false, 2)
	if address(f, 2) != "" || address(f, 3) != "10.0.0.3:1" {
		t.Fatal("wrong addresses")
	}
	// Targets missing from a full list are removed.
	deliver(t, f, Update{Revision: 50, Complete: true, Targets: []Target{target(3, logic.Ready), target(4, logic.Ready)}}, true, 1, 4)
	// A changed address alone is a change.
	moved := target(3, logic.Ready)
	moved.Address = "10.9.9.9:1"
	deliver(t, f, Update{Revision: 51, Targets: []Target{moved}}, false, 3)
	if address(f, 3) != "10.9.9.9:1" {
		t.Fatal("the address has not changed")
	}
}

// After discovery has counted from the beginning again, changes alone would leave targets in use that are no longer
// listed, whether that happens at the start of a watch or during one.
func TestDiscoveryCountsAnew(t *testing.T) {
	for _, first := range []bool{true, false} {
		f, _ := NewFollower(0, Update{Revision: 41, Complete: true, Targets: []Target{target(1, logic.Ready), target(2, logic.Ready)}})
		changed, again, err := f.Receive(0, Update{Revision: 2, Targets: []Target{target(2, logic.Draining)}}, first)
		if whole, _ := f.NextRequest(); !again || !whole || err != nil || len(changed) != 0 {
			t.Fatal(changed, again, whole, err)
		}
		deliver(t, f, Update{Revision: 2, Complete: true, Targets: []Target{target(2, logic.Draining)}}, true, 1, 2)
		if whole, after := f.NextRequest(); whole || after != 2 {
			t.Fatal(whole, after)
		}
		deliver(t, f, Update{Revision: 3, Targets: []Target{target(2, logic.Gone)}}, false, 2)
	}
}

func TestEmptyAndDoubled(t *testing.T) {
	f, _ := NewFollower(0, Update{Revision: 41, Complete: true, Targets: []Target{target(1, logic.Ready)}})
	if changed, again, err := f.Receive(0, Update{Revision: 3, Complete: true}, true); len(changed) != 0 || again || err == nil {
		t.Fatal("an empty list must change nothing and must be complained about")
	}
	deliver(t, f, Update{Revision: 4, Targets: []Target{target(2, logic.Ready)}}, false, 2) // later changes build on its revision
	other := Target{Node: target(2, logic.Ready).Node, Name: "other"}
	changed, again, err := f.Receive(0, Update{Revision: 5, Targets: []Target{other, target(1, logic.Draining)}}, false)
	if again || err == nil || len(changed) != 1 || changed[0].ID != 1 {
		t.Fatal("a target with a duplicate id must not block others:", changed, again, err)
	}
	f.MarkIncomplete()
	if whole, _ := f.NextRequest(); !whole {
		t.Fatal("unread data must lead to a request for the full list")
	}
}

// An endless replacement of targets does not grow the table.
func TestReplacedTargetsAreForgotten(t *testing.T) {
	f, _ := NewFollower(0, Update{})
	now := logic.Micros(0)
	for i := uint32(1); i < 5000; i++ {
		now += 2 * sec
		list := []Target{target(i, logic.Ready)}
		if i > 1 {
			list = append(list, target(i-1, logic.Gone))
		}
		f.Receive(now, Update{Revision: uint64(i), Targets: list}, false)
		if len(f.targets) > 40 {
			t.Fatalf("%d held", len(f.targets))
		}
	}
}

// Data counts only from the newest discovery address that has delivered anything, and from later ones.
func TestLateListOfAnOldAddress(t *testing.T) {
	f, _ := NewFollower(0, Update{})
	if f.Delivered(1); !f.Accepts(1) || !f.Accepts(2) {
		t.Fatal("the old address must count until the new one has delivered something")
	}
	f.Delivered(3)
	f.Delivered(2)
	if f.Accepts(1) || f.Accepts(2) || !f.Accepts(3) {
		t.Fatal("an old address overrides a newer one")
	}
}

func TestSilenceAndPauses(t *testing.T) {
	f, _ := NewFollower(0, Update{})
	if at := TimeoutAt(19*sec, 0); at != 19*sec+callTimeout {
		t.Fatal("wrong timeout of a call without an answer:", at)
	}
	if at := TimeoutAt(0, 10*sec); at != 10*sec+watchTimeout {
		t.Fatal("wrong timeout of a silent watch:", at)
	}
	// Two empty lines may be late before a watch is given up. Any change takes effect in time: a watch falls silent, or
	// a call begins just before discovery can be reached, followed by the longest delay and a slow call.
	if watchTimeout < 2*heartbeat || watchTimeout+maxRetryDelay+callTimeout > maxNewsDelay || 2*callTimeout+maxRetryDelay > maxNewsDelay {
		t.Fatal(watchTimeout, maxRetryDelay, callTimeout)
	}
	// A watch that delivers something unusable and ends is not renewed in a tight loop.
	last := logic.Micros(-1)
	for i := range 20 {
		p := f.WatchEnded(20*sec, 20*sec-ms)
		if (i == 0) != (p == 0) || p < last || p > maxRetryDelay {
			t.Fatal(i, p)
		}
		last = p
	}
	if f.WatchEnded(40*sec, 30*sec) != 0 {
		t.Fatal("a watch that lasted long must be renewed at once")
	}
}
