package copies

import (
	"fmt"
	"slices"
	"testing"

	"appleplank/logic"

	"pgregory.net/rapid"
)

func newHarness(t testing.TB, s Settings) *harness {
	set, err := New(s)
	if err != nil {
		t.Fatal(err)
	}
	return &harness{t: t, Set: set, now: sec, marks: map[int64]int{}}
}

// harness carries out the outputs of a set immediately: it writes marks, and collects sends for the test to end.
type harness struct {
	t testing.TB
	*Set
	now             logic.Micros
	marks           map[int64]int
	marksBroken     bool // marks cannot be written
	sentChanges     []*Change
	answeredChanges []*Change
}

func (b *harness) process() {
	for out := b.Out(); len(out) > 0; out = b.Out() {
		for _, o := range out {
			switch o.Kind {
			case WriteMark:
				if !b.marksBroken {
					b.marks[o.Mark.Region] = o.Mark.Lead
				}
				b.MarkWritten(b.now, o.Mark, !b.marksBroken)
			case DeleteMark:
				delete(b.marks, o.Mark.Region)
			case Send:
				b.sentChanges = append(b.sentChanges, o.Change)
			case Answer:
				b.answeredChanges = append(b.answeredChanges, o.Change)
			}
		}
	}
}

func (b *harness) begin(from, to int64, ready Mask) *Change {
	c := &Change{From: from, To: to, Aim: 200 * ms, Deadline: b.now + sec}
	b.Begin(b.now, c, ready)
	b.process()
	return c
}

func (b *harness) end(c *Change, copy int, held, ran bool) {
	b.Ended(b.now, c, copy, held, ran)
	b.process()
}

func (b *harness) readable(from, to int64) Mask { m, _ := b.Readable(from, to); return m }

func (b *harness) wantVerdict(c *Change, want Verdict) {
	b.t.Helper()
	if n := slices.Index(b.answeredChanges, c); n < 0 || c.Verdict != want {
		b.t.Fatalf("answered %v, verdict %d, want %d", n >= 0, c.Verdict, want)
	}
}

// For each combination of ends of a change at two copies: its answer, the readable copies and the lead.
func TestEnds(t *testing.T) {
	const held, lost, refused, out = 0, 1, 2, 3 // lost: it may have run; out: it has not ended
	type ends [2]int
	for _, x := range []struct {
		hold     int
		ends     ends
		late     bool // the wait for the leads has expired
		answered bool
		verdict  Verdict
		readable Mask
		lead     int
	}{
		{1, ends{held, held}, false, true, Served, 3, 0},
		{2, ends{held, held}, false, true, Served, 3, 0},
		{1, ends{held, out}, false, true, Served, 1, 0},
		{2, ends{held, out}, true, false, 0, 1, 0},
		{1, ends{out, held}, false, false, 0, 1, 0},
		{1, ends{out, held}, true, true, Served, 2, 1}, // the lead hangs
		{1, ends{lost, held}, false, true, Served, 2, 1},
		{1, ends{refused, held}, false, true, Served, 2, 1},
		{2, ends{lost, held}, false, true, Failed, 2, 1},
		{2, ends{held, lost}, false, true, Failed, 1, 0},
		{1, ends{held, refused}, false, true, Served, 1, 0},
		{1, ends{lost, lost}, false, true, Failed, 1, 0},
		{1, ends{lost, refused}, false, true, Failed, 1, 0},
		{1, ends{refused, lost}, false, true, Failed, 1, 0},
		{1, ends{refused, refused}, false, true, Refused, 3, 0},
	} {
		b := newHarness(t, Settings{2, x.hold, 100, 1000})
		c := b.begin(110, 120, 3)
		if len(b.sentChanges) != 1 || b.marks[1] != 0 || len(b.marks) != 1 {
			t.Fatalf("%+v: sent %d, marks %v", x, len(b.sentChanges), b.marks)
		}
		for copy, e := range x.ends {
			if e != out {
				b.end(c, copy, e == held, e == lost)
			}
		}
		if x.late {
			b.now += 200 * ms
			b.HandleTimeouts(b.now)
			b.process()
		}
		answered := slices.Contains(b.answeredChanges, c)
		if m := b.readable(115, 116); answered != x.answered || answered && c.Verdict != x.verdict || m != x.readable || b.marks[1] != x.lead {
			t.Errorf("%+v: answered %v, verdict %d, readable %b, lead %d", x, answered, c.Verdict, m, b.marks[1])
		}
	}
}

