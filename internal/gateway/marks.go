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

// marks stores the engine's marks of mirrored extents in the state folder. It implements [engine.Marks].
type marks struct {
	engine  *engine.Engine
	store   *state.Marks
	volumes []copies.Volume // in settings order
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

// restoreMarks opens the marks and restores the engine from them. The rest of the state only affects the quality of
// service, but the marks decide which copies hold valid data: a gateway that cannot read them does not start.
func (g *Gateway) restoreMarks() error {
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
	if err := m.restore(); err != nil {
		store.Close()
		return err
	}
	g.marks = m
	g.Engine.SetMarks(m)
	return nil
}

// restore loads the marks that an earlier process stored into the engine.
func (m *marks) restore() error {
	records, err := m.store.Load()
	if err != nil {
		return err
	}
	found, err := copies.RestoreMarks(records, m.volumes, m.region)
	if err != nil {
		return err
	}
	for _, r := range found.Unknown {
		m.log.Warn("a mark belongs to a volume that is not in the settings; it is kept", zap.Uint64("volume", r.Volume))
	}
	for _, k := range found.Marks {
		if err := m.engine.RestoreMark(k); err != nil {
			return err
		}
	}
	if len(found.Marks) > 0 {
		m.log.Info("stale regions to catch up", zap.Int("regions", len(found.Marks)))
	}
	if len(found.Replaced) == 0 {
		return nil
	}
	return m.store.Replace(found.Replaced, found.Replacements)
}

// logStaleness logs when copies of an extent become stale and when all of them are whole again.
func (m *marks) logStaleness(ctx context.Context) {
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
			extent := [2]int{x.Volume, x.Extent}
			before := stale[extent]
			stale[extent] = x.Stale
			if (before == 0) == (x.Stale == 0) {
				continue
			}
			logAt := m.log.Warn
			message := "copies have missed changes"
			if x.Stale == 0 {
				logAt, message = m.log.Info, "all copies are whole again"
			}
			logAt(message, zap.String("volume", m.volumes[x.Volume].Name), zap.Int("extent", x.Extent), zap.Int("regions", x.Stale), zap.Bools("whole", x.Whole))
		}
	}
}
