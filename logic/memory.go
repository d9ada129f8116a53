package logic

// What a host has learned, as plain data that outlasts its process. Nothing is decided here: how much of it still
// counts after a while is decided by whoever gives it back.

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
)

// Memory is what a host has learned. Times are ages: how long ago something was, in microseconds; below zero it
// lies ahead. Never stands for something that has not happened.
type Memory struct {
	Waits    float64 // smoothed wait at all nodes, in microseconds, WaitsAge ago
	WaitsAge Micros
	Vanish   float64 // smoothed share of lost attempts
	Unit     float64 // microseconds of a unit; 0: not seen
	Spare    float64 // virtual time of the second pass
	Turns    int
	Random   []byte // state of the host's random numbers; empty: it begins anew
	Taken    []Micros
	Extra    []Micros // further attempts in the budget's window
	Nodes    []NodeMemory
	Volumes  []VolumeMemory
}

// NodeMemory is what a host has learned of a node.
type NodeMemory struct {
	Node    Node // Started is an age here too; Never: long ago
	Window  [2]float64
	Halved  [2]Micros
	Missing int
	Rest    Micros // below zero: left alone for so long
	Latency float64
	Last    Micros
	Sent    Micros
	Wait    float64
	WaitAge Micros
	Down    Micros // the pause after failed connections, a length
	DownAge Micros
	Revived Micros
	Failing float64
	SentLog []Past // units sent within the overload time
	Served  []Past
}

// VolumeMemory is what a host has learned of a volume.
type VolumeMemory struct {
	ID       VolumeID
	Plan     int
	Attached float64
	Balance  float64
	Credited Micros
	Share    float64
	Last     Micros
	Store    float64 // the host's slice of the limit
	Stored   Micros
	Known    bool    // Store is what was left; otherwise what has been drawn since is not known
	OnTheWay float64 // units charged that may still arrive at a node
	Own      Past    // decaying sums, in units
	Others   Past
	Total    float64
	TotalAge Micros
}

// Past is an amount and how long ago it was.
type Past struct {
	Age   Micros
	Units float64
}

// Never is the age of what has not happened.
const Never = Micros(math.MaxInt64 / 4)

// Memory copies what the host has learned by now. Requests it holds are not part of it.
func (h *Host) Memory(now Micros) Memory {
	age := func(at Micros) Micros {
		if at == 0 {
			return Never
		}
		return now - at
	}
	past := func(r decayingSum) Past { return Past{age(r.at), r.sum} }
	pasts := func(l unitLog) (out []Past) {
		for _, e := range l {
			out = append(out, Past{now - e.at, e.units})
		}
		return out
	}
	m := Memory{Waits: h.meanWait, WaitsAge: age(h.meanWaitAt), Vanish: h.lossShare, Unit: h.unitTime, Spare: h.virtualTime, Turns: h.rotation}
	m.Random, _ = h.pcg.MarshalBinary()
	for _, at := range h.recentArrivals {
		m.Taken = append(m.Taken, now-at)
	}
	for _, at := range h.recentRetries {
		m.Extra = append(m.Extra, now-at)
	}
	for _, n := range h.sortedNodes {
		x := NodeMemory{Node: n.Node, Window: n.window, Halved: [2]Micros{age(n.reducedAt[0]), age(n.reducedAt[1])}, Missing: n.missingAnswers,
			Rest: age(n.backoffUntil), Latency: n.latency, Last: age(n.lastActive), Sent: age(n.sentAt), Wait: n.wait, WaitAge: age(n.waitAt),
			Down: n.connectBackoff, DownAge: age(n.connectFailedAt), Revived: age(n.presumedStart), Failing: n.failureShare, SentLog: pasts(n.sentLog),
			Served: pasts(n.servedLog)}
		x.Node.Started = age(n.Started)
		m.Nodes = append(m.Nodes, x)
	}
	for _, v := range h.roundRobin {
		if h.started && v.plan.Limit > 0 {
			h.updateTokens(v)
		}
		plan := slices.IndexFunc(h.settings.Plans, func(p Plan) bool { return p == *v.plan })
		m.Volumes = append(m.Volumes, VolumeMemory{ID: v.id, Plan: plan, Attached: v.attached, Balance: v.balance,
			Credited: age(v.creditedAt), Share: v.virtualTime, Last: age(v.lastUsed), Store: v.tokens, Stored: age(v.tokensAt), Known: true,
			OnTheWay: v.pending + v.abandoned, Own: past(v.ownRate), Others: past(v.otherRate), Total: v.totalRate, TotalAge: age(v.totalRateAt)})
	}
	return m
}

