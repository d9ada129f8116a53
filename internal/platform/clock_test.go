package platform

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"appleplank/internal/http1"
)

// A machine's clock that is an hour ahead must not make a target that has just started look warm.
func TestColdTargetIsSparedThoughTheClockIsAhead(t *testing.T) {
	const coldBears, overload = 10, time.Second // by the settings
	const requests = 60                         // asked for at once
	var mu sync.Mutex
	var arrivals []time.Time
	cold := newTarget(t, "s-2", func(_ int, m *http1.Message) (string, bool) {
		mu.Lock()
		arrivals = append(arrivals, time.Now())
		mu.Unlock()
		return answerTo(m), false
	})
	warm := newTarget(t, "s-1", nil)
	discovery := newDiscovery(t, list(1, true, warm.entry("in_service", 0)))
	s := start(t, discovery.l.Addr().String())
	s.ready()
	p := s.dial()
	s.served(p, "look") // the list has been told
	started := fmt.Sprintf(`"up_since_ms":%d`, time.Now().Add(-time.Hour).UnixMilli())
	discovery.tell(list(2, false, strings.Replace(cold.entry("in_service", 1), `"up_since_ms":0`, started, 1)))
	s.until("the new target serves", func() bool {
		status, _ := s.dial().ask(put(newID(), "look", "x", "X-Extent: volume=0000000000000001,units=1,shard=1,hosts=1"))
		return status == 200
	})
	var wait sync.WaitGroup
	for i := range requests / 2 {
		client := s.dial()
		wait.Go(func() {
			for range 2 {
				client.ask(put(newID(), "look", "x", "Request-Timeout: 400m", fmt.Sprintf("X-Extent: volume=%016x,units=1,shard=1,hosts=1", i+2)))
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
		if within > 2*coldBears { // the part grows by as much in somewhat over a second
			t.Fatalf("%d of %d requests arrived within %v at a cold target that bears %d", within, requests, overload, coldBears)
		}
	}
}
