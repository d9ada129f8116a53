package settings

import (
	"errors"
	"fmt"
	"io/fs"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"appleplank/internal/block"
	"appleplank/logic"

	"go.starlark.net/starlark"
	"go.starlark.net/syntax"
)

const (
	mostSteps = 2_000_000 // Starlark computation steps of all files together
	mostFile  = 4 << 20   // bytes of one file
	mostFiles = 64
)

// Load reads the script at path with all that it loads. The error is [Problems] where the script could be
// read but is wrong; then it names everything that is wrong, not only the first.
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
		c.rebase(dir)
	}
	return c, err
}

// rebase makes socket paths of the script relative to its folder.
func (c *Config) rebase(dir string) {
	for i := range c.Volumes {
		if s := c.Volumes[i].Socket; s != "" && !filepath.IsAbs(s) {
			c.Volumes[i].Socket = filepath.Join(dir, s)
		}
	}
}

// loader evaluates the files of one script.
type loader struct {
	files    fs.FS
	loading  []string // files being evaluated, for cycles
	done     map[string]starlark.StringDict
	order    []string
	steps    uint64
	problems Problems

	c         Config
	classes   map[string]int
	plans     map[string]int
	once      map[string]syntax.Position
	volumePos []syntax.Position
	nodePos   []syntax.Position
}

func load(files fs.FS, name string) (*Config, error) {
	l := &loader{files: files, done: map[string]starlark.StringDict{}, classes: map[string]int{},
		plans: map[string]int{}, once: map[string]syntax.Position{}}
	l.defaults()
	if _, err := l.file(name); err != nil {
		var p Problems
		switch {
		case errors.As(err, &p):
			l.problems = append(l.problems, p...)
		default:
			return nil, err
		}
	}
	if len(l.problems) == 0 {
		l.whole(name)
	}
	if len(l.problems) > 0 {
		return nil, l.problems
	}
	l.c.Files = l.order
	return &l.c, nil
}

// dialect allows what settings use in practice: loops and conditions at top level.
var dialect = &syntax.FileOptions{TopLevelControl: true, GlobalReassign: true, Set: true}

func (l *loader) file(name string) (starlark.StringDict, error) {
	if slices.Contains(l.loading, name) {
		return nil, fmt.Errorf("load cycle: %s", strings.Join(append(l.loading, name), " loads "))
	}
	if d, ok := l.done[name]; ok {
		return d, nil
	}
	if len(l.order) >= mostFiles {
		return nil, fmt.Errorf("%s: more than %d files", name, mostFiles)
	}
	info, err := fs.Stat(l.files, name)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if info.Size() > mostFile || !info.Mode().IsRegular() {
		return nil, fmt.Errorf("settings: %s: no regular file of at most %d bytes", name, mostFile)
	}
	src, err := fs.ReadFile(l.files, name)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	l.loading, l.order = append(l.loading, name), append(l.order, name)
	defer func() { l.loading = l.loading[:len(l.loading)-1] }()
	th := &starlark.Thread{Name: name, Print: func(*starlark.Thread, string) {}, Load: l.load}
	th.SetMaxExecutionSteps(mostSteps - min(l.steps, mostSteps-1))
	d, err := starlark.ExecFileOptions(dialect, th, name, src, l.words())
	l.steps += th.ExecutionSteps()
	if err != nil {
		return nil, l.explain(name, err)
	}
	l.done[name] = d
	return d, nil
}

// explain turns Starlark's errors into problems with a place.
func (l *loader) explain(name string, err error) error {
	var p Problems
	if errors.As(err, &p) {
		return p
	}
	var eval *starlark.EvalError
	var syn syntax.Error
	switch {
	case errors.As(err, &eval):
		pos := syntax.MakePosition(&name, 0, 0)
		for _, f := range slices.Backward(eval.CallStack) {
			if f.Pos.Line > 0 { // the innermost frame that stands in a file
				pos = f.Pos
				break
			}
		}
		text := eval.Msg
		if strings.Contains(text, "too many steps") {
			text = fmt.Sprintf("the script takes more than %d steps", mostSteps)
		}
		return Problems{{pos, "", text}}
	case errors.As(err, &syn):
		return Problems{{syn.Pos, "", syn.Msg}}
	}
	return Problems{{syntax.MakePosition(&name, 1, 1), "", strings.TrimPrefix(err.Error(), name+":")}}
}

