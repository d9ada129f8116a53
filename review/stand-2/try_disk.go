package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"appleplank/internal/block"
	"appleplank/internal/standin"
)

// tryDisk has twelve workers write and read blocks of their own on one disk, by a client that reconnects with its inflight
// region, while troubles come at random: those that CHAOS names, separated by commas (cut, reset, crash, kill, term,
// takeover). With MIRROR set each extent has a second copy. A block must hold what was written last, or what a write that
// was refused or failed may have left. It found no fault with its load, crash only tried with MIRROR.
func tryDisk(r *run) error {
	kinds := strings.Split(os.Getenv("CHAOS"), ",")
	mirrored := os.Getenv("MIRROR") != ""
	d, err := r.prepareDepot(2*time.Millisecond, 0)
	if err != nil {
		return err
	}
	var links []*link
	for i := range d.addresses {
		l, err := r.newLink(fmt.Sprint("link ", i), d.addresses[i])
		if err != nil {
			return err
		}
		d.addresses[i] = l.listener.Addr().String()
		links = append(links, l)
	}
	if mirrored {
		d.edit = withCopies
	}
	if err := d.startGateway(); err != nil {
		return err
	}
	c, err := standin.Dial(d.orders, standin.ClientConfig{Depth: 16, MostData: 64 << 10, Advice: true, Inflight: true})
	if err != nil {
		return err
	}
	var stopped atomic.Bool
	var watch func()
	watch = func() {
		c.Watch(func() {
			go func() {
				for {
					if c.Reconnect(d.orders) == nil {
						watch()
						return
					}
					time.Sleep(3 * time.Millisecond)
				}
			}()
		})
	}
	watch()
	var bad, writes, reads, refused atomic.Int64
	var wg sync.WaitGroup
	perNode := c.Disk.Sectors / 3
	for w := range 12 {
		wg.Go(func() {
			rng := rand.New(rand.NewPCG(uint64(w), uint64(time.Now().UnixNano())))
			allowed := map[int][][]byte{}
			for n := 1; !stopped.Load(); n++ {
				slot := rng.IntN(4)
				sector := uint64(w%3)*perNode + uint64(w)*1024 + uint64(slot)*64
				if allowed[slot] == nil {
					allowed[slot] = [][]byte{make([]byte, 4096)}
				}
				if rng.IntN(2) == 0 {
					data := bytes.Repeat([]byte(fmt.Sprintf("w%02d s%d %07d|", w, slot, n)), 300)[:4096]
					t := time.Now()
					reply, err := c.Do(0, blkWrite, sector, data, 4096)
					if err != nil {
						return
					}
					if reply.Status != 0 || time.Since(t) > 100*time.Millisecond {
						r.log("w%d s%d write %d: %d %v after %v", w, slot, n, reply.Status, reply.Verdict, time.Since(t))
					}
					if reply.Status == 0 {
						allowed[slot] = [][]byte{data}
						writes.Add(1)
					} else {
						allowed[slot] = append(allowed[slot], data)
						refused.Add(1)
						if reply.Verdict == block.Refused {
							time.Sleep(reply.Wait)
						}
					}
				} else {
					reply, err := c.Do(0, blkRead, sector, nil, 4096)
					if err != nil {
						return
					}
					if reply.Status != 0 {
						continue
					}
					reads.Add(1)
					ok := false
					for _, a := range allowed[slot] {
						ok = ok || bytes.Equal(a, reply.Data)
					}
					if !ok {
						bad.Add(1)
						r.say("BAD: w%d s%d read %q, allowed %d, last %q", w, slot, reply.Data[:16], len(allowed[slot]), allowed[slot][len(allowed[slot])-1][:16])
					}
					allowed[slot] = [][]byte{append([]byte(nil), reply.Data...)}
				}
				time.Sleep(time.Duration(rng.IntN(20)) * time.Millisecond)
			}
		})
	}
	rng := rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), 1))
	for end := time.Now().Add(75 * time.Second); time.Now().Before(end); {
		time.Sleep(2 * time.Second)
		kind := kinds[rng.IntN(len(kinds))]
		r.log("EVENT %s", kind)
		switch kind {
		case "cut":
			links[rng.IntN(3)].cutFor(6 * time.Second)
			time.Sleep(14 * time.Second)
		case "reset":
			links[rng.IntN(3)].resetAll()
		case "crash":
			d.nodes[rng.IntN(3)].signal(syscall.SIGUSR1)
			time.Sleep(2 * time.Second)
		case "kill", "term":
			s := syscall.SIGKILL
			if kind == "term" {
				s = syscall.SIGTERM
			}
			d.gateway.signal(s)
			<-d.gateway.exited
			g, err := r.start(fmt.Sprint("gateway-", time.Now().UnixNano()), nil, "exec bin/appleplank serve -c "+d.settings)
			if err != nil {
				return err
			}
			d.gateway = g
		case "takeover":
			old := d.gateway
			g, err := r.start(fmt.Sprint("gateway-", time.Now().UnixNano()), nil, "exec bin/appleplank serve --takeover -c "+d.settings)
			if err != nil {
				return err
			}
			d.gateway = g
			<-old.exited
		}
	}
	stopped.Store(true)
	done := make(chan struct{})
	go func() { wg.Wait(); close(done) }()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		r.say("BAD: a request is never answered")
		bad.Add(1)
	}
	r.say("writes %d refused %d reads %d bad %d strange %d", writes.Load(), refused.Load(), reads.Load(), bad.Load(), c.Strange())
	if bad.Load() > 0 || c.Strange() > 0 {
		return errBroken
	}
	return nil
}
