package engine

import (
	"os"
	"path/filepath"
	"testing"

	"appleplank/internal/block"
	"appleplank/internal/settings"
	"appleplank/logic"

	"pgregory.net/rapid"
)

const script = `
class_(name = "read", aim = ms(50), deadline = ms(400), worth = 2, late_share = 0.2)
class_(name = "keyed", aim = ms(50), deadline = ms(500), repeat = "keyed", group = "cell", remembers = ms(300), in_order = True, writes = True)
class_(name = "unsafe", aim = ms(50), deadline = ms(500), repeat = "unsafe", in_order = True, writes = True)
plan(name = "p", rate = 1000, reserve = 1000)
plan(name = "basic", rate = 10, limit = 50, limit_burst = 20, limit_slack = 4)
gateway(name = "gw0", max_attempts = 4)
rules(order_pause = ms(100), stop_sending = ms(200))
times(answer_margin = ms(20))
node(id = 1, cell = 0, address = "127.0.0.1:1", nqn = "a")
node(id = 2, cell = 1, address = "127.0.0.1:2", nqn = "b")
TABLE = [dict(kind = "read", class_ = "read"), dict(kind = "flush", class_ = "read"), dict(kind = "write", class_ = "keyed", up_to = KiB(16)),
    dict(kind = "write", class_ = "unsafe"), dict(kind = "discard", class_ = "unsafe"), dict(kind = "write_zeroes", class_ = "keyed")]
E = [dict(size = KiB(64), cell = 0, namespace = 1), dict(size = KiB(64), cell = 1, namespace = 1), dict(size = KiB(64), cell = 0, namespace = 1, base = KiB(64))]
volume(id = 1, name = "a", plan = "p", extents = E, table = TABLE)
volume(id = 2, name = "b", plan = "basic", extents = [dict(size = KiB(64), cell = 1, namespace = 2)], table = TABLE)
`

func config(t interface {
	Helper()
	Fatal(...any)
}, dir string) *settings.Config {
	t.Helper()
	file := filepath.Join(dir, "x.star")
	os.WriteFile(file, []byte(script), 0o644)
	cfg, err := settings.Load(file)
	if err != nil {
		t.Fatal(err)
	}
	for i := range cfg.Volumes {
		cfg.Volumes[i].Memory = 1 << 20
	}
	return cfg
}

// harness drives a core with arbitrary events of the back and of clients, and checks the invariants.
type harness struct {
	*rapid.T
	c           *Core
	now         logic.Micros
	live        map[*Op]*client  // taken, neither answered nor abandoned
	outstanding []*block.Attempt // started and not ended
	dropped     map[*block.Attempt]bool
	bufferBytes int64 // size of the buffers that are held
}

type client struct {
	deadline   logic.Micros
	repeat     logic.Repeat
	mayHaveRun bool            // an attempt of it may have run
	pieces     map[*piece]bool // mayHaveRun of each piece
}

func (w *harness) Done(op *Op)               {}
func (w *harness) Sending(*Op, logic.NodeID) {}

func (w *harness) step() {
	for {
		for _, a := range w.c.Step(w.now) {
			switch a.Kind {
			case Start:
				w.outstanding = append(w.outstanding, a.Attempt)
				p := a.Attempt.Owner.(*attempt).piece
				op := p.op
				if cl := w.live[op]; cl == nil && !op.clientGone {
					w.Fatalf("a request that has ended is sent again")
				} else if cl != nil && cl.repeat == logic.Fragile && cl.pieces[p] {
					w.Fatalf("an unsafe request that may have run is sent again")
				}
				if op.clientGone {
					w.Fatalf("a request whose client is gone is sent again")
				}
			case Drop:
				w.dropped[a.Attempt] = true
			case Finish:
				cl := w.live[a.Op]
				if cl == nil {
					w.Fatalf("an answer to a request that has one or whose client is gone")
				}
				if w.now > cl.deadline {
					w.Fatalf("answered %d µs after its deadline", w.now-cl.deadline)
				}
				if a.Op.Verdict == block.Refused && cl.mayHaveRun && cl.repeat != logic.Retryable {
					w.Fatalf("refused, which promises that a retry is harmless, but it may have run")
				}
				if a.Op.Verdict == block.Served && a.Op.Kind == block.Read {
					n := int64(0)
					a.Op.EachRead(func(at int64, b []byte) {
						if at != n {
							w.Fatalf("a gap in the data read, at %d", n)
						}
						n += int64(len(b))
					})
					if n != a.Op.Len {
						w.Fatalf("%d of %d bytes read", n, a.Op.Len)
					}
				}
				delete(w.live, a.Op)
				a.Op.Release()
			}
		}
		if next := w.c.Next(); next == 0 || next > w.now {
			return
		}
	}
}

// advance moves the time forward and calls Step at each time that the core asks for.
func (w *harness) advance(d logic.Micros) {
	for end := w.now + d; w.now < end; {
		next := w.c.Next()
		if next == 0 || next > end {
			next = end
		}
		w.now = max(next, w.now)
		w.step()
	}
}

