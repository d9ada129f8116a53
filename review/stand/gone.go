package main

import (
	"fmt"
	"syscall"
	"time"
)

func init() { cases["sent-after-leaving"] = sentAfterLeaving }

// maxAfterClose is how long after its client's close an attempt may begin, with the 50 ms by which every limit is longer
// on sockets and the 0.15 s for which an initiator may be held up while it writes.
const maxAfterClose = (100 + 50 + 150) * time.Millisecond

// sentAfterLeaving: a volume with a limit is asked for more than the limit allows at once, so that two writes wait at the
// initiator for a quarter and half a second. The initiator stands still for a second; while it does, the clients of the
// two writes leave. Without the trouble they leave just so, while the initiator runs.
func sentAfterLeaving(g *rig) (broken verdict) {
	targets, entries := g.startTargets(4, 20*time.Millisecond)
	in := g.startInitiator(g.startDiscovery(entries...))
	defer in.kill()
	const rounds, writes, still = 6, 9, 500 * time.Millisecond
	for round := range rounds {
		time.Sleep(2500 * time.Millisecond) // the limit's store is full again, and the stalls are 2.3 s and more apart
		type waiting struct {
			c *client
			r *request
			t *target
		}
		var all, held []waiting
		for i := range writes {
			t := targets[i%len(targets)]
			r := g.write(g.id(), t.cell)
			r.plan, r.volume, r.units = "basico", "00000003b4d60077", 6
			all = append(all, waiting{in.dial(fmt.Sprint("c", i)), r, t})
		}
		for _, x := range all {
			x.c.send(x.r)
		}
		time.Sleep(100 * time.Millisecond)
		for _, x := range all {
			if x.t.find(x.r.id) == nil {
				held = append(held, x)
			}
		}
		g.note("round %d: %d writes wait at the initiator", round, len(held))
		if g.trouble {
			in.signal(syscall.SIGSTOP)
		}
		time.Sleep(20 * time.Millisecond)
		for _, x := range held {
			x.c.close()
		}
		closed := time.Now()
		time.Sleep(still)
		if g.trouble {
			in.signal(syscall.SIGCONT)
		}
		time.Sleep(time.Second)
		for _, x := range held {
			if a := x.t.find(x.r.id); a != nil && a.at.Sub(closed) > maxAfterClose {
				broken = append(broken, fmt.Sprintf("round %d: the write %s was sent and ran %.0f ms after its client had closed", round, x.r.id, a.at.Sub(closed).Seconds()*1000))
			}
		}
		for _, x := range all {
			x.c.conn.Close()
		}
	}
	return broken
}
