package discovery

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"appleplank/logic"
	"appleplank/members"

	"go.uber.org/goleak"
	"go.uber.org/zap"
)

// often is how soon an agent says again that nothing has changed.
const often = 200 * time.Millisecond

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const sec logic.Micros = 1000 * 1000

// hand is a sink that holds what it was told.
type hand struct {
	begun time.Time
	told  chan []members.Target
}

func (h *hand) Now() logic.Micros {
	return 1000*sec + logic.Micros(time.Since(h.begun).Microseconds())
}
func (h *hand) Nodes(_ []logic.Node, all []members.Target) { h.told <- all }

// agent is a discovery agent: each call goes to the next step of its script, the last one stays.
type agent struct {
	l     net.Listener
	calls chan string // what was asked, as it came
}

// step answers a call; the connection is closed when it returns.
type step func(c net.Conn, asked string)

func newAgent(t *testing.T, script ...step) *agent {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	a := &agent{l, make(chan string, 1000)}
	over := make(chan struct{})
	var wait sync.WaitGroup
	t.Cleanup(func() { l.Close(); close(over); wait.Wait() })
	wait.Go(func() {
		for n := 0; ; n++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s := script[min(n, len(script)-1)]
			wait.Go(func() {
				defer c.Close()
				wait.Go(func() { <-over; c.Close() })
				r, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					return
				}
				a.calls <- r.URL.String()
				s(c, r.URL.String())
			})
		}
	})
	return a
}

const head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

func entry(id, phase string) string {
	return fmt.Sprintf(`{"id":%q,"host_port":"127.0.0.1:7","locality":"a","flavor":"m","cell":0,"phase":%q,"size":1.0,"up_since_ms":0}`, id, phase)
}

func list(revision int, complete bool, entries ...string) string {
	return fmt.Sprintf(`{"revision":%d,"complete":%v,"members":[%s]}`, revision, complete, strings.Join(entries, ","))
}

// say writes something and goes on with the next; hush holds the connection open and says nothing.
func say(text string) step { return func(c net.Conn, _ string) { io.WriteString(c, text) } }
func hush(c net.Conn, _ string) {
	io.Copy(io.Discard, c)
}
func and(steps ...step) step {
	return func(c net.Conn, asked string) {
		for _, s := range steps {
			s(c, asked)
		}
	}
}

// beat keeps a watch alive.
func beat(c net.Conn, _ string) {
	for tick := time.NewTicker(often); ; <-tick.C {
		if _, err := io.WriteString(c, chunk("\n")); err != nil {
			tick.Stop()
			return
		}
	}
}

// answer serves whoever asks: the whole list as such, a watch with it.
func answer(text string) step {
	return func(c net.Conn, asked string) {
		if strings.Contains(asked, "watch=1") {
			io.WriteString(c, head+chunk(text+"\n"))
			beat(c, asked)
		} else {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
		}
	}
}

type bed struct {
	*testing.T
	*hand
	w *Watch
}

// newBed starts a watch that knows one target, s-1, in use.
func newBed(t *testing.T, address string) *bed {
	t.Helper()
	h := &hand{time.Now(), make(chan []members.Target, 1000)}
	known := members.Update{Revision: 1, Complete: true, Targets: []members.Target{{Node: logic.Node{ID: 1, State: logic.Ready}, Name: "s-1", Address: "127.0.0.1:7"}}}
	b := &bed{t, h, New(known, []string{"a"}, h, func() {}, zap.NewNop())}
	<-h.told
	t.Cleanup(b.w.Close)
	b.w.Use(address)
	return b
}

// drained waits until a target is known to drain, and tells the time.
func (b *bed) drained(name string) logic.Micros {
	b.Helper()
	late := time.After(30 * time.Second)
	for {
		select {
		case all := <-b.told:
			for _, t := range all {
				if t.Name == name && t.State == logic.Draining {
					return b.Now()
				}
			}
		case <-late:
			b.Fatal("never heard that " + name + " drains")
		}
	}
}

func (a *agent) asked(t *testing.T) string {
	t.Helper()
	select {
	case s := <-a.calls:
		return s
	case <-time.After(30 * time.Second):
		t.Fatal("discovery is not asked again")
		return ""
	}
}

// A call that falls silent or is lost at any stage is followed by another, whose answer counts, in time: 6 s after
// discovery could be reached, which here is when the first call was made. (The clock of the machine may stand still
// for a moment, so the bound is tested by the sums in package members; here a second one is allowed.)
func TestSilenceAtEachStage(t *testing.T) {
	now := list(2, false, entry("s-1", "terminating"))
	for name, first := range map[string]step{
		"says nothing":         hush,
		"ends":                 say(""),
		"half a head":          and(say(head[:20]), hush),
		"the head alone":       and(say(head), hush),
		"half a chunk's size":  and(say(head+"1"), hush),
		"half a list":          and(say(head+chunk(now[:40])), hush),
		"half a list, blanks":  and(say(head+chunk(now[:40]+"\n\n")), beat),
		"after an empty line":  and(say(head+chunk("\n")), hush),
		"after a list":         and(say(head+chunk(list(1, false)+"\n")), hush),
		"ends after a list":    say(head + chunk(list(1, false)+"\n")),
		"what cannot be read":  and(say(head+chunk(now[:40]+"\x00\n")), hush),
		"no list":              and(say(head+chunk("many words\n")), hush),
		"no status":            say("HTTP/1.1 503 Later\r\nContent-Length: 0\r\n\r\n"),
		"a list without a sum": and(say(head+chunk(`{"members":[]}`+"\n")), hush),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			a := newAgent(t, first, answer(list(2, true, entry("s-1", "terminating"))))
			b := newBed(t, a.l.Addr().String())
			a.asked(t)
			begun := b.Now()
			if took := b.drained("s-1") - begun; took > 12*sec {
				t.Errorf("known after %d ms", took/1000)
			}
		})
	}
}