func (l *loader) load(_ *starlark.Thread, name string) (starlark.StringDict, error) {
	if !fs.ValidPath(name) || strings.Contains(name, "..") {
		return nil, fmt.Errorf("%q does not lie beside the script", name)
	}
	return l.file(name)
}

// words are what a script may call.
func (l *loader) words() starlark.StringDict {
	d := units()
	word := func(name string, f func(*starlark.Thread, starlark.Tuple, []starlark.Tuple)) {
		d[name] = starlark.NewBuiltin(name, func(th *starlark.Thread, _ *starlark.Builtin, args starlark.Tuple,
			kwargs []starlark.Tuple) (starlark.Value, error) {
			f(th, args, kwargs)
			return starlark.None, nil
		})
	}
	single := func(name string, read func(*form)) {
		word(name, func(th *starlark.Thread, args starlark.Tuple, kwargs []starlark.Tuple) {
			f := l.form(th, name, args, kwargs)
			if before, ok := l.once[name]; ok {
				f.bad("", "stands at %s already", before)
			}
			l.once[name] = f.pos
			read(f)
			f.end()
		})
	}
	many := func(name string, read func(*form)) {
		word(name, func(th *starlark.Thread, args starlark.Tuple, kwargs []starlark.Tuple) {
			f := l.form(th, name, args, kwargs)
			read(f)
			f.end()
		})
	}
	single("gateway", l.gateway)
	single("rules", l.rules)
	single("directory", l.directory)
	single("times", l.times)
	single("bounds", l.bounds)
	many("class_", l.class)
	many("plan", l.plan)
	many("node", l.node)
	many("volume", l.volume)
	return d
}

func (l *loader) defaults() {
	l.c.Name = "gateway"
	l.c.Logic.Hosts = 1
	l.c.Times = Times{AnswerMargin: 20_000, Connect: 2_000_000, KeepAlive: 10_000_000, Drain: 10_000_000}
	l.c.Bounds = Bounds{Depth: 64, IOQueues: 2, Memory: 256 << 20, MostMemory: 1 << 40, MostBytes: 4 << 20}
	l.c.Directory.Every = 5_000_000
}

func (l *loader) gateway(f *form) {
	s := &l.c.Logic
	l.c.Name = f.text("name", "gateway", true)
	s.Hosts = int(f.whole("hosts", 1, 1, 1<<20))
	s.Number = int(f.whole("number", 0, 0, 1<<20))
	s.Zone = int(f.whole("zone", 0, 0, 1<<20))
	s.MaxAttempts = int(f.whole("max_attempts", 4, 0, 1<<10))
	s.SecondCopies = f.flag("second_copies", true)
	s.CoolDowns = f.flag("cool_downs", true)
	s.MaxCoolDown = logic.Micros(f.duration("max_cool_down", 5_000_000))
	s.UnitMean = f.number("unit_mean", 0)
	s.UnitTop = f.number("unit_top", 0)
	s.TellsElsewhere = f.flag("tells_elsewhere", false)
	if s.Number >= s.Hosts {
		f.bad("number", "%d is not below hosts, which is %d", s.Number, s.Hosts)
	}
}

func (l *loader) rules(f *form) {
	l.c.Logic.Rules = logic.Rules{
		AnswerSlack:   logic.Micros(f.duration("answer_slack", 0)),
		StopSending:   logic.Micros(f.duration("stop_sending", 0)),
		ColdFrom:      f.number("cold_from", 0),
		ColdTime:      logic.Micros(f.duration("cold_time", 0)),
		ColdUnits:     f.number("cold_units", 0),
		OverloadTime:  logic.Micros(f.duration("overload_time", 0)),
		TipMultiple:   f.number("tip_multiple", 0),
		OrderPause:    logic.Micros(f.duration("order_pause", 0)),
		BudgetWindow:  logic.Micros(f.duration("budget_window", 0)),
		BudgetFree:    f.number("budget_free", 0),
		BudgetPerTake: f.number("budget_per_take", 0),
	}
}

