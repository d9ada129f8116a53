package settings

import (
	"fmt"
	"io/fs"
	"math"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"appleplank/copies"
	"appleplank/crossing"
	"appleplank/internal/block"
	"appleplank/internal/script"
	"appleplank/logic"

	"go.starlark.net/syntax"
	"golang.org/x/crypto/bcrypt"
)

// Load reads the script at path and all scripts that it loads. If they can be read but are invalid, the error is
// [script.Problems] and lists every problem, not only the first.
func Load(path string) (*Config, error) {
	dir, name := filepath.Split(path)
	if dir == "" {
		dir = "."
	}
	c, err := load(os.DirFS(dir), name)
	if c != nil {
		for i, f := range c.Files {
			c.Files[i] = filepath.Join(dir, f)
		}
		c.resolvePaths(dir)
	}
	return c, err
}

// resolvePaths resolves relative paths in the script against the script's folder.
func (c *Config) resolvePaths(dir string) {
	for i := range c.Volumes {
		if s := c.Volumes[i].Socket; s != "" && !filepath.IsAbs(s) {
			c.Volumes[i].Socket = filepath.Join(dir, s)
		}
	}
	for i := range c.Dav {
		for _, f := range []*string{&c.Dav[i].Cert, &c.Dav[i].Key} {
			if *f != "" && !filepath.IsAbs(*f) {
				*f = filepath.Join(dir, *f)
			}
		}
	}
	if c.State.Dir != "" && !filepath.IsAbs(c.State.Dir) {
		c.State.Dir = filepath.Join(dir, c.State.Dir)
	}
}

// loader fills a Config from the calls of a script.
type loader struct {
	*script.Loader
	config    Config
	classes   map[string]int
	plans     map[string]int
	volumePos []syntax.Position
	nodePos   []syntax.Position
	copiesPos syntax.Position // of copies(); Line is 0 if the script does not call it
}

func load(files fs.FS, name string) (*Config, error) {
	l := &loader{Loader: script.New(files), classes: map[string]int{}, plans: map[string]int{}}
	l.setDefaults()
	l.DefineOnce("gateway", l.gateway)
	l.DefineOnce("rules", l.rules)
	l.DefineOnce("directory", l.directory)
	l.DefineOnce("times", l.times)
	l.DefineOnce("bounds", l.bounds)
	l.DefineOnce("state", l.state)
	l.DefineOnce("crossing", l.crossing)
	l.DefineOnce("copies", l.copies)
	l.Define("user", l.user)
	l.Define("dav", l.dav)
	l.Define("class_", l.class)
	l.Define("plan", l.plan)
	l.Define("node", l.node)
	l.Define("volume", l.volume)
	if err := l.Run(name); err != nil {
		return nil, err
	}
	if l.checkConfig(name); len(l.Problems) > 0 {
		return nil, l.Problems
	}
	l.config.Files = l.Files
	return &l.config, nil
}

func (l *loader) setDefaults() {
	l.config.Name = "gateway"
	l.config.Logic.Hosts, l.config.Logic.DrawnAtNode = 1, true
	l.config.Times = Times{AnswerMargin: 20_000, Connect: 2_000_000, KeepAlive: 10_000_000, Drain: 10_000_000}
	l.config.Bounds = Bounds{Depth: 64, IOQueues: 2, Memory: 256 << 20, MaxClientMemory: 1 << 40, MaxRequestBytes: 4 << 20}
	l.config.Directory.Every = 5_000_000
}

func (l *loader) gateway(f *script.Form) {
	s := &l.config.Logic
	l.config.Name = f.Text("name", "gateway", true)
	s.Hosts = int(f.Int("hosts", 1, 1, 1<<20))
	s.Number = int(f.Int("number", 0, 0, 1<<20))
	s.Zone = readZone(f)
	s.MaxAttempts = int(f.Int("max_attempts", 4, 0, 1<<10))
	s.SecondCopies = f.Flag("second_copies", true)
	s.CoolDowns = f.Flag("cool_downs", true)
	s.MaxCoolDown = logic.Micros(f.Duration("max_cool_down", 5_000_000))
	s.UnitMean = f.Number("unit_mean", 0)
	s.UnitTop = f.Number("unit_top", 0)
	s.TellsElsewhere = f.Flag("tells_elsewhere", false)
	if s.Number >= s.Hosts {
		f.AddProblem("number", "%d is not below hosts, which is %d", s.Number, s.Hosts)
	}
}

