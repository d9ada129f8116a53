package report

import (
	"strings"
	"testing"

	"appleplank/internal/settings"
	"appleplank/internal/state"
)

func TestCopies(t *testing.T) {
	cfg := &settings.Config{Volumes: []settings.Volume{{ID: 7, Name: "orders"}}}
	var b strings.Builder
	if Copies(&b, cfg) == nil {
		t.Error("Copies succeeded without a state folder")
	}
	cfg.State.Dir = t.TempDir()
	s, err := state.Open(cfg.State.Dir, "test")
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	save := func(c ...state.Copies) {
		if err := s.Save(&state.State{Gateway: "gw0", Copies: c}); err != nil {
			t.Fatal(err)
		}
	}
	save()
	if err := Copies(&b, cfg); err != nil || !strings.Contains(b.String(), "no extent is mirrored") {
		t.Errorf("%v: %s", err, b.String())
	}
	c := state.Copies{Volume: 7, Len: 4096, Cells: []int{3, 8}, Whole: []bool{true, true}}
	save(c)
	if err := Copies(&b, cfg); err != nil || strings.Contains(b.String(), "stale\n") {
		t.Errorf("%v: %s", err, b.String())
	}
	c.Whole, c.Stale = []bool{true, false}, 5
	save(c)
	b.Reset()
	if err := Copies(&b, cfg); err == nil || !strings.Contains(err.Error(), "5 regions") || strings.Count(b.String(), "orders") != 2 || !strings.Contains(b.String(), "stale") {
		t.Errorf("%v: %s", err, b.String())
	}
}
