package gateway_test

import (
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"appleplank/internal/catalogue"
	"appleplank/internal/fleet"
	"appleplank/internal/front/dav"
	"appleplank/internal/gateway"
	"appleplank/internal/standin"

	"golang.org/x/crypto/bcrypt"
)

// filesShape is a fleet whose gateway serves files over WebDAV.
func filesShape(t testing.TB) fleet.Shape {
	hash, err := bcrypt.GenerateFromPassword([]byte("secret"), bcrypt.MinCost)
	if err != nil {
		t.Fatal(err)
	}
	s := singleVolume()
	s.Nodes = 3
	s.Node.Volatile = true
	s.Volumes = append(s.Volumes, fleet.Volume{Name: "files", Plan: "priority", Cells: []int{0, 1, 2, 0}, Extent: 8 << 20, Table: "TABLE",
		More: " objects = True,"})
	s.More = "state(dir = \"kept-%s\", every = ms(50))\nrules(order_pause = ms(50))\n"
	s.Last = fmt.Sprintf(`user(name = "ann", hash = %q)
user(name = "bob", hash = %q)
dav(listen = "127.0.0.1:0", trees = [dict(path = "/f", volume = "files", write = ["ann"], read = ["bob"])])
`, hash, hash)
	return s
}

// startFiles starts a fleet with a gateway that serves files, and a client for them; both stop at the end of the test.
func startFiles(t testing.TB, change func(s *fleet.Shape)) (*fleet.Fleet, *gateway.Gateway, *webClient) {
	t.Helper()
	s := filesShape(t)
	if change != nil {
		change(&s)
	}
	f, err := fleet.New(t.TempDir(), s)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { f.Close() })
	g, stop := startGateway(t, f.Settings[0])
	t.Cleanup(func() { stop(false) })
	w := newWebClient(t, g)
	t.Cleanup(w.close)
	return f, g, w
}

// webClient is an HTTP client for the gateway's files.
type webClient struct {
	t    testing.TB
	base string
	user string
	http http.Client
}

func newWebClient(t testing.TB, g *gateway.Gateway) *webClient {
	w := &webClient{t: t, base: "http://" + g.Dav.Addresses()[0], user: "ann", http: http.Client{Transport: &http.Transport{}, Timeout: 20 * time.Second}}
	// After a crash new objects are refused until no write of the earlier process can reach a node any more.
	if err := fleet.Eventually(5*time.Second, func() bool { code, _, _ := w.do("PUT", "/f/ready", "x"); return code == 201 || code == 204 }); err != nil {
		t.Fatal("no file can be written")
	}
	w.want(204, "DELETE", "/f/ready", "")
	return w
}

// do sends a request; header holds pairs of name and value.
func (w *webClient) do(method, path, body string, header ...string) (int, string, http.Header) {
	w.t.Helper()
	r, err := http.NewRequest(method, w.base+path, strings.NewReader(body))
	if err != nil {
		w.t.Fatal(err)
	}
	r.SetBasicAuth(w.user, "secret")
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	a, err := w.http.Do(r)
	if err != nil {
		return 0, err.Error(), nil
	}
	defer a.Body.Close()
	b, err := io.ReadAll(a.Body)
	if err != nil {
		return 0, err.Error(), nil
	}
	return a.StatusCode, string(b), a.Header
}

func (w *webClient) want(code int, method, path, body string, header ...string) (string, http.Header) {
	w.t.Helper()
	got, text, h := w.do(method, path, body, header...)
	if got != code {
		w.t.Errorf("%s %s %v: %d, want %d: %.300s", method, path, header, got, code, text)
	}
	return text, h
}

func (w *webClient) close() { w.http.CloseIdleConnections() }

