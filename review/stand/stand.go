// Command stand plays the cases of review/: it starts one initiator with the `run` line of the deploy file and stands in
// for its clients, its targets and discovery, as the users' protocol page describes them.
package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// rig is what a case works with: the record, the temporary folder and the processes that were started.
type rig struct {
	root    string
	dir     string
	trouble bool
	began   time.Time

	mu     sync.Mutex
	record *os.File
	nextID int
}

// cannotRun ends a case that could not be played.
type cannotRun struct{ error }

func (g *rig) check(err error, what string) {
	if err != nil {
		panic(cannotRun{fmt.Errorf("%s: %w", what, err)})
	}
}

// note writes a line with the time since the start, in milliseconds, to the record.
func (g *rig) note(format string, a ...any) {
	g.mu.Lock()
	defer g.mu.Unlock()
	fmt.Fprintf(g.record, "%10.3f %s\n", float64(time.Since(g.began).Microseconds())/1000, fmt.Sprintf(format, a...))
}

// id returns a new 16-digit hexadecimal id.
func (g *rig) id() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.nextID++
	return fmt.Sprintf("%08x%08x", uint32(os.Getpid()), g.nextID)
}

// freeAddress returns a loopback address that nobody listens on.
func (g *rig) freeAddress() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.check(err, "a free port")
	defer l.Close()
	return l.Addr().String()
}

// arrival is a request that has reached a target with its last byte.
type arrival struct {
	id   string
	at   time.Time
	done time.Time // when it had run; zero: not yet
	read bool      // otherwise it writes
	data string    // the piece of data that it reads or writes
	body string
}

// target is a storage node. It runs each request for its work time, applies it and answers it: a read with the content
// that the last write of its piece of data has left.
type target struct {
	g        *rig
	name     string
	cell     int
	listener net.Listener
	work     time.Duration

	mu       sync.Mutex
	arrivals []*arrival
	stored   map[string]string // content by piece of data
}

// startTargets starts n targets, one a shard, and returns them with their entries in the list.
func (g *rig) startTargets(n int, work time.Duration) (targets []*target, entries []string) {
	for i := range n {
		t := g.startTarget(fmt.Sprintf("s-%08x", 0x5be2a070+i), i, work)
		targets = append(targets, t)
		entries = append(entries, t.entry("in_service"))
	}
	return targets, entries
}

func (g *rig) startTarget(name string, cell int, work time.Duration) *target {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.check(err, "a target")
	t := &target{g: g, name: name, cell: cell, listener: l, work: work, stored: map[string]string{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go t.serve(c)
		}
	}()
	return t
}

func (t *target) serve(c net.Conn) {
	defer c.Close()
	requests := make(chan *arrival, 16)
	go func() {
		defer close(requests)
		in := bufio.NewReader(c)
		for {
			r, err := http.ReadRequest(in)
			body := []byte(nil)
			if err == nil {
				body, err = io.ReadAll(r.Body)
			}
			if err != nil {
				return
			}
			a := &arrival{id: r.Header.Get("Request-Id"), at: time.Now(), read: r.Method == "GET", data: path.Base(r.URL.Path), body: string(body)}
			t.mu.Lock()
			t.arrivals = append(t.arrivals, a)
			t.mu.Unlock()
			t.g.note("target %s got %s %s id=%s timeout=%s", t.name, r.Method, r.URL, a.id, r.Header.Get("Request-Timeout"))
			requests <- a
		}
	}()
	for a := range requests {
		time.Sleep(t.work)
		t.mu.Lock()
		a.done = time.Now()
		body := "written by " + a.id
		if a.read {
			body = t.stored[a.data]
		} else {
			t.stored[a.data] = a.body
		}
		t.mu.Unlock()
		if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nServer-Load: queue=0\r\nContent-Length: %d\r\n\r\n%s", len(body), body); err != nil {
			return
		}
		t.g.note("target %s answered id=%s 200", t.name, a.id)
	}
}

// find returns the first arrival with an id, or nil.
func (t *target) find(id string) *arrival {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, a := range t.arrivals {
		if a.id == id {
			b := *a
			return &b
		}
	}
	return nil
}

func (t *target) entry(phase string) string {
	return fmt.Sprintf(`{"id":%q,"host_port":%q,"locality":"hall-a","flavor":"node-3c","cell":%d,"phase":%q,"size":1.0,"up_since_ms":0}`,
		t.name, t.listener.Addr(), t.cell, phase)
}

