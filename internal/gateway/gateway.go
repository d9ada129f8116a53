// Package gateway puts a gateway together: fronts, engine, nodes and directory, and their lives.
package gateway

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"net"
	"slices"
	"sync"
	"time"

	"appleplank/crossing"
	"appleplank/internal/block"
	"appleplank/internal/engine"
	"appleplank/internal/front/dav"
	"appleplank/internal/front/ring"
	"appleplank/internal/nvme"
	"appleplank/internal/nvme/initiator"
	"appleplank/internal/settings"
	"appleplank/internal/state"
	"appleplank/logic"
	"appleplank/members"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
)

// Gateway is one running gateway.
type Gateway struct {
	cfg    *settings.Config
	log    *zap.Logger
	Engine *engine.Engine
	Rings  *ring.Server
	Dav    *dav.Server // nil: no listener
	nodes  map[logic.NodeID]*initiator.Node
	order  []logic.NodeID
	direct *initiator.Discovery

	mu      sync.Mutex
	members *members.Members
	history crossing.History // of what was counted

	store *state.Store // nil: nothing is kept
	Saves SaveCounts
	marks *marks // nil: there are no mirrored extents

	front     context.Context // ends all clients' sessions
	stopFront context.CancelFunc
	takeover  bool          // begins by taking over from a running process
	waiting   bool          // logic is told of no node yet; under mu
	handed    chan struct{} // closed when another process has taken over
}

// New makes a gateway and opens its sockets, so that what is wrong with them is told at once.
func New(cfg *settings.Config, log *zap.Logger) (*Gateway, error) {
	g, err := build(cfg, log)
	if err != nil {
		return nil, err
	}
	if err := g.recall(); err != nil {
		return nil, err
	}
	if err := g.recallMarks(); err != nil {
		g.closeStore()
		return nil, err
	}
	if g.Rings, err = ring.Listen(g.front, cfg, g.Engine, log.Named("ring")); err != nil {
		g.closeStore()
		return nil, err
	}
	if err := g.openDav(); err != nil {
		g.Rings.DropAdopted()
		g.closeStore()
		return nil, err
	}
	return g, nil
}

func (g *Gateway) openDav() (err error) {
	if len(g.cfg.Dav) > 0 {
		g.Dav, err = dav.Listen(g.cfg, g.Engine, g.log.Named("dav"))
	}
	return err
}

// build makes a gateway without sockets and state.
func build(cfg *settings.Config, log *zap.Logger) (*Gateway, error) {
	var seed [24]byte
	rand.Read(seed[:])
	le := binary.LittleEndian
	e, err := engine.New(cfg, le.Uint64(seed[:]), le.Uint64(seed[8:]), log.Named("engine"))
	if err != nil {
		return nil, err
	}
	g := &Gateway{cfg: cfg, log: log, Engine: e, nodes: map[logic.NodeID]*initiator.Node{}, handed: make(chan struct{})}
	g.front, g.stopFront = context.WithCancel(context.Background())
	var known []members.Known
	for _, n := range cfg.Nodes {
		known = append(known, members.Known{ID: n.ID, NQN: n.NQN, Address: n.Address, Zone: n.Zone, Cell: n.Cell, Rating: n.Rating})
	}
	g.members = members.New(known, cfg.Directory.Address != "")
	// The host's names are stable over restarts, so that nodes know it again.
	hostNQN := "nqn.2026-12.example.appleplank:" + cfg.Name
	var hostID [16]byte
	copy(hostID[:], fmt.Sprintf("%-16s", cfg.Name))
	us := func(t logic.Micros) time.Duration { return time.Duration(t) * time.Microsecond }
	for i, n := range cfg.Nodes {
		var namespaces []uint32
		for _, v := range cfg.Volumes {
			for _, x := range v.Extents {
				for _, p := range x.Copies {
					if p.Cell == n.Cell && !slices.Contains(namespaces, p.Namespace) {
						namespaces = append(namespaces, p.Namespace)
					}
				}
			}
		}
		g.nodes[n.ID] = initiator.NewNode(initiator.Config{
			ID: n.ID, NQN: n.NQN, HostNQN: hostNQN, HostID: hostID, Namespaces: namespaces,
			MaxOutstanding: cfg.Bounds.Depth, Queues: cfg.Bounds.IOQueues, Digests: cfg.Bounds.Digests,
			Timeout: us(cfg.Times.Connect), KeepAlive: us(cfg.Times.KeepAlive), Seed: le.Uint64(seed[16:]) + uint64(i),
			Now: e.Now, Log: log.Named("node").With(zap.Uint32("node", uint32(n.ID))),
			Address: func() string { return g.address(n.ID) },
		}, e, g)
		g.order = append(g.order, n.ID)
	}
	if cfg.Directory.Address != "" {
		g.direct = &initiator.Discovery{
			Address: cfg.Directory.Address, HostNQN: hostNQN, HostID: hostID, Timeout: us(cfg.Times.Connect),
			PollInterval: us(cfg.Directory.Every), Seed: le.Uint64(seed[:]), Now: e.Now, Log: log.Named("directory"),
			OnPage: g.listed,
		}
	}
	e.SetBack(g)
	return g, nil
}

