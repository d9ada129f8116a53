package gateway_test

import (
	"bytes"
	"context"
	"encoding/binary"
	"testing"
	"time"

	"appleplank/internal/fleet"
	"appleplank/internal/gateway"
	"appleplank/internal/settings"
	"appleplank/internal/standin"
	"appleplank/logic"

	"go.uber.org/goleak"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// startFleet starts a fleet and its gateways in this process; stop drains the gateways and closes the fleet.
func startFleet(t testing.TB, shape fleet.Shape) (f *fleet.Fleet, gws []*gateway.Gateway, stop func()) {
	t.Helper()
	dir := t.TempDir()
	f, err := fleet.New(dir, shape)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, shape.Gateways)
	log := zap.NewNop()
	if testing.Verbose() && false {
		log = zaptest.NewLogger(t)
	}
	for _, path := range f.Settings {
		cfg, err := settings.Load(path)
		if err != nil {
			t.Fatal(err)
		}
		g, err := gateway.New(cfg, log)
		if err != nil {
			t.Fatal(err)
		}
		gws = append(gws, g)
		go func() { done <- g.Run(ctx, context.Background()) }()
	}
	for _, g := range gws {
		for i := range f.Nodes {
			n := g.Node(logic.NodeID(i + 1))
			if err := fleet.Eventually(5*time.Second, n.Up); err != nil {
				t.Fatalf("node %d is not reached: %v", i+1, err)
			}
		}
	}
	return f, gws, func() {
		cancel()
		for range gws {
			if err := <-done; err != nil {
				t.Errorf("gateway: %v", err)
			}
		}
		f.Close()
	}
}

func singleVolume() fleet.Shape {
	return fleet.Shape{Nodes: 2, Gateways: 1, Node: fleet.FastNode(), Head: fleet.Head,
		Volumes: []fleet.Volume{{Name: "orders", Plan: "priority", Cells: []int{0, 1, 0}, Extent: 4 << 20, Gateways: []int{0}, Table: "TABLE"}}}
}

// TestWholePath checks the path from a driver to the nodes: data written is read back, across the boundaries of extents
// and with every kind of ring, and lies on the nodes that the settings name.
func TestWholePath(t *testing.T) {
	for name, c := range map[string]standin.ClientConfig{
		"plain":     {Queues: 1, Depth: 4, MostData: 1 << 20},
		"event idx": {Queues: 2, Depth: 8, MostData: 1 << 20, EventIdx: true, Slots: true},
		"indirect":  {Queues: 4, Depth: 8, MostData: 1 << 20, EventIdx: true, Indirect: true, Advice: true},
		"no flush":  {Queues: 1, Depth: 4, MostData: 1 << 20, NoFlush: true},
	} {
		t.Run(name, func(t *testing.T) {
			f, _, stop := startFleet(t, singleVolume())
			defer stop()
			cl, err := f.Dial(0, "orders", c, time.Second)
			if err != nil {
				t.Fatal(err)
			}
			defer cl.Vanish()
			if cl.Disk.Sectors != 12<<20/512 {
				t.Errorf("the disk has %d sectors", cl.Disk.Sectors)
			}
			do := func(kind uint32, sector uint64, data []byte, size int) []byte {
				t.Helper()
				r, err := cl.Do(int(sector)%cl.Config.Queues, kind, sector, data, size)
				if err != nil || r.Status != 0 {
					t.Fatalf("request %d at %d: status %d (%v), %v", kind, sector, r.Status, r.Verdict, err)
				}
				return r.Data
			}
			data := make([]byte, 1<<20)
			for i := range data {
				data[i] = byte(i * 7 >> 3)
			}
			at := int64(4<<20 - 300*1024) // across the end of the first extent
			do(1, uint64(at/512), data, len(data))
			do(4, 0, nil, 0)
			if got := do(0, uint64(at/512), nil, len(data)); !bytes.Equal(got, data) {
				t.Error("read differs from what was written")
			}
			stored := make([]byte, 512)
			node, ns, off := f.FirstCopy(0, at)
			if f.Nodes[node].Read(ns, off, stored); !bytes.Equal(stored, data[:512]) {
				t.Error("the first node does not hold the first bytes")
			}
			node, ns, off = f.FirstCopy(0, 4<<20)
			if f.Nodes[node].Read(ns, off, stored); node != 1 || !bytes.Equal(stored, data[300*1024:300*1024+512]) {
				t.Errorf("node %d does not hold the bytes of the second extent", node)
			}
			zero := binary.LittleEndian.AppendUint64(nil, uint64(at/512))
			zero = binary.LittleEndian.AppendUint32(zero, 8)
			zero = binary.LittleEndian.AppendUint32(zero, 1)
			do(13, 0, zero, 16)
			if got := do(0, uint64(at/512), nil, 8192); !bytes.Equal(got[:4096], make([]byte, 4096)) || !bytes.Equal(got[4096:], data[4096:8192]) {
				t.Error("write zeroes did not clear what it should, or more")
			}
			if r, err := cl.Do(0, 11, 0, zero[:12:12], 12); err != nil || r.Status != 1 {
				t.Errorf("a discard of 12 bytes: status %d, %v", r.Status, err)
			}
			if r, err := cl.Do(0, 99, 0, nil, 0); err != nil || r.Status != 2 {
				t.Errorf("an unknown request: status %d, %v", r.Status, err)
			}
			if r, err := cl.Do(0, 0, cl.Disk.Sectors, nil, 512); err != nil || r.Status != 1 {
				t.Errorf("a read past the end: status %d, %v", r.Status, err)
			}
			if r, err := cl.Do(0, 8, 0, nil, 20); err != nil || r.Status != 0 || string(r.Data[:6]) != "orders" {
				t.Errorf("id %q, status %d, %v", r.Data, r.Status, err)
			}
			if _, err := cl.Stop(); err != nil {
				t.Error(err)
			}
			if cl.Strange() != 0 {
				t.Errorf("%d answers that match no request", cl.Strange())
			}
		})
	}
}

