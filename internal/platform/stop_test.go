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

// startStoppable starts an initiator in a process of its own, with one target and ordered writes.
func startStoppable(t *testing.T) (*process, *standInTarget) {
	target := newTarget(t, "s-1", nil)
	discovery := newDiscovery(t, listJSON(1, true, target.entry("in_service", 0)))
	return startProcess(t, discovery.listener.Addr().String(), orderedSettingsJSON), target
}

// Guards against writes of the same data that run in another order than they were taken while the process stood still.
func TestOrderAfterStop(t *testing.T) {
	p, target := startStoppable(t)
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
