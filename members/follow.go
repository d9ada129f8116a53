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

// Update is a full list of targets, or a list of changed targets.
type Update struct {
	Revision uint64
	Complete bool // a full list
	Targets  []Target
}

const (
	ms, sec logic.Micros = 1000, 1000 * 1000

	// A change must take effect within maxNewsDelay of being known to a reachable discovery, whatever failed before.
	// Discovery answers at once and then sends something every heartbeat: a call without an answer for callTimeout, or
	// a watch that missed two heartbeats, counts as disconnected and is repeated. Together with the longest retry delay
	// and the time for the answer of the next call, each case stays within maxNewsDelay; a test checks the sums. Harm:
	// while discovery is down, its agent is asked again every few seconds.
	maxNewsDelay = 6 * sec
	heartbeat    = 2 * sec
	watchTimeout = 2 * heartbeat
	callTimeout  = 1500 * ms
	// A watch that lasted for stableAfter is renewed at once, others after a delay that doubles; otherwise a discovery
	// that always answers with unusable data would be asked in a tight loop.
	minRetryDelay, maxRetryDelay = 50 * ms, 400 * ms
	stableAfter                  = 2 * sec
	// tombstoneTime is how long the entry of a removed target is kept: delayed news may still name it.
	tombstoneTime = 60 * sec
)

// Follower applies lists of targets, and the changes to them that a watch delivers: it decides what is taken, when the
// full list is requested again, and when a watch is given up. It has no clock, goroutine or I/O.
type Follower struct {
	targets       map[string]*followed
	revision      uint64
	needsFullList bool // a change is missing, so the full list must be requested
	failures      int
	newestUse     int  // number of the newest discovery address, in order of use, that has delivered anything
	listTaken     bool // a list from discovery was taken
}

type followed struct {
	Target
	reportedStart logic.Micros // start as reported; Target holds it by this machine's clock
	goneAt        logic.Micros // when the target was removed; 0: it is in use
}

// NewFollower starts with the last known list and returns the nodes in it.
func NewFollower(now logic.Micros, known Update) (*Follower, []logic.Node) {
	f := &Follower{targets: map[string]*followed{}, revision: known.Revision}
	return f, f.apply(now, known)
}

// NextRequest returns what to request next: the full list, or the changes after a revision.
func (f *Follower) NextRequest() (whole bool, after uint64) { return f.needsFullList, f.revision }

// TimeoutAt returns when a call that began at the given time is to be given up if nothing more is received. heard is
// when something, possibly an empty line, was last received; 0: nothing yet.
func TimeoutAt(begun, heard logic.Micros) logic.Micros {
	if heard == 0 {
		return begun + callTimeout
	}
	return heard + watchTimeout
}

// WatchEnded records that a watch that began at the given time has ended or could not be set up. It returns the delay
// before the next one.
func (f *Follower) WatchEnded(now, begun logic.Micros) (delay logic.Micros) {
	if now-begun >= stableAfter {
		f.failures = 0
	}
	if f.failures > 0 {
		delay = min(minRetryDelay<<min(f.failures-1, 10), maxRetryDelay)
	}
	f.failures++
	return delay
}

// Accepts reports whether data from the use-th address is still taken. A watch that was replaced by a newer one must
// not undo what the newer one has delivered, since its list may be older. Harm: the old address is not used any more
// once the new one delivers.
func (f *Follower) Accepts(use int) bool { return use >= f.newestUse }

// Delivered records that the use-th address has delivered readable data.
func (f *Follower) Delivered(use int) { f.newestUse = max(f.newestUse, use) }

// MarkIncomplete records that something could not be read, so that a change is missing.
func (f *Follower) MarkIncomplete() { f.needsFullList = true }

// Receive applies what a watch has delivered; first is true for the first delivery of this watch. It returns the nodes
// that have changed, whether the watch must be given up to request the list again, and a complaint about what was
// ignored.
func (f *Follower) Receive(now logic.Micros, n Update, first bool) (changed []logic.Node, again bool, complaint error) {
	switch {
	case n.Complete:
		// A full list needs no earlier state, even if its revisions start again. A full list without targets comes from
		// a discovery that has lost its state; taking it would stop all work. Later changes still build on its
		// revision.
		f.needsFullList, f.revision = false, n.Revision
		if len(n.Targets) == 0 && f.countLive() > 0 {
			return nil, false, fmt.Errorf("discovery names no target; the last list stands")
		}
	case n.Revision < f.revision:
		// Discovery counts from the beginning again, at the start of a watch or during one. What it held before is
		// unknown, so that changes alone would leave targets in use that are draining or gone.
		f.needsFullList = true
		return nil, true, nil
	case n.Revision == f.revision && !first:
		return nil, false, nil // a repeated delivery
	}
	f.revision = n.Revision
	n.Targets, complaint = f.withoutDuplicateIDs(n.Targets)
	changed = f.apply(now, n)
	f.listTaken = true
	return changed, false, complaint
}

// withoutDuplicateIDs drops targets with the id of another target, which package logic could not distinguish.
func (f *Follower) withoutDuplicateIDs(list []Target) (kept []Target, complaint error) {
	names := map[logic.NodeID]string{}
	for name, t := range f.targets {
		if t.State != logic.Gone {
			names[t.ID] = name
		}
	}
	for _, t := range list {
		if other, ok := names[t.ID]; ok && other != t.Name {
			complaint = fmt.Errorf("discovery names %q and %q with the same id; the first is kept", other, t.Name)
			continue
		}
		names[t.ID] = t.Name
		kept = append(kept, t)
	}
	return kept, complaint
}

func (f *Follower) countLive() (n int) {
	for _, t := range f.targets {
		if t.State != logic.Gone {
			n++
		}
	}
	return n
}

// apply merges the entries and returns the nodes that have changed by them, ordered by id.
func (f *Follower) apply(now logic.Micros, n Update) (changed []logic.Node) {
	if n.Complete {
		named := map[string]bool{}
		for _, t := range n.Targets {
			named[t.Name] = true
		}
		for name, t := range f.targets {
			if !named[name] && t.State != logic.Gone {
				t.State, t.goneAt = logic.Gone, now
				changed = append(changed, t.Node)
			}
		}
	}
	for _, x := range n.Targets {
		reportedStart := x.Started
		t, known := f.targets[x.Name]
		if !known {
			if x.State == logic.Gone {
				continue
			}
			t = &followed{}
			f.targets[x.Name] = t
		}
		if known && reportedStart == t.reportedStart {
			x.Started = t.Started
		} else {
			x.Started = localStart(now, reportedStart, f.listTaken)
		}
		if known && t.Node == x.Node && t.Address == cmp.Or(x.Address, t.Address) {
			continue
		}
		x.Address = cmp.Or(x.Address, t.Address)
		t.Target, t.reportedStart, t.goneAt = x, reportedStart, 0
		if x.State == logic.Gone {
			t.goneAt = now
		}
		changed = append(changed, x.Node)
	}
	for name, t := range f.targets {
		if t.goneAt > 0 && now-t.goneAt > tombstoneTime {
			delete(f.targets, name)
		}
	}
	slices.SortFunc(changed, func(a, b logic.Node) int { return cmp.Compare(a.ID, b.ID) })
	return changed
}

// Targets returns all known targets, ordered by id.
func (f *Follower) Targets() (out []Target) {
	for _, t := range f.targets {
		out = append(out, t.Target)
	}
	slices.SortFunc(out, func(a, b Target) int { return cmp.Compare(a.ID, b.ID) })
	return out
}
