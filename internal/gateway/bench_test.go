package gateway_test

import (
	"context"
	"fmt"
	"runtime"
	"sync"
	"testing"
	"time"

	"appleplank/internal/block"
	"appleplank/internal/nvme/initiator"
	"appleplank/internal/standin"
	"appleplank/logic"

	"github.com/HdrHistogram/hdrhistogram-go"
	"go.uber.org/zap"
)

// directClient sends to a node through the same initiator, without a ring or the scheduler.
type directClient struct {
	*initiator.Node
	mu   sync.Mutex
	done map[*block.Attempt]chan logic.Outcome
}

func (d *directClient) AttemptEnded(a *block.Attempt, r block.Result) {
	a.Owner.(chan logic.Outcome) <- r.Outcome
}
func (d *directClient) Reached(logic.NodeID, logic.Micros) {}
func (d *directClient) Refused(logic.NodeID)               {}
func (d *directClient) Draining(logic.NodeID, bool)        {}
func (d *directClient) Lost(logic.NodeID, error)           {}

// runLoad runs n operations over depth goroutines and records the duration of each.
func runLoad(n, depth int, h *hdrhistogram.Histogram, op func(worker int) error) (time.Duration, error) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	var failed error
	start := time.Now()
	for w := range depth {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := w; i < n; i += depth {
				t := time.Now()
				err := op(w)
				took := time.Since(t)
				mu.Lock()
				if err != nil {
					failed = err
				}
				h.RecordValue(took.Nanoseconds())
				mu.Unlock()
			}
		}()
	}
	wg.Wait()
	return time.Since(start), failed
}

// BenchmarkPath compares a read from ring to node and back with a read by the same NVMe/TCP client at the same node;
// the two alternate within one run. The ratio is of the times per request: below 1 the ring is faster. At depth 32
// logic's window of a few requests per node bounds the requests in flight, so the direct client is also measured at the
// depth that the window allows.
func BenchmarkPath(b *testing.B) {
	for _, size := range []int{4 << 10, 128 << 10} {
		for _, depth := range []int{1, 2, 32} {
			b.Run(fmt.Sprintf("%dKiB/depth%d", size>>10, depth), func(b *testing.B) {
				s := singleVolume()
				s.Nodes = 1
				s.Volumes[0].Cells = []int{0}
				f, _, stop := startFleet(b, s)
				defer stop()
				cl, err := f.Dial(0, "orders", standin.ClientConfig{Queues: 1, Depth: depth, MostData: size, EventIdx: true}, time.Second)
				if err != nil {
					b.Fatal(err)
				}
				defer cl.Vanish()
				d := &directClient{}
				start := time.Now()
				d.Node = initiator.NewNode(initiator.Config{ID: 1, NQN: f.Nodes[0].NQN(), HostNQN: "nqn.direct", Namespaces: []uint32{1},
					MaxOutstanding: 64, Queues: 2, Timeout: time.Second, KeepAlive: 10 * time.Second, Log: zap.NewNop(), Address: f.Nodes[0].Address,
					Now: func() logic.Micros { return logic.Micros(time.Since(start).Microseconds()) + 1 }}, d, d)
				ctx, cancel := context.WithCancel(context.Background())
				ended := make(chan struct{})
				go func() { d.Run(ctx); close(ended) }()
				defer func() { cancel(); <-ended }()
				for !d.Up() {
					time.Sleep(time.Millisecond)
				}
				attempts := make([]*block.Attempt, depth)
				for i := range attempts {
					attempts[i] = &block.Attempt{Kind: block.Read, Namespace: 1, Len: int64(size), Buffer: block.NewBuffer(int64(size), nil), Owner: make(chan logic.Outcome, 1)}
				}
				byNode := func(w int) error {
					d.Start(attempts[w])
					if o := <-attempts[w].Owner.(chan logic.Outcome); o != logic.OK {
						return fmt.Errorf("outcome %d", o)
					}
					return nil
				}
				chans := make([]chan uint8, depth)
				for i := range chans {
					chans[i] = make(chan uint8, 1)
				}
				byRing := func(w int) error {
					if err := cl.Submit(0, 0, 0, nil, size, func(r standin.Reply) { chans[w] <- r.Status }); err != nil {
						return err
					}
					if st := <-chans[w]; st != 0 {
						return fmt.Errorf("status %d", st)
					}
					return nil
				}
				nodeTimes, ringTimes := hdrhistogram.New(1, 1e10, 3), hdrhistogram.New(1, 1e10, 3)
				var nodeTotal, ringTotal time.Duration
				var nodeMem, ringMem, m0, m1 runtime.MemStats
				const batchSize = 500
				warm := hdrhistogram.New(1, 1e10, 3)
				runLoad(200, depth, warm, byNode)
				runLoad(200, depth, warm, byRing)
				n := 0
				b.ResetTimer()
				for n < b.N {
					k := min(batchSize, b.N-n)
					n += k
					runtime.ReadMemStats(&m0)
					t, err := runLoad(k, depth, nodeTimes, byNode)
					if err != nil {
						b.Fatal(err)
					}
					nodeTotal += t
					runtime.ReadMemStats(&m1)
					nodeMem.Mallocs += m1.Mallocs - m0.Mallocs
					if t, err = runLoad(k, depth, ringTimes, byRing); err != nil {
						b.Fatal(err)
					}
					ringTotal += t
					runtime.ReadMemStats(&m0)
					ringMem.Mallocs += m0.Mallocs - m1.Mallocs
				}
				b.ReportMetric(float64(ringTotal)/float64(nodeTotal), "ratio")
				b.ReportMetric(float64(nodeTimes.ValueAtQuantile(50))/1e3, "node-p50-us")
				b.ReportMetric(float64(ringTimes.ValueAtQuantile(50))/1e3, "ring-p50-us")
				b.ReportMetric(float64(nodeTimes.ValueAtQuantile(99))/1e3, "node-p99-us")
				b.ReportMetric(float64(ringTimes.ValueAtQuantile(99))/1e3, "ring-p99-us")
				b.ReportMetric(float64(ringMem.Mallocs)/float64(n)-float64(nodeMem.Mallocs)/float64(n), "more-allocs/op")
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}