// TestDav checks the path from an HTTP client to the nodes: files, folders, ranges, conditions, properties, locks,
// copies, moves, permissions, and requests that must be refused.
func TestDav(t *testing.T) {
	f, err := fleet.New(t.TempDir(), filesShape(t))
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	g, stop := startGateway(t, f.Settings[0])
	w := newWebClient(t, g)
	data := make([]byte, 3<<20+777)
	rand.NewChaCha8([32]byte{1}).Read(data)
	big := string(data)

	_, h := w.want(200, "OPTIONS", "/f/", "")
	if h.Get("DAV") != "1, 2" {
		t.Errorf("DAV: %q", h.Get("DAV"))
	}
	_, h = w.want(201, "PUT", "/f/big.txt", big)
	tag := h.Get("ETag")
	got, h := w.want(200, "GET", "/f/big.txt", "")
	if got != big || h.Get("ETag") != tag || h.Get("Content-Type") != "text/plain; charset=utf-8" {
		t.Errorf("%d bytes, %v", len(got), h)
	}
	for _, x := range [][2]int{{0, 0}, {100, 5000}, {256<<10 - 1, 256 << 10}, {3 << 20, 3<<20 + 776}} {
		if got, _ := w.want(206, "GET", "/f/big.txt", "", "Range", fmt.Sprintf("bytes=%d-%d", x[0], x[1])); got != big[x[0]:x[1]+1] {
			t.Errorf("range %v: %d bytes", x, len(got))
		}
	}
	w.want(416, "GET", "/f/big.txt", "", "Range", "bytes=99999999-")
	w.want(304, "GET", "/f/big.txt", "", "If-None-Match", tag)
	w.want(412, "PUT", "/f/big.txt", "x", "If-None-Match", "*")
	w.want(412, "PUT", "/f/big.txt", "x", "If-Match", `"other"`)
	_, h = w.want(204, "PUT", "/f/big.txt", "small", "If-Match", tag)
	if h.Get("ETag") == tag {
		t.Error("the ETag stays though the content has changed")
	}
	w.want(412, "PUT", "/f/big.txt", "x", "If", "(["+tag+"])")
	w.want(204, "PUT", "/f/big.txt", "small", "If", `(["no"]) (Not ["no"])`)
	w.want(400, "PUT", "/f/big.txt", "x", "If", `(["no")`)
	w.want(201, "PUT", "/f/empty", "")
	if got, _ := w.want(200, "GET", "/f/empty", ""); got != "" {
		t.Errorf("%q", got)
	}
	w.want(409, "PUT", "/f/none/x", "x")
	w.want(405, "PUT", "/f/", "x")
	w.want(404, "GET", "/f/none", "")
	w.want(404, "GET", "/other", "")
	w.want(405, "PATCH", "/f/empty", "")
	for _, bad := range []string{"/f/a%2Fb", "/f/a%00b", "/f/%2e%2e/x", "/f/" + strings.Repeat("n", 300)} {
		w.want(400, "PUT", bad, "x")
	}
	// Folders.
	w.want(201, "MKCOL", "/f/d", "")
	w.want(405, "MKCOL", "/f/d", "")
	w.want(409, "MKCOL", "/f/x/y", "")
	w.want(415, "MKCOL", "/f/e", "<body/>")
	w.want(201, "PUT", "/f/d/ü &<.txt", "umlaut")
	list, _ := w.want(207, "PROPFIND", "/f/d", "", "Depth", "1")
	if !strings.Contains(list, "/f/d/%C3%BC%20&amp;%3C.txt") || !strings.Contains(list, "<D:collection/>") || strings.Count(list, "<D:response>") != 2 {
		t.Errorf("%s", list)
	}
	w.want(403, "PROPFIND", "/f/d", "")
	w.want(400, "PROPFIND", "/f/d", "<x", "Depth", "0")
	w.want(400, "PROPFIND", "/f/d", `<!DOCTYPE a [<!ENTITY b "c">]><propfind xmlns="DAV:"><prop><a>&b;</a></prop></propfind>`, "Depth", "0")
	// Properties.
	w.want(207, "PROPPATCH", "/f/d", `<D:propertyupdate xmlns:D="DAV:" xmlns:z="urn:z"><D:set><D:prop><z:color z:deep="1"><z:in>red &amp; blue</z:in></z:color></D:prop></D:set></D:propertyupdate>`)
	props, _ := w.want(207, "PROPFIND", "/f/d", `<propfind xmlns="DAV:"><prop><color xmlns="urn:z"/><none xmlns="urn:z"/><quota-available-bytes/></prop></propfind>`, "Depth", "0")
	if !strings.Contains(props, "red &amp; blue") || !strings.Contains(props, "404 Not Found") || !strings.Contains(props, "<D:quota-available-bytes>") {
		t.Errorf("%s", props)
	}
	patch, _ := w.want(207, "PROPPATCH", "/f/d", `<propertyupdate xmlns="DAV:"><set><prop><getetag>x</getetag><b xmlns="u:">1</b></prop></set></propertyupdate>`)
	if !strings.Contains(patch, "403 Forbidden") || !strings.Contains(patch, "424") {
		t.Errorf("%s", patch)
	}
	// Copies and moves.
	dest := func(p string) []string { return []string{"Destination", w.base + p} }
	w.want(201, "COPY", "/f/d", "", dest("/f/d2")...)
	if got, _ := w.want(200, "GET", "/f/d2/%C3%BC%20&%3C.txt", ""); got != "umlaut" {
		t.Errorf("%q", got)
	}
	w.want(412, "COPY", "/f/d", "", append(dest("/f/d2"), "Overwrite", "F")...)
	w.want(204, "COPY", "/f/d", "", append(dest("/f/d2"), "Depth", "0")...)
	w.want(404, "GET", "/f/d2/%C3%BC%20&%3C.txt", "")
	w.want(403, "MOVE", "/f/d", "", dest("/f/d/in")...)
	w.want(403, "COPY", "/f/d", "", dest("/f/d/in")...)
	w.want(403, "MOVE", "/f/d", "", dest("/f/d")...)
	w.want(502, "MOVE", "/f/d", "", "Destination", "http://elsewhere.example/f/d")
	w.want(409, "MOVE", "/f/d", "", dest("/f/no/d")...)
	w.want(201, "MOVE", "/f/d", "", dest("/f/m")...)
	w.want(404, "GET", "/f/d/%C3%BC%20&%3C.txt", "")
	w.want(200, "GET", "/f/m/%C3%BC%20&%3C.txt", "")
	// Locks.
	const info = `<D:lockinfo xmlns:D="DAV:"><D:lockscope><D:exclusive/></D:lockscope><D:locktype><D:write/></D:locktype><D:owner>ann</D:owner></D:lockinfo>`
	_, h = w.want(200, "LOCK", "/f/m", info, "Timeout", "Second-100")
	token := strings.Trim(h.Get("Lock-Token"), "<>")
	w.want(423, "PUT", "/f/m/new", "x")
	w.want(423, "DELETE", "/f/m", "")
	w.want(423, "MOVE", "/f/empty", "", dest("/f/m/empty")...)
	w.want(423, "LOCK", "/f/m/new", info)
	w.want(201, "PUT", "/f/m/new", "x", "If", "</f/m> (<"+token+">)")
	w.want(412, "PUT", "/f/m/new", "x", "If", "(<urn:uuid:other>)")
	if got, _ := w.want(200, "LOCK", "/f/m", "", "If", "(<"+token+">)", "Timeout", "Second-3000"); !strings.Contains(got, "Second-3000") {
		t.Errorf("%s", got)
	}
	_, h = w.want(201, "LOCK", "/f/free", info, "Depth", "0")
	free := h.Get("Lock-Token")
	w.want(409, "UNLOCK", "/f/free", "", "Lock-Token", "<urn:uuid:other>")
	w.want(204, "UNLOCK", "/f/free", "", "Lock-Token", free)
	// Permissions.
	w.user = "bob"
	w.want(200, "GET", "/f/free", "")
	w.want(403, "PUT", "/f/free", "x")
	w.want(403, "DELETE", "/f/free", "")
	w.user = "eve"
	w.want(401, "GET", "/f/free", "")
	w.user = "ann"
	// Files and locks outlast a restart.
	w.close()
	stop(false)
	g, stop = startGateway(t, f.Settings[0])
	w = newWebClient(t, g)
	defer w.close()
	w.want(423, "PUT", "/f/m/new", "y")
	w.want(204, "PUT", "/f/m/new", "y", "If", "(<"+token+">)")
	w.want(204, "UNLOCK", "/f/m/new", "", "Lock-Token", "<"+token+">")
	w.want(204, "DELETE", "/f/m", "")
	for _, p := range []string{"/f/big.txt", "/f/empty", "/f/d2", "/f/free"} {
		w.want(204, "DELETE", p, "")
	}
	w.want(507, "PUT", "/f/huge", strings.Repeat("x", 40<<20))
	if free, used := g.Engine.Space(1); used != 0 || free != 32<<20 {
		t.Errorf("%d bytes free, %d used with nothing there", free, used)
	}
	w.close()
	stop(false)
}

