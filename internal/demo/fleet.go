// Package demo plays days of troubles through real gateways on loopback: stand-in nodes, a directory and ring clients
// in this process, each gateway in a process of its own, and at the end the report and the audit.
package demo

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"appleplank/internal/day"
	"appleplank/internal/fleet"
	"appleplank/internal/standin"
)

// Size of the demo's fleet.
const (
	nodes    = 8
	gateways = 3
)

var plans = []string{"basic", "standard", "priority"}

// Shape bounds what a day may name.
var Shape = day.Shape{Nodes: nodes, Gateways: gateways, Zones: 2, Plans: plans}

// Zones of nodes and gateways, on days that have links.
var nodeZones, gatewayZones = []int{0, 1, 0, 1, 0, 1, 0, 1}, []int{0, 1, 0}

const (
	tipOver = 4.0
	tipTime = time.Second
)

// head is the settings that the demo's gateways share.
const head = `
class_(name = "read", aim = ms(250), deadline = s(2), worth = 2, late_share = 0.2)
class_(name = "save", aim = ms(300), deadline = s(2.5), worth = 3, late_share = 0.2, repeat = "keyed", group = "cell",
    remembers = s(4), in_order = True, writes = True)
class_(name = "journal", aim = ms(400), deadline = s(3), worth = 3, late_share = 0.2, repeat = "unsafe",
    in_order = True, writes = True)
class_(name = "sync", aim = ms(400), deadline = s(3), worth = 1, late_share = 0.2)
class_(name = "report", aim = s(1), deadline = s(4), worth = 1, late_share = 0.1)
class_(name = "copy", aim = s(1), deadline = s(4), worth = 0.1, late_share = 0.5, in_order = True, writes = True)
plan(name = "basic", rate = 60, reserve = 20, weight = 1, price = 0.8, limit = 120, limit_burst = 60, limit_slack = 12)
plan(name = "standard", rate = 60, reserve = 60, weight = 3)
plan(name = "priority", rate = 100, reserve = 80, weight = 6, price = 1.4)
plan(name = "catch-up", rate = 60, weight = 0.1)
rules(answer_slack = ms(100), stop_sending = s(1), order_pause = ms(300),
    cold_from = 0.2, cold_time = s(5), cold_units = 50, overload_time = s(1), tip_multiple = 4,
    budget_window = s(1), budget_free = 5, budget_per_take = 0.2)
TABLE = [dict(kind = "read", class_ = "read", up_to = KiB(128)), dict(kind = "read", class_ = "report"),
    dict(kind = "write", class_ = "save", up_to = KiB(16)), dict(kind = "write", class_ = "journal"),
    dict(kind = "flush", class_ = "sync"), dict(kind = "discard", class_ = "journal"),
    dict(kind = "write_zeroes", class_ = "journal")]
`

func shape(record, zoned bool) fleet.Shape {
	s := fleet.Shape{
		Nodes: nodes, Gateways: gateways, Listed: true, Head: head,
		Gateway: ", unit_mean = 1.4, unit_top = 8, max_attempts = 4, tells_elsewhere = True",
		More: "times(keep_alive = s(4), connect = s(1), drain = s(6))\nbounds(memory = MiB(192), depth = 64)\n" +
			"state(dir = \"state-%s\", every = ms(200))\n",
		Node: standin.NodeConfig{Cores: 2, Base: 11 * time.Millisecond, PerKiB: 60 * time.Microsecond, QueueMost: 64,
			ColdFrom: 0.2, ColdTime: 5 * time.Second, TipOver: tipOver, TipTime: tipTime, PutOff: 0.2, PutOffGo: time.Second, PauseEvery: 4 * time.Second, PauseFor: 60 * time.Millisecond,
			Remember: 4 * time.Second, WriteCache: true, InCapsule: 8192, Record: record},
	}
	for i := range 9 {
		v := fleet.Volume{Name: fmt.Sprintf("%s%d", plans[i%3], i/3), Plan: plans[i%3], Extent: 8 << 20, Table: "TABLE"}
		for j := range 4 {
			v.Cells = append(v.Cells, (i*3+j*2+j/2)%nodes)
		}
		v.Gateways = []int{i % gateways}
		if i%2 == 0 {
			v.Gateways = append(v.Gateways, (i+1)%gateways)
		}
		s.Volumes = append(s.Volumes, v)
	}
	if !zoned {
		return s
	}
	s.NodeZones, s.GatewayZones, s.Links, s.Node.Volatile = nodeZones, gatewayZones, true, true
	s.More += "copies(class_ = \"copy\", plan = \"catch-up\", region = KiB(128))\n"
	for g := range gateways { // all their data lies in the gateway's zone and in the other
		v := fleet.Volume{Name: fmt.Sprint("mirror", g), Plan: "standard", Extent: 4 << 20, Table: "TABLE", Gateways: []int{g}}
		for j := range 3 {
			home := 2*((g+j)%4) + gatewayZones[g]
			v.Cells, v.Mirrors = append(v.Cells, home), append(v.Mirrors, []int{home ^ 1})
		}
		s.Volumes = append(s.Volumes, v)
	}
	return s
}

// Options say how to run.
type Options struct {
	Dir string // for sockets, settings and logs
	// Spawn makes the command of a gateway's process, which may take over from one that runs.
	Spawn func(settings string, takeover bool) *exec.Cmd
	Out   io.Writer
	Live  bool // Out is a terminal: one line that changes
	Seed  uint64
}