// Run serves until ctx ends, then drains: nothing new is taken, everything held is answered, within the settings'
// time. Once hard ends it returns without waiting for that. Nothing of the gateway is left when it returns.
func (g *Gateway) Run(ctx, hard context.Context) error {
	back, stopBack := context.WithCancel(hard)
	defer stopBack()
	var nodes errgroup.Group
	for _, id := range g.order {
		nodes.Go(func() error { return g.nodes[id].Run(back) })
	}
	if g.direct != nil {
		nodes.Go(func() error { return g.direct.Run(back) })
	}
	stop := context.AfterFunc(hard, g.stopFront)
	defer stop()
	over := func(err error) error {
		g.stopFront()
		stopBack()
		nodes.Wait()
		g.Engine.Close()
		if g.Dav != nil {
			g.Dav.Close()
		}
		g.closeStore()
		return err
	}
	if g.takeover {
		if err := g.takeOver(ctx); err != nil {
			return over(fmt.Errorf("taking over: %w", err))
		}
	}
	g.news(func(*members.Members) {})
	if g.marks != nil {
		nodes.Go(func() error { g.marks.store.Run(back); return nil })
		nodes.Go(func() error { g.marks.watch(back); return nil })
	}
	if g.store != nil {
		nodes.Go(func() error { g.keep(back); return nil })
		nodes.Go(func() error { return g.listenControl(back) })
	}
	// Requests that come before the nodes are connected to would find them all down, and logic leaves such a node alone
	// for a while.
	g.reach(ctx)
	var rings errgroup.Group
	rings.Go(func() error { return g.Rings.Serve(g.front) })
	files, stopFiles := context.WithCancel(hard)
	defer stopFiles()
	cut, cutFiles := context.WithCancel(hard)
	defer cutFiles()
	var davs errgroup.Group
	if g.Dav != nil {
		davs.Go(func() error { return g.Dav.Serve(files, cut) })
	}
	select {
	case <-ctx.Done():
	case <-g.handed:
		g.log.Info("another process has taken over")
		cutFiles() // the next one waits for the catalogues
		stopFiles()
		davs.Wait()
		rings.Wait()
		return over(nil)
	}
	g.log.Info("draining")
	g.Rings.StartDraining()
	drain, cancel := context.WithTimeout(hard, time.Duration(g.cfg.Times.Drain)*time.Microsecond)
	stopCut := context.AfterFunc(drain, cutFiles)
	defer stopCut()
	stopFiles()
	davs.Wait() // what is under way still takes
	err := g.Engine.Drain(drain)
	for err == nil && g.Rings.Unanswered() > 0 { // answers on their way to the clients' rings
		pause(drain, time.Millisecond)
		err = drain.Err()
	}
	cancel()
	if t := g.Engine.Tally(); err != nil {
		err = fmt.Errorf("stopped with %d requests held: %w", t.Ops, err)
	} else {
		g.log.Info("drained")
	}
	g.stopFront()
	rings.Wait()
	quiet := g.Engine.Quiet() // before connections are cut, which ends what is out without telling how
	stopBack()
	nodes.Wait()
	g.Engine.Close()
	if g.Dav != nil {
		g.Dav.Close()
	}
	if g.store != nil {
		g.save(err == nil, quiet) // with nothing held and nothing sent any more, this is the last word
		g.closeStore()
	}
	return err
}