// TestDavWhole checks that concurrent readers see a file either as it was or as it is after an overwrite or a deletion,
// never a mix, and that no space leaks.
func TestDavWhole(t *testing.T) {
	_, g, w := startFiles(t, nil)
	content := func(n int) string { return strings.Repeat(fmt.Sprintf("%07d\n", n), 100_000) }
	w.want(201, "PUT", "/f/x", content(0))
	var wg sync.WaitGroup
	stopReads := make(chan struct{})
	reads := 0
	var mu sync.Mutex
	for range 4 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for {
				select {
				case <-stopReads:
					return
				default:
				}
				code, got, _ := w.do("GET", "/f/x", "")
				if code == 404 || code == 503 {
					continue
				}
				var n int
				if fmt.Sscanf(got, "%d", &n); code != 200 || got != content(n) {
					t.Errorf("status %d, %d bytes that are no whole file: %.60q", code, len(got), got)
					return
				}
				mu.Lock()
				reads++
				mu.Unlock()
			}
		}()
	}
	for i := 1; i < 12; i++ {
		if code, text, _ := w.do("PUT", "/f/x", content(i)); code != 204 && code != 201 && code != 503 && code != 507 {
			t.Errorf("put: %d %s", code, text)
		}
		if i%4 == 3 {
			w.do("DELETE", "/f/x", "")
		}
	}
	close(stopReads)
	wg.Wait()
	if reads < 5 {
		t.Errorf("%d reads", reads)
	}
	w.do("DELETE", "/f/x", "")
	if err := fleet.Eventually(3*time.Second, func() bool { _, used := g.Engine.Space(1); return used == 0 }); err != nil {
		free, used := g.Engine.Space(1)
		t.Errorf("%d bytes free, %d used with nothing there", free, used)
	}
}

