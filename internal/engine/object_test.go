package engine

import (
	"encoding/binary"
	"os"
	"path/filepath"
	"testing"

	"appleplank/internal/block"
	"appleplank/internal/settings"
	"appleplank/logic"

	"pgregory.net/rapid"
)

const objectScript = `
class_(name = "read", aim = ms(50), deadline = ms(400), worth = 2, late_share = 0.2)
class_(name = "write", aim = ms(60), deadline = ms(500), worth = 3, late_share = 0.2, in_order = True, writes = True)
plan(name = "p", rate = 1000, reserve = 1000)
gateway(name = "gw0", max_attempts = 4, zone = 0)
rules(order_pause = ms(100), stop_sending = ms(200))
times(answer_margin = ms(20))
node(id = 1, cell = 0, zone = 0, address = "127.0.0.1:1", nqn = "a")
node(id = 2, cell = 1, zone = 0, address = "127.0.0.1:2", nqn = "b")
node(id = 3, cell = 2, zone = 1, address = "127.0.0.1:3", nqn = "c")
TABLE = [dict(kind = "read", class_ = "read"), dict(kind = "flush", class_ = "read"), dict(kind = "write", class_ = "write"),
    dict(kind = "discard", class_ = "write"), dict(kind = "write_zeroes", class_ = "write")]
volume(id = 1, name = "files", plan = "p", table = TABLE, objects = True, extents = [
    dict(size = KiB(64), cell = 0, namespace = 1), dict(size = KiB(32), cell = 1, namespace = 1, base = KiB(4)),
    dict(size = KiB(64), cell = 2, namespace = 1), dict(size = KiB(16), cell = 0, namespace = 2)])
`

func objectConfig(t testing.TB) *settings.Config {
	t.Helper()
	file := filepath.Join(t.TempDir(), "x.star")
	os.WriteFile(file, []byte(objectScript), 0o644)
	cfg, err := settings.Load(file)
	if err != nil {
		t.Fatal(err)
	}
	cfg.Volumes[0].Memory = 4 << 20
	return cfg
}

