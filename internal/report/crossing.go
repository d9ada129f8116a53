// Package report makes tables and charts of what a gateway has counted.
package report

import (
	"encoding/csv"
	"fmt"
	"io"
	"slices"
	"strconv"
	"text/tabwriter"

	"appleplank/internal/engine"
	"appleplank/internal/settings"
	"appleplank/internal/state"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Row is bytes that crossed connections to nodes, by what they were for, named as the settings name it.
type Row struct {
	Class, Plan, Volume string
	From, To            int // zones of gateway and node
	Reason              string
	Attempts            uint64
	Out, In             int64
}

// Crossing reads the ledger that a gateway of these settings keeps in its state folder.
func Crossing(cfg *settings.Config) ([]Row, error) {
	if cfg.State.Dir == "" {
		return nil, fmt.Errorf("report: the settings keep no state, so nothing is counted over restarts")
	}
	st, err := state.Read(cfg.State.Dir)
	if err != nil {
		return nil, err
	}
	var rows []Row
	for _, c := range st.Crossed {
		r := Row{Class: fmt.Sprint("class ", c.Class), Plan: "?", Volume: fmt.Sprint("volume ", c.Volume), From: cfg.Logic.Zone, To: c.Zone,
			Reason: engine.Reason(c.Reason).String(), Attempts: c.Attempts, Out: c.Out, In: c.In}
		if c.Class >= 0 && c.Class < len(cfg.Classes) {
			r.Class = cfg.Classes[c.Class]
		}
		for _, v := range cfg.Volumes {
			if v.ID == c.Volume {
				r.Volume, r.Plan = v.Name, cfg.Plans[v.Plan]
			}
		}
		rows = append(rows, r)
	}
	return rows, nil
}

// fields are a row's columns, in order.
var fields = []string{"class", "plan", "volume", "from zone", "to zone", "reason", "attempts", "bytes out", "bytes in"}

func (r *Row) values() []string {
	return []string{r.Class, r.Plan, r.Volume, strconv.Itoa(r.From), strconv.Itoa(r.To), r.Reason, strconv.FormatUint(r.Attempts, 10),
		strconv.FormatInt(r.Out, 10), strconv.FormatInt(r.In, 10)}
}

// Table writes rows for a person, and what crossed in all.
func Table(w io.Writer, rows []Row) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	line := func(values []string) {
		for _, v := range values {
			fmt.Fprintf(t, "%s\t", v)
		}
		fmt.Fprintln(t)
	}
	line(fields)
	var home, away int64
	for i := range rows {
		line(rows[i].values())
		if n := rows[i].Out + rows[i].In; rows[i].From == rows[i].To {
			home += n
		} else {
			away += n
		}
	}
	if err := t.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(w, "%d bytes crossed between zones, %d stayed at home\n", away, home)
	return err
}

// CSV writes rows for programs.
func CSV(w io.Writer, rows []Row) error {
	c := csv.NewWriter(w)
	c.Write(fields)
	for i := range rows {
		c.Write(rows[i].values())
	}
	c.Flush()
	return c.Error()
}

// Chart draws the bytes of each class to each zone; the format, svg, png or pdf, is the name's ending.
func Chart(path string, rows []Row) error {
	var classes []string
	var zones []int
	for _, r := range rows {
		if !slices.Contains(classes, r.Class) {
			classes = append(classes, r.Class)
		}
		if !slices.Contains(zones, r.To) {
			zones = append(zones, r.To)
		}
	}
	if len(classes) == 0 {
		return fmt.Errorf("report: nothing has crossed yet")
	}
	slices.Sort(classes)
	slices.Sort(zones)
	p := plot.New()
	p.Title.Text = fmt.Sprintf("Bytes to and from nodes, gateway in zone %d", rows[0].From)
	p.Y.Label.Text = "MiB"
	p.Legend.Top = true
	const width = 18
	for i, z := range zones {
		values := make(plotter.Values, len(classes))
		for _, r := range rows {
			if r.To == z {
				values[slices.Index(classes, r.Class)] += float64(r.Out+r.In) / (1 << 20)
			}
		}
		bars, err := plotter.NewBarChart(values, vg.Points(width))
		if err != nil {
			return err
		}
		bars.Color = plotutil.Color(i)
		bars.LineStyle.Width = 0
		bars.Offset = vg.Points(width * (float64(i) - float64(len(zones)-1)/2))
		p.Add(bars)
		p.Legend.Add(fmt.Sprintf("zone %d", z), bars)
	}
	p.NominalX(classes...)
	return p.Save(vg.Points(max(320, float64(60*len(classes)*len(zones)))), vg.Points(300), path)
}