var davKills = flag.Int("dav-kills", 8, "kills of the test of files")

// TestDavKilled kills gateways at any point of PUT, MOVE and DELETE: changes that were answered are there, others are
// complete or absent, the catalogue is consistent, and no space leaks.
func TestDavKilled(t *testing.T) {
	f, err := fleet.New(t.TempDir(), filesShape(t))
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	rng := rand.New(rand.NewPCG(3, 4))
	state, open := map[string]int{}, map[string]int{} // by path: the content answered; the content of a PUT cut off before its answer
	unsure := map[string]bool{}                       // by path: a DELETE or MOVE was cut off before its answer
	content := func(n int) string { return fmt.Sprintf("%07d\n", n) + strings.Repeat("x", n%9*40_000) }
	next := 0
	for round := range *davKills {
		g, stop := startGateway(t, f.Settings[0])
		w := newWebClient(t, g)
		time.Sleep(60 * time.Millisecond)
		for p := range map[string]bool{"/f/a": true, "/f/b": true, "/f/c": true} {
			code, got, _ := w.do("GET", p, "")
			old, was := state[p]
			later, mayBe := open[p]
			ok := was && code == 200 && got == content(old) || mayBe && code == 200 && got == content(later) || (!was || unsure[p]) && code == 404
			if !ok {
				t.Errorf("round %d: %s: %d, %.20q; answered was %d (%v), cut off %d (%v)", round, p, code, got, old, was, later, mayBe)
			}
			delete(state, p)
			if code == 200 {
				fmt.Sscanf(got, "%d", &old)
				state[p] = old
			}
		}
		clear(open)
		clear(unsure)
		done := make(chan struct{})
		enough := make(chan struct{}) // closed after four requests; the kill waits for them, however slow the machine is
		go func() {
			defer close(done)
			for asked := 0; ; asked++ {
				if asked == 4 {
					close(enough)
				}
				p := "/f/" + string(rune('a'+rng.IntN(3)))
				switch rng.IntN(5) {
				case 1: // to a name in use or a free one
					to := "/f/" + string(rune('a'+rng.IntN(3)))
					if to == p {
						continue
					}
					switch code, _, _ := w.do("MOVE", p, "", "Destination", w.base+to); code {
					case 201, 204:
						state[to] = state[p]
						delete(state, p)
					case 0:
						unsure[p] = true
						if at, ok := state[p]; ok {
							open[to] = at
						}
						return
					}
				case 0:
					switch code, _, _ := w.do("DELETE", p, ""); code {
					case 204:
						delete(state, p)
					case 0:
						unsure[p] = true
						return
					}
				default:
					next++
					switch code, _, _ := w.do("PUT", p, content(next)); code {
					case 201, 204:
						state[p] = next
					case 0:
						open[p] = next
						return
					}
				}
			}
		}()
		select {
		case <-enough:
		case <-done:
			t.Fatalf("round %d: ended before its kill", round)
		}
		time.Sleep(time.Duration(round%8*11) * time.Millisecond)
		stop(true)
		<-done
		w.close()
		cat, err := catalogue.Open(dav.CataloguePath(config(t, f.Settings[0]), 1))
		if err != nil {
			t.Fatal(err)
		}
		if problems, _, _, err := cat.Check(); len(problems) > 0 || err != nil {
			t.Errorf("round %d: %v, %v", round, problems, err)
		}
		cat.Close()
	}
	if next < *davKills { // four in five requests are puts, and a round has at least four requests
		t.Errorf("%d puts", next)
	}
	g, stop := startGateway(t, f.Settings[0])
	w := newWebClient(t, g)
	for p := range map[string]bool{"/f/a": true, "/f/b": true, "/f/c": true} {
		w.do("DELETE", p, "")
	}
	if free, used := g.Engine.Space(1); used != 0 || free != 32<<20 {
		t.Errorf("%d bytes free, %d used with nothing there", free, used)
	}
	w.close()
	stop(false)
}

