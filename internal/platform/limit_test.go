package platform

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"appleplank/internal/http1"
)

// limitedSettings is a deployment whose plan thin has a limit that fills in 1.4 s from its lowest.
const (
	limitRate, limitBurst, limitSlack = 10.0, 12.0, 2.0
	limitFills                        = 1500 * time.Millisecond
)

func limitedSettings() string {
	s := strings.Replace(settingsJSON, `"neverOver":1,"limitBurst":2,"capSlack":1`,
		fmt.Sprintf(`"neverOver":%g,"limitBurst":%g,"capSlack":%g`, limitRate, limitBurst, limitSlack), 1)
	return strings.Replace(s, `{"name":"look","aimUs":300000,"deadlineUs":2000000`, `{"name":"look","aimUs":8000000,"deadlineUs":8000000`, 1)
}

// limited is a request of the volume with the limit.
func limited(id string, units, cell, hosts int, changes ...string) string {
	changes = append([]string{"X-Storage-Class: thin", "Request-Timeout: 8000m",
		fmt.Sprintf("X-Extent: volume=0000000000000007,units=%d,shard=%d,hosts=%d", units, cell, hosts)}, changes...)
	return put(id, "look", fmt.Sprintf("units=%d", units), changes...)
}

// audited is a target that tells an audit what reaches it.
func audited(t *testing.T, id string, audit *limitAudit) *standTarget {
	return newTarget(t, id, func(_ int, m *http1.Message) (string, bool) {
		audit.arrived(string(m.Get("request-id")), unitsOf(m))
		return answerTo(m), false
	})
}

// unitsOf reads the size that limited wrote into the body, as the platform's own field is not passed on to targets.
func unitsOf(m *http1.Message) (units float64) {
	fmt.Sscanf(string(m.Body), "units=%g", &units)
	return units
}

// askAll asks for single units on connections of their own, all at once, and waits for the answers.
func askAll(s *stand, requests, cell, hosts int) (served int) {
	var wait sync.WaitGroup
	var mu sync.Mutex
	for range requests {
		p := s.dial()
		wait.Go(func() {
			if status, _ := p.ask(limited(newID(), 1, cell, hosts)); status == 200 {
				mu.Lock()
				served++
				mu.Unlock()
			}
		})
	}
	wait.Wait()
	return served
}

// lateFleet is an initiator of its own process with two targets; the way to the one of cell 0 can be held.
type lateFleet struct {
	*process
	audit *limitAudit
	way   *link
}

func newLateFleet(t *testing.T) *lateFleet {
	audit := newLimitAudit(limitRate, limitBurst, limitSlack)
	far, near := audited(t, "s-1", audit), audited(t, "s-2", audit)
	way := newLink(t, far.l.Addr().String())
	discovery := newDiscovery(t, list(1, true, far.entryAt(way.listener.Addr().String(), "in_service", 0), near.entry("in_service", 1)))
	p := startProcess(t, discovery.l.Addr().String(), limitedSettings())
	time.Sleep(limitFills)
	return &lateFleet{p, audit, way}
}

// ask sends a request and gives the status of its answer.
func (f *lateFleet) ask(request string) <-chan int {
	p := f.dial()
	answered := make(chan int, 1)
	go func() {
		status, _ := p.ask(request)
		answered <- status
	}()
	return answered
}

func TestLimitHoldsAfterARequestArrivedLate(t *testing.T) {
	t.Parallel()
	f := newLateFleet(t)
	f.way.set(linkHolds)
	late := f.ask(limited(newID(), 8, 0, 1))
	time.Sleep(time.Second)
	f.way.set(linkPasses)
	if status := <-late; status != 200 {
		t.Fatalf("the late request: status %d", status)
	}
	askAll(f.stand, 30, 1, 1)
	f.audit.check(t, 10)
}

func TestLimitHoldsAfterAGivenUpRequestArrived(t *testing.T) {
	t.Parallel()
	f := newLateFleet(t)
	f.way.set(linkHolds)
	id := newID()
	if status := <-f.ask(limited(id, 8, 0, 1, "Request-Timeout: 400m")); status == 200 {
		t.Fatal("a request that has not arrived was served")
	}
	time.Sleep(time.Second)
	f.way.set(linkPasses)
	f.until("the request that was given up has arrived", func() bool { return f.audit.has(id) })
	askAll(f.stand, 30, 1, 1)
	f.audit.check(t, 10)
}