// With too few up-to-date copies in reach nothing is sent, so that the refusal is safe to retry.
func TestTooFew(t *testing.T) {
	b := newHarness(t, Settings{3, 2, 100, 1000})
	c := b.begin(0, 10, 0b100)
	b.wantVerdict(c, Refused)
	if len(b.sentChanges) > 0 || len(b.marks) > 0 {
		t.Fatalf("sent %d, marks %v", len(b.sentChanges), b.marks)
	}
	c = b.begin(0, 10, 0b110) // the lead cannot be reached: it moves, and the change is served by the others
	b.end(c, 1, true, false)
	b.end(c, 2, true, false)
	b.wantVerdict(c, Served)
	if b.marks[0] != 1 || b.readable(0, 10) != 0b110 {
		t.Fatalf("lead %d, readable %b", b.marks[0], b.readable(0, 10))
	}
	b.wantVerdict(b.begin(0, 10, 0b101), Refused) // copy 0 is stale: only one up-to-date copy is in reach
}

// If marks cannot be written, a change is refused before it is sent anywhere. A lead does not move, and a change that
// depends on the move is not answered as served.
func TestMarksFail(t *testing.T) {
	b := newHarness(t, Settings{2, 1, 100, 1000})
	b.marksBroken = true
	b.wantVerdict(b.begin(0, 10, 3), Refused)
	if len(b.sentChanges) > 0 {
		t.Fatal("sent without a mark")
	}
	b.marksBroken = false
	c := b.begin(0, 10, 3)
	b.marksBroken = true
	b.end(c, 1, true, false)
	b.end(c, 0, false, true)
	b.wantVerdict(c, Failed)
	d := b.begin(0, 10, 3)
	b.wantVerdict(d, Refused) // the lead on stable storage is unknown until a mark can be written again
	b.marksBroken = false
	d = b.begin(0, 10, 3)
	b.end(d, 0, true, false)
	b.wantVerdict(d, Served)
}

// Marks are dropped once their regions are idle. After a restart only the lead of a marked region may be read.
func TestMarksOutlive(t *testing.T) {
	b := newHarness(t, Settings{2, 1, 100, 1000})
	for i := range int64(3) {
		c := b.begin(i*100, i*100+10, 3)
		b.end(c, 0, true, false)
		if i > 0 {
			b.end(c, 1, i == 1, false)
		}
	}
	again := newHarness(t, Settings{2, 1, 100, 1000})
	for n, lead := range b.marks {
		if err := again.RestoreMark(Mark{n, lead}); err != nil {
			t.Fatal(err)
		}
	}
	if again.Stale() != 3 || again.readable(0, 10) != 1 || again.readable(250, 260) != 1 || again.readable(300, 310) != 3 {
		t.Fatalf("%d stale regions", again.Stale())
	}
	for _, m := range []Mark{{-1, 0}, {10, 0}, {0, 2}, {0, -1}} {
		if again.RestoreMark(m) == nil {
			t.Errorf("invalid mark %v was accepted", m)
		}
	}
	b.end(b.sentChanges[0], 1, true, false)
	for range 20 {
		b.now += sec
		b.HandleTimeouts(b.now)
		b.process()
	}
	if len(b.marks) != 1 { // the mark of the region that copy 1 has missed
		t.Errorf("marks left: %v, want one", b.marks)
	}
	// A region that changes repeatedly keeps its mark.
	marks := b.Tally.Marks
	for range 10 {
		c := b.begin(900, 910, 3)
		b.end(c, 0, true, false)
		b.end(c, 1, true, false)
		b.now += markIdleTime * 3 / 5
		b.HandleTimeouts(b.now)
		b.process()
	}
	if b.Tally.Marks != marks+1 {
		t.Errorf("%d marks were written for one region, want 1", b.Tally.Marks-marks)
	}
}

