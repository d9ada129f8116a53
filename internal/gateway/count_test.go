package gateway_test

import (
	"encoding/binary"
	"flag"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"appleplank/internal/block"
	"appleplank/internal/fleet"
	"appleplank/internal/standin"
)

var countRequests = flag.Int("requests", 20_000, "requests of the counting test")

// countingClient is one client program of the counting test. It owns blocks that no other client uses and has at most
// one request in flight for each, so it always knows what a read may return.
type countingClient struct {
	t           *testing.T
	f           *fleet.Fleet
	first       int64 // number of its first block
	blocks      []blockState
	rng         *rand.Rand
	token       *atomic.Uint64
	submitted   *atomic.Int64
	maxRequests int64
	answers     [3]int
	abandoned   int
	reads       int
	failure     string
}

const blockSize = 4096

// blockState lists the marks that a block may hold.
type blockState struct {
	possible []uint64
	inUse    bool
}

// run sends requests with one client after another; each disconnects with requests in flight.
func (c *countingClient) run() {
	for c.submitted.Load() < c.maxRequests && c.failure == "" {
		cl, err := c.f.Dial(0, "orders", standin.ClientConfig{Queues: 2, Depth: 16, MostData: blockSize, EventIdx: c.rng.IntN(2) == 0,
			Indirect: c.rng.IntN(2) == 0, Advice: c.rng.IntN(2) == 0}, time.Second)
		if err != nil {
			c.failure = err.Error()
			return
		}
		c.runClient(cl, 200+c.rng.IntN(1500))
	}
}

// runClient sends the requests of one client. Its records are guarded by mu, as answers come from the queues'
// goroutines.
func (c *countingClient) runClient(cl *standin.Client, requests int) {
	var mu sync.Mutex
	var retryAt time.Time   // a refused client waits before its next request, or most answers counted would be refusals
	out := map[int]func(){} // by block: updates its state if its request is never answered
	fail := func(format string, a ...any) {
		if c.failure == "" {
			c.failure = fmt.Sprintf(format, a...)
		}
	}
	for range requests {
		mu.Lock()
		for wait := time.Until(retryAt); wait > 0; wait = time.Until(retryAt) {
			mu.Unlock()
			time.Sleep(wait)
			mu.Lock()
		}
		b := c.rng.IntN(len(c.blocks))
		for tries := 0; c.blocks[b].inUse; tries++ {
			if b = (b + 1) % len(c.blocks); tries%len(c.blocks) == len(c.blocks)-1 {
				mu.Unlock()
				time.Sleep(100 * time.Microsecond)
				mu.Lock()
			}
		}
		s := &c.blocks[b]
		s.inUse = true
		write := c.rng.IntN(2) == 0
		mark := uint64(0)
		var data []byte
		kind := uint32(0)
		if write {
			mark, kind, data = c.token.Add(1), 1, make([]byte, blockSize)
			for at := 0; at < blockSize; at += 8 {
				binary.LittleEndian.PutUint64(data[at:], mark)
			}
			out[b] = func() { s.possible = append(s.possible, mark) }
		} else {
			out[b] = func() {}
		}
		c.submitted.Add(1)
		mu.Unlock()
		err := cl.Submit(b&1, kind, uint64(c.first+int64(b))*blockSize/512, data, blockSize, func(r standin.Reply) {
			mu.Lock()
			defer mu.Unlock()
			if out[b] == nil {
				fail("block %d: second answer to a request", b)
				return
			}
			delete(out, b)
			s.inUse = false
			if (r.Status == 0) != (r.Verdict == block.Served) {
				fail("status %d does not match verdict %v", r.Status, r.Verdict)
			}
			c.answers[r.Verdict]++
			if r.Status != 0 {
				retryAt = time.Now().Add(min(max(r.Wait, 2*time.Millisecond), 20*time.Millisecond))
			}
			switch {
			case write && r.Verdict == block.Served:
				s.possible = append(s.possible[:0], mark)
			case write: // a refused one may have run, as the class is safe to repeat; a failed one promises nothing
				s.possible = append(s.possible, mark)
			case r.Verdict == block.Served:
				c.reads++
				got := binary.LittleEndian.Uint64(r.Data)
				known := false
				for _, m := range s.possible {
					known = known || m == got
				}
				if !known {
					fail("block %d holds mark %d, may hold %v", b, got, s.possible)
				}
				for at := 0; at < blockSize; at += 8 {
					if x := binary.LittleEndian.Uint64(r.Data[at:]); x != got {
						fail("block %d holds mark %d at byte %d and %d at its start", b, x, at, got)
						break
					}
				}
			}
		})
		if err != nil {
			fail("the gateway closed a client without cause: %v", err)
			break
		}
	}
	// One client in three waits for its answers, so that lost ones are found; the others disconnect at once.
	if c.rng.IntN(3) == 0 {
		err := fleet.Eventually(20*time.Second, func() bool { mu.Lock(); defer mu.Unlock(); return len(out) == 0 })
		mu.Lock()
		if err != nil {
			fail("%d requests were never answered", len(out))
		}
		mu.Unlock()
	}
	cl.Vanish()
	if n := cl.Strange(); n > 0 {
		fail("%d answers that match no request", n)
	}
	mu.Lock()
	defer mu.Unlock()
	c.abandoned += len(out)
	for b, markPossible := range out {
		markPossible()
		c.blocks[b].inUse = false
	}
}

