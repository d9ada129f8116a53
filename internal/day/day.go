// Package day reads the scripts of troubles that are played through a fleet: what load there is, and what goes wrong
// when. The same file plays on real sockets and in simulated time.
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

// Kind is a kind of trouble.
type Kind string

// The kinds, as a script calls them.
const (
	Burst       Kind = "burst"        // all load times so much
	Surge       Kind = "surge"        // the load of one plan's volumes times so much
	Slow        Kind = "slow"         // nodes take times as long
	Hang        Kind = "hang"         // nodes take commands and work on none
	Lose        Kind = "lose"         // a part of the nodes' answers never leaves
	Twice       Kind = "twice"        // a part of the answers leaves twice
	WrongID     Kind = "wrong_id"     // a part of the answers leaves under an id that is not out
	Fail        Kind = "fail"         // nodes fail a part of the commands at once
	Full        Kind = "full"         // nodes turn everything away
	LateReports Kind = "late_reports" // load reports are refreshed only so often
	Deaf        Kind = "deaf"         // nodes take connections and never answer
	Drip        Kind = "drip"         // nodes send so many bytes a second
	Reset       Kind = "reset"        // nodes break their connections once
	Crash       Kind = "crash"        // nodes die, and come back cold after the time that lasts
	Drain       Kind = "drain"        // nodes say that they drain
	StaleList   Kind = "stale_list"   // the directory tells changes so much later
	RepeatList  Kind = "repeat_list"  // the directory tells of a change though nothing has changed
	Flap        Kind = "flap"         // the directory drops and names nodes by turns, every so often
	Eager       Kind = "eager"        // clients repeat at once what was refused or failed
	Vanish      Kind = "vanish"       // clients leave in the middle of what they do, and new ones come
	Stop        Kind = "stop"         // a gateway's process is stopped and goes on
	Takeover    Kind = "takeover"     // a second process takes over from a gateway's, as for new software
	Link        Kind = "link"         // the link between two zones is late, narrow and loses data
	Cut         Kind = "cut"          // it passes nothing, both ways or one; by turns where every is given
	Kill        Kind = "kill"         // a gateway's process is killed, and started again after the time that lasts
)

// Event is one trouble.
type Event struct {
	Kind    Kind
	At, For time.Duration
	Nodes   []int // indexes
	Gateway int
	Clients int
	Plan    string
	Times   float64
	Part    float64
	By      time.Duration
	Bytes   int
	Zones   [2]int        // of the gateways and of the nodes
	Jitter  time.Duration // of a link; By is its delay, Part what it loses, Bytes its bandwidth a second
	There   bool          // a cut link passes nothing to the nodes
	Back    bool          // and nothing from them
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
		s += fmt.Sprintf(" plan %s times %v", e.Plan, e.Times)
	case Burst, Slow:
		s += fmt.Sprintf(" times %v", e.Times)
	case Lose, Twice, WrongID, Fail:
		s += fmt.Sprintf(" part %v", e.Part)
	}
	if e.For > 0 {
		s += fmt.Sprintf(" for %v", e.For)
	}
	return s
}

// Day is a script.
type Day struct {
	Name   string
	Length time.Duration
	Rate   float64 // requests a second over all volumes
	Events []Event // by time
}

// Shape bounds what a script may name.
type Shape struct {
	Nodes, Gateways int
	Zones           int
	Plans           []string
}

// Zoned tells whether a day needs zones with links between them.
func (d *Day) Zoned() bool {
	return slices.ContainsFunc(d.Events, func(e Event) bool { return e.Kind == Link || e.Kind == Cut })
}

// Load reads the script at path.
func Load(path string, shape Shape) (*Day, error) {
	dir, name := filepath.Split(path)
	return Read(os.DirFS(cmp.Or(dir, ".")), name, shape)
}

