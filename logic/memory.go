package logic

// What a host has learned, as plain data that can outlive its process. This file takes no decisions: the caller that
// restores the data decides how much of it is still valid.

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
)

// Snapshot is what a host has learned, as data to be stored. Times are ages in microseconds: how long ago something
// happened, or, if negative, how far in the future it lies. Never stands for something that has not happened.
type Snapshot struct {
	Waits    float64 // smoothed wait at all nodes, in microseconds, as of WaitsAge ago
	WaitsAge Micros
	Vanish   float64 // smoothed share of lost attempts
	Unit     float64 // service time of a unit, in microseconds; 0: not known
	Spare    float64 // virtual time of the second pass
	Turns    int
	Random   []byte   // state of the random number generator; empty: use a new one
	Taken    []Micros // arrivals in the retry budget's window
	Extra    []Micros // retries in the retry budget's window
	Nodes    []NodeSnapshot
	Volumes  []VolumeSnapshot
}

// NodeSnapshot is what a host has learned about a node.
type NodeSnapshot struct {
	Node    Node // Started is an age here; Never: long ago
	Window  [2]float64
	Halved  [2]Micros
	Missing int
	Rest    Micros // if negative, nothing is sent for this long
	Latency float64
	Last    Micros
	Sent    Micros
	Wait    float64
	WaitAge Micros
	Down    Micros // the pause after failed connections, a duration
	DownAge Micros
	Revived Micros
	Failing float64
	SentLog []AgedUnits // units sent within the overload time
	Served  []AgedUnits
}

// VolumeSnapshot is what a host has learned about a volume.
type VolumeSnapshot struct {
	ID       VolumeID
	Plan     int
	Attached float64
	Balance  float64
	Credited Micros
	Share    float64
	Last     Micros
	Store    float64 // what the host's share of the limit holds
	Stored   Micros
	Known    bool      // Store is up to date; otherwise what was drawn since is not known
	OnTheWay float64   // units charged that may still reach a node
	Own      AgedUnits // decaying sums, in units
	Others   AgedUnits
	Total    float64
	TotalAge Micros
}

// AgedUnits is an amount of units and its age.
type AgedUnits struct {
	Age   Micros
	Units float64
}

// Never is the age of something that has not happened.
const Never = Micros(math.MaxInt64 / 4)

// Snapshot returns a copy of what the host has learned by now. Requests that it holds are not included.
func (h *Host) Snapshot(now Micros) Snapshot {
	age := func(at Micros) Micros {
		if at == 0 {
			return Never
		}
		return now - at
	}
	toPast := func(r decayingSum) AgedUnits { return AgedUnits{age(r.at), r.sum} }
	toPasts := func(l unitLog) (out []AgedUnits) {
		for _, e := range l {
			out = append(out, AgedUnits{now - e.at, e.units})
		}
		return out
	}
	m := Snapshot{Waits: h.meanWait, WaitsAge: age(h.meanWaitAt), Vanish: h.lossShare, Unit: h.unitTime,
		Spare: h.virtualTime, Turns: h.rotation}
	m.Random, _ = h.pcg.MarshalBinary()
	for _, at := range h.recentArrivals {
		m.Taken = append(m.Taken, now-at)
	}
	for _, at := range h.recentRetries {
		m.Extra = append(m.Extra, now-at)
	}
	for _, n := range h.sortedNodes {
		x := NodeSnapshot{Node: n.Node, Window: n.window, Halved: [2]Micros{age(n.reducedAt[0]), age(n.reducedAt[1])},
			Missing: n.missingAnswers,
			Rest:    age(n.backoffUntil), Latency: n.latency, Last: age(n.lastActive), Sent: age(n.sentAt),
			Wait: n.wait, WaitAge: age(n.waitAt),
			Down: n.connectBackoff, DownAge: age(n.connectFailedAt), Revived: age(n.presumedStart),
			Failing: n.failureShare, SentLog: toPasts(n.sentLog),
			Served: toPasts(n.servedLog)}
		x.Node.Started = age(n.Started)
		m.Nodes = append(m.Nodes, x)
	}
	for _, v := range h.roundRobin {
		if h.started && v.plan.Limit > 0 {
			h.updateTokens(v)
		}
		plan := slices.IndexFunc(h.settings.Plans, func(p Plan) bool { return p == *v.plan })
		m.Volumes = append(m.Volumes, VolumeSnapshot{ID: v.id, Plan: plan, Attached: v.attached, Balance: v.balance,
			Credited: age(v.creditedAt), Share: v.virtualTime, Last: age(v.lastUsed), Store: v.tokens,
			Stored: age(v.tokensAt), Known: true,
			OnTheWay: v.pending + v.abandoned, Own: toPast(v.ownRate), Others: toPast(v.otherRate),
			Total: v.totalRate, TotalAge: age(v.totalRateAt)})
	}
	return m
}

