package demo

import (
	"bytes"
	"cmp"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"text/tabwriter"
	"time"

	"appleplank/internal/audit"
	"appleplank/internal/day"
	"appleplank/internal/fleet"
	"appleplank/internal/report"
	"appleplank/internal/settings"
	"appleplank/internal/standin"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// ClassResult is how a class was served.
type ClassResult struct {
	Name             string
	Wanted           int
	InTime, Late     int
	Worth, Due       float64
	P50, P99, Answer time.Duration // of what was served, and the longest time to any answer
}

// Result is how a day went.
type Result struct {
	Day      string
	Classes  []ClassResult
	Asked    uint64
	Served   uint64
	Refused  uint64
	Failed   uint64
	Left     uint64
	Commands int
	Moves    int  // commands that caught copies up
	Mirrored bool // the day has mirrored volumes
	Findings []audit.Finding
}

// Service is worth answered in time over worth due.
func (r *Result) Service() float64 {
	worth, due := 0.0, 0.0
	for _, c := range r.Classes {
		worth, due = worth+c.Worth, due+c.Due
	}
	return worth / max(due, 1e-9)
}

// player plays one day.
type player struct {
	*stage
	o        *Options
	d        *day.Day
	cfg      *settings.Config
	book     *book
	programs []*program
	mu       sync.Mutex
	times    float64 // all load
	surge    map[string]float64
	listed   map[int]bool
	eager    atomic.Bool
	away     []audit.Outage
	now      []string // troubles at the moment
	began    time.Time
	errs     []error
}

// Play runs a day and judges it.
func Play(o Options, d *day.Day) (*Result, error) {
	s, err := raise(&o, true, d.Zoned())
	if err != nil {
		return nil, err
	}
	cfg, err := settings.Load(s.Settings[0])
	if err != nil {
		s.lower()
		return nil, err
	}
	p := &player{stage: s, o: &o, d: d, cfg: cfg, book: &book{}, times: 1, surge: map[string]float64{}, listed: map[int]bool{}}
	for i := range s.Nodes {
		p.listed[i] = true
	}
	p.hire()
	over := make(chan struct{})
	var wg sync.WaitGroup
	p.began = time.Now()
	for _, g := range p.programs {
		g.over = over
		wg.Add(1)
		go func() { defer wg.Done(); g.run() }()
	}
	p.play()
	close(over)
	wg.Wait()
	limit := time.Now().Add(6 * time.Second)
	for _, g := range p.programs {
		g.settle(limit)
	}
	end := time.Now()
	for _, g := range p.programs {
		g.mu.Lock()
		c := g.client
		g.mu.Unlock()
		if c != nil { // what is out now was never answered, and Left stays false
			c.Vanish()
			p.book.strange += c.Strange()
		}
	}
	alike := p.alike()
	if err := s.lower(); err != nil {
		p.errs = append(p.errs, err)
	}
	if len(p.errs) > 0 {
		return nil, p.errs[0]
	}
	r := p.judge(end)
	r.Mirrored = d.Zoned()
	r.Findings = append(r.Findings, alike...)
	return r, nil
}

// alike waits until the gateways have caught all copies up, and compares what the nodes hold.
func (p *player) alike() (out []audit.Finding) {
	if !p.d.Zoned() {
		return nil
	}
	fail := func(format string, a ...any) {
		out = append(out, audit.Finding{Rule: audit.Copies, At: time.Now(), Text: fmt.Sprintf(format, a...)})
	}
	if err := fleet.Eventually(20*time.Second, func() bool {
		for _, path := range p.Settings {
			cfg, err := settings.Load(path)
			if err != nil || report.Copies(io.Discard, cfg) != nil {
				return false
			}
		}
		return true
	}); err != nil {
		fail("copies are not caught up after 20 s of quiet")
		return out
	}
	time.Sleep(500 * time.Millisecond) // the state may be a little older than a last change
	for i, v := range p.Shape.Volumes {
		if len(v.Mirrors) == 0 {
			continue
		}
		a, b := make([]byte, 4096), make([]byte, 4096)
		for at := int64(0); at < v.Size() && len(out) < 3; at += 4096 {
			places := p.Copies(i, at)
			p.Nodes[places[0].Node].Read(places[0].Namespace, places[0].Offset, a)
			for _, x := range places[1:] {
				if p.Nodes[x.Node].Read(x.Namespace, x.Offset, b); !bytes.Equal(a, b) {
					fail("volume %s, byte %d: node %d and node %d hold different data", v.Name, at, places[0].Node, x.Node)
				}
			}
		}
	}
	return out
}

// hire makes the programs: a volume's load is split over its gateways unevenly, and so is the volume.
func (p *player) hire() {
	for i, v := range p.Shape.Volumes {
		for j, g := range v.Gateways {
			part := 1.0
			if len(v.Gateways) == 2 {
				part = [2]float64{0.7, 0.3}[j]
			}
			size := v.Size() / int64(len(v.Gateways))
			p.programs = append(p.programs, &program{
				s: p.stage, cfg: p.cfg, book: p.book, volume: i, gateway: g, from: int64(j) * size, size: size, eager: &p.eager,
				rng: rand.New(rand.NewPCG(p.o.Seed, uint64(i*16+g))), out: map[*audit.Request]bool{}, busy: map[int64]int{},
				rate: func() float64 {
					p.mu.Lock()
					defer p.mu.Unlock()
					return p.d.Rate / float64(len(p.Shape.Volumes)) * part * p.times * cmp.Or(p.surge[v.Plan], 1)
				},
			})
		}
	}
}

// play carries the day's events out at their times, with a line on how it goes.
func (p *player) play() {
	type step struct {
		at time.Duration
		do func()
	}
	var steps []step
	for _, e := range p.d.Events {
		begin, end := p.trouble(e)
		steps = append(steps, step{e.At, func() { p.note(e, true); begin() }})
		if end != nil {
			steps = append(steps, step{e.At + e.For, func() { end(); p.note(e, false) }})
		} else {
			steps = append(steps, step{e.At + max(e.For, time.Second), func() { p.note(e, false) }})
		}
	}
	slices.SortStableFunc(steps, func(a, b step) int { return cmp.Compare(a.at, b.at) })
	tick := time.NewTicker(200 * time.Millisecond)
	defer tick.Stop()
	var wg sync.WaitGroup
	for shown := time.Duration(0); ; {
		at := time.Since(p.began)
		for len(steps) > 0 && steps[0].at <= at {
			wg.Add(1)
			go func(do func()) { defer wg.Done(); do() }(steps[0].do) // a crash waits for its node's workers
			steps = steps[1:]
		}
		if at >= p.d.Length {
			break
		}
		if every := 5 * time.Second; p.o.Live || at-shown >= every {
			p.line(at)
			shown = at
		}
		next := p.d.Length - at
		if len(steps) > 0 {
			next = min(next, steps[0].at-at)
		}
		select {
		case <-tick.C:
		case <-time.After(next):
		}
	}
	wg.Wait()
	p.line(p.d.Length)
	if p.o.Live {
		fmt.Fprintln(p.o.Out)
	}
}

func (p *player) line(at time.Duration) {
	p.mu.Lock()
	now := strings.Join(p.now, "; ")
	p.mu.Unlock()
	c := &p.book.counts
	s := fmt.Sprintf("%5.1f s  asked %d, served %d, refused %d, failed %d, left %d  %s", at.Seconds(), p.book.asked.Load(), c[0].Load(),
		c[1].Load(), c[2].Load(), c[3].Load(), now)
	if p.o.Live {
		fmt.Fprintf(p.o.Out, "\r\x1b[K%.110s", s)
	} else {
		fmt.Fprintln(p.o.Out, s)
	}
}

func (p *player) note(e day.Event, on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if on {
		p.now = append(p.now, e.String())
	} else if i := slices.Index(p.now, e.String()); i >= 0 {
		p.now = slices.Delete(p.now, i, i+1)
	}
}

// list tells the directory which nodes are there.
func (p *player) list(node int, on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listed[node] = on
	p.List(func(i int) bool { return p.listed[i] })
}

// trouble gives what begins and what ends an event.
func (p *player) trouble(e day.Event) (begin, end func()) {
	set := func(on, off func(t *standin.Trouble)) (func(), func()) {
		all := func(change func(t *standin.Trouble)) func() {
			return func() {
				for _, i := range e.Nodes {
					p.Nodes[i].Set(change)
				}
			}
		}
		return all(on), all(off)
	}
	each := func(f func(i int)) func() {
		return func() {
			for _, i := range e.Nodes {
				f(i)
			}
		}
	}
	load := func(change func()) func() {
		return func() { p.mu.Lock(); defer p.mu.Unlock(); change() }
	}
	switch e.Kind {
	case day.Burst:
		return load(func() { p.times *= e.Factor }), load(func() { p.times /= e.Factor })
	case day.Surge:
		return load(func() { p.surge[e.Plan] = e.Factor }), load(func() { delete(p.surge, e.Plan) })
	case day.Slow:
		return set(func(t *standin.Trouble) { t.Slow = e.Factor }, func(t *standin.Trouble) { t.Slow = 0 })
	case day.Hang:
		return set(func(t *standin.Trouble) { t.Hang = true }, func(t *standin.Trouble) { t.Hang = false })
	case day.Lose:
		return set(func(t *standin.Trouble) { t.Lose = e.Share }, func(t *standin.Trouble) { t.Lose = 0 })
	case day.Twice:
		return set(func(t *standin.Trouble) { t.Twice = e.Share }, func(t *standin.Trouble) { t.Twice = 0 })
	case day.WrongID:
		return set(func(t *standin.Trouble) { t.Wrong = e.Share }, func(t *standin.Trouble) { t.Wrong = 0 })
	case day.Fail:
		return set(func(t *standin.Trouble) { t.Fail = e.Share }, func(t *standin.Trouble) { t.Fail = 0 })
	case day.Full:
		return set(func(t *standin.Trouble) { t.Full = true }, func(t *standin.Trouble) { t.Full = false })
	case day.LateReports:
		return set(func(t *standin.Trouble) { t.Late = e.By }, func(t *standin.Trouble) { t.Late = 0 })
	case day.Deaf:
		return set(func(t *standin.Trouble) { t.Deaf = true }, func(t *standin.Trouble) { t.Deaf = false })
	case day.Drip:
		return set(func(t *standin.Trouble) { t.Drip = e.Bytes }, func(t *standin.Trouble) { t.Drip = 0 })
	case day.Reset:
		return each(func(i int) { p.Nodes[i].Reset() }), nil
	case day.Crash:
		return each(func(i int) { p.Nodes[i].Crash(); p.list(i, false) }), each(func(i int) {
			if err := p.Nodes[i].Up(false); err != nil {
				p.fault(err)
			}
			p.list(i, true)
		})
	case day.Drain:
		return each(func(i int) { p.Nodes[i].Drain(true) }), each(func(i int) { p.Nodes[i].Drain(false) })
	case day.StaleList:
		late := func(by time.Duration) func() {
			return func() {
				for _, d := range p.Directories {
					d.Late(by)
				}
			}
		}
		return late(e.By), late(0)
	case day.RepeatList:
		return func() {
			for _, d := range p.Directories {
				d.Repeat()
			}
		}, nil
	case day.Link:
		l := p.Link(e.Zones[0], e.Zones[1])
		return func() {
				l.Set(func(s *standin.LinkState) { s.Delay, s.Jitter, s.Loss, s.Bandwidth = e.By, e.Jitter, e.Share, e.Bytes })
			}, func() {
				l.Set(func(s *standin.LinkState) { s.Delay, s.Jitter, s.Loss, s.Bandwidth = 0, 0, 0, 0 })
			}
	case day.Cut:
		l, stop := p.Link(e.Zones[0], e.Zones[1]), make(chan struct{})
		cut := func(on bool) {
			l.Set(func(s *standin.LinkState) { s.CutThere, s.CutBack = on && e.There, on && e.Back })
		}
		return func() {
			for on := true; ; on = !on {
				cut(on)
				if e.By == 0 {
					return
				}
				select {
				case <-stop:
					cut(false)
					return
				case <-time.After(e.By):
				}
			}
		}, func() { close(stop); cut(false) }
	case day.Flap:
		stop := make(chan struct{})
		return func() {
			for on := false; ; on = !on {
				each(func(i int) { p.list(i, on) })()
				select {
				case <-stop:
					each(func(i int) { p.list(i, true) })()
					return
				case <-time.After(e.By):
				}
			}
		}, func() { close(stop) }
	case day.Eager:
		return func() { p.eager.Store(true) }, func() { p.eager.Store(false) }
	case day.Vanish:
		return func() {
			order := rand.New(rand.NewPCG(p.o.Seed, uint64(e.At))).Perm(len(p.programs))
			for _, i := range order[:min(e.Clients, len(order))] {
				p.programs[i].vanish()
			}
		}, nil
	case day.Stop:
		var from time.Time
		return func() { from = time.Now(); p.procs[e.Gateway].signal(syscall.SIGSTOP, false) }, func() {
			p.procs[e.Gateway].signal(syscall.SIGCONT, false)
			p.gone(audit.Outage{Gateway: e.Gateway, From: from, To: time.Now().Add(200 * time.Millisecond)})
		}
	case day.Takeover:
		return func() {
			if err := p.procs[e.Gateway].takeOver(); err != nil {
				p.fault(err)
			}
		}, nil
	case day.Kill:
		var from time.Time
		return func() { from = time.Now(); p.procs[e.Gateway].signal(syscall.SIGKILL, true) }, func() {
			if err := p.procs[e.Gateway].up(false); err != nil {
				p.fault(err)
			}
			// It is back once it lets clients in; what they put on their rings before that nobody has taken.
			p.gone(audit.Outage{Gateway: e.Gateway, From: from, To: p.reachable(e.Gateway).Add(200 * time.Millisecond), Killed: true})
		}
	}
	return func() {}, nil
}

// reachable waits until a gateway takes connections.
func (p *player) reachable(gateway int) time.Time {
	for _, g := range p.programs {
		if g.gateway == gateway {
			path := p.Socket(gateway, p.Shape.Volumes[g.volume].Name)
			if err := fleet.Eventually(10*time.Second, func() bool {
				c, err := standin.Dial(path, standin.ClientConfig{Depth: 1, MostData: 4096})
				if err == nil {
					c.Vanish()
				}
				return err == nil
			}); err != nil {
				p.fault(fmt.Errorf("gateway %d does not come back: %w", gateway, err))
			}
			break
		}
	}
	return time.Now()
}

func (p *player) fault(err error) { p.mu.Lock(); defer p.mu.Unlock(); p.errs = append(p.errs, err) }

func (p *player) gone(a audit.Outage) { p.mu.Lock(); defer p.mu.Unlock(); p.away = append(p.away, a) }

// judge makes the report.
func (p *player) judge(end time.Time) *Result {
	c := &p.book.counts
	r := &Result{Day: p.d.Name, Asked: p.book.asked.Load(), Served: c[0].Load(), Refused: c[1].Load(), Failed: c[2].Load(), Left: c[3].Load()}
	a := audit.Day{Config: p.cfg, Requests: p.book.requests, Outages: p.away, TipOver: tipOver, TipTime: tipTime, Grace: 250 * time.Millisecond}
	for g := range gateways {
		a.Hosts = append(a.Hosts, fmt.Sprintf("nqn.2026-12.example.appleplank:gw%d", g))
	}
	var tellings []standin.Telling
	for _, d := range p.Directories {
		tellings = append(tellings, d.Tellings()...)
	}
	listed := len(tellings)
	for _, n := range p.Nodes {
		a.Nodes = append(a.Nodes, audit.Node{Commands: n.Records(), Fell: n.Fell()})
		r.Commands += len(n.Records())
		tellings = append(tellings, n.Tellings()...)
	}
	for _, e := range p.d.Events {
		if e.Kind != day.Link && e.Kind != day.Cut {
			continue
		}
		for g, z := range gatewayZones {
			if z != e.Zones[0] {
				continue
			}
			poor := audit.PoorLink{Gateway: g, From: p.began.Add(e.At), To: p.began.Add(e.At + e.For + time.Second)}
			for n, z := range nodeZones {
				if z == e.Zones[1] {
					poor.Nodes = append(poor.Nodes, n)
				}
			}
			a.PoorLinks = append(a.PoorLinks, poor)
		}
	}
	a.Notices = p.told(tellings, listed, end)
	r.Findings = audit.Check(&a)
	r.Moves = a.Moves
	if n := p.book.strange; n > 0 {
		r.Findings = append(r.Findings, audit.Finding{Rule: 1, At: end, Text: fmt.Sprintf("%d answers on rings belong to no request", n)})
	}
	hists := make([]*hdrhistogram.Histogram, len(p.cfg.Classes))
	for i, name := range p.cfg.Classes {
		hists[i] = hdrhistogram.New(1, 60_000_000, 3)
		r.Classes = append(r.Classes, ClassResult{Name: name})
	}
	for _, w := range p.book.wants {
		cl, x := &p.cfg.Logic.Classes[w.class], &r.Classes[w.class]
		x.Wanted++
		x.Due += cl.Worth
		if !w.over {
			continue
		}
		took := w.end.Sub(w.start)
		x.Answer = max(x.Answer, took)
		if !w.served {
			continue
		}
		hists[w.class].RecordValue(took.Microseconds())
		if took <= time.Duration(cl.Aim)*time.Microsecond {
			x.InTime++
			x.Worth += cl.Worth
		} else {
			x.Late++
			x.Worth += cl.Worth * cl.LateShare
		}
	}
	for i := range r.Classes {
		r.Classes[i].P50 = time.Duration(hists[i].ValueAtQuantile(50)) * time.Microsecond
		r.Classes[i].P99 = time.Duration(hists[i].ValueAtQuantile(99)) * time.Microsecond
	}
	return r
}

// told joins what each source has told each gateway of each node to the times in which it was told to stay away. Told
// ready by one source does not undo what the other has told.
func (p *player) told(tellings []standin.Telling, listed int, end time.Time) (out []audit.Notice) {
	type key struct {
		host, nqn string
		directory bool
	}
	by := map[key][]standin.Telling{}
	for i, t := range tellings {
		k := key{t.Host, t.NQN, i < listed}
		by[k] = append(by[k], t)
	}
	for k, l := range by {
		node := slices.IndexFunc(p.Nodes, func(n *standin.Node) bool { return n.NQN() == k.nqn })
		var g int
		if _, err := fmt.Sscanf(k.host[strings.LastIndexByte(k.host, ':')+1:], "gw%d", &g); err != nil || node < 0 {
			continue
		}
		slices.SortStableFunc(l, func(a, b standin.Telling) int { return a.At.Compare(b.At) })
		for i := 0; i < len(l); i++ {
			if l[i].Ready {
				continue
			}
			t := audit.Notice{Gateway: g, Node: node, At: l[i].At, Until: end}
			for i++; i < len(l); i++ {
				if l[i].Ready {
					t.Until = l[i].At
					break
				}
			}
			out = append(out, t)
		}
	}
	return out
}

// Report writes a result for a person.
func (r *Result) Report(w io.Writer) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(t, "class\twanted\tin time\tlate\tworth in time over due\tp50\tp99\tlongest answer\t\n")
	for _, c := range r.Classes {
		if c.Wanted > 0 {
			fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%.3f\t%v\t%v\t%v\t\n", c.Name, c.Wanted, c.InTime, c.Late, c.Worth/max(c.Due, 1e-9),
				c.P50.Round(100*time.Microsecond), c.P99.Round(100*time.Microsecond), c.Answer.Round(time.Millisecond))
		}
	}
	t.Flush()
	fmt.Fprintf(w, "%s: %d requests on the rings: %d served, %d refused, %d failed, %d whose client or gateway left; %d commands at the nodes\n",
		r.Day, r.Asked, r.Served, r.Refused, r.Failed, r.Left, r.Commands)
	fmt.Fprintf(w, "service: %.3f of the worth due\n", r.Service())
	broken := map[int]int{}
	for _, f := range r.Findings {
		if broken[f.Rule]++; broken[f.Rule] <= 3 {
			fmt.Fprintf(w, "BROKEN %v\n", f)
		}
	}
	last := 7
	if r.Mirrored {
		last = audit.Copies
		fmt.Fprintf(w, "%d commands caught copies up\n", r.Moves)
	}
	for rule := 1; rule <= last; rule++ {
		verdict := "kept"
		if n := broken[rule]; n > 0 {
			verdict = fmt.Sprintf("BROKEN %d times", n)
		}
		fmt.Fprintf(w, "rule %d, %s: %s\n", rule, audit.Names[rule], verdict)
	}
}
