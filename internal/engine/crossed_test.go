package engine

import (
	"testing"

	"appleplank/internal/block"
	"appleplank/internal/settings"
	"appleplank/logic"
)

// hand drives a core by hand.
type hand struct {
	t   *testing.T
	c   *Core
	cfg *settings.Config
	now logic.Micros
	out []*block.Attempt
	got []*Op
}

func newHand(t *testing.T, cfg *settings.Config) *hand {
	c, err := NewCore(cfg, 1, 1)
	if err != nil {
		t.Fatal(err)
	}
	h := &hand{t: t, c: c, cfg: cfg, now: 1_000_000}
	for i := range cfg.Nodes {
		h.node(i, cfg.Nodes[i].Zone, logic.Ready)
	}
	return h
}

func (h *hand) Done(*Op)                  {}
func (h *hand) Sending(*Op, logic.NodeID) {}

func (h *hand) node(i, zone int, s logic.NodeState) {
	n := h.cfg.Nodes[i]
	h.c.Nodes(h.now, []logic.Node{{ID: n.ID, Cell: n.Cell, Zone: zone, State: s}})
	h.pass(0)
}

func (h *hand) pass(d logic.Micros) {
	for end := h.now + d; ; {
		for _, a := range h.c.Step(h.now) {
			switch a.Kind {
			case Start:
				h.out = append(h.out, a.Attempt)
			case Finish:
				h.got = append(h.got, a.Op)
			case Keep:
				h.c.Kept(h.now, a.Mark, true)
			}
		}
		next := h.c.Next()
		if next == 0 || next > end {
			h.now = end
			break
		}
		h.now = max(next, h.now)
	}
}

func (h *hand) ask(k block.Kind, off, n int64) {
	op := NewOp()
	op.Kind, op.Offset, op.Len, op.Front = k, off, n, h
	op.Buffer = block.NewBuffer(n, nil)
	h.c.Take(h.now, op)
	h.pass(0)
}

// end ends the oldest attempt, with what crossed for it.
func (h *hand) end(o logic.Outcome, out, in int64) {
	h.t.Helper()
	if len(h.out) == 0 {
		h.t.Fatalf("nothing is out: %+v; %+v; next %d now %d", h.c.Tally(), h.c.Mirrors()[0], h.c.Next(), h.now)
	}
	a := h.out[0]
	h.out = h.out[1:]
	h.c.Ended(h.now, a, block.Result{Outcome: o, Load: logic.NoLoad, BytesOut: out, BytesIn: in})
	h.pass(0)
}

func (h *hand) sums() map[Reason]int64 {
	rows, _ := h.c.Crossing(h.now)
	sum := map[Reason]int64{}
	for _, r := range rows {
		sum[r.Reason] += r.Out + r.In
	}
	return sum
}