// TestCounting guards against lost answers, duplicate answers and reads of stale data. Its clients disconnect with
// requests in flight, and its nodes answer twice, lose answers, break connections and fail.
func TestCounting(t *testing.T) {
	s := singleVolume()
	s.Nodes = 3
	s.Volumes[0].Cells = []int{0, 1, 2, 0, 1, 2}
	s.Volumes[0].Extent = 1 << 20
	s.Head = strings.ReplaceAll(s.Head, "deadline = s(2)", "deadline = ms(500)") // a lost answer occupies its slot until the deadline
	s.More = "rules(order_pause = ms(50))\ntimes(keep_alive = s(2))\n"
	f, gws, stop := startFleet(t, s)
	stopFaults := make(chan struct{})
	var faults sync.WaitGroup
	faults.Add(1)
	go func() {
		defer faults.Done()
		rng := rand.New(rand.NewPCG(5, 5))
		for {
			select {
			case <-stopFaults:
				return
			case <-time.After(40 * time.Millisecond):
			}
			n := f.Nodes[rng.IntN(3)]
			switch rng.IntN(40) {
			case 0, 1, 2, 3, 4, 5:
				n.Reset()
			case 6, 7, 8, 9, 10, 11:
				n.Set(func(t *standin.Trouble) { t.Twice = 0.02 })
			case 12, 13, 14, 15, 16:
				n.Set(func(t *standin.Trouble) { t.Fail = 0.05 })
			case 17:
				n.Set(func(t *standin.Trouble) { t.Lose = 0.0005; t.Wrong = 0.0005 })
			default:
				n.Set(func(t *standin.Trouble) { *t = standin.Trouble{} })
			}
		}
	}()
	var wg sync.WaitGroup
	var token atomic.Uint64
	var asked atomic.Int64
	const clients = 6
	var all []*countingClient
	for i := range clients {
		c := &countingClient{t: t, f: f, first: int64(i) * 256, blocks: make([]blockState, 256), rng: rand.New(rand.NewPCG(9, uint64(i))),
			token: &token, submitted: &asked, maxRequests: int64(*countRequests)}
		for b := range c.blocks {
			c.blocks[b].possible = []uint64{0}
		}
		all = append(all, c)
		wg.Add(1)
		go func() { defer wg.Done(); c.run() }()
	}
	wg.Wait()
	close(stopFaults)
	faults.Wait()
	for _, n := range f.Nodes {
		n.Set(func(t *standin.Trouble) { *t = standin.Trouble{} })
	}
	var answers [3]int
	left, reads := 0, 0
	for i, c := range all {
		if c.failure != "" {
			t.Errorf("client program %d: %s", i, c.failure)
		}
		for v, n := range c.answers {
			answers[v] += n
		}
		left, reads = left+c.abandoned, reads+c.reads
	}
	if got := answers[0] + answers[1] + answers[2] + left; int64(got) != asked.Load() && !t.Failed() {
		t.Errorf("%d requests were submitted, %d ended", asked.Load(), got)
	}
	// Nothing leaks: once all clients are gone, every request and buffer is released.
	if err := fleet.Eventually(10*time.Second, func() bool { x := gws[0].Engine.Tally(); return x.Ops == 0 && x.Pieces == 0 && x.Out == 0 }); err != nil {
		t.Errorf("requests or attempts still held: %+v", gws[0].Engine.Tally())
	}
	tally := gws[0].Engine.Tally()
	stop()
	if err := fleet.Eventually(time.Second, func() bool { return gws[0].Engine.Tally().Attempts == 0 }); err != nil {
		t.Errorf("attempts outlive the gateway: %+v", gws[0].Engine.Tally())
	}
	m := gws[0].Engine.Memory(0)
	if whole := int64(256 << 20); !m.TryAcquire(whole) {
		t.Error("buffers outlive the gateway")
	}
	t.Logf("%d asked: %d served (%d reads compared), %d refused, %d failed, %d whose client left; %d sends, %d of them repeats, %d late ends, outcomes %v",
		asked.Load(), answers[0], reads, answers[1], answers[2], left, tally.Sends, tally.Repeats, tally.LateEnds, tally.Outcomes)
}
