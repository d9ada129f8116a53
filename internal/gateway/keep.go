package gateway

import (
	"context"
	"errors"
	"fmt"
	"os"
	"sync/atomic"
	"time"

	"appleplank/crossing"
	"appleplank/internal/engine"
	"appleplank/internal/state"
	"appleplank/logic"
	"appleplank/recall"

	"go.uber.org/zap"
)

// SaveCounts are totals since the start.
type SaveCounts struct{ Saved, Failed atomic.Uint64 }

// recall takes hold of the state folder and gives engine and members what of it still counts. What is wrong with the
// file never keeps a gateway from starting; another process that holds the folder does.
func (g *Gateway) recall() error {
	dir := g.cfg.State.Dir
	if dir == "" {
		return errors.Join(g.Engine.Restore(nil, true), g.Engine.RestoreCrossing(nil, nil, 0))
	}
	store, err := state.Open(dir, fmt.Sprintf("gateway %s, process %d", g.cfg.Name, os.Getpid()))
	if err != nil {
		return err
	}
	g.store = store
	log := g.log.Named("state")
	st, err := store.Load(g.cfg.Name)
	if err != nil {
		log.Warn("started without", zap.Error(err))
	}
	if st == nil {
		return errors.Join(g.Engine.Restore(nil, true), g.Engine.RestoreCrossing(nil, nil, 0))
	}
	// Mark it as used before anything is sent: a later start must not take it for the last word of this life.
	clean, quiet := st.Clean, st.Clean && st.Quiet
	st.Clean, st.Quiet = false, false
	marked := true
	if err := store.Save(st); err != nil {
		if ferr := store.Forget(); ferr != nil {
			marked = false
		}
		log.Warn("cannot be written; limits start at their lowest", zap.Error(err))
		g.Saves.Failed.Add(1)
	}
	return g.remember(st, clean, quiet, marked)
}

// remember gives engine and members what of a state still counts.
func (g *Gateway) remember(st *state.State, clean, quiet, marked bool) error {
	log := g.log.Named("state")
	age, how, complaint := recall.Age(st.Written, state.Now())
	if complaint != "" {
		log.Warn("how old it is cannot be told; most of it counts for nothing", zap.String("complaint", complaint))
	}
	var rows []engine.CrossingRow
	for _, r := range st.Crossed {
		rows = append(rows, engine.CrossingRow{Volume: r.Volume, Class: r.Class, Zone: r.Zone, Reason: engine.Reason(r.Reason), Attempts: r.Attempts, Out: r.Out, In: r.In})
	}
	budget := st.Budget
	if !recall.LimitsUsable(clean, marked, how) {
		budget = nil // what was spent since is not known
	}
	g.history.Restore(st.History, st.Crossed)
	if err := g.Engine.RestoreCrossing(rows, budget, age); err != nil {
		log.Warn("crossing", zap.Error(err))
	}
	memory := recall.Fade(st.Logic, age, how, recall.LimitsUsable(clean, marked, how))
	known := st.Members
	for i := range known {
		for _, at := range []*logic.Micros{&known[i].Started, &known[i].Refused} {
			if *at < logic.Never/2 && how != recall.Unknown {
				*at += age
			}
		}
	}
	g.mu.Lock()
	g.members.Restore(g.Engine.Now(), known)
	g.mu.Unlock()
	if err := g.Engine.Restore(&memory, !quiet); err != nil {
		log.Warn("started without", zap.Error(err))
		return g.Engine.Restore(nil, true)
	}
	log.Info("remembered", zap.Duration("age", time.Duration(age)*time.Microsecond), zap.Bool("exact", how == recall.Exact),
		zap.Bool("ended by itself", clean), zap.Int("nodes", len(memory.Nodes)), zap.Int("volumes", len(memory.Volumes)))
	return nil
}

// keep saves every so often. Trouble is said once when it begins and once when it ends.
func (g *Gateway) keep(ctx context.Context) {
	t := time.NewTicker(time.Duration(g.cfg.State.Every) * time.Microsecond)
	defer t.Stop()
	last := ""
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		err := g.save(false, false)
		switch {
		case err != nil && err.Error() != last:
			last = err.Error()
			g.log.Named("state").Warn("cannot be saved; service goes on", zap.Error(err))
		case err == nil && last != "":
			last = ""
			g.log.Named("state").Info("is saved again", zap.Uint64("failed", g.Saves.Failed.Load()))
		}
	}
}

// save writes what is known now. Clean says that nothing will be sent after it, quiet that nothing sent may still run.
func (g *Gateway) save(clean, quiet bool) error {
	err := g.store.Save(g.snapshot(clean, quiet))
	if err != nil {
		g.Saves.Failed.Add(1)
		return err
	}
	g.Saves.Saved.Add(1)
	return nil
}

func (g *Gateway) snapshot(clean, quiet bool) *state.State {
	m, now := g.Engine.Snapshot()
	rows, budget := g.Engine.Crossing()
	st := &state.State{Gateway: g.cfg.Name, Written: state.Now(), Clean: clean, Quiet: quiet, Logic: m, Budget: &budget}
	for _, r := range rows {
		st.Crossed = append(st.Crossed, crossing.Count{Volume: r.Volume, Class: r.Class, Zone: r.Zone, Reason: uint8(r.Reason), Attempts: r.Attempts, Out: r.Out, In: r.In})
	}
	if g.marks != nil {
		for _, m := range g.Engine.Mirrors() {
			x := &g.cfg.Volumes[m.Volume].Extents[m.Extent]
			c := state.Copies{Volume: g.cfg.Volumes[m.Volume].ID, From: x.Start, Len: x.Len, Whole: m.Whole, Stale: m.Stale, Moves: m.Tally.Moves,
				Caught: m.Tally.Caught, CaughtBytes: m.Tally.CaughtBytes, Refused: m.Tally.Refused}
			for _, p := range x.Copies {
				c.Cells = append(c.Cells, p.Cell)
			}
			st.Copies = append(st.Copies, c)
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.history.Record(time.Now().Unix(), st.Crossed)
	st.History = g.history.Clone()
	st.Members = g.members.Snapshot(now)
	return st
}

func (g *Gateway) closeStore() {
	if g.marks != nil {
		g.marks.store.Close()
	}
	if g.store != nil {
		g.store.Close()
	}
}