// Only the missed bytes are caught up, from the lead, once both copies are in reach. A write that is missed during the
// fill keeps the copy stale. The backoff grows with each failure, and the retry delay of a refusal is followed.
func TestFill(t *testing.T) {
	b := newHarness(t, Settings{2, 1, 100, 1000})
	miss := func(from, to int64) {
		c := b.begin(from, to, 1)
		b.end(c, 0, true, false)
		b.wantVerdict(c, Served)
	}
	miss(110, 120)
	miss(150, 160)
	if _, ok, wait := b.Fill(b.now, 1); ok || wait == 0 {
		t.Fatalf("got fill %v, wait %v with one copy in reach, want a wait", ok, wait)
	}
	f, ok, _ := b.Fill(b.now, 3)
	if !ok || f.From != 110 || f.To != 160 || f.Source != 0 || f.Target != 1 {
		t.Fatalf("%+v, %v", f, ok)
	}
	if _, ok, _ := b.Fill(b.now, 3); ok {
		t.Fatal("a second fill of the same region started")
	}
	if need := b.Targets(170, 180); need != 3 {
		t.Fatalf("a change during the fill goes to %b, want both copies", need)
	}
	miss(170, 180)
	b.Filled(b.now, f, true, 0)
	if b.readable(110, 120) != 1 {
		t.Fatal("copy 1 is readable although it missed a change during the fill")
	}
	if f, ok, _ = b.Fill(b.now, 3); !ok || f.From != 170 || f.To != 180 {
		t.Fatalf("%+v, %v", f, ok)
	}
	b.Filled(b.now, f, false, 0)
	for want := minCatchUpBackoff; want <= 400*ms; want *= 2 {
		if _, ok, wait := b.Fill(b.now, 3); ok || wait != want {
			t.Fatalf("wait %v, want %v", wait, want)
		}
		b.now += want
		if f, ok, _ = b.Fill(b.now, 3); !ok || f.From != 100 || f.To != 200 {
			t.Fatalf("%+v, %v", f, ok)
		}
		b.Filled(b.now, f, false, 0)
	}
	b.now += maxCatchUpBackoff
	f, _, _ = b.Fill(b.now, 3)
	b.Filled(b.now, f, false, 3*sec) // refused with a retry delay
	if _, ok, wait := b.Fill(b.now, 3); ok || wait != catchUpPollInterval {
		t.Fatalf("wait %v", wait)
	}
	b.now += 3 * sec
	f, _, _ = b.Fill(b.now, 3)
	b.Filled(b.now, f, true, 0)
	if b.Stale() != 0 || !b.UpToDate(1) || b.readable(110, 200) != 3 {
		t.Fatalf("%d stale regions, want all up to date", b.Stale())
	}
}

// A read is split where no copy may serve all of it.
func TestReadable(t *testing.T) {
	b := newHarness(t, Settings{2, 1, 100, 1000})
	c := b.begin(50, 60, 2) // region 0: copy 0 is stale
	b.end(c, 1, true, false)
	c = b.begin(150, 160, 1) // region 1: copy 1 is stale
	b.end(c, 0, true, false)
	for _, x := range []struct {
		from, to int64
		m        Mask
		end      int64
	}{{0, 100, 2, 100}, {0, 300, 2, 100}, {100, 300, 1, 300}, {200, 300, 3, 300}, {90, 110, 2, 100}} {
		if m, end := b.Readable(x.from, x.to); m != x.m || end != x.end {
			t.Errorf("[%d, %d): %b up to %d, want %b up to %d", x.from, x.to, m, end, x.m, x.end)
		}
	}
}

