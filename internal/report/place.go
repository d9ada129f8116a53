package report

import (
	"errors"
	"fmt"
	"io"
	"io/fs"

	"appleplank/internal/settings"
	"appleplank/internal/state"
	"appleplank/logic"
	"appleplank/placing"
)

// Cells returns what is known about each cell from the settings and, if the gateway has saved one, from its state.
func Cells(cfg *settings.Config) ([]placing.Cell, error) {
	var cells []placing.Cell
	indexOf := map[int]int{}
	for _, n := range cfg.Nodes {
		if i, known := indexOf[n.Cell]; known { // nodes of one cell hold the same data, so the smallest counts
			cells[i].Capacity = min(cells[i].Capacity, n.Bytes)
			continue
		}
		indexOf[n.Cell] = len(cells)
		cells = append(cells, placing.Cell{ID: n.Cell, Zone: n.Zone, Ready: true, Capacity: n.Bytes})
	}
	for _, v := range cfg.Volumes {
		for _, x := range v.Extents {
			for _, p := range x.Copies {
				cells[indexOf[p.Cell]].Used += x.Len
			}
		}
	}
	if cfg.State.Dir == "" {
		return cells, nil
	}
	st, err := state.Read(cfg.State.Dir)
	if errors.Is(err, fs.ErrNotExist) {
		return cells, nil
	}
	if err != nil {
		return nil, err
	}
	for _, n := range st.Logic.Nodes {
		i, there := indexOf[n.Node.Cell]
		if !there {
			continue
		}
		c := &cells[i]
		c.Ready = n.Node.State == logic.Ready
		c.FailureShare = n.Failing
		c.Cold = n.Node.Started >= 0 && n.Node.Started < cfg.Logic.Rules.ColdTime // Started is an age in the saved state
	}
	return cells, nil
}

// Place writes the extents of a new volume of size bytes, as lines for its settings. The volume uses the same namespace
// at every cell.
func Place(w io.Writer, cfg *settings.Config, size, extent int64, copies int, namespace uint32) error {
	cells, err := Cells(cfg)
	if err != nil {
		return err
	}
	nextByte := map[int]int64{}
	for _, v := range cfg.Volumes { // start after the extents that are already in the namespace
		for _, x := range v.Extents {
			for _, p := range x.Copies {
				if p.Namespace == namespace {
					nextByte[p.Cell] = max(nextByte[p.Cell], p.Base+x.Len)
				}
			}
		}
	}
	for offset := int64(0); offset < size; offset += extent {
		n := min(extent, size-offset)
		ids, err := placing.Place(cells, cfg.Logic.Zone, n, copies)
		if err != nil {
			return err
		}
		placeCopy := func(cell int) string {
			nextByte[cell] += n
			return fmt.Sprintf("cell = %d, namespace = %d, base = B(%d)", cell, namespace, nextByte[cell]-n)
		}
		fmt.Fprintf(w, "    dict(size = B(%d), %s, mirrors = [", n, placeCopy(ids[0]))
		for _, id := range ids[1:] {
			fmt.Fprintf(w, "dict(%s), ", placeCopy(id))
		}
		if _, err := fmt.Fprintln(w, "]),"); err != nil {
			return err
		}
	}
	return nil
}