// TestCore runs random sequences of requests, attempt ends of every kind, silence, leaving clients and passing time.
// Each request must get one answer within its deadline and no attempt after it; an unsafe request must not be sent
// twice; and in the end no request, attempt, timer or buffer may be left.
func TestCore(t *testing.T) {
	cfg := config(t, t.TempDir())
	rapid.Check(t, func(t *rapid.T) {
		core, err := NewCore(cfg, rapid.Uint64().Draw(t, "seed"), 1)
		if err != nil {
			t.Fatal(err)
		}
		w := &harness{T: t, c: core, now: 1_000_000, live: map[*Op]*client{}, dropped: map[*block.Attempt]bool{}}
		core.Nodes(w.now, []logic.Node{{ID: 1, Cell: 0, State: logic.Ready}, {ID: 2, Cell: 1, State: logic.Ready}})
		w.step()
		end := func(i int, o logic.Outcome) {
			a := w.outstanding[i]
			w.outstanding = append(w.outstanding[:i], w.outstanding[i+1:]...)
			x := a.Owner.(*attempt)
			if x.drive.Pending() && o != logic.Full && o != logic.NotSent && o != logic.ConnectFailed {
				if cl := w.live[x.piece.op]; cl != nil {
					cl.mayHaveRun, cl.pieces[x.piece] = true, true
				}
			}
			core.AttemptEnded(w.now, a, block.Result{Outcome: o, Load: logic.NoLoad})
			w.step()
		}
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			switch k := rapid.IntRange(0, 9).Draw(t, "what"); {
			case k < 4:
				op := NewOp()
				op.Volume, op.Front = rapid.IntRange(0, 1).Draw(t, "volume"), w
				op.Kind = block.Kind(rapid.IntRange(0, int(block.KindCount)-1).Draw(t, "kind"))
				size := cfg.Volumes[op.Volume].Size
				if op.Kind != block.Flush {
					op.Len = int64(rapid.IntRange(1, 40).Draw(t, "blocks")) * 512
					op.Offset = int64(rapid.IntRange(0, int(size-op.Len)/512).Draw(t, "at")) * 512
				}
				if op.Kind == block.Read || op.Kind == block.Write {
					w.bufferBytes += op.Len
					n := op.Len
					op.Buffer = block.NewBuffer(n, func(int64) { w.bufferBytes -= n })
				}
				class, _ := cfg.Volumes[op.Volume].Class(op.Kind, op.Len)
				cl := &cfg.Logic.Classes[class]
				w.live[op] = &client{deadline: w.now + cl.Deadline, repeat: cl.Repeat, pieces: map[*piece]bool{}}
				core.Take(w.now, op)
				w.step()
			case k < 7 && len(w.outstanding) > 0:
				o := rapid.SampledFrom([]logic.Outcome{logic.OK, logic.OK, logic.OK, logic.Failed, logic.Full, logic.Reset, logic.NotSent,
					logic.ConnectFailed, logic.Cancelled}).Draw(t, "outcome")
				end(rapid.IntRange(0, len(w.outstanding)-1).Draw(t, "which"), o)
			case k < 8 && len(w.live) > 0:
				for op := range w.live { // an arbitrary one
					delete(w.live, op)
					core.ClientGone(w.now, op)
					op.Release()
					break
				}
				w.step()
			default:
				w.advance(logic.Micros(rapid.IntRange(1, 120_000).Draw(t, "pass")))
			}
		}
		// Without further attempt ends, every request must be answered by its deadline.
		w.advance(1_000_000)
		if len(w.live) > 0 {
			t.Fatalf("%d requests were never answered", len(w.live))
		}
		for _, a := range w.outstanding {
			if !w.dropped[a] {
				t.Fatalf("an attempt of a request that has ended was not dropped")
			}
		}
		for len(w.outstanding) > 0 {
			end(0, logic.Reset)
		}
		w.advance(1_000_000)
		tally := core.Tally()
		due, _ := core.host.Pending()
		if tally.Ops != 0 || tally.Pieces != 0 || tally.Out != 0 || tally.Attempts != 0 || w.bufferBytes != 0 || due != 0 {
			t.Fatalf("not released: %+v, %d bytes, %d timers", tally, w.bufferBytes, due)
		}
		for i := range core.volumes {
			if l, h, r := core.volumes[i].orders[0].Len(); l+h+r != 0 {
				t.Fatalf("volume %d still has %d live, %d held and %d resting changes", i, l, h, r)
			}
		}
	})
}

// TestRanBefore checks a request that is resumed after a restart and finds no node: one that may have run before must
// be refused only where a retry is harmless.
func TestRanBefore(t *testing.T) {
	cfg := config(t, t.TempDir())
	for _, c := range []struct {
		kind block.Kind
		ran  bool
		want block.Verdict
	}{{block.Read, true, block.Refused}, {block.Write, false, block.Refused}, {block.Write, true, block.Failed}, {block.Discard, true, block.Failed}} {
		core, err := NewCore(cfg, 1, 1)
		if err != nil {
			t.Fatal(err)
		}
		op := NewOp()
		op.Kind, op.Len, op.MayHaveRun, op.Front = c.kind, 512, c.ran, discardFront{}
		core.Take(1_000_000, op)
		answered := false
		for _, a := range core.Step(1_000_000) {
			if a.Kind == Finish {
				answered = true
				if a.Op.Verdict != c.want {
					t.Errorf("%v that ran before (%v): %v, want %v", c.kind, c.ran, a.Op.Verdict, c.want)
				}
			}
		}
		if !answered {
			t.Errorf("%v: no answer", c.kind)
		}
	}
}
