package day

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/fstest"
	"time"
)

var shape = Shape{Nodes: 8, Gateways: 3, Zones: 2, Plans: []string{"basic", "standard", "priority"}}

// Every shipped script loads, and together they use the listed kinds of faults.
func TestShipped(t *testing.T) {
	paths, err := filepath.Glob("../../days/*.star")
	if err != nil || len(paths) == 0 {
		t.Fatalf("no days: %v", err)
	}
	seen := map[Kind]bool{}
	for _, p := range paths {
		d, err := Load(p, shape)
		if err != nil {
			t.Error(err)
			continue
		}
		for _, e := range d.Events {
			seen[e.Kind] = true
		}
	}
	for _, k := range []Kind{Burst, Surge, Slow, Hang, Lose, Twice, WrongID, Fail, Full, LateReports, Deaf, Drip, Reset, Crash,
		Drain, StaleList, Flap, RepeatList, Eager, Vanish, Stop, Kill, Takeover} {
		if !seen[k] {
			t.Errorf("no shipped day has %s", k)
		}
	}
}

func TestRead(t *testing.T) {
	read := func(text string) (*Day, error) {
		return Read(fstest.MapFS{"x.star": {Data: []byte(text)}}, "x.star", shape)
	}
	head := "day(name = 'x', length = s(10), rate = 100)\n"
	d, err := read(head + "drain(at = s(2), lasting = s(1), nodes = [1])\nslow(at = s(1), lasting = s(1), nodes = [1, 2], times = 6)\n")
	if err != nil || len(d.Events) != 2 || d.Events[0].Kind != Slow || d.Events[0].Factor != 6 || d.Events[1].At != 2*time.Second {
		t.Errorf("%+v, %v", d, err)
	}
	for text, want := range map[string]string{
		"slow(at = s(1), lasting = s(1), nodes = [8], times = 2)\n":  "slow.nodes: 8 is no whole number between 0 and 7",
		"slow(at = s(9.5), lasting = s(1), nodes = [], times = 2)\n": "past the day's length",
		"lose(at = s(1), lasting = s(1), nodes = [1], part = 2)\n":   "lose.part: 2 is over 1",
		"surge(at = s(1), lasting = s(1), plan = 'x', times = 2)\n":  "is not one of",
		"kill(at = s(1), lasting = s(1), gateway = 3)\n":             "not between 0 and 2",
		"burst(at = 1, lasting = s(1), times = 2)\n":                 "want a duration",
	} {
		if _, err := read(head + text); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", strings.TrimSpace(text), err)
		}
	}
	if _, err := read("burst(at = s(1), lasting = s(1), times = 2)\n"); err == nil || !strings.Contains(err.Error(), "before day()") {
		t.Errorf("without a day: %v", err)
	}
	if _, err := Load(filepath.Join(t.TempDir(), "none.star"), shape); !os.IsNotExist(err) && (err == nil || !strings.Contains(err.Error(), "none.star")) {
		t.Errorf("a missing file: %v", err)
	}
}
