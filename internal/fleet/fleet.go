// Package fleet sets up a small fleet on loopback: stand-in nodes, a directory, and the settings of gateways that use
// them. The demo, the tests and the measurements share it.
package fleet

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"appleplank/internal/standin"
)

// Shape is what a fleet looks like.
type Shape struct {
	Nodes    int
	Gateways int
	Node     standin.NodeConfig // what all nodes are like; names, addresses and namespaces are filled in
	Volumes  []Volume
	Zones    []int  // of the nodes; not told where empty
	At       []int  // zones of the gateways; all 0 where Zones is given and this is not
	Links    bool   // gateways reach nodes of other zones over links that can be cut; see Link
	Listed   bool   // a directory names the nodes, instead of the settings
	Head     string // settings that all gateways share: classes, plans, rules
	Gateway  string // more arguments of gateway()
	Last     string // calls that stand behind the volumes
	More     string // further calls: times, bounds, state; %s stands for the gateway's name
}

// Volume is one volume of a fleet. Its extents are of one size and lie on the cells in turn.
type Volume struct {
	Name    string
	Plan    string
	Cells   []int
	Extent  int64
	Mirrors [][]int // for each extent, the cells of its further copies; none where empty
	Through []int   // gateways
	Table   string  // name of a table in Head
	More    string  // further arguments of volume()
}

func (v *Volume) mirrors(extent int) []int {
	if len(v.Mirrors) == 0 {
		return nil
	}
	return v.Mirrors[extent]
}

// Size is the volume's bytes.
func (v *Volume) Size() int64 { return v.Extent * int64(len(v.Cells)) }

// Fleet is nodes that are up, and settings on disk.
type Fleet struct {
	Dir         string
	Nodes       []*standin.Node
	Directories []*standin.Directory // one for each zone with a gateway
	Settings    []string             // a file for each gateway
	Shape       Shape

	zones []int // of the directories
	links map[[2]int]*standin.Link
	over  map[[2]int]string // zone and node: address over the link
}

// New starts the nodes and writes the settings to dir.
func New(dir string, shape Shape) (f *Fleet, err error) {
	f = &Fleet{Dir: dir, Shape: shape}
	defer func() {
		if err != nil {
			f.Close()
		}
	}()
	spaces := make([]map[uint32]int64, shape.Nodes)
	for i := range spaces {
		spaces[i] = map[uint32]int64{}
	}
	for i, v := range shape.Volumes {
		for j, cell := range v.Cells {
			spaces[cell][uint32(i+1)] += v.Extent
			for _, cell := range v.mirrors(j) {
				spaces[cell][uint32(i+1)] += v.Extent
			}
		}
	}
	for i := range shape.Nodes {
		cfg := shape.Node
		cfg.NQN = fmt.Sprintf("nqn.2026-12.example.standin:node%d", i)
		cfg.Namespaces, cfg.Seed = spaces[i], cfg.Seed+uint64(i)
		n := standin.NewNode(cfg)
		if err := n.Up(true); err != nil {
			return f, err
		}
		f.Nodes = append(f.Nodes, n)
	}
	f.links, f.over = map[[2]int]*standin.Link{}, map[[2]int]string{}
	for g := range shape.Gateways {
		zone := f.gatewayZone(g)
		if slices.Contains(f.zones, zone) {
			continue
		}
		f.zones = append(f.zones, zone)
		for i, n := range f.Nodes {
			if shape.Links && shape.Zones[i] != zone {
				if f.over[[2]int{zone, i}], err = f.Link(zone, shape.Zones[i]).Relay(n.Address); err != nil {
					return f, err
				}
			}
		}
		if shape.Listed {
			d, err := standin.NewDirectory("127.0.0.1:0")
			if err != nil {
				return f, err
			}
			f.Directories = append(f.Directories, d)
		}
	}
	if shape.Listed {
		f.List(func(int) bool { return true })
	}
	for g := range shape.Gateways {
		path := filepath.Join(dir, fmt.Sprintf("gw%d.star", g))
		if err := os.WriteFile(path, []byte(f.settings(g)), 0o644); err != nil {
			return f, err
		}
		f.Settings = append(f.Settings, path)
	}
	return f, nil
}

func (f *Fleet) gatewayZone(g int) int {
	if len(f.Shape.At) > 0 {
		return f.Shape.At[g]
	}
	return 0
}

// Link is the link by which gateways of one zone reach nodes of another.
func (f *Fleet) Link(from, to int) *standin.Link {
	k := [2]int{from, to}
	if f.links[k] == nil {
		f.links[k] = standin.NewLink(uint64(from)<<32 | uint64(to))
	}
	return f.links[k]
}

// address is where gateways of a zone reach a node.
func (f *Fleet) address(zone, node int) string {
	if a, ok := f.over[[2]int{zone, node}]; ok {
		return a
	}
	return f.Nodes[node].Address()
}

// List has the directories name the nodes that are there.
func (f *Fleet) List(there func(node int) bool) {
	for i, d := range f.Directories {
		var entries []standin.Entry
		for j, n := range f.Nodes {
			if there(j) {
				entries = append(entries, standin.Entry{NQN: n.NQN(), Address: f.address(f.zones[i], j)})
			}
		}
		d.SetEntries(entries)
	}
}

