package gateway_test

import (
	"strings"
	"sync"
	"testing"
	"time"

	"appleplank/internal/block"
	"appleplank/internal/engine"
	"appleplank/internal/fleet"
	"appleplank/internal/standin"
	"appleplank/logic"
)

// zonesShape is a fleet with one node in the gateway's zone and two in another, with a budget for traffic between
// zones.
func zonesShape(budget string) fleet.Shape {
	s := singleVolume()
	s.Nodes, s.NodeZones = 3, []int{0, 1, 1}
	s.Head = strings.Replace(fleet.Head, "worth = 3", "worth = 3, bends = True", 1)
	s.Volumes[0].Cells = []int{0, 1, 2}
	s.Volumes[0].Extent = 4 << 20
	s.More = budget + "state(dir = \"kept\")\n"
	return s
}

// TestCrossedBytes checks that the ledger, the connections' counters and the nodes' counters agree to the byte, and
// that the ledger is restored after a restart.
func TestCrossedBytes(t *testing.T) {
	for name, cfg := range map[string]standin.NodeConfig{"in capsule": fleet.FastNode(), "by transfers, digests": {Digests: true, Align: 32, Plain: true}} {
		t.Run(name, func(t *testing.T) {
			s := zonesShape("bounds(digests = True)\n")
			s.Node = cfg
			f, err := fleet.New(t.TempDir(), s)
			if err != nil {
				t.Fatal(err)
			}
			defer f.Close()
			g, stop := startGateway(t, f.Settings[0])
			cl, err := f.Dial(0, "orders", standin.ClientConfig{Queues: 2, Depth: 8, MostData: 512 << 10}, time.Second)
			if err != nil {
				t.Fatal(err)
			}
			for i := range 30 {
				size := []int{4096, 65536, 512 << 10}[i%3]
				if r, err := cl.Do(i&1, uint32(i%2), uint64(i%3*4<<20+i*4096)/512, make([]byte, size), size); err != nil || r.Status != 0 {
					t.Fatalf("status %d, %v", r.Status, err)
				}
			}
			cl.Vanish()
			rows, _ := g.Engine.Crossing()
			sum := map[int]int64{}
			attempts := uint64(0)
			for _, r := range rows {
				sum[r.Zone] += r.Out + r.In
				attempts += r.Attempts
				if (r.Zone == 0) != (r.Reason == engine.LocalZone) {
					t.Errorf("zone %d with reason %v", r.Zone, r.Reason)
				}
			}
			stop(false)
			link := int64(0)
			for i, n := range f.Nodes {
				in, out := n.Bytes()
				c := &g.Node(logic.NodeID(i + 1)).Counts
				if int64(c.BytesOut.Load()) != in || int64(c.BytesIn.Load()) != out {
					t.Errorf("node %d counted %d in and %d out, its connections %d out and %d in", i+1, in, out, c.BytesOut.Load(), c.BytesIn.Load())
				}
				link += in + out
			}
			link -= sum[0] + sum[1]
			// The remaining bytes set up three nodes with three queues each; their number does not grow with requests.
			if link <= 0 || link > 3*64<<10 {
				t.Errorf("%d bytes belong to no attempt", link)
			}
			if attempts < 30 || sum[1] < 20*4096 {
				t.Errorf("%d attempts, %d bytes crossed", attempts, sum[1])
			}
			again, stop := startGateway(t, f.Settings[0])
			defer stop(false)
			after, _ := again.Engine.Crossing()
			left := map[int]int64{}
			for _, r := range after {
				left[r.Zone] += r.Out + r.In
			}
			if left[1] != sum[1] || left[0] != sum[0] {
				t.Errorf("after a restart the ledger says %v, was %v", left, sum)
			}
		})
	}
}

// TestCrossingBudget checks that with the budget used up reports to the other zone are refused first and at once, with
// the time to retry, while saves and all requests within the zone are served. The bytes that crossed, as the nodes
// count them, stay within rate, burst and the overhead of the connections.
func TestCrossingBudget(t *testing.T) {
	s := zonesShape("crossing(rate = KiB(512), burst = KiB(512), hold_back = 0.3)\n")
	s.Node = fleet.FastNode()
	f, gws, stop := startFleet(t, s)
	defer stop()
	time.Sleep(1100 * time.Millisecond) // without a restored budget a gateway starts with an empty one
	var before int64
	for _, n := range f.Nodes[1:] {
		in, out := n.Bytes()
		before += in + out
	}
	began := time.Now()
	var mu sync.Mutex
	var got [2][3]int // save, report; by verdict
	advised := 0
	var wg sync.WaitGroup
	for kind, size := range []int{4096, 256 << 10} {
		wg.Add(1)
		go func() {
			defer wg.Done()
			cl, err := f.Dial(0, "orders", standin.ClientConfig{Queues: 1, Depth: 2, MostData: 256 << 10, Advice: true}, time.Second)
			if err != nil {
				t.Error(err)
				return
			}
			defer cl.Vanish()
			for i := range 60 {
				typ := uint32(1 - kind)
				r, err := cl.Do(0, typ, uint64(4<<20+i*8192)/512, make([]byte, size), size)
				if err != nil {
					t.Error(err)
					return
				}
				mu.Lock()
				got[kind][r.Verdict]++
				if r.Verdict == block.Refused && r.Wait > 0 {
					advised++
				}
				mu.Unlock()
				time.Sleep(25 * time.Millisecond)
			}
		}()
	}
	wg.Wait()
	took := time.Since(began).Seconds()
	var crossed int64
	for _, n := range f.Nodes[1:] {
		in, out := n.Bytes()
		crossed += in + out
	}
	crossed -= before
	if got[0][block.Refused] > 0 || got[1][block.Refused] < 20 || got[1][block.Served] == 0 {
		t.Errorf("saves %v, reports %v (served, refused, failed)", got[0], got[1])
	}
	if advised != got[1][block.Refused] {
		t.Errorf("%d of %d refusals carry a time to retry", advised, got[1][block.Refused])
	}
	if most := int64((512 + 512*took + 256 + 64) * 1024); crossed > most {
		t.Errorf("%d bytes crossed in %.2f s, at most %d", crossed, took, most)
	}
	cl, err := f.Dial(0, "orders", standin.ClientConfig{MostData: 256 << 10}, time.Second)
	if err != nil {
		t.Fatal(err)
	}
	defer cl.Vanish()
	if r, err := cl.Do(0, 0, 0, nil, 256<<10); err != nil || r.Status != 0 {
		t.Errorf("a report at home: status %d, %v", r.Status, err)
	}
	if _, m := gws[0].Engine.Crossing(); m.Short > 512<<10 {
		t.Errorf("%.0f bytes in the budget, more than its burst", m.Short)
	}
}
