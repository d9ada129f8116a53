package gateway

import (
	"context"
	"fmt"
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
	cfg    *settings.Config
	engine *engine.Engine
	store  *state.Marks
	log    *zap.Logger
}

func (m *marks) record(k engine.Mark) state.MarkRecord {
	v := &m.cfg.Volumes[k.Volume]
	x := &v.Extents[k.Extent]
	from := k.Region * m.cfg.Copies.Region
	p := x.Copies[k.Lead]
	return state.MarkRecord{Volume: v.ID, From: x.Start + from, Len: min(m.cfg.Copies.Region, x.Len-from), Cell: p.Cell, Namespace: p.Namespace}
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
	m := &marks{g.cfg, g.Engine, store, g.log.Named("copies")}
	records, err := store.Load()
	if err == nil {
		var old, with []state.MarkRecord
		if old, with, err = m.take(records); err == nil && len(old) > 0 {
			err = store.Replace(old, with)
		}
	}
	if err != nil {
		store.Close()
		return err
	}
	if len(records) > 0 {
		m.log.Info("regions to be caught up", zap.Int("regions", len(records)))
	}
	g.marks = m
	g.Engine.SetMarks(m)
	return nil
}

// take gives marks to the engine, those of volumes that are not known aside. Old are those whose regions are cut another
// way now, and with stands in their place.
func (m *marks) take(records []state.MarkRecord) (old, with []state.MarkRecord, err error) {
	leads := map[engine.Mark]int{} // by place, with no lead
	for _, r := range records {
		i := slices.IndexFunc(m.cfg.Volumes, func(v settings.Volume) bool { return v.ID == r.Volume })
		if i < 0 {
			m.log.Warn("a mark is of a volume that the settings do not have; it is kept", zap.Uint64("volume", r.Volume))
			continue
		}
		v := &m.cfg.Volumes[i]
		same := false
		for j := range v.Extents {
			x := &v.Extents[j]
			lo, hi := max(r.From, x.Start), min(r.From+r.Len, x.Start+x.Len)
			if lo >= hi {
				continue
			}
			lead := slices.IndexFunc(x.Copies, func(p settings.Place) bool { return p.Cell == r.Cell && p.Namespace == r.Namespace })
			if lead < 0 {
				return nil, nil, fmt.Errorf("copies: volume %q, %d bytes from %d: the copy at cell %d, namespace %d, may be the only whole one and is no copy any more; put it back until the others are caught up",
					v.Name, r.Len, r.From, r.Cell, r.Namespace)
			}
			if len(x.Copies) == 1 {
				continue
			}
			for n := (lo - x.Start) / m.cfg.Copies.Region; n*m.cfg.Copies.Region < hi-x.Start; n++ {
				k := engine.Mark{Volume: i, Extent: j, Mark: copies.Mark{Region: n}}
				before, twice := leads[k]
				if twice && before != lead {
					return nil, nil, fmt.Errorf("copies: volume %q, %d bytes from %d: parts of one region have different leads; set copies(region = …) back to %d bytes until all is caught up",
						v.Name, r.Len, r.From, r.Len)
				}
				if leads[k] = lead; twice {
					continue
				}
				k.Lead = lead
				if err := m.engine.RememberMark(k); err != nil {
					return nil, nil, err
				}
				mine := m.record(k)
				same = same || mine == r
				with = append(with, mine)
			}
		}
		if !same {
			old = append(old, r)
		}
	}
	return old, with, nil
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
			say(text, zap.String("volume", m.cfg.Volumes[x.Volume].Name), zap.Int("extent", x.Extent), zap.Int("regions", x.Stale), zap.Bools("whole", x.Whole))
		}
	}
}
