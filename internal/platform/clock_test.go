package platform

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"appleplank/internal/http1"
)

// Guards against a target that counts as warm right after its start because the clock of the initiator's machine is an
// hour ahead of the target's.
func TestColdTargetIsSparedThoughTheClockIsAhead(t *testing.T) {
	const coldCapacity, overload = 10, time.Second // as in the settings
	const requests = 60                            // sent in one burst
	var mu sync.Mutex
	var arrivals []time.Time
	cold := newTarget(t, "s-2", func(_ int, m *http1.Message) (string, bool) {
		mu.Lock()
		arrivals = append(arrivals, time.Now())
		mu.Unlock()
		return okAnswer(m), false
	})
	warm := newTarget(t, "s-1", nil)
	discovery := newDiscovery(t, listJSON(1, true, warm.entry("in_service", 0)))
	s := startInitiator(t, discovery.listener.Addr().String())
	s.waitReady()
	p := s.dial()
	s.mustServe(p, "look") // the list has been received
	started := fmt.Sprintf(`"up_since_ms":%d`, time.Now().Add(-time.Hour).UnixMilli())
	discovery.sendList(listJSON(2, false, strings.Replace(cold.entry("in_service", 1), `"up_since_ms":0`, started, 1)))
	s.waitFor("the new target to serve", func() bool {
		status, _ := s.dial().roundTrip(putRequest(newID(), "look", "x", "X-Extent: volume=0000000000000001,units=1,shard=1,hosts=1"))
		return status == 200
	})
	var wait sync.WaitGroup
	for i := range requests / 2 {
		client := s.dial()
		wait.Go(func() {
			for range 2 {
				client.roundTrip(putRequest(newID(), "look", "x", "Request-Timeout: 400m", fmt.Sprintf("X-Extent: volume=%016x,units=1,shard=1,hosts=1", i+2)))
			}
		})
	}
	wait.Wait()
	mu.Lock()
	defer mu.Unlock()
	for i, first := range arrivals {
		within := 0
		for _, at := range arrivals[i:] {
			if at.Sub(first) < overload {
				within++
			}
		}
		if within > 2*coldCapacity { // the allowance grows by the same amount in a little more than a second
			t.Fatalf("%d of %d requests arrived within %v at a cold target with a capacity of %d", within, requests, overload, coldCapacity)
		}
	}
}
