// Package config reads and checks an initiator's configuration file, and lists of targets in the form that discovery
// and the configuration file share.
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

// maxFileSize is the maximum size of the configuration file, maxIDLength that of a target's id, in bytes.
const (
	maxFileSize = 8 << 20
	maxIDLength = 128
)

// Config is a checked configuration.
type Config struct {
	Name, Listen, Discovery string
	Seed                    uint64
	Limits                  Limits
	Known                   members.Update // targets as this initiator last knew them
	Settings                *wire.Settings
	Logic                   logic.Settings
}

// Limits is the resources that the platform grants an initiator; 0 means not stated.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB float64 `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// file is the JSON form of the configuration.
type file struct {
	Name      string          `json:"name"`
	Listen    string          `json:"listen"`
	Discovery string          `json:"discovery"`
	Seed      string          `json:"seed"`
	Limits    Limits          `json:"limits"`
	Known     json.RawMessage `json:"known"`
	Settings  json.RawMessage `json:"settings"`
}

// Load reads the file named by ROUTER_CONFIG. ROUTER_NAME, ROUTER_LISTEN and ROUTER_DISCOVERY apply where the file
// leaves the field out.
func Load(env func(string) string) (*Config, error) {
	path := env("ROUTER_CONFIG")
	if path == "" {
		return nil, fmt.Errorf("ROUTER_CONFIG is not set")
	}
	info, err := os.Stat(path)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	if info.Size() > maxFileSize {
		return nil, fmt.Errorf("configuration: file of %d bytes exceeds the maximum of %d", info.Size(), maxFileSize)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	return Parse(text, env)
}

// Parse reads and checks a configuration. Errors name the invalid field.
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
		if err := CheckAddress(a.v); err != nil {
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
		return nil, fmt.Errorf("configuration: limits.cores is %v, must be between 0 and 1024", c.Limits.Cores)
	}
	if !(c.Limits.MemoryMB >= 0 && c.Limits.MemoryMB < 1<<20) {
		return nil, fmt.Errorf("configuration: limits.memory_mb is %v, must be at least 0 and below 1048576", c.Limits.MemoryMB)
	}
	if c.Limits.Sockets < 0 || c.Limits.Sockets > 0 && c.Limits.Sockets < minSockets {
		return nil, fmt.Errorf("configuration: limits.sockets is %d, must be 0 or at least %d", c.Limits.Sockets, minSockets)
	}
	if len(f.Settings) == 0 {
		return nil, fmt.Errorf("configuration: settings are missing")
	}
	s, err := wire.ParseSettings(f.Settings)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	c.Settings, c.Logic = s, s.Logic()
	// The initiator always watches discovery, so logic need not ask for a subscription.
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
		if c.Known, err = ParseNews(f.Known, s.Zones); err != nil {
			return nil, fmt.Errorf("configuration: known: %w", err)
		}
	}
	return c, nil
}

// minSockets is the minimum number of sockets that an initiator can serve with.
const minSockets = 64

// CheckAddress checks that a has the form host:port, with an IP address as host, as there is no DNS.
func CheckAddress(a string) error {
	host, port, err := net.SplitHostPort(a)
	if err != nil {
		return fmt.Errorf("%q is not of the form host:port: %w", a, err)
	}
	if net.ParseIP(host) == nil {
		return fmt.Errorf("%q: the host is not an IP address", a)
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 {
		return fmt.Errorf("%q: the port is not a number between 1 and 65535", a)
	}
	return nil
}

// targetList is the JSON form of a list of targets, or of changes to one.
type targetList struct {
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

// ParseNews parses a list of targets. Zones are the zone names of the settings, in their order.
func ParseNews(text []byte, zones []string) (members.Update, error) {
	var l targetList
	if err := json.Unmarshal(text, &l); err != nil {
		return members.Update{}, err
	}
	if l.Revision == nil {
		return members.Update{}, fmt.Errorf("the list has no revision")
	}
	n := members.Update{Revision: *l.Revision, Complete: l.Complete}
	for i, m := range l.Members {
		state, ok := phases[m.Phase]
		switch {
		case m.ID == "" || len(m.ID) > maxIDLength || !utf8.ValidString(m.ID):
			return members.Update{}, fmt.Errorf("members[%d]: id %.40q is empty, too long or not UTF-8", i, m.ID)
		case !ok:
			return members.Update{}, fmt.Errorf("members[%d] %s: phase %.40q is unknown", i, m.ID, m.Phase)
		case m.Cell < 0:
			return members.Update{}, fmt.Errorf("members[%d] %s: cell is %d, must not be negative", i, m.ID, m.Cell)
		case m.UpSince < 0:
			return members.Update{}, fmt.Errorf("members[%d] %s: up_since_ms is %d, must not be negative", i, m.ID, m.UpSince)
		}
		if state != logic.Gone {
			if err := CheckAddress(m.HostPort); err != nil {
				return members.Update{}, fmt.Errorf("members[%d] %s: host_port: %w", i, m.ID, err)
			}
		}
		n.Targets = append(n.Targets, members.Target{Name: m.ID, Address: m.HostPort, Node: logic.Node{
			ID: NodeID(m.ID), Zone: zoneIndex(zones, m.Locality), Cell: m.Cell, Started: logic.Micros(m.UpSince) * 1000,
			Rating: m.Size, State: state,
		}})
	}
	return n, nil
}

// NodeID returns the node ID of a target, derived from its name: it must be the same at every initiator, as hosts use
// it to take turns.
func NodeID(name string) logic.NodeID {
	h := fnv.New32a()
	h.Write([]byte(name))
	return logic.NodeID(h.Sum32())
}

// zoneIndex returns the index of a zone, or -1 if the settings do not name it.
func zoneIndex(zones []string, name string) int {
	for i, z := range zones {
		if z == name {
			return i
		}
	}
	return -1
}