// process is a gateway's.
type process struct {
	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
	start  func(takeover bool) (*exec.Cmd, error)
}

func (p *process) up(takeover bool) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	cmd, err := p.start(takeover)
	if err != nil {
		return err
	}
	p.cmd, p.exited = cmd, make(chan struct{})
	go func(exited chan struct{}) {
		cmd.Wait()
		close(exited)
	}(p.exited)
	return nil
}

// takeOver starts a process beside the one that runs, and waits until that has ended by itself.
func (p *process) takeOver() error {
	p.mu.Lock()
	old, exited := p.cmd, p.exited
	p.mu.Unlock()
	if err := p.up(true); err != nil {
		return err
	}
	select {
	case <-exited:
		if code := old.ProcessState.ExitCode(); code != 0 {
			return fmt.Errorf("a gateway ended with status %d after it was taken over", code)
		}
		return nil
	case <-time.After(10 * time.Second):
		return fmt.Errorf("a gateway was not taken over within 10 s")
	}
}

// signal sends one to the process and, where gone is set, waits until it has ended; after a while it is killed.
func (p *process) signal(s os.Signal, gone bool) error {
	p.mu.Lock()
	cmd, exited := p.cmd, p.exited
	p.mu.Unlock()
	if cmd == nil {
		return nil
	}
	cmd.Process.Signal(s)
	if !gone {
		return nil
	}
	select {
	case <-exited:
		if code := cmd.ProcessState.ExitCode(); code != 0 && s == syscall.SIGTERM {
			return fmt.Errorf("a gateway ended with status %d after SIGTERM", code)
		}
		return nil
	case <-time.After(15 * time.Second):
		cmd.Process.Kill()
		<-exited
		return fmt.Errorf("a gateway did not end within 15 s of %v", s)
	}
}

// stage is a fleet with its gateways running.
type stage struct {
	*fleet.Fleet
	procs []*process
}

func raise(o *Options, record, zoned bool) (*stage, error) {
	f, err := fleet.New(o.Dir, shape(record, zoned))
	if err != nil {
		return nil, err
	}
	s := &stage{Fleet: f}
	for g, path := range f.Settings {
		p := &process{start: func(takeover bool) (*exec.Cmd, error) {
			cmd := o.Spawn(path, takeover)
			log, err := os.OpenFile(filepath.Join(o.Dir, fmt.Sprintf("gw%d.log", g)), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
			if err != nil {
				return nil, err
			}
			defer log.Close() // the process has its own
			cmd.Stdout, cmd.Stderr = log, log
			return cmd, cmd.Start()
		}}
		if err := p.up(false); err != nil {
			s.lower()
			return nil, fmt.Errorf("gateway %d: %w", g, err)
		}
		s.procs = append(s.procs, p)
	}
	// Up once every node is connected to by every gateway: their admin queues have read the ANA page.
	if err := fleet.Eventually(10*time.Second, s.connected); err != nil {
		s.lower()
		return nil, fmt.Errorf("the gateways do not reach their nodes: %w; see %s", err, filepath.Join(o.Dir, "gw0.log"))
	}
	return s, nil
}

func (s *stage) connected() bool {
	for _, n := range s.Nodes {
		if n.Hosts() < gateways {
			return false
		}
	}
	return true
}

// lower ends the gateways, which drain, and the fleet.
func (s *stage) lower() (err error) {
	var wg sync.WaitGroup
	errs := make([]error, len(s.procs))
	for i, p := range s.procs {
		wg.Add(1)
		go func() {
			defer wg.Done()
			p.signal(syscall.SIGCONT, false)
			errs[i] = p.signal(syscall.SIGTERM, true)
		}()
	}
	wg.Wait()
	s.Fleet.Close()
	for _, e := range errs {
		if e != nil {
			err = e
		}
	}
	return err
}

// Held is what Hold prints: where everything is.
type Held struct {
	Dir       string       `json:"dir"`
	Directory string       `json:"directory"`
	Nodes     []HeldNode   `json:"nodes"`
	Sockets   []HeldSocket `json:"sockets"`
}

// HeldNode is a node's place.
type HeldNode struct {
	ID      int    `json:"id"`
	Address string `json:"address"`
	NQN     string `json:"nqn"`
}

// HeldSocket is a ring socket's place.
type HeldSocket struct {
	Gateway int    `json:"gateway"`
	Volume  string `json:"volume"`
	Bytes   int64  `json:"bytes"`
	Path    string `json:"path"`
}

// Hold keeps the fleet up until done is closed, having printed where everything is as one line of JSON.
func Hold(o Options, done <-chan struct{}) error {
	s, err := raise(&o, false, false)
	if err != nil {
		return err
	}
	h := Held{Dir: o.Dir, Directory: s.Directories[0].Address()}
	for i, n := range s.Nodes {
		h.Nodes = append(h.Nodes, HeldNode{i + 1, n.Address(), n.NQN()})
	}
	for _, v := range s.Shape.Volumes {
		for _, g := range v.Gateways {
			h.Sockets = append(h.Sockets, HeldSocket{g, v.Name, v.Size(), s.Socket(g, v.Name)})
		}
	}
	if err := json.NewEncoder(o.Out).Encode(h); err != nil {
		s.lower()
		return err
	}
	<-done
	return s.lower()
}
