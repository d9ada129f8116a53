package gateway_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"appleplank/internal/fleet"
	"appleplank/internal/standin"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// BenchmarkStart measures the time from the start of a gateway with a saved state of 46 nodes and 400 volumes to its
// first answer.
func BenchmarkStart(b *testing.B) {
	s := fleet.Shape{Nodes: 46, Gateways: 1, Node: fleet.FastNode(), Head: fleet.Head, More: "state(dir = \"kept\")\nbounds(io_queues = 1)\n"}
	for i := range 400 {
		s.Volumes = append(s.Volumes, fleet.Volume{Name: fmt.Sprint("v", i), Plan: "priority", Cells: []int{i % 46, (i + 7) % 46, (i + 19) % 46},
			Extent: 64 << 10, Gateways: []int{0}, Table: "TABLE"})
	}
	f, err := fleet.New(b.TempDir(), s)
	if err != nil {
		b.Fatal(err)
	}
	defer f.Close()
	first := func() time.Duration {
		began := time.Now()
		_, stop := startGateway(b, f.Settings[0])
		for {
			cl, err := f.Dial(0, "v17", standin.ClientConfig{}, time.Second)
			if err != nil {
				b.Fatal(err)
			}
			r, err := cl.Do(0, 0, 0, nil, 4096)
			cl.Vanish()
			if err != nil {
				b.Fatal(err)
			}
			if r.Status == 0 {
				break
			}
		}
		took := time.Since(began)
		for i := 0; i < 400; i += 3 { // so that the state has entries for these volumes
			if cl, err := f.Dial(0, fmt.Sprint("v", i), standin.ClientConfig{}, time.Second); err == nil {
				cl.Do(0, 0, 0, nil, 4096)
				cl.Vanish()
			}
		}
		stop(false)
		return took
	}
	first()
	sum := time.Duration(0)
	n := 0
	for b.Loop() {
		sum += first()
		n++
	}
	st, _ := os.Stat(filepath.Join(f.Dir, "kept", "state"))
	b.ReportMetric(float64(st.Size()), "state-bytes")
	b.ReportMetric(float64(sum.Milliseconds())/float64(n), "ms-to-first-answer")
}

// BenchmarkRestart counts, with 5 of 14 nodes slow, the requests sent to the slow nodes and those served in time within
// four seconds, for a gateway that is restarted with its state, one that is restarted without, and one that keeps
// running. All three run at once, each with its own nodes.
func BenchmarkRestart(b *testing.B) {
	for b.Loop() {
		var wg sync.WaitGroup
		for _, how := range []string{"goes on", "with state", "without"} {
			s := fleet.Shape{Nodes: 14, Gateways: 1, Head: fleet.Head, More: "state(dir = \"kept\", every = ms(100))\n",
				Node: standin.NodeConfig{Base: 6 * time.Millisecond, WriteCache: true, InCapsule: 8192}}
			v := fleet.Volume{Name: "disk", Plan: "priority", Extent: 1 << 20, Gateways: []int{0}, Table: "TABLE"}
			for i := range 14 {
				v.Cells = append(v.Cells, i)
			}
			s.Volumes = []fleet.Volume{v}
			f, err := fleet.New(b.TempDir(), s)
			if err != nil {
				b.Fatal(err)
			}
			for i := range 5 {
				f.Nodes[i].Set(func(t *standin.Trouble) { t.Slow = 60 })
			}
			wg.Add(1)
			go func() {
				defer wg.Done()
				defer f.Close()
				_, stop := startGateway(b, f.Settings[0])
				load := func(d time.Duration) (asked, inTime int) {
					cl, err := f.Dial(0, "disk", standin.ClientConfig{Queues: 2, Depth: 256, MostData: 4096}, 5*time.Second)
					if err != nil {
						b.Error(err)
						return
					}
					var mu sync.Mutex
					rng := rand.New(rand.NewPCG(4, 4))
					for end := time.Now().Add(d); time.Now().Before(end); asked++ {
						began := time.Now()
						cl.Submit(asked&1, 0, rng.Uint64N(14*256)*8, nil, 4096, func(r standin.Reply) {
							mu.Lock()
							if r.Status == 0 && time.Since(began) < 250*time.Millisecond {
								inTime++
							}
							mu.Unlock()
						})
						time.Sleep(time.Duration(rng.ExpFloat64() * float64(3*time.Millisecond)))
					}
					time.Sleep(400 * time.Millisecond)
					cl.Vanish()
					return asked, inTime
				}
				slow := func() (n uint64) {
					for i := range 5 {
						n += f.Nodes[i].Taken.Load()
					}
					return n
				}
				load(4 * time.Second)
				if how != "goes on" {
					stop(true) // killed: the last state is up to 100 ms old
					if how == "without" {
						os.RemoveAll(filepath.Join(f.Dir, "kept"))
					}
					_, stop = startGateway(b, f.Settings[0])
				}
				before := slow()
				asked, inTime := load(4 * time.Second)
				b.Logf("%s: %d sent to slow nodes, %d of %d in time (%.3f)", how, slow()-before, inTime, asked, float64(inTime)/float64(asked))
				stop(false)
			}()
		}
		wg.Wait()
	}
}

// BenchmarkKeeping compares reads at depth 1 through a gateway that saves its state ten times a second with reads
// through one that saves none; the two alternate within one run.
func BenchmarkKeeping(b *testing.B) {
	var cls [2]*standin.Client
	var histograms [2]*hdrhistogram.Histogram
	for i, more := range []string{"", "state(dir = \"kept\", every = ms(100))\n"} {
		s := singleVolume()
		s.More = more
		f, err := fleet.New(b.TempDir(), s)
		if err != nil {
			b.Fatal(err)
		}
		defer f.Close()
		_, stop := startGateway(b, f.Settings[0])
		defer stop(false)
		if cls[i], err = f.Dial(0, "orders", standin.ClientConfig{MostData: 4096, EventIdx: true}, 5*time.Second); err != nil {
			b.Fatal(err)
		}
		defer cls[i].Vanish()
		histograms[i] = hdrhistogram.New(1, 1e10, 3)
	}
	var sum [2]time.Duration
	n := 0
	for b.Loop() {
		for i, cl := range cls {
			for range 100 {
				began := time.Now()
				ch := make(chan struct{})
				if err := cl.Submit(0, 0, 0, nil, 4096, func(standin.Reply) { close(ch) }); err != nil {
					b.Fatal(err)
				}
				<-ch
				histograms[i].RecordValue(time.Since(began).Nanoseconds())
				sum[i] += time.Since(began)
			}
		}
		n++
	}
	b.ReportMetric(float64(sum[1])/float64(sum[0]), "ratio-mean")
	b.ReportMetric(float64(histograms[1].ValueAtQuantile(50))/float64(histograms[0].ValueAtQuantile(50)), "ratio-p50")
	b.ReportMetric(float64(histograms[1].ValueAtQuantile(99))/float64(histograms[0].ValueAtQuantile(99)), "ratio-p99")
}