func TestReadGoes(t *testing.T) {
	home, away, down := CopyState{true, true, 10}, CopyState{false, true, 10}, CopyState{false, false, 0}
	late := func(s CopyState, t logic.Micros) CopyState { s.ExpectedTime = t; return s }
	for _, x := range []struct {
		m      Mask
		seen   []CopyState
		copy   int
		spills bool
		once   bool
	}{
		{3, []CopyState{away, home}, 1, false, true},
		{1, []CopyState{away, home}, 0, false, false},                         // the copy at home is stale
		{3, []CopyState{away, late(home, 90)}, 1, false, true},                // slower, but within the aim
		{3, []CopyState{away, late(home, 200)}, 0, true, true},                // beyond the aim at home
		{3, []CopyState{late(away, 180), late(home, 200)}, 1, false, true},    // all beyond the aim, away not twice as fast
		{3, []CopyState{late(away, 150), late(home, 2000)}, 0, true, true},    // all beyond the aim, away twice as fast
		{7, []CopyState{late(home, 50), home, away}, 1, false, true},          // the faster of two at home
		{3, []CopyState{down, away}, 1, false, false},                         //
		{3, []CopyState{down, down}, 0, false, false},                         // none is ready: the lowest, which refuses
		{6, []CopyState{home, down, late(away, 5000)}, 2, false, false},       // the only ready copy that may be read
		{3, []CopyState{{true, false, 0}, late(away, 5000)}, 1, false, false}, // no copy at home is in reach
	} {
		r := Read{Aim: 100, Deadline: 1000}
		if _, ok := r.Choose(x.m, x.seen, func(int) (logic.Micros, bool) { return 0, true }); !ok || r.Copy != x.copy || r.CrossesZones != x.spills || r.GiveUpEarly != x.once {
			t.Errorf("%b of %v: %+v", x.m, x.seen, r)
		}
	}
}

// A read that was not served is retried at a copy that it was not tried at, while it has time and attempts. If it may
// not cross zones, it goes to the copy at home, stays, or is refused with a retry delay.
func TestReadGoesOn(t *testing.T) {
	home, away := CopyState{true, true, 10}, CopyState{false, true, 10}
	slow := CopyState{true, true, 5000}
	yes := func(int) (logic.Micros, bool) { return 0, true }
	homeOnly := func(copy int) (logic.Micros, bool) { return 7, copy == 0 }
	for _, x := range []struct {
		name         string
		first, later []CopyState
		ask          Admitter // of both calls
		now          logic.Micros
		tries        int
		ok           bool // result of Choose
		again        bool
		at           int
		spills       bool
	}{
		{"elsewhere", []CopyState{home, away}, []CopyState{home, away}, yes, 10, 1, true, true, 1, true},
		{"too late", []CopyState{home, away}, []CopyState{home, away}, yes, 1000, 1, true, false, 0, false},
		{"no attempts left", []CopyState{home, away}, []CopyState{home, away}, yes, 10, 4, true, false, 0, false},
		{"may not cross: stays", []CopyState{home, away}, []CopyState{slow, away}, homeOnly, 10, 0, true, true, 0, false},
		{"may not cross, and home is gone", []CopyState{home, away}, []CopyState{{true, false, 0}, away}, homeOnly, 10, 0, true, false, 0, false},
		{"a spill may not cross", []CopyState{slow, away}, []CopyState{slow, away}, homeOnly, 10, 0, true, true, 0, false},
		{"no other is in reach", []CopyState{home, {false, false, 0}}, []CopyState{home, {false, false, 0}}, yes, 10, 1, true, false, 0, false},
		{"refused", []CopyState{{true, false, 0}, away}, []CopyState{home, away}, homeOnly, 10, 0, false, false, 1, false},
	} {
		r := Read{Aim: 100, Deadline: 1000, MaxAttempts: 4}
		wait, ok := r.Choose(3, x.first, x.ask)
		if ok != x.ok || !ok && wait != 7 {
			t.Errorf("%s: Choose gives %v, wait %v: %+v", x.name, ok, wait, r)
		}
		if got := r.Retry(x.now, 3, x.later, x.tries, x.ask); got != x.again || r.Copy != x.at || r.CrossesZones != x.spills {
			t.Errorf("%s: Retry gives %v, %+v", x.name, got, r)
		}
		if x.again && r.Retry(x.now, 3, x.later, x.tries, x.ask) {
			t.Errorf("%s: retried a second time: %+v", x.name, r)
		}
	}
}

