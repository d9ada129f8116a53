package engine

import (
	"encoding/binary"
	"maps"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"appleplank/internal/block"
	"appleplank/internal/settings"
	"appleplank/logic"

	"pgregory.net/rapid"
)

const mirrorScript = `
class_(name = "read", aim = ms(50), deadline = ms(400), worth = 2, late_share = 0.2)
class_(name = "write", aim = ms(60), deadline = ms(500), worth = 3, repeat = "keyed", group = "cell", remembers = ms(300), in_order = True, writes = True)
class_(name = "copy", aim = ms(300), deadline = s(2), worth = 0.1, late_share = 0.5, in_order = True, writes = True)
plan(name = "p", rate = 1000, reserve = 1000)
plan(name = "catch-up", rate = 10, weight = 0.1)
gateway(name = "gw0", max_attempts = 4, zone = 0)
rules(order_pause = ms(100), stop_sending = ms(200))
times(answer_margin = ms(20))
state(dir = "x")
copies(class_ = "copy", plan = "catch-up", hold = HOLD, region = KiB(64))
node(id = 1, cell = 0, zone = 0, address = "127.0.0.1:1", nqn = "a")
node(id = 2, cell = 1, zone = 1, address = "127.0.0.1:2", nqn = "b")
node(id = 3, cell = 2, zone = 1, address = "127.0.0.1:3", nqn = "c")
TABLE = [dict(kind = "read", class_ = "read"), dict(kind = "flush", class_ = "read"), dict(kind = "write", class_ = "write"),
    dict(kind = "discard", class_ = "write"), dict(kind = "write_zeroes", class_ = "write")]
volume(id = 1, name = "a", plan = "p", table = TABLE, extents = [
    dict(size = KiB(128), cell = 0, namespace = 1, mirrors = [dict(cell = 1, namespace = 7, base = KiB(64))]),
    dict(size = KiB(64), cell = 2, namespace = 1),
    dict(size = KiB(64), cell = 1, namespace = 1, mirrors = [dict(cell = 2, namespace = 1, base = KiB(64)), dict(cell = 0, namespace = 2)])])
`

func mirrorConfig(t testing.TB, hold string) *settings.Config {
	t.Helper()
	file := filepath.Join(t.TempDir(), "x.star")
	os.WriteFile(file, []byte(strings.Replace(mirrorScript, "HOLD", hold, 1)), 0o644)
	cfg, err := settings.Load(file)
	if err != nil {
		t.Fatal(err)
	}
	cfg.Volumes[0].Memory = 4 << 20
	return cfg
}

// blockAddress is the address of a block in a namespace of a node.
type blockAddress struct {
	node  logic.NodeID
	ns    uint32
	block int64
}

type droppedAttempt struct {
	attempt *block.Attempt
	endAt   logic.Micros
}

// fakeNodes emulates nodes that store blocks, and drives a core in front of them.
type fakeNodes struct {
	*rapid.T
	cfg         *settings.Config
	c           *Core
	now         logic.Micros
	disk        map[blockAddress]uint64
	outstanding []*block.Attempt
	dropped     []droppedAttempt // dropped, but may still be executed until endAt
	marks       map[Mark]int
	markActions []Action
	live        map[*Op]*pendingRequest
	order       []*pendingRequest // the requests in live, in the order they were made
	endedAt     map[uint64]int    // eventCount at the end of a write for its client, by the value written
	servedSince map[int64]int     // by block: startedAt of the latest write that was served
	served      int
	lastValue   uint64
	eventCount  int // counts the starts and ends of requests
	done        func(op *Op, r *pendingRequest)
}

// pendingRequest is a request that has not ended for its client. For a write, value is what it writes; for a read,
// servedSince is the state of fakeNodes.servedSince when it was made.
type pendingRequest struct {
	op          *Op
	value       uint64
	startedAt   int
	servedSince map[int64]int
}

const blockCount = (128 + 64 + 64) * 2

func (p *fakeNodes) Done(*Op)                  {}
func (p *fakeNodes) Sending(*Op, logic.NodeID) {}

// execute applies an attempt to the blocks of its node.
func (p *fakeNodes) execute(a *block.Attempt) {
	for i := int64(0); i < a.Len/512; i++ {
		at := blockAddress{a.Node, a.Namespace, a.Offset/512 + i}
		switch a.Kind {
		case block.Write:
			p.disk[at] = binary.LittleEndian.Uint64(a.Bytes()[i*512:])
		case block.Read:
			binary.LittleEndian.PutUint64(a.Bytes()[i*512:], p.disk[at])
		}
	}
}