// reach waits until every node that is listed was connected to or could not be, for as long as a connection may take.
func (g *Gateway) reach(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(g.cfg.Times.Connect)*time.Microsecond)
	defer cancel()
	for g.direct != nil && !g.listedOnce() && ctx.Err() == nil {
		pause(ctx, time.Millisecond)
	}
	for _, id := range g.order {
		if g.address(id) == "" {
			continue
		}
		select {
		case <-g.nodes[id].FirstTryDone():
		case <-ctx.Done():
			return
		}
	}
}

func (g *Gateway) listedOnce() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.members.HasList()
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// Start implements [block.Back].
func (g *Gateway) Start(a *block.Attempt) { g.nodes[a.Node].Start(a) }

// Drop implements [block.Back].
func (g *Gateway) Drop(a *block.Attempt) { g.nodes[a.Node].Drop(a) }

// Node is one of the gateway's nodes, for its counts.
func (g *Gateway) Node(id logic.NodeID) *initiator.Node { return g.nodes[id] }

func (g *Gateway) address(id logic.NodeID) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.members.Address(id)
}

// news lets something be learned of the nodes and tells logic what that changes.
func (g *Gateway) news(learn func(m *members.Members)) {
	g.mu.Lock()
	learn(g.members)
	var list []logic.Node
	if !g.waiting {
		list = g.members.Changes(nil)
	}
	g.mu.Unlock()
	for _, n := range list {
		g.log.Info("node", zap.Uint32("node", uint32(n.ID)), zap.String("state", [...]string{"gone", "ready", "draining"}[n.State]))
	}
	if len(list) > 0 {
		g.Engine.Nodes(list)
		for _, n := range list {
			g.nodes[n.ID].RefreshAddress()
		}
	}
}

func (g *Gateway) listed(session int, d nvme.Discovery) {
	var entries []members.Entry
	for _, e := range d.Entries {
		if e.Transport == nvme.TransportTCP && e.Subsystem == nvme.SubsystemNVM {
			entries = append(entries, members.Entry{NQN: e.NQN, Address: net.JoinHostPort(e.Address, e.Service)})
		}
	}
	g.news(func(m *members.Members) {
		if c := m.ApplyList(session, d.Generation, entries); c != "" {
			g.log.Warn("directory", zap.String("complaint", c))
		}
	})
}

// Reached implements [initiator.Watcher].
func (g *Gateway) Reached(id logic.NodeID, age logic.Micros) {
	g.log.Info("node reached", zap.Uint32("node", uint32(id)), zap.Int64("process_age_us", int64(age)))
	g.news(func(m *members.Members) { m.Reached(id, g.Engine.Now(), age) })
}

// Refused implements [initiator.Watcher].
func (g *Gateway) Refused(id logic.NodeID) {
	g.news(func(m *members.Members) { m.Refused(id, g.Engine.Now()) })
}

// Draining implements [initiator.Watcher].
func (g *Gateway) Draining(id logic.NodeID, is bool) {
	g.news(func(m *members.Members) { m.SetDraining(id, is) })
}

// Lost implements [initiator.Watcher].
func (g *Gateway) Lost(id logic.NodeID, err error) {
	g.log.Warn("node lost", zap.Uint32("node", uint32(id)), zap.Error(err))
}