// TestDavSlowClients checks that clients that stall, disconnect, send endless headers or read nothing neither delay
// others nor leak anything.
func TestDavSlowClients(t *testing.T) {
	_, g, w := startFiles(t, nil)
	w.want(201, "PUT", "/f/x", strings.Repeat("x", 4<<20))
	var slow []net.Conn
	address := g.Dav.Addresses()[0]
	for i := range 60 {
		c, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		slow = append(slow, c)
		auth := "Authorization: Basic YW5uOnNlY3JldA==\r\nHost: x\r\n"
		switch i % 3 {
		case 0: // reads nothing of the answer
			fmt.Fprintf(c, "GET /f/x HTTP/1.1\r\n%s\r\n", auth)
		case 1: // stops in the middle of its body
			fmt.Fprintf(c, "PUT /f/slow%d HTTP/1.1\r\n%sContent-Length: 1000000\r\n\r\nsome", i, auth)
		case 2:
			fmt.Fprintf(c, "GET /f/x HTTP/1.1\r\n%sX: %s", auth, strings.Repeat("y", 80<<10))
		}
	}
	began := time.Now()
	for i := range 20 {
		w.want(201, "PUT", fmt.Sprintf("/f/quick%d", i), strings.Repeat("q", 10_000))
		if got, _ := w.want(200, "GET", fmt.Sprintf("/f/quick%d", i), ""); len(got) != 10_000 {
			t.Errorf("%d bytes", len(got))
		}
	}
	t.Logf("20 puts and gets beside 60 slow clients took %v", time.Since(began))
	for _, c := range slow {
		c.Close()
	}
	for i := range 20 {
		w.want(204, "DELETE", fmt.Sprintf("/f/quick%d", i), "")
	}
	w.want(204, "DELETE", "/f/x", "")
	if err := fleet.Eventually(5*time.Second, func() bool { _, used := g.Engine.Space(1); return used == 0 }); err != nil {
		t.Error("the space of unfinished uploads is not released")
	}
	if code, _, _ := w.do("GET", "/f/slow1", ""); code != 404 {
		t.Errorf("a file that was never sent completely: status %d", code)
	}
}