// readZone returns the number of a zone, or -1 if none is given, since zero is a valid zone.
func readZone(f *script.Form) int {
	if _, ok := f.Lookup("zone", false); !ok {
		return -1
	}
	return int(f.Int("zone", 0, 0, 1<<20))
}

func (l *loader) rules(f *script.Form) {
	l.config.Logic.Rules = logic.Rules{
		AnswerSlack:   logic.Micros(f.Duration("answer_slack", 0)),
		StopSending:   logic.Micros(f.Duration("stop_sending", 0)),
		ColdFrom:      f.Number("cold_from", 0),
		ColdTime:      logic.Micros(f.Duration("cold_time", 0)),
		ColdUnits:     f.Number("cold_units", 0),
		OverloadTime:  logic.Micros(f.Duration("overload_time", 0)),
		TipMultiple:   f.Number("tip_multiple", 0),
		OrderPause:    logic.Micros(f.Duration("order_pause", 0)),
		BudgetWindow:  logic.Micros(f.Duration("budget_window", 0)),
		BudgetFree:    f.Number("budget_free", 0),
		BudgetPerTake: f.Number("budget_per_take", 0),
	}
}

func (l *loader) directory(f *script.Form) {
	l.config.Directory.Address = f.Text("address", "", true)
	l.config.Directory.Every = logic.Micros(f.Duration("every", int64(l.config.Directory.Every)))
}

func (l *loader) times(f *script.Form) {
	t := &l.config.Times
	t.AnswerMargin = logic.Micros(f.Duration("answer_margin", int64(t.AnswerMargin)))
	t.Connect = logic.Micros(f.Duration("connect", int64(t.Connect)))
	t.KeepAlive = logic.Micros(f.Duration("keep_alive", int64(t.KeepAlive)))
	t.Drain = logic.Micros(f.Duration("drain", int64(t.Drain)))
	if t.Connect <= 0 {
		f.AddProblem("connect", "must be above zero")
	}
}

func (l *loader) bounds(f *script.Form) {
	b := &l.config.Bounds
	b.Depth = int(f.Int("depth", int64(b.Depth), 2, 1024))
	b.IOQueues = int(f.Int("io_queues", int64(b.IOQueues), 1, 16))
	b.Digests = f.Flag("digests", false)
	b.Memory = f.Size("memory", b.Memory)
	b.MaxClientMemory = f.Size("client_memory", b.MaxClientMemory)
	b.MaxRequestBytes = f.Size("request", b.MaxRequestBytes)
	if b.MaxRequestBytes < 64<<10 || b.MaxRequestBytes > 64<<20 {
		f.AddProblem("request", "%d bytes is not between KiB(64) and MiB(64)", b.MaxRequestBytes)
	}
}

func (l *loader) state(f *script.Form) {
	l.config.State.Dir = f.Text("dir", "", true)
	if l.config.State.Every = logic.Micros(f.Duration("every", 1_000_000)); l.config.State.Every < 10_000 {
		f.AddProblem("every", "is under 10 ms")
	}
}

func (l *loader) crossing(f *script.Form) {
	c := &l.config.Crossing
	c.Rate, c.Burst = float64(f.Size("rate", script.Required)), float64(f.Size("burst", script.Required))
	c.Period, c.PerTime = logic.Micros(f.Duration("period", 0)), float64(f.Size("per_period", 0))
	c.HoldBack, c.Lost = f.Number("hold_back", 0.3), f.Number("lost", 0.5)
	c.Bend, c.BendFor = f.Number("bend", 1), logic.Micros(f.Duration("bend_for", 0))
	c.Hosts = 1
	if err := c.Check(); err != nil {
		f.AddProblem("", "%v", err)
	}
}

