package gateway_test

import (
	"strings"
	"sync"
	"testing"
	"time"

	"appleplank/internal/fleet"
	"appleplank/internal/standin"
)

// TestLimitHoldsAfterALinkHeldReads guards against a limit that refills while a link delays reads: these reach the
// nodes after the limit's bucket has filled up, and the volume's share of it must not have been refilled as well.
func TestLimitHoldsAfterALinkHeldReads(t *testing.T) {
	const rate, burst, slack, jitter = 20.0, 20.0, 2.0, 0.1
	s := singleVolume()
	s.Links, s.NodeZones = true, []int{0, 1}
	s.Node.Record = true
	s.Head = strings.NewReplacer("limit = 120, limit_burst = 60, limit_slack = 12", "limit = 20, limit_burst = 20, limit_slack = 2",
		"aim = ms(250), deadline = s(2)", "aim = s(4), deadline = s(4)").Replace(fleet.Head)
	s.Volumes[0].Plan = "basic"
	f, err := fleet.New(t.TempDir(), s)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	_, stop := startGateway(t, f.Settings[0])
	defer stop(false)
	cl, err := f.Dial(0, "orders", standin.ClientConfig{Queues: 1, Depth: 64, MostData: 4096}, 5*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	defer cl.Vanish()
	var wait sync.WaitGroup
	read := func(extent, requests int) {
		for i := range requests {
			wait.Add(1)
			sector := (uint64(extent)*(4<<20) + uint64(i)*4096) / 512
			if err := cl.Submit(0, 0, sector, nil, 4096, func(standin.Reply) { wait.Done() }); err != nil {
				t.Fatal(err)
			}
		}
	}
	time.Sleep(time.Duration((burst + slack) / rate * float64(time.Second))) // the share is full
	link := f.Link(0, 1)
	link.Set(func(s *standin.LinkState) { s.CutThere = true })
	read(1, 8)
	time.Sleep(700 * time.Millisecond)
	link.Set(func(s *standin.LinkState) { s.CutThere = false })
	wait.Wait()
	read(0, 32)
	wait.Wait()
	var arrivals []time.Time
	for _, n := range f.Nodes {
		for _, c := range n.Records() {
			arrivals = append(arrivals, c.Received)
		}
	}
	if len(arrivals) < 28 {
		t.Fatalf("%d requests arrived, fewer than the limit allows at once", len(arrivals))
	}
	if least := minBucketLevel(arrivals, rate, burst); least < -slack-rate*jitter {
		t.Errorf("the limit's store went to %.1f, slack is %.0f", least, slack)
	}
}