func (f *Fleet) settings(g int) string {
	var b strings.Builder
	s := &f.Shape
	b.WriteString(s.Head)
	zone := ""
	if len(s.At) > 0 {
		zone = fmt.Sprintf(", zone = %d", s.At[g])
	} else if len(s.Zones) > 0 {
		zone = ", zone = 0"
	}
	fmt.Fprintf(&b, "gateway(name = \"gw%d\", hosts = %d, number = %d%s%s)\n", g, s.Gateways, g, zone, s.Gateway)
	b.WriteString(strings.ReplaceAll(s.More, "%s", fmt.Sprintf("gw%d", g)))
	if s.Listed {
		fmt.Fprintf(&b, "directory(address = %q)\n", f.Directories[slices.Index(f.zones, f.gatewayZone(g))].Address())
	}
	for i, n := range f.Nodes {
		address := ""
		if !s.Listed {
			address = fmt.Sprintf("address = %q, ", f.address(f.gatewayZone(g), i))
		}
		zone := ""
		if len(s.Zones) > 0 {
			zone = fmt.Sprintf("zone = %d, ", s.Zones[i])
		}
		fmt.Fprintf(&b, "node(id = %d, cell = %d, %s%snqn = %q)\n", i+1, i, zone, address, n.NQN())
	}
	for i, v := range s.Volumes {
		socket := ""
		for _, t := range v.Through {
			if t == g {
				socket = fmt.Sprintf("socket = %q, ", f.socketName(g, v.Name))
			}
		}
		fmt.Fprintf(&b, "volume(id = %d, name = %q, plan = %q, gateways = %d, %stable = %s,%s extents = [\n", i+1, v.Name, v.Plan,
			max(len(v.Through), 1), socket, v.Table, v.More)
		at := map[int]int64{}
		for j, cell := range v.Cells {
			place := func(cell int) string {
				at[cell] += v.Extent
				return fmt.Sprintf("cell = %d, namespace = %d, base = B(%d)", cell, i+1, at[cell]-v.Extent)
			}
			fmt.Fprintf(&b, "    dict(size = B(%d), %s, mirrors = [", v.Extent, place(cell))
			for _, cell := range v.mirrors(j) {
				fmt.Fprintf(&b, "dict(%s), ", place(cell))
			}
			b.WriteString("]),\n")
		}
		b.WriteString("])\n")
	}
	b.WriteString(s.Last)
	return b.String()
}

func (f *Fleet) socketName(g int, volume string) string {
	return fmt.Sprintf("gw%d-%s.sock", g, volume)
}

// Socket is the path of a volume's socket at a gateway.
func (f *Fleet) Socket(g int, volume string) string {
	return filepath.Join(f.Dir, f.socketName(g, volume))
}

// Dial connects a client to a volume, waiting a while for the socket to be there.
func (f *Fleet) Dial(g int, volume string, cfg standin.ClientConfig, wait time.Duration) (*standin.Client, error) {
	for limit := time.Now().Add(wait); ; time.Sleep(10 * time.Millisecond) {
		c, err := standin.Dial(f.Socket(g, volume), cfg)
		if err == nil || time.Now().After(limit) {
			return c, err
		}
	}
}

// Close ends all nodes and the directory.
func (f *Fleet) Close() error {
	for _, d := range f.Directories {
		d.Close()
	}
	for _, l := range f.links {
		l.Close()
	}
	for _, n := range f.Nodes {
		n.Crash()
	}
	return nil
}

// Place is where a copy of a byte of a volume lies.
type Place struct {
	Node      int
	Namespace uint32
	Offset    int64
}

// Where finds the first copy of a byte of a volume.
func (f *Fleet) Where(volume int, at int64) (node int, ns uint32, off int64) {
	p := f.Copies(volume, at)[0]
	return p.Node, p.Namespace, p.Offset
}

// Copies finds all copies of a byte of a volume.
func (f *Fleet) Copies(volume int, at int64) (out []Place) {
	v := &f.Shape.Volumes[volume]
	base := map[int]int64{}
	for i, cell := range v.Cells {
		for _, cell := range append([]int{cell}, v.mirrors(i)...) {
			if int64(i) == at/v.Extent {
				out = append(out, Place{cell, uint32(volume + 1), base[cell] + at%v.Extent})
			}
			base[cell] += v.Extent
		}
	}
	return out
}

// Head is settings for a plain fleet: reads, writes and bulk reads, safe to repeat, and three plans.
const Head = `
class_(name = "read", aim = ms(250), deadline = s(2), worth = 2, late_share = 0.2)
class_(name = "write", aim = ms(300), deadline = s(2), worth = 3, late_share = 0.2, in_order = True, writes = True)
class_(name = "bulk", aim = s(1), deadline = s(3), worth = 1, late_share = 0.1)
plan(name = "basic", rate = 60, reserve = 20, weight = 1, price = 0.8, limit = 120, limit_burst = 60, limit_slack = 12)
plan(name = "standard", rate = 60, reserve = 70, weight = 3)
plan(name = "priority", rate = 100, reserve = 80, weight = 6, price = 1.4)
TABLE = [dict(kind = "read", class_ = "read", up_to = KiB(128)), dict(kind = "read", class_ = "bulk"),
    dict(kind = "flush", class_ = "write"), dict(kind = "write", class_ = "write"),
    dict(kind = "discard", class_ = "write"), dict(kind = "write_zeroes", class_ = "write")]
`

var errTime = errors.New("fleet: not in time")

// Eventually waits until ok, or gives an error once the time is over.
func Eventually(limit time.Duration, ok func() bool) error {
	for end := time.Now().Add(limit); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			return errTime
		}
	}
	return nil
}

// Fast is a node that answers at once, of whatever its MDTS.
func Fast() standin.NodeConfig {
	return standin.NodeConfig{WriteCache: true, InCapsule: 8192, Remember: 4 * time.Second}
}