func (l *loader) copies(f *script.Form) {
	c := &l.config.Copies
	l.copiesPos = f.Pos
	find := func(name string, in map[string]int) int {
		ref := f.Text(name, "", true)
		i, ok := in[ref]
		if !ok && ref != "" {
			f.AddProblem(name, "no %s %q stands before this line", strings.TrimSuffix(name, "_"), ref)
		}
		return i
	}
	c.Class, c.Plan = find("class_", l.classes), find("plan", l.plans)
	c.Hold = int(f.Int("hold", 1, 1, copies.MaxCopies))
	c.Region = f.Size("region", 1<<20)
	c.Together = int(f.Int("together", 2, 1, 64))
	if c.Region < 64<<10 || c.Region&(c.Region-1) != 0 {
		f.AddProblem("region", "%d bytes is no power of two from KiB(64) up", c.Region)
		c.Region = 1 << 20
	}
}

func (l *loader) user(f *script.Form) {
	u := User{Name: f.Text("name", "", true), Hash: []byte(f.Text("hash", "", true))}
	if _, err := bcrypt.Cost(u.Hash); err != nil && len(u.Hash) > 0 {
		f.AddProblem("hash", "is no bcrypt hash: %v", err)
	}
	if strings.ContainsAny(u.Name, ":\x00") {
		f.AddProblem("name", "%q has a colon or a NUL in it", u.Name)
	}
	for _, o := range l.config.Users {
		if o.Name == u.Name {
			f.AddProblem("name", "%q stands twice", u.Name)
		}
	}
	l.config.Users = append(l.config.Users, u)
}

func (l *loader) dav(f *script.Form) {
	d := Dav{Listen: f.Text("listen", "", true), Cert: f.Text("cert", "", false), Key: f.Text("key", "", false)}
	d.Clients = int(f.Int("clients", 1024, 1, 1<<16))
	host, _, err := net.SplitHostPort(d.Listen)
	if err != nil && d.Listen != "" {
		f.AddProblem("listen", "%v", err)
	}
	if (d.Cert == "") != (d.Key == "") {
		f.AddProblem("cert", "cert and key go together")
	}
	if ip := net.ParseIP(host); d.Cert == "" && err == nil && host != "localhost" && (ip == nil || !ip.IsLoopback()) {
		f.AddProblem("listen", "%s is no loopback address, and without cert and key passwords would cross the network in the clear", d.Listen)
	}
	f.Each("trees", true, func(e *script.Form) {
		t := Tree{Path: e.Text("path", "", true), Volume: -1, Read: e.Texts("read"), Write: e.Texts("write")}
		name := e.Text("volume", "", true)
		for i, v := range l.config.Volumes {
			if v.Name == name {
				t.Volume = i
				if !v.Objects {
					e.AddProblem("volume", "%q is a disk; a tree needs objects = True", name)
				}
				if v.Attached != 1 {
					e.AddProblem("volume", "%q is shared by %v gateways, but a tree has one owner", name, v.Attached)
				}
			}
		}
		if t.Volume < 0 && name != "" {
			e.AddProblem("volume", "no volume %q stands before this line", name)
		}
		if !strings.HasPrefix(t.Path, "/") || len(t.Path) > 1 && strings.HasSuffix(t.Path, "/") || strings.Contains(t.Path, "//") {
			e.AddProblem("path", "%q does not begin with a slash, or ends with one", t.Path)
		}
		for _, names := range [][]string{t.Read, t.Write} {
			for _, n := range names {
				if !slices.ContainsFunc(l.config.Users, func(u User) bool { return u.Name == n }) {
					e.AddProblem("", "no user %q stands before this line", n)
				}
			}
		}
		for _, o := range d.Trees {
			if o.Path == t.Path {
				e.AddProblem("path", "%q stands twice", t.Path)
			}
		}
		for _, o := range l.config.Dav {
			for _, x := range o.Trees {
				if x.Volume == t.Volume {
					e.AddProblem("volume", "%q is a tree of %s already", name, o.Listen)
				}
			}
		}
		d.Trees = append(d.Trees, t)
	})
	l.config.Dav = append(l.config.Dav, d)
}