// TestMemoryBound checks that a volume whose nodes all hang accepts no requests beyond its limit of buffer memory,
// while another volume of the same gateway is served, and that every request is answered in the end.
func TestMemoryBound(t *testing.T) {
	s := fleet.Shape{Nodes: 2, Gateways: 1, Node: standin.NodeConfig{Base: time.Microsecond}, Head: fleet.Head, More: "bounds(request = KiB(512))\n",
		Volumes: []fleet.Volume{
			{Name: "full", Plan: "priority", Cells: []int{0}, Extent: 4 << 20, Gateways: []int{0}, Table: "TABLE", More: "memory = MiB(1),"},
			{Name: "other", Plan: "priority", Cells: []int{1}, Extent: 4 << 20, Gateways: []int{0}, Table: "TABLE"}}}
	f, gws, stop := startFleet(t, s)
	defer stop()
	f.Nodes[0].Set(func(t *standin.Trouble) { t.Hang = true })
	full, err := f.Dial(0, "full", standin.ClientConfig{Queues: 1, Depth: 12, MostData: 256 << 10}, time.Second)
	if err != nil {
		t.Fatal(err)
	}
	defer full.Vanish()
	answers := make(chan uint8, 12)
	for i := range 12 {
		if err := full.Submit(0, 0, uint64(i), nil, 256<<10, func(r standin.Reply) { answers <- r.Status }); err != nil {
			t.Fatal(err)
		}
	}
	if err := fleet.Eventually(time.Second, func() bool { return gws[0].Engine.Tally().Ops == 4 }); err != nil {
		t.Errorf("%d requests of 256 KiB are held in 1 MiB, want 4", gws[0].Engine.Tally().Ops)
	}
	other, err := f.Dial(0, "other", standin.ClientConfig{Queues: 1, Depth: 4}, time.Second)
	if err != nil {
		t.Fatal(err)
	}
	defer other.Vanish()
	if r, err := other.Do(0, 0, 0, nil, 64<<10); err != nil || r.Status != 0 {
		t.Errorf("the other volume: status %d, %v", r.Status, err)
	}
	f.Nodes[0].Set(func(t *standin.Trouble) { t.Hang = false })
	for range 12 {
		select {
		case <-answers:
		case <-time.After(10 * time.Second):
			t.Fatal("a request was never answered")
		}
	}
}

// TestClientBound checks the maximum of clients of a volume: further ones wait at the socket and are accepted as others
// disconnect.
func TestClientBound(t *testing.T) {
	f, gws, stop := startFleet(t, singleVolume())
	defer stop()
	var in []*standin.Client
	for range 8 {
		c, err := f.Dial(0, "orders", standin.ClientConfig{}, time.Second)
		if err != nil {
			t.Fatal(err)
		}
		in = append(in, c)
	}
	got := make(chan error, 1)
	go func() {
		c, err := standin.Dial(f.Socket(0, "orders"), standin.ClientConfig{})
		if err == nil {
			_, err = c.Do(0, 0, 0, nil, 4096)
			c.Vanish()
		}
		got <- err
	}()
	time.Sleep(50 * time.Millisecond)
	if n := gws[0].Rings.Sessions.Load(); n != 8 {
		t.Errorf("%d sessions, want 8", n)
	}
	in[3].Vanish()
	select {
	case err := <-got:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(5 * time.Second):
		t.Error("the ninth client was never accepted")
	}
	for _, c := range in {
		c.Vanish()
	}
}