func (p *fakeNodes) step() {
	for {
		for _, a := range p.c.Step(p.now) {
			switch a.Kind {
			case Start:
				p.outstanding = append(p.outstanding, a.Attempt)
				if a.Attempt.Kind == block.Write && a.Attempt.Namespace == 7 && !a.Attempt.Durable {
					p.Fatal("a change of a mirrored extent is not durable when it is answered")
				}
			case Drop:
				p.dropped = append(p.dropped, droppedAttempt{a.Attempt, p.now + 90_000})
			case Keep, Forget:
				p.markActions = append(p.markActions, a)
			case Finish:
				p.finish(a.Op)
			}
		}
		if next := p.c.Next(); next == 0 || next > p.now {
			return
		}
	}
}

// isStale reports whether the write of a value had ended for its client before the start of a write that has been
// served: a read that returns the value has lost the later write. Concurrent writes may take effect in either order.
func (p *fakeNodes) isStale(v uint64, since int) bool { return p.endedAt[v] < since && since > 0 }

// removeRequest ends a request for its client.
func (p *fakeNodes) removeRequest(r *pendingRequest) {
	p.eventCount++
	delete(p.live, r.op)
	for i, o := range p.order {
		if o == r {
			p.order = append(p.order[:i:i], p.order[i+1:]...)
			break
		}
	}
	if r.value > 0 {
		p.endedAt[r.value] = p.eventCount
	}
}

func (p *fakeNodes) finish(op *Op) {
	r := p.live[op]
	if r == nil {
		p.Fatal("an answer to a request that has one or whose client is gone")
	}
	p.removeRequest(r)
	if p.done != nil {
		p.done(op, r)
	} else if op.Verdict == block.Served {
		p.served++
		for b := op.Offset / 512; b < (op.Offset+op.Len)/512 && op.Kind == block.Write; b++ {
			p.servedSince[b] = max(p.servedSince[b], r.startedAt)
		}
		if op.Kind == block.Read {
			op.EachRead(func(at int64, data []byte) {
				for i := int64(0); i < int64(len(data))/512; i++ {
					b := (op.Offset+at)/512 + i
					if got := binary.LittleEndian.Uint64(data[i*512:]); p.isStale(got, r.servedSince[b]) {
						p.Fatalf("block %d read as %d, which is older than a served write", b, got)
					}
				}
			})
		}
	}
	op.Release()
}

func (p *fakeNodes) request(kind block.Kind, b, n int64) *Op {
	op := NewOp()
	op.Kind, op.Offset, op.Len, op.Front = kind, b*512, n*512, p
	op.Buffer = block.NewBuffer(op.Len, nil)
	p.eventCount++
	r := &pendingRequest{op: op, startedAt: p.eventCount}
	if kind == block.Write {
		p.lastValue++
		r.value = p.lastValue
		p.endedAt[r.value] = math.MaxInt
		for i := range n {
			binary.LittleEndian.PutUint64(op.Buffer.B[i*512:], p.lastValue)
		}
	} else {
		r.servedSince = maps.Clone(p.servedSince)
	}
	p.live[op] = r
	p.order = append(p.order, r)
	p.c.Take(p.now, op)
	p.step()
	return op
}

func (p *fakeNodes) end(i int, o logic.Outcome, executed bool) {
	a := p.outstanding[i]
	p.outstanding = append(p.outstanding[:i], p.outstanding[i+1:]...)
	for j, l := range p.dropped {
		if l.attempt == a {
			p.dropped = append(p.dropped[:j], p.dropped[j+1:]...)
			break
		}
	}
	if executed {
		p.execute(a)
	}
	p.c.AttemptEnded(p.now, a, block.Result{Outcome: o, Load: logic.NoLoad})
	p.step()
}

func (p *fakeNodes) index(a *block.Attempt) int {
	for i, x := range p.outstanding {
		if x == a {
			return i
		}
	}
	return -1
}

func (p *fakeNodes) advance(d logic.Micros, executed func() bool) {
	for end := p.now + d; p.now < end; {
		next := p.c.Next()
		if next == 0 || next > end {
			next = end
		}
		for len(p.dropped) > 0 && p.dropped[0].endAt <= next {
			p.end(p.index(p.dropped[0].attempt), logic.Cancelled, executed())
		}
		p.now = max(next, p.now)
		p.step()
	}
}

func (p *fakeNodes) applyMarks(ok bool) {
	for len(p.markActions) > 0 {
		k := p.markActions[0]
		p.markActions = p.markActions[1:]
		at := k.Mark
		at.Lead = 0
		if k.Kind == Forget {
			delete(p.marks, at)
			continue
		}
		if ok {
			p.marks[at] = k.Mark.Lead
		}
		p.c.Kept(p.now, k.Mark, ok)
		p.step()
	}
}