func (l *loader) class(f *script.Form) {
	name := f.Text("name", "", true)
	if _, exists := l.classes[name]; exists {
		f.AddProblem("name", "%q stands twice", name)
	}
	if name != "" {
		f.Name = fmt.Sprintf("class_(%q)", name)
	}
	c := logic.Class{
		Aim:          logic.Micros(f.Duration("aim", script.Required)),
		Deadline:     logic.Micros(f.Duration("deadline", script.Required)),
		Worth:        f.Number("worth", 1),
		LateShare:    f.Number("late_share", 0),
		Repeat:       logic.Repeat(f.Enum("repeat", 0, "safe", "keyed", "unsafe")),
		Group:        logic.Group(f.Enum("group", 0, "all", "zone", "cell")),
		RepeatWindow: logic.Micros(f.Duration("remembers", 0)),
		InOrder:      f.Flag("in_order", false),
		Writes:       f.Flag("writes", false),
	}
	if c.Aim > c.Deadline {
		f.AddProblem("aim", "is later than the deadline")
	}
	if c.Aim <= 0 {
		f.AddProblem("aim", "must be above zero")
	}
	if c.LateShare > 1 {
		f.AddProblem("late_share", "%v is over 1", c.LateShare)
	}
	if c.Repeat == logic.Dedup && c.RepeatWindow == 0 {
		f.AddProblem("remembers", "a keyed class needs the time for which nodes drop repeats")
	}
	l.config.Crossing.Classes = append(l.config.Crossing.Classes, crossing.Class{Worth: c.Worth, Bends: f.Flag("bends", false)})
	l.classes[name] = len(l.config.Classes)
	l.config.Classes = append(l.config.Classes, name)
	l.config.Logic.Classes = append(l.config.Logic.Classes, c)
}

func (l *loader) plan(f *script.Form) {
	name := f.Text("name", "", true)
	if _, exists := l.plans[name]; exists {
		f.AddProblem("name", "%q stands twice", name)
	}
	if name != "" {
		f.Name = fmt.Sprintf("plan(%q)", name)
	}
	p := logic.Plan{
		Rate: f.Number("rate", 0), Reserve: f.Number("reserve", 0), Weight: f.Number("weight", 1),
		Price: f.Number("price", 1), Limit: f.Number("limit", 0), LimitBurst: f.Number("limit_burst", 0),
		LimitSlack: f.Number("limit_slack", 0),
	}
	if p.Limit > 0 && p.LimitBurst+p.LimitSlack <= 0 {
		f.AddProblem("limit_burst", "a limit needs a burst or a slack, or nothing could ever be sent")
	}
	l.plans[name] = len(l.config.Plans)
	l.config.Plans = append(l.config.Plans, name)
	l.config.Logic.Plans = append(l.config.Logic.Plans, p)
}

func (l *loader) node(f *script.Form) {
	n := Node{
		ID:   logic.NodeID(f.Int("id", script.Required, 1, math.MaxUint32)),
		Zone: readZone(f), Cell: int(f.Int("cell", script.Required, 0, 1<<24)),
		Address: f.Text("address", "", false), NQN: f.Text("nqn", "", true), Rating: f.Number("rating", 1),
		Bytes: f.Size("capacity", 0),
	}
	f.Name = fmt.Sprintf("node(%d)", n.ID)
	if len(n.NQN) > 223 {
		f.AddProblem("nqn", "longer than 223 bytes")
	}
	for _, o := range l.config.Nodes {
		if o.ID == n.ID {
			f.AddProblem("id", "%d stands twice", n.ID)
		}
		if o.NQN == n.NQN && n.NQN != "" {
			f.AddProblem("nqn", "%q is node %d's already", n.NQN, o.ID)
		}
	}
	l.config.Nodes, l.nodePos = append(l.config.Nodes, n), append(l.nodePos, f.Pos)
}

