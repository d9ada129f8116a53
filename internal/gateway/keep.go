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

// SaveCounts counts successful and failed saves of the state since the start.
type SaveCounts struct{ Saved, Failed atomic.Uint64 }

// restoreState locks the state folder and restores from it what is still valid. A state file that cannot be used does
// not prevent a start; a folder that another process holds does.
func (g *Gateway) restoreState() error {
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
	// Clear the flags of a clean shutdown before anything is sent: a later start must not take this file for the final
	// state of this process.
	clean, quiet := st.Clean, st.Clean && st.Quiet
	st.Clean, st.Quiet = false, false
	markedUsed := true
	if err := store.Save(st); err != nil {
		if forgetErr := store.Forget(); forgetErr != nil {
			markedUsed = false
		}
		log.Warn("cannot be written; limits start at their lowest", zap.Error(err))
		g.Saves.Failed.Add(1)
	}
	return g.applyState(st, clean, quiet, markedUsed)
}

// applyState restores the engine and the members from the parts of a state that are still valid.
func (g *Gateway) applyState(st *state.State, clean, quiet, markedUsed bool) error {
	log := g.log.Named("state")
	age, trust, complaint := recall.Age(st.Written, state.Now())
	if complaint != "" {
		log.Warn("how old it is cannot be told; most of it counts for nothing", zap.String("complaint", complaint))
	}
	var rows []engine.CrossingRow
	for _, r := range st.Crossed {
		rows = append(rows, engine.CrossingRow{Volume: r.Volume, Class: r.Class, Zone: r.Zone, Reason: engine.Reason(r.Reason), Attempts: r.Attempts, Out: r.Out, In: r.In})
	}
	budget := st.Budget
	if !recall.LimitsUsable(clean, markedUsed, trust) {
		budget = nil // what was spent since the save is unknown
	}
	g.history.Restore(st.History, st.Crossed)
	if err := g.Engine.RestoreCrossing(rows, budget, age); err != nil {
		log.Warn("crossing", zap.Error(err))
	}
	restored := recall.Fade(st.Logic, age, trust, recall.LimitsUsable(clean, markedUsed, trust))
	known := st.Members
	for i := range known {
		for _, at := range []*logic.Micros{&known[i].Started, &known[i].Refused} {
			if *at < logic.Never/2 && trust != recall.Unknown {
				*at += age
			}
		}
	}
	g.mu.Lock()
	g.members.Restore(g.Engine.Now(), known)
	g.mu.Unlock()
	if err := g.Engine.Restore(&restored, !quiet); err != nil {
		log.Warn("started without", zap.Error(err))
		return g.Engine.Restore(nil, true)
	}
	log.Info("remembered", zap.Duration("age", time.Duration(age)*time.Microsecond), zap.Bool("exact", trust == recall.Exact),
		zap.Bool("ended by itself", clean), zap.Int("nodes", len(restored.Nodes)), zap.Int("volumes", len(restored.Volumes)))
	return nil
}

// savePeriodically saves the state at the interval of the settings until ctx ends. It logs an error when it first
// occurs or its text changes, and once when saving works again.
func (g *Gateway) savePeriodically(ctx context.Context) {
	t := time.NewTicker(time.Duration(g.cfg.State.Every) * time.Microsecond)
	defer t.Stop()
	lastError := ""
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		err := g.save(false, false)
		switch {
		case err != nil && err.Error() != lastError:
			lastError = err.Error()
			g.log.Named("state").Warn("cannot be saved; service goes on", zap.Error(err))
		case err == nil && lastError != "":
			lastError = ""
			g.log.Named("state").Info("is saved again", zap.Uint64("failed", g.Saves.Failed.Load()))
		}
	}
}

// save writes the current state. Clean states that nothing is sent after this save, quiet that nothing sent before can
// still be running at a node.
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
	learned, now := g.Engine.Snapshot()
	rows, budget := g.Engine.Crossing()
	st := &state.State{Gateway: g.cfg.Name, Written: state.Now(), Clean: clean, Quiet: quiet, Logic: learned, Budget: &budget}
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