func (l *loader) directory(f *form) {
	l.c.Directory.Address = f.text("address", "", true)
	l.c.Directory.Every = logic.Micros(f.duration("every", int64(l.c.Directory.Every)))
}

func (l *loader) times(f *form) {
	t := &l.c.Times
	t.AnswerMargin = logic.Micros(f.duration("answer_margin", int64(t.AnswerMargin)))
	t.Connect = logic.Micros(f.duration("connect", int64(t.Connect)))
	t.KeepAlive = logic.Micros(f.duration("keep_alive", int64(t.KeepAlive)))
	t.Drain = logic.Micros(f.duration("drain", int64(t.Drain)))
	if t.Connect <= 0 {
		f.bad("connect", "must be above zero")
	}
}

func (l *loader) bounds(f *form) {
	b := &l.c.Bounds
	b.Depth = int(f.whole("depth", int64(b.Depth), 2, 1024))
	b.IOQueues = int(f.whole("io_queues", int64(b.IOQueues), 1, 16))
	b.Digests = f.flag("digests", false)
	b.Memory = f.size("memory", b.Memory)
	b.MostMemory = f.size("client_memory", b.MostMemory)
	b.MostBytes = f.size("request", b.MostBytes)
	if b.MostBytes < 64<<10 || b.MostBytes > 64<<20 {
		f.bad("request", "%d bytes is not between KiB(64) and MiB(64)", b.MostBytes)
	}
}

func (l *loader) class(f *form) {
	name := f.text("name", "", true)
	if _, twice := l.classes[name]; twice {
		f.bad("name", "%q stands twice", name)
	}
	if name != "" {
		f.name = fmt.Sprintf("class_(%q)", name)
	}
	c := logic.Class{
		Aim:          logic.Micros(f.duration("aim", must)),
		Deadline:     logic.Micros(f.duration("deadline", must)),
		Worth:        f.number("worth", 1),
		LateShare:    f.number("late_share", 0),
		Repeat:       logic.Repeat(f.word("repeat", 0, "safe", "keyed", "unsafe")),
		Group:        logic.Group(f.word("group", 0, "all", "zone", "cell")),
		RepeatWindow: logic.Micros(f.duration("remembers", 0)),
		InOrder:      f.flag("in_order", false),
		Writes:       f.flag("writes", false),
	}
	if c.Aim > c.Deadline {
		f.bad("aim", "is later than the deadline")
	}
	if c.Aim <= 0 {
		f.bad("aim", "must be above zero")
	}
	if c.LateShare > 1 {
		f.bad("late_share", "%v is over 1", c.LateShare)
	}
	if c.Repeat == logic.Dedup && c.RepeatWindow == 0 {
		f.bad("remembers", "a keyed class needs the time for which nodes drop repeats")
	}
	l.classes[name] = len(l.c.Classes)
	l.c.Classes = append(l.c.Classes, name)
	l.c.Logic.Classes = append(l.c.Logic.Classes, c)
}

func (l *loader) plan(f *form) {
	name := f.text("name", "", true)
	if _, twice := l.plans[name]; twice {
		f.bad("name", "%q stands twice", name)
	}
	if name != "" {
		f.name = fmt.Sprintf("plan(%q)", name)
	}
	p := logic.Plan{
		Rate: f.number("rate", 0), Reserve: f.number("reserve", 0), Weight: f.number("weight", 1),
		Price: f.number("price", 1), Limit: f.number("limit", 0), LimitBurst: f.number("limit_burst", 0),
		LimitSlack: f.number("limit_slack", 0),
	}
	if p.Limit > 0 && p.LimitBurst+p.LimitSlack <= 0 {
		f.bad("limit_burst", "a limit needs a burst or a slack, or nothing could ever be sent")
	}
	l.plans[name] = len(l.c.Plans)
	l.c.Plans = append(l.c.Plans, name)
	l.c.Logic.Plans = append(l.c.Logic.Plans, p)
}

