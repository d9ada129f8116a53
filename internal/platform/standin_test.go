package platform

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"appleplank/internal/http1"

	"go.uber.org/zap/zaptest/observer"
)

// The stand-ins of this file are written from the platform's protocol: targets, a discovery agent, clients.

// standTarget is a target that answers each request as its script says.
type standTarget struct {
	t      testing.TB
	l      net.Listener
	id     string
	script func(n int, m *http1.Message) (answer string, end bool) // n counts its requests; an empty answer is silence

	mu    sync.Mutex
	seen  []string // ids, in order
	conns map[net.Conn]bool
}

func newTarget(t testing.TB, id string, script func(int, *http1.Message) (string, bool)) *standTarget {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &standTarget{t: t, l: l, id: id, script: script, conns: map[net.Conn]bool{}}
	if script == nil {
		s.script = func(_ int, m *http1.Message) (string, bool) { return answerTo(m), false }
	}
	t.Cleanup(s.stop)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns[c] = true
			s.mu.Unlock()
			go s.serve(c)
		}
	}()
	return s
}

func (s *standTarget) stop() {
	s.l.Close()
	s.mu.Lock()
	for c := range s.conns {
		c.Close()
	}
	s.mu.Unlock()
}

func (s *standTarget) serve(c net.Conn) {
	defer func() {
		c.Close()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	r, m := http1.NewReader(c), new(http1.Message)
	for r.ReadRequest(m) == nil {
		s.mu.Lock()
		n := len(s.seen)
		s.seen = append(s.seen, string(m.Get("request-id")))
		s.mu.Unlock()
		answer, end := s.script(n, m)
		if _, err := io.WriteString(c, answer); err != nil || end {
			return
		}
	}
}

func (s *standTarget) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.seen)
}

// answerTo is the answer made for a request, as only its target can know it.
func answerTo(m *http1.Message) string {
	body := fmt.Sprintf("for %s: %s", m.Get("request-id"), m.Body)
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Meter: 12\r\nX-Delta: 3\r\nServer-Load: queue=1\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

func (s *standTarget) entry(phase string, cell int) string {
	return fmt.Sprintf(`{"id":%q,"host_port":%q,"locality":"a","flavor":"m","cell":%d,"phase":%q,"size":1.0,"up_since_ms":0}`,
		s.id, s.l.Addr(), cell, phase)
}

// standDiscovery is a discovery agent.
type standDiscovery struct {
	l       net.Listener
	mu      sync.Mutex
	lines   []string
	whole   string
	watches []net.Conn
	asked   []string
	mute    bool // takes watches and says nothing
}

func newDiscovery(t testing.TB, whole string) *standDiscovery {
	return newDiscoveryAt(t, "127.0.0.1:0", whole)
}

func newDiscoveryAt(t testing.TB, address, whole string) *standDiscovery {
	l, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	d := &standDiscovery{l: l, whole: whole}
	t.Cleanup(func() { l.Close(); d.cut() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go d.serve(c)
		}
	}()
	return d
}

func (d *standDiscovery) serve(c net.Conn) {
	r, m := http1.NewReader(c), new(http1.Message)
	if r.ReadRequest(m) != nil {
		c.Close()
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.asked = append(d.asked, string(m.Target))
	if !strings.Contains(string(m.Target), "watch=1") {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s", len(d.whole), d.whole)
		c.Close()
		return
	}
	if d.watches = append(d.watches, c); d.mute {
		return
	}
	io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
	chunk(c, d.whole)
}

func chunk(c net.Conn, line string) { fmt.Fprintf(c, "%x\r\n%s\n\r\n", len(line)+1, line) }

// tell sends a line to all watches.
func (d *standDiscovery) tell(line string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, c := range d.watches {
		chunk(c, line)
	}
}

// cut ends all watches.
func (d *standDiscovery) cut() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, c := range d.watches {
		c.Close()
	}
	d.watches = nil
}

func (d *standDiscovery) watching() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.asked)
}

func list(revision int, complete bool, entries ...string) string {
	return fmt.Sprintf(`{"revision":%d,"complete":%v,"members":[%s]}`, revision, complete, strings.Join(entries, ","))
}

