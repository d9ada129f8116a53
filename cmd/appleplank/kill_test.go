package main

import (
	"encoding/binary"
	"flag"
	"fmt"
	"math/rand/v2"
	"os/exec"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"appleplank/internal/fleet"
	"appleplank/internal/standin"
)

var gatewayKills = flag.Int("gateway-kills", 20, "how often the gateway is killed under load")

// keeper is a client that outlives its gateways: it reconnects with its rings and its region, and expects an answer to
// everything it ever asked, once.
type keeper struct {
	cl    *standin.Client
	path  string
	mu    sync.Mutex
	may   map[int][]uint64 // what each block may hold
	out   map[int]bool
	bad   string
	ended bool
	asked int
	got   [2]int // status 0 and others
	wg    sync.WaitGroup
}

func (k *keeper) fail(format string, a ...any) {
	if k.bad == "" {
		k.bad = fmt.Sprintf(format, a...)
	}
}

// follow reconnects whenever the gateway goes away.
func (k *keeper) follow() {
	k.cl.Watch(func() {
		k.wg.Add(1)
		go func() {
			defer k.wg.Done()
			for {
				k.mu.Lock()
				ended := k.ended
				k.mu.Unlock()
				if ended {
					return
				}
				if k.cl.Reconnect(k.path) == nil {
					k.follow()
					return
				}
				time.Sleep(3 * time.Millisecond)
			}
		}()
	})
}

const keeperBlock = 4096

func (k *keeper) run(rng *rand.Rand, token *atomic.Uint64, over <-chan struct{}) {
	for {
		select {
		case <-over:
			return
		default:
		}
		b := rng.IntN(128)
		k.mu.Lock()
		if k.out[b] {
			k.mu.Unlock()
			time.Sleep(50 * time.Microsecond)
			continue
		}
		k.out[b] = true
		k.asked++
		write := rng.IntN(2) == 0
		mark, kind, data := uint64(0), uint32(0), []byte(nil)
		if write {
			mark, kind, data = token.Add(1), 1, make([]byte, keeperBlock)
			for at := 0; at < keeperBlock; at += 8 {
				binary.LittleEndian.PutUint64(data[at:], mark)
			}
		}
		k.mu.Unlock()
		err := k.cl.Submit(b&1, kind, uint64(b)*keeperBlock/512, data, keeperBlock, func(r standin.Reply) {
			k.mu.Lock()
			defer k.mu.Unlock()
			if !k.out[b] {
				k.fail("block %d: answered twice", b)
			}
			delete(k.out, b)
			switch {
			case r.Status != 0:
				k.got[1]++
				if write {
					k.may[b] = append(k.may[b], mark)
				}
			case write:
				k.got[0]++
				k.may[b] = append(k.may[b][:0], mark)
			default:
				k.got[0]++
				got, known := binary.LittleEndian.Uint64(r.Data), len(k.may[b]) == 0
				for _, m := range k.may[b] {
					known = known || m == got
				}
				if !known || binary.LittleEndian.Uint64(r.Data[keeperBlock-8:]) != got {
					k.fail("block %d holds %d, may hold %v", b, got, k.may[b])
				}
			}
		})
		if err != nil {
			k.mu.Lock()
			k.fail("submit: %v", err)
			k.mu.Unlock()
			return
		}
		if rng.IntN(4) == 0 {
			time.Sleep(time.Duration(rng.IntN(300)) * time.Microsecond)
		}
	}
}

// kill -9 of a gateway under load, again and again: clients reconnect, and every request they ever put on their rings
// is answered once, with every byte read what was written last.
func TestKillGateway(t *testing.T) {
	s := shape()
	s.Node = standin.NodeConfig{Base: 300 * time.Microsecond, WriteCache: true, InCapsule: 8192, Remember: 4 * time.Second}
	s.Volumes[0].More = "queues = 2,"
	s.More = "state(dir = \"kept\", every = ms(20))\nrules(order_pause = ms(20))\n"
	f, err := fleet.New(t.TempDir(), s)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	launch := func() *exec.Cmd {
		c := command("serve", "-c", f.Settings[0], "--log", "error")
		if err := c.Start(); err != nil {
			t.Fatal(err)
		}
		return c
	}
	c := launch()
	defer func() { c.Process.Kill(); c.Wait() }()
	over := make(chan struct{})
	var wg sync.WaitGroup
	var token atomic.Uint64
	k := &keeper{path: f.Socket(0, "disk"), may: map[int][]uint64{}, out: map[int]bool{}}
	if k.cl, err = f.Dial(0, "disk", standin.ClientConfig{Queues: 2, Depth: 16, MostData: keeperBlock, EventIdx: true, Indirect: true, Inflight: true}, 5*time.Second); err != nil {
		t.Fatal(err)
	}
	k.follow()
	for i := range 2 {
		wg.Add(1)
		go func() { defer wg.Done(); k.run(rand.New(rand.NewPCG(3, uint64(i))), &token, over) }()
	}
	rng := rand.New(rand.NewPCG(8, 8))
	for range *gatewayKills {
		time.Sleep(time.Duration(30+rng.IntN(120)) * time.Millisecond)
		c.Process.Kill()
		c.Wait()
		c = launch()
	}
	time.Sleep(200 * time.Millisecond)
	close(over)
	wg.Wait()
	if err := fleet.Eventually(10*time.Second, func() bool { k.mu.Lock(); defer k.mu.Unlock(); return len(k.out) == 0 }); err != nil {
		t.Errorf("%d requests were never answered", len(k.out))
	}
	k.mu.Lock()
	k.ended = true
	if k.bad != "" {
		t.Error(k.bad)
	}
	if n := k.got[0] + k.got[1]; n != k.asked {
		t.Errorf("%d answers to %d requests", n, k.asked)
	}
	if k.got[0] < k.asked/2 {
		t.Errorf("%d of %d served", k.got[0], k.asked)
	}
	t.Logf("%d kills: %d asked, %d served, %d refused or failed", *gatewayKills, k.asked, k.got[0], k.got[1])
	k.mu.Unlock()
	k.cl.Vanish()
	k.wg.Wait()
	if n := k.cl.Strange(); n > 0 {
		t.Errorf("%d answers that belong to nothing", n)
	}
}