// Every byte stands in the ledger under why it crossed, and is taken from the budget: changes to a further copy, a read
// that goes on elsewhere after an attempt at home, spills, answers that come after they were given up, catching up; and
// what was refused is counted apart, by what it would have cost.
func TestReasons(t *testing.T) {
	cfg := mirrorConfig(t, "1")
	cfg.Crossing.Rate, cfg.Crossing.Burst = 1<<20, 1<<20
	spent := func(h *hand) float64 {
		_, m := h.c.Crossing(h.now)
		return 1<<20 - m.Short
	}
	check := func(h *hand, want map[Reason]int64) {
		t.Helper()
		got := h.sums()
		for r := AtHome; r <= Withheld; r++ {
			if got[r] != want[r] {
				t.Errorf("%v: %d bytes, want %d (%v)", r, got[r], want[r], got)
			}
		}
		crossed := int64(0)
		for r, n := range want {
			if r != AtHome && r != Withheld {
				crossed += n
			}
		}
		if s := spent(h); s > float64(crossed)+1 || s < float64(crossed)-1-float64(h.now-1_000_000)*1.05 {
			t.Errorf("%.0f bytes of the budget are spent, %d crossed", s, crossed)
		}
	}
	t.Run("copy", func(t *testing.T) {
		h := newHand(t, cfg)
		h.ask(block.Write, 0, 4096)
		h.end(logic.OK, 4200, 30)
		h.end(logic.OK, 4210, 40)
		check(h, map[Reason]int64{AtHome: 4230, Copied: 4250})
	})
	t.Run("repeat after an attempt at home", func(t *testing.T) {
		h := newHand(t, cfg)
		h.ask(block.Read, 0, 4096)
		h.end(logic.Failed, 72, 24)
		h.end(logic.OK, 72, 4130)
		check(h, map[Reason]int64{AtHome: 96, Again: 4202})
	})
	t.Run("no copy here", func(t *testing.T) {
		h := newHand(t, cfg)
		h.ask(block.Read, 128<<10, 4096)
		h.end(logic.OK, 72, 4130)
		check(h, map[Reason]int64{NoCopyHere: 4202})
	})
	t.Run("too late", func(t *testing.T) {
		h := newHand(t, cfg)
		h.ask(block.Read, 128<<10, 4096)
		h.pass(500_000) // given up at its deadline
		if len(h.got) != 1 || h.got[0].Verdict == block.Served {
			t.Fatalf("%d answers", len(h.got))
		}
		h.end(logic.OK, 72, 4130)
		check(h, map[Reason]int64{TooLate: 4202})
	})
	t.Run("move", func(t *testing.T) {
		h := newHand(t, cfg)
		h.node(1, 1, logic.Gone)
		h.ask(block.Write, 0, 4096)
		h.end(logic.OK, 4200, 30)
		h.node(1, 1, logic.Ready)
		h.pass(50_000)
		h.end(logic.OK, 72, 4130) // read at home
		h.pass(50_000)
		h.end(logic.OK, 4200, 30)
		if m := h.c.Mirrors(); m[0].Stale != 0 {
			t.Fatalf("%+v", m)
		}
		check(h, map[Reason]int64{AtHome: 4230 + 4202, Moved: 4230})
	})
	t.Run("withheld", func(t *testing.T) {
		small := *cfg
		small.Crossing.Rate, small.Crossing.Burst = 2000, 2000
		h := newHand(t, &small)
		// A budget smaller than a request: one passes when it is full, and is owed afterwards.
		h.ask(block.Read, 128<<10, 4096)
		h.end(logic.OK, 72, 4130)
		h.ask(block.Read, 128<<10, 4096)
		if len(h.out) > 0 || len(h.got) != 2 || h.got[1].Verdict != block.Refused || h.got[1].CoolDown < 2_000_000 {
			t.Fatalf("%d out, %d answers: %+v", len(h.out), len(h.got), h.got[len(h.got)-1].CoolDown)
		}
		// A change that may not cross is served at home, and the copy is caught up when there is room.
		h.ask(block.Write, 0, 4096)
		h.end(logic.OK, 4200, 30)
		if len(h.out) > 0 || len(h.got) != 3 || h.got[2].Verdict != block.Served || h.c.Mirrors()[0].Stale != 1 {
			t.Fatalf("%d out, %+v", len(h.out), h.c.Mirrors())
		}
		if got := h.sums()[Withheld]; got != 2*(4096+overhead) {
			t.Errorf("%d bytes withheld", got)
		}
	})
}

// A zone that is not told is a foreign one, one may change while serving, and a gateway without a zone has none.
func TestZonesChange(t *testing.T) {
	cfg := mirrorConfig(t, "1")
	read := func(h *hand) {
		h.ask(block.Read, 128<<10, 4096) // at node 3, which has no copy elsewhere
		h.end(logic.OK, 72, 4130)
	}
	h := newHand(t, cfg)
	h.node(2, -1, logic.Ready)
	read(h)
	h.node(2, 0, logic.Ready)
	read(h)
	read(h)
	if got := h.sums(); got[NoCopyHere] != 4202 || got[AtHome] != 2*4202 {
		t.Errorf("%v", got)
	}
	without := *cfg
	without.Logic.Zone = -1
	h = newHand(t, &without)
	read(h)
	if got := h.sums(); got[AtHome] != 4202 || len(got) != 1 {
		t.Errorf("without a zone of its own: %v", got)
	}
}

// A copy at home that would answer too late spills to the one elsewhere, unless the budget forbids that: then the one at
// home serves it late.
func TestSpill(t *testing.T) {
	for _, budget := range []float64{1 << 20, 100} {
		cfg := *mirrorConfig(t, "1")
		cfg.Crossing.Rate, cfg.Crossing.Burst = budget, budget
		h := newHand(t, &cfg)
		if budget < 4096 { // spent already
			h.c.budget.Charge(h.now, budget)
		}
		for range 8 { // node 1 answers far too late
			h.ask(block.Read, 0, 4096)
			h.pass(90_000)
			for len(h.out) > 0 && h.out[0].Node == 1 {
				h.end(logic.OK, 72, 4130)
			}
			for len(h.out) > 0 {
				h.end(logic.OK, 72, 4130)
			}
		}
		spilled := h.sums()[Spill]
		if (spilled > 0) != (budget > 4096) {
			t.Errorf("with a budget of %.0f %d bytes have spilled: %v", budget, spilled, h.sums())
		}
	}
}