func (l *loader) volume(f *script.Form) {
	v := Volume{ID: uint64(f.Int("id", script.Required, 0, math.MaxInt64)), Name: f.Text("name", "", true)}
	if v.Name != "" {
		f.Name = fmt.Sprintf("volume(%q)", v.Name)
	}
	plan := f.Text("plan", "", true)
	if i, ok := l.plans[plan]; ok {
		v.Plan = i
	} else if plan != "" {
		f.AddProblem("plan", "no plan %q stands before this line", plan)
	}
	v.Attached = f.Number("gateways", 1)
	v.Account = v.ID
	if name := f.Text("account", v.Name, false); name != v.Name {
		i := slices.IndexFunc(l.config.Volumes, func(o Volume) bool { return o.Name == name })
		switch {
		case i < 0:
			f.AddProblem("account", "no volume %q stands before this line", name)
		case l.config.Volumes[i].Plan != v.Plan || l.config.Volumes[i].Attached != v.Attached:
			f.AddProblem("account", "volume %q is on another plan, or comes through another number of gateways", name)
		default:
			v.Account = l.config.Volumes[i].Account
		}
	}
	v.Socket = f.Text("socket", "", false)
	v.BlockSize = uint32(f.Size("block", block.Sector))
	if v.BlockSize < block.Sector || v.BlockSize > 64<<10 || v.BlockSize&(v.BlockSize-1) != 0 {
		f.AddProblem("block", "%d bytes is no power of two from 512 to 65536", v.BlockSize)
		v.BlockSize = block.Sector
	}
	v.Queues = int(f.Int("queues", 4, 1, 64))
	v.ReadOnly = f.Flag("read_only", false)
	if v.Objects = f.Flag("objects", false); v.Objects && v.Socket != "" {
		f.AddProblem("socket", "a volume of objects is no disk")
	}
	v.Serial = f.Text("serial", v.Name, false)
	if len(v.Serial) > 20 {
		f.AddProblem("serial", "longer than 20 bytes")
	}
	v.Memory = f.Size("memory", 0)
	v.UnitBytes = f.Size("unit", 64<<10)
	v.MinUnits = f.Number("unit_least", 1)
	if v.UnitBytes == 0 {
		f.AddProblem("unit", "must be above zero")
		v.UnitBytes = 1
	}
	f.Each("extents", true, func(e *script.Form) {
		x := Extent{Start: e.Size("start", v.Size), Len: e.Size("size", script.Required)}
		place := func(e *script.Form) {
			p := Place{Cell: int(e.Int("cell", script.Required, 0, 1<<24)), Namespace: uint32(e.Int("namespace", script.Required, 1, math.MaxUint32-2)),
				Base: e.Size("base", 0)}
			if bs := int64(v.BlockSize); x.Start%bs != 0 || x.Len%bs != 0 || p.Base%bs != 0 {
				e.AddProblem("", "does not begin and end on a block of %d bytes", bs)
			}
			for _, o := range x.Copies {
				if o.Cell == p.Cell {
					e.AddProblem("cell", "%d holds a copy already", p.Cell)
				}
			}
			x.Copies = append(x.Copies, p)
		}
		place(e)
		e.Each("mirrors", false, place)
		x.Place = x.Copies[0]
		if x.Len == 0 {
			e.AddProblem("size", "is zero")
		}
		if len(x.Copies) > copies.MaxCopies {
			e.AddProblem("mirrors", "%d copies, at most %d can be", len(x.Copies), copies.MaxCopies)
		}
		for i, o := range v.Extents {
			if x.Start < o.Start+o.Len && o.Start < x.Start+x.Len {
				e.AddProblem("", "overlaps extents[%d]", i)
			}
		}
		v.Extents = append(v.Extents, x)
		v.Size = max(v.Size, x.Start+x.Len)
	})
	f.Each("table", true, func(r *script.Form) {
		k, ok := block.ParseKind(r.Text("kind", "", true))
		if !ok {
			r.AddProblem("kind", "is none of read, write, flush, discard, write_zeroes")
		}
		row := Row{Kind: k, UpTo: r.Size("up_to", 0)}
		class := r.Text("class_", "", true)
		if row.Class, ok = l.classes[class]; !ok && class != "" {
			r.AddProblem("class_", "no class %q stands before this line", class)
		}
		v.Rows = append(v.Rows, row)
	})
	for _, o := range l.config.Volumes {
		if o.ID == v.ID {
			f.AddProblem("id", "%d is volume %q's already", v.ID, o.Name)
		}
		if o.Name == v.Name {
			f.AddProblem("name", "%q stands twice", v.Name)
		}
		if o.Socket == v.Socket && v.Socket != "" {
			f.AddProblem("socket", "%q is volume %q's already", v.Socket, o.Name)
		}
	}
	l.config.Volumes, l.volumePos = append(l.config.Volumes, v), append(l.volumePos, f.Pos)
}

