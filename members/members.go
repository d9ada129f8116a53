// Package members decides what a gateway believes of its storage nodes: which there are, whether they take work,
// and when their processes started. It joins what the settings, the discovery log, the nodes' ANA log pages and
// the connections tell into the node list that package logic is given.
//
// It guards against a directory that delivers late, repeats itself, flaps or loses its memory, and could harm
// where nodes truly are taken out while their directory has just started: they stay in use until they fail.
//
// It has no clock, goroutine or I/O, and never acts on map order.
package members

import (
	"cmp"
	"fmt"
	"slices"

	"appleplank/logic"
)

// Known is a node as the settings name it.
type Known struct {
	ID      logic.NodeID
	NQN     string
	Address string // from the settings; the directory's goes before it
	Zone    int
	Cell    int
	Rating  float64
}

// Entry is a node as the directory names it.
type Entry struct{ NQN, Address string }

// Members is the state of belief.
type Members struct {
	nodes     []*node // by id
	byNQN     map[string]*node
	directory bool // one is used
	listed    bool // and has given a list
	session   int  // connection to the directory that gave it
	gen       uint64
	strangers map[string]bool
}

type node struct {
	Known
	now       string // address in use
	listed    bool
	draining  bool
	started   logic.Micros
	refusedAt logic.Micros // when its address last took no connection; 0: it did since
	told      logic.Node
	ever      bool
}

// New starts from the settings. Where a directory is used no node is in use before the directory has named it.
func New(known []Known, directory bool) *Members {
	m := &Members{byNQN: map[string]*node{}, directory: directory, strangers: map[string]bool{}}
	for _, k := range known {
		n := &node{Known: k, now: k.Address, listed: !directory}
		m.nodes = append(m.nodes, n)
		m.byNQN[k.NQN] = n
	}
	slices.SortFunc(m.nodes, func(a, b *node) int { return cmp.Compare(a.ID, b.ID) })
	return m
}

// Listed takes a discovery log page that came over the given connection, counted from one. It gives a complaint
// where the page is not taken or names what nobody knows, else "".
func (m *Members) Listed(session int, gen uint64, entries []Entry) (complaint string) {
	// A page that names no node is a directory that has lost its memory, or a mistake: taken at its word, it
	// would stop all work. The last list stands. Harm: the last node that is taken out stays in use.
	if len(entries) == 0 {
		return "the directory names no node; the last list stands"
	}
	// Pages of one connection that go backward were overtaken by newer ones. A new connection may be to a
	// directory that was started anew and counts from the beginning.
	if m.listed && session == m.session && gen < m.gen {
		return fmt.Sprintf("the directory's list %d comes after %d; not taken", gen, m.gen)
	}
	ours := 0
	for _, e := range entries {
		if m.byNQN[e.NQN] != nil {
			ours++
		} else if !m.strangers[e.NQN] {
			m.strangers[e.NQN] = true
			complaint = fmt.Sprintf("the directory names %q, which no node of the settings is called", e.NQN)
		}
	}
	if ours == 0 {
		return "the directory names none of the settings' nodes; the last list stands"
	}
	m.listed, m.session, m.gen = true, session, gen
	for _, n := range m.nodes {
		n.listed = false
	}
	for _, e := range entries {
		if n := m.byNQN[e.NQN]; n != nil {
			n.listed = true
			n.now = cmp.Or(e.Address, n.Address)
		}
	}
	return complaint
}

// Listing tells whether a list of nodes is known: the settings', or one of the directory's.
func (m *Members) Listing() bool { return !m.directory || m.listed }

// Refused says that a node's address took no connection.
func (m *Members) Refused(id logic.NodeID, now logic.Micros) {
	if n := m.find(id); n != nil {
		n.refusedAt = max(now, 1)
	}
}

// Reached says that a node was connected to and what age its process tells; below zero: it does not.
func (m *Members) Reached(id logic.NodeID, now, age logic.Micros) {
	n := m.find(id)
	if n == nil {
		return
	}
	switch {
	case age >= 0:
		// The told age is as old as the message; a start that moves by less is the same start.
		if at := max(now-age, 1); at > n.started+sameStart || at < n.started-sameStart {
			n.started = at
		}
	case n.refusedAt > 0:
		// Nothing told, but it took no connections before: taken for a process that started just now, the guard
		// of cold nodes holds. Harm: a node that was only cut off is treated as cold once.
		n.started = max(now, 1)
	}
	n.refusedAt = 0
}

const sameStart logic.Micros = 500_000

// Draining says what a node's own ANA log page tells: whether any group that is used takes no new work.
func (m *Members) Draining(id logic.NodeID, is bool) {
	if n := m.find(id); n != nil {
		n.draining = is
	}
}

// Address is where a node is reached, "" where nobody has told.
func (m *Members) Address(id logic.NodeID) string {
	if n := m.find(id); n != nil && n.listed {
		return n.now
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

// News appends what has changed since it was last asked, by id.
func (m *Members) News(out []logic.Node) []logic.Node {
	if m.directory && !m.listed {
		return out
	}
	for _, n := range m.nodes {
		t := logic.Node{ID: n.ID, Zone: n.Zone, Cell: n.Cell, Started: n.started, Rating: n.Rating, State: logic.Ready}
		switch {
		case !n.listed:
			t.State = logic.Gone
		case n.draining:
			t.State = logic.Draining
		}
		if n.ever && t == n.told || !n.ever && t.State == logic.Gone {
			continue
		}
		n.ever, n.told = true, t
		out = append(out, t)
	}
	return out
}

// Memory is what is known of a node beyond its settings. Times are ages, as in [logic.Memory].
type Memory struct {
	ID      logic.NodeID
	Started logic.Micros
	Refused logic.Micros
	Address string // the directory's
}

// Memory copies what outlasts a restart, by id.
func (m *Members) Memory(now logic.Micros) (out []Memory) {
	age := func(at logic.Micros) logic.Micros {
		if at == 0 {
			return logic.Never
		}
		return now - at
	}
	for _, n := range m.nodes {
		out = append(out, Memory{n.ID, age(n.started), age(n.refusedAt), n.now})
	}
	return out
}

// Remember gives back what an earlier process knew. A start that is remembered is only moved by one that differs, told
// before or after, so that logic does not take a node it knows for a fresh one. Which nodes are there is not
// remembered: the directory or the settings say so.
func (m *Members) Remember(now logic.Micros, list []Memory) {
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
		if was := at(x.Started); n.started == 0 || was > n.started-sameStart && was < n.started+sameStart {
			n.started = was
		}
		n.refusedAt = cmp.Or(n.refusedAt, at(x.Refused))
	}
}
