// Package day reads scripts of faults to play on a fleet: the load, and which fault occurs when. The same script runs
// on real sockets and in simulated time.
package day

import (
	"cmp"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"time"

	"appleplank/internal/script"
)

// Kind is a kind of fault.
type Kind string

// The kinds of faults, under the names of their functions in a script.
const (
	Burst       Kind = "burst"        // the whole load is multiplied by Factor
	Surge       Kind = "surge"        // the load of one plan's volumes is multiplied by Factor
	Slow        Kind = "slow"         // nodes take Factor times as long
	Hang        Kind = "hang"         // nodes accept commands but process none
	Lose        Kind = "lose"         // a share of the nodes' answers is never sent
	Twice       Kind = "twice"        // a share of the answers is sent twice
	WrongID     Kind = "wrong_id"     // a share of the answers is sent under an id that is not in flight
	Fail        Kind = "fail"         // nodes fail a share of the commands at once
	Full        Kind = "full"         // nodes reject every command
	LateReports Kind = "late_reports" // load reports are refreshed only every By
	Deaf        Kind = "deaf"         // nodes accept connections but never answer
	Drip        Kind = "drip"         // nodes send Bytes bytes a second
	Reset       Kind = "reset"        // nodes drop their connections once
	Crash       Kind = "crash"        // nodes crash, and restart cold after For
	Drain       Kind = "drain"        // nodes report that they are draining
	StaleList   Kind = "stale_list"   // the directory announces changes late, by By
	RepeatList  Kind = "repeat_list"  // the directory announces a change although nothing has changed
	Flap        Kind = "flap"         // the directory alternately drops and lists nodes, every By
	Eager       Kind = "eager"        // clients retry refused and failed requests at once
	Vanish      Kind = "vanish"       // clients disconnect with requests in flight, and new ones connect
	Stop        Kind = "stop"         // a gateway's process is stopped, and resumed after For
	Takeover    Kind = "takeover"     // a second process takes over from a gateway's process, as in a software update
	Link        Kind = "link"         // the link between two zones has delay, limited bandwidth and loss
	Cut         Kind = "cut"          // the link passes nothing in one or both directions; if By is set, on and off
	Kill        Kind = "kill"         // a gateway's process is killed, and started again after For
)

// Event is one fault. Which fields are set depends on its kind.
type Event struct {
	Kind    Kind
	At, For time.Duration // start, from the start of the day, and how long it lasts
	Nodes   []int         // indexes of nodes
	Gateway int
	Clients int
	Plan    string
	Factor  float64 // by which load or processing time is multiplied
	Share   float64 // of the answers or commands affected, or of the data that a link loses
	By      time.Duration
	Bytes   int
	Zones   [2]int        // the zone of the gateways and that of the nodes
	Jitter  time.Duration // of a link, whose delay is By, loss Share and bandwidth Bytes a second
	There   bool          // a cut link passes nothing towards the nodes
	Back    bool          // a cut link passes nothing back from the nodes
}

func (e Event) String() string {
	s := string(e.Kind)
	if len(e.Nodes) > 0 {
		s += fmt.Sprintf(" nodes %v", e.Nodes)
	}
	switch e.Kind {
	case Stop, Kill, Takeover:
		s += fmt.Sprintf(" gateway %d", e.Gateway)
	case Link, Cut:
		s += fmt.Sprintf(" from zone %d to %d", e.Zones[0], e.Zones[1])
	case Surge:
		s += fmt.Sprintf(" plan %s times %v", e.Plan, e.Factor)
	case Burst, Slow:
		s += fmt.Sprintf(" times %v", e.Factor)
	case Lose, Twice, WrongID, Fail:
		s += fmt.Sprintf(" part %v", e.Share)
	}
	if e.For > 0 {
		s += fmt.Sprintf(" for %v", e.For)
	}
	return s
}

// Day is the content of one script.
type Day struct {
	Name   string
	Length time.Duration
	Rate   float64 // requests a second, over all volumes
	Events []Event // ordered by start
}

// Shape describes the fleet: the numbers of nodes, gateways and zones and the plans that a script may refer to.
type Shape struct {
	Nodes, Gateways int
	Zones           int
	Plans           []string
}

// Zoned reports whether the day needs zones with links between them.
func (d *Day) Zoned() bool {
	return slices.ContainsFunc(d.Events, func(e Event) bool { return e.Kind == Link || e.Kind == Cut })
}

// Load reads the script at path.
func Load(path string, shape Shape) (*Day, error) {
	dir, name := filepath.Split(path)
	return Read(os.DirFS(cmp.Or(dir, ".")), name, shape)
}

