package members

import (
	"strings"
	"testing"

	"appleplank/logic"
)

func twoNodes(directory bool) *Members {
	return New([]Known{{ID: 2, NQN: "b", Address: "b:1", Cell: 1}, {ID: 1, NQN: "a", Address: "a:1", Cell: 0}}, directory)
}

func states(m *Members) map[logic.NodeID]logic.NodeState {
	got := map[logic.NodeID]logic.NodeState{}
	for _, n := range m.Changes(nil) {
		got[n.ID] = n.State
	}
	return got
}

func TestWithoutDirectory(t *testing.T) {
	m := twoNodes(false)
	news := m.Changes(nil)
	if len(news) != 2 || news[0].ID != 1 || news[0].State != logic.Ready || m.Address(2) != "b:1" {
		t.Fatalf("%+v", news)
	}
	if again := m.Changes(nil); len(again) != 0 {
		t.Errorf("reported twice: %+v", again)
	}
}

// The faults of a directory, in one sequence.
func TestDirectory(t *testing.T) {
	m := twoNodes(true)
	if got := states(m); len(got) != 0 || m.Address(1) != "" {
		t.Errorf("nodes %v in use before the directory listed them", got)
	}
	list := func(session int, gen uint64, want string, names ...string) {
		t.Helper()
		var es []Entry
		for _, n := range names {
			es = append(es, Entry{n, ""})
		}
		if c := m.ApplyList(session, gen, es); want == "" && c != "" || !strings.Contains(c, want) {
			t.Errorf("complaint %q, want %q", c, want)
		}
	}
	list(1, 5, "", "a", "b")
	if got := states(m); got[1] != logic.Ready || got[2] != logic.Ready {
		t.Errorf("%v after the first list", got)
	}
	list(1, 6, "names no node")
	list(1, 6, "none of the settings", "x")
	if got := states(m); len(got) != 0 {
		t.Errorf("an empty list changed %v", got)
	}
	list(1, 7, "", "a")
	if got := states(m); len(got) != 1 || got[2] != logic.Gone {
		t.Errorf("%v, want node 2 gone", got)
	}
	list(1, 5, "comes after", "a", "b") // an older page that was overtaken
	if got := states(m); len(got) != 0 {
		t.Errorf("a stale list changed %v", got)
	}
	list(2, 1, "", "a", "b") // a restarted directory
	if got := states(m); got[2] != logic.Ready {
		t.Errorf("%v, want node 2 back", got)
	}
	list(2, 2, `names "y"`, "a", "b", "y")
	list(2, 3, "", "a", "b", "y") // complained about only once
	if c := m.ApplyList(2, 4, []Entry{{"a", "a:9"}, {"b", ""}}); c != "" || m.Address(1) != "a:9" || m.Address(2) != "b:1" {
		t.Errorf("addresses %q %q, %q", m.Address(1), m.Address(2), c)
	}
}

func TestStarted(t *testing.T) {
	m := twoNodes(false)
	started := func() logic.Micros { return m.find(1).started }
	m.Reached(1, 100, -1)
	if started() != 0 {
		t.Errorf("a node never refused counts as started at %d", started())
	}
	m.Refused(1, 5_000_000)
	m.Reached(1, 6_000_000, -1)
	if started() != 6_000_000 {
		t.Errorf("a node that came back counts as started at %d, want when it was reached", started())
	}
	m.Reached(1, 90_000_000, 10_000_000)
	if started() != 80_000_000 {
		t.Errorf("started %d, want what it reported", started())
	}
	m.Changes(nil)
	m.Reached(1, 95_000_000, 14_900_000)
	if news := m.Changes(nil); len(news) != 0 {
		t.Errorf("the same start reported a little later counts as a change: %+v", news)
	}
	m.Reached(1, 96_000_000, 10_000)
	if news := m.Changes(nil); len(news) != 1 || news[0].Started != 95_990_000 {
		t.Errorf("a new start is not reported: %+v", news)
	}
}

func TestDraining(t *testing.T) {
	m := twoNodes(false)
	m.Changes(nil)
	m.SetDraining(2, true)
	if got := states(m); len(got) != 1 || got[2] != logic.Draining {
		t.Errorf("%v, want 2 draining", got)
	}
	m.SetDraining(2, false)
	m.SetDraining(9, true)
	if got := states(m); len(got) != 1 || got[2] != logic.Ready {
		t.Errorf("%v, want 2 ready again", got)
	}
}

// What an earlier process knew stays until something different is reported, before or after the restore.
func TestRemember(t *testing.T) {
	m := twoNodes(false)
	m.Reached(1, 50_000_000, 10_000_000)
	m.Reached(2, 50_000_000, 10_000_000)
	m.Restore(50_000_000, []Memory{{ID: 1, Started: 10_200_000, Refused: logic.Never}, {ID: 2, Started: 30_000_000, Refused: logic.Never}, {ID: 9}})
	if a, b := m.find(1).started, m.find(2).started; a != 39_800_000 || b != 40_000_000 {
		t.Errorf("started %d and %d; want the restored one where it is the same start, the reported one where it is not", a, b)
	}
	m.Changes(nil)
	m.Reached(1, 51_000_000, 11_000_000)
	if news := m.Changes(nil); len(news) != 0 {
		t.Errorf("the same start counts as a change: %+v", news)
	}
	if got := m.Snapshot(51_000_000); len(got) != 2 || got[0].Started != 11_200_000 || got[0].Refused != logic.Never {
		t.Errorf("%+v", got)
	}
}
