// Package members keeps the list of a gateway's storage nodes: which there are, whether they take work, and when their
// processes started. It merges the settings, the discovery log, the nodes' ANA log pages and the state of the
// connections into the node list that package logic receives. Type Follower does this for the platform's discovery.
//
// It guards against a directory that delivers late, repeats itself, flaps or loses its state. Harm: nodes that are
// taken out while their directory has just started stay in use until they fail.
//
// It has no clock, goroutine or I/O, and never depends on map order.
package members

import (
	"cmp"
	"fmt"
	"slices"

	"appleplank/logic"
)

// Known is a node as the settings describe it.
type Known struct {
	ID      logic.NodeID
	NQN     string
	Address string // from the settings; an address from the directory takes precedence
	Zone    int
	Cell    int
	Rating  float64
}

// Entry is a node as the directory lists it.
type Entry struct{ NQN, Address string }

// Members is the current list of nodes.
type Members struct {
	nodes        []*node // ordered by id
	byNQN        map[string]*node
	directory    bool // a directory is used
	listed       bool // the directory has given a list
	session      int  // connection to the directory that gave the list
	generation   uint64
	unknownNames map[string]bool
}

type node struct {
	Known
	address      string // address in use
	listed       bool
	draining     bool
	started      logic.Micros
	refusedAt    logic.Micros // when a connection to its address last failed; 0: one has succeeded since
	reported     logic.Node
	everReported bool
}

// New starts from the settings. With a directory no node is in use before the directory has listed it.
func New(known []Known, directory bool) *Members {
	m := &Members{byNQN: map[string]*node{}, directory: directory, unknownNames: map[string]bool{}}
	for _, k := range known {
		n := &node{Known: k, address: k.Address, listed: !directory}
		m.nodes = append(m.nodes, n)
		m.byNQN[k.NQN] = n
	}
	slices.SortFunc(m.nodes, func(a, b *node) int { return cmp.Compare(a.ID, b.ID) })
	return m
}

// ApplyList takes a discovery log page that arrived over the given connection; connections are counted from one. It
// returns a complaint if the page is ignored or lists an unknown node, otherwise "".
func (m *Members) ApplyList(session int, generation uint64, entries []Entry) (complaint string) {
	// A page without nodes comes from a directory that has lost its state, or from a mistake; taking it would stop all
	// work. The last list stays in use. Harm: the last node that is taken out stays in use.
	if len(entries) == 0 {
		return "the directory names no node; the last list stands"
	}
	// A page with a lower generation on the same connection was overtaken by newer ones. A new connection may lead to a
	// directory that was restarted and counts from the beginning.
	if m.listed && session == m.session && generation < m.generation {
		return fmt.Sprintf("the directory's list %d comes after %d; ignored", generation, m.generation)
	}
	matched := 0
	for _, e := range entries {
		if m.byNQN[e.NQN] != nil {
			matched++
		} else if !m.unknownNames[e.NQN] {
			m.unknownNames[e.NQN] = true
			complaint = fmt.Sprintf("the directory names %q, which no node of the settings is called", e.NQN)
		}
	}
	if matched == 0 {
		return "the directory names none of the settings' nodes; the last list stands"
	}
	m.listed, m.session, m.generation = true, session, generation
	for _, n := range m.nodes {
		n.listed = false
	}
	for _, e := range entries {
		if n := m.byNQN[e.NQN]; n != nil {
			n.listed = true
			n.address = cmp.Or(e.Address, n.Address)
		}
	}
	return complaint
}

// HasList reports whether a node list is known, either from the settings or from the directory.
func (m *Members) HasList() bool { return !m.directory || m.listed }

// Refused records that a connection to the node's address failed.
func (m *Members) Refused(id logic.NodeID, now logic.Micros) {
	if n := m.find(id); n != nil {
		n.refusedAt = max(now, 1)
	}
}

// Reached records a connection to a node and the age that its process reported; a negative age was not reported.
func (m *Members) Reached(id logic.NodeID, now, age logic.Micros) {
	n := m.find(id)
	if n == nil {
		return
	}
	switch {
	case age >= 0:
		// The reported age is as old as the message; a start that moves by less than the tolerance is the same start.
		if start := max(now-age, 1); start > n.started+startTolerance || start < n.started-startTolerance {
			n.started = start
		}
	case n.refusedAt > 0:
		// No age is reported, but connections failed before: the process counts as started now, so that the protection
		// of cold nodes applies. Harm: a node that was only disconnected is treated as cold once.
		n.started = max(now, 1)
	}
	n.refusedAt = 0
}

const startTolerance logic.Micros = 500_000

// SetDraining records what a node's own ANA log page reports: whether any group in use takes no new work.
func (m *Members) SetDraining(id logic.NodeID, draining bool) {
	if n := m.find(id); n != nil {
		n.draining = draining
	}
}

// Address returns the address of a node, or "" if none is known.
func (m *Members) Address(id logic.NodeID) string {
	if n := m.find(id); n != nil && n.listed {
		return n.address
	}
	return ""
}

func (m *Members) find(id logic.NodeID) *node {
	i, ok := slices.BinarySearchFunc(m.nodes, id, func(n *node, id logic.NodeID) int { return cmp.Compare(n.ID, id) })
	if !ok {
		return nil
	}
	return m.nodes[i]
}

// Changes appends the nodes that have changed since the last call, ordered by id.
func (m *Members) Changes(out []logic.Node) []logic.Node {
	if m.directory && !m.listed {
		return out
	}
	for _, n := range m.nodes {
		current := logic.Node{ID: n.ID, Zone: n.Zone, Cell: n.Cell, Started: n.started, Rating: n.Rating, State: logic.Ready}
		switch {
		case !n.listed:
			current.State = logic.Gone
		case n.draining:
			current.State = logic.Draining
		}
		if n.everReported && current == n.reported || !n.everReported && current.State == logic.Gone {
			continue
		}
		n.everReported, n.reported = true, current
		out = append(out, current)
	}
	return out
}

// Memory is the stored knowledge about a node beyond its settings. Times are ages, as in [logic.Snapshot].
type Memory struct {
	ID      logic.NodeID
	Started logic.Micros
	Refused logic.Micros
	Address string // from the directory
}

// Snapshot returns what is kept over a restart, ordered by id.
func (m *Members) Snapshot(now logic.Micros) (out []Memory) {
	age := func(at logic.Micros) logic.Micros {
		if at == 0 {
			return logic.Never
		}
		return now - at
	}
	for _, n := range m.nodes {
		out = append(out, Memory{n.ID, age(n.started), age(n.refusedAt), n.address})
	}
	return out
}

// Restore restores what an earlier process knew. A restored start is replaced only by one that differs, whether that
// was reported before or after, so that package logic does not take a known node for a new one. Which nodes are in use
// is not restored: the directory or the settings decide that.
func (m *Members) Restore(now logic.Micros, list []Memory) {
	at := func(age logic.Micros) logic.Micros {
		if age >= logic.Never/2 || age < 0 || now-age <= 0 {
			return 0
		}
		return now - age
	}
	for _, x := range list {
		n := m.find(x.ID)
		if n == nil {
			continue
		}
		if was := at(x.Started); n.started == 0 || was > n.started-startTolerance && was < n.started+startTolerance {
			n.started = was
		}
		n.refusedAt = cmp.Or(n.refusedAt, at(x.Refused))
	}
}