func (l *loader) node(f *form) {
	n := Node{
		ID:   logic.NodeID(f.whole("id", must, 1, math.MaxUint32)),
		Zone: int(f.whole("zone", 0, 0, 1<<20)), Cell: int(f.whole("cell", must, 0, 1<<24)),
		Address: f.text("address", "", false), NQN: f.text("nqn", "", true), Rating: f.number("rating", 1),
	}
	f.name = fmt.Sprintf("node(%d)", n.ID)
	if len(n.NQN) > 223 {
		f.bad("nqn", "longer than 223 bytes")
	}
	for _, o := range l.c.Nodes {
		if o.ID == n.ID {
			f.bad("id", "%d stands twice", n.ID)
		}
		if o.NQN == n.NQN && n.NQN != "" {
			f.bad("nqn", "%q is node %d's already", n.NQN, o.ID)
		}
	}
	l.c.Nodes, l.nodePos = append(l.c.Nodes, n), append(l.nodePos, f.pos)
}

func (l *loader) volume(f *form) {
	v := Volume{ID: uint64(f.whole("id", must, 0, math.MaxInt64)), Name: f.text("name", "", true)}
	if v.Name != "" {
		f.name = fmt.Sprintf("volume(%q)", v.Name)
	}
	plan := f.text("plan", "", true)
	if i, ok := l.plans[plan]; ok {
		v.Plan = i
	} else if plan != "" {
		f.bad("plan", "no plan %q stands before this line", plan)
	}
	v.Attached = f.number("gateways", 1)
	v.Socket = f.text("socket", "", false)
	v.BlockSize = uint32(f.size("block", block.Sector))
	if v.BlockSize < block.Sector || v.BlockSize > 64<<10 || v.BlockSize&(v.BlockSize-1) != 0 {
		f.bad("block", "%d bytes is no power of two from 512 to 65536", v.BlockSize)
		v.BlockSize = block.Sector
	}
	v.Queues = int(f.whole("queues", 4, 1, 64))
	v.ReadOnly = f.flag("read_only", false)
	v.Serial = f.text("serial", v.Name, false)
	if len(v.Serial) > 20 {
		f.bad("serial", "longer than 20 bytes")
	}
	v.Memory = f.size("memory", 0)
	v.UnitBytes = f.size("unit", 64<<10)
	v.UnitLeast = f.number("unit_least", 1)
	if v.UnitBytes == 0 {
		f.bad("unit", "must be above zero")
		v.UnitBytes = 1
	}
	f.each("extents", true, func(e *form) {
		x := Extent{Start: e.size("start", v.Size), Len: e.size("size", must), Base: e.size("base", 0),
			Cell: int(e.whole("cell", must, 0, 1<<24)), Namespace: uint32(e.whole("namespace", must, 1, math.MaxUint32-2))}
		if x.Len == 0 {
			e.bad("size", "is zero")
		}
		if bs := int64(v.BlockSize); x.Start%bs != 0 || x.Len%bs != 0 || x.Base%bs != 0 {
			e.bad("", "does not begin and end on a block of %d bytes", bs)
		}
		for i, o := range v.Extents {
			if x.Start < o.Start+o.Len && o.Start < x.Start+x.Len {
				e.bad("", "overlaps extents[%d]", i)
			}
		}
		v.Extents = append(v.Extents, x)
		v.Size = max(v.Size, x.Start+x.Len)
	})
	f.each("table", true, func(r *form) {
		k, ok := block.ParseKind(r.text("kind", "", true))
		if !ok {
			r.bad("kind", "is none of read, write, flush, discard, write_zeroes")
		}
		row := Row{Kind: k, UpTo: r.size("up_to", 0)}
		class := r.text("class_", "", true)
		if row.Class, ok = l.classes[class]; !ok && class != "" {
			r.bad("class_", "no class %q stands before this line", class)
		}
		v.Rows = append(v.Rows, row)
	})
	for _, o := range l.c.Volumes {
		if o.ID == v.ID {
			f.bad("id", "%d is volume %q's already", v.ID, o.Name)
		}
		if o.Name == v.Name {
			f.bad("name", "%q stands twice", v.Name)
		}
		if o.Socket == v.Socket && v.Socket != "" {
			f.bad("socket", "%q is volume %q's already", v.Socket, o.Name)
		}
	}
	l.c.Volumes, l.volumePos = append(l.c.Volumes, v), append(l.volumePos, f.pos)
}