// Check returns an error if m holds values that no host can have stored.
func (m *Snapshot) Check() error {
	var problem error
	finite := func(what string, at int, v ...float64) {
		for _, x := range v {
			if problem == nil && (math.IsNaN(x) || math.IsInf(x, 0)) {
				problem = fmt.Errorf("memory: %s %d: value %v is not finite", what, at, x)
			}
		}
	}
	nonNegative := func(what string, at int, v ...float64) {
		finite(what, at, v...)
		for _, x := range v {
			if problem == nil && x < 0 {
				problem = fmt.Errorf("memory: %s %d: value %v is negative", what, at, x)
			}
		}
	}
	nonNegative("host", 0, m.Waits, m.Vanish, m.Unit, m.Spare)
	if m.Vanish > 1 {
		problem = cmp.Or(problem, fmt.Errorf("memory: share of lost attempts is %v, above 1", m.Vanish))
	}
	for i, n := range m.Nodes {
		nonNegative("node", i, n.Window[0], n.Window[1], n.Latency, n.Wait, n.Failing, n.Node.Rating)
		if n.Failing > 1 || n.Missing < 0 || n.Down < 0 || n.Node.State > Draining {
			problem = cmp.Or(problem,
				fmt.Errorf("memory: node %d: failure share, count, pause or state is out of range", i))
		}
		for _, p := range append(slices.Clone(n.SentLog), n.Served...) {
			nonNegative("log of node", i, p.Units)
		}
	}
	for i, v := range m.Volumes {
		finite("volume", i, v.Balance, v.Store)
		nonNegative("volume", i, v.OnTheWay, v.Attached, v.Share, v.Own.Units, v.Others.Units, v.Total)
	}
	return problem
}

// Restore restores in a new host what an earlier process has learned. It must be called before the first Step, with
// the time of that Step. Nodes are not used before a node list names them; volumes of unknown plans are skipped.
func (h *Host) Restore(now Micros, m Snapshot) error {
	if h.started {
		return fmt.Errorf("memory: the host has already started")
	}
	if err := m.Check(); err != nil {
		return err
	}
	toTime := func(age Micros) Micros {
		if age >= Never/2 || now-age <= 0 {
			return 0
		}
		return now - age
	}
	toSum := func(p AgedUnits) decayingSum {
		if p.Age >= Never/2 {
			return decayingSum{}
		}
		return decayingSum{p.Units, now - p.Age}
	}
	toLog := func(l []AgedUnits) (out unitLog) {
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
	h.meanWait, h.meanWaitAt, h.lossShare, h.unitTime, h.virtualTime, h.rotation = m.Waits, toTime(m.WaitsAge),
		m.Vanish, m.Unit, m.Spare, m.Turns
	for _, age := range m.Taken {
		h.recentArrivals = append(h.recentArrivals, now-age)
	}
	for _, age := range m.Extra {
		h.recentRetries = append(h.recentRetries, now-age)
	}
	for _, x := range m.Nodes {
		n := &node{Node: x.Node, window: x.Window, reducedAt: [2]Micros{toTime(x.Halved[0]), toTime(x.Halved[1])},
			missingAnswers: x.Missing,
			backoffUntil:   toTime(x.Rest), latency: x.Latency, lastActive: toTime(x.Last), sentAt: toTime(x.Sent),
			wait: x.Wait, waitAt: toTime(x.WaitAge),
			connectBackoff: x.Down, connectFailedAt: toTime(x.DownAge), presumedStart: toTime(x.Revived),
			failureShare: x.Failing, sentLog: toLog(x.SentLog),
			servedLog: toLog(x.Served)}
		n.Started, n.State = toTime(x.Node.Started), Gone
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
		v := &volume{id: x.ID, plan: plan, attached: x.Attached, balance: x.Balance, creditedAt: toTime(x.Credited),
			virtualTime: x.Share,
			lastUsed:    toTime(x.Last), ownRate: toSum(x.Own), otherRate: toSum(x.Others), totalRate: x.Total,
			totalRateAt: toTime(x.TotalAge)}
		// If what was drawn since is not known, the share starts at its lowest level, as without a snapshot.
		if v.tokens, v.tokensAt = -plan.LimitSlack/x.Attached, now; x.Known {
			v.tokens, v.tokensAt = min(x.Store, plan.LimitBurst/x.Attached), toTime(x.Stored)
		}
		if x.OnTheWay > 0 {
			h.abandon(v, x.OnTheWay, now)
		}
		h.addVolume(v)
	}
	return nil
}
