package logic

import "testing"

// TestLateArrivalRefillsNoSlice: once a request has arrived, a host's share of the limit must not refill for the time
// the request was on its way.
func TestLateArrivalRefillsNoSlice(t *testing.T) {
	for name, onItsWay := range map[string]Micros{"for a moment": 300 * ms, "for long": 2 * sec} {
		t.Run(name, func(t *testing.T) {
			s := testSettings()
			s.DrawnAtNode = true
			s.Classes[0].Aim, s.Classes[0].Deadline = 20*sec, 20*sec
			plan := s.Plans[2]
			b := newFixture(t, s, 20)
			b.advance(10 * sec) // the share is full, and so is the limit's own bucket
			late := b.arrival(0, 2, units(6), cell(0), attached(1))
			late.Deadline += 10 * sec
			if len(sends(b.step(late))) != 1 {
				t.Fatal("not sent")
			}
			b.advance(onItsWay)
			b.step(attemptEnded(late.Request, 0, 1, OK)) // its node has just seen it
			b.drainLimit(plan.LimitBurst - 6)
		})
	}
}

// TestEarlyAnswerRefillsNoSlice: an answer to a request that was not sent completely does not show that it arrived: its
// units still count as pending.
func TestEarlyAnswerRefillsNoSlice(t *testing.T) {
	for name, early := range map[string]Outcome{"turned away": Full, "failed": Failed} {
		t.Run(name, func(t *testing.T) {
			s := testSettings()
			s.DrawnAtNode = true
			s.Classes[0].Aim, s.Classes[0].Deadline = 20*sec, 20*sec
			b := newFixture(t, s, 20)
			b.advance(10 * sec)
			late := b.arrival(0, 2, units(6), cell(0), attached(1))
			b.step(late)
			again := b.step(attemptEnded(late.Request, 0, 1, early))
			for range 100 {
				if len(sends(again)) == 0 {
					again = b.after(10*ms, TimerFired{b.h.token})
				}
			}
			if len(sends(again)) == 0 {
				t.Fatal("not sent again within a second")
			}
			b.advance(sec)
			b.step(attemptEnded(late.Request, 1, 1, OK)) // its node has just seen it
			b.drainLimit(s.Plans[2].LimitBurst - 6)
		})
	}
}

// TestUnitsOnTheWayOutliveTheProcess: attempts in flight when another process takes over may still arrive.
func TestUnitsOnTheWayOutliveTheProcess(t *testing.T) {
	s := testSettings()
	s.DrawnAtNode = true
	s.Classes[0].Aim, s.Classes[0].Deadline = 20*sec, 20*sec
	first := newFixture(t, s, 20)
	first.advance(10 * sec)
	first.step(first.arrival(0, 2, units(6), cell(0), attached(1)))
	b := &fixture{t: t, now: first.now}
	var err error
	if b.h, err = New(s, 2); err != nil {
		t.Fatal(err)
	}
	if err := b.h.Restore(b.now, first.h.Snapshot(first.now)); err != nil {
		t.Fatal(err)
	}
	list := NodeList{Kind: ListFull}
	for i := range 20 {
		list.Nodes = append(list.Nodes, Node{ID: NodeID(i + 1), Cell: i, State: Ready})
	}
	b.step(list)
	b.advance(2 * sec)
	b.drainLimit(s.Plans[2].LimitBurst - 6) // its node has just seen it
}

// TestUnitsGivenUpAreForgotten: the records of abandoned units are bounded by what a share can send while they are
// kept.
func TestUnitsGivenUpAreForgotten(t *testing.T) {
	s := testSettings()
	s.DrawnAtNode = true
	b := newFixture(t, s, 20)
	plan := s.Plans[2]
	bound := int(plan.LimitBurst + plan.LimitSlack + plan.Limit*seconds(maxArrivalDelay))
	maxKept := 0
	for i := range 600 {
		for _, id := range sends(b.after(100*ms, b.arrival(0, 2, units(1), cell(i%20), attached(1), key(0)))) {
			b.step(ClientGone{id}, attemptEnded(id, 0, NodeID(i%20+1), TimedOut))
		}
		maxKept = max(maxKept, len(b.h.abandoned))
	}
	if maxKept > bound || maxKept < 5 {
		t.Errorf("%d given-up requests kept, at most %d of one unit can have left", maxKept, bound)
	}
	b.advance(maxArrivalDelay + sec)
	if v := b.h.volumes[2]; len(b.h.abandoned) > 0 || v.abandoned != 0 {
		t.Errorf("%d still kept, %v units", len(b.h.abandoned), v.abandoned)
	}
}

// TestLimitIsSharedAmongAllHostsThatARequestNames: a request may name more hosts than the settings, if the fleet has
// grown since.
func TestLimitIsSharedAmongAllHostsThatARequestNames(t *testing.T) {
	b := newFixture(t, testSettings(), 20) // the settings know of two hosts
	b.advance(10 * sec)
	sent := 0.0
	for i := range 20 {
		sent += float64(len(sends(b.step(b.arrival(0, 2, units(1), cell(i), attached(5), key(0))))))
	}
	if plan := b.h.settings.Plans[2]; sent > (plan.LimitBurst+plan.LimitSlack)/5 || sent == 0 {
		t.Errorf("%v units sent, this host's part of five is %v", sent, (plan.LimitBurst+plan.LimitSlack)/5)
	}
}

// drainLimit sends requests of plan 2 until no more are sent, and checks that the limit's bucket, which is at the given
// level, is used up and not exceeded.
func (b *fixture) drainLimit(store float64) {
	b.t.Helper()
	for i := 1; i < 20; i++ {
		for _, id := range sends(b.step(b.arrival(0, 2, units(2), cell(i), attached(1), key(0)))) {
			store -= 2
			b.step(attemptEnded(id, 0, NodeID(i+1), OK))
		}
	}
	if slack := b.h.settings.Plans[2].LimitSlack; store < -slack {
		b.t.Errorf("the limit's store is at %v, its slack is %v", store, slack)
	}
	if store > 2 {
		b.t.Errorf("%v units of the limit were left unused", store)
	}
}
