package platform

import (
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"

	"appleplank/internal/http1"
)

// BenchmarkServe is the whole path of a request with a client, the initiator and a target in one process: what it
// allocates and how long it takes. Compare with BenchmarkDirect, the same client at the same target.
func BenchmarkServe(b *testing.B) {
	target := newTarget(b, "s-1", plainAnswer)
	d := newDiscovery(b, list(1, true, target.entry("in_service", 0)))
	s := start(b, d.l.Addr().String())
	s.ready()
	drive(b, s.listen)
}

func BenchmarkDirect(b *testing.B) {
	target := newTarget(b, "s-1", plainAnswer)
	drive(b, target.l.Addr().String())
}

func plainAnswer(_ int, m *http1.Message) (string, bool) {
	return "HTTP/1.1 200 OK\r\nServer-Load: queue=1\r\nX-Meter: 3\r\nContent-Length: 4\r\n\r\nbody", false
}

// drive asks from eight clients at once, each for a volume of its own.
func drive(b *testing.B, address string) {
	b.ReportAllocs()
	b.ResetTimer()
	var wait sync.WaitGroup
	const clients = 8
	for c := range clients {
		s := &stand{TB: b, listen: address}
		p := s.dial()
		text := put(strings.Repeat("0", 15)+fmt.Sprint(c), "look", "data", fmt.Sprintf("X-Extent: volume=%016x,units=1,shard=0,hosts=1", c))
		wait.Go(func() {
			for range b.N / clients {
				io.WriteString(p.c, text)
				if err := p.r.ReadAnswer(&p.m); err != nil {
					b.Error(err)
					return
				}
			}
		})
	}
	wait.Wait()
}
