// Command stand-2 runs the cases of the second review (review/6 to review/10). Each case starts the project's programs as
// separate processes, plays clients and peers on loopback, and writes what was sent and answered to record.txt.
//
// The exit status is 0 if the rule held, 1 if it was broken and 2 if the case could not run. With TROUBLE=0 in the
// environment the disruption is left out.
package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// maxTime ends a case that hangs.
const maxTime = 110 * time.Second

func main() {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "usage: stand-2 node ... | stand-2 CASE ROOT RECORD")
		os.Exit(2)
	}
	if os.Args[1] == "node" {
		runNode(os.Args[2:])
		return
	}
	cases := map[string]func(*run) error{
		"cut": cutCase, "flush": flushCase, "lock": lockCase, "takeover": takeoverCase, "kill": killCase,
		// Courses of troubles in which no fault was seen; the report tells which.
		"try-mirror": tryMirrorAdded, "try-notify": tryNotify, "try-long-list": tryLongList, "try-files": tryFiles, "try-disk": tryDisk, "try-platform": tryPlatform,
	}
	f := cases[os.Args[1]]
	if f == nil || len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "stand-2: no such case, or ROOT and RECORD are missing")
		os.Exit(2)
	}
	os.Exit(play(os.Args[2], os.Args[3], f))
}

// errBroken is returned by a case whose rule was broken.
var errBroken = errors.New("the rule was broken")

// run is one run of a case.
type run struct {
	root    string // of the repository
	dir     string // temporary folder
	trouble bool
	begun   time.Time

	mu        sync.Mutex
	record    io.Writer
	processes []*process
}

func play(root, recordPath string, f func(*run) error) int {
	file, err := os.Create(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, "stand-2:", err)
		return 2
	}
	defer file.Close()
	dir, err := os.MkdirTemp("", "stand-2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, "stand-2:", err)
		return 2
	}
	defer os.RemoveAll(dir)
	r := &run{root: root, dir: dir, trouble: os.Getenv("TROUBLE") != "0", begun: time.Now(), record: file}
	r.log("trouble: %v", r.trouble)
	ended := make(chan error, 1)
	go func() { ended <- f(r) }()
	select {
	case err = <-ended:
	case <-time.After(maxTime):
		err = fmt.Errorf("not ended within %v", maxTime)
	}
	r.stopAll()
	switch {
	case err == nil:
		r.say("the rule held")
		return 0
	case errors.Is(err, errBroken):
		r.say("%v", errBroken)
		return 1
	}
	r.say("the case could not run: %v", err)
	return 2
}

// log writes a line to the record, with the seconds since the start.
func (r *run) log(format string, a ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%8.3f  %s\n", time.Since(r.begun).Seconds(), fmt.Sprintf(format, a...))
}

// logAt is log for something that has happened at an earlier moment.
func (r *run) logAt(at time.Time, format string, a ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%8.3f  %s\n", at.Sub(r.begun).Seconds(), fmt.Sprintf(format, a...))
}

// say writes a line to the record and to standard output.
func (r *run) say(format string, a ...any) {
	r.log(format, a...)
	fmt.Printf(format+"\n", a...)
}

// process is a program that the case has started.
type process struct {
	name   string
	cmd    *exec.Cmd
	exited chan struct{}
}

// start starts a program with the given command, by /bin/sh from the root of the repository as the platform does, if it
// is written with exec. Its output goes to a file in the temporary folder, whose end is added to the record.
func (r *run) start(name string, env []string, command string) (*process, error) {
	out, err := os.Create(filepath.Join(r.dir, name+".log"))
	if err != nil {
		return nil, err
	}
	defer out.Close()
	cmd := exec.Command("/bin/sh", "-c", command)
	cmd.Dir, cmd.Stdout, cmd.Stderr = r.root, out, out
	cmd.Env = append(os.Environ(), env...)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &process{name: name, cmd: cmd, exited: make(chan struct{})}
	go func() {
		err := cmd.Wait()
		r.log("%s has ended: %v", name, err)
		close(p.exited)
	}()
	r.mu.Lock()
	r.processes = append(r.processes, p)
	r.mu.Unlock()
	r.log("started %s: %s", name, command)
	return p, nil
}

// signal sends a signal to the process.
func (p *process) signal(s syscall.Signal) error { return p.cmd.Process.Signal(s) }

// stopAll ends all processes and adds the end of their output to the record.
func (r *run) stopAll() {
	r.mu.Lock()
	processes := r.processes
	r.processes = nil
	r.mu.Unlock()
	for _, p := range processes {
		p.signal(syscall.SIGKILL)
	}
	for _, p := range processes {
		<-p.exited
	}
	for _, p := range processes {
		b, _ := os.ReadFile(filepath.Join(r.dir, p.name+".log"))
		if len(b) > 6000 {
			b = append([]byte("... "), b[len(b)-6000:]...)
		}
		r.mu.Lock()
		fmt.Fprintf(r.record, "---- output of %s ----\n%s\n", p.name, b)
		r.mu.Unlock()
	}
}

// waitFor waits until f returns true.
func (r *run) waitFor(what string, limit time.Duration, f func() bool) error {
	for end := time.Now().Add(limit); !f(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			return fmt.Errorf("%s: not within %v", what, limit)
		}
	}
	return nil
}

// freeAddress returns a loopback address that nobody listens on.
func freeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// listening reports whether somebody accepts connections at an address.
func listening(address string) bool {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err == nil {
		c.Close()
	}
	return err == nil
}
