package settings

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"appleplank/logic"
)

// Describe writes the settings, defaults included, as readable text.
func (c *Config) Describe(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	d := func(m logic.Micros) time.Duration { return time.Duration(m) * time.Microsecond }
	l := &c.Logic
	fmt.Fprintf(t, "gateway %s, number %d of %d, zone %d; files %v\n", c.Name, l.Number, l.Hosts, l.Zone, c.Files)
	fmt.Fprintf(t, "\nCLASS\tAIM\tDEADLINE\tWORTH\tLATE\tREPEAT\tIN ORDER\tWRITES\n")
	for i, x := range l.Classes {
		repeat := [...]string{"safe", "keyed", "unsafe"}[x.Repeat]
		if x.Repeat == logic.Dedup {
			repeat += fmt.Sprintf(" for %v by %s", d(x.RepeatWindow), [...]string{"all", "zone", "cell"}[x.Group])
		}
		fmt.Fprintf(t, "%s\t%v\t%v\t%v\t%v\t%s\t%v\t%v\n", c.Classes[i], d(x.Aim), d(x.Deadline), x.Worth, x.LateShare, repeat, x.InOrder, x.Writes)
	}
	fmt.Fprintf(t, "\nPLAN\tRATE\tRESERVE\tWEIGHT\tLIMIT\tBURST\tSLACK\n")
	for i, x := range l.Plans {
		limit := "none"
		if x.Limit > 0 {
			limit = fmt.Sprint(x.Limit)
		}
		fmt.Fprintf(t, "%s\t%v\t%v\t%v\t%s\t%v\t%v\n", c.Plans[i], x.Rate, x.Reserve, x.Weight, limit, x.LimitBurst, x.LimitSlack)
	}
	fmt.Fprintf(t, "\nNODE\tCELL\tZONE\tADDRESS\tNQN\n")
	for _, x := range c.Nodes {
		address := x.Address
		if address == "" {
			address = "by the directory"
		}
		fmt.Fprintf(t, "%d\t%d\t%d\t%s\t%s\n", x.ID, x.Cell, x.Zone, address, x.NQN)
	}
	for _, v := range c.Volumes {
		fmt.Fprintf(t, "\nVOLUME %s\tid %d, plan %s, %d bytes in blocks of %d, %d queues, %v gateways\n", v.Name, v.ID, c.Plans[v.Plan], v.Size,
			v.BlockSize, v.Queues, v.Attached)
		if v.Account != v.ID {
			fmt.Fprintf(t, "  account\tthat of volume %d\n", v.Account)
		}
		if v.Socket != "" {
			fmt.Fprintf(t, "  socket\t%s\n", v.Socket)
		}
		fmt.Fprintf(t, "  memory\t%d bytes; a unit is %d bytes, a request at least %v units\n", v.Memory, v.UnitBytes, v.MinUnits)
		for _, x := range v.Extents {
			for i, p := range x.Copies {
				what := "extent"
				if i > 0 {
					what = "  copy"
				}
				fmt.Fprintf(t, "  %s\t%d+%d at cell %d, namespace %d, from byte %d\n", what, x.Start, x.Len, p.Cell, p.Namespace, p.Base)
			}
		}
		for _, r := range v.Rows {
			size := "of any size"
			if r.UpTo > 0 {
				size = fmt.Sprintf("up to %d bytes", r.UpTo)
			}
			fmt.Fprintf(t, "  %s\t%s is a %s\n", r.Kind, size, c.Classes[r.Class])
		}
	}
	if c.Directory.Address != "" {
		fmt.Fprintf(t, "\ndirectory %s, asked at least every %v\n", c.Directory.Address, d(c.Directory.Every))
	}
	fmt.Fprintf(t, "times: answers %v before the deadline, connections within %v, keep-alive %v, drained within %v\n",
		d(c.Times.AnswerMargin), d(c.Times.Connect), d(c.Times.KeepAlive), d(c.Times.Drain))
	fmt.Fprintf(t, "bounds: %d commands over %d queues a node, %d bytes a request, %d bytes of buffers, %d bytes of a client's memory\n",
		c.Bounds.Depth, c.Bounds.IOQueues, c.Bounds.MaxRequestBytes, c.Bounds.Memory, c.Bounds.MaxClientMemory)
	if x := &c.Crossing; x.Rate > 0 {
		fmt.Fprintf(t, "crossing: %.0f bytes a second, %.0f at once", x.Rate, x.Burst)
		if x.Period > 0 {
			fmt.Fprintf(t, ", %.0f in %v", x.PerTime, d(x.Period))
		}
		fmt.Fprintf(t, "; %.0f%% held back; with %.0f%% of a zone lost %v times as much for %v\n", 100*x.HoldBack, 100*x.Lost, x.Bend, d(x.BendFor))
	}
	for _, x := range c.Dav {
		how := "plain HTTP"
		if x.Cert != "" {
			how = "TLS by " + x.Cert
		}
		fmt.Fprintf(t, "WebDAV on %s, %s, %d connections\n", x.Listen, how, x.Clients)
		for _, y := range x.Trees {
			fmt.Fprintf(t, "  %s\tvolume %q, read by %v, written by %v\n", y.Path, c.Volumes[y.Volume].Name, y.Read, y.Write)
		}
	}
	if x := &c.Copies; x.Region > 0 {
		fmt.Fprintf(t, "copies: a change is answered when %d hold it; regions of %d bytes, %d caught up at a time as %s on plan %s\n", x.Hold, x.Region,
			x.Together, c.Classes[x.Class], c.Plans[x.Plan])
	}
	if c.State.Dir != "" {
		fmt.Fprintf(t, "state: kept in %s, written every %v\n", c.State.Dir, d(c.State.Every))
	} else {
		fmt.Fprintf(t, "state: not kept\n")
	}
	return t.Flush()
}
