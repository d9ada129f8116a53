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

var limitSeeds = flag.Int("limit-seeds", 1, "number of seeds for the limit tests with several processes")

const (
	limitProcesses    = 3
	limitTargets      = 4
	limitTestDuration = 4 * time.Second
)

// Three processes serve one volume while links to targets are blocked, targets refuse, fail and hang, and processes are
// killed and restarted. The requests that reach the targets stay within the limit.
func TestLimitHoldsOverProcessesUnderFaults(t *testing.T) {
	t.Parallel()
	for seed := range *limitSeeds {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) { runLimitTest(t, uint64(seed), limitProcesses) })
	}
}

// The same with settings that still describe a deployment of one process.
func TestLimitHoldsInAFleetThatHasGrown(t *testing.T) {
	t.Parallel()
	for seed := range *limitSeeds {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) { runLimitTest(t, uint64(seed), 1) })
	}
}

// runLimitTest runs the test with one seed; known is the number of processes in the settings.
func runLimitTest(t *testing.T, seed uint64, known int) {
	audit := newLimitAudit(limitRate, limitBurst, limitSlack)
	var targets []*standInTarget
	for cell := range limitTargets {
		targets = append(targets, faultyTarget(t, audit, fmt.Sprint("s-", cell), rand.New(rand.NewPCG(seed, uint64(100+cell)))))
	}
	var processes []*process
	var links []*link
	for number := range limitProcesses {
		settings := strings.Replace(limitedSettings(), `"balancers":1,"slotNo":0`, fmt.Sprintf(`"balancers":%d,"slotNo":%d`, known, number%known), 1)
		var entries []string
		for cell, target := range targets {
			way := newLink(t, target.listener.Addr().String())
			links = append(links, way)
			entries = append(entries, target.entryAt(way.listener.Addr().String(), "in_service", cell))
		}
		discovery := newDiscovery(t, listJSON(1, true, entries...))
		processes = append(processes, startProcess(t, discovery.listener.Addr().String(), settings))
	}
	stop := make(chan struct{})
	var wait sync.WaitGroup
	for i, way := range links {
		wait.Go(func() { disruptLink(way, rand.New(rand.NewPCG(seed, uint64(200+i))), stop) })
	}
	for i := range limitProcesses {
		wait.Go(func() { sendBursts(processes[i].listen, rand.New(rand.NewPCG(seed, uint64(20+i))), stop) })
	}
	faults := rand.New(rand.NewPCG(seed, 2))
	for end := time.Now().Add(limitTestDuration); time.Now().Before(end); {
		time.Sleep(time.Duration(faults.IntN(4000)) * time.Millisecond)
		p := processes[faults.IntN(limitProcesses)]
		p.kill()
		time.Sleep(time.Duration(faults.IntN(300)) * time.Millisecond)
		p.start()
	}
	close(stop)
	wait.Wait()
	audit.check(t, limitRate*limitTestDuration.Seconds()/10)
	t.Logf("%g units arrived, the minimum balance of the limit was %.2f", audit.units, audit.minBalance)
}

// faultyTarget returns a target that now and then refuses, fails, does not answer or closes the connection.
func faultyTarget(t *testing.T, audit *limitAudit, id string, rng *rand.Rand) *standInTarget {
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
		return okAnswer(m), false
	})
}

// disruptLink blocks a link for up to two seconds, again and again.
func disruptLink(l *link, rng *rand.Rand, stop <-chan struct{}) {
	for mode := linkBlocked; ; mode = linkBlocked - mode {
		select {
		case <-stop:
			l.set(linkOpen)
			return
		case <-time.After(time.Duration(rng.IntN(2000)) * time.Millisecond):
			l.set(mode)
		}
	}
}

// sendBursts sends a burst of requests after each quiet time, from clients with different time-outs, some of which
// leave.
func sendBursts(address string, rng *rand.Rand, stop <-chan struct{}) {
	var wait sync.WaitGroup
	defer wait.Wait()
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(rng.IntN(1500)) * time.Millisecond):
		}
		for range 5 + rng.IntN(25) {
			units, cell, timeout, leaves := 1+rng.IntN(2), rng.IntN(limitTargets), 200+rng.IntN(2000), rng.IntN(10) == 0
			wait.Go(func() { sendOnce(address, units, cell, timeout, leaves) })
		}
	}
}

// sendOnce sends a request on a separate connection and ignores errors, as the process may be killed.
func sendOnce(address string, units, cell, timeoutMS int, leaves bool) {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(time.Minute))
	io.WriteString(c, limitedRequest(newID(), units, cell, limitProcesses, fmt.Sprintf("Request-Timeout: %dm", timeoutMS)))
	if leaves {
		time.Sleep(time.Duration(timeoutMS/2) * time.Millisecond)
		return
	}
	http1.NewReader(c).ReadAnswer(new(http1.Message))
}
