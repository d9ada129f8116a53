package main

import (
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"appleplank/internal/http1"
)

// Stand-ins for the operators' platform: targets, discovery and clients.

// target is a storage node that holds one shard and answers each request after a time.
type target struct {
	run      *run
	id       string
	shard    int
	listener net.Listener
	work     time.Duration

	mu       sync.Mutex
	begun    []time.Time // first byte of each request
	received []string    // ids of the requests, in the same order
}

func (r *run) newTarget(id string, shard int, work time.Duration) (*target, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	t := &target{run: r, id: id, shard: shard, listener: l, work: work}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go t.serve(c)
		}
	}()
	return t, nil
}

// firstByteReader notes when the first byte of each request arrives.
type firstByteReader struct {
	net.Conn
	waiting bool
	at      time.Time
}

func (f *firstByteReader) Read(p []byte) (int, error) {
	n, err := f.Conn.Read(p)
	if n > 0 && f.waiting {
		f.waiting, f.at = false, time.Now()
	}
	return n, err
}

func (t *target) serve(c net.Conn) {
	defer c.Close()
	f := &firstByteReader{Conn: c, waiting: true}
	reader, m := http1.NewReader(f), new(http1.Message)
	for reader.ReadRequest(m) == nil {
		id := string(m.Get("request-id"))
		t.mu.Lock()
		t.begun, t.received = append(t.begun, f.at), append(t.received, id)
		t.mu.Unlock()
		t.run.logAt(f.at, "%s: request %s", t.id, id)
		f.waiting = true
		time.Sleep(t.work)
		if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nServer-Load: queue=0\r\nContent-Length: %d\r\n\r\n%s", len(id)+4, "for "+id); err != nil {
			return
		}
	}
}

// after returns how many requests have begun after a moment, and when the last one did.
func (t *target) after(at time.Time) (n int, last time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, b := range t.begun {
		if b.After(at) {
			n, last = n+1, b
		}
	}
	return n, last
}

// entry is an entry of a list of targets.
type entry struct {
	id, address string
	shard       int
	phase       string
}

// list writes a list in the form of the platform's protocol page, indented where indent is not empty.
func list(revision int, complete bool, indent string, entries ...entry) string {
	nl, in := "", func(int) string { return "" }
	if indent != "" {
		nl, in = "\n", func(n int) string { return strings.Repeat(indent, n) }
	}
	b := new(strings.Builder)
	fmt.Fprintf(b, `{%s%s"revision": %d,%s%s"complete": %v,%s%s"members": [`, nl, in(1), revision, nl, in(1), complete, nl, in(1))
	for i, e := range entries {
		if i > 0 {
			b.WriteString(",")
		}
		fields := []string{fmt.Sprintf(`"id": %q`, e.id), fmt.Sprintf(`"host_port": %q`, e.address), `"locality": "hall-a"`, `"flavor": "node-3c"`,
			fmt.Sprintf(`"cell": %d`, e.shard), fmt.Sprintf(`"phase": %q`, e.phase), `"size": 1.0`, `"up_since_ms": 0`}
		fmt.Fprintf(b, "%s%s{%s%s%s%s%s}", nl, in(2), nl, in(3), strings.Join(fields, ","+nl+in(3)), nl, in(2))
	}
	fmt.Fprintf(b, "%s%s]%s}", nl, in(1), nl)
	return b.String()
}

// discovery is the agent of discovery. It takes delay to answer a call.
type discovery struct {
	run      *run
	listener net.Listener
	delay    time.Duration

	mu       sync.Mutex
	whole    string   // the whole list
	revision int      // of the whole list
	changes  []string // later changes; the n-th leads to revision+n
	calls    int
	onTold   func(i int) // called once change i was written; nil: nobody is told
	drains   []string    // by change: the target that drains by it
}

func (r *run) newDiscovery(whole string, revision int, delay time.Duration) (*discovery, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &discovery{run: r, listener: l, delay: delay, whole: whole, revision: revision}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go d.serve(c)
		}
	}()
	return d, nil
}

// change gives discovery a change.
func (d *discovery) change(c string) {
	d.mu.Lock()
	d.changes = append(d.changes, c)
	d.mu.Unlock()
}

func (d *discovery) serve(c net.Conn) {
	defer c.Close()
	reader, m := http1.NewReader(c), new(http1.Message)
	if reader.ReadRequest(m) != nil {
		return
	}
	call := string(m.Target)
	d.mu.Lock()
	d.calls++
	n := d.calls
	d.mu.Unlock()
	d.run.log("discovery: call %d: GET %s", n, shorten(call))
	time.Sleep(d.delay)
	d.mu.Lock()
	whole, sent := d.whole, len(d.changes)
	if sent > 0 {
		whole += "\n" + strings.Join(d.changes, "\n")
	}
	d.mu.Unlock()
	if !strings.Contains(call, "watch=1") {
		_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s", len(d.whole), d.whole)
		d.run.log("discovery: call %d: the whole list, %d bytes: %v", n, len(d.whole), err)
		return
	}
	// The first delivery is the whole list, then come the changes, an empty line every 2 s.
	if _, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"); err != nil {
		d.run.log("discovery: call %d: the caller has gone: %v", n, err)
		return
	}
	line := func(s string) bool {
		_, err := fmt.Fprintf(c, "%x\r\n%s\n\r\n", len(s)+1, s)
		return err == nil
	}
	ok := line(whole)
	// A call that was given up shows as a connection that its caller has closed.
	gone := make(chan struct{})
	go func() {
		defer close(gone)
		io.Copy(io.Discard, c)
	}()
	d.run.log("discovery: call %d: the watch begins with %d bytes: written %v", n, len(whole), ok)
	for last := time.Now(); ok; {
		select {
		case <-gone:
			d.run.log("discovery: call %d: the caller has closed the watch", n)
			return
		case <-time.After(10 * time.Millisecond):
		}
		d.mu.Lock()
		var next string
		if sent < len(d.changes) {
			next = d.changes[sent]
			sent++
		}
		d.mu.Unlock()
		if next != "" && d.onTold != nil {
			d.onTold(sent - 1)
		}
		if next != "" || time.Since(last) >= 2*time.Second {
			ok = line(next)
			last = time.Now()
			if next != "" {
				d.run.log("discovery: call %d: told %s: written %v", n, shorten(next), ok)
			}
		}
	}
}

