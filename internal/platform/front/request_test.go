package front

import (
	"testing"

	"appleplank/logic"
)

func TestTimes(t *testing.T) {
	for in, want := range map[string]logic.Micros{"480m": 480_000, "1.5m": 1500, "250u": 250, "1u": 1, "3600000m": 3_600_000_000} {
		if got, ok := parseDuration([]byte(in)); !ok || got != want {
			t.Errorf("%q: %d %v", in, got, ok)
		}
	}
	for _, in := range []string{"", "m", "480", "480s", "-1m", "+1m", "0m", "0.2u", "1e3m", "NaNm", "Infm", "0x1m", "1 m", " 1m", "1..2m",
		"99999999999999999999999999m", "3600001m", "1mm"} {
		if got, ok := parseDuration([]byte(in)); ok {
			t.Errorf("%q was parsed as %d", in, got)
		}
	}
}

func TestHex(t *testing.T) {
	if v, ok := parseHex16([]byte("7f3A9c21e0b4d655")); !ok || v != 0x7f3a9c21e0b4d655 {
		t.Fatal(v, ok)
	}
	for _, in := range []string{"", "7f3a9c21e0b4d65", "7f3a9c21e0b4d6555", "7f3a9c21e0b4d65g", "-f3a9c21e0b4d655", "0x3a9c21e0b4d655"} {
		if _, ok := parseHex16([]byte(in)); ok {
			t.Errorf("%q was accepted", in)
		}
	}
}