// checkConfig validates what depends on several calls and can be checked only after the whole script has run.
func (l *loader) checkConfig(name string) {
	top := syntax.MakePosition(&name, 1, 1)
	addProblem := func(pos syntax.Position, field, format string, a ...any) {
		l.Problems = append(l.Problems, script.Problem{Pos: pos, Field: field, Text: fmt.Sprintf(format, a...)})
	}
	c := &l.config
	for _, need := range []struct {
		what string
		n    int
	}{{"class_", len(c.Classes)}, {"plan", len(c.Plans)}, {"volume", len(c.Volumes)}, {"node", len(c.Nodes)}} {
		if need.n == 0 {
			addProblem(top, need.what, "none is given")
		}
	}
	cells := map[int]bool{}
	for i, n := range c.Nodes {
		cells[n.Cell] = true
		if n.Address == "" && c.Directory.Address == "" {
			addProblem(l.nodePos[i], fmt.Sprintf("node(%d).address", n.ID), "is missing, and no directory is given")
		}
	}
	type byteRange struct {
		volume   string
		from, to int64
	}
	usedRanges := map[[2]int64][]byteRange{}
	served := 0
	for i := range c.Volumes {
		v, pos := &c.Volumes[i], l.volumePos[i]
		if v.Socket != "" || v.Objects {
			served++
		}
		at := fmt.Sprintf("volume(%q)", v.Name)
		if v.Attached < 1 || v.Attached > float64(c.Logic.Hosts) {
			addProblem(pos, at+".gateways", "%v is not between 1 and the %d gateways", v.Attached, c.Logic.Hosts)
		}
		slices.SortFunc(v.Extents, func(a, b Extent) int { return int(min(max(a.Start-b.Start, -1), 1)) })
		end := int64(0)
		for j, x := range v.Extents {
			where := fmt.Sprintf("%s.extents[%d]", at, j)
			if x.Start != end {
				addProblem(pos, where, "begins at %d and leaves a hole from %d", x.Start, end)
			}
			end = x.Start + x.Len
			for _, p := range x.Copies {
				if !cells[p.Cell] {
					addProblem(pos, where, "no node holds cell %d", p.Cell)
				}
				key := [2]int64{int64(p.Cell), int64(p.Namespace)}
				for _, o := range usedRanges[key] {
					if p.Base < o.to && o.from < p.Base+x.Len {
						addProblem(pos, where, "lies on bytes of namespace %d at cell %d that are volume %q's", p.Namespace, p.Cell, o.volume)
					}
				}
				usedRanges[key] = append(usedRanges[key], byteRange{v.Name, p.Base, p.Base + x.Len})
			}
		}
		for k := block.Read; k < block.KindCount; k++ {
			if _, ok := v.Class(k, math.MaxInt64); !ok && (!v.ReadOnly || k == block.Read || k == block.Flush) {
				addProblem(pos, at+".table", "no row takes a %s of any size", k)
			}
		}
		for j, r := range v.Rows {
			cl := &c.Logic.Classes[r.Class]
			if r.Kind.Changes() && !cl.InOrder {
				addProblem(pos, fmt.Sprintf("%s.table[%d]", at, j),
					"class %q is not in_order, but a %s must not overtake another of the same blocks", c.Classes[r.Class], r.Kind)
			}
			if r.Kind.Changes() && !cl.Writes {
				addProblem(pos, fmt.Sprintf("%s.table[%d]", at, j), "class %q lacks writes = True", c.Classes[r.Class])
			}
		}
	}
	for i := range c.Volumes {
		v := &c.Volumes[i]
		if v.Memory == 0 && served > 0 {
			v.Memory = max(c.Bounds.Memory/int64(served), 2*c.Bounds.MaxRequestBytes)
		} else if v.Memory > 0 && v.Memory < 2*c.Bounds.MaxRequestBytes {
			addProblem(l.volumePos[i], fmt.Sprintf("volume(%q).memory", v.Name),
				"holds less than two of the largest requests (%d bytes each)", c.Bounds.MaxRequestBytes)
		}
	}
	for i, cl := range c.Logic.Classes {
		if cl.Deadline <= c.Times.AnswerMargin {
			addProblem(top, fmt.Sprintf("class_(%q).deadline", c.Classes[i]), "is not above answer_margin")
		}
	}
	c.Crossing.Hosts = c.Logic.Hosts
	l.checkMirrors(addProblem)
	if len(c.Dav) > 0 && c.State.Dir == "" {
		addProblem(top, "dav", "needs state(dir = …): the catalogue of the files lies there")
	}
	if len(l.Problems) == 0 {
		if _, err := logic.New(c.Logic, 1); err != nil {
			addProblem(top, "", "%v", err)
		}
	}
}

