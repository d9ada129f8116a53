package audit

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"appleplank/internal/block"
	"appleplank/internal/nvme"
	"appleplank/internal/settings"
	"appleplank/internal/standin"
)

const script = `
class_(name = "read", aim = ms(100), deadline = s(1))
class_(name = "keyed", aim = ms(100), deadline = s(1), repeat = "keyed", group = "cell", remembers = s(2), in_order = True, writes = True)
class_(name = "unsafe", aim = ms(100), deadline = s(1), repeat = "unsafe", in_order = True, writes = True)
plan(name = "basic", rate = 10, limit = 10, limit_burst = 5, limit_slack = 1)
gateway(name = "gw0", hosts = 2, number = 0)
rules(stop_sending = ms(500), order_pause = ms(300), budget_window = s(1), budget_free = 2, budget_per_take = 0.1)
node(id = 1, cell = 0, address = "127.0.0.1:1", nqn = "a")
node(id = 2, cell = 1, address = "127.0.0.1:2", nqn = "b")
volume(id = 1, name = "v", plan = "basic", gateways = 2,
    extents = [dict(size = MiB(1), cell = 0, namespace = 1), dict(size = MiB(1), cell = 1, namespace = 1)],
    table = [dict(kind = "read", class_ = "read"), dict(kind = "flush", class_ = "read"),
        dict(kind = "write", class_ = "keyed", up_to = KiB(64)), dict(kind = "write", class_ = "unsafe"),
        dict(kind = "discard", class_ = "unsafe"), dict(kind = "write_zeroes", class_ = "unsafe")])
`

var t0 = time.Date(2026, 12, 1, 6, 0, 0, 0, time.UTC)

func at(ms int) time.Time { return t0.Add(time.Duration(ms) * time.Millisecond) }

// cleanDay returns a day without faults: a read and two writes of the same bytes, one of them across both extents.
func cleanDay(t *testing.T) *Day {
	path := filepath.Join(t.TempDir(), "x.star")
	os.WriteFile(path, []byte(script), 0o644)
	cfg, err := settings.Load(path)
	if err != nil {
		t.Fatal(err)
	}
	d := &Day{Config: cfg, Hosts: []string{"h0", "h1"}, Nodes: make([]Node, 2), TipOver: 2, TipTime: time.Second, Grace: 20 * time.Millisecond}
	d.addRequest(block.Read, 4096, 4096, 0, 0, 50)
	d.addCommand(0, nvme.OpRead, 4096, 4096, 0, 10, 40)
	d.addRequest(block.Write, 1<<20-4096, 8192, 7, 100, 160)
	d.addCommand(0, nvme.OpWrite, 1<<20-4096, 4096, 7, 110, 130)
	d.addCommand(1, nvme.OpWrite, 0, 4096, 7, 110, 130)
	d.addRequest(block.Write, 1<<20-4096, 4096, 8, 105, 200)
	d.addCommand(0, nvme.OpWrite, 1<<20-4096, 4096, 8, 150, 170)
	return d
}

func (d *Day) addRequest(k block.Kind, off, n int64, token uint64, start, end int) *Request {
	r := &Request{Kind: k, Offset: off, Len: n, Token: token, Start: at(start), End: at(end), Answers: 1}
	d.Requests = append(d.Requests, r)
	return r
}

func (d *Day) addCommand(node int, op uint8, off, n int64, token uint64, received, executed int) *standin.Command {
	l := &d.Nodes[node].Commands
	*l = append(*l, standin.Command{Received: at(received), Executed: at(executed), Host: "h0", Opcode: op, Namespace: 1, Offset: off, Len: n, Token: token})
	return &(*l)[len(*l)-1]
}

// Each check reports violations of its own rule, and no check reports anything on a clean day.
func TestEachRuleCanBreak(t *testing.T) {
	for name, c := range map[string]struct {
		rule   int // the rule that the case breaks; 0 for none
		break_ func(d *Day)
	}{
		"clean":                  {0, func(*Day) {}},
		"no answer":              {1, func(d *Day) { d.Requests[0].Answers = 0 }},
		"client left":            {0, func(d *Day) { d.Requests[0].Answers, d.Requests[0].Abandoned = 0, true }},
		"two answers":            {1, func(d *Day) { d.Requests[1].Answers = 2 }},
		"late answer":            {1, func(d *Day) { d.Requests[0].End = at(1100) }},
		"late, gateway stopped":  {0, func(d *Day) { d.Requests[0].End = at(1100); d.Outages = []Outage{{0, at(300), at(900), false}} }},
		"sent after the answer":  {1, func(d *Day) { d.addCommand(0, nvme.OpRead, 4096, 4096, 0, 90, 95) }},
		"sent for nobody":        {1, func(d *Day) { d.addCommand(1, nvme.OpRead, 0, 512, 0, 90, 95) }},
		"keyed ran twice":        {2, func(d *Day) { d.addCommand(0, nvme.OpWrite, 1<<20-4096, 4096, 8, 171, 180) }},
		"keyed dropped":          {0, func(d *Day) { d.addCommand(0, nvme.OpWrite, 1<<20-4096, 4096, 8, 171, 180).Repeat = true }},
		"unsafe sent again":      {2, func(d *Day) { addUnsafeWrite(d); d.addCommand(1, nvme.OpWrite, 65536, 131072, 9, 350, 360) }},
		"unsafe once":            {0, addUnsafeWrite},
		"unsafe refused but ran": {2, func(d *Day) { addUnsafeWrite(d); d.Requests[3].Verdict = block.Refused }},
		"sent to a drained node": {3, func(d *Day) { d.Notices = []Notice{{0, 1, at(-450), at(5000)}} }},
		"sent within the grace":  {0, func(d *Day) { d.Notices = []Notice{{0, 1, at(-350), at(5000)}} }},
		"another was told":       {0, func(d *Day) { d.Notices = []Notice{{1, 1, at(-450), at(5000)}} }},
		"pushed over":            {4, func(d *Day) { d.Nodes[1].Fell = true }},
		"too much while cold":    {4, func(d *Day) { addColdReads(d, 250*time.Millisecond) }},
		"as much as it bears":    {0, func(d *Day) { addColdReads(d, 150*time.Millisecond) }},
		"overtaken":              {5, func(d *Day) { d.Nodes[0].Commands[1].Executed = at(155) }},
		"overtaken after the pause": {0, func(d *Day) {
			d.Nodes[0].Commands[1].Executed = at(600)
			d.Nodes[0].Commands[2].Received = at(420)
			d.Nodes[0].Commands[2].Executed = at(430)
			d.Requests[2].End = at(500)
		}},
		"over budget":      {6, func(d *Day) { addRetries(d, 3) }},
		"within budget":    {0, func(d *Day) { addRetries(d, 2) }},
		"over the limit":   {7, func(d *Day) { addReads(d, 8) }},
		"within the limit": {0, func(d *Day) { addReads(d, 3) }},
	} {
		t.Run(name, func(t *testing.T) {
			d := cleanDay(t)
			c.break_(d)
			found := Check(d)
			if c.rule == 0 && len(found) > 0 {
				t.Errorf("found %v", found)
			}
			if c.rule > 0 && (len(found) == 0 || found[0].Rule != c.rule) {
				t.Errorf("found %v, want rule %d", found, c.rule)
			}
		})
	}
}