// whole checks what no single line can be blamed for before all are read.
func (l *loader) whole(name string) {
	top := syntax.MakePosition(&name, 1, 1)
	bad := func(pos syntax.Position, field, format string, a ...any) {
		l.problems = append(l.problems, Problem{pos, field, fmt.Sprintf(format, a...)})
	}
	c := &l.c
	for _, need := range []struct {
		what string
		n    int
	}{{"class_", len(c.Classes)}, {"plan", len(c.Plans)}, {"volume", len(c.Volumes)}, {"node", len(c.Nodes)}} {
		if need.n == 0 {
			bad(top, need.what, "none is given")
		}
	}
	cells := map[int]bool{}
	for i, n := range c.Nodes {
		cells[n.Cell] = true
		if n.Address == "" && c.Directory.Address == "" {
			bad(l.nodePos[i], fmt.Sprintf("node(%d).address", n.ID), "is missing, and no directory is given")
		}
	}
	type place struct {
		volume   string
		from, to int64
	}
	taken := map[[2]int64][]place{}
	served := 0
	for i := range c.Volumes {
		v, pos := &c.Volumes[i], l.volumePos[i]
		if v.Socket != "" {
			served++
		}
		at := fmt.Sprintf("volume(%q)", v.Name)
		if v.Attached < 1 || v.Attached > float64(c.Logic.Hosts) {
			bad(pos, at+".gateways", "%v is not between 1 and the %d gateways", v.Attached, c.Logic.Hosts)
		}
		slices.SortFunc(v.Extents, func(a, b Extent) int { return int(min(max(a.Start-b.Start, -1), 1)) })
		end := int64(0)
		for j, x := range v.Extents {
			where := fmt.Sprintf("%s.extents[%d]", at, j)
			if x.Start != end {
				bad(pos, where, "begins at %d and leaves a hole from %d", x.Start, end)
			}
			end = x.Start + x.Len
			if !cells[x.Cell] {
				bad(pos, where, "no node holds cell %d", x.Cell)
			}
			key := [2]int64{int64(x.Cell), int64(x.Namespace)}
			for _, o := range taken[key] {
				if x.Base < o.to && o.from < x.Base+x.Len {
					bad(pos, where, "lies on bytes of namespace %d at cell %d that are volume %q's", x.Namespace,
						x.Cell, o.volume)
				}
			}
			taken[key] = append(taken[key], place{v.Name, x.Base, x.Base + x.Len})
		}
		for k := block.Read; k < block.Kinds; k++ {
			if _, ok := v.Class(k, math.MaxInt64); !ok && (!v.ReadOnly || k == block.Read || k == block.Flush) {
				bad(pos, at+".table", "no row takes a %s of any size", k)
			}
		}
		for j, r := range v.Rows {
			cl := &c.Logic.Classes[r.Class]
			if r.Kind.Changes() && !cl.InOrder {
				bad(pos, fmt.Sprintf("%s.table[%d]", at, j),
					"class %q is not in_order, but a %s must not overtake another of the same blocks", c.Classes[r.Class], r.Kind)
			}
			if r.Kind.Changes() && !cl.Writes {
				bad(pos, fmt.Sprintf("%s.table[%d]", at, j), "class %q lacks writes = True", c.Classes[r.Class])
			}
		}
	}
	for i := range c.Volumes {
		v := &c.Volumes[i]
		if v.Memory == 0 && served > 0 {
			v.Memory = max(c.Bounds.Memory/int64(served), 2*c.Bounds.MostBytes)
		} else if v.Memory > 0 && v.Memory < 2*c.Bounds.MostBytes {
			bad(l.volumePos[i], fmt.Sprintf("volume(%q).memory", v.Name),
				"holds less than two of the largest requests (%d bytes each)", c.Bounds.MostBytes)
		}
	}
	for i, cl := range c.Logic.Classes {
		if cl.Deadline <= c.Times.AnswerMargin {
			bad(top, fmt.Sprintf("class_(%q).deadline", c.Classes[i]), "is not above answer_margin")
		}
	}
	if len(l.problems) == 0 {
		if _, err := logic.New(c.Logic, 1); err != nil {
			bad(top, "", "%v", err)
		}
	}
}
