package main

import (
	"fmt"
	"syscall"
	"time"
)

// cases are the cases by name.
var cases = map[string]func(*rig) verdict{
	"order-after-repeats": orderAfterRepeats,
	"order-after-hold-up": orderAfterHoldUp,
}

// minLead is how much earlier a write must have been taken for its place in the order to be beyond doubt.
const minLead = 50 * time.Millisecond

// laterRanFirst takes two writes of one piece of data, sent on two connections, and reports whether the one that was
// taken later reached the target first, and what a read finds afterwards. A write that was refused or failed is no break.
func (g *rig) laterRanFirst(t *target, first, second *client, a, b *request, wroteA, beganB time.Time) (broken string) {
	answerA, answerB := first.receive(a, 6*time.Second), second.receive(b, 6*time.Second)
	ranA, ranB := t.find(a.id), t.find(b.id)
	lead := beganB.Sub(wroteA)
	switch {
	case answerA.status != 200 || answerB.status != 200 || ranA == nil || ranB == nil:
		g.note("no verdict: one of the writes was not served")
	case lead < minLead:
		g.note("no verdict: only %v between the writes", lead)
	case ranB.at.Before(ranA.at):
		r := g.read(a.block, t.cell)
		first.send(r)
		found := first.receive(r, 4*time.Second)
		return fmt.Sprintf("block %s: the write %s, taken %.0f ms after the write %s, ran %.1f ms before it; both were answered 200; a read now finds %q",
			a.block, b.id, lead.Seconds()*1000, a.id, ranA.at.Sub(ranB.at).Seconds()*1000, found.body)
	}
	return ""
}

// warm sends a write on a connection, so that it is in use before the trouble.
func (g *rig) warm(c *client) {
	r := g.write(g.id(), 0)
	c.send(r)
	if a := c.receive(r, 5*time.Second); a.status != 200 {
		g.check(fmt.Errorf("status %d, %v", a.status, a.err), "the first write of a connection")
	}
}

// orderAfterRepeats: a client's reads are refused, as their target drains. With the trouble the client repeats them at
// once whatever the refusal asks; without, it waits as it is told. Its connection is then free and carries a write;
// another connection carries a later write of the same piece of data.
func orderAfterRepeats(g *rig) (broken verdict) {
	targets, entries := g.startTargets(4, 20*time.Millisecond)
	d := g.startDiscovery(entries...)
	in := g.startInitiator(d)
	defer in.kill()
	d.change(targets[3], "terminating")
	time.Sleep(500 * time.Millisecond)
	const repeats, rounds, lead = 5, 6, 150 * time.Millisecond
	for range rounds {
		first, second := in.dial("one"), in.dial("two")
		g.warm(first)
		g.warm(second)
		block := g.id()
		for range 1 + repeats {
			r := g.read(block, targets[3].cell)
			first.send(r)
			a := first.receive(r, 4*time.Second)
			if a.status != 429 && a.status != 503 {
				g.check(fmt.Errorf("status %d, %v", a.status, a.err), "a read of the draining target")
			}
			if !g.trouble {
				time.Sleep(a.retryAfter)
			}
		}
		t := targets[0]
		block = g.id()
		a, b := g.write(block, t.cell), g.write(block, t.cell)
		wroteA := first.send(a)
		time.Sleep(lead)
		beganB := time.Now()
		second.send(b)
		if x := g.laterRanFirst(t, first, second, a, b, wroteA, beganB); x != "" {
			broken = append(broken, x)
		}
		first.close()
		second.close()
	}
	return broken
}

// orderAfterHoldUp: the initiator is held up for a tenth of a second; meanwhile two clients write the same piece of
// data, one well after the other.
func orderAfterHoldUp(g *rig) (broken verdict) {
	targets, entries := g.startTargets(4, 20*time.Millisecond)
	in := g.startInitiator(g.startDiscovery(entries...))
	defer in.kill()
	first, second := in.dial("one"), in.dial("two")
	g.warm(first)
	g.warm(second)
	const rounds, between = 10, 2300 * time.Millisecond
	for round := range rounds {
		time.Sleep(between)
		t := targets[round%len(targets)]
		block := g.id()
		a, b := g.write(block, t.cell), g.write(block, t.cell)
		if g.trouble {
			in.signal(syscall.SIGSTOP)
		}
		time.Sleep(10 * time.Millisecond)
		wroteA := first.send(a)
		time.Sleep(70 * time.Millisecond)
		beganB := time.Now()
		second.send(b)
		time.Sleep(10 * time.Millisecond)
		if g.trouble {
			in.signal(syscall.SIGCONT)
		}
		if x := g.laterRanFirst(t, first, second, a, b, wroteA, beganB); x != "" {
			broken = append(broken, x)
		}
	}
	return broken
}
