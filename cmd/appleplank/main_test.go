package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"appleplank/internal/demo"
	"appleplank/internal/fleet"
	"appleplank/internal/standin"
)

// TestMain runs the command instead of the tests if APPLEPLANK_MAIN is set.
func TestMain(m *testing.M) {
	if os.Getenv("APPLEPLANK_MAIN") != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

func command(args ...string) *exec.Cmd {
	c := exec.Command(os.Args[0], args...)
	c.Env = append(os.Environ(), "APPLEPLANK_MAIN=1")
	return c
}

func oneNodeShape() fleet.Shape {
	return fleet.Shape{Nodes: 1, Gateways: 1, Node: fleet.FastNode(), Head: fleet.Head,
		Volumes: []fleet.Volume{{Name: "disk", Plan: "priority", Cells: []int{0}, Extent: 4 << 20, Gateways: []int{0}, Table: "TABLE"}}}
}

// After SIGTERM the gateway answers the requests that it holds, accepts no new ones and exits with status 0. A second
// SIGTERM ends the process at once.
func TestServeDrains(t *testing.T) {
	for name, twice := range map[string]bool{"once": false, "twice": true} {
		t.Run(name, func(t *testing.T) {
			f, err := fleet.New(t.TempDir(), oneNodeShape())
			if err != nil {
				t.Fatal(err)
			}
			defer f.Close()
			c := command("serve", "-c", f.Settings[0], "--log", "error")
			if err := c.Start(); err != nil {
				t.Fatal(err)
			}
			defer c.Process.Kill()
			cl, err := f.Dial(0, "disk", standin.ClientConfig{Queues: 1, Depth: 4}, 5*time.Second)
			if err != nil {
				t.Fatal(err)
			}
			defer cl.Vanish()
			if r, err := cl.Do(0, 0, 0, nil, 4096); err != nil || r.Status != 0 {
				t.Fatalf("a read before: status %d, %v", r.Status, err)
			}
			f.Nodes[0].Set(func(t *standin.Trouble) { t.Hang = true })
			answer := make(chan uint8, 1)
			cl.Submit(0, 0, 0, nil, 4096, func(r standin.Reply) { answer <- r.Status })
			time.Sleep(100 * time.Millisecond)
			began := time.Now()
			c.Process.Signal(syscall.SIGTERM)
			if twice {
				time.Sleep(50 * time.Millisecond)
				c.Process.Signal(syscall.SIGTERM)
				if err := c.Wait(); err == nil || c.ProcessState.ExitCode() != 1 {
					t.Errorf("ended with %v, want status 1", err)
				}
				if took := time.Since(began); took > 1500*time.Millisecond { // the request's deadline is 2 s away
					t.Errorf("the second SIGTERM took %v to end the process", took)
				}
				return
			}
			time.Sleep(50 * time.Millisecond)
			f.Nodes[0].Set(func(t *standin.Trouble) { t.Hang = false })
			select {
			case st := <-answer:
				if st != 0 {
					t.Errorf("the held request was answered with status %d", st)
				}
			case <-time.After(5 * time.Second):
				t.Error("the held request was never answered")
			}
			if err := c.Wait(); err != nil {
				t.Errorf("ended with %v, want status 0", err)
			}
			if _, err := standin.Dial(f.Socket(0, "disk"), standin.ClientConfig{}); err == nil {
				t.Error("the socket still accepts clients")
			}
		})
	}
}

func TestCheck(t *testing.T) {
	f, err := fleet.New(t.TempDir(), oneNodeShape())
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	out, err := command("check", "-c", f.Settings[0]).CombinedOutput()
	for _, want := range []string{"gateway gw0", "priority", "VOLUME disk", "node0", "0+4194304 at cell 0"} {
		if err != nil || !strings.Contains(string(out), want) {
			t.Errorf("%v: the output lacks %q:\n%s", err, want, out)
		}
	}
	bad := filepath.Join(t.TempDir(), "bad.star")
	os.WriteFile(bad, []byte("plan(name = 'x', limit = ms(1))\nclass_(nam = 'y')\n"), 0o644)
	out, err = command("check", "-c", bad).CombinedOutput()
	if err == nil || !strings.Contains(string(out), "bad.star:1:5: plan(\"x\").limit: want a number") || !strings.Contains(string(out), "class_.nam: unknown field") {
		t.Errorf("%v:\n%s", err, out)
	}
	if out, err := command("serve", "-c", f.Settings[0]+"x").CombinedOutput(); err == nil || bytes.Count(out, []byte("\n")) != 1 {
		t.Errorf("a missing file: %v:\n%s", err, out)
	}
}

// Plays a short day with the real command, its gateways included: it prints a report and no rule is broken.
func TestDemo(t *testing.T) {
	path := filepath.Join(t.TempDir(), "short.star")
	os.WriteFile(path, []byte(`day(name = "short", length = s(4), rate = 150)
slow(at = ms(500), lasting = s(1), nodes = [1], times = 5)
crash(at = s(1), lasting = ms(500), nodes = [2])
vanish(at = s(2), clients = 2)
twice(at = s(1), lasting = s(2), nodes = [3], part = 0.3)
kill(at = s(2.5), lasting = ms(300), gateway = 1)
drain(at = s(1), lasting = s(2), nodes = [4])
`), 0o644)
	out, err := command("demo", "--day", path).CombinedOutput()
	if err != nil || !strings.Contains(string(out), "service: 0.") || strings.Count(string(out), ": kept") != 7 {
		t.Errorf("%v:\n%s", err, out)
	}
}

// demo --hold prints the addresses of the fleet, and a client can connect to the printed socket.
func TestHold(t *testing.T) {
	c := command("demo", "--hold")
	pipe, err := c.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	defer c.Process.Kill()
	line, err := bufio.NewReader(pipe).ReadBytes('\n')
	var h demo.Held
	if err != nil || json.Unmarshal(line, &h) != nil || len(h.Nodes) != 8 || len(h.Sockets) == 0 {
		t.Fatalf("%v: %s", err, line)
	}
	cl, err := standin.Dial(h.Sockets[0].Path, standin.ClientConfig{Queues: 1, Depth: 2, MostData: 4096})
	if err != nil {
		t.Fatal(err)
	}
	if r, err := cl.Do(0, 1, 0, make([]byte, 4096), 4096); err != nil || r.Status != 0 {
		t.Errorf("status %d, %v", r.Status, err)
	}
	cl.Vanish()
	c.Process.Signal(os.Interrupt)
	if err := c.Wait(); err != nil {
		t.Errorf("ended with %v", err)
	}
	if _, err := os.Stat(h.Dir); !os.IsNotExist(err) {
		t.Errorf("the temporary folder was not removed: %v", err)
	}
}

// With serve --takeover the old process exits with status 0 and the client continues with the new one. If the settings
// of the new process are invalid, it exits with an error and the old process continues.
func TestServeTakeover(t *testing.T) {
	s := oneNodeShape()
	s.More = "state(dir = \"kept\")\n"
	f, err := fleet.New(t.TempDir(), s)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	old := command("serve", "-c", f.Settings[0], "--log", "error")
	if err := old.Start(); err != nil {
		t.Fatal(err)
	}
	defer old.Process.Kill()
	cl, err := f.Dial(0, "disk", standin.ClientConfig{Queues: 2, Depth: 4}, 5*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	defer cl.Vanish()
	checkServed := func(who string) {
		t.Helper()
		if r, err := cl.Do(0, 1, 0, make([]byte, 4096), 4096); err != nil || r.Status != 0 {
			t.Errorf("%s: status %d, %v", who, r.Status, err)
		}
	}
	checkServed("the old process")
	bad := filepath.Join(f.Dir, "bad.star")
	text, _ := os.ReadFile(f.Settings[0])
	os.WriteFile(bad, append(text, "gateway(name = 3)\n"...), 0o644)
	if err := command("serve", "--takeover", "-c", bad).Run(); err == nil {
		t.Error("a takeover with bad settings ends with status 0")
	}
	if out, err := command("serve", "-c", f.Settings[0]).CombinedOutput(); err == nil || !strings.Contains(string(out), "is held by gateway gw0, process") {
		t.Errorf("a second process on the folder: %v: %s", err, out)
	}
	checkServed("the old process, after a failed takeover")
	next := command("serve", "--takeover", "-c", f.Settings[0], "--log", "error")
	if err := next.Start(); err != nil {
		t.Fatal(err)
	}
	defer next.Process.Kill()
	if err := old.Wait(); err != nil {
		t.Errorf("the old process ended with %v", err)
	}
	checkServed("the new process")
	next.Process.Signal(syscall.SIGTERM)
	if err := next.Wait(); err != nil {
		t.Errorf("the new process ended with %v", err)
	}
	if out, err := command("state", "check", filepath.Join(f.Dir, "kept")).CombinedOutput(); err != nil || !strings.Contains(string(out), "ended by itself") {
		t.Errorf("%v: %s", err, out)
	}
}
