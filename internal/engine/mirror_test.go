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

// shelf is a block of a namespace at a node.
type shelf struct {
	node  logic.NodeID
	ns    uint32
	block int64
}

type late struct {
	a  *block.Attempt
	by logic.Micros
}

// pool is nodes that hold blocks, and a core before them.
type pool struct {
	*rapid.T
	cfg    *settings.Config
	c      *Core
	now    logic.Micros
	disk   map[shelf]uint64
	out    []*block.Attempt
	late   []late // dropped, and may land for a while
	marks  map[Mark]int
	keeps  []Action
	live   map[*Op]*asked
	order  []*asked       // of those in live, as asked
	ends   map[uint64]int // when a write was over for its client, by its value
	acked  map[int64]int  // by block, when the last write was asked that has been served
	served int
	value  uint64
	clock  int // counts what happens to clients
	done   func(op *Op, r *asked)
}

// asked is a request that is not over for its client: the value that a write writes, when it was asked, and for a read
// what had been served by then.
type asked struct {
	op    *Op
	value uint64
	begun int
	acked map[int64]int
}

const blocks512 = (128 + 64 + 64) * 2

func (p *pool) Done(*Op)                  {}
func (p *pool) Sending(*Op, logic.NodeID) {}

// land lets an attempt take its effect at its node.
func (p *pool) land(a *block.Attempt) {
	for i := int64(0); i < a.Len/512; i++ {
		at := shelf{a.Node, a.Namespace, a.Offset/512 + i}
		switch a.Kind {
		case block.Write:
			p.disk[at] = binary.LittleEndian.Uint64(a.Bytes()[i*512:])
		case block.Read:
			binary.LittleEndian.PutUint64(a.Bytes()[i*512:], p.disk[at])
		}
	}
}

func (p *pool) step() {
	for {
		for _, a := range p.c.Step(p.now) {
			switch a.Kind {
			case Start:
				p.out = append(p.out, a.Attempt)
				if a.Attempt.Kind == block.Write && a.Attempt.Namespace == 7 && !a.Attempt.Durable {
					p.Fatal("a change of a mirrored extent is not durable when it is answered")
				}
			case Drop:
				p.late = append(p.late, late{a.Attempt, p.now + 90_000})
			case Keep, Forget:
				p.keeps = append(p.keeps, a)
			case Finish:
				p.finish(a.Op)
			}
		}
		if next := p.c.Next(); next == 0 || next > p.now {
			return
		}
	}
}

// older tells whether a value was over for its client before a write was asked that was served then: who finds it has
// lost that write. Writes that were asked at the same time may take effect in either order.
func (p *pool) older(value uint64, acked int) bool { return p.ends[value] < acked && acked > 0 }

// over takes a request away from its client.
func (p *pool) over(r *asked) {
	p.clock++
	delete(p.live, r.op)
	for i, o := range p.order {
		if o == r {
			p.order = append(p.order[:i:i], p.order[i+1:]...)
			break
		}
	}
	if r.value > 0 {
		p.ends[r.value] = p.clock
	}
}

func (p *pool) finish(op *Op) {
	r := p.live[op]
	if r == nil {
		p.Fatal("an answer to a request that has one or whose client is gone")
	}
	p.over(r)
	if p.done != nil {
		p.done(op, r)
	} else if op.Verdict == block.Served {
		p.served++
		for b := op.Offset / 512; b < (op.Offset+op.Len)/512 && op.Kind == block.Write; b++ {
			p.acked[b] = max(p.acked[b], r.begun)
		}
		if op.Kind == block.Read {
			op.Each(func(at int64, data []byte) {
				for i := int64(0); i < int64(len(data))/512; i++ {
					b := (op.Offset+at)/512 + i
					if got := binary.LittleEndian.Uint64(data[i*512:]); p.older(got, r.acked[b]) {
						p.Fatalf("block %d read as %d, which was over before what had been served", b, got)
					}
				}
			})
		}
	}
	op.Release()
}

func (p *pool) ask(kind block.Kind, b, n int64) *Op {
	op := NewOp()
	op.Kind, op.Offset, op.Len, op.Front = kind, b*512, n*512, p
	op.Buffer = block.NewBuffer(op.Len, nil)
	p.clock++
	r := &asked{op: op, begun: p.clock}
	if kind == block.Write {
		p.value++
		r.value = p.value
		p.ends[r.value] = math.MaxInt
		for i := range n {
			binary.LittleEndian.PutUint64(op.Buffer.B[i*512:], p.value)
		}
	} else {
		r.acked = maps.Clone(p.acked)
	}
	p.live[op] = r
	p.order = append(p.order, r)
	p.c.Take(p.now, op)
	p.step()
	return op
}

