package members

import (
	"fmt"
	"testing"

	"appleplank/logic"
)

func target(id uint32, state logic.NodeState) Target {
	return Target{Node: logic.Node{ID: logic.NodeID(id), State: state}, Name: fmt.Sprint("t", id), Address: fmt.Sprint("10.0.0.", id, ":1")}
}

func told(t *testing.T, f *Follow, n News, first bool, want Verdict, changed ...logic.NodeID) {
	t.Helper()
	v, nodes, _ := f.Told(1*sec, n, first)
	if v != want || len(nodes) != len(changed) {
		t.Fatalf("verdict %d, %+v; want %d, %v", v, nodes, want, changed)
	}
	for i, n := range nodes {
		if n.ID != changed[i] {
			t.Fatalf("%+v, want %v", nodes, changed)
		}
	}
}

func TestFollow(t *testing.T) {
	f, first := NewFollow(0, News{Revision: 41, Complete: true, Targets: []Target{target(1, logic.Ready), target(2, logic.Ready)}})
	if len(first) != 2 || f.After() != 41 {
		t.Fatal(first, f.After())
	}
	told(t, f, News{Revision: 43, Targets: []Target{target(2, logic.Draining), target(3, logic.Ready)}}, true, Taken, 2, 3)
	told(t, f, News{Revision: 43, Targets: []Target{target(2, logic.Ready)}}, false, Old) // told twice
	told(t, f, News{Revision: 42, Targets: []Target{target(2, logic.Ready)}}, false, Old) // overtaken
	told(t, f, News{Revision: 44, Targets: []Target{target(2, logic.Gone)}}, false, Taken, 2)
	if f.Address("t2") != "" || f.Address("t3") != "10.0.0.3:1" {
		t.Fatal("addresses")
	}
	// A whole list says by what is missing that it is gone.
	told(t, f, News{Revision: 50, Complete: true, Targets: []Target{target(3, logic.Ready), target(4, logic.Ready)}}, true, Taken, 1, 4)
	// An address that changes is news, though nothing else does.
	moved := target(3, logic.Ready)
	moved.Address = "10.9.9.9:1"
	told(t, f, News{Revision: 51, Targets: []Target{moved}}, false, Taken, 3)
	if f.Address("t3") != "10.9.9.9:1" {
		t.Fatal("moved")
	}
}

// Changes alone from a discovery that counts anew would leave targets that nobody names any more in use.
func TestDiscoveryCountsAnew(t *testing.T) {
	f, _ := NewFollow(0, News{Revision: 41, Complete: true, Targets: []Target{target(1, logic.Ready), target(2, logic.Ready)}})
	told(t, f, News{Revision: 2, Targets: []Target{target(2, logic.Ready)}}, true, AskAnew)
	told(t, f, News{Revision: 2, Complete: true, Targets: []Target{target(2, logic.Ready)}}, true, Taken, 1)
	if f.After() != 2 {
		t.Fatal(f.After())
	}
	told(t, f, News{Revision: 3, Targets: []Target{target(2, logic.Draining)}}, false, Taken, 2)
}

func TestEmptyAndDoubled(t *testing.T) {
	f, _ := NewFollow(0, News{Revision: 41, Complete: true, Targets: []Target{target(1, logic.Ready)}})
	if v, _, err := f.Told(0, News{Revision: 42, Complete: true}, true); v != Old || err == nil {
		t.Fatal("an empty list stops all work")
	}
	if v, _, err := f.Told(0, News{Revision: 42, Targets: []Target{target(5, logic.Ready), {Node: target(5, logic.Ready).Node, Name: "other"}}}, false); v != AskAnew || err == nil {
		t.Fatal("two that cannot be told apart")
	}
}

// Targets replaced by new ones for ever leave nothing behind.
func TestReplacedTargetsAreForgotten(t *testing.T) {
	f, _ := NewFollow(0, News{})
	now := logic.Micros(0)
	for i := uint32(1); i < 5000; i++ {
		now += 2 * sec
		list := []Target{target(i, logic.Ready)}
		if i > 1 {
			list = append(list, target(i-1, logic.Gone))
		}
		f.Told(now, News{Revision: uint64(i), Targets: list}, false)
		if len(f.targets) > 40 {
			t.Fatalf("%d held", len(f.targets))
		}
	}
}

func TestSilenceAndPauses(t *testing.T) {
	f, _ := NewFollow(0, News{})
	f.Heard(10 * sec)
	if up, next := f.Silent(12*sec, 0); up || next != 10*sec+silentWatch {
		t.Fatal(up, next)
	}
	if up, _ := f.Silent(10*sec+silentWatch, 0); !up {
		t.Fatal("silent for long")
	}
	if up, _ := f.Silent(20*sec, 19*sec); up {
		t.Fatal("a new watch has its own time")
	}
	last := logic.Micros(-1)
	for i := range 20 {
		p := f.Ended()
		if i == 0 && p != 0 || p < last || p > mostAsk {
			t.Fatal(i, p)
		}
		last = p
	}
	f.Heard(30 * sec)
	if f.Ended() != 0 {
		t.Fatal("a watch that told something is asked for again at once")
	}
}
