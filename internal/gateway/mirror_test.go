package gateway_test

import (
	"bytes"
	"encoding/binary"
	"flag"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"appleplank/internal/block"
	"appleplank/internal/fleet"
	"appleplank/internal/gateway"
	"appleplank/internal/settings"
	"appleplank/internal/standin"
)

// mirroredShape is a fleet with a copy of all data in each of two zones and the gateway in zone 0.
func mirroredShape(hold int, more string) fleet.Shape {
	s := singleVolume()
	s.Nodes, s.NodeZones = 4, []int{0, 0, 1, 1}
	s.Node = fleet.FastNode()
	s.Node.Volatile = true
	s.Head = fleet.Head + `
class_(name = "copy", aim = s(1), deadline = s(4), worth = 0.1, late_share = 0.5, in_order = True, writes = True)
plan(name = "catch-up", rate = 100, weight = 0.1)
`
	s.Volumes[0].Cells, s.Volumes[0].Mirrors = []int{0, 1, 2}, [][]int{{2}, {3}, {0}}
	s.Volumes[0].Extent = 4 << 20
	s.More = fmt.Sprintf("state(dir = \"kept-%%s\", every = ms(50))\ncopies(class_ = \"copy\", plan = \"catch-up\", hold = %d, region = KiB(64), together = 4)\nrules(order_pause = ms(50))\n", hold) + more
	return s
}

// waitUntilWhole waits until no copy is stale any more.
func waitUntilWhole(t *testing.T, g *gateway.Gateway) {
	t.Helper()
	if err := fleet.Eventually(20*time.Second, func() bool {
		for _, m := range g.Engine.Mirrors() {
			if m.Stale > 0 {
				return false
			}
		}
		return true
	}); err != nil {
		t.Fatalf("copies are still stale: %+v", g.Engine.Mirrors())
	}
}

// checkCopiesEqual checks that all copies of a volume hold the same data at the nodes.
func checkCopiesEqual(t *testing.T, f *fleet.Fleet, volume int) {
	t.Helper()
	for at := int64(0); at < f.Shape.Volumes[volume].Size(); at += 4096 {
		var first []byte
		for i, p := range f.Copies(volume, at) {
			b := make([]byte, 4096)
			f.Nodes[p.Node].Read(p.Namespace, p.Offset, b)
			if i == 0 {
				first = b
			} else if !bytes.Equal(b, first) {
				t.Fatalf("bytes from %d: copy %d differs", at, i)
			}
		}
	}
}

// writer writes blocks repeatedly and records the oldest value that each may hold.
type writer struct {
	t              testing.TB
	cl             *standin.Client
	served, failed int
	acked          map[int64]uint64 // by offset: the last value whose write was served
	unconfirmed    map[int64]uint64 // by offset: a later value whose write was not served
	n              uint64
	rng            *rand.Rand
}

func (w *writer) write(at int64) bool {
	w.n++
	b := make([]byte, 4096)
	for i := 0; i < len(b); i += 512 {
		binary.LittleEndian.PutUint64(b[i:], w.n)
	}
	r, err := w.cl.Do(0, 1, uint64(at)/512, b, len(b))
	if err == nil && r.Status == 0 {
		w.served++
		w.acked[at] = w.n
		delete(w.unconfirmed, at)
		return true
	}
	w.failed++
	w.unconfirmed[at] = w.n
	return false
}

func (w *writer) read(at int64) bool {
	r, err := w.cl.Do(0, 0, uint64(at)/512, nil, 4096)
	if err != nil || r.Status != 0 {
		return false
	}
	got := binary.LittleEndian.Uint64(r.Data)
	if open, ok := w.unconfirmed[at]; got < w.acked[at] || got > w.acked[at] && (!ok || got > open) {
		w.t.Errorf("block at %d holds %d, %d was served", at, got, w.acked[at])
	}
	return true
}

func (w *writer) work(until time.Time, size int64) {
	for time.Now().Before(until) {
		at := w.rng.Int64N(size/4096) * 4096
		if w.rng.IntN(2) == 0 {
			w.write(at)
		} else {
			w.read(at)
		}
	}
}

func newWriter(t testing.TB, cl *standin.Client) *writer {
	return &writer{t: t, cl: cl, acked: map[int64]uint64{}, unconfirmed: map[int64]uint64{}, rng: rand.New(rand.NewPCG(1, 2))}
}

