package gateway_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"appleplank/internal/engine"
	"appleplank/internal/fleet"
	"appleplank/internal/standin"
)

var seeds = flag.Int("seeds", 1, "seeds of the measurement of a lost zone")

// lostZoneSettings holds the settings of the benchmark: classes for saves, reads and reports.
const lostZoneSettings = `
class_(name = "save", aim = ms(300), deadline = s(2), worth = 3, late_share = 0.2, in_order = True, writes = True, bends = True)
class_(name = "read", aim = ms(250), deadline = s(2), worth = 2, late_share = 0.2)
class_(name = "report", aim = s(1), deadline = s(3), worth = 1, late_share = 0.1)
class_(name = "copy", aim = s(1), deadline = s(4), worth = 0.1, late_share = 0.5, in_order = True, writes = True)
plan(name = "p", rate = 400, reserve = 400)
plan(name = "catch-up", rate = 100, weight = 0.1)
rules(answer_slack = ms(100), stop_sending = s(1), order_pause = ms(100), cold_from = 0.2, cold_time = s(3), cold_units = 50,
    overload_time = s(1), tip_multiple = 4, budget_window = s(1), budget_free = 5, budget_per_take = 0.2)
TABLE = [dict(kind = "read", class_ = "read", up_to = KiB(64)), dict(kind = "read", class_ = "report"), dict(kind = "write", class_ = "save"),
    dict(kind = "flush", class_ = "save"), dict(kind = "discard", class_ = "save"), dict(kind = "write_zeroes", class_ = "save")]
`

var lostZoneClasses = []struct {
	name  string
	kind  uint32
	size  int
	rate  float64 // requests per second through each gateway
	aim   time.Duration
	worth float64
}{{"save", 1, 4 << 10, 80, 300 * time.Millisecond, 3}, {"read", 0, 16 << 10, 150, 250 * time.Millisecond, 2}, {"report", 0, 256 << 10, 16, time.Second, 1}}

// measureLostZone simulates the loss of four of a zone's seven nodes. For the gateway of that zone it returns the share
// of each class's requests served in time while the nodes were away, and the bytes that crossed zones by class; most is
// the maximum of bytes that all gateways together sent across zones in a second.
func measureLostZone(b *testing.B, seed uint64, budget string, mirrors bool) (service [3]float64, crossed map[int]int64, most float64) {
	s := fleet.Shape{Nodes: 14, Gateways: 2, GatewayZones: []int{0, 1}, Links: true, Listed: true, Head: lostZoneSettings,
		Gateway: ", unit_mean = 1.2, unit_top = 4, max_attempts = 4",
		More:    "state(dir = \"kept-%s\")\n" + budget,
		Node: standin.NodeConfig{Cores: 2, Base: 8 * time.Millisecond, PerKiB: 60 * time.Microsecond, QueueMost: 64, ColdFrom: 0.2, ColdTime: 3 * time.Second,
			TipOver: 4, TipTime: time.Second, WriteCache: true, InCapsule: 8192, Volatile: true}}
	if mirrors {
		s.More += "copies(class_ = \"copy\", plan = \"catch-up\", region = KiB(256))\n"
	}
	for g := range 2 {
		v := fleet.Volume{Name: fmt.Sprint("v", g), Plan: "p", Extent: 4 << 20, Gateways: []int{g}, Table: "TABLE"}
		for i := range 7 {
			v.Cells = append(v.Cells, g*7+i)
			if mirrors {
				v.Mirrors = append(v.Mirrors, []int{(1-g)*7 + i})
			}
		}
		s.Volumes = append(s.Volumes, v)
	}
	for i := range 14 {
		s.NodeZones = append(s.NodeZones, i/7)
	}
	f, gws, stop := startFleet(b, s)
	defer stop()
	for _, z := range []int{0, 1} {
		f.Link(z, 1-z).Set(func(s *standin.LinkState) { s.Delay, s.Jitter = 2*time.Millisecond, time.Millisecond })
	}
	const length, lose, back = 11 * time.Second, 3 * time.Second, 9 * time.Second
	began := time.Now()
	var mu sync.Mutex
	var inTime, total [3]float64
	var wg sync.WaitGroup
	for g := range 2 {
		for k, c := range lostZoneClasses {
			cl, err := f.Dial(g, fmt.Sprint("v", g), standin.ClientConfig{Queues: 1, Depth: 64, MostData: 256 << 10, Advice: true}, 2*time.Second)
			if err != nil {
				b.Fatal(err)
			}
			defer cl.Vanish()
			rng := rand.New(rand.NewPCG(seed, uint64(g*8+k)))
			wg.Add(1)
			go func() {
				defer wg.Done()
				for at := time.Duration(0); ; {
					at += time.Duration(rng.ExpFloat64() / c.rate * float64(time.Second))
					if at > length {
						return
					}
					sector := uint64(rng.IntN(7*4<<20/c.size)) * uint64(c.size) / 512
					time.Sleep(time.Until(began.Add(at)))
					wg.Add(1)
					go func() {
						defer wg.Done()
						start := time.Now()
						r, err := cl.Do(0, c.kind, sector, make([]byte, c.size), c.size)
						if g != 0 || at < lose || at > back {
							return
						}
						mu.Lock()
						defer mu.Unlock()
						if total[k]++; err == nil && r.Status == 0 && time.Since(start) <= c.aim {
							inTime[k]++
						}
					}()
				}
			}()
		}
	}
	listNodes := func(lost bool) { f.List(func(n int) bool { return !lost || n >= 4 }) }
	var tally []int64
	samplesDone := make(chan struct{})
	go func() {
		defer close(samplesDone)
		for time.Since(began) < length {
			sum := int64(0)
			for _, g := range gws {
				rows, _ := g.Engine.Crossing()
				for _, r := range rows {
					if r.Reason != engine.LocalZone && r.Reason != engine.Withheld {
						sum += r.Out + r.In
					}
				}
			}
			tally = append(tally, sum)
			time.Sleep(250 * time.Millisecond)
		}
	}()
	time.Sleep(time.Until(began.Add(lose)))
	listNodes(true)
	for _, n := range f.Nodes[:4] {
		n.Crash()
	}
	time.Sleep(time.Until(began.Add(back)))
	for _, n := range f.Nodes[:4] {
		if err := n.Up(false); err != nil {
			b.Error(err)
		}
	}
	listNodes(false)
	wg.Wait()
	<-samplesDone
	for i := 4; i < len(tally); i++ {
		most = max(most, float64(tally[i]-tally[i-4]))
	}
	for k := range service {
		service[k] = inTime[k] / max(total[k], 1)
	}
	crossed = map[int]int64{}
	rows, _ := gws[0].Engine.Crossing()
	for _, r := range rows {
		if r.Reason != engine.LocalZone && r.Reason != engine.Withheld {
			crossed[r.Class] += r.Out + r.In
		}
	}
	for _, n := range f.Nodes {
		if n.Fell() {
			b.Errorf("a node was pushed over")
		}
	}
	return service, crossed, most
}

