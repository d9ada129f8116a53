package platform

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"appleplank/internal/http1"
)

// The limit of the plan thin in limitedSettings: it fills in 1.4 s from its minimum.
const (
	limitRate, limitBurst, limitSlack = 10.0, 12.0, 2.0
	limitFillTime                     = 1500 * time.Millisecond
)

func limitedSettings() string {
	s := strings.Replace(settingsJSON, `"neverOver":1,"limitBurst":2,"capSlack":1`,
		fmt.Sprintf(`"neverOver":%g,"limitBurst":%g,"capSlack":%g`, limitRate, limitBurst, limitSlack), 1)
	return strings.Replace(s, `{"name":"look","aimUs":300000,"deadlineUs":2000000`, `{"name":"look","aimUs":8000000,"deadlineUs":8000000`, 1)
}

// limitedRequest returns a request for the volume with the limit.
func limitedRequest(id string, units, cell, hosts int, changes ...string) string {
	changes = append([]string{"X-Storage-Class: thin", "Request-Timeout: 8000m",
		fmt.Sprintf("X-Extent: volume=0000000000000007,units=%d,shard=%d,hosts=%d", units, cell, hosts)}, changes...)
	return putRequest(id, "look", fmt.Sprintf("units=%d", units), changes...)
}

// auditedTarget returns a target that reports each request it receives to an audit.
func auditedTarget(t *testing.T, id string, audit *limitAudit) *standInTarget {
	return newTarget(t, id, func(_ int, m *http1.Message) (string, bool) {
		audit.arrived(string(m.Get("request-id")), unitsOf(m))
		return okAnswer(m), false
	})
}

// unitsOf returns the size of a request. It reads the number that limitedRequest wrote into the body, as the X-Extent
// header is not passed on to targets.
func unitsOf(m *http1.Message) (units float64) {
	fmt.Sscanf(string(m.Body), "units=%g", &units)
	return units
}

// sendAll sends requests of one unit, all at once, each on a separate connection, and waits for the answers.
func sendAll(s *testInitiator, requests, cell, hosts int) (served int) {
	var wait sync.WaitGroup
	var mu sync.Mutex
	for range requests {
		p := s.dial()
		wait.Go(func() {
			if status, _ := p.roundTrip(limitedRequest(newID(), 1, cell, hosts)); status == 200 {
				mu.Lock()
				served++
				mu.Unlock()
			}
		})
	}
	wait.Wait()
	return served
}

// delayedSetup is an initiator in a separate process with two targets. The link to the target of cell 0 can be blocked.
type delayedSetup struct {
	*process
	audit *limitAudit
	link  *link
}

func newDelayedSetup(t *testing.T) *delayedSetup {
	audit := newLimitAudit(limitRate, limitBurst, limitSlack)
	far, near := auditedTarget(t, "s-1", audit), auditedTarget(t, "s-2", audit)
	link := newLink(t, far.listener.Addr().String())
	discovery := newDiscovery(t, listJSON(1, true, far.entryAt(link.listener.Addr().String(), "in_service", 0), near.entry("in_service", 1)))
	p := startProcess(t, discovery.listener.Addr().String(), limitedSettings())
	time.Sleep(limitFillTime)
	return &delayedSetup{p, audit, link}
}

// send sends a request and returns a channel that receives the status of the answer.
func (f *delayedSetup) send(request string) <-chan int {
	p := f.dial()
	answered := make(chan int, 1)
	go func() {
		status, _ := p.roundTrip(request)
		answered <- status
	}()
	return answered
}

func TestLimitHoldsAfterARequestArrivedLate(t *testing.T) {
	t.Parallel()
	f := newDelayedSetup(t)
	f.link.set(linkBlocked)
	late := f.send(limitedRequest(newID(), 8, 0, 1))
	time.Sleep(time.Second)
	f.link.set(linkOpen)
	if status := <-late; status != 200 {
		t.Fatalf("the delayed request: status %d", status)
	}
	sendAll(f.testInitiator, 30, 1, 1)
	f.audit.check(t, 10)
}

func TestLimitHoldsAfterAGivenUpRequestArrived(t *testing.T) {
	t.Parallel()
	f := newDelayedSetup(t)
	f.link.set(linkBlocked)
	id := newID()
	if status := <-f.send(limitedRequest(id, 8, 0, 1, "Request-Timeout: 400m")); status == 200 {
		t.Fatal("a request that did not arrive at a target was served")
	}
	time.Sleep(time.Second)
	f.link.set(linkOpen)
	f.waitFor("arrival of the request that timed out", func() bool { return f.audit.hasArrived(id) })
	sendAll(f.testInitiator, 30, 1, 1)
	f.audit.check(t, 10)
}