// Refused for as long as nobody listens, it is asked again and again, and at once heard when it is back.
func TestRefusedAndBack(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	l.Close()
	b := newBed(t, address)
	if l, err = net.Listen("tcp", address); err != nil {
		t.Skip("the address was taken by somebody else")
	}
	defer l.Close()
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err == nil {
			answer(list(2, false, entry("s-1", "terminating")))(c, r.URL.String())
		}
	}()
	b.drained("s-1")
}

// Lists stand over several lines, indented, and come in pieces of any size; between them are empty lines.
func TestIndentedAndInPieces(t *testing.T) {
	text := func(revision int, phase string) string {
		return fmt.Sprintf("{\n  \"revision\": %d,\r\n\t\"complete\": false,\n\n  \"members\": [\n    {\"id\": \"s-1\", \"host_port\": \"127.0.0.1:7\",\n"+
			"     \"locality\": \"a}]\\\"{\", \"flavor\": \"m\\\\\", \"cell\": 0, \"phase\": %q,\n \"size\": 1.0, \"up_since_ms\": 0}\n  ]\n}\n", revision, phase)
	}
	for _, n := range []int{1, 2, 3, 7, 64, 1000} {
		t.Run(fmt.Sprint("pieces of ", n), func(t *testing.T) {
			a := newAgent(t, func(c net.Conn, _ string) {
				all := "\n" + text(2, "in_service") + "\n\n" + text(3, "terminating") + list(4, false, entry("s-2", "terminating")) + list(5, false, entry("s-3", "terminating")) + "\n"
				io.WriteString(c, head)
				for len(all) > 0 {
					k := min(n, len(all))
					if _, err := io.WriteString(c, chunk(all[:k])); err != nil {
						return
					}
					all = all[k:]
				}
				beat(c, "")
			})
			b := newBed(t, a.l.Addr().String())
			b.drained("s-1")
			b.drained("s-3")
			if b.w.follow.Targets()[0].Name == "" || len(a.calls) != 1 {
				t.Fatalf("asked %d times", len(a.calls))
			}
		})
	}
}

// When discovery moves, a late list of the old one does not undo what the new one has told, whatever it is; and a new
// one that says nothing loses nothing of the old one's.
func TestMoves(t *testing.T) {
	t.Run("a late list", func(t *testing.T) {
		late, done := make(chan string), make(chan struct{})
		old := newAgent(t, func(c net.Conn, _ string) {
			io.WriteString(c, head+chunk("\n"))
			for text := range late {
				io.WriteString(c, chunk(text+"\n"))
				close(done)
			}
		})
		b := newBed(t, old.l.Addr().String())
		old.asked(t)
		next := newAgent(t, answer(list(9, true, entry("s-1", "terminating"))))
		// The old watch has a list in hand and waits for the lock as the new one's is taken.
		b.w.mu.Lock()
		b.w.uses++
		use := b.w.uses
		b.w.mu.Unlock()
		if err := b.w.take([]byte(list(9, true, entry("s-1", "terminating"))), use, true); err != nil {
			t.Fatal(err)
		}
		b.drained("s-1")
		if err := b.w.take([]byte(list(8, true, entry("s-1", "in_service"))), 1, false); err != errMoved {
			t.Fatal(err)
		}
		if s := b.w.follow.Targets()[0].State; s != logic.Draining {
			t.Fatal("undone by a late list")
		}
		close(late)
		b.w.Use(next.l.Addr().String())
		next.asked(t)
	})
	t.Run("a silent one", func(t *testing.T) {
		tell := make(chan string, 1)
		old := newAgent(t, func(c net.Conn, _ string) {
			io.WriteString(c, head+chunk("\n"))
			for {
				select {
				case text := <-tell:
					io.WriteString(c, chunk(text+"\n"))
				case <-time.After(often):
					if _, err := io.WriteString(c, chunk("\n")); err != nil {
						return
					}
				}
			}
		})
		b := newBed(t, old.l.Addr().String())
		old.asked(t)
		next := newAgent(t, hush)
		b.w.Use(next.l.Addr().String())
		next.asked(t)
		next.asked(t) // given up, and asked once more
		tell <- list(2, false, entry("s-1", "terminating"))
		b.drained("s-1")
	})
}