// TestDavNodeDies crashes the nodes in the middle of a GET and of a PUT. The GET's connection must break: its body is
// neither padded nor ended as if complete. The PUT must not succeed, and the file keeps its content. A GET that fails
// before the first byte is answered with a time to retry.
func TestDavNodeDies(t *testing.T) {
	f, g, w := startFiles(t, func(s *fleet.Shape) { s.Node.Base = 5 * time.Millisecond })
	want := strings.Repeat("0123456789abcdef", 10<<16)
	w.want(201, "PUT", "/f/x", want)
	_, used := g.Engine.Space(1)
	r, _ := http.NewRequest("GET", w.base+"/f/x", nil)
	r.SetBasicAuth("ann", "secret")
	a, err := w.http.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	head := make([]byte, 1000)
	io.ReadFull(a.Body, head)
	// This PUT has sent half of its body.
	body, bodyWriter := io.Pipe()
	putStatus := make(chan int, 1)
	go func() {
		r, _ := http.NewRequest("PUT", w.base+"/f/x", body)
		r.SetBasicAuth("ann", "secret")
		r.ContentLength = int64(len(want))
		code := 0
		if a, err := w.http.Do(r); err == nil {
			code = a.StatusCode
			a.Body.Close()
		}
		body.Close()
		putStatus <- code
	}()
	io.WriteString(bodyWriter, want[:len(want)/2])
	for _, n := range f.Nodes {
		n.Crash()
	}
	io.WriteString(bodyWriter, want[len(want)/2:])
	bodyWriter.Close()
	if code := <-putStatus; code/100 == 2 {
		t.Errorf("a PUT whose nodes died: status %d", code)
	}
	rest, err := io.ReadAll(a.Body)
	a.Body.Close()
	if err == nil || !strings.HasPrefix(want, string(head)+string(rest)) {
		t.Errorf("%d bytes came, %v; want fewer than %d, and an error", len(rest), err, len(want))
	}
	code, _, h := w.do("GET", "/f/x", "")
	if code != 503 && code != 502 || code == 503 && h.Get("Retry-After") == "" {
		t.Errorf("status %d, Retry-After %q", code, h.Get("Retry-After"))
	}
	if code, _, _ := w.do("PUT", "/f/y", "data"); code != 503 && code != 502 {
		t.Errorf("put: status %d", code)
	}
	for _, n := range f.Nodes {
		if err := n.Up(false); err != nil {
			t.Fatal(err)
		}
	}
	if err := fleet.Eventually(10*time.Second, func() bool { code, got, _ := w.do("GET", "/f/x", ""); return code == 200 && got == want }); err != nil {
		t.Error("the file is not as it was once the nodes are back")
	}
	if err := fleet.Eventually(5*time.Second, func() bool { _, now := g.Engine.Space(1); return now == used }); err != nil {
		t.Error("the space of the unfinished PUT is not released")
	}
}

