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

var gatewayKills = flag.Int("gateway-kills", 20, "number of times that the gateway is killed under load")

// persistentClient reconnects with the same rings and region after its gateway was killed. It expects exactly one
// answer to each request that it submitted.
type persistentClient struct {
	cl        *standin.Client
	path      string
	mu        sync.Mutex
	allowed   map[int][]uint64 // for each block, the marks that a read may return
	inFlight  map[int]bool
	failure   string
	stopped   bool
	submitted int
	answered  [2]int // answers with status 0, and with any other
	wg        sync.WaitGroup
}

func (k *persistentClient) fail(format string, a ...any) {
	if k.failure == "" {
		k.failure = fmt.Sprintf(format, a...)
	}
}

// reconnectOnLoss starts to reconnect each time the connection to the gateway is lost.
func (k *persistentClient) reconnectOnLoss() {
	k.cl.Watch(func() {
		k.wg.Add(1)
		go func() {
			defer k.wg.Done()
			for {
				k.mu.Lock()
				ended := k.stopped
				k.mu.Unlock()
				if ended {
					return
				}
				if k.cl.Reconnect(k.path) == nil {
					k.reconnectOnLoss()
					return
				}
				time.Sleep(3 * time.Millisecond)
			}
		}()
	})
}

const blockBytes = 4096

func (k *persistentClient) run(rng *rand.Rand, token *atomic.Uint64, done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		default:
		}
		b := rng.IntN(128)
		k.mu.Lock()
		if k.inFlight[b] {
			k.mu.Unlock()
			time.Sleep(50 * time.Microsecond)
			continue
		}
		k.inFlight[b] = true
		k.submitted++
		write := rng.IntN(2) == 0
		mark, kind, data := uint64(0), uint32(0), []byte(nil)
		if write {
			mark, kind, data = token.Add(1), 1, make([]byte, blockBytes)
			for at := 0; at < blockBytes; at += 8 {
				binary.LittleEndian.PutUint64(data[at:], mark)
			}
		}
		k.mu.Unlock()
		err := k.cl.Submit(b&1, kind, uint64(b)*blockBytes/512, data, blockBytes, func(r standin.Reply) {
			k.mu.Lock()
			defer k.mu.Unlock()
			if !k.inFlight[b] {
				k.fail("block %d: answered twice", b)
			}
			delete(k.inFlight, b)
			switch {
			case r.Status != 0:
				k.answered[1]++
				if write {
					k.allowed[b] = append(k.allowed[b], mark)
				}
			case write:
				k.answered[0]++
				k.allowed[b] = append(k.allowed[b][:0], mark)
			default:
				k.answered[0]++
				got, known := binary.LittleEndian.Uint64(r.Data), len(k.allowed[b]) == 0
				for _, m := range k.allowed[b] {
					known = known || m == got
				}
				if !known || binary.LittleEndian.Uint64(r.Data[blockBytes-8:]) != got {
					k.fail("block %d holds %d, may hold %v", b, got, k.allowed[b])
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

// Kills a gateway under load with SIGKILL, repeatedly. Clients reconnect, every request that they put on their rings is
// answered exactly once, and reads return what was written last.
func TestKillGateway(t *testing.T) {
	s := oneNodeShape()
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
	done := make(chan struct{})
	var wg sync.WaitGroup
	var token atomic.Uint64
	k := &persistentClient{path: f.Socket(0, "disk"), allowed: map[int][]uint64{}, inFlight: map[int]bool{}}
	if k.cl, err = f.Dial(0, "disk", standin.ClientConfig{Queues: 2, Depth: 16, MostData: blockBytes, EventIdx: true, Indirect: true, Inflight: true}, 5*time.Second); err != nil {
		t.Fatal(err)
	}
	k.reconnectOnLoss()
	for i := range 2 {
		wg.Add(1)
		go func() { defer wg.Done(); k.run(rand.New(rand.NewPCG(3, uint64(i))), &token, done) }()
	}
	rng := rand.New(rand.NewPCG(8, 8))
	for range *gatewayKills {
		time.Sleep(time.Duration(30+rng.IntN(120)) * time.Millisecond)
		c.Process.Kill()
		c.Wait()
		c = launch()
	}
	time.Sleep(200 * time.Millisecond)
	close(done)
	wg.Wait()
	if err := fleet.Eventually(10*time.Second, func() bool { k.mu.Lock(); defer k.mu.Unlock(); return len(k.inFlight) == 0 }); err != nil {
		t.Errorf("%d requests were never answered", len(k.inFlight))
	}
	k.mu.Lock()
	k.stopped = true
	if k.failure != "" {
		t.Error(k.failure)
	}
	if n := k.answered[0] + k.answered[1]; n != k.submitted {
		t.Errorf("%d answers to %d requests", n, k.submitted)
	}
	if k.answered[0] < k.submitted/2 {
		t.Errorf("%d of %d served", k.answered[0], k.submitted)
	}
	t.Logf("%d kills: %d asked, %d served, %d refused or failed", *gatewayKills, k.submitted, k.answered[0], k.answered[1])
	k.mu.Unlock()
	k.cl.Vanish()
	k.wg.Wait()
	if n := k.cl.Strange(); n > 0 {
		t.Errorf("%d answers that match no request", n)
	}
}
