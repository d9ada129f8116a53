// Package config reads what the platform tells an initiator: its configuration file and the entries of discovery that
// stand in it.
package config

import (
	"cmp"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net"
	"os"
	"strconv"
	"unicode/utf8"

	"appleplank/internal/wire"
	"appleplank/logic"
	"appleplank/members"
)

// mostFile bounds the configuration file, mostID an id that a peer gives.
const (
	mostFile = 8 << 20
	mostID   = 128
)

// Config is a configuration that can be used.
type Config struct {
	Name, Listen, Discovery string
	Seed                    uint64
	Limits                  Limits
	Known                   members.Update // targets as this initiator last held them
	Settings                *wire.Settings
	Logic                   logic.Settings
}

// Limits is what the platform grants.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB float64 `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// file is the form of the configuration.
type file struct {
	Name      string          `json:"name"`
	Listen    string          `json:"listen"`
	Discovery string          `json:"discovery"`
	Seed      string          `json:"seed"`
	Limits    Limits          `json:"limits"`
	Known     json.RawMessage `json:"known"`
	Settings  json.RawMessage `json:"settings"`
}

// Load reads the file named by ROUTER_CONFIG. The other variables hold where the file leaves something out.
func Load(env func(string) string) (*Config, error) {
	path := env("ROUTER_CONFIG")
	if path == "" {
		return nil, fmt.Errorf("ROUTER_CONFIG is not set")
	}
	info, err := os.Stat(path)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	if info.Size() > mostFile {
		return nil, fmt.Errorf("configuration: %d bytes, more than %d", info.Size(), mostFile)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	return Parse(text, env)
}

// Parse reads a configuration whole, or says which field cannot be right.
func Parse(text []byte, env func(string) string) (*Config, error) {
	var f file
	if err := json.Unmarshal(text, &f); err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	c := &Config{
		Name: cmp.Or(f.Name, env("ROUTER_NAME")), Listen: cmp.Or(f.Listen, env("ROUTER_LISTEN")),
		Discovery: cmp.Or(f.Discovery, env("ROUTER_DISCOVERY")), Limits: f.Limits,
	}
	for _, a := range []struct{ field, v string }{{"listen", c.Listen}, {"discovery", c.Discovery}} {
		if err := Address(a.v); err != nil {
			return nil, fmt.Errorf("configuration: %s: %w", a.field, err)
		}
	}
	if f.Seed != "" {
		seed, err := strconv.ParseUint(f.Seed, 16, 64)
		if err != nil {
			return nil, fmt.Errorf("configuration: seed is %q, not 16 hex digits", f.Seed)
		}
		c.Seed = seed
	}
	if !(c.Limits.Cores >= 0 && c.Limits.Cores <= 1024) {
		return nil, fmt.Errorf("configuration: limits.cores is %v", c.Limits.Cores)
	}
	if !(c.Limits.MemoryMB >= 0 && c.Limits.MemoryMB < 1<<20) {
		return nil, fmt.Errorf("configuration: limits.memory_mb is %v", c.Limits.MemoryMB)
	}
	if c.Limits.Sockets < 0 || c.Limits.Sockets > 0 && c.Limits.Sockets < leastSockets {
		return nil, fmt.Errorf("configuration: limits.sockets is %d, fewer than %d", c.Limits.Sockets, leastSockets)
	}
	if len(f.Settings) == 0 {
		return nil, fmt.Errorf("configuration: there are no settings")
	}
	s, err := wire.ParseSettings(f.Settings)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	c.Settings, c.Logic = s, s.Logic()
	// The watch is kept whatever the module asks for, so it hears of changes by themselves.
	c.Logic.Subscribe = false
	if _, err := logic.New(c.Logic, c.Seed); err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	for i, x := range s.Classes {
		if x.Name == "" {
			return nil, fmt.Errorf("configuration: settings.classes[%d] has no name", i)
		}
	}
	for i, x := range s.ServiceLevels {
		if x.Name == "" {
			return nil, fmt.Errorf("configuration: settings.serviceLevels[%d] has no name", i)
		}
	}
	if len(f.Known) > 0 && string(f.Known) != "null" {
		if c.Known, err = News(f.Known, s.Zones); err != nil {
			return nil, fmt.Errorf("configuration: known: %w", err)
		}
	}
	return c, nil
}

// leastSockets is what an initiator needs to serve at all.
const leastSockets = 64

// Address checks the form host:port with a numeric host, as there is no DNS.
func Address(a string) error {
	host, port, err := net.SplitHostPort(a)
	if err != nil {
		return fmt.Errorf("%q is no address: %w", a, err)
	}
	if net.ParseIP(host) == nil {
		return fmt.Errorf("%q: the host is no IP address", a)
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 {
		return fmt.Errorf("%q: the port is none", a)
	}
	return nil
}

// list is discovery's form of a list of targets, or of changes to one.
type list struct {
	Revision *uint64 `json:"revision"`
	Complete bool    `json:"complete"`
	Members  []struct {
		ID       string  `json:"id"`
		HostPort string  `json:"host_port"`
		Locality string  `json:"locality"`
		Cell     int     `json:"cell"`
		Phase    string  `json:"phase"`
		Size     float64 `json:"size"`
		UpSince  int64   `json:"up_since_ms"`
	} `json:"members"`
}

var phases = map[string]logic.NodeState{"in_service": logic.Ready, "terminating": logic.Draining, "terminated": logic.Gone}

// News reads one list of discovery's. Zones are those of the settings, in their order.
func News(text []byte, zones []string) (members.Update, error) {
	var l list
	if err := json.Unmarshal(text, &l); err != nil {
		return members.Update{}, err
	}
	if l.Revision == nil {
		return members.Update{}, fmt.Errorf("a list without a revision")
	}
	n := members.Update{Revision: *l.Revision, Complete: l.Complete}
	for i, m := range l.Members {
		state, ok := phases[m.Phase]
		switch {
		case m.ID == "" || len(m.ID) > mostID || !utf8.ValidString(m.ID):
			return members.Update{}, fmt.Errorf("members[%d]: id is %.40q", i, m.ID)
		case !ok:
			return members.Update{}, fmt.Errorf("members[%d] %s: phase is %.40q", i, m.ID, m.Phase)
		case m.Cell < 0:
			return members.Update{}, fmt.Errorf("members[%d] %s: cell is %d", i, m.ID, m.Cell)
		case m.UpSince < 0:
			return members.Update{}, fmt.Errorf("members[%d] %s: up_since_ms is %d", i, m.ID, m.UpSince)
		}
		if state != logic.Gone {
			if err := Address(m.HostPort); err != nil {
				return members.Update{}, fmt.Errorf("members[%d] %s: host_port: %w", i, m.ID, err)
			}
		}
		n.Targets = append(n.Targets, members.Target{Name: m.ID, Address: m.HostPort, Node: logic.Node{
			ID: NodeID(m.ID), Zone: zone(zones, m.Locality), Cell: m.Cell, Started: logic.Micros(m.UpSince) * 1000,
			Rating: m.Size, State: state,
		}})
	}
	return n, nil
}

// NodeID is the same for a target at every initiator, as hosts share out turns by it.
func NodeID(name string) logic.NodeID {
	h := fnv.New32a()
	h.Write([]byte(name))
	return logic.NodeID(h.Sum32())
}

func zone(zones []string, name string) int {
	for i, z := range zones {
		if z == name {
			return i
		}
	}
	return -1
}
