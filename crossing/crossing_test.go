package crossing

import (
	"math"
	"testing"

	"appleplank/logic"

	"pgregory.net/rapid"
)

const (
	save = iota
	read
	report
)

func testSettings() Settings {
	return Settings{Hosts: 2, Rate: 2000, Burst: 4000, HoldBack: 0.5, Lost: 0.5, Bend: 3, BendFor: 10 * sec,
		Classes: []Class{{Worth: 3, Bends: true}, {Worth: 2}, {Worth: 1}}}
}

func newBudget(t interface{ Fatal(...any) }, s Settings) *Budget {
	b, err := New(s)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// Reports are refused first, then reads; saves may use the whole budget. The retry delay of a refusal is exact: the
// same request passes after it and not one microsecond earlier.
func TestOrderOfRefusal(t *testing.T) {
	b := newBudget(t, testSettings()) // this gateway's share: 1000 bytes/s, burst 2000; floors of 0, 500 and 1000 bytes
	wantAsk := func(now logic.Micros, class int, bytes float64, want bool) logic.Micros {
		t.Helper()
		ok, wait := b.Admit(now, class, bytes)
		if ok != want {
			t.Errorf("class %d of %.0f bytes: %v, want %v (level %.0f)", class, bytes, ok, want, b.short.level)
		}
		return wait
	}
	wantAsk(0, report, 900, true)
	wait := wantAsk(0, report, 300, false)
	if wait != 200*ms {
		t.Errorf("retry delay %d, want 200 ms", wait)
	}
	wantAsk(0, read, 600, true)
	wantAsk(0, read, 100, false)
	wantAsk(0, save, 500, true)
	wantAsk(0, save, 1, false)
	b = newBudget(t, testSettings())
	b.Admit(0, report, 900)
	wantAsk(wait-1, report, 300, false)
	b = newBudget(t, testSettings())
	b.Admit(0, report, 900)
	wantAsk(wait, report, 300, true)
}

// A request larger than the bucket passes when the bucket is full and leaves its level negative.
func TestLargerThanBudget(t *testing.T) {
	b := newBudget(t, testSettings())
	if ok, _ := b.Admit(0, report, 5000); !ok {
		t.Error("refused although the bucket is full")
	}
	if ok, wait := b.Admit(0, save, 1); ok || wait < 3*sec {
		t.Errorf("got %v, retry delay %d; want a refusal of 3 s or more for the negative level", ok, wait)
	}
	if ok, _ := b.Admit(4*sec, report, 5000); ok {
		t.Error("passes again before the bucket is full")
	}
	if ok, _ := b.Admit(5*sec, report, 5000); !ok {
		t.Error("refused although the bucket is full again")
	}
}

// While a zone is lost, the budget bends for saves and not for reports, at the configured rate and for the configured
// time. The loan is repaid from income, and a flapping zone grants no second loan.
func TestBend(t *testing.T) {
	b := newBudget(t, testSettings())
	for b.short.level > 0 {
		b.Admit(0, save, 100)
	}
	b.UpdateZones(0, []Zone{{0, 4, 4}, {1, 4, 3}})
	if ok, _ := b.Admit(0, save, 100); ok {
		t.Error("bends with a quarter of a zone's nodes lost")
	}
	b.UpdateZones(0, []Zone{{0, 4, 4}, {1, 4, 2}})
	passed := [3]float64{}
	for now := logic.Micros(0); now < 20*sec; now += 10 * ms {
		for class := range 3 {
			if ok, _ := b.Admit(now, class, 100); ok {
				passed[class] += 100
			}
		}
		if now%(200*ms) == 0 { // flaps
			b.UpdateZones(now, []Zone{{1, 4, 4}})
			b.UpdateZones(now, []Zone{{1, 4, 2}})
		}
	}
	// At most: the share of 1000 bytes/s for 20 s, a loan of 2000 bytes/s for 10 s, and the burst of 2000.
	if passed[save] < 15_000 || passed[save] > 20_000+20_000+2000 {
		t.Errorf("saves crossed with %.0f bytes in 20 s", passed[save])
	}
	if passed[report] > 0 {
		t.Errorf("reports crossed with %.0f bytes while a zone was lost", passed[report])
	}
	b.UpdateZones(20*sec, []Zone{{1, 4, 4}})
	_, _, loan := b.Levels(20 * sec)
	if loan < 10_000 || loan > 22_000 {
		t.Errorf("loan is %.0f, want 10000 to 22000", loan)
	}
	before := b.loan
	if _, _, after := b.Levels(30 * sec); after != before-5000 {
		t.Errorf("repaid %.0f of %.0f in 10 s, want half of the income, 5000", before-after, before)
	}
}

// For any sequence of requests, zone changes and clock jumps, the admitted bytes of any time window stay within rate,
// burst, loan and one request plus the bytes that crossed without admission, and no level becomes NaN.
func TestBudgetKept(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := testSettings()
		s.Period, s.PerTime = 60*sec, 50_000
		b := newBudget(t, s)
		type crossingBytes struct {
			at    logic.Micros
			bytes float64
		}
		var crossings []crossingBytes
		now, largest := logic.Micros(0), 0.0
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += logic.Micros(rapid.IntRange(0, 400_000).Draw(t, "pass"))
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0:
				b.UpdateZones(now, []Zone{{1, 4, rapid.IntRange(0, 4).Draw(t, "ready")}})
			case 1:
				n := float64(rapid.IntRange(1, 500).Draw(t, "unasked"))
				b.Charge(now, n)
				crossings = append(crossings, crossingBytes{now, n})
				largest = max(largest, n)
			case 2:
				b.Admit(now-logic.Micros(rapid.IntRange(1, 1_000_000).Draw(t, "back")), report, 1e9) // the clock goes back
			default:
				n := float64(rapid.IntRange(1, 3000).Draw(t, "bytes"))
				class := rapid.IntRange(0, 2).Draw(t, "class")
				ok, wait := b.Admit(now, class, n)
				if ok {
					crossings = append(crossings, crossingBytes{now, n})
					largest = max(largest, n)
				} else if wait <= 0 {
					t.Fatalf("refused without a retry delay")
				}
			}
			if math.IsNaN(b.short.level + b.long.level + b.loan) {
				t.Fatal("a level is NaN")
			}
		}
		for i := range crossings {
			sum := 0.0
			for j := i; j < len(crossings); j++ {
				sum += crossings[j].bytes
				span := seconds(crossings[j].at - crossings[i].at)
				unasked := b.Tally.Unadmitted
				if bound := 2000 + 1000*span + 22_000 + 2*largest + unasked; sum > bound {
					t.Fatalf("%.0f bytes within %.2f s, at most %.0f", sum, span, bound)
				}
				if bound := 25_000 + 25_000/60*span + 2*largest + b.Tally.Bent + unasked; sum > bound {
					t.Fatalf("%.0f bytes within %.2f s, the period allows %.0f", sum, span, bound)
				}
			}
		}
	})
}