func (p *pool) end(i int, o logic.Outcome, lands bool) {
	a := p.out[i]
	p.out = append(p.out[:i], p.out[i+1:]...)
	for j, l := range p.late {
		if l.a == a {
			p.late = append(p.late[:j], p.late[j+1:]...)
			break
		}
	}
	if lands {
		p.land(a)
	}
	p.c.Ended(p.now, a, block.Result{Outcome: o, Load: logic.NoLoad})
	p.step()
}

func (p *pool) index(a *block.Attempt) int {
	for i, x := range p.out {
		if x == a {
			return i
		}
	}
	return -1
}

func (p *pool) pass(d logic.Micros, lands func() bool) {
	for end := p.now + d; p.now < end; {
		next := p.c.Next()
		if next == 0 || next > end {
			next = end
		}
		for len(p.late) > 0 && p.late[0].by <= next {
			p.end(p.index(p.late[0].a), logic.Cancelled, lands())
		}
		p.now = max(next, p.now)
		p.step()
	}
}

func (p *pool) keep(ok bool) {
	for len(p.keeps) > 0 {
		k := p.keeps[0]
		p.keeps = p.keeps[1:]
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

func (p *pool) begin(seed uint64) {
	var err error
	if p.c, err = NewCore(p.cfg, seed, 1); err != nil {
		p.Fatal(err)
	}
	for at, lead := range p.marks {
		at.Lead = lead
		if err := p.c.RememberMark(at); err != nil {
			p.Fatal(err)
		}
	}
	p.c.Rest(p.now)
	for id := range 3 {
		p.node(id, logic.Ready)
	}
}

// gone is a client that leaves.
func (p *pool) gone(r *asked) {
	p.over(r)
	p.c.Gone(p.now, r.op)
	r.op.Release()
	p.step()
}

// crash ends the gateway: what is out lands or does not, at the latest before the changes' rest is over; and begins anew.
func (p *pool) crash(seed uint64, lands func() bool) {
	for _, a := range p.out {
		if lands() {
			p.land(a)
		}
	}
	p.out, p.late, p.keeps = nil, nil, nil
	for len(p.order) > 0 {
		p.over(p.order[0])
	}
	p.begin(seed)
}

func newPool(t *rapid.T, cfg *settings.Config) *pool {
	return &pool{T: t, cfg: cfg, now: 1_000_000, disk: map[shelf]uint64{}, marks: map[Mark]int{}, live: map[*Op]*asked{}, ends: map[uint64]int{},
		acked: map[int64]int{}}
}

func (p *pool) node(i int, s logic.NodeState) {
	n := p.cfg.Nodes[i]
	p.c.Nodes(p.now, []logic.Node{{ID: n.ID, Cell: n.Cell, Zone: n.Zone, State: s}})
	p.step()
}

// Under any course of writes and reads of mirrored extents, ends of every kind and their late landing, nodes that go and
// come, clients that leave, marks that cannot be kept, and crashes of the gateway: a read gives no less than what was
// served when it was asked, all is answered, and in the end all copies are alike and nothing is left behind.
func TestMirrors(t *testing.T) {
	cfgs := map[string]*settings.Config{"1": mirrorConfig(t, "1"), "2": mirrorConfig(t, "2")}
	served := 0
	for range 5 {
		rapid.Check(t, func(t *rapid.T) {
			p := newPool(t, cfgs[rapid.SampledFrom([]string{"1", "2"}).Draw(t, "hold")])
			p.begin(rapid.Uint64().Draw(t, "seed"))
			p.pass(150_000, func() bool { return false })
			coin := func() bool { return rapid.Bool().Draw(t, "lands") }
			// Few blocks, on both sides of the ends of regions and extents, so that requests meet.
			spots := []int64{0, 1, 126, 127, 128, 129, 254, 255, 256, 383, 384, 385}
			for range rapid.IntRange(1, 60).Draw(t, "steps") {
				switch k := rapid.IntRange(0, 19).Draw(t, "what"); {
				case k < 4:
					b := rapid.SampledFrom(spots).Draw(t, "at")
					p.ask(block.Write, b, rapid.Int64Range(1, 3).Draw(t, "n"))
				case k < 7:
					p.ask(block.Read, rapid.SampledFrom(spots).Draw(t, "at"), rapid.Int64Range(1, 2).Draw(t, "n"))
				case k < 9:
					p.keep(rapid.IntRange(0, 4).Draw(t, "kept") > 0)
				case k < 15 && len(p.out) > 0:
					i := rapid.IntRange(0, len(p.out)-1).Draw(t, "which")
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
					p.node(rapid.IntRange(0, 2).Draw(t, "node"), rapid.SampledFrom([]logic.NodeState{logic.Ready, logic.Ready, logic.Gone, logic.Draining}).Draw(t, "state"))
				case k == 16 && len(p.live) > 0:
					p.gone(p.order[rapid.IntRange(0, len(p.order)-1).Draw(t, "who")])
				case k == 17 && rapid.IntRange(0, 3).Draw(t, "crash") == 0:
					p.crash(rapid.Uint64().Draw(t, "seed"), coin)
				default:
					p.pass(logic.Micros(rapid.IntRange(1, 120_000).Draw(t, "pass")), coin)
				}
			}
			p.pass(700_000, coin)
			if len(p.live) > 0 {
				t.Fatalf("%d requests were never answered", len(p.live))
			}
			// All is well again: everything is caught up.
			for i := range 3 {
				p.node(i, logic.Ready)
			}
			for range 600 {
				p.keep(true)
				if len(p.out) > 0 {
					p.end(0, logic.OK, true)
				} else {
					p.pass(100_000, coin)
				}
			}
			served += p.served
			for _, m := range p.c.Mirrors() {
				if m.Stale > 0 {
					t.Fatalf("extent %d: %d regions are stale: %+v", m.Extent, m.Stale, m.Tally)
				}
			}
			if tally := p.c.Tally(); tally.Ops != 0 || tally.Pieces != 0 || tally.Out != 0 || tally.Attempts != 0 || p.c.mirrors.fills != 0 || len(p.marks) != 0 || len(p.c.mirrors.awake) != 0 {
				t.Fatalf("left behind: %+v, %d fills, marks %v, %d mirrors", tally, p.c.mirrors.fills, p.marks, len(p.c.mirrors.awake))
			}
			if !p.c.vols[0].memory.TryAcquire(p.cfg.Volumes[0].Memory) {
				t.Fatal("buffers are left")
			}
			for i, x := range p.cfg.Volumes[0].Extents {
				for b := range x.Len / 512 {
					first := p.disk[shelf{logic.NodeID(x.Cell + 1), x.Namespace, x.Base/512 + b}]
					if p.older(first, p.acked[x.Start/512+b]) {
						t.Fatalf("block %d of extent %d holds %d, which was over before what was served", b, i, first)
					}
					for _, c := range x.Copies[1:] {
						if got := p.disk[shelf{logic.NodeID(c.Cell + 1), c.Namespace, c.Base/512 + b}]; got != first {
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

// A read that its first copy does not serve goes on at the other, and its attempts count as one request's.
func TestReadGoesElsewhere(t *testing.T) {
	cfg := mirrorConfig(t, "1")
	rapid.Check(t, func(t *rapid.T) {
		p := newPool(t, cfg)
		p.begin(1)
		p.ask(block.Read, 0, 1)
		if len(p.out) != 1 || p.out[0].Node != 1 {
			t.Fatalf("%d sends, want one at home", len(p.out))
		}
		p.node(0, logic.Gone)
		p.end(0, logic.Reset, false)
		p.pass(100_000, func() bool { return false })
		if len(p.out) != 1 || p.out[0].Node != 2 || p.out[0].Namespace != 7 || p.out[0].Offset != 64<<10 || p.c.Tally().Elsewhere != 1 {
			t.Fatalf("out: %+v, tally %+v", p.out, p.c.Tally())
		}
		p.end(0, logic.OK, true)
		if p.served != 1 || p.c.Tally().Repeats != 1 {
			t.Fatalf("served %d, tally %+v", p.served, p.c.Tally())
		}
	})
}

// What a change of a mirrored extent and a read of one cost, marks kept.
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
					c.Ended(now, a.Attempt, block.Result{Outcome: logic.OK, Load: logic.NoLoad})
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
				op.Kind, op.Len, op.Front = kind, 4096, nobody{}
				op.Buffer = block.NewBuffer(4096, nil)
				c.Take(now, op)
				run()
			}
		})
	}
}
