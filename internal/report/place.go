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

// Cells is what settings and, where there is one, a gateway's state tell of the cells.
func Cells(cfg *settings.Config) ([]placing.Cell, error) {
	var cells []placing.Cell
	at := map[int]int{}
	for _, n := range cfg.Nodes {
		if i, there := at[n.Cell]; there { // nodes of one cell hold the same
			cells[i].Capacity = min(cells[i].Capacity, n.Bytes)
			continue
		}
		at[n.Cell] = len(cells)
		cells = append(cells, placing.Cell{ID: n.Cell, Zone: n.Zone, Ready: true, Capacity: n.Bytes})
	}
	for _, v := range cfg.Volumes {
		for _, x := range v.Extents {
			for _, p := range x.Copies {
				cells[at[p.Cell]].Used += x.Len
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
		i, there := at[n.Node.Cell]
		if !there {
			continue
		}
		c := &cells[i]
		c.Ready = n.Node.State == logic.Ready
		c.FailureShare = n.Failing
		c.Cold = n.Node.Started >= 0 && n.Node.Started < cfg.Logic.Rules.ColdTime // an age
	}
	return cells, nil
}

// Place writes extents for a new volume, as lines for its settings. Namespace is the one that it has at every cell.
func Place(w io.Writer, cfg *settings.Config, size, extent int64, copies int, namespace uint32) error {
	cells, err := Cells(cfg)
	if err != nil {
		return err
	}
	base := map[int]int64{}
	for _, v := range cfg.Volumes { // behind what lies there
		for _, x := range v.Extents {
			for _, p := range x.Copies {
				if p.Namespace == namespace {
					base[p.Cell] = max(base[p.Cell], p.Base+x.Len)
				}
			}
		}
	}
	for at := int64(0); at < size; at += extent {
		n := min(extent, size-at)
		ids, err := placing.Place(cells, cfg.Logic.Zone, n, copies)
		if err != nil {
			return err
		}
		place := func(cell int) string {
			base[cell] += n
			return fmt.Sprintf("cell = %d, namespace = %d, base = B(%d)", cell, namespace, base[cell]-n)
		}
		fmt.Fprintf(w, "    dict(size = B(%d), %s, mirrors = [", n, place(ids[0]))
		for _, id := range ids[1:] {
			fmt.Fprintf(w, "dict(%s), ", place(id))
		}
		if _, err := fmt.Fprintln(w, "]),"); err != nil {
			return err
		}
	}
	return nil
}