// A restart does not increase the available budget beyond the income since the state was saved.
func TestRemember(t *testing.T) {
	b := newBudget(t, testSettings())
	b.Admit(0, save, 1500)
	b.loan = 300
	m := b.Snapshot(0)
	for _, c := range []struct {
		m     *Snapshot
		age   logic.Micros
		short float64
	}{{&m, 0, 500}, {&m, sec, 1200}, {nil, 0, 0}} { // 300 of the income of 1000 repay the loan
		n := newBudget(t, testSettings())
		if err := n.Restore(c.m, c.age); err != nil {
			t.Fatal(err)
		}
		if short, _, _ := n.Levels(77 * sec); short != c.short {
			t.Errorf("after %d: level is %.0f, want %.0f", c.age, short, c.short)
		}
	}
	if newBudget(t, testSettings()).Restore(&Snapshot{Short: math.NaN()}, 0) == nil {
		t.Error("a saved level of NaN is accepted")
	}
}

func TestCheck(t *testing.T) {
	for name, change := range map[string]func(*Settings){
		"no burst": func(s *Settings) { s.Burst = 0 }, "nan": func(s *Settings) { s.Rate = math.NaN() }, "hold back": func(s *Settings) { s.HoldBack = 1.5 },
		"period alone": func(s *Settings) { s.Period = sec }, "hosts": func(s *Settings) { s.Hosts = 0 },
	} {
		s := testSettings()
		if change(&s); s.Check() == nil {
			t.Errorf("%s: invalid settings are accepted", name)
		}
	}
}

func BenchmarkAsk(b *testing.B) {
	x := newBudget(b, testSettings())
	now := logic.Micros(0)
	b.ReportAllocs()
	for b.Loop() {
		now += 50
		x.Admit(now, read, 100)
	}
}

func TestForeign(t *testing.T) {
	for _, x := range []struct {
		own, node int
		want      bool
	}{{0, 0, false}, {0, 1, true}, {0, -1, true}, {-1, 0, false}, {-1, -1, false}} {
		if CrossesZones(x.own, x.node) != x.want {
			t.Errorf("%+v", x)
		}
	}
}
