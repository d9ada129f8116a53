package platform

import (
	"bytes"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"appleplank/internal/http1"
)

// orderedSettingsJSON is settingsJSON with the class "save" ordered by key.
var orderedSettingsJSON = strings.Replace(settingsJSON, `"name":"save",`, `"name":"save","oneAtATime":true,`, 1)

// stop stops the process with SIGSTOP and returns once it stands still.
func (p *process) stop() {
	p.Helper()
	p.signal(syscall.SIGSTOP)
	p.waitFor("the process to stand still", func() bool {
		stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.command.Process.Pid))
		if err != nil {
			p.Fatal(err)
		}
		afterName := stat[bytes.LastIndexByte(stat, ')')+1:]
		return bytes.HasPrefix(afterName, []byte(" T"))
	})
}

// resume lets a stopped process run on.
func (p *process) resume() { p.signal(syscall.SIGCONT) }

func (p *process) signal(s syscall.Signal) {
	p.Helper()
	if err := p.command.Process.Signal(s); err != nil {
		p.Fatal(err)
	}
}

// startStoppable starts an initiator in a process of its own, with one target.
func startStoppable(t *testing.T, settings string) (*process, *standInTarget) {
	target := newTarget(t, "s-1", nil)
	discovery := newDiscovery(t, listJSON(1, true, target.entry("in_service", 0)))
	return startProcess(t, discovery.listener.Addr().String(), settings), target
}

// Guards against writes of the same data that run in another order than they were taken while the process stood still.
func TestOrderAfterStop(t *testing.T) {
	p, target := startStoppable(t, orderedSettingsJSON)
	var clients []*clientConn
	for range 5 {
		client := p.dial()
		p.mustServe(client, "save")
		clients = append(clients, client)
	}
	for range 5 {
		before := target.requestCount()
		var taken []string
		p.stop()
		for _, client := range clients {
			id := newID()
			taken = append(taken, id)
			io.WriteString(client.conn, putRequest(id, "save", "data"))
		}
		p.resume()
		for _, client := range clients {
			if status, _ := client.readAnswer(); status != 200 {
				t.Fatalf("status %d", status)
			}
		}
		if ran := target.received()[before:]; !slices.Equal(ran, taken) {
			t.Fatalf("the writes ran in the order %v, taken in the order %v", ran, taken)
		}
	}
}

// limitedSettingsJSON is settingsJSON with a limit of the plan "thin" under which a request waits for 250 ms at most, and
// with more time for the class "save".
var limitedSettingsJSON = strings.NewReplacer(`"neverOver":1,"limitBurst":2`, `"neverOver":4,"limitBurst":4`,
	`"name":"save","aimUs":300000`, `"name":"save","aimUs":1200000`).Replace(settingsJSON)

// Guards against a request that waited for its plan's limit and is sent although its client left while the process stood
// still.
func TestNothingIsSentAfterStopForWhoLeft(t *testing.T) {
	p, target := startStoppable(t, limitedSettingsJSON)
	other := p.dial()
	for round := range 3 {
		id, client := p.waitingRequest(target, other, fmt.Sprint(round))
		p.stop()
		client.conn.Close()
		time.Sleep(400 * time.Millisecond) // the request becomes due meanwhile
		p.resume()
		for range 5 {
			p.mustServe(other, "save")
		}
		if slices.Contains(target.received(), id) {
			t.Fatalf("round %d: the request was sent after its client had left", round)
		}
	}
}

// answered reports whether an answer has begun to arrive. The connection is not used afterwards.
func (p *clientConn) answered() bool {
	p.conn.SetReadDeadline(time.Now().Add(time.Millisecond))
	n, _ := p.conn.Read(make([]byte, 1))
	return n > 0
}

// waitingRequest sends requests on a volume with a limit until one has to wait, and returns its id and client.
func (p *process) waitingRequest(target *standInTarget, other *clientConn, name string) (string, *clientConn) {
	p.Helper()
	for range 50 {
		id, client := newID(), p.dial()
		io.WriteString(client.conn, putRequest(id, "save", "data", "X-Storage-Class: thin", "X-Extent: volume=000000000000000a,units=1,shard=0,hosts=1"))
		for range 5 { // by then it was sent unless it waits
			p.mustServe(other, "save")
		}
		if !slices.Contains(target.received(), id) && !client.answered() {
			return id, client
		}
	}
	p.Fatalf("%s: no request waits", name)
	return "", nil
}

// Guards against a request that is given the time of the stop once more: its client's time runs from its arrival.
func TestTimeRunsDuringStop(t *testing.T) {
	timeouts := make(chan string, 10)
	target := newTarget(t, "s-1", func(_ int, m *http1.Message) (string, bool) {
		timeouts <- string(m.Get("request-timeout"))
		return okAnswer(m), false
	})
	discovery := newDiscovery(t, listJSON(1, true, target.entry("in_service", 0)))
	p := startProcess(t, discovery.listener.Addr().String(), settingsJSON)
	client := p.dial()
	p.mustServe(client, "look")
	<-timeouts
	const timeout, stopped, tolerance = 1500 * time.Millisecond, 300 * time.Millisecond, 10 * time.Millisecond
	p.stop()
	io.WriteString(client.conn, putRequest(newID(), "look", "data"))
	time.Sleep(stopped)
	p.resume()
	if status, _ := client.readAnswer(); status != 200 {
		t.Fatalf("status %d", status)
	}
	header := <-timeouts
	left, err := time.ParseDuration(header + "s") // such as 900000u
	if err != nil || left > timeout-stopped+tolerance {
		t.Errorf("the target is given %q, %v; want at most what the client has left, %v", header, err, timeout-stopped)
	}
}

// Guards against work for a target whose drain was told while the process stood still, before that work arrived.
func TestDrainDuringStop(t *testing.T) {
	for round := range 5 {
		target := newTarget(t, "s-1", nil)
		discovery := newDiscovery(t, listJSON(1, true, target.entry("in_service", 0)))
		p := startProcess(t, discovery.listener.Addr().String(), settingsJSON)
		client := p.dial()
		p.mustServe(client, "look")
		before := target.requestCount()
		p.waitFor("the watch", func() bool { return discovery.watchCount() > 0 })
		p.stop()
		discovery.sendList(listJSON(2, false, target.entry("terminating", 0)))
		io.WriteString(client.conn, putRequest(newID(), "look", "data"))
		time.Sleep(20 * time.Millisecond) // a hold-up
		p.resume()
		if status, _ := client.readAnswer(); status != 503 || target.requestCount() != before {
			t.Fatalf("round %d: status %d, %d requests reached the draining target", round, status, target.requestCount()-before)
		}
	}
}
