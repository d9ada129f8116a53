package members

import (
	"cmp"
	"fmt"
	"slices"

	"appleplank/logic"
)

// Target is an entry of a list of targets.
type Target struct {
	logic.Node
	Name    string
	Address string
}

// News is a list of targets, or of changes to one.
type News struct {
	Revision uint64
	Complete bool // the whole list
	Targets  []Target
}

const (
	ms, sec logic.Micros = 1000, 1000 * 1000

	// Discovery sends something every 2 s; a watch that was silent for silentWatch is taken for cut off, and asked
	// for anew. Harm: where discovery itself is down, its agent is asked again every few seconds.
	silentWatch = 5 * sec
	// After a watch ended a new one is asked for at once, and after one that told nothing with a pause that doubles.
	firstAsk, mostAsk = 50 * ms, 1 * sec
	// goneFor is how long a target that is gone is remembered: news that was overtaken may still name it.
	goneFor = 60 * sec
)

// Follow decides what a list of targets and the changes to it that a watch tells come to: what is taken, when the
// whole list is asked for anew, and when a watch is given up. It has no clock, goroutine or I/O.
type Follow struct {
	targets  map[string]*followed
	revision uint64
	listed   bool // a whole list was taken, not only the one remembered from before
	heard    logic.Micros
	fails    int
}

type followed struct {
	Target
	gone logic.Micros // since when; 0: it is not
}

// NewFollow starts with the list as it was last held.
func NewFollow(now logic.Micros, known News) (*Follow, []logic.Node) {
	f := &Follow{targets: map[string]*followed{}, revision: known.Revision, heard: now}
	return f, f.apply(now, known)
}

// Verdict says what a piece of news comes to.
type Verdict uint8

const (
	Taken   Verdict = iota
	Old             // told before; nothing changes
	AskAnew         // it does not follow on what is held: the whole list must be asked for
)

// After is the revision to ask for changes after; whole: the whole list is needed instead.
func (f *Follow) After() uint64 { return f.revision }

// Heard says that the watch has told something, be it an empty line.
func (f *Follow) Heard(now logic.Micros) { f.heard, f.fails = now, 0 }

// Silent tells whether the watch, begun at the given time, is to be given up, and else when to look again.
func (f *Follow) Silent(now, begun logic.Micros) (giveUp bool, next logic.Micros) {
	next = max(f.heard, begun) + silentWatch
	return now >= next, next
}

// Ended says that a watch has ended or did not come up; it gives the pause before the next.
func (f *Follow) Ended() (pause logic.Micros) {
	pause = min(firstAsk<<min(f.fails, 10), mostAsk)
	if f.fails == 0 {
		pause = 0
	}
	f.fails++
	return pause
}

// Told takes what the watch tells; first: it is the first that this watch tells. It gives the list event that is
// due, if any.
func (f *Follow) Told(now logic.Micros, n News, first bool) (Verdict, []logic.Node, error) {
	f.Heard(now)
	if err := f.check(n); err != nil {
		return AskAnew, nil, err
	}
	switch {
	case n.Complete:
		// A whole list stands for itself, also one that counts from a new beginning. Only one that the same watch
		// has overtaken is passed over.
		if !first && n.Revision < f.revision {
			return Old, nil, nil
		}
		// A list that names no target is a directory that lost its memory: taken at its word it would stop all work.
		if len(n.Targets) == 0 && f.live() > 0 {
			return Old, nil, fmt.Errorf("discovery names no target; the last list stands")
		}
	case n.Revision < f.revision && first:
		// Discovery counts anew: what it held before is not told, so changes alone would not do.
		return AskAnew, nil, nil
	case n.Revision <= f.revision && !first:
		return Old, nil, nil
	}
	f.listed = f.listed || n.Complete
	f.revision = n.Revision
	return Taken, f.apply(now, n), nil
}

func (f *Follow) check(n News) error {
	seen := map[logic.NodeID]string{}
	for _, t := range n.Targets {
		if other, ok := seen[t.ID]; ok {
			return fmt.Errorf("discovery names %q and %q, which cannot be told apart", other, t.Name)
		}
		seen[t.ID] = t.Name
	}
	return nil
}

func (f *Follow) live() (n int) {
	for _, t := range f.targets {
		if t.State != logic.Gone {
			n++
		}
	}
	return n
}

// apply takes the entries, and gives what has changed by them, in order of ids.
func (f *Follow) apply(now logic.Micros, n News) (changed []logic.Node) {
	if n.Complete {
		named := map[string]bool{}
		for _, t := range n.Targets {
			named[t.Name] = true
		}
		for name, t := range f.targets {
			if !named[name] && t.State != logic.Gone {
				t.State, t.gone = logic.Gone, now
				changed = append(changed, t.Node)
			}
		}
	}
	for _, x := range n.Targets {
		t := f.targets[x.Name]
		if t == nil {
			if x.State == logic.Gone {
				continue
			}
			t = &followed{}
			f.targets[x.Name] = t
		} else if t.Node == x.Node && t.Address == cmp.Or(x.Address, t.Address) {
			continue
		}
		x.Address = cmp.Or(x.Address, t.Address)
		t.Target, t.gone = x, 0
		if x.State == logic.Gone {
			t.gone = now
		}
		changed = append(changed, x.Node)
	}
	for name, t := range f.targets {
		if t.gone > 0 && now-t.gone > goneFor {
			delete(f.targets, name)
		}
	}
	slices.SortFunc(changed, func(a, b logic.Node) int { return cmp.Compare(a.ID, b.ID) })
	return changed
}

// Address is where a target is reached; "" where it is gone.
func (f *Follow) Address(name string) string {
	if t := f.targets[name]; t != nil && t.State != logic.Gone {
		return t.Address
	}
	return ""
}

// Targets gives all that are held, by id.
func (f *Follow) Targets() (out []Target) {
	for _, t := range f.targets {
		out = append(out, t.Target)
	}
	slices.SortFunc(out, func(a, b Target) int { return cmp.Compare(a.ID, b.ID) })
	return out
}
