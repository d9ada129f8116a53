package members

import (
	"testing"

	"appleplank/logic"
)

// startedAt returns a target whose start discovery reports by its own clock.
func startedAt(id uint32, at logic.Micros) Target {
	t := target(id, logic.Ready)
	t.Started = at
	return t
}

// A start that is reported while the list is followed happened a moment ago, however far apart the clocks are.
func TestStartsWhereClocksAreApart(t *testing.T) {
	const now, hour, late = 100_000 * sec, 3600 * sec, 3 * sec
	for name, c := range map[string]struct {
		ahead    logic.Micros // offset of this machine's clock
		earliest logic.Micros // earliest start that is accepted, by this machine's clock
	}{
		"alike":        {0, now - late},
		"hour ahead":   {hour, now - late},
		"hour behind":  {-hour, now - late},
		"a bit behind": {-5 * sec, now - late},
	} {
		t.Run(name, func(t *testing.T) {
			f, _ := NewFollower(now-20*sec, Update{})
			old := startedAt(1, now-c.ahead-1000*sec)
			f.Receive(now-10*sec, Update{Revision: 1, Complete: true, Targets: []Target{old, target(2, logic.Ready)}}, true)
			changed, _, _ := f.Receive(now, Update{Revision: 2, Targets: []Target{startedAt(3, now-c.ahead-late)}}, false)
			found := false
			for _, n := range changed {
				if n.ID == 3 {
					found = true
					if n.Started < c.earliest || n.Started > now {
						t.Errorf("counts as started %d us ago, it was %d", now-n.Started, late)
					}
				}
			}
			if !found {
				t.Fatal("the change is not reported")
			}
			for _, x := range f.Targets() {
				if x.ID == 2 && x.Started != 0 {
					t.Errorf("a start long ago counts as started at %d", x.Started)
				}
				if want := min(old.Started, now-10*sec); x.ID == 1 && x.Started != want {
					t.Errorf("a target of the first list counts as started %d us from %d", x.Started-want, want)
				}
			}
		})
	}
}

// Clocks that agree leave starts as they are reported, even when they are reported late.
func TestStartsWhereClocksAgree(t *testing.T) {
	const now = 100_000 * sec
	f, _ := NewFollower(now-20*sec, Update{Targets: []Target{startedAt(1, now-30*sec)}})
	f.Receive(now-10*sec, Update{Revision: 1, Complete: true, Targets: []Target{startedAt(1, now-30*sec), startedAt(2, now-500*sec)}}, true)
	f.Receive(now, Update{Revision: 2, Targets: []Target{startedAt(3, now-20*sec), startedAt(4, now-sec)}}, false)
	want := map[logic.NodeID]logic.Micros{1: now - 30*sec, 2: now - 500*sec, 3: now - 20*sec, 4: now - sec}
	for _, x := range f.Targets() {
		if x.Started != want[x.ID] {
			t.Errorf("target %d counts as started %d us from what was reported", x.ID, x.Started-want[x.ID])
		}
	}
}

// An impossible start, for example by a target's own wrong clock, affects that target alone.
func TestWrongStartIsOneTargetsOwn(t *testing.T) {
	const now = 100_000 * sec
	for name, wrong := range map[string]logic.Micros{"ahead": now + 3600*sec, "behind": now - 3600*sec} {
		f, _ := NewFollower(now-20*sec, Update{})
		f.Receive(now-10*sec, Update{Revision: 1, Complete: true, Targets: []Target{startedAt(1, now-30*sec)}}, true)
		changed, _, _ := f.Receive(now, Update{Revision: 2, Targets: []Target{startedAt(2, wrong)}}, false)
		if len(changed) != 1 || changed[0].ID != 2 || changed[0].Started != now {
			t.Errorf("%s: %+v", name, changed)
		}
		if changed, _, _ := f.Receive(now+sec, Update{Revision: 3, Targets: []Target{startedAt(2, wrong)}}, false); len(changed) != 0 {
			t.Errorf("%s: reported again, it has changed: %+v", name, changed)
		}
	}
}

// A target that returns to the list while its entry is kept has not restarted.
func TestReturnedTargetHasNotStartedAnew(t *testing.T) {
	const now = 100_000 * sec
	f, _ := NewFollower(now-20*sec, Update{})
	f.Receive(now-10*sec, Update{Revision: 1, Complete: true, Targets: []Target{startedAt(1, now-900*sec), startedAt(2, now-900*sec)}}, true)
	f.Receive(now-5*sec, Update{Revision: 2, Complete: true, Targets: []Target{startedAt(2, now-900*sec)}}, false)
	changed, _, _ := f.Receive(now, Update{Revision: 3, Targets: []Target{startedAt(1, now-900*sec)}}, false)
	if len(changed) != 1 || changed[0].State != logic.Ready || changed[0].Started != now-900*sec {
		t.Errorf("%+v", changed)
	}
}