// discovery is the agent on the initiator's machine. It answers at once.
type discovery struct {
	g        *rig
	listener net.Listener

	mu       sync.Mutex
	revision int
	members  []string // entries of the whole list
	watches  map[net.Conn]bool
	delay    time.Duration // before it answers a call
}

func (g *rig) startDiscovery(members ...string) *discovery {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.check(err, "discovery")
	d := &discovery{g: g, listener: l, revision: 41, members: members, watches: map[net.Conn]bool{}}
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

func (d *discovery) list(complete bool, members []string) string {
	return fmt.Sprintf(`{"revision":%d,"complete":%v,"members":[%s]}`, d.revision, complete, strings.Join(members, ","))
}

func (d *discovery) whole() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.list(true, d.members)
}

// serve answers one call: the whole list, or a watch that begins with the whole list and then sends an empty line
// every 2 s.
func (d *discovery) serve(c net.Conn) {
	defer c.Close()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	d.g.note("discovery was asked %s", r.URL)
	time.Sleep(d.delay)
	if r.URL.Query().Get("watch") == "" {
		text := d.whole()
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s", len(text), text)
		return
	}
	io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
	d.mu.Lock()
	line := d.list(true, d.members)
	_, err = fmt.Fprintf(c, "%x\r\n%s\n\r\n", len(line)+1, line)
	d.watches[c] = true
	d.mu.Unlock()
	for err == nil {
		time.Sleep(2 * time.Second)
		d.mu.Lock()
		_, err = io.WriteString(c, "1\r\n\n\r\n")
		d.mu.Unlock()
	}
	d.mu.Lock()
	delete(d.watches, c)
	d.mu.Unlock()
}

// change replaces the entry of a target and tells all watches. It returns when that was written.
func (d *discovery) change(t *target, phase string) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.revision++
	d.members[t.cell] = t.entry(phase)
	line := d.list(false, d.members[t.cell:t.cell+1])
	for c := range d.watches {
		fmt.Fprintf(c, "%x\r\n%s\n\r\n", len(line)+1, line)
	}
	d.g.note("discovery told %s", line)
	return time.Now()
}

// initiator is the program under test.
type initiator struct {
	g       *rig
	listen  string
	command *exec.Cmd
	ended   chan error
	config  string
}

// startInitiator starts `run` of the deploy file with settings like those of cordoba-campus and waits until it is ready.
func (g *rig) startInitiator(d *discovery) *initiator {
	in := &initiator{g: g, listen: g.freeAddress(), config: filepath.Join(g.dir, "config.json"), ended: make(chan error, 1)}
	text := fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":%q,"seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"known":%s,"settings":%s}`,
		in.listen, d.listener.Addr(), d.whole(), cordoba)
	if !json.Valid([]byte(text)) {
		g.check(errors.New("not valid JSON"), "the configuration")
	}
	g.check(os.WriteFile(in.config, []byte(text), 0o600), "the configuration")
	deploy, err := os.ReadFile(filepath.Join(g.root, "deploy", "balancer.toml"))
	g.check(err, "the deploy file")
	run := ""
	for _, line := range strings.Split(string(deploy), "\n") {
		if rest, ok := strings.CutPrefix(line, "run = "); ok {
			run = strings.Trim(rest, `"`)
		}
	}
	logFile, err := os.Create(filepath.Join(g.dir, "initiator.log"))
	g.check(err, "the log")
	defer logFile.Close()
	in.command = exec.Command("/bin/sh", "-c", run)
	in.command.Dir = g.root
	in.command.Env = append(os.Environ(), "ROUTER_NAME=n0", "ROUTER_LISTEN="+in.listen, "ROUTER_DISCOVERY="+d.listener.Addr().String(), "ROUTER_CONFIG="+in.config, "TMPDIR="+g.dir)
	in.command.Stdout, in.command.Stderr = logFile, logFile
	g.check(in.command.Start(), "run")
	g.note("started: %s", run)
	go func() { in.ended <- in.command.Wait() }()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	go func() {
		<-stop
		in.kill()
		os.RemoveAll(g.dir)
		os.Exit(2)
	}()
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			in.kill()
			g.check(errors.New("not ready within 20 s"), "run")
		}
		c, err := net.Dial("tcp", in.listen)
		if err != nil {
			continue
		}
		io.WriteString(c, "GET /_health HTTP/1.1\r\nHost: api.internal\r\n\r\n")
		c.SetReadDeadline(time.Now().Add(time.Second))
		r, err := http.ReadResponse(bufio.NewReader(c), nil)
		c.Close()
		if err == nil && r.StatusCode == 200 {
			break
		}
	}
	g.note("the initiator is ready")
	return in
}