// settingsJSON is a deployment of one initiator: one class that may be repeated, one plan without a limit.
const settingsJSON = `{"balancers":1,"slotNo":0,"granularityUs":2000,"membershipMode":"automatic","zones":["hall-a"],"tiers":["store-fleet"],"serviceType":"stores",
"classes":[{"name":"status-read","aimUs":400000,"deadlineUs":2500000,"importance":3,"lateShare":0.2,"semantics":"retryable"}],
"serviceLevels":[{"name":"pro","baseRate":40,"floorRate":40,"price":1,"shares":2,"neverOver":0,"limitBurst":0,"capSlack":0}],
"familyInfo":{"coldBears":10,"slotsTotal":%d,"unitMean":2,"unitsTop":6,"usePeriodUs":0,"tellsElsewhere":false,"writes":[false]},
"invariants":{"answerSlackUs":50000,"stopSendingWithinUs":250000,"coldFrom":0.16,"coldUs":18000000,"overloadForUs":1000000,"tipMultiple":4},
"limits":{"connIdleUs":15000000,"connectTimeoutUs":250000,"maxRetryAfterUs":500000,"retryAfter":true,"secondCopies":true,"sendCap":4,"mayCancel":true,"openCap":5000},
"report":{"fields":["waiting"]}}`

// startInitiator starts an initiator with the commands of the deploy file and waits until it is ready.
func (r *run) startInitiator(discovery, known string, shards int) (listen string, err error) {
	if listen, err = freeAddress(); err != nil {
		return "", err
	}
	text := fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":%q,"seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"known":%s,"settings":%s}`,
		listen, discovery, known, fmt.Sprintf(settingsJSON, shards))
	path := filepath.Join(r.dir, "config.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return "", err
	}
	env := []string{"ROUTER_CONFIG=" + path, "ROUTER_NAME=n0", "ROUTER_LISTEN=" + listen, "ROUTER_DISCOVERY=" + discovery}
	if _, err := r.start("initiator", env, "exec bin/appleplank initiator"); err != nil {
		return "", err
	}
	return listen, r.waitFor("the initiator is ready", 30*time.Second, func() bool {
		c, err := net.Dial("tcp", listen)
		if err != nil {
			return false
		}
		defer c.Close()
		c.SetDeadline(time.Now().Add(time.Second))
		var m http1.Message
		io.WriteString(c, "GET /_health HTTP/1.1\r\nHost: api.internal\r\n\r\n")
		return http1.NewReader(c).ReadAnswer(&m) == nil && m.Status == 200
	})
}

// load sends requests for the given shards in turn, at an interval, each on a connection that is kept while it is open.
// It returns when stop is closed.
func (r *run) load(listen string, shards int, interval time.Duration, stop <-chan struct{}) (sent, served *atomic.Int64, wait func()) {
	sent, served = new(atomic.Int64), new(atomic.Int64)
	var clients sync.WaitGroup
	for shard := range shards {
		clients.Go(func() {
			var c net.Conn
			var reader *http1.Reader
			for n := 0; ; n++ {
				select {
				case <-stop:
					if c != nil {
						c.Close()
					}
					return
				case <-time.After(interval):
				}
				if c == nil {
					var err error
					if c, err = net.Dial("tcp", listen); err != nil {
						c = nil
						continue
					}
					reader = http1.NewReader(c)
				}
				id := fmt.Sprintf("%04x%012x", shard, n+1)
				c.SetDeadline(time.Now().Add(5 * time.Second))
				_, err := fmt.Fprintf(c, "GET /status-read/%016x HTTP/1.1\r\nHost: api.internal\r\nRequest-Id: %s\r\nRequest-Class: status-read\r\nX-Storage-Class: pro\r\nRequest-Timeout: 1000m\r\nX-Extent: volume=%016x,units=1,shard=%d,hosts=1\r\n\r\n",
					n+1, id, shard+1, shard)
				sent.Add(1)
				var m http1.Message
				if err == nil {
					err = reader.ReadAnswer(&m)
				}
				r.log("client: request %s for shard %d: %d %v", id, shard, m.Status, err)
				if err == nil && m.Status == 200 {
					served.Add(1)
				}
				if err != nil || m.Close {
					c.Close()
					c = nil
				}
			}
		})
	}
	return sent, served, clients.Wait
}