// Millions of stale regions are not scanned in one call, and each is caught up in turn.
func TestFillManyRegions(t *testing.T) {
	const n = 5 * maxRegionsScanned
	b := newHarness(t, Settings{2, 1, 100, n * 100})
	for i := range int64(n) {
		if err := b.RestoreMark(Mark{i, int(i / (n - 10))}); err != nil { // copy 1 leads the last regions
			t.Fatal(err)
		}
	}
	filled := map[int64]bool{}
	calls, first := 0, 0
	for ; len(filled) < 10 && calls < 100; calls++ { // copy 1 waits: only what it leads can be caught up
		b.Set.catchUpNotBefore[1] = b.now + sec
		f, ok, wait := b.Fill(b.now, 3)
		if !ok && wait > scanPause {
			t.Fatalf("call %d: wait %v although some regions were not scanned", calls, wait)
		}
		if ok {
			if first == 0 {
				first = calls
			}
			filled[f.From] = true
			b.Filled(b.now, f, true, 0)
		}
	}
	if len(filled) < 10 || first < 4 || b.UpToDate(1) || !b.UpToDate(0) {
		t.Errorf("%d regions caught up in %d calls, the first in call %d", len(filled), calls, first)
	}
}

// For any sequence of changes, ends, failed marks, fills and crashes: a read from any readable copy returns at least
// what was answered as served, and all readable copies are identical.
func TestCopiesModel(t *testing.T) {
	for range 20 { // the rarest injected faults need -rapid.checks=400000 to be found
		rapid.Check(t, checkModel)
	}
}

const numBlocks = 12

type send struct {
	change *change
	fill   *fillState
}

type change struct {
	Change
	value int
}

type fillState struct {
	Fill
	data   []int // nil: not read from the source yet
	failed bool
}