// TestObjects runs random sequences of new objects, attempt ends of every kind, late execution of dropped attempts,
// nodes that go, leaving clients, freeing and crashes. A served object must stay intact at the offset in its answer
// until it is freed, no write may hit the space of another object, and in the end all space without an object must be
// free.
func TestObjects(t *testing.T) {
	cfg := objectConfig(t)
	served, home := 0, 0
	for range 5 {
		rapid.Check(t, func(t *rapid.T) {
			p := newFakeNodes(t, cfg)
			type object struct {
				at, blocks int64
				value      uint64
			}
			var objects []object
			p.start(rapid.Uint64().Draw(t, "seed"))
			coin := func() bool { return rapid.Bool().Draw(t, "lands") }
			p.done = func(op *Op, r *pendingRequest) {
				if op.Verdict == block.Served && op.NewObject {
					served++
					if op.Offset < 96<<10 || op.Offset >= 160<<10 {
						home++
					}
					objects = append(objects, object{op.Offset, op.Len / 512, r.value})
				}
			}
			check := func() {
				for _, o := range objects {
					x := &cfg.Volumes[0].Extents[p.c.volumes[0].extentAt(o.at)]
					for b := range o.blocks {
						if got := p.disk[blockAddress{logic.NodeID(x.Cell + 1), x.Namespace, (x.Base+o.at-x.Start)/512 + b}]; got != o.value {
							t.Fatalf("object %d at %d: block %d holds %d", o.value, o.at, b, got)
						}
					}
				}
			}
			for range rapid.IntRange(1, 80).Draw(t, "steps") {
				switch k := rapid.IntRange(0, 19).Draw(t, "what"); {
				case k < 7:
					op := NewOp()
					op.Kind, op.NewObject, op.Len, op.Front = block.Write, true, rapid.Int64Range(1, 40).Draw(t, "blocks")*512, p
					op.Buffer = block.NewBuffer(op.Len, nil)
					p.lastValue++
					for i := range op.Len / 512 {
						binary.LittleEndian.PutUint64(op.Buffer.B[i*512:], p.lastValue)
					}
					p.eventCount++
					r := &pendingRequest{op: op, startedAt: p.eventCount, value: p.lastValue}
					p.live[op] = r
					p.order = append(p.order, r)
					p.c.Take(p.now, op)
					p.step()
				case k < 13 && len(p.outstanding) > 0:
					i := rapid.IntRange(0, len(p.outstanding)-1).Draw(t, "which")
					switch o := rapid.SampledFrom([]logic.Outcome{logic.OK, logic.OK, logic.OK, logic.Failed, logic.Full, logic.Reset}).Draw(t, "outcome"); o {
					case logic.OK:
						p.end(i, o, true)
					case logic.Full:
						p.end(i, o, false)
					default:
						p.end(i, o, coin())
					}
				case k < 15 && len(objects) > 0:
					i := rapid.IntRange(0, len(objects)-1).Draw(t, "object")
					p.c.FreeSpace(p.now, 0, objects[i].at)
					objects = append(objects[:i], objects[i+1:]...)
				case k == 15:
					p.setNode(rapid.IntRange(0, 2).Draw(t, "node"), rapid.SampledFrom([]logic.NodeState{logic.Ready, logic.Ready, logic.Gone}).Draw(t, "state"))
				case k == 16 && len(p.order) > 0:
					p.clientGone(p.order[rapid.IntRange(0, len(p.order)-1).Draw(t, "who")])
				case k == 17 && rapid.IntRange(0, 3).Draw(t, "crash") == 0:
					p.crash(rapid.Uint64().Draw(t, "seed"), coin)
					for _, o := range objects {
						if err := p.c.TakeSpace(0, o.at, o.blocks*512); err != nil {
							t.Fatal(err)
						}
					}
				default:
					p.advance(logic.Micros(rapid.IntRange(1, 120_000).Draw(t, "pass")), coin)
				}
				check()
			}
			p.advance(700_000, coin)
			if len(p.live) > 0 {
				t.Fatalf("%d requests were never answered", len(p.live))
			}
			for len(p.outstanding) > 0 {
				p.end(0, logic.Cancelled, false)
			}
			p.advance(300_000, coin)
			check()
			for _, o := range objects {
				p.c.FreeSpace(p.now, 0, o.at)
			}
			p.advance(300_000, coin)
			if free, used := p.c.Space(p.now, 0); free != cfg.Volumes[0].Size || used != 0 {
				t.Fatalf("%d bytes are free, %d used", free, used)
			}
			if tally := p.c.Tally(); tally.Ops != 0 || tally.Pieces != 0 || tally.Out != 0 || tally.Attempts != 0 {
				t.Fatalf("not released: %+v", tally)
			}
		})
	}
	if served < 200 || home < served/2 {
		t.Errorf("%d objects were served, %d of them in this zone", served, home)
	}
}

// TestObjectNoRoom checks that an object is refused at once with NoSpace where no cell has space, and goes to another
// zone where only that one has space.
func TestObjectNoRoom(t *testing.T) {
	cfg := objectConfig(t)
	h := newManualDriver(t, cfg)
	write := func(n int64) *Op {
		op := NewOp()
		op.Kind, op.NewObject, op.Len, op.Front, op.Buffer = block.Write, true, n, h, block.NewBuffer(n, nil)
		h.c.Take(h.now, op)
		h.advance(0)
		return op
	}
	if op := write(65 << 10); len(h.answered) != 1 || !op.NoSpace || op.Verdict != block.Refused {
		t.Fatalf("larger than any slab: %d answers, NoSpace %v", len(h.answered), op.NoSpace)
	}
	write(64 << 10) // in this zone only cell 0 has space
	if len(h.outstanding) != 1 || h.outstanding[0].Node != 1 || h.outstanding[0].Namespace != 1 {
		t.Fatalf("%+v", h.outstanding)
	}
	h.end(logic.OK, 0, 0)
	write(64 << 10) // this zone is full
	if len(h.outstanding) != 1 || h.outstanding[0].Node != 3 {
		t.Fatalf("%+v", h.outstanding)
	}
	h.end(logic.OK, 0, 0)
	if op := write(64 << 10); !op.NoSpace {
		t.Fatal("space was found though there is none")
	}
}