func (in *initiator) signal(s syscall.Signal) {
	in.g.note("signal %v", s)
	in.g.check(in.command.Process.Signal(s), "signal")
}

// kill ends the initiator.
func (in *initiator) kill() {
	in.command.Process.Signal(syscall.SIGCONT)
	in.command.Process.Kill()
	<-in.ended
}

// request is a request of a client.
type request struct {
	id, class, plan, block, volume string
	units, shard, hosts            int
	timeout                        time.Duration
	key                            string
	body                           string
}

func (r *request) text() string {
	method, extra := "GET", ""
	if r.body != "" {
		method = "PUT"
		extra = fmt.Sprintf("Content-Length: %d\r\n", len(r.body))
	}
	if r.key != "" {
		extra += "Idempotency-Key: " + r.key + "\r\n"
	}
	return fmt.Sprintf("%s /%s/%s HTTP/1.1\r\nHost: api.internal\r\nRequest-Id: %s\r\nRequest-Class: %s\r\nX-Storage-Class: %s\r\nRequest-Timeout: %dm\r\n%sX-Extent: volume=%s,units=%d,shard=%d,hosts=%d\r\n\r\n%s",
		method, r.class, r.block, r.id, r.class, r.plan, r.timeout.Milliseconds(), extra, r.volume, r.units, r.shard, r.hosts, r.body)
}

// client is one connection of a client. It sends one request at a time.
type client struct {
	g    *rig
	name string
	conn *net.TCPConn
	in   *bufio.Reader
}

func (in *initiator) dial(name string) *client {
	c, err := net.Dial("tcp", in.listen)
	in.g.check(err, "a client's connection")
	return &client{g: in.g, name: name, conn: c.(*net.TCPConn), in: bufio.NewReader(c)}
}

// send writes a request whole and returns the time at which its last byte was written.
func (c *client) send(r *request) time.Time {
	_, err := io.WriteString(c.conn, r.text())
	at := time.Now()
	c.g.note("client %s sent %s/%s id=%s timeout=%v", c.name, r.class, r.block, r.id, r.timeout)
	c.g.check(err, "a client's request")
	return at
}

// answer is what a client got.
type answer struct {
	status     int
	body       string
	retryAfter time.Duration
	at         time.Time
	err        error
}

// receive waits for the answer to the last request.
func (c *client) receive(r *request, wait time.Duration) answer {
	c.conn.SetReadDeadline(time.Now().Add(wait))
	response, err := http.ReadResponse(c.in, nil)
	if err != nil {
		c.g.note("client %s got no answer to id=%s: %v", c.name, r.id, err)
		return answer{err: err, at: time.Now()}
	}
	body, err := io.ReadAll(response.Body)
	a := answer{status: response.StatusCode, body: string(body), at: time.Now(), err: err}
	if seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil {
		a.retryAfter = time.Duration(seconds * float64(time.Second))
	}
	c.g.note("client %s got %d %q retry-after=%v id=%s", c.name, a.status, a.body, a.retryAfter, r.id)
	return a
}

func (c *client) close() {
	c.conn.Close()
	c.g.note("client %s closed its connection", c.name)
}

// verdict lists the breaks of a case's rule.
type verdict []string

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: stand CASE ROOT RECORD")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Args[3]))
}

func play(name, root, recordPath string) (code int) {
	f, ok := cases[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "no case", name)
		return 2
	}
	record, err := os.Create(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer record.Close()
	dir, err := os.MkdirTemp("", "appleplank-review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer os.RemoveAll(dir)
	g := &rig{root: root, dir: dir, trouble: os.Getenv("TROUBLE") != "0", began: time.Now(), record: record}
	defer func() {
		if p := recover(); p != nil {
			c, ok := p.(cannotRun)
			if !ok {
				panic(p)
			}
			g.note("could not run: %v", c.error)
			fmt.Println("could not run:", c.error)
			code = 2
		}
	}()
	broken := f(g)
	for _, b := range broken {
		g.note("BROKEN: %s", b)
		fmt.Println("BROKEN:", b)
	}
	if len(broken) > 0 {
		return 1
	}
	g.note("the rule held")
	fmt.Println("the rule held")
	return 0
}