func checkModel(t *rapid.T) {
	n := rapid.IntRange(2, 3).Draw(t, "copies")
	config := Settings{n, rapid.IntRange(1, n).Draw(t, "hold"), 4, numBlocks}
	set, _ := New(config)
	now := sec
	disk := make([][]int, n)
	for i := range disk {
		disk[i] = make([]int, numBlocks)
	}
	queue := make([][]*send, n) // by copy, in the order of the changes, which the caller must keep
	marks := map[int64]int{}
	var pendingMarkOutputs []Output
	acked := make([]int, numBlocks)
	values := 0
	var begun []*change
	process := func() {
		for out := set.Out(); len(out) > 0; out = set.Out() {
			for _, o := range out {
				switch o.Kind {
				case WriteMark, DeleteMark:
					pendingMarkOutputs = append(pendingMarkOutputs, o)
				case Send:
					c := o.Change.Owner.(*change)
					values++ // changes are ordered as they are sent
					c.value = values
					for i := range n {
						if c.Sent.Has(i) {
							queue[i] = append(queue[i], &send{change: c})
						}
					}
				case Answer:
					c := o.Change.Owner.(*change)
					for b := c.From; b < c.To && c.Verdict == Served; b++ {
						acked[b] = max(acked[b], c.value)
					}
				}
			}
		}
	}
	check := func() {
		for b := range int64(numBlocks) {
			m, _ := set.Readable(b, b+1)
			if m == 0 {
				t.Fatalf("block %d has no readable copy", b)
			}
			first := m.First()
			for i := range n {
				if !m.Has(i) {
					continue
				}
				if disk[i][b] < acked[b] {
					t.Fatalf("block %d of copy %d holds %d, %d was served (readable %b)", b, i, disk[i][b], acked[b], m)
				}
				if disk[i][b] != disk[first][b] {
					t.Fatalf("block %d: copy %d holds %d, copy %d %d", b, i, disk[i][b], first, disk[first][b])
				}
			}
		}
	}
	apply := func(i int, s *send) {
		if s.fill != nil {
			if s.fill.Target == i {
				copy(disk[i][s.fill.From:s.fill.To], s.fill.data)
			}
			return
		}
		for b := s.change.From; b < s.change.To; b++ {
			disk[i][b] = s.change.value
		}
	}
	pop := func(i int) *send {
		s := queue[i][0]
		queue[i] = queue[i][1:]
		return s
	}
	drawCopy := func(name string) int { return rapid.IntRange(0, n-1).Draw(t, name) }
	t.Repeat(map[string]func(*rapid.T){
		"": func(*rapid.T) { process(); check() },
		"begin": func(t *rapid.T) {
			from := rapid.Int64Range(0, numBlocks-1).Draw(t, "from")
			c := &change{}
			c.From, c.To, c.Owner = from, rapid.Int64Range(from+1, min(from+5, numBlocks)).Draw(t, "to"), c
			c.Aim, c.Deadline = rapid.SampledFrom([]logic.Micros{2 * ms, 100 * ms}).Draw(t, "aim"), now+sec
			begun = append(begun, c)
			set.Begin(now, &c.Change, Mask(rapid.IntRange(0, 1<<n-1).Draw(t, "ready")))
		},
		"keep": func(t *rapid.T) {
			if len(pendingMarkOutputs) == 0 {
				t.Skip()
			}
			o := pendingMarkOutputs[0]
			pendingMarkOutputs = pendingMarkOutputs[1:]
			if o.Kind == DeleteMark {
				delete(marks, o.Mark.Region)
				return
			}
			ok := rapid.IntRange(0, 9).Draw(t, "kept") > 0
			if ok || rapid.Bool().Draw(t, "stands all the same") {
				marks[o.Mark.Region] = o.Mark.Lead
			}
			set.MarkWritten(now, o.Mark, ok)
		},
		"end": func(t *rapid.T) {
			i := drawCopy("copy")
			if len(queue[i]) == 0 {
				t.Skip()
			}
			s := queue[i][0]
			how := rapid.IntRange(0, 5).Draw(t, "how") // 0: refused, 1: lost and not run, 2: lost and run, 3 and more: held
			if f := s.fill; f != nil {
				if f.Source == i {
					pop(i)
					f.failed = how < 2
					f.data = slices.Clone(disk[i][f.From:f.To])
					return
				}
				if f.data == nil {
					t.Skip() // it waits for the read from the source
				}
				pop(i)
				if !f.failed && how > 1 {
					apply(i, s)
				}
				set.Filled(now, f.Fill, !f.failed && how > 2, 0)
				return
			}
			pop(i)
			if how > 1 {
				apply(i, s)
			}
			set.Ended(now, &s.change.Change, i, how > 2, how == 1 || how == 2)
		},
		"fill": func(t *rapid.T) {
			if f, ok, _ := set.Fill(now, Mask(rapid.IntRange(0, 1<<n-1).Draw(t, "ready"))); ok {
				s := &send{fill: &fillState{Fill: f}}
				queue[f.Source] = append(queue[f.Source], s)
				queue[f.Target] = append(queue[f.Target], s)
			}
		},
		"gone": func(t *rapid.T) {
			if len(begun) > 0 {
				set.ClientGone(now, &begun[rapid.IntRange(0, len(begun)-1).Draw(t, "which")].Change)
			}
		},
		"pass": func(t *rapid.T) {
			now += rapid.SampledFrom([]logic.Micros{ms, 60 * ms, 2 * sec, 7 * sec}).Draw(t, "time")
			set.HandleTimeouts(now)
		},
		"crash": func(t *rapid.T) {
			if rapid.IntRange(0, 4).Draw(t, "really") > 0 {
				t.Skip()
			}
			for i := range n { // sends in flight run or do not, in order; none runs later, as changes are held back after a start
				for _, s := range queue[i] {
					if (s.fill == nil || s.fill.Target == i && s.fill.data != nil && !s.fill.failed) && rapid.Bool().Draw(t, "runs") {
						apply(i, s)
					}
				}
				queue[i] = nil
			}
			for _, o := range pendingMarkOutputs {
				if rapid.Bool().Draw(t, "kept in time") {
					if o.Kind == DeleteMark {
						delete(marks, o.Mark.Region)
					} else {
						marks[o.Mark.Region] = o.Mark.Lead
					}
				} else {
					break
				}
			}
			pendingMarkOutputs, begun = nil, nil
			set, _ = New(config)
			for n := range int64(numBlocks / 4) {
				if lead, ok := marks[n]; ok {
					if err := set.RestoreMark(Mark{n, lead}); err != nil {
						t.Fatal(err)
					}
				}
			}
		},
	})
	// Finally everything can be caught up.
	for range 200 {
		process()
		for len(pendingMarkOutputs) > 0 {
			o := pendingMarkOutputs[0]
			pendingMarkOutputs = pendingMarkOutputs[1:]
			if o.Kind == WriteMark {
				set.MarkWritten(now, o.Mark, true)
			}
			process()
		}
		for i := range queue {
			for len(queue[i]) > 0 {
				s := queue[i][0]
				if f := s.fill; f != nil && f.Source == i {
					f.data = slices.Clone(disk[i][f.From:f.To])
				} else if f != nil {
					if f.data == nil {
						break
					}
					if !f.failed {
						apply(i, s)
					}
					set.Filled(now, f.Fill, !f.failed, 0)
				} else {
					apply(i, s)
					set.Ended(now, &s.change.Change, i, true, false)
				}
				pop(i)
				process()
			}
		}
		check()
		now += 11 * sec
		set.HandleTimeouts(now)
		if f, ok, _ := set.Fill(now, allCopies(n)); ok {
			s := &send{fill: &fillState{Fill: f}}
			queue[f.Source] = append(queue[f.Source], s)
			queue[f.Target] = append(queue[f.Target], s)
		}
	}
	if set.Stale() != 0 || set.regions.Len() != 0 || len(set.active) != 0 {
		t.Fatalf("%d stale regions, %d region entries and %d changes are left: %s", set.Stale(), set.regions.Len(), len(set.active), fmt.Sprint(set.Tally))
	}
	for i := range disk {
		if !slices.Equal(disk[i], disk[0]) {
			t.Fatalf("copy %d holds %v, copy 0 %v", i, disk[i], disk[0])
		}
	}
}