// settingsJSON is a deployment of one initiator with classes of each kind.
const settingsJSON = `{"balancers":1,"slotNo":0,"granularityUs":2000,"membershipMode":"automatic","zones":["a","b"],
"classes":[{"name":"look","aimUs":300000,"deadlineUs":2000000,"importance":3,"lateShare":0.1,"semantics":"retryable"},
{"name":"save","aimUs":300000,"deadlineUs":2000000,"importance":2,"lateShare":0.1,"semantics":"dedup","group":"cell","repeatWindowUs":4000000},
{"name":"pay","aimUs":300000,"deadlineUs":2000000,"importance":2,"lateShare":0.1,"semantics":"fragile"}],
"serviceLevels":[{"name":"gold","baseRate":10,"floorRate":10,"price":1,"shares":1},
{"name":"thin","baseRate":1,"floorRate":1,"price":1,"shares":1,"neverOver":1,"limitBurst":2,"capSlack":1}],
"familyInfo":{"coldBears":10,"slotsTotal":4,"unitMean":2,"unitsTop":8,"usePeriodUs":1000000,"tellsElsewhere":true,"writes":[false,true,true]},
"invariants":{"answerSlackUs":50000,"stopSendingWithinUs":250000,"coldFrom":0.2,"coldUs":5000000,"overloadForUs":1000000,"tipMultiple":4},
"limits":{"connIdleUs":3000000,"connectTimeoutUs":250000,"maxRetryAfterUs":500000,"retryAfter":true,"secondCopies":true,"sendCap":4,"mayCancel":true,"openCap":5000},
"report":{"fields":["waiting"]}}`

// stand is an initiator with what it needs.
type stand struct {
	testing.TB
	in     *Initiator
	path   string
	listen string
	known  []string
	ctl    chan os.Signal
	end    func()
	ended  chan error
	logs   *observer.ObservedLogs

	settings string // empty: settingsJSON
}

func (s *stand) write(discovery string) {
	text := fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":%q,"seed":"8c1f30d27a5be964","limits":{"cores":1,"memory_mb":64,"sockets":128},
"known":{"revision":0,"complete":true,"members":[%s]},"settings":%s}`, s.listen, discovery, strings.Join(s.known, ","), cmp.Or(s.settings, settingsJSON))
	if !json.Valid([]byte(text)) {
		s.Fatal("the test's own configuration is none")
	}
	if err := os.WriteFile(s.path, []byte(text), 0o600); err != nil {
		s.Fatal(err)
	}
}

// free gives an address that nobody listens on.
func free(t testing.TB) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// peer is a client's connection.
type peer struct {
	t testing.TB
	c net.Conn
	r *http1.Reader
	m http1.Message
}

func (s *stand) dial() *peer {
	s.Helper()
	c, err := net.Dial("tcp", s.listen)
	if err != nil {
		s.Fatal(err)
	}
	s.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(time.Minute))
	return &peer{t: s.TB, c: c, r: http1.NewReader(c)}
}

// ask sends a request and gives the answer's status and body.
func (p *peer) ask(text string) (int, string) {
	p.t.Helper()
	if _, err := io.WriteString(p.c, text); err != nil {
		return 0, err.Error()
	}
	return p.answer()
}

func (p *peer) answer() (int, string) {
	if err := p.r.ReadAnswer(&p.m); err != nil {
		return 0, err.Error()
	}
	return p.m.Status, string(p.m.Body)
}

var ids struct {
	sync.Mutex
	n int
}

func newID() string {
	ids.Lock()
	defer ids.Unlock()
	ids.n++
	return fmt.Sprintf("%016x", ids.n)
}

// put is a request as the platform's clients write it, with changes to its head.
func put(id, class, body string, changes ...string) string {
	head := []string{
		"Host: api.internal", "Request-Id: " + id, "Request-Class: " + class, "X-Storage-Class: gold", "Request-Timeout: 1500m",
		fmt.Sprint("Content-Length: ", len(body)), "X-Extent: volume=00000003b4d60021,units=1,shard=0,hosts=1",
	}
	if class == "save" {
		head = append(head, "Idempotency-Key: k"+id)
	}
	for _, c := range changes {
		name, _, _ := strings.Cut(c, ":")
		kept := head[:0]
		for _, h := range head {
			if !strings.HasPrefix(h, name+":") {
				kept = append(kept, h)
			}
		}
		if head = kept; strings.Contains(c, ": ") {
			head = append(head, c)
		}
	}
	return "PUT /" + class + "/7f3a9c21e0b4d655 HTTP/1.1\r\n" + strings.Join(head, "\r\n") + "\r\n\r\n" + body
}

// start runs an initiator that knows of some targets before it asks discovery.
func start(t testing.TB, discovery string, known ...string) *stand {
	s := &stand{TB: t, known: known, path: filepath.Join(t.TempDir(), "config.json"), listen: free(t), ctl: make(chan os.Signal, 1), ended: make(chan error, 1)}
	s.write(discovery)
	s.run()
	return s
}

// ready waits until the initiator says it may be put in use.
func (s *stand) ready() {
	s.Helper()
	s.until("ready", func() bool {
		p := s.dial()
		defer p.c.Close()
		st, _ := p.ask("GET /_health HTTP/1.1\r\nHost: x\r\n\r\n")
		return st == 200
	})
}

func (s *stand) until(what string, f func() bool) {
	s.Helper()
	for end := time.Now().Add(15 * time.Second); !f(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			s.Fatal("never: " + what)
		}
	}
}
