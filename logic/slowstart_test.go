package logic

import "testing"

// TestRestartedHostSendsAColdNodeNoSecondPart: a process does not know what its predecessor has just sent a cold node;
// the host's share of an overload time must be sent only once.
func TestRestartedHostSendsAColdNodeNoSecondPart(t *testing.T) {
	set := coldSettings()
	set.Hosts, set.UnitMean, set.Rules.ColdUnits = 3, 2, 30
	const hostShare = 10 // units of 30 that each of three hosts may send in an overload time
	var at []Micros      // of each unit sent
	now := 100 * sec
	started := now - 50*ms
	for _, lifetime := range []Micros{200 * ms, 100 * ms, 300 * ms, 1500 * ms} {
		now += 50 * ms // between the kill of one process and the start of the next
		h, err := New(set, 1)
		if err != nil {
			t.Fatal(err)
		}
		h.Step(now, []Event{NodeList{Kind: ListFull, Nodes: []Node{{ID: 1, State: Ready, Started: started}}}}, nil)
		id := RequestID(0)
		for end := now + lifetime; now < end; now += 5 * ms {
			id++
			arrival := Arrival{Request: id, Cell: 0, Volume: VolumeID(id), Plan: 3, Attached: 1, Units: 1, Deadline: now + sec}
			for _, sent := range sends(h.Step(now, []Event{arrival}, nil)) {
				at = append(at, now)
				h.Step(now, []Event{AttemptEnded{Request: sent, Node: 1, Outcome: Failed, Load: NoLoad}}, nil)
			}
		}
	}
	if len(at) == 0 {
		t.Fatal("nothing was sent")
	}
	for i, first := range at {
		units := 0
		for _, x := range at[i:] {
			if x < first+set.Rules.OverloadTime {
				units++
			}
		}
		if units > hostShare+2 { // the share grows a little within the overload time
			t.Fatalf("%d units in the window from %d, the host's part is %d", units, first, hostShare)
		}
	}
}

// TestUnansweredSendsStillCountAtAColdNode: an unanswered request sent to a cold node before the overload time may
// arrive within it.
func TestUnansweredSendsStillCountAtAColdNode(t *testing.T) {
	set := coldSettings()
	set.Hosts, set.UnitMean = 2, 1
	b := newFixture(t, set, 1)
	b.advance(sec)
	b.step(NodeList{Kind: ListDelta, Nodes: []Node{{ID: 1, State: Ready, Started: b.now}}})
	first := sends(b.step(b.arrival(1, 0, units(2)), b.arrival(1, 0, units(1))))
	if len(first) != 2 {
		t.Fatalf("sent %v of a part of 3 units", first)
	}
	for range 20 {
		a := b.arrival(1, 0, units(1))
		if got := sends(b.after(60*ms, a)); len(got) != 0 {
			t.Fatalf("sent %v while 3 units, a whole part, may still arrive", got)
		}
		b.step(ClientGone{a.Request})
	}
}
