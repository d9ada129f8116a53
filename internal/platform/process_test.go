package platform

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"
)

// initiatorVariable makes the test binary an initiator, so that tests have real processes.
const initiatorVariable = "APPLEPLANK_TEST_INITIATOR"

func TestMain(m *testing.M) {
	if os.Getenv(initiatorVariable) == "" {
		os.Exit(m.Run())
	}
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	in, err := New(os.Getenv, nil, zap.NewExample())
	if err == nil {
		err = in.Run(ctx, reload)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// process is an initiator in a process of its own.
type process struct {
	*stand
	command *exec.Cmd
}

// startProcess starts an initiator with the given settings and waits until it is ready.
func startProcess(t testing.TB, discovery, settings string) *process {
	t.Helper()
	p := &process{stand: &stand{TB: t, path: filepath.Join(t.TempDir(), "config.json"), listen: free(t), settings: settings}}
	p.write(discovery)
	p.begin()
	return p
}

// begin starts the process, as after a kill.
func (p *process) begin() {
	p.Helper()
	p.command = exec.Command(os.Args[0])
	p.command.Env = append(os.Environ(), initiatorVariable+"=1", "ROUTER_CONFIG="+p.path)
	p.command.Stderr = os.Stderr
	if err := p.command.Start(); err != nil {
		p.Fatal(err)
	}
	p.Cleanup(p.kill)
	p.until("listening", func() bool {
		c, err := net.Dial("tcp", p.listen)
		if err == nil {
			c.Close()
		}
		return err == nil
	})
	p.ready()
}

// kill ends the process with SIGKILL.
func (p *process) kill() {
	p.command.Process.Kill()
	p.command.Wait()
}

// linkMode is what a link does with new connections, and with bytes to the server.
type linkMode uint8

const (
	linkPasses linkMode = iota
	linkHolds           // connections come up, what is written arrives once the link passes again
)

// link is a proxy before a server whose way there can be cut.
type link struct {
	listener net.Listener
	server   string

	mu     sync.Mutex
	passes *sync.Cond
	mode   linkMode
	ended  bool
	wait   sync.WaitGroup
}

func newLink(t testing.TB, server string) *link {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := &link{listener: listener, server: server}
	l.passes = sync.NewCond(&l.mu)
	l.wait.Go(l.serve)
	t.Cleanup(l.close)
	return l
}

func (l *link) set(mode linkMode) {
	l.mu.Lock()
	l.mode = mode
	l.passes.Broadcast()
	l.mu.Unlock()
}

func (l *link) close() {
	l.listener.Close()
	l.mu.Lock()
	l.ended = true
	l.passes.Broadcast()
	l.mu.Unlock()
	l.wait.Wait()
}

func (l *link) serve() {
	for {
		client, err := l.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", l.server)
		if err != nil {
			client.Close()
			continue
		}
		l.wait.Go(func() { l.carry(server, client, true) })
		l.wait.Go(func() { l.carry(client, server, false) })
	}
}

// carry passes bytes on until either side ends; toServer says that the link may hold them.
func (l *link) carry(to, from net.Conn, toServer bool) {
	defer to.Close()
	defer from.Close()
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 && (toServer && !l.pass() || !written(to, buffer[:n])) || err != nil {
			return
		}
	}
}

func written(to io.Writer, bytes []byte) bool {
	_, err := to.Write(bytes)
	return err == nil
}

// pass waits until the link passes bytes on; false: it has ended.
func (l *link) pass() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.mode == linkHolds && !l.ended {
		l.passes.Wait()
	}
	return !l.ended
}

// entryAt is a target's entry in a list, as reached by another address than its own.
func (s *standTarget) entryAt(address, phase string, cell int) string {
	return strings.Replace(s.entry(phase, cell), s.l.Addr().String(), address, 1)
}

// limitAudit is the store of a volume's limit as the platform's pages define it, by what reaches targets.
type limitAudit struct {
	rate, burst, slack float64

	mu    sync.Mutex
	store float64
	at    time.Time
	least float64
	ids   map[string]bool
	units float64
}

// limitMeasureTime is for how long the slack may grow at the limit's rate, by the protocol page.
const limitMeasureTime = 150 * time.Millisecond

func newLimitAudit(rate, burst, slack float64) *limitAudit {
	return &limitAudit{rate: rate, burst: burst, slack: slack, store: burst, least: burst, at: time.Now(), ids: map[string]bool{}}
}

// arrived takes a request's units when its last byte has reached a target first.
func (a *limitAudit) arrived(id string, units float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ids[id] {
		return
	}
	now := time.Now()
	a.ids[id] = true
	a.store = min(a.store+a.rate*now.Sub(a.at).Seconds(), a.burst) - units
	a.at = now
	a.units += units
	a.least = min(a.least, a.store)
}

// has tells whether a request has arrived.
func (a *limitAudit) has(id string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.ids[id]
}

// check fails the test if the store has been further below zero than the limit allows, or fewer units have arrived than
// the test needs to tell.
func (a *limitAudit) check(t testing.TB, needed float64) {
	t.Helper()
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.units < needed {
		t.Errorf("%g units arrived, fewer than %g", a.units, needed)
	}
	if bound := -a.slack - a.rate*limitMeasureTime.Seconds(); a.least < bound {
		t.Errorf("the limit's store was at %.2f, its bound is %.2f", a.least, bound)
	}
}