// checkMirrors validates what volumes with mirrored extents require.
func (l *loader) checkMirrors(addProblem func(pos syntax.Position, field, format string, a ...any)) {
	c := &l.config
	anyMirrored := false
	for i := range c.Volumes {
		v, pos := &c.Volumes[i], l.volumePos[i]
		if !v.Mirrored() {
			continue
		}
		anyMirrored = true
		if v.Objects {
			addProblem(pos, fmt.Sprintf("volume(%q)", v.Name), "space for objects cannot be mirrored")
		}
		at := fmt.Sprintf("volume(%q)", v.Name)
		// Only the gateway that sent a change knows which copies missed it.
		if v.Attached != 1 {
			addProblem(pos, at+".gateways", "%v gateways, but a mirrored volume is served by one", v.Attached)
		}
		for j, x := range v.Extents {
			if n := len(x.Copies); n > 1 && l.copiesPos.Line > 0 {
				copySettings := copies.Settings{Copies: n, Hold: c.Copies.Hold, Region: c.Copies.Region, Size: x.Len}
				if err := copySettings.Check(); err != nil {
					addProblem(pos, fmt.Sprintf("%s.extents[%d]", at, j), "%v", err)
				} else if x.Len/c.Copies.Region > maxRegions {
					addProblem(pos, fmt.Sprintf("%s.extents[%d]", at, j), "%d regions of %d bytes are over %d; copies(region = …) can be larger",
						x.Len/c.Copies.Region, c.Copies.Region, maxRegions)
				}
			}
		}
	}
	pos := l.copiesPos
	switch {
	case pos.Line == 0 && anyMirrored:
		addProblem(l.volumePos[0], "copies", "is missing, and a volume has mirrors")
		return
	case pos.Line == 0 || len(c.Classes) == 0 || len(c.Plans) == 0:
		return
	}
	if anyMirrored && c.State.Dir == "" {
		addProblem(pos, "copies()", "needs state(dir = …): what a copy has missed must outlast a restart")
	}
	if c.Copies.Region > c.Bounds.MaxRequestBytes {
		addProblem(pos, "copies.region", "%d bytes is more than one request may have (%d)", c.Copies.Region, c.Bounds.MaxRequestBytes)
	}
	cl := &c.Logic.Classes[c.Copies.Class]
	if !cl.InOrder || !cl.Writes || cl.Repeat != logic.Retryable {
		addProblem(pos, "copies.class_", "class %q is not in_order = True, writes = True, repeat = \"safe\"", c.Classes[c.Copies.Class])
	}
	// With a late share of 0, package logic gives up at once on a request that it expects to miss the aim. No request
	// would then be sent from which it could learn otherwise, so it would give up on all of them forever.
	if cl.LateShare <= 0 {
		addProblem(pos, "copies.class_", "class %q has no late_share, but a copy that is caught up late is caught up", c.Classes[c.Copies.Class])
	}
	for i, o := range c.Logic.Classes {
		if o.Worth < cl.Worth {
			addProblem(pos, "copies.class_", "class %q is worth more than class %q, but catching up is worth least", c.Classes[c.Copies.Class], c.Classes[i])
		}
	}
	if p := &c.Logic.Plans[c.Copies.Plan]; p.Reserve > 0 {
		addProblem(pos, "copies.plan", "plan %q has a reserve, but catching up takes only what room is left", c.Plans[c.Copies.Plan])
	}
}

// maxRegions limits the regions for which marks are kept in one extent.
const maxRegions = 1 << 22