// BenchmarkLostZone reports the service of a zone's clients while four of its seven nodes are lost, for several limits
// on the traffic between zones. It does not report time per operation.
func BenchmarkLostZone(b *testing.B) {
	const rate = "crossing(rate = MiB(2), burst = MiB(2), hold_back = %v, lost = 0.5, bend = %v, bend_for = s(60))\n"
	for _, x := range []struct {
		name, budget string
		mirrors      bool
	}{
		{"budget", fmt.Sprintf(rate, 0.4, 3.0), true}, {"none", "", true}, {"flat", fmt.Sprintf(rate, 0.0, 1.0), true}, {"home", "", false},
	} {
		b.Run(x.name, func(b *testing.B) {
			var sum [3]float64
			bytes := map[int]float64{}
			most := 0.0
			for seed := range *seeds {
				service, crossed, m := measureLostZone(b, uint64(seed)+1, x.budget, x.mirrors)
				b.Logf("seed %d: save %.3f read %.3f report %.3f; crossed MiB save %.1f read %.1f report %.1f copy %.1f; most in a second %.1f MiB", seed+1,
					service[0], service[1], service[2], float64(crossed[0])/(1<<20), float64(crossed[1])/(1<<20), float64(crossed[2])/(1<<20),
					float64(crossed[3])/(1<<20), m/(1<<20))
				for k := range sum {
					sum[k] += service[k]
				}
				for k, n := range crossed {
					bytes[k] += float64(n)
				}
				most = max(most, m)
			}
			worth, due := 0.0, 0.0
			for k, c := range lostZoneClasses {
				b.ReportMetric(sum[k]/float64(*seeds), c.name)
				worth += c.rate * c.worth * sum[k] / float64(*seeds)
				due += c.rate * c.worth
			}
			b.ReportMetric(worth/due, "worth")
			all := 0.0
			for k := range 4 {
				all += bytes[k]
			}
			b.ReportMetric(all/float64(*seeds)/(1<<20), "MiB-crossed")
			b.ReportMetric(most/(1<<20), "most-MiB/s")
			b.ReportMetric(0, "ns/op")
		})
	}
}
