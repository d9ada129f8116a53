package report

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"appleplank/crossing"
	"appleplank/internal/settings"
	"appleplank/internal/state"
)

func TestCrossing(t *testing.T) {
	dir := t.TempDir()
	file := filepath.Join(dir, "x.star")
	os.WriteFile(file, []byte(`
class_(name = "save", aim = ms(50), deadline = s(2), in_order = True, writes = True, bends = True)
plan(name = "basic", rate = 100)
gateway(name = "gw0", zone = 1)
node(id = 1, cell = 0, address = "127.0.0.1:1", nqn = "a")
crossing(rate = MiB(1), burst = MiB(2), lost = 0.5, bend = 3, bend_for = minutes(1))
volume(id = 7, name = "orders", plan = "basic", extents = [dict(size = MiB(4), cell = 0, namespace = 1)],
    table = [dict(kind = k, class_ = "save") for k in ["read", "write", "flush", "discard", "write_zeroes"]])
state(dir = "kept")
`), 0o644)
	cfg, err := settings.Load(file)
	if err != nil {
		t.Fatal(err)
	}
	if cfg.Crossing.Rate != 1<<20 || !cfg.Crossing.Classes[0].Bends {
		t.Errorf("%+v", cfg.Crossing)
	}
	if _, err := Crossing(cfg, false); err == nil {
		t.Error("Crossing succeeded without a saved state")
	}
	s, err := state.Open(cfg.State.Dir, "test")
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	if err := s.Save(&state.State{Gateway: "gw0", Budget: &crossing.Snapshot{}, Crossed: []crossing.Count{
		{Volume: 7, Class: 0, Zone: 0, Reason: 1, Attempts: 3, Out: 1000, In: 20}, {Volume: 8, Class: 5, Zone: 1, Attempts: 1, Out: 1, In: 2},
		{Volume: 7, Class: 0, Zone: 0, Reason: 7, Attempts: 2, Out: 500}}, History: []crossing.Slot{{From: 1_800_000_000 / 600 * 600, Counts: []crossing.Count{{Volume: 7, Zone: 0, Reason: 1, Attempts: 3, Out: 1000, In: 20}}},
		{From: 1_800_000_600 / 600 * 600, Counts: []crossing.Count{{Volume: 7, Zone: 0, Reason: 7, Attempts: 2, Out: 500}}}}}); err != nil {
		t.Fatal(err)
	}
	rows, err := Crossing(cfg, false)
	if err != nil {
		t.Fatal(err)
	}
	var table, text strings.Builder
	if err := Table(&table, rows); err != nil || !strings.Contains(table.String(), "1020 bytes crossed between zones, 3 stayed at home; the budget withheld requests that would have cost 500") {
		t.Errorf("%v:\n%s", err, table.String())
	}
	if err := CSV(&text, rows); err != nil || !strings.Contains(text.String(), ",save,basic,orders,1,0,no copy here,3,1000,20\n,class 5,?,volume 8,1,1,at home,1,1,2\n") {
		t.Errorf("%v:\n%s", err, text.String())
	}
	for _, name := range []string{"x.svg", "x.png"} {
		path := filepath.Join(dir, name)
		if err := Chart(path, rows); err != nil {
			t.Error(err)
		} else if st, err := os.Stat(path); err != nil || st.Size() < 1000 {
			t.Errorf("%s: %v", name, err)
		}
	}
	overTime, err := Crossing(cfg, true)
	if err != nil || len(overTime) != 2 || overTime[0].From.Unix() != 1_800_000_000 || !overTime[1].Withheld {
		t.Errorf("over time: %+v, %v", overTime, err)
	}
	if err := ChartOverTime(filepath.Join(dir, "t.svg"), overTime); err != nil {
		t.Error(err)
	}
	if ChartOverTime(filepath.Join(dir, "t.svg"), nil) == nil {
		t.Error("ChartOverTime succeeded without rows")
	}
	if Chart(filepath.Join(dir, "x.svg"), nil) == nil {
		t.Error("Chart succeeded without rows")
	}
}
