package platform

import (
	"os"
	"strings"
	"syscall"
	"testing"
	"time"
)

// waitExit waits until the initiator has exited without an error.
func (s *testInitiator) waitExit() {
	s.Helper()
	select {
	case err := <-s.exited:
		if err != nil {
			s.Fatal(err)
		}
	case <-time.After(15 * time.Second):
		s.Fatal("the initiator did not exit within 15 s")
	}
}

// A shutdown before discovery has sent anything completes.
func TestEndBeforeReady(t *testing.T) {
	d := newDiscovery(t, listJSON(1, true))
	d.silent = true
	for name, discovery := range map[string]string{"silent": d.listener.Addr().String(), "down": freeAddress(t)} {
		t.Run(name, func(t *testing.T) {
			s := startInitiator(t, discovery)
			s.shutdown()
			s.waitExit()
		})
	}
}

// A reload and a shutdown in either order: the watch moves to the new address of discovery and no request is lost.
// Guards against a shutdown during which reload signals are ignored.
func TestReloadAndEnd(t *testing.T) {
	for _, first := range []string{"reload", "end"} {
		t.Run(first, func(t *testing.T) {
			s, _, _ := startWithTarget(t, nil)
			other := newTarget(t, "s-2", nil)
			next := newDiscovery(t, listJSON(7, true, other.entry("in_service", 0)))
			p := s.dial()
			s.mustServe(p, "look")
			s.writeConfig(next.listener.Addr().String())
			if first == "reload" {
				s.signals <- syscall.SIGHUP
				s.shutdown()
			} else {
				s.shutdown()
				s.waitFor("the shutdown to begin", func() bool { return s.logs.FilterMessage("told to end").Len() > 0 })
				s.signals <- syscall.SIGHUP
			}
			s.waitFor("use of the new list", func() bool { s.mustServe(p, "look"); return other.requestCount() > 0 })
			p.conn.Close()
			s.waitExit()
		})
	}
}

// A half-written file is read again. A file with different settings or limits changes only the address of discovery,
// which the log reports.
func TestReloadOfAHalfFileAndOfOtherSettings(t *testing.T) {
	s, target, _ := startWithTarget(t, nil)
	next := newDiscovery(t, listJSON(2, true, target.entry("in_service", 0)))
	s.writeConfig(next.listener.Addr().String())
	whole, err := os.ReadFile(s.path)
	if err != nil {
		t.Fatal(err)
	}
	const differ = "its limits or settings differ from those in use, which hold until the next start"
	os.WriteFile(s.path, whole[:len(whole)*2/3], 0o600)
	if s.initiator.reload(1) == nil || next.requestCount() != 0 {
		t.Fatal("a half-written file is not read again")
	}
	os.WriteFile(s.path, whole, 0o600)
	if s.initiator.reload(2) != nil {
		t.Fatal("a complete file is read again")
	}
	s.waitFor("a watch at the new address", func() bool { return next.requestCount() > 0 })
	if s.logs.FilterMessage(differ).Len() != 0 {
		t.Fatal("equal settings are logged as different")
	}
	for i, change := range [][2]string{{`"name":"pay"`, `"name":"fee"`}, {`"sockets":128`, `"sockets":256`}} {
		os.WriteFile(s.path, []byte(strings.Replace(string(whole), change[0], change[1], 1)), 0o600)
		s.initiator.reload(1)
		if s.logs.FilterMessage(differ).Len() != i+1 {
			t.Fatalf("%s: the difference is not logged", change[1])
		}
	}
	p := s.dial()
	s.mustServe(p, "pay") // the old classes still apply to all requests
	if st, _ := p.roundTrip(putRequest(newID(), "fee", "x")); st != 400 {
		t.Fatalf("status %d for a class that only the new file has", st)
	}
}

// Silent clients take all connections while discovery is down. Once discovery is back the initiator connects to it and
// to targets, and well-behaved clients are served.
func TestCrowdWhileDiscoveryIsDown(t *testing.T) {
	address := freeAddress(t)
	s := startInitiator(t, address)
	s.waitFor("start without discovery", func() bool { return s.initiator.front.Connections() >= 0 && s.logs.Len() > 0 })
	for range 300 {
		s.dial()
	}
	target := newTarget(t, "s-1", nil)
	d := newDiscoveryAt(t, address, listJSON(1, true, target.entry("in_service", 0)))
	s.waitFor("a request to discovery", func() bool { return d.requestCount() > 0 })
	s.waitFor("service for a well-behaved client", func() bool {
		p := s.dial()
		defer p.conn.Close()
		st, _ := p.roundTrip(putRequest(newID(), "look", "x"))
		return st == 200
	})
	if target.requestCount() == 0 {
		t.Fatal("the target was not reached")
	}
	if n := s.initiator.front.Connections(); n > 64 {
		t.Fatalf("%d connections held of 128 descriptors", n)
	}
}
