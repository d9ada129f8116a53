// Package fleet sets up a small fleet on loopback for the demo, tests and benchmarks: stand-in nodes, directories, and
// the settings of the gateways that use them.
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

// Shape describes a fleet.
type Shape struct {
	Nodes        int
	Gateways     int
	Node         standin.NodeConfig // of every node; New sets its NQN and namespaces and adds its index to the seed
	Volumes      []Volume
	NodeZones    []int  // zone of each node; left out of the settings if empty
	GatewayZones []int  // zone of each gateway; all 0 if only NodeZones is given
	Links        bool   // gateways reach nodes of other zones over links that can be cut; see Link
	Listed       bool   // the nodes are listed by a directory instead of the settings
	Head         string // shared settings of all gateways: classes, plans, rules
	Gateway      string // further arguments of gateway()
	Last         string // calls that follow the volumes
	More         string // further calls: times, bounds, state; %s is replaced by the gateway's name
}

// Volume is one volume of a fleet. All its extents have the same size, one for each entry of Cells.
type Volume struct {
	Name     string
	Plan     string
	Cells    []int
	Extent   int64   // size of an extent, in bytes
	Mirrors  [][]int // for each extent, the cells of its further copies; empty means no further copies
	Gateways []int   // indexes of the gateways that serve the volume
	Table    string  // name of a table in Head
	More     string  // further arguments of volume()
}

func (v *Volume) mirrorCells(extent int) []int {
	if len(v.Mirrors) == 0 {
		return nil
	}
	return v.Mirrors[extent]
}

// Size returns the size of the volume in bytes.
func (v *Volume) Size() int64 { return v.Extent * int64(len(v.Cells)) }

// Fleet is a set of running nodes, with the settings of their gateways on disk.
type Fleet struct {
	Dir         string
	Nodes       []*standin.Node
	Directories []*standin.Directory // one for each zone that has a gateway
	Settings    []string             // path of the settings file of each gateway
	Shape       Shape

	directoryZones []int // the zones that have a gateway, in the order of Directories
	links          map[[2]int]*standin.Link
	linkAddresses  map[[2]int]string // by zone of the gateway and node: the address through the link
}