func (p *fakeNodes) start(seed uint64) {
	var err error
	if p.c, err = NewCore(p.cfg, seed, 1); err != nil {
		p.Fatal(err)
	}
	for at, lead := range p.marks {
		at.Lead = lead
		if err := p.c.RestoreMark(at); err != nil {
			p.Fatal(err)
		}
	}
	p.c.HoldChanges(p.now)
	for id := range 3 {
		p.setNode(id, logic.Ready)
	}
}

// clientGone makes the client of a request leave.
func (p *fakeNodes) clientGone(r *pendingRequest) {
	p.removeRequest(r)
	p.c.ClientGone(p.now, r.op)
	r.op.Release()
	p.step()
}

// crash restarts the gateway. Outstanding attempts are executed or lost at once, that is before the pause that holds
// back changes has ended.
func (p *fakeNodes) crash(seed uint64, executed func() bool) {
	for _, a := range p.outstanding {
		if executed() {
			p.execute(a)
		}
	}
	p.outstanding, p.dropped, p.markActions = nil, nil, nil
	for len(p.order) > 0 {
		p.removeRequest(p.order[0])
	}
	p.start(seed)
}

func newFakeNodes(t *rapid.T, cfg *settings.Config) *fakeNodes {
	return &fakeNodes{T: t, cfg: cfg, now: 1_000_000, disk: map[blockAddress]uint64{}, marks: map[Mark]int{}, live: map[*Op]*pendingRequest{}, endedAt: map[uint64]int{},
		servedSince: map[int64]int{}}
}

func (p *fakeNodes) setNode(i int, s logic.NodeState) {
	n := p.cfg.Nodes[i]
	p.c.Nodes(p.now, []logic.Node{{ID: n.ID, Cell: n.Cell, Zone: n.Zone, State: s}})
	p.step()
}

// TestMirrors runs random sequences of writes and reads of mirrored extents, attempt ends of every kind, late execution
// of dropped attempts, nodes that go and return, leaving clients, marks that cannot be stored, and crashes of the
// gateway. A read must return nothing older than what had been served when it was made, each request must be answered,
// and in the end all copies must be identical and nothing may be left.
func TestMirrors(t *testing.T) {
	cfgs := map[string]*settings.Config{"1": mirrorConfig(t, "1"), "2": mirrorConfig(t, "2")}
	served := 0
	for range 5 {
		rapid.Check(t, func(t *rapid.T) {
			p := newFakeNodes(t, cfgs[rapid.SampledFrom([]string{"1", "2"}).Draw(t, "hold")])
			p.start(rapid.Uint64().Draw(t, "seed"))
			p.advance(150_000, func() bool { return false })
			coin := func() bool { return rapid.Bool().Draw(t, "lands") }
			// Only a few blocks on both sides of the bounds of regions and extents, so that requests overlap.
			spots := []int64{0, 1, 126, 127, 128, 129, 254, 255, 256, 383, 384, 385}
			for range rapid.IntRange(1, 60).Draw(t, "steps") {
				switch k := rapid.IntRange(0, 19).Draw(t, "what"); {
				case k < 4:
					b := rapid.SampledFrom(spots).Draw(t, "at")
					p.request(block.Write, b, rapid.Int64Range(1, 3).Draw(t, "n"))
				case k < 7:
					p.request(block.Read, rapid.SampledFrom(spots).Draw(t, "at"), rapid.Int64Range(1, 2).Draw(t, "n"))
				case k < 9:
					p.applyMarks(rapid.IntRange(0, 4).Draw(t, "kept") > 0)
				case k < 15 && len(p.outstanding) > 0:
					i := rapid.IntRange(0, len(p.outstanding)-1).Draw(t, "which")
					switch o := rapid.SampledFrom([]logic.Outcome{logic.OK, logic.OK, logic.OK, logic.OK, logic.Failed, logic.Full, logic.Reset,
						logic.ConnectFailed}).Draw(t, "outcome"); o {
					case logic.OK:
						p.end(i, o, true)
					case logic.Failed, logic.Reset:
						p.end(i, o, coin())
					default:
						p.end(i, o, false)
					}
				case k == 15:
					p.setNode(rapid.IntRange(0, 2).Draw(t, "node"), rapid.SampledFrom([]logic.NodeState{logic.Ready, logic.Ready, logic.Gone, logic.Draining}).Draw(t, "state"))
				case k == 16 && len(p.live) > 0:
					p.clientGone(p.order[rapid.IntRange(0, len(p.order)-1).Draw(t, "who")])
				case k == 17 && rapid.IntRange(0, 3).Draw(t, "crash") == 0:
					p.crash(rapid.Uint64().Draw(t, "seed"), coin)
				default:
					p.advance(logic.Micros(rapid.IntRange(1, 120_000).Draw(t, "pass")), coin)
				}
			}
			p.advance(700_000, coin)
			if len(p.live) > 0 {
				t.Fatalf("%d requests were never answered", len(p.live))
			}
			// All nodes are ready again: all copies must be caught up.
			for i := range 3 {
				p.setNode(i, logic.Ready)
			}
			for range 600 {
				p.applyMarks(true)
				if len(p.outstanding) > 0 {
					p.end(0, logic.OK, true)
				} else {
					p.advance(100_000, coin)
				}
			}
			served += p.served
			for _, m := range p.c.Mirrors() {
				if m.Stale > 0 {
					t.Fatalf("extent %d: %d regions are stale: %+v", m.Extent, m.Stale, m.Tally)
				}
			}
			if tally := p.c.Tally(); tally.Ops != 0 || tally.Pieces != 0 || tally.Out != 0 || tally.Attempts != 0 || p.c.mirrors.activeFills != 0 || len(p.marks) != 0 || len(p.c.mirrors.active) != 0 {
				t.Fatalf("not released: %+v, %d fills, marks %v, %d mirrors", tally, p.c.mirrors.activeFills, p.marks, len(p.c.mirrors.active))
			}
			if !p.c.volumes[0].memory.TryAcquire(p.cfg.Volumes[0].Memory) {
				t.Fatal("not all buffers were released")
			}
			for i, x := range p.cfg.Volumes[0].Extents {
				for b := range x.Len / 512 {
					first := p.disk[blockAddress{logic.NodeID(x.Cell + 1), x.Namespace, x.Base/512 + b}]
					if p.isStale(first, p.servedSince[x.Start/512+b]) {
						t.Fatalf("block %d of extent %d holds %d, which is older than a served write", b, i, first)
					}
					for _, c := range x.Copies[1:] {
						if got := p.disk[blockAddress{logic.NodeID(c.Cell + 1), c.Namespace, c.Base/512 + b}]; got != first {
							t.Fatalf("block %d of extent %d: %d at cell %d, %d at cell %d", b, i, got, c.Cell, first, x.Cell)
						}
					}
				}
			}
		})
	}
	if served < 200 {
		t.Errorf("only %d requests were served", served)
	}
}

