// Package gateway assembles a gateway from its fronts, engine, node connections and discovery client, and runs and
// stops them in order.
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

// Gateway connects the fronts for clients with the storage nodes and keeps state over restarts. It is made by [New] or
// [Takeover] and served by Run.
type Gateway struct {
	cfg       *settings.Config
	log       *zap.Logger
	Engine    *engine.Engine
	Rings     *ring.Server
	Dav       *dav.Server // nil if no listener is configured
	nodes     map[logic.NodeID]*initiator.Node
	nodeIDs   []logic.NodeID
	discovery *initiator.Discovery

	mu      sync.Mutex
	members *members.Members
	history crossing.History // counters of the traffic between zones over time

	store *state.Store // nil if no state folder is configured
	Saves SaveCounts
	marks *marks // nil without mirrored extents

	frontCtx   context.Context // its end closes all client sessions
	stopFront  context.CancelFunc
	takeover   bool          // Run first takes over from a running process
	deferNodes bool          // hold back node changes from logic during a takeover; guarded by mu
	handedOver chan struct{} // closed once another process has taken over
}

// New builds a gateway, restores its state and opens its sockets, so that errors in these show before Run.
func New(cfg *settings.Config, log *zap.Logger) (*Gateway, error) {
	g, err := build(cfg, log)
	if err != nil {
		return nil, err
	}
	if err := g.restoreState(); err != nil {
		return nil, err
	}
	if err := g.restoreMarks(); err != nil {
		g.closeStore()
		return nil, err
	}
	if g.Rings, err = ring.Listen(g.frontCtx, cfg, g.Engine, log.Named("ring")); err != nil {
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

// build assembles a gateway without opening sockets or restoring state.
func build(cfg *settings.Config, log *zap.Logger) (*Gateway, error) {
	var seed [24]byte
	rand.Read(seed[:])
	le := binary.LittleEndian
	e, err := engine.New(cfg, le.Uint64(seed[:]), le.Uint64(seed[8:]), log.Named("engine"))
	if err != nil {
		return nil, err
	}
	g := &Gateway{cfg: cfg, log: log, Engine: e, nodes: map[logic.NodeID]*initiator.Node{}, handedOver: make(chan struct{})}
	g.frontCtx, g.stopFront = context.WithCancel(context.Background())
	var known []members.Known
	for _, n := range cfg.Nodes {
		known = append(known, members.Known{ID: n.ID, NQN: n.NQN, Address: n.Address, Zone: n.Zone, Cell: n.Cell, Rating: n.Rating})
	}
	g.members = members.New(known, cfg.Directory.Address != "")
	// The host NQN and ID are stable over restarts, so that nodes recognize the host.
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
		g.nodeIDs = append(g.nodeIDs, n.ID)
	}
	if cfg.Directory.Address != "" {
		g.discovery = &initiator.Discovery{
			Address: cfg.Directory.Address, HostNQN: hostNQN, HostID: hostID, Timeout: us(cfg.Times.Connect),
			PollInterval: us(cfg.Directory.Every), Seed: le.Uint64(seed[:]), Now: e.Now, Log: log.Named("directory"),
			OnPage: g.applyDiscoveryPage,
		}
	}
	e.SetBack(g)
	return g, nil
}

// Run serves until ctx ends, then drains: it accepts no new requests and answers those it holds within the drain time
// of the settings. Once abort ends, it returns without waiting for them. It also returns after another process has
// taken over. On return all goroutines, connections and files of the gateway are closed.
func (g *Gateway) Run(ctx, abort context.Context) error {
	backCtx, stopBack := context.WithCancel(abort)
	defer stopBack()
	var nodeGroup errgroup.Group
	for _, id := range g.nodeIDs {
		nodeGroup.Go(func() error { return g.nodes[id].Run(backCtx) })
	}
	if g.discovery != nil {
		nodeGroup.Go(func() error { return g.discovery.Run(backCtx) })
	}
	stopFrontAbort := context.AfterFunc(abort, g.stopFront)
	defer stopFrontAbort()
	shutdown := func(err error) error {
		g.stopFront()
		stopBack()
		nodeGroup.Wait()
		g.Engine.Close()
		if g.Dav != nil {
			g.Dav.Close()
		}
		g.closeStore()
		return err
	}
	if g.takeover {
		if err := g.takeOver(ctx); err != nil {
			return shutdown(fmt.Errorf("taking over: %w", err))
		}
	}
	g.updateMembers(func(*members.Members) {})
	if g.marks != nil {
		nodeGroup.Go(func() error { g.marks.store.Run(backCtx); return nil })
		nodeGroup.Go(func() error { g.marks.logStaleness(backCtx); return nil })
	}
	if g.store != nil {
		nodeGroup.Go(func() error { g.savePeriodically(backCtx); return nil })
		nodeGroup.Go(func() error { return g.listenControl(backCtx) })
	}
	// Requests that arrive before the nodes are connected would find all of them down, and logic does not use a node
	// again for some time after that.
	g.awaitNodes(ctx)
	var ringGroup errgroup.Group
	ringGroup.Go(func() error { return g.Rings.Serve(g.frontCtx) })
	davCtx, stopDav := context.WithCancel(abort)
	defer stopDav()
	davAbortCtx, abortDav := context.WithCancel(abort)
	defer abortDav()
	var davGroup errgroup.Group
	if g.Dav != nil {
		davGroup.Go(func() error { return g.Dav.Serve(davCtx, davAbortCtx) })
	}
	select {
	case <-ctx.Done():
	case <-g.handedOver:
		g.log.Info("another process has taken over")
		abortDav() // the next process waits for the catalogues
		stopDav()
		davGroup.Wait()
		ringGroup.Wait()
		return shutdown(nil)
	}
	g.log.Info("draining")
	g.Rings.StartDraining()
	drainCtx, cancel := context.WithTimeout(abort, time.Duration(g.cfg.Times.Drain)*time.Microsecond)
	stopDrainAbort := context.AfterFunc(drainCtx, abortDav)
	defer stopDrainAbort()
	stopDav()
	davGroup.Wait() // requests in progress may still submit to the engine
	err := g.Engine.Drain(drainCtx)
	for err == nil && g.Rings.Unanswered() > 0 { // answers not yet placed in the clients' rings
		sleepContext(drainCtx, time.Millisecond)
		err = drainCtx.Err()
	}
	cancel()
	if t := g.Engine.Tally(); err != nil {
		err = fmt.Errorf("stopped with %d requests held: %w", t.Ops, err)
	} else {
		g.log.Info("drained")
	}
	g.stopFront()
	ringGroup.Wait()
	quiet := g.Engine.Quiet() // before connections close, which ends outstanding attempts with an unknown outcome
	stopBack()
	nodeGroup.Wait()
	g.Engine.Close()
	if g.Dav != nil {
		g.Dav.Close()
	}
	if g.store != nil {
		g.save(err == nil, quiet) // the final state: no requests are held and none can be sent any more
		g.closeStore()
	}
	return err
}

// awaitNodes waits until the first connection attempt to every listed node has succeeded or failed, for at most the
// connect timeout.
func (g *Gateway) awaitNodes(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(g.cfg.Times.Connect)*time.Microsecond)
	defer cancel()
	for g.discovery != nil && !g.hasNodeList() && ctx.Err() == nil {
		sleepContext(ctx, time.Millisecond)
	}
	for _, id := range g.nodeIDs {
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

func (g *Gateway) hasNodeList() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.members.HasList()
}

// sleepContext waits for d or until ctx ends.
func sleepContext(ctx context.Context, d time.Duration) {
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

// Node returns a node of the gateway, for its counters.
func (g *Gateway) Node(id logic.NodeID) *initiator.Node { return g.nodes[id] }

func (g *Gateway) address(id logic.NodeID) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.members.Address(id)
}

// updateMembers applies update to the member list and passes the resulting node changes to logic.
func (g *Gateway) updateMembers(update func(m *members.Members)) {
	g.mu.Lock()
	update(g.members)
	var changed []logic.Node
	if !g.deferNodes {
		changed = g.members.Changes(nil)
	}
	g.mu.Unlock()
	for _, n := range changed {
		g.log.Info("node", zap.Uint32("node", uint32(n.ID)), zap.String("state", [...]string{"gone", "ready", "draining"}[n.State]))
	}
	if len(changed) > 0 {
		g.Engine.Nodes(changed)
		for _, n := range changed {
			g.nodes[n.ID].RefreshAddress()
		}
	}
}

// applyDiscoveryPage passes the NVMe/TCP subsystems of a discovery log page to the member list.
func (g *Gateway) applyDiscoveryPage(session int, d nvme.Discovery) {
	var entries []members.Entry
	for _, e := range d.Entries {
		if e.Transport == nvme.TransportTCP && e.Subsystem == nvme.SubsystemNVM {
			entries = append(entries, members.Entry{NQN: e.NQN, Address: net.JoinHostPort(e.Address, e.Service)})
		}
	}
	g.updateMembers(func(m *members.Members) {
		if complaint := m.ApplyList(session, d.Generation, entries); complaint != "" {
			g.log.Warn("directory", zap.String("complaint", complaint))
		}
	})
}

// Reached implements [initiator.Watcher].
func (g *Gateway) Reached(id logic.NodeID, age logic.Micros) {
	g.log.Info("node reached", zap.Uint32("node", uint32(id)), zap.Int64("process_age_us", int64(age)))
	g.updateMembers(func(m *members.Members) { m.Reached(id, g.Engine.Now(), age) })
}

// Refused implements [initiator.Watcher].
func (g *Gateway) Refused(id logic.NodeID) {
	g.updateMembers(func(m *members.Members) { m.Refused(id, g.Engine.Now()) })
}

// Draining implements [initiator.Watcher].
func (g *Gateway) Draining(id logic.NodeID, is bool) {
	g.updateMembers(func(m *members.Members) { m.SetDraining(id, is) })
}

// Lost implements [initiator.Watcher].
func (g *Gateway) Lost(id logic.NodeID, err error) {
	g.log.Warn("node lost", zap.Uint32("node", uint32(id)), zap.Error(err))
}
