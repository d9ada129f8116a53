package report

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"appleplank/internal/settings"
	"appleplank/internal/state"
	"appleplank/logic"
)

// The extents printed for a new volume load as settings. They lead in the gateway's zone and have their other copies
// elsewhere, do not overlap other volumes, and avoid cells that are cold or failing according to the state.
func TestPlace(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "x.star")
	writeScript := func(more string) {
		os.WriteFile(path, []byte(`
class_(name = "save", aim = ms(50), deadline = s(2), in_order = True, writes = True)
class_(name = "copy", aim = s(1), deadline = s(4), worth = 0.1, late_share = 0.5, in_order = True, writes = True)
plan(name = "basic", rate = 100)
gateway(name = "gw0", zone = 1)
rules(cold_time = s(10))
state(dir = "kept")
copies(class_ = "copy", plan = "basic")
[node(id = i + 1, cell = i, zone = i % 2, address = "127.0.0.1:%d" % (i + 1), nqn = "n%d" % i, capacity = MiB(64)) for i in range(6)]
T = [dict(kind = k, class_ = "save") for k in ["read", "write", "flush", "discard", "write_zeroes"]]
volume(id = 1, name = "old", plan = "basic", table = T, extents = [dict(size = MiB(32), cell = 1, namespace = 1)])
`+more), 0o644)
	}
	writeScript("")
	load := func() *settings.Config {
		cfg, err := settings.Load(path)
		if err != nil {
			t.Fatal(err)
		}
		return cfg
	}
	cfg := load()
	s, err := state.Open(cfg.State.Dir, "test")
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	nodeSnapshot := func(id int, started logic.Micros, failing float64) logic.NodeSnapshot {
		return logic.NodeSnapshot{Node: logic.Node{ID: logic.NodeID(id), Cell: id - 1, Zone: (id - 1) % 2, State: logic.Ready, Started: started}, Failing: failing}
	}
	if err := s.Save(&state.State{Gateway: "gw0", Logic: logic.Snapshot{Nodes: []logic.NodeSnapshot{nodeSnapshot(4, 2_000_000, 0), nodeSnapshot(1, 3_600_000_000, 0.5)}}}); err != nil {
		t.Fatal(err)
	}
	var b strings.Builder
	if err := Place(&b, cfg, 40<<20, 16<<20, 2, 1); err != nil {
		t.Fatal(err)
	}
	writeScript(fmt.Sprintf("volume(id = 2, name = \"new\", plan = \"basic\", table = T, extents = [\n%s])\n", b.String()))
	v := load().Volumes[1]
	if v.Size != 40<<20 || len(v.Extents) != 3 {
		t.Fatalf("%d bytes in %d extents", v.Size, len(v.Extents))
	}
	for _, x := range v.Extents {
		if x.Cell != 5 && x.Cell != 1 || len(x.Copies) != 2 || x.Copies[1].Cell%2 != 0 || x.Copies[1].Cell == 0 {
			t.Errorf("%+v, want one led by a warm cell in the gateway's zone, with a copy in the other zone that does not fail", x)
		}
	}
	b.Reset()
	if err := Place(&b, cfg, 1<<30, 16<<20, 2, 1); err == nil || !strings.Contains(err.Error(), "have room") {
		t.Errorf("a volume larger than the free capacity: %v", err)
	}
}