// New starts the nodes and directories and writes the gateways' settings to dir.
func New(dir string, shape Shape) (f *Fleet, err error) {
	f = &Fleet{Dir: dir, Shape: shape}
	defer func() {
		if err != nil {
			f.Close()
		}
	}()
	namespaces := make([]map[uint32]int64, shape.Nodes)
	for i := range namespaces {
		namespaces[i] = map[uint32]int64{}
	}
	for i, v := range shape.Volumes {
		for j, cell := range v.Cells {
			namespaces[cell][uint32(i+1)] += v.Extent
			for _, cell := range v.mirrorCells(j) {
				namespaces[cell][uint32(i+1)] += v.Extent
			}
		}
	}
	for i := range shape.Nodes {
		cfg := shape.Node
		cfg.NQN = fmt.Sprintf("nqn.2026-12.example.standin:node%d", i)
		cfg.Namespaces, cfg.Seed = namespaces[i], cfg.Seed+uint64(i)
		n := standin.NewNode(cfg)
		if err := n.Up(true); err != nil {
			return f, err
		}
		f.Nodes = append(f.Nodes, n)
	}
	f.links, f.linkAddresses = map[[2]int]*standin.Link{}, map[[2]int]string{}
	for g := range shape.Gateways {
		zone := f.gatewayZone(g)
		if slices.Contains(f.directoryZones, zone) {
			continue
		}
		f.directoryZones = append(f.directoryZones, zone)
		for i, n := range f.Nodes {
			if shape.Links && shape.NodeZones[i] != zone {
				if f.linkAddresses[[2]int{zone, i}], err = f.Link(zone, shape.NodeZones[i]).Relay(n.Address); err != nil {
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
		if err := os.WriteFile(path, []byte(f.settingsScript(g)), 0o644); err != nil {
			return f, err
		}
		f.Settings = append(f.Settings, path)
	}
	return f, nil
}

func (f *Fleet) gatewayZone(g int) int {
	if len(f.Shape.GatewayZones) > 0 {
		return f.Shape.GatewayZones[g]
	}
	return 0
}

// Link returns the link by which gateways in zone from reach nodes in zone to, and creates it if necessary.
func (f *Fleet) Link(from, to int) *standin.Link {
	k := [2]int{from, to}
	if f.links[k] == nil {
		f.links[k] = standin.NewLink(uint64(from)<<32 | uint64(to))
	}
	return f.links[k]
}

// address returns the address at which gateways in a zone reach a node.
func (f *Fleet) address(zone, node int) string {
	if a, ok := f.linkAddresses[[2]int{zone, node}]; ok {
		return a
	}
	return f.Nodes[node].Address()
}

// List makes the directories list the nodes for which listed returns true.
func (f *Fleet) List(listed func(node int) bool) {
	for i, d := range f.Directories {
		var entries []standin.Entry
		for j, n := range f.Nodes {
			if listed(j) {
				entries = append(entries, standin.Entry{NQN: n.NQN(), Address: f.address(f.directoryZones[i], j)})
			}
		}
		d.SetEntries(entries)
	}
}

func (f *Fleet) settingsScript(g int) string {
	var b strings.Builder
	s := &f.Shape
	b.WriteString(s.Head)
	zone := ""
	if len(s.GatewayZones) > 0 {
		zone = fmt.Sprintf(", zone = %d", s.GatewayZones[g])
	} else if len(s.NodeZones) > 0 {
		zone = ", zone = 0"
	}
	fmt.Fprintf(&b, "gateway(name = \"gw%d\", hosts = %d, number = %d%s%s)\n", g, s.Gateways, g, zone, s.Gateway)
	b.WriteString(strings.ReplaceAll(s.More, "%s", fmt.Sprintf("gw%d", g)))
	if s.Listed {
		fmt.Fprintf(&b, "directory(address = %q)\n", f.Directories[slices.Index(f.directoryZones, f.gatewayZone(g))].Address())
	}
	for i, n := range f.Nodes {
		address := ""
		if !s.Listed {
			address = fmt.Sprintf("address = %q, ", f.address(f.gatewayZone(g), i))
		}
		zone := ""
		if len(s.NodeZones) > 0 {
			zone = fmt.Sprintf("zone = %d, ", s.NodeZones[i])
		}
		fmt.Fprintf(&b, "node(id = %d, cell = %d, %s%snqn = %q)\n", i+1, i, zone, address, n.NQN())
	}
	for i, v := range s.Volumes {
		socket := ""
		for _, t := range v.Gateways {
			if t == g {
				socket = fmt.Sprintf("socket = %q, ", f.socketName(g, v.Name))
			}
		}
		fmt.Fprintf(&b, "volume(id = %d, name = %q, plan = %q, gateways = %d, %stable = %s,%s extents = [\n", i+1, v.Name, v.Plan,
			max(len(v.Gateways), 1), socket, v.Table, v.More)
		allocated := map[int]int64{}
		for j, cell := range v.Cells {
			allocate := func(cell int) string {
				allocated[cell] += v.Extent
				return fmt.Sprintf("cell = %d, namespace = %d, base = B(%d)", cell, i+1, allocated[cell]-v.Extent)
			}
			fmt.Fprintf(&b, "    dict(size = B(%d), %s, mirrors = [", v.Extent, allocate(cell))
			for _, cell := range v.mirrorCells(j) {
				fmt.Fprintf(&b, "dict(%s), ", allocate(cell))
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

// Socket returns the path of a volume's socket at a gateway.
func (f *Fleet) Socket(g int, volume string) string {
	return filepath.Join(f.Dir, f.socketName(g, volume))
}

// Dial connects a client to a volume at a gateway. It retries until wait has passed, as the socket may not exist yet.
func (f *Fleet) Dial(g int, volume string, cfg standin.ClientConfig, wait time.Duration) (*standin.Client, error) {
	for deadline := time.Now().Add(wait); ; time.Sleep(10 * time.Millisecond) {
		c, err := standin.Dial(f.Socket(g, volume), cfg)
		if err == nil || time.Now().After(deadline) {
			return c, err
		}
	}
}

// Close stops all directories, links and nodes.
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

// Place is the location of one copy of a byte of a volume.
type Place struct {
	Node      int
	Namespace uint32
	Offset    int64
}

// FirstCopy returns the location of the first copy of the byte at an offset of a volume.
func (f *Fleet) FirstCopy(volume int, at int64) (node int, ns uint32, off int64) {
	p := f.Copies(volume, at)[0]
	return p.Node, p.Namespace, p.Offset
}

// Copies returns the locations of all copies of the byte at an offset of a volume.
func (f *Fleet) Copies(volume int, at int64) (places []Place) {
	v := &f.Shape.Volumes[volume]
	base := map[int]int64{}
	for i, cell := range v.Cells {
		for _, cell := range append([]int{cell}, v.mirrorCells(i)...) {
			if int64(i) == at/v.Extent {
				places = append(places, Place{cell, uint32(volume + 1), base[cell] + at%v.Extent})
			}
			base[cell] += v.Extent
		}
	}
	return places
}

// Head holds settings for a plain fleet: classes for reads, writes and bulk reads, all safe to retry, and three plans.
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

var errTimeout = errors.New("fleet: condition not met in time")

// Eventually polls until condition returns true, or returns an error after timeout.
func Eventually(timeout time.Duration, condition func() bool) error {
	for deadline := time.Now().Add(timeout); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			return errTimeout
		}
	}
	return nil
}

// FastNode returns the configuration of a node that answers at once, whatever its MDTS.
func FastNode() standin.NodeConfig {
	return standin.NodeConfig{WriteCache: true, InCapsule: 8192, Remember: 4 * time.Second}
}