// BenchmarkCopies measures a change that needs no new mark and a read, with a thousand marked regions.
func BenchmarkCopies(b *testing.B) {
	s, _ := New(Settings{2, 1, 1 << 20, 1 << 40})
	for i := range int64(1000) {
		r := s.ensureRegion(i)
		r.marked = true
	}
	var c Change
	now := sec
	b.ReportAllocs()
	for i := range b.N {
		from := int64(i%1000) << 20
		c = Change{From: from, To: from + 4096, Deadline: now + sec}
		s.Begin(now, &c, 3)
		s.Ended(now, &c, 0, true, false)
		s.Ended(now, &c, 1, true, false)
		s.Readable(from, from+4096)
		s.outputs = s.outputs[:0]
	}
}

// BenchmarkStale measures the periodic work with a million regions with a stale copy: timeouts, the check whether
// copies are up to date, and the scan for regions to catch up while the copy is not in reach.
func BenchmarkStale(b *testing.B) {
	s, _ := New(Settings{2, 1, 1 << 20, 1 << 40})
	for i := range int64(1 << 20) {
		s.RestoreMark(Mark{i, 0})
	}
	now := sec
	b.ResetTimer()
	for range b.N {
		now += sec
		s.HandleTimeouts(now)
		s.UpToDate(0)
		s.UpToDate(1)
		s.Fill(now, 1)
	}
}
