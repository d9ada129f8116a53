// Package report writes tables and charts from a gateway's saved state, and extents for new volumes.
package report

import (
	"encoding/csv"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"appleplank/crossing"
	"appleplank/internal/engine"
	"appleplank/internal/settings"
	"appleplank/internal/state"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Row is the traffic on connections to nodes for one class, volume, zone and reason, with the names of the settings.
type Row struct {
	From                time.Time // start of the interval; zero if the row covers all time
	Class, Plan, Volume string
	Zone, To            int // zones of the gateway and of the node; below zero if unknown
	Reason              string
	Home, Withheld      bool // stayed in the zone; was withheld by the budget: the bytes are the avoided traffic
	Attempts            uint64
	Out, In             int64
}

// Crossing reads the traffic counts in the state folder of a gateway with these settings: the totals, or with overTime
// those of each interval.
func Crossing(cfg *settings.Config, overTime bool) ([]Row, error) {
	if cfg.State.Dir == "" {
		return nil, fmt.Errorf("report: the settings keep no state, so nothing is counted over restarts")
	}
	st, err := state.Read(cfg.State.Dir)
	if err != nil {
		return nil, err
	}
	var rows []Row
	addCounts := func(from time.Time, counts []crossing.Count) {
		for _, c := range counts {
			reason := engine.Reason(c.Reason)
			r := Row{From: from, Class: fmt.Sprint("class ", c.Class), Plan: "?", Volume: fmt.Sprint("volume ", c.Volume), Zone: cfg.Logic.Zone, To: c.Zone,
				Reason: reason.String(), Home: reason == engine.LocalZone, Withheld: reason == engine.Withheld, Attempts: c.Attempts, Out: c.Out, In: c.In}
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
	}
	if !overTime {
		addCounts(time.Time{}, st.Crossed)
		return rows, nil
	}
	for _, s := range st.History {
		addCounts(time.Unix(s.From, 0).UTC(), s.Counts)
	}
	return rows, nil
}

// columns are the headings of a row's columns, in order.
var columns = []string{"time", "class", "plan", "volume", "from zone", "to zone", "reason", "attempts", "bytes out", "bytes in"}

func (r *Row) columnValues() []string {
	at, zone := "", func(z int) string {
		if z < 0 {
			return "?"
		}
		return strconv.Itoa(z)
	}
	if !r.From.IsZero() {
		at = r.From.Format("2006-01-02 15:04")
	}
	return []string{at, r.Class, r.Plan, r.Volume, zone(r.Zone), zone(r.To), r.Reason, strconv.FormatUint(r.Attempts, 10),
		strconv.FormatInt(r.Out, 10), strconv.FormatInt(r.In, 10)}
}

// Table writes the rows as a readable table, followed by the totals.
func Table(w io.Writer, rows []Row) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	line := func(values []string) {
		for _, v := range values {
			fmt.Fprintf(t, "%s\t", v)
		}
		fmt.Fprintln(t)
	}
	line(columns)
	var withinZone, betweenZones, withheld int64
	for i := range rows {
		line(rows[i].columnValues())
		switch n := rows[i].Out + rows[i].In; {
		case rows[i].Withheld:
			withheld += n
		case rows[i].Home:
			withinZone += n
		default:
			betweenZones += n
		}
	}
	if err := t.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(w, "%d bytes crossed between zones, %d stayed at home; the budget withheld requests that would have cost %d\n", betweenZones, withinZone, withheld)
	return err
}

// CSV writes the rows as CSV with a header line.
func CSV(w io.Writer, rows []Row) error {
	c := csv.NewWriter(w)
	c.Write(columns)
	for i := range rows {
		c.Write(rows[i].columnValues())
	}
	c.Flush()
	return c.Error()
}

// Chart draws a bar chart of the bytes of each class to and from each zone. The extension of path selects the format:
// svg, png or pdf.
func Chart(path string, rows []Row) error {
	var classes []string
	var zones []int
	for _, r := range rows {
		if r.Withheld {
			continue
		}
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
	p.Title.Text = fmt.Sprintf("Bytes to and from nodes, gateway in zone %d", rows[0].Zone)
	p.Y.Label.Text = "MiB"
	p.Legend.Top = true
	const width = 18
	for i, z := range zones {
		values := make(plotter.Values, len(classes))
		for _, r := range rows {
			if r.To == z && !r.Withheld {
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

// ChartOverTime draws a line for the bytes between zones of each class, and a dashed one for the withheld bytes.
func ChartOverTime(path string, rows []Row) error {
	type series struct {
		class    string
		withheld bool
	}
	sums, times := map[series]map[int64]float64{}, []int64{}
	var lines []series
	for _, r := range rows {
		if r.Home || r.From.IsZero() {
			continue
		}
		l, at := series{r.Class, r.Withheld}, r.From.Unix()
		if sums[l] == nil {
			sums[l] = map[int64]float64{}
			lines = append(lines, l)
		}
		sums[l][at] += float64(r.Out+r.In) / (1 << 20)
		if !slices.Contains(times, at) {
			times = append(times, at)
		}
	}
	if len(lines) == 0 {
		return fmt.Errorf("report: nothing has crossed yet")
	}
	slices.Sort(times)
	slices.SortFunc(lines, func(a, b series) int { return strings.Compare(fmt.Sprint(a), fmt.Sprint(b)) })
	p := plot.New()
	p.Title.Text = fmt.Sprintf("Bytes between zones in %d minutes, gateway in zone %d", crossing.SlotLength/60, rows[0].Zone)
	p.Y.Label.Text = "MiB"
	p.X.Tick.Marker = plot.TimeTicks{Format: "02 15:04"}
	p.Legend.Top = true
	for i, l := range lines {
		var at plotter.XYs
		for _, t := range times { // an interval without a row counts as zero
			at = append(at, plotter.XY{X: float64(t), Y: sums[l][t]})
		}
		x, points, err := plotter.NewLinePoints(at)
		if err != nil {
			return err
		}
		name := l.class
		x.Color, points.Color = plotutil.Color(i), plotutil.Color(i)
		if l.withheld {
			name += ", withheld"
			x.Dashes = []vg.Length{vg.Points(4), vg.Points(3)}
		}
		p.Add(x, points)
		p.Legend.Add(name, x)
	}
	return p.Save(vg.Points(640), vg.Points(300), path)
}