// TestDavSharesLimit checks that files and a disk on one account share its plan's limit: with three times the limit
// requested in total, the commands that the nodes receive stay within it.
func TestDavSharesLimit(t *testing.T) {
	f, _, w := startFiles(t, func(s *fleet.Shape) {
		s.Node.Record = true
		s.Volumes[0].Plan, s.Volumes[1].Plan = "basic", "basic"
		s.Volumes[1].More += " account = \"orders\","
	})
	cl, err := f.Dial(0, "orders", standin.ClientConfig{Queues: 1, Depth: 8, MostData: 64 << 10, Advice: true}, time.Second)
	if err != nil {
		t.Fatal(err)
	}
	sent := func() (n int) {
		for _, x := range f.Nodes {
			n += len(x.Records())
		}
		return n
	}
	before, began := sent(), time.Now()
	const limit, burst, slack, run = 120, 60, 12, 1500 * time.Millisecond // as in the plan "basic"
	var served [2]int
	limited := 0
	var wg sync.WaitGroup
	var mu sync.Mutex
	wg.Add(1)
	go func() {
		defer wg.Done()
		for time.Since(began) < run {
			if r, err := cl.Do(0, 1, 0, make([]byte, 4096), 4096); err == nil && r.Status == 0 {
				served[0]++
			}
			time.Sleep(4 * time.Millisecond)
		}
	}()
	for c := range 64 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := 0; time.Since(began) < run; i++ {
				code, _, h := w.do("PUT", fmt.Sprintf("/f/%d-%d", c, i), "x")
				mu.Lock()
				switch {
				case code == 201:
					served[1]++
				case code == 429 && h.Get("Retry-After") != "":
					limited++
				case code != 503:
					t.Errorf("status %d", code)
				}
				mu.Unlock()
			}
		}()
	}
	wg.Wait()
	took := time.Since(began).Seconds()
	n := sent() - before
	if most := int(limit*took) + burst + slack + 2; n > most || served[0] == 0 || served[1] < 10 || limited == 0 {
		t.Errorf("%d commands in %.2f s, at most %d; served %v, %d told of the limit", n, took, most, served, limited)
	}
	cl.Vanish()
}

var entries = flag.Int("entries", 2000, "names of the test of a full folder, and a tenth as many locks")

// TestDavFullFolder checks that a folder of many names and many locks is listed completely and in order.
func TestDavFullFolder(t *testing.T) {
	_, _, w := startFiles(t, nil)
	w.http.Timeout = time.Minute
	w.http.Transport.(*http.Transport).MaxIdleConnsPerHost = 32
	w.want(201, "MKCOL", "/f/full", "")
	const info = `<lockinfo xmlns="DAV:"><lockscope><exclusive/></lockscope><locktype><write/></locktype></lockinfo>`
	var wg sync.WaitGroup
	for c := range 32 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := c; i < *entries; i += 32 {
				p := fmt.Sprintf("/f/full/%06d", i)
				if i%10 == 0 {
					w.want(201, "LOCK", p, info, "Depth", "0", "Timeout", "Second-1000")
				} else {
					w.want(201, "PUT", p, "")
				}
			}
		}()
	}
	wg.Wait()
	began := time.Now()
	list, _ := w.want(207, "PROPFIND", "/f/full", "", "Depth", "1")
	took := time.Since(began)
	if n := strings.Count(list, "<D:response>"); n != *entries+1 || strings.Count(list, "<D:activelock>") != (*entries+9)/10 {
		t.Errorf("%d names of %d, %d locks", n-1, *entries, strings.Count(list, "<D:activelock>"))
	}
	last := ""
	for _, x := range strings.Split(list, "<D:response><D:href>/f/full/")[2:] {
		if x[:6] <= last {
			t.Fatalf("%s after %s", x[:6], last)
		}
		last = x[:6]
	}
	w.want(423, "DELETE", "/f/full", "")
	w.want(423, "PUT", "/f/full/000000", "x")
	began = time.Now()
	w.want(204, "PUT", "/f/full/000001", "")
	t.Logf("%d names listed in %v, %d bytes; a PUT beside the locks took %v", *entries, took, len(list), time.Since(began))
}