// Read reads a script from files.
func Read(files fs.FS, name string, shape Shape) (*Day, error) {
	l := script.New(files)
	d := &Day{}
	given := false
	us := func(v int64) time.Duration { return time.Duration(v) * time.Microsecond }
	l.DefineOnce("day", func(f *script.Form) {
		given = true
		d.Name = f.Text("name", "", true)
		d.Length = us(f.Duration("length", script.Required))
		d.Rate = f.Number("rate", script.Required)
		if d.Length > time.Hour {
			f.AddProblem("length", "is over an hour")
		}
	})
	event := func(kind Kind, read func(f *script.Form, e *Event)) {
		l.Define(string(kind), func(f *script.Form) {
			e := Event{Kind: kind, At: us(f.Duration("at", script.Required))}
			read(f, &e)
			if given && e.At+e.For > d.Length {
				f.AddProblem("at", "%v is past the day's length of %v, which must stand before it", e.At+e.For, d.Length)
			} else if !given {
				f.AddProblem("", "stands before day()")
			}
			d.Events = append(d.Events, e)
		})
	}
	lasting := func(f *script.Form, e *Event) { e.For = us(f.Duration("lasting", script.Required)) }
	nodes := func(f *script.Form, e *Event) { e.Nodes = f.Ints("nodes", true, 0, int64(shape.Nodes)-1) }
	times := func(f *script.Form, e *Event) {
		if e.Times = f.Number("times", script.Required); e.Times > 1000 {
			f.AddProblem("times", "%v is over 1000", e.Times)
		}
	}
	part := func(f *script.Form, e *Event) {
		if e.Part = f.Number("part", script.Required); e.Part > 1 {
			f.AddProblem("part", "%v is over 1", e.Part)
		}
	}
	gateway := func(f *script.Form, e *Event) {
		e.Gateway = int(f.Int("gateway", script.Required, 0, int64(shape.Gateways)-1))
	}
	all := func(parts ...func(*script.Form, *Event)) func(*script.Form, *Event) {
		return func(f *script.Form, e *Event) {
			for _, p := range parts {
				p(f, e)
			}
		}
	}
	event(Burst, all(lasting, times))
	event(Surge, all(lasting, times, func(f *script.Form, e *Event) {
		if e.Plan = f.Text("plan", "", true); !slices.Contains(shape.Plans, e.Plan) && e.Plan != "" {
			f.AddProblem("plan", "%q is none of %v", e.Plan, shape.Plans)
		}
	}))
	event(Slow, all(lasting, nodes, times))
	for _, k := range []Kind{Lose, Twice, WrongID, Fail} {
		event(k, all(lasting, nodes, part))
	}
	for _, k := range []Kind{Hang, Full, Deaf, Crash, Drain} {
		event(k, all(lasting, nodes))
	}
	event(Reset, all(nodes))
	event(LateReports, all(lasting, nodes, func(f *script.Form, e *Event) { e.By = us(f.Duration("by", script.Required)) }))
	event(Drip, all(lasting, nodes, func(f *script.Form, e *Event) { e.Bytes = int(f.Int("bytes", script.Required, 1, 1<<30)) }))
	event(StaleList, all(lasting, func(f *script.Form, e *Event) { e.By = us(f.Duration("by", script.Required)) }))
	event(Flap, all(lasting, nodes, func(f *script.Form, e *Event) {
		if e.By = us(f.Duration("every", script.Required)); e.By < 10*time.Millisecond {
			f.AddProblem("every", "is under 10 ms")
		}
	}))
	zones := func(f *script.Form, e *Event) {
		z := f.Ints("zones", true, 0, int64(shape.Zones)-1)
		if len(z) != 2 || z[0] == z[1] {
			f.AddProblem("zones", "want two: that of the gateways and that of the nodes")
			return
		}
		e.Zones = [2]int{z[0], z[1]}
	}
	event(Link, all(lasting, zones, func(f *script.Form, e *Event) {
		e.By, e.Jitter = us(f.Duration("delay", 0)), us(f.Duration("jitter", 0))
		if e.Part = f.Number("loss", 0); e.Part > 1 {
			f.AddProblem("loss", "%v is over 1", e.Part)
		}
		e.Bytes = int(f.Size("bandwidth", 0))
	}))
	event(Cut, all(lasting, zones, func(f *script.Form, e *Event) {
		way := f.Enum("way", 0, "both", "there", "back")
		e.There, e.Back = way != 2, way != 1
		if e.By = us(f.Duration("every", 0)); e.By > 0 && e.By < 10*time.Millisecond {
			f.AddProblem("every", "is under 10 ms")
		}
	}))
	event(Eager, all(lasting))
	event(Vanish, func(f *script.Form, e *Event) { e.Clients = int(f.Int("clients", script.Required, 1, 1000)) })
	event(RepeatList, all())
	event(Stop, all(lasting, gateway))
	event(Kill, all(lasting, gateway))
	event(Takeover, all(gateway))
	if err := l.Run(name); err != nil {
		return nil, err
	}
	if !given {
		return nil, fmt.Errorf("%s: no day() stands in it", name)
	}
	slices.SortStableFunc(d.Events, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	return d, nil
}