// TestMirrorNodeDies crashes a node of each zone in turn; the node returns without the data that it had not yet stored.
// Meanwhile writes are served, reads never return overwritten data, and afterwards the node's copies are caught up.
func TestMirrorNodeDies(t *testing.T) {
	f, gws, stop := startFleet(t, mirroredShape(1, ""))
	defer stop()
	cl, err := f.Dial(0, "orders", standin.ClientConfig{Queues: 1, Depth: 4, MostData: 64 << 10}, time.Second)
	if err != nil {
		t.Fatal(err)
	}
	defer cl.Vanish()
	w := newWriter(t, cl)
	size := f.Shape.Volumes[0].Size()
	w.work(time.Now().Add(300*time.Millisecond), size)
	for _, node := range []int{2, 0} {
		before := w.served
		f.Nodes[node].Crash()
		w.work(time.Now().Add(1200*time.Millisecond), size)
		if w.served-before < 50 {
			t.Errorf("%d writes were served while node %d was dead, %d not", w.served-before, node, w.failed)
		}
		if err := f.Nodes[node].Up(false); err != nil {
			t.Fatal(err)
		}
		w.work(time.Now().Add(300*time.Millisecond), size)
		waitUntilWhole(t, gws[0])
	}
	for at := int64(0); at < size; at += 4096 {
		if !w.read(at) {
			t.Fatalf("read at %d was not served", at)
		}
	}
	checkCopiesEqual(t, f, 0)
	var moves uint64
	for _, m := range gws[0].Engine.Mirrors() {
		moves += m.Tally.Moves
	}
	if moves == 0 {
		t.Error("no lead ever moved")
	}
}

// TestMirrorHoldsTwo checks that a change that two copies must hold is refused at once, with a time to retry and
// without effect, while only one copy is whole and reachable.
func TestMirrorHoldsTwo(t *testing.T) {
	f, gws, stop := startFleet(t, mirroredShape(2, ""))
	defer stop()
	cl, err := f.Dial(0, "orders", standin.ClientConfig{Queues: 1, Depth: 4, MostData: 64 << 10, Advice: true}, time.Second)
	if err != nil {
		t.Fatal(err)
	}
	defer cl.Vanish()
	w := newWriter(t, cl)
	if !w.write(0) {
		t.Fatalf("not served with both copies there: %+v, %+v", gws[0].Engine.Tally(), gws[0].Engine.Mirrors())
	}
	checkCopiesEqual(t, f, 0)
	f.Nodes[2].Drain(true)
	if err := fleet.Eventually(2*time.Second, func() bool {
		r, err := cl.Do(0, 1, 64, make([]byte, 4096), 4096)
		return err == nil && r.Verdict == block.Refused && r.Wait > 0
	}); err != nil {
		t.Fatal("not refused with one copy in reach")
	}
	if !w.read(0) {
		t.Error("a read was not served")
	}
	f.Nodes[2].Drain(false)
	if err := fleet.Eventually(5*time.Second, func() bool { return w.write(0) }); err != nil {
		t.Error("not served with both copies back")
	}
	waitUntilWhole(t, gws[0])
	checkCopiesEqual(t, f, 0)
}

var mirrorKills = flag.Int("mirror-kills", 12, "kills of the test of copies")

// TestMirrorGatewayKilled kills gateways at any time, also between the writes to two copies. After each start all
// answered writes are there, reads never return an older value than before, and the copies become equal.
func TestMirrorGatewayKilled(t *testing.T) {
	f, err := fleet.New(t.TempDir(), mirroredShape(1, ""))
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	w := newWriter(t, nil)
	const spread = 1 << 20 // of each extent
	var g *gateway.Gateway
	var stop func(bool)
	rng := rand.New(rand.NewPCG(5, 6))
	for round := range *mirrorKills {
		g, stop = startGateway(t, f.Settings[0])
		if w.cl, err = f.Dial(0, "orders", standin.ClientConfig{Queues: 1, Depth: 4, MostData: 64 << 10}, time.Second); err != nil {
			t.Fatal(err)
		}
		time.Sleep(60 * time.Millisecond) // changes are refused for a while after a kill
		for at := range w.acked {
			w.read(at)
		}
		var wg sync.WaitGroup
		wg.Add(1)
		until := time.Now().Add(time.Duration(20+rng.IntN(150)) * time.Millisecond)
		go func() {
			defer wg.Done()
			w.work(until, spread)
		}()
		time.Sleep(time.Duration(10+rng.IntN(120)) * time.Millisecond)
		if round%3 == 2 { // a node crashes together with the gateway
			f.Nodes[2].Crash()
		}
		stop(true)
		w.cl.Vanish() // requests in flight are never answered
		wg.Wait()
		if round%3 == 2 {
			if err := f.Nodes[2].Up(false); err != nil {
				t.Fatal(err)
			}
		}
	}
	if w.served < 100 {
		t.Errorf("only %d writes were served", w.served)
	}
	g, stop = startGateway(t, f.Settings[0])
	defer stop(false)
	waitUntilWhole(t, g)
	checkCopiesEqual(t, f, 0)
}

