package gateway_test

import (
	"context"
	"flag"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"appleplank/internal/fleet"
	"appleplank/internal/gateway"
	"appleplank/internal/settings"
	"appleplank/internal/standin"
	"go.uber.org/zap"
)

var restarts = flag.Int("restarts", 12, "restarts of the limit test")

// startGateway runs one gateway; stop drains it, or with hard ends it at once.
func startGateway(t testing.TB, path string) (g *gateway.Gateway, stop func(hard bool)) {
	t.Helper()
	cfg, err := settings.Load(path)
	if err != nil {
		t.Fatal(err)
	}
	if g, err = gateway.New(cfg, zap.NewNop()); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	hard, cut := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- g.Run(ctx, hard) }()
	return g, func(now bool) {
		if now {
			cut()
		}
		cancel()
		if err := <-done; err != nil && !now {
			t.Errorf("gateway: %v", err)
		}
		cut()
	}
}

// TestLimitOverRestarts guards against a limit that starts full after a restart. Over many restarts in quick
// succession, drained and killed, with and without saved state, the nodes receive no more requests than the plan's
// limit allows.
func TestLimitOverRestarts(t *testing.T) {
	for _, kept := range []bool{true, false} {
		s := singleVolume()
		s.Node.Record = true
		s.Head = strings.Replace(fleet.Head, "limit = 120, limit_burst = 60, limit_slack = 12", "limit = 200, limit_burst = 40, limit_slack = 10", 1)
		s.Volumes[0].Plan = "basic"
		if kept {
			s.More = "state(dir = \"kept\", every = ms(20))\n"
		}
		f, err := fleet.New(t.TempDir(), s)
		if err != nil {
			t.Fatal(err)
		}
		stopLoad := make(chan struct{})
		var wg sync.WaitGroup
		wg.Add(1)
		go func() { // sends many times the limit throughout
			defer wg.Done()
			for {
				select {
				case <-stopLoad:
					return
				default:
				}
				cl, err := f.Dial(0, "orders", standin.ClientConfig{Queues: 1, Depth: 16, MostData: 4096}, 0)
				if err != nil {
					time.Sleep(5 * time.Millisecond)
					continue
				}
				wg.Add(1)
				cl.Watch(func() { go cl.Vanish() })
				go func() {
					defer wg.Done()
					<-stopLoad
					cl.Vanish()
				}()
				for i := 0; cl.Submit(0, 0, uint64(i%512)*8, nil, 4096, func(standin.Reply) {}) == nil; i++ {
					time.Sleep(500 * time.Microsecond)
				}
			}
		}()
		for i := range *restarts {
			_, stop := startGateway(t, f.Settings[0])
			time.Sleep(time.Duration(100+37*i%200) * time.Millisecond)
			stop(i%2 == 0)
		}
		close(stopLoad)
		wg.Wait()
		const rate, burst, slack, jitter = 200.0, 40.0, 10.0, 0.1
		var arrivals []time.Time
		for _, n := range f.Nodes {
			for _, c := range n.Records() {
				arrivals = append(arrivals, c.Received)
			}
		}
		f.Close()
		if len(arrivals) == 0 {
			t.Fatal("nothing was sent")
		}
		least := minBucketLevel(arrivals, rate, burst)
		if least < -slack-rate*jitter {
			t.Errorf("state kept %v: the limit's store went to %.1f, slack is %.0f", kept, least, slack)
		}
		t.Logf("state kept %v, %d restarts: the limit's store went down to %.1f, slack %.0f", kept, *restarts, least, slack)
	}
}

// TestRestartWithState checks that learned values are restored after a restart, and that a state that is damaged,
// missing or a folder does not prevent a gateway from serving.
func TestRestartWithState(t *testing.T) {
	s := singleVolume()
	s.More = "state(dir = \"kept\", every = ms(20))\n"
	f, err := fleet.New(t.TempDir(), s)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	serve := func() {
		t.Helper()
		cl, err := f.Dial(0, "orders", standin.ClientConfig{}, time.Second)
		if err != nil {
			t.Fatal(err)
		}
		defer cl.Vanish()
		err = fleet.Eventually(5*time.Second, func() bool { r, err := cl.Do(0, 0, 0, nil, 4096); return err == nil && r.Status == 0 })
		if err != nil {
			t.Error(err)
		}
		if r, err := cl.Do(0, 1, 0, make([]byte, 4096), 4096); err != nil || r.Status != 0 {
			t.Errorf("a write: status %d, %v", r.Status, err)
		}
	}
	g, stop := startGateway(t, f.Settings[0])
	serve()
	m, _ := g.Engine.Snapshot()
	if m.Unit == 0 || len(m.Volumes) != 1 {
		t.Fatalf("nothing was learned: %+v", m)
	}
	if _, err := gateway.New(config(t, f.Settings[0]), zap.NewNop()); err == nil || !strings.Contains(err.Error(), "is held by gateway gw0, process") {
		t.Errorf("a second gateway on the folder: %v", err)
	}
	stop(false)
	g, stop = startGateway(t, f.Settings[0])
	again, _ := g.Engine.Snapshot()
	if again.Unit != m.Unit && again.Unit == 0 || len(again.Nodes) != 2 || len(again.Volumes) != 1 {
		t.Errorf("after a restart: %+v, was %+v", again, m)
	}
	serve()
	stop(true)
	file := filepath.Join(f.Dir, "kept", "state")
	for name, breakState := range map[string]func(){
		"damaged": func() { os.WriteFile(file, []byte("no state"), 0o644) },
		"missing": func() { os.Remove(file) },
		"a folder in its place": func() {
			os.Remove(file)
			os.Mkdir(file, 0o755)
		},
	} {
		breakState()
		_, stop := startGateway(t, f.Settings[0])
		serve()
		stop(false)
		t.Log(name)
		os.RemoveAll(file)
	}
	if aside, _ := filepath.Glob(file + ".aside-*"); len(aside) == 0 {
		t.Error("the damaged file was not set aside")
	}
}

func config(t *testing.T, path string) *settings.Config {
	t.Helper()
	cfg, err := settings.Load(path)
	if err != nil {
		t.Fatal(err)
	}
	return cfg
}

// minBucketLevel returns the lowest level of a limit's token bucket when a unit arrives at each of the times.
func minBucketLevel(arrivals []time.Time, rate, burst float64) (least float64) {
	slices.SortFunc(arrivals, time.Time.Compare)
	level, last := burst, arrivals[0]
	least = burst
	for _, at := range arrivals {
		level = min(level+rate*at.Sub(last).Seconds(), burst) - 1
		last = at
		least = min(least, level)
	}
	return least
}