// TestReadGoesElsewhere checks that a read that is not served by its first copy is retried at the other one, and that
// its attempts count as those of one request.
func TestReadGoesElsewhere(t *testing.T) {
	cfg := mirrorConfig(t, "1")
	rapid.Check(t, func(t *rapid.T) {
		p := newFakeNodes(t, cfg)
		p.start(1)
		p.request(block.Read, 0, 1)
		if len(p.outstanding) != 1 || p.outstanding[0].Node != 1 {
			t.Fatalf("%d sends, want one in this zone", len(p.outstanding))
		}
		p.setNode(0, logic.Gone)
		p.end(0, logic.Reset, false)
		p.advance(100_000, func() bool { return false })
		if len(p.outstanding) != 1 || p.outstanding[0].Node != 2 || p.outstanding[0].Namespace != 7 || p.outstanding[0].Offset != 64<<10 || p.c.Tally().Elsewhere != 1 {
			t.Fatalf("outstanding: %+v, tally %+v", p.outstanding, p.c.Tally())
		}
		p.end(0, logic.OK, true)
		if p.served != 1 || p.c.Tally().Repeats != 1 {
			t.Fatalf("served %d, tally %+v", p.served, p.c.Tally())
		}
	})
}

// BenchmarkMirror measures a change and a read of a mirrored extent, with marks stored at once.
func BenchmarkMirror(b *testing.B) {
	cfg := mirrorConfig(b, "1")
	c, err := NewCore(cfg, 1, 1)
	if err != nil {
		b.Fatal(err)
	}
	now := logic.Micros(1_000_000)
	for _, n := range cfg.Nodes {
		c.Nodes(now, []logic.Node{{ID: n.ID, Cell: n.Cell, Zone: n.Zone, State: logic.Ready}})
	}
	run := func() {
		for next := logic.Micros(1); next > 0 && next <= now; next = c.Next() {
			for _, a := range c.Step(now) {
				switch a.Kind {
				case Start:
					c.AttemptEnded(now, a.Attempt, block.Result{Outcome: logic.OK, Load: logic.NoLoad})
				case Keep:
					c.Kept(now, a.Mark, true)
				case Finish:
					a.Op.Release()
				}
			}
		}
	}
	for _, kind := range []block.Kind{block.Read, block.Write} {
		b.Run(kind.String(), func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				now += 200
				op := NewOp()
				op.Kind, op.Len, op.Front = kind, 4096, discardFront{}
				op.Buffer = block.NewBuffer(4096, nil)
				c.Take(now, op)
				run()
			}
		})
	}
}