// Read reads the script called name in files.
func Read(files fs.FS, name string, shape Shape) (*Day, error) {
	loader := script.New(files)
	d := &Day{}
	daySeen := false
	microseconds := func(v int64) time.Duration { return time.Duration(v) * time.Microsecond }
	loader.DefineOnce("day", func(f *script.Form) {
		daySeen = true
		d.Name = f.Text("name", "", true)
		d.Length = microseconds(f.Duration("length", script.Required))
		d.Rate = f.Number("rate", script.Required)
		if d.Length > time.Hour {
			f.AddProblem("length", "is longer than an hour")
		}
	})
	register := func(kind Kind, read func(f *script.Form, e *Event)) {
		loader.Define(string(kind), func(f *script.Form) {
			e := Event{Kind: kind, At: microseconds(f.Duration("at", script.Required))}
			read(f, &e)
			if daySeen && e.At+e.For > d.Length {
				f.AddProblem("at", "%v is past the day's length of %v", e.At+e.For, d.Length)
			} else if !daySeen {
				f.AddProblem("", "is called before day()")
			}
			d.Events = append(d.Events, e)
		})
	}
	lasting := func(f *script.Form, e *Event) { e.For = microseconds(f.Duration("lasting", script.Required)) }
	nodes := func(f *script.Form, e *Event) { e.Nodes = f.Ints("nodes", true, 0, int64(shape.Nodes)-1) }
	factor := func(f *script.Form, e *Event) {
		if e.Factor = f.Number("times", script.Required); e.Factor > 1000 {
			f.AddProblem("times", "%v is over 1000", e.Factor)
		}
	}
	share := func(f *script.Form, e *Event) {
		if e.Share = f.Number("part", script.Required); e.Share > 1 {
			f.AddProblem("part", "%v is over 1", e.Share)
		}
	}
	gateway := func(f *script.Form, e *Event) {
		e.Gateway = int(f.Int("gateway", script.Required, 0, int64(shape.Gateways)-1))
	}
	combine := func(readers ...func(*script.Form, *Event)) func(*script.Form, *Event) {
		return func(f *script.Form, e *Event) {
			for _, p := range readers {
				p(f, e)
			}
		}
	}
	register(Burst, combine(lasting, factor))
	register(Surge, combine(lasting, factor, func(f *script.Form, e *Event) {
		if e.Plan = f.Text("plan", "", true); !slices.Contains(shape.Plans, e.Plan) && e.Plan != "" {
			f.AddProblem("plan", "%q is not one of %v", e.Plan, shape.Plans)
		}
	}))
	register(Slow, combine(lasting, nodes, factor))
	for _, k := range []Kind{Lose, Twice, WrongID, Fail} {
		register(k, combine(lasting, nodes, share))
	}
	for _, k := range []Kind{Hang, Full, Deaf, Crash, Drain} {
		register(k, combine(lasting, nodes))
	}
	register(Reset, combine(nodes))
	register(LateReports, combine(lasting, nodes, func(f *script.Form, e *Event) { e.By = microseconds(f.Duration("by", script.Required)) }))
	register(Drip, combine(lasting, nodes, func(f *script.Form, e *Event) { e.Bytes = int(f.Int("bytes", script.Required, 1, 1<<30)) }))
	register(StaleList, combine(lasting, func(f *script.Form, e *Event) { e.By = microseconds(f.Duration("by", script.Required)) }))
	register(Flap, combine(lasting, nodes, func(f *script.Form, e *Event) {
		if e.By = microseconds(f.Duration("every", script.Required)); e.By < 10*time.Millisecond {
			f.AddProblem("every", "is less than 10 ms")
		}
	}))
	zones := func(f *script.Form, e *Event) {
		z := f.Ints("zones", true, 0, int64(shape.Zones)-1)
		if len(z) != 2 || z[0] == z[1] {
			f.AddProblem("zones", "want two different zones: that of the gateways and that of the nodes")
			return
		}
		e.Zones = [2]int{z[0], z[1]}
	}
	register(Link, combine(lasting, zones, func(f *script.Form, e *Event) {
		e.By, e.Jitter = microseconds(f.Duration("delay", 0)), microseconds(f.Duration("jitter", 0))
		if e.Share = f.Number("loss", 0); e.Share > 1 {
			f.AddProblem("loss", "%v is over 1", e.Share)
		}
		e.Bytes = int(f.Size("bandwidth", 0))
	}))
	register(Cut, combine(lasting, zones, func(f *script.Form, e *Event) {
		way := f.Enum("way", 0, "both", "there", "back")
		e.There, e.Back = way != 2, way != 1
		if e.By = microseconds(f.Duration("every", 0)); e.By > 0 && e.By < 10*time.Millisecond {
			f.AddProblem("every", "is less than 10 ms")
		}
	}))
	register(Eager, combine(lasting))
	register(Vanish, func(f *script.Form, e *Event) { e.Clients = int(f.Int("clients", script.Required, 1, 1000)) })
	register(RepeatList, combine())
	register(Stop, combine(lasting, gateway))
	register(Kill, combine(lasting, gateway))
	register(Takeover, combine(gateway))
	if err := loader.Run(name); err != nil {
		return nil, err
	}
	if !daySeen {
		return nil, fmt.Errorf("%s: does not call day()", name)
	}
	slices.SortStableFunc(d.Events, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	return d, nil
}
