package gateway

import (
	"context"
	"slices"
	"time"

	"appleplank/copies"
	"appleplank/internal/engine"
	"appleplank/internal/settings"
	"appleplank/internal/state"

	"go.uber.org/zap"
)

// marks keeps the engine's marks of mirrored extents in the state folder.
type marks struct {
	engine  *engine.Engine
	store   *state.Marks
	volumes []copies.Volume // in the order of the settings
	region  int64
	log     *zap.Logger
}

func (m *marks) record(k engine.Mark) copies.Record {
	return m.volumes[k.Volume].Record(k.Extent, k.Mark, m.region)
}

// Keep implements [engine.Marks].
func (m *marks) Keep(k engine.Mark) {
	m.store.Keep(m.record(k), func(err error) {
		if err != nil {
			m.log.Warn("a mark cannot be kept; changes that need it are refused", zap.Error(err))
		}
		m.engine.Kept(k, err == nil)
	})
}

// Forget implements [engine.Marks].
func (m *marks) Forget(k engine.Mark) {
	r := m.record(k)
	m.store.Forget(r.Volume, r.From)
}

// recallMarks opens the marks and gives them to the engine. Unlike the rest of the state they are not a matter of
// service but of what is true: a gateway that cannot read them does not start.
func (g *Gateway) recallMarks() error {
	if !slices.ContainsFunc(g.cfg.Volumes, func(v settings.Volume) bool { return v.Mirrored() }) {
		return nil
	}
	store, err := state.OpenMarks(g.cfg.State.Dir)
	if err != nil {
		return err
	}
	m := &marks{engine: g.Engine, store: store, region: g.cfg.Copies.Region, log: g.log.Named("copies")}
	for _, v := range g.cfg.Volumes {
		c := copies.Volume{ID: v.ID, Name: v.Name}
		for _, x := range v.Extents {
			e := copies.Extent{Start: x.Start, Len: x.Len}
			for _, p := range x.Copies {
				e.Copies = append(e.Copies, copies.CopyID{Cell: p.Cell, Namespace: p.Namespace})
			}
			c.Extents = append(c.Extents, e)
		}
		m.volumes = append(m.volumes, c)
	}
	if err := m.recall(); err != nil {
		store.Close()
		return err
	}
	g.marks = m
	g.Engine.SetMarks(m)
	return nil
}

// recall gives the engine what an earlier process has left.
func (m *marks) recall() error {
	records, err := m.store.Load()
	if err != nil {
		return err
	}
	found, err := copies.RestoreMarks(records, m.volumes, m.region)
	if err != nil {
		return err
	}
	for _, r := range found.Unknown {
		m.log.Warn("a mark is of a volume that the settings do not have; it is kept", zap.Uint64("volume", r.Volume))
	}
	for _, k := range found.Marks {
		if err := m.engine.RestoreMark(k); err != nil {
			return err
		}
	}
	if len(found.Marks) > 0 {
		m.log.Info("regions to be caught up", zap.Int("regions", len(found.Marks)))
	}
	if len(found.Replaced) == 0 {
		return nil
	}
	return m.store.Replace(found.Replaced, found.Replacements)
}

// watch says in the log when copies become stale and when all are whole again.
func (m *marks) watch(ctx context.Context) {
	t := time.NewTicker(time.Second)
	defer t.Stop()
	stale := map[[2]int]int{}
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		for _, x := range m.engine.Mirrors() {
			at := [2]int{x.Volume, x.Extent}
			was := stale[at]
			stale[at] = x.Stale
			if (was == 0) == (x.Stale == 0) {
				continue
			}
			say := m.log.Warn
			text := "copies have missed changes"
			if x.Stale == 0 {
				say, text = m.log.Info, "all copies are whole again"
			}
			say(text, zap.String("volume", m.volumes[x.Volume].Name), zap.Int("extent", x.Extent), zap.Int("regions", x.Stale), zap.Bools("whole", x.Whole))
		}
	}
}
