package platform

import (
	"os"
	"strings"
	"syscall"
	"testing"
	"time"
)

// gone wants that the initiator ends by itself.
func (s *stand) gone() {
	s.Helper()
	select {
	case err := <-s.ended:
		if err != nil {
			s.Fatal(err)
		}
	case <-time.After(15 * time.Second):
		s.Fatal("it did not end")
	}
}

// Told to end before discovery has told anything, it ends.
func TestEndBeforeReady(t *testing.T) {
	d := newDiscovery(t, list(1, true))
	d.mute = true
	for name, discovery := range map[string]string{"silent": d.l.Addr().String(), "down": free(t)} {
		t.Run(name, func(t *testing.T) {
			s := start(t, discovery)
			s.end()
			s.gone()
		})
	}
}

// A new configuration and the end, in either order: discovery is followed to its new address, and the end loses nothing.
// While it ended, signals for a new configuration were not listened to.
func TestReloadAndEnd(t *testing.T) {
	for _, first := range []string{"reload", "end"} {
		t.Run(first, func(t *testing.T) {
			s, _, _ := one(t, nil)
			other := newTarget(t, "s-2", nil)
			next := newDiscovery(t, list(7, true, other.entry("in_service", 0)))
			p := s.dial()
			s.served(p, "look")
			s.write(next.l.Addr().String())
			if first == "reload" {
				s.ctl <- syscall.SIGHUP
				s.end()
			} else {
				s.end()
				s.until("it was told", func() bool { return s.logs.FilterMessage("told to end").Len() > 0 })
				s.ctl <- syscall.SIGHUP
			}
			s.until("the new list is used", func() bool { s.served(p, "look"); return other.count() > 0 })
			p.c.Close()
			s.gone()
		})
	}
}

// A file that is replaced half way is looked at again; one whose settings or limits differ moves discovery alone, and
// the log says so.
func TestReloadOfAHalfFileAndOfOtherSettings(t *testing.T) {
	s, target, _ := one(t, nil)
	next := newDiscovery(t, list(2, true, target.entry("in_service", 0)))
	s.write(next.l.Addr().String())
	whole, err := os.ReadFile(s.path)
	if err != nil {
		t.Fatal(err)
	}
	const differ = "its limits or settings differ from those in use, which hold until the next start"
	os.WriteFile(s.path, whole[:len(whole)*2/3], 0o600)
	if s.in.reload(1) == nil || next.watching() != 0 {
		t.Fatal("a half file is not looked at again")
	}
	os.WriteFile(s.path, whole, 0o600)
	if s.in.reload(2) != nil {
		t.Fatal("a whole file is looked at again")
	}
	s.until("the new discovery is watched", func() bool { return next.watching() > 0 })
	if s.logs.FilterMessage(differ).Len() != 0 {
		t.Fatal("the same settings are said to differ")
	}
	for i, change := range [][2]string{{`"name":"pay"`, `"name":"fee"`}, {`"sockets":128`, `"sockets":256`}} {
		os.WriteFile(s.path, []byte(strings.Replace(string(whole), change[0], change[1], 1)), 0o600)
		s.in.reload(1)
		if s.logs.FilterMessage(differ).Len() != i+1 {
			t.Fatalf("%s: not said", change[1])
		}
	}
	p := s.dial()
	s.served(p, "pay") // the old classes hold for all requests
	if st, _ := p.ask(put(newID(), "fee", "x")); st != 400 {
		t.Fatalf("status %d for a class of the new file", st)
	}
}

// Clients that say nothing take all connections there are while discovery is down. It is reached again when it is back,
// targets are, and usual clients are served.
func TestCrowdWhileDiscoveryIsDown(t *testing.T) {
	address := free(t)
	s := start(t, address)
	s.until("ready without it", func() bool { return s.in.front.Connections() >= 0 && s.logs.Len() > 0 })
	for range 300 {
		s.dial()
	}
	target := newTarget(t, "s-1", nil)
	d := newDiscoveryAt(t, address, list(1, true, target.entry("in_service", 0)))
	s.until("discovery is asked", func() bool { return d.watching() > 0 })
	s.until("a usual client is served", func() bool {
		p := s.dial()
		defer p.c.Close()
		st, _ := p.ask(put(newID(), "look", "x"))
		return st == 200
	})
	if target.count() == 0 {
		t.Fatal("the target was not reached")
	}
	if n := s.in.front.Connections(); n > 64 {
		t.Fatalf("%d connections held of 128 descriptors", n)
	}
}