// Check finds what cannot be in a memory, whoever wrote it.
func (m *Memory) Check() error {
	var bad error
	ok := func(what string, at int, v ...float64) {
		for _, x := range v {
			if bad == nil && (math.IsNaN(x) || math.IsInf(x, 0)) {
				bad = fmt.Errorf("memory: %s %d holds %v", what, at, x)
			}
		}
	}
	positive := func(what string, at int, v ...float64) {
		ok(what, at, v...)
		for _, x := range v {
			if bad == nil && x < 0 {
				bad = fmt.Errorf("memory: %s %d holds %v, which is below zero", what, at, x)
			}
		}
	}
	positive("the host's figure", 0, m.Waits, m.Vanish, m.Unit, m.Spare)
	if m.Vanish > 1 {
		bad = cmp.Or(bad, fmt.Errorf("memory: a share of %v", m.Vanish))
	}
	for i, n := range m.Nodes {
		positive("node", i, n.Window[0], n.Window[1], n.Latency, n.Wait, n.Failing, n.Node.Rating)
		if n.Failing > 1 || n.Missing < 0 || n.Down < 0 || n.Node.State > Draining {
			bad = cmp.Or(bad, fmt.Errorf("memory: node %d cannot be so", i))
		}
		for _, p := range append(slices.Clone(n.SentLog), n.Served...) {
			positive("log of node", i, p.Units)
		}
	}
	for i, v := range m.Volumes {
		ok("volume", i, v.Balance, v.Store)
		positive("volume", i, v.OnTheWay, v.Attached, v.Share, v.Own.Units, v.Others.Units, v.Total)
	}
	return bad
}

// Remember gives a new host what it or an earlier one has learned. It must come before the first Step, at the time
// of that Step. Nodes are not in use before a list names them; volumes of plans that are not there are left out.
func (h *Host) Remember(now Micros, m Memory) error {
	if h.started {
		return fmt.Errorf("memory: the host has begun already")
	}
	if err := m.Check(); err != nil {
		return err
	}
	at := func(age Micros) Micros {
		if age >= Never/2 || now-age <= 0 {
			return 0
		}
		return now - age
	}
	back := func(p Past) decayingSum {
		if p.Age >= Never/2 {
			return decayingSum{}
		}
		return decayingSum{p.Units, now - p.Age}
	}
	backs := func(l []Past) (out unitLog) {
		for _, p := range l {
			out.add(now-p.Age, p.Units)
		}
		return out
	}
	if len(m.Random) > 0 {
		pcg := &rand.PCG{}
		if err := pcg.UnmarshalBinary(m.Random); err != nil {
			return fmt.Errorf("memory: %w", err)
		}
		h.pcg, h.rng = pcg, rand.New(pcg)
	}
	h.meanWait, h.meanWaitAt, h.lossShare, h.unitTime, h.virtualTime, h.rotation = m.Waits, at(m.WaitsAge), m.Vanish, m.Unit, m.Spare, m.Turns
	for _, age := range m.Taken {
		h.recentArrivals = append(h.recentArrivals, now-age)
	}
	for _, age := range m.Extra {
		h.recentRetries = append(h.recentRetries, now-age)
	}
	for _, x := range m.Nodes {
		n := &node{Node: x.Node, window: x.Window, reducedAt: [2]Micros{at(x.Halved[0]), at(x.Halved[1])}, missingAnswers: x.Missing,
			backoffUntil: at(x.Rest), latency: x.Latency, lastActive: at(x.Last), sentAt: at(x.Sent), wait: x.Wait, waitAt: at(x.WaitAge),
			connectBackoff: x.Down, connectFailedAt: at(x.DownAge), presumedStart: at(x.Revived), failureShare: x.Failing, sentLog: backs(x.SentLog),
			servedLog: backs(x.Served)}
		n.Started, n.State = at(x.Node.Started), Gone
		if h.nodes[n.ID] == nil {
			h.nodes[n.ID] = n
			h.sortedNodes = append(h.sortedNodes, n)
		}
	}
	slices.SortFunc(h.sortedNodes, func(a, b *node) int { return cmp.Compare(a.ID, b.ID) })
	for _, n := range h.sortedNodes {
		h.nodesByCell[n.Cell] = append(h.nodesByCell[n.Cell], n)
	}
	for _, x := range m.Volumes {
		if x.Plan < 0 || x.Plan >= len(h.settings.Plans) || h.volumes[x.ID] != nil || x.Attached < 1 {
			continue
		}
		plan := &h.settings.Plans[x.Plan]
		v := &volume{id: x.ID, plan: plan, attached: x.Attached, balance: x.Balance, creditedAt: at(x.Credited), virtualTime: x.Share,
			lastUsed: at(x.Last), ownRate: back(x.Own), otherRate: back(x.Others), totalRate: x.Total, totalRateAt: at(x.TotalAge)}
		// What has been drawn since is not known: as at a start without memory, the slice is at its lowest.
		if v.tokens, v.tokensAt = -plan.LimitSlack/x.Attached, now; x.Known {
			v.tokens, v.tokensAt = min(x.Store, plan.LimitBurst/x.Attached), at(x.Stored)
		}
		if x.OnTheWay > 0 {
			h.abandon(v, x.OnTheWay, now)
		}
		h.volumes[x.ID] = v
		h.roundRobin = append(h.roundRobin, v)
	}
	return nil
}
