package platform

import (
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"appleplank/internal/http1"
)

var limitSeeds = flag.Int("limit-seeds", 1, "how many seeds the limit's test over processes plays")

const (
	limitProcesses = 3
	limitTargets   = 4
	limitPlays     = 4 * time.Second
)

// Three processes serve one volume; their links to the targets are cut, targets turn away, fail and hang, processes are
// killed. What reaches the targets holds the limit.
func TestLimitHoldsOverProcessesUnderFaults(t *testing.T) {
	t.Parallel()
	for seed := range *limitSeeds {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) { playLimit(t, uint64(seed), limitProcesses) })
	}
}

// The same with settings of the time when there was one process.
func TestLimitHoldsInAFleetThatHasGrown(t *testing.T) {
	t.Parallel()
	for seed := range *limitSeeds {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) { playLimit(t, uint64(seed), 1) })
	}
}

// playLimit plays a seed; known is how many processes the settings know of.
func playLimit(t *testing.T, seed uint64, known int) {
	audit := newLimitAudit(limitRate, limitBurst, limitSlack)
	var targets []*standTarget
	for cell := range limitTargets {
		targets = append(targets, troubledTarget(t, audit, fmt.Sprint("s-", cell), rand.New(rand.NewPCG(seed, uint64(100+cell)))))
	}
	var processes []*process
	var ways []*link
	for number := range limitProcesses {
		settings := strings.Replace(limitedSettings(), `"balancers":1,"slotNo":0`, fmt.Sprintf(`"balancers":%d,"slotNo":%d`, known, number%known), 1)
		var entries []string
		for cell, target := range targets {
			way := newLink(t, target.l.Addr().String())
			ways = append(ways, way)
			entries = append(entries, target.entryAt(way.listener.Addr().String(), "in_service", cell))
		}
		discovery := newDiscovery(t, list(1, true, entries...))
		processes = append(processes, startProcess(t, discovery.l.Addr().String(), settings))
	}
	stop := make(chan struct{})
	var wait sync.WaitGroup
	for i, way := range ways {
		wait.Go(func() { troubleLink(way, rand.New(rand.NewPCG(seed, uint64(200+i))), stop) })
	}
	for i := range limitProcesses {
		wait.Go(func() { surge(processes[i].listen, rand.New(rand.NewPCG(seed, uint64(20+i))), stop) })
	}
	faults := rand.New(rand.NewPCG(seed, 2))
	for end := time.Now().Add(limitPlays); time.Now().Before(end); {
		time.Sleep(time.Duration(faults.IntN(4000)) * time.Millisecond)
		p := processes[faults.IntN(limitProcesses)]
		p.kill()
		time.Sleep(time.Duration(faults.IntN(300)) * time.Millisecond)
		p.begin()
	}
	close(stop)
	wait.Wait()
	audit.check(t, limitRate*limitPlays.Seconds()/10)
	t.Logf("%g units arrived, the limit's store was at %.2f", audit.units, audit.least)
}

// troubledTarget is a target that now and then turns away, fails, or says nothing.
func troubledTarget(t *testing.T, audit *limitAudit, id string, rng *rand.Rand) *standTarget {
	var mu sync.Mutex
	return newTarget(t, id, func(_ int, m *http1.Message) (string, bool) {
		audit.arrived(string(m.Get("request-id")), unitsOf(m))
		mu.Lock()
		x := rng.Float64()
		mu.Unlock()
		switch {
		case x < 0.05:
			return "HTTP/1.1 503 Full\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n", false
		case x < 0.1:
			return "HTTP/1.1 500 Failed\r\nContent-Length: 0\r\n\r\n", false
		case x < 0.13:
			return "", false
		case x < 0.16:
			return "", true
		}
		return answerTo(m), false
	})
}

// troubleLink holds a link for up to two seconds, again and again.
func troubleLink(l *link, rng *rand.Rand, stop <-chan struct{}) {
	for mode := linkHolds; ; mode = linkHolds - mode {
		select {
		case <-stop:
			l.set(linkPasses)
			return
		case <-time.After(time.Duration(rng.IntN(2000)) * time.Millisecond):
			l.set(mode)
		}
	}
}

// surge asks for many units at once after each quiet time, by clients of different patience that may leave.
func surge(address string, rng *rand.Rand, stop <-chan struct{}) {
	var wait sync.WaitGroup
	defer wait.Wait()
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(rng.IntN(1500)) * time.Millisecond):
		}
		for range 5 + rng.IntN(25) {
			units, cell, patience, leaves := 1+rng.IntN(2), rng.IntN(limitTargets), 200+rng.IntN(2000), rng.IntN(10) == 0
			wait.Go(func() { askOnce(address, units, cell, patience, leaves) })
		}
	}
}

// askOnce asks on a connection of its own, whatever becomes of the process.
func askOnce(address string, units, cell, patienceMS int, leaves bool) {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(time.Minute))
	io.WriteString(c, limited(newID(), units, cell, limitProcesses, fmt.Sprintf("Request-Timeout: %dm", patienceMS)))
	if leaves {
		time.Sleep(time.Duration(patienceMS/2) * time.Millisecond)
		return
	}
	http1.NewReader(c).ReadAnswer(new(http1.Message))
}
