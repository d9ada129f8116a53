package engine

import (
	"testing"

	"appleplank/internal/block"
	"appleplank/internal/settings"
	"appleplank/logic"
)

// manualDriver drives a core step by step and collects its attempts and answers.
type manualDriver struct {
	t           *testing.T
	c           *Core
	cfg         *settings.Config
	now         logic.Micros
	outstanding []*block.Attempt
	answered    []*Op
}

func newManualDriver(t *testing.T, cfg *settings.Config) *manualDriver {
	c, err := NewCore(cfg, 1, 1)
	if err != nil {
		t.Fatal(err)
	}
	h := &manualDriver{t: t, c: c, cfg: cfg, now: 1_000_000}
	for i := range cfg.Nodes {
		h.setNode(i, cfg.Nodes[i].Zone, logic.Ready)
	}
	return h
}

func (h *manualDriver) Done(*Op)                  {}
func (h *manualDriver) Sending(*Op, logic.NodeID) {}

func (h *manualDriver) setNode(i, zone int, s logic.NodeState) {
	n := h.cfg.Nodes[i]
	h.c.Nodes(h.now, []logic.Node{{ID: n.ID, Cell: n.Cell, Zone: zone, State: s}})
	h.advance(0)
}

func (h *manualDriver) advance(d logic.Micros) {
	for end := h.now + d; ; {
		for _, a := range h.c.Step(h.now) {
			switch a.Kind {
			case Start:
				h.outstanding = append(h.outstanding, a.Attempt)
			case Finish:
				h.answered = append(h.answered, a.Op)
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

func (h *manualDriver) request(k block.Kind, off, n int64) {
	op := NewOp()
	op.Kind, op.Offset, op.Len, op.Front = k, off, n, h
	op.Buffer = block.NewBuffer(n, nil)
	h.c.Take(h.now, op)
	h.advance(0)
}

// end ends the oldest attempt with the given bytes sent and received.
func (h *manualDriver) end(o logic.Outcome, out, in int64) {
	h.t.Helper()
	if len(h.outstanding) == 0 {
		h.t.Fatalf("no attempt is outstanding: %+v; %+v; next %d now %d", h.c.Tally(), h.c.Mirrors()[0], h.c.Next(), h.now)
	}
	a := h.outstanding[0]
	h.outstanding = h.outstanding[1:]
	h.c.AttemptEnded(h.now, a, block.Result{Outcome: o, Load: logic.NoLoad, BytesOut: out, BytesIn: in})
	h.advance(0)
}

func (h *manualDriver) bytesByReason() map[Reason]int64 {
	rows, _ := h.c.Crossing(h.now)
	sum := map[Reason]int64{}
	for _, r := range rows {
		sum[r.Reason] += r.Out + r.In
	}
	return sum
}

// TestReasons checks that every byte is counted in the ledger under the reason why it crossed zones and is taken from
// the budget: changes to a further copy, reads retried elsewhere after an attempt in this zone, spills, answers after
// the attempt was given up, and fills. Requests that the budget refused are counted separately, by their estimated
// bytes.
func TestReasons(t *testing.T) {
	cfg := mirrorConfig(t, "1")
	cfg.Crossing.Rate, cfg.Crossing.Burst = 1<<20, 1<<20
	spent := func(h *manualDriver) float64 {
		_, m := h.c.Crossing(h.now)
		return 1<<20 - m.Short
	}
	check := func(h *manualDriver, want map[Reason]int64) {
		t.Helper()
		got := h.bytesByReason()
		for r := LocalZone; r <= Withheld; r++ {
			if got[r] != want[r] {
				t.Errorf("%v: %d bytes, want %d (%v)", r, got[r], want[r], got)
			}
		}
		crossed := int64(0)
		for r, n := range want {
			if r != LocalZone && r != Withheld {
				crossed += n
			}
		}
		if s := spent(h); s > float64(crossed)+1 || s < float64(crossed)-1-float64(h.now-1_000_000)*1.05 {
			t.Errorf("%.0f bytes of the budget are spent, but %d crossed", s, crossed)
		}
	}
	t.Run("copy", func(t *testing.T) {
		h := newManualDriver(t, cfg)
		h.request(block.Write, 0, 4096)
		h.end(logic.OK, 4200, 30)
		h.end(logic.OK, 4210, 40)
		check(h, map[Reason]int64{LocalZone: 4230, MirroredChange: 4250})
	})
	t.Run("repeat after an attempt at home", func(t *testing.T) {
		h := newManualDriver(t, cfg)
		h.request(block.Read, 0, 4096)
		h.end(logic.Failed, 72, 24)
		h.end(logic.OK, 72, 4130)
		check(h, map[Reason]int64{LocalZone: 96, Retry: 4202})
	})
	t.Run("no copy here", func(t *testing.T) {
		h := newManualDriver(t, cfg)
		h.request(block.Read, 128<<10, 4096)
		h.end(logic.OK, 72, 4130)
		check(h, map[Reason]int64{NoCopyHere: 4202})
	})
	t.Run("too late", func(t *testing.T) {
		h := newManualDriver(t, cfg)
		h.request(block.Read, 128<<10, 4096)
		h.advance(500_000) // given up at its deadline
		if len(h.answered) != 1 || h.answered[0].Verdict == block.Served {
			t.Fatalf("%d answers", len(h.answered))
		}
		h.end(logic.OK, 72, 4130)
		check(h, map[Reason]int64{TooLate: 4202})
	})
	t.Run("move", func(t *testing.T) {
		h := newManualDriver(t, cfg)
		h.setNode(1, 1, logic.Gone)
		h.request(block.Write, 0, 4096)
		h.end(logic.OK, 4200, 30)
		h.setNode(1, 1, logic.Ready)
		h.advance(50_000)
		h.end(logic.OK, 72, 4130) // read in this zone
		h.advance(50_000)
		h.end(logic.OK, 4200, 30)
		if m := h.c.Mirrors(); m[0].Stale != 0 {
			t.Fatalf("%+v", m)
		}
		check(h, map[Reason]int64{LocalZone: 4230 + 4202, CatchUp: 4230})
	})
	t.Run("withheld", func(t *testing.T) {
		small := *cfg
		small.Crossing.Rate, small.Crossing.Burst = 2000, 2000
		h := newManualDriver(t, &small)
		// The budget is smaller than a request: one request passes when the budget is full, and the budget is overdrawn
		// afterwards.
		h.request(block.Read, 128<<10, 4096)
		h.end(logic.OK, 72, 4130)
		h.request(block.Read, 128<<10, 4096)
		if len(h.outstanding) > 0 || len(h.answered) != 2 || h.answered[1].Verdict != block.Refused || h.answered[1].CoolDown < 2_000_000 {
			t.Fatalf("%d outstanding, %d answers: %+v", len(h.outstanding), len(h.answered), h.answered[len(h.answered)-1].CoolDown)
		}
		// A change that the budget keeps from crossing is served in this zone, and the copy is caught up when the
		// budget allows it.
		h.request(block.Write, 0, 4096)
		h.end(logic.OK, 4200, 30)
		if len(h.outstanding) > 0 || len(h.answered) != 3 || h.answered[2].Verdict != block.Served || h.c.Mirrors()[0].Stale != 1 {
			t.Fatalf("%d outstanding, %+v", len(h.outstanding), h.c.Mirrors())
		}
		if got := h.bytesByReason()[Withheld]; got != 2*(4096+headerOverhead) {
			t.Errorf("%d bytes withheld", got)
		}
	})
}

// TestZonesChange checks that an unknown zone counts as foreign, that a node's zone may change while serving, and that
// nothing crosses at a gateway without a zone.
func TestZonesChange(t *testing.T) {
	cfg := mirrorConfig(t, "1")
	read := func(h *manualDriver) {
		h.request(block.Read, 128<<10, 4096) // at node 3, which has the only copy
		h.end(logic.OK, 72, 4130)
	}
	h := newManualDriver(t, cfg)
	h.setNode(2, -1, logic.Ready)
	read(h)
	h.setNode(2, 0, logic.Ready)
	read(h)
	read(h)
	if got := h.bytesByReason(); got[NoCopyHere] != 4202 || got[LocalZone] != 2*4202 {
		t.Errorf("%v", got)
	}
	without := *cfg
	without.Logic.Zone = -1
	h = newManualDriver(t, &without)
	read(h)
	if got := h.bytesByReason(); got[LocalZone] != 4202 || len(got) != 1 {
		t.Errorf("gateway without a zone: %v", got)
	}
}

// TestSpill checks that a read spills to a foreign copy when the local copy would answer too late, and that the local
// copy serves it late when the budget does not allow that.
func TestSpill(t *testing.T) {
	for _, budget := range []float64{1 << 20, 100} {
		cfg := *mirrorConfig(t, "1")
		cfg.Crossing.Rate, cfg.Crossing.Burst = budget, budget
		h := newManualDriver(t, &cfg)
		if budget < 4096 { // the budget is spent already
			h.c.budget.Charge(h.now, budget)
		}
		for range 8 { // node 1 answers far too late
			h.request(block.Read, 0, 4096)
			h.advance(90_000)
			for len(h.outstanding) > 0 && h.outstanding[0].Node == 1 {
				h.end(logic.OK, 72, 4130)
			}
			for len(h.outstanding) > 0 {
				h.end(logic.OK, 72, 4130)
			}
		}
		spilled := h.bytesByReason()[Spill]
		if (spilled > 0) != (budget > 4096) {
			t.Errorf("with a budget of %.0f %d bytes have spilled: %v", budget, spilled, h.bytesByReason())
		}
	}
}
