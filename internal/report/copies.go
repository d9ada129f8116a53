package report

import (
	"fmt"
	"io"
	"text/tabwriter"

	"appleplank/internal/settings"
	"appleplank/internal/state"
)

// Copies writes a table of the copies of mirrored extents as of the gateway's last saved state. It returns an error if
// a copy is stale, so that scripts can wait until all have caught up.
func Copies(w io.Writer, cfg *settings.Config) error {
	if cfg.State.Dir == "" {
		return fmt.Errorf("report: the settings keep no state")
	}
	st, err := state.Read(cfg.State.Dir)
	if err != nil {
		return err
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(t, "volume\tfrom byte\tbytes\tcell\tcopy\tstale regions\tleads moved\tcaught up\trefused\t\n")
	stale := 0
	for _, c := range st.Copies {
		name := fmt.Sprint("volume ", c.Volume)
		for _, v := range cfg.Volumes {
			if v.ID == c.Volume {
				name = v.Name
			}
		}
		for i, cell := range c.Cells {
			status := "whole"
			if i >= len(c.Whole) || !c.Whole[i] {
				status = "stale"
			}
			fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%s\t%d\t%d\t%d bytes\t%d\t\n", name, c.From, c.Len, cell, status, c.Stale, c.Moves, c.CaughtBytes, c.Refused)
		}
		stale += c.Stale
	}
	if err := t.Flush(); err != nil {
		return err
	}
	if len(st.Copies) == 0 {
		_, err = fmt.Fprintln(w, "no extent is mirrored")
		return err
	}
	if stale > 0 {
		return fmt.Errorf("%d regions have a copy that missed changes", stale)
	}
	return nil
}