var cutDuration = flag.Duration("cut", 2500*time.Millisecond, "how long the link between two zones is cut")

// TestMirrorLinkCut cuts the link to the other zone while both sides run: in both directions, in one direction, and
// repeatedly. Extents with a copy in the gateway's zone are served throughout, every request is answered in time, and
// afterwards the copies are caught up.
func TestMirrorLinkCut(t *testing.T) {
	s := mirroredShape(1, "crossing(rate = MiB(64), burst = MiB(64))\ntimes(connect = ms(300), keep_alive = s(2))\n")
	s.Links = true
	s.Volumes[0].Cells, s.Volumes[0].Mirrors = []int{0, 2}, [][]int{{2}, {1}} // one lead in the gateway's zone, one in the other
	f, gws, stop := startFleet(t, s)
	defer stop()
	cl, err := f.Dial(0, "orders", standin.ClientConfig{Queues: 1, Depth: 4, MostData: 64 << 10}, time.Second)
	if err != nil {
		t.Fatal(err)
	}
	defer cl.Vanish()
	w := newWriter(t, cl)
	size := f.Shape.Volumes[0].Size()
	w.work(time.Now().Add(200*time.Millisecond), size)
	link := f.Link(0, 1)
	for _, x := range []struct {
		name  string
		state standin.LinkState
		every time.Duration
	}{{"both ways", standin.LinkState{CutThere: true, CutBack: true}, 0}, {"there", standin.LinkState{CutThere: true}, 0},
		{"back", standin.LinkState{CutBack: true}, 0}, {"flapping", standin.LinkState{CutThere: true, CutBack: true}, *cutDuration / 10}} {
		served, failed, slowest := w.served, w.failed, time.Duration(0)
		until := time.Now().Add(*cutDuration)
		var wg sync.WaitGroup
		wg.Add(1)
		go func() {
			defer wg.Done()
			for on := true; time.Now().Before(until); on = !on {
				link.Set(func(s *standin.LinkState) {
					if *s = (standin.LinkState{}); on {
						*s = x.state
					}
				})
				time.Sleep(min(max(x.every, time.Millisecond), time.Until(until)))
				for x.every == 0 && time.Now().Before(until) {
					time.Sleep(time.Until(until))
				}
			}
			link.Set(func(s *standin.LinkState) { *s = standin.LinkState{} })
		}()
		for time.Now().Before(until) {
			began := time.Now()
			w.work(began.Add(time.Millisecond), size)
			slowest = max(slowest, time.Since(began))
		}
		wg.Wait()
		t.Logf("cut %s for %v: %d writes served, %d not, the slowest step %v", x.name, *cutDuration, w.served-served, w.failed-failed, slowest)
		if w.served-served < 20 || w.failed-failed > (w.served-served)/10 {
			t.Errorf("cut %s: %d writes were served, %d not", x.name, w.served-served, w.failed-failed)
		}
		if slowest > 2500*time.Millisecond {
			t.Errorf("cut %s: a request took %v", x.name, slowest)
		}
	}
	waitUntilWhole(t, gws[0])
	for at := int64(0); at < size; at += 4096 {
		w.read(at)
	}
	checkCopiesEqual(t, f, 0)
}

// TestMirrorOneGateway checks that the settings refuse a mirrored volume at two gateways: only the gateway that serves
// it knows which changes a copy has missed.
func TestMirrorOneGateway(t *testing.T) {
	s := mirroredShape(1, "")
	s.Gateways = 2
	s.Volumes[0].Gateways = []int{0, 1}
	f, err := fleet.New(t.TempDir(), s)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	if _, err := settings.Load(f.Settings[0]); err == nil || !strings.Contains(err.Error(), "a mirrored volume is served by one") {
		t.Errorf("two gateways on a mirrored volume: %v", err)
	}
}
