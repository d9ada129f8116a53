package main

import (
	"fmt"
	"time"
)

const (
	// changeCounts is the time after which a change counts as told at the latest, from when discovery had it and could
	// be reached. It goes before all older sentences.
	changeCounts = 6 * time.Second
	// grace is the time in which sends to a draining target must stop (stopSendingWithinUs of the settings), with the
	// 50 ms by which every time limit on sockets is longer.
	grace = 300 * time.Millisecond
	// heldUp is the time for which a machine may be held up between a decision and its write.
	heldUp = 150 * time.Millisecond
)

// fleet is a small fleet of targets, one for each shard.
func (r *run) fleet(n int) (targets []*target, err error) {
	for i := range n {
		t, err := r.newTarget(fmt.Sprintf("s-5be2a%03x", i), i, 20*time.Millisecond)
		if err != nil {
			return nil, err
		}
		targets = append(targets, t)
	}
	return targets, nil
}

func (t *target) entry(phase string) entry {
	return entry{t.id, t.listener.Addr().String(), t.shard, phase}
}

// judgeDrain reports whether a target has got requests after a drain counts.
func (r *run) judgeDrain(t *target, known time.Time, served int64) error {
	if served < 50 {
		return fmt.Errorf("too few requests were served: %d", served)
	}
	limit := known.Add(changeCounts + grace + heldUp)
	n, last := t.after(limit)
	early, _ := t.after(known.Add(grace + heldUp))
	r.say("requests that %s got %v or more after discovery had its drain: %d (%d from %v on)", t.id, limit.Sub(known), n, early, grace+heldUp)
	if n > 0 {
		r.say("the last one came %v after discovery had the drain", last.Sub(known).Round(time.Millisecond))
		return errBroken
	}
	return nil
}

// tryLongList starts an initiator whose list is old while discovery's list of 3,200 targets comes indented. A target
// that drains by that list must get nothing new once the drain counts.
func tryLongList(r *run) error {
	const fleetSize = 3200
	targets, err := r.fleet(4)
	if err != nil {
		return err
	}
	var old, current []entry
	for i := range fleetSize {
		e := entry{fmt.Sprintf("s-5be2a%03x", i), fmt.Sprintf("127.%d.%d.%d:7070", 100+i/65536, 1+i/250, 1+i%250), i, "in_service"}
		if i < len(targets) {
			e = targets[i].entry("in_service")
		}
		old = append(old, e)
		if i == 2 {
			e.phase = "terminating"
		}
		current = append(current, e)
	}
	indent := ""
	if r.trouble {
		indent = "        "
	}
	whole := list(41, true, indent, current...)
	r.log("the list of discovery has %d targets and %d bytes", fleetSize, len(whole))
	known := time.Now()
	d, err := r.newDiscovery(whole, 41, 0)
	if err != nil {
		return err
	}
	listen, err := r.startInitiator(d.listener.Addr().String(), list(12, true, "", old...), fleetSize)
	if err != nil {
		return err
	}
	stop := make(chan struct{})
	_, served, wait := r.load(listen, len(targets), 50*time.Millisecond, stop)
	time.Sleep(18 * time.Second)
	close(stop)
	wait()
	return r.judgeDrain(targets[2], known, served.Load())
}
