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

	// A change must act toldBy after discovery had it and could be reached, whatever failed before. Discovery answers
	// at once and then sends something every heartbeat: a call without an answer for answerBy, or a watch that missed
	// two heartbeats, is taken for cut off and asked for anew. With the longest pause and an answer of the call after
	// it, each way stays within toldBy; a test adds them up. Harm: where discovery is down, its agent is asked again
	// every few seconds.
	toldBy      = 6 * sec
	heartbeat   = 2 * sec
	silentWatch = 2 * heartbeat
	answerBy    = 1500 * ms
	// After a watch that stood for steadyWatch a new one is asked for at once, after others with a pause that doubles:
	// discovery that answers at once with what cannot be used would else be asked in a tight loop.
	firstAsk, mostAsk = 50 * ms, 400 * ms
	steadyWatch       = 2 * sec
	// goneFor is how long a target that is gone is remembered: news that was overtaken may still name it.
	goneFor = 60 * sec
)

// Follow decides what a list of targets and the changes to it that a watch tells come to: what is taken, when the
// whole list is asked for anew, and when a watch is given up. It has no clock, goroutine or I/O.
type Follow struct {
	targets  map[string]*followed
	revision uint64
	whole    bool // something is missing: the whole list must be asked for
	fails    int
	told     int  // the address, counted in the order of their use, that has told something last
	heard    bool // discovery has told a list that was taken
}

type followed struct {
	Target
	began logic.Micros // its start as told; Target has it by this machine's clock
	gone  logic.Micros // since when; 0: it is not
}

// NewFollow starts with the list as it was last held.
func NewFollow(now logic.Micros, known News) (*Follow, []logic.Node) {
	f := &Follow{targets: map[string]*followed{}, revision: known.Revision}
	return f, f.apply(now, known)
}

// Ask is what to ask for next: the whole list, or changes after a revision.
func (f *Follow) Ask() (whole bool, after uint64) { return f.whole, f.revision }

// SilentAt is when a call that was begun at the given time is to be given up, if nothing more is heard of it; what was
// last heard, be it an empty line, came at the other; 0: nothing yet.
func SilentAt(begun, heard logic.Micros) logic.Micros {
	if heard == 0 {
		return begun + answerBy
	}
	return heard + silentWatch
}

// Ended says that a watch begun at the given time has ended or did not come up; it gives the pause before the next.
func (f *Follow) Ended(now, begun logic.Micros) (pause logic.Micros) {
	if now-begun >= steadyWatch {
		f.fails = 0
	}
	if f.fails > 0 {
		pause = min(firstAsk<<min(f.fails-1, 10), mostAsk)
	}
	f.fails++
	return pause
}

// Counts tells whether what is told at the use-th address counts: a watch that was followed by another does not undo
// what that one has told, as its list may be older. Harm: none is asked of the old address any more once the new one tells.
func (f *Follow) Counts(use int) bool { return use >= f.told }

// From notes that the use-th address has told something that can be read.
func (f *Follow) From(use int) { f.told = max(f.told, use) }

// Unread says that something could not be read: what it would have told is missing.
func (f *Follow) Unread() { f.whole = true }

// Told takes what the watch tells; first: it is the first that this watch tells. It gives what has changed, whether
// the watch must be given up to ask anew, and a complaint of what is not taken.
func (f *Follow) Told(now logic.Micros, n News, first bool) (changed []logic.Node, again bool, complaint error) {
	switch {
	case n.Complete:
		// A whole list stands for itself, also one that counts from a new beginning. One that names no target is a
		// directory that lost its memory: taken at its word it would stop all work. Changes go on from it all the same.
		f.whole, f.revision = false, n.Revision
		if len(n.Targets) == 0 && f.live() > 0 {
			return nil, false, fmt.Errorf("discovery names no target; the last list stands")
		}
	case n.Revision < f.revision:
		// Discovery counts anew, at the beginning of a watch or in the middle of one: what it held before is not told,
		// so changes alone would leave targets in use that drain or are gone.
		f.whole = true
		return nil, true, nil
	case n.Revision == f.revision && !first:
		return nil, false, nil // told twice
	}
	f.revision = n.Revision
	n.Targets, complaint = f.apart(n.Targets)
	changed = f.apply(now, n)
	f.heard = true
	return changed, false, complaint
}

// apart leaves out what bears the number of another target: logic could not tell them apart.
func (f *Follow) apart(list []Target) (kept []Target, complaint error) {
	names := map[logic.NodeID]string{}
	for name, t := range f.targets {
		if t.State != logic.Gone {
			names[t.ID] = name
		}
	}
	for _, t := range list {
		if other, ok := names[t.ID]; ok && other != t.Name {
			complaint = fmt.Errorf("discovery names %q and %q, which cannot be told apart; the first is kept", other, t.Name)
			continue
		}
		names[t.ID] = t.Name
		kept = append(kept, t)
	}
	return kept, complaint
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
		began := x.Started
		t, held := f.targets[x.Name]
		if !held {
			if x.State == logic.Gone {
				continue
			}
			t = &followed{}
			f.targets[x.Name] = t
		}
		if held && began == t.began {
			x.Started = t.Started
		} else {
			x.Started = ownStart(now, began, f.heard)
		}
		if held && t.Node == x.Node && t.Address == cmp.Or(x.Address, t.Address) {
			continue
		}
		x.Address = cmp.Or(x.Address, t.Address)
		t.Target, t.began, t.gone = x, began, 0
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

// Targets gives all that are held, by id.
func (f *Follow) Targets() (out []Target) {
	for _, t := range f.targets {
		out = append(out, t.Target)
	}
	slices.SortFunc(out, func(a, b Target) int { return cmp.Compare(a.ID, b.ID) })
	return out
}