func addUnsafeWrite(d *Day) {
	d.addRequest(block.Write, 1<<20+65536, 131072, 9, 300, 400)
	d.addCommand(1, nvme.OpWrite, 65536, 131072, 9, 310, 330)
}

func addColdReads(d *Day, work time.Duration) {
	for i := range 4 {
		d.addRequest(block.Read, int64(i)*8192, 512, 0, 600+i, 1000)
		c := d.addCommand(0, nvme.OpRead, int64(i)*8192, 512, 0, 605+100*i, 610+100*i)
		c.Cold, c.Capacity, c.Work = true, 0.4, work
	}
}

func addRetries(d *Day, n int) {
	d.addRequest(block.Read, 16384, 512, 0, 600, 900)
	for i := range n + 1 {
		d.addCommand(0, nvme.OpRead, 16384, 512, 0, 610+i, 800)
	}
}

func addReads(d *Day, n int) {
	for i := range n {
		d.addRequest(block.Read, int64(100+i)*512, 512, 0, 800, 900)
		d.addCommand(0, nvme.OpRead, int64(100+i)*512, 512, 0, 810+i, 850)
	}
}

// On a mirrored extent a change is sent to each copy, and each copy has its own order. A read that no client asked for
// and a write of the same bytes to the other copy bring that copy up to date. Any other command without a request is
// still reported.
func TestMirrored(t *testing.T) {
	day := func() *Day {
		d := cleanDay(t)
		x := &d.Config.Volumes[0].Extents[0]
		x.Copies = append(x.Copies, settings.Place{Cell: 1, Namespace: 9})
		d.Requests = d.Requests[:0]
		for i := range d.Nodes {
			d.Nodes[i].Commands = nil
		}
		d.addRequest(block.Write, 8192, 4096, 21, 0, 20)
		d.addRequest(block.Write, 8192, 4096, 22, 5, 60)
		d.addCommand(0, nvme.OpWrite, 8192, 4096, 21, 1, 10)
		d.addCommand(1, nvme.OpWrite, 8192, 4096, 21, 1, 50).Namespace = 9 // after its answer and the next at copy 0
		d.addCommand(0, nvme.OpWrite, 8192, 4096, 22, 11, 20)
		d.addCommand(1, nvme.OpWrite, 8192, 4096, 22, 51, 60).Namespace = 9
		return d
	}
	d := day()
	d.addRequest(block.Read, 8192, 4096, 0, 62, 70) // a client has read the same bytes before
	d.addCommand(0, nvme.OpRead, 8192, 4096, 0, 63, 69)
	d.addCommand(0, nvme.OpRead, 8192, 4096, 0, 100, 110)
	d.addCommand(1, nvme.OpWrite, 8192, 4096, 22, 120, 130).Namespace = 9
	if got := Check(d); len(got) > 0 || d.Moves != 2 {
		t.Errorf("%d moves, %v", d.Moves, got)
	}
	for name, bad := range map[string]func(d *Day){
		"order at one copy":      func(d *Day) { d.addCommand(1, nvme.OpWrite, 8192, 4096, 22, 30, 40).Namespace = 9 },
		"a read where none is":   func(d *Day) { d.addCommand(1, nvme.OpRead, 4096, 4096, 0, 10, 20) },
		"sent past its deadline": func(d *Day) { d.addCommand(0, nvme.OpWrite, 8192, 4096, 21, 1500, 1510) },
		"an effect a second time": func(d *Day) {
			d.addRequest(block.Write, 0, 128<<10, 30, 0, 90)
			d.addCommand(0, nvme.OpWrite, 0, 128<<10, 30, 1, 9)
			d.addCommand(0, nvme.OpWrite, 0, 128<<10, 30, 20, 30)
		},
	} {
		d := day()
		if bad(d); len(Check(d)) == 0 {
			t.Errorf("%s: not found", name)
		}
	}
}
