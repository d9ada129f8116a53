package gateway

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"time"

	"appleplank/internal/front/ring"
	"appleplank/internal/settings"
	"appleplank/internal/state"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"
)

/*
In a planned restart a second process starts beside the running one, connects to the nodes, and takes over through the
socket "control" in the state folder. Each message is a 4-byte little-endian length and JSON. File descriptors follow
their message, each with one byte "F".

	new                      old
	hello (gateway)    ->
	                   <-    welcome, or a refusal
	ready              ->                            the new process is connected to the nodes
	                         stops serving
	                   <-    everything              state, listeners, sessions, lock
	adopted            ->                            no request has been accepted yet
	                   <-    go                      the old process exits
	serves

Until it has sent go, the old process resumes service if the new one sends no, disconnects or does not answer in time.
The new process accepts no requests before it has received go.
*/
const (
	controlSocketName = "control"
	// adoptTimeout bounds how long the new process takes to adopt what it receives. Neither process serves then.
	adoptTimeout = 1 * time.Second
	// readyTimeout bounds how long the new process takes to connect to the nodes. The old one still serves then.
	readyTimeout   = 30 * time.Second
	maxMessageSize = 128 << 20
)

// controlMessage is one message between the two processes of a takeover. Which fields are set depends on Word.
type controlMessage struct {
	Gateway string       `json:",omitempty"`
	Word    string       // hello, welcome, ready, everything, adopted, go, or no
	Why     string       `json:",omitempty"` // the reason, with no
	State   []byte       `json:",omitempty"`
	Handed  *ring.Handed `json:",omitempty"`
	Lock    bool         `json:",omitempty"` // the lock's descriptor follows, after all others
}

func sendMessage(c *net.UnixConn, t controlMessage, fds ...int) error {
	b, err := json.Marshal(t)
	if err != nil {
		return err
	}
	if _, err := c.Write(append(binary.LittleEndian.AppendUint32(nil, uint32(len(b))), b...)); err != nil {
		return err
	}
	for _, fd := range fds {
		if _, _, err := c.WriteMsgUnix([]byte{'F'}, unix.UnixRights(fd), nil); err != nil {
			return err
		}
	}
	return nil
}

func receiveMessage(c *net.UnixConn, want string) (t controlMessage, err error) {
	var n [4]byte
	if _, err := io.ReadFull(c, n[:]); err != nil {
		return t, fmt.Errorf("waiting for %q: %w", want, err)
	}
	size := binary.LittleEndian.Uint32(n[:])
	if size > maxMessageSize {
		return t, fmt.Errorf("waiting for %q: message of %d bytes is too long", want, size)
	}
	b := make([]byte, size)
	if _, err := io.ReadFull(c, b); err != nil {
		return t, fmt.Errorf("waiting for %q: %w", want, err)
	}
	if err := json.Unmarshal(b, &t); err != nil {
		return t, fmt.Errorf("waiting for %q: %w", want, err)
	}
	if t.Word == "no" {
		return t, errors.New(t.Why)
	}
	if t.Word != want {
		return t, fmt.Errorf("received %q, expected %q", t.Word, want)
	}
	return t, nil
}

// receiveFD receives the descriptor that comes with the next byte.
func receiveFD(c *net.UnixConn) (int, error) {
	var b [1]byte
	oob := make([]byte, unix.CmsgSpace(4))
	_, n, _, _, err := c.ReadMsgUnix(b[:], oob)
	if err != nil {
		return -1, err
	}
	cs, err := unix.ParseSocketControlMessage(oob[:n])
	if err != nil || len(cs) != 1 {
		return -1, fmt.Errorf("no descriptor received: %v", err)
	}
	fds, err := unix.ParseUnixRights(&cs[0])
	if err != nil || len(fds) != 1 {
		return -1, fmt.Errorf("received %d descriptors, expected 1: %v", len(fds), err)
	}
	return fds[0], nil
}

// listenControl accepts takeovers by other processes until ctx ends or one succeeds.
func (g *Gateway) listenControl(ctx context.Context) error {
	path := filepath.Join(g.cfg.State.Dir, controlSocketName)
	os.Remove(path) // this process holds the folder, so any earlier listener has exited or is about to
	l, err := net.ListenUnix("unix", &net.UnixAddr{Name: path, Net: "unix"})
	if err != nil {
		g.log.Warn("nobody can take over", zap.Error(err))
		return nil
	}
	os.Chmod(path, 0o600)
	l.SetUnlinkOnClose(false) // by then the path may belong to the next process
	stop := context.AfterFunc(ctx, func() { l.Close() })
	defer stop()
	defer l.Close()
	for {
		c, err := l.AcceptUnix()
		if err != nil {
			return nil
		}
		err = g.handOver(c)
		c.Close()
		if err == nil {
			close(g.handedOver)
			return nil
		}
		g.log.Warn("a takeover failed; this process goes on", zap.Error(err))
	}
}

// handOver hands the gateway over to the process at the other end of c. If it returns nil, that process serves from
// then on; otherwise this one goes on.
func (g *Gateway) handOver(c *net.UnixConn) error {
	c.SetDeadline(time.Now().Add(readyTimeout))
	t, err := receiveMessage(c, "hello")
	if err != nil {
		return err
	}
	if t.Gateway != g.cfg.Name {
		reason := fmt.Sprintf("this is gateway %q, not %q", g.cfg.Name, t.Gateway)
		sendMessage(c, controlMessage{Word: "no", Why: reason})
		return errors.New(reason)
	}
	if err := sendMessage(c, controlMessage{Word: "welcome"}); err != nil {
		return err
	}
	if _, err := receiveMessage(c, "ready"); err != nil {
		return err
	}
	began := time.Now()
	handed, thaw, err := g.Rings.Freeze()
	if err != nil {
		sendMessage(c, controlMessage{Word: "no", Why: err.Error()})
		return err
	}
	// From here on the new process may write the state. Two processes that replace the same file would corrupt it.
	g.store.Suspend(true)
	thawRings := thaw
	thaw = func(resume bool) {
		if resume {
			g.store.Suspend(false)
			if g.marks != nil {
				if err := g.marks.store.Suspend(false); err != nil {
					g.log.Error("marks of copies cannot be reopened; changes that need one are refused", zap.Error(err))
				}
			}
		}
		thawRings(resume)
	}
	if g.marks != nil { // from here on this process answers no request that needs a mark
		if err := g.marks.store.Suspend(true); err != nil {
			thaw(true)
			return err
		}
	}
	quiet := g.Engine.Quiet()
	encoded, err := state.Encode(g.snapshot(true, quiet))
	if err != nil {
		thaw(true)
		return err
	}
	var fds []int
	handed.FDs(func(fd *int) { fds = append(fds, *fd) })
	lock := g.store.Lock()
	if lock >= 0 {
		fds = append(fds, lock)
	}
	c.SetDeadline(time.Now().Add(adoptTimeout))
	if err = sendMessage(c, controlMessage{Word: "everything", State: encoded, Handed: handed, Lock: lock >= 0}, fds...); err == nil {
		_, err = receiveMessage(c, "adopted")
	}
	if err != nil {
		// Close the connection before go is sent: a new process that is only slow gets an error and accepts no
		// requests.
		c.Close()
		thaw(true)
		return err
	}
	err = sendMessage(c, controlMessage{Word: "go"})
	thaw(err != nil)
	if err == nil {
		g.log.Info("handed over", zap.Duration("stood still", time.Since(began)), zap.Int("clients", len(handed.Sessions)), zap.Bool("quiet", quiet))
	}
	return err
}

// Takeover builds a gateway whose Run first takes over from the process that holds its state folder.
func Takeover(cfg *settings.Config, log *zap.Logger) (*Gateway, error) {
	if cfg.State.Dir == "" {
		return nil, errors.New("a takeover needs state(dir = …) in the settings")
	}
	g, err := build(cfg, log)
	if err != nil {
		return nil, err
	}
	g.takeover, g.deferNodes = true, true
	g.Rings = ring.New(g.frontCtx, cfg, g.Engine, log.Named("ring"))
	return g, nil
}

// releaseMarks closes the marks after a failed takeover, so that the process that goes on can reopen them.
func (g *Gateway) releaseMarks() {
	if g.marks != nil {
		g.marks.store.Close()
		g.marks = nil
	}
}

// takeOver is the new process's side of a takeover. The goroutines of its nodes must be running.
func (g *Gateway) takeOver(ctx context.Context) error {
	c, err := net.DialUnix("unix", nil, &net.UnixAddr{Name: filepath.Join(g.cfg.State.Dir, controlSocketName), Net: "unix"})
	if err != nil {
		return fmt.Errorf("no process to take over from: %w", err)
	}
	defer c.Close()
	stop := context.AfterFunc(ctx, func() { c.Close() })
	defer stop()
	c.SetDeadline(time.Now().Add(readyTimeout))
	if err := sendMessage(c, controlMessage{Word: "hello", Gateway: g.cfg.Name}); err != nil {
		return err
	}
	if _, err := receiveMessage(c, "welcome"); err != nil {
		return err
	}
	// The process is ready once every node is connected or the time for it has passed: nodes that are down for the old
	// process are down for the new one as well.
	g.awaitNodes(ctx)
	if err := ctx.Err(); err != nil {
		return err
	}
	if err := sendMessage(c, controlMessage{Word: "ready"}); err != nil {
		return err
	}
	t, err := receiveMessage(c, "everything")
	if err != nil {
		return err
	}
	if t.Handed == nil {
		return errors.New("nothing was handed over")
	}
	refuse := func(err error) error {
		sendMessage(c, controlMessage{Word: "no", Why: err.Error()})
		return err
	}
	var fdErr error
	t.Handed.FDs(func(fd *int) {
		*fd = -1
		if fdErr == nil {
			*fd, fdErr = receiveFD(c)
		}
	})
	defer t.Handed.Close()
	lock := -1
	if fdErr == nil && t.Lock {
		lock, fdErr = receiveFD(c)
	}
	if fdErr != nil {
		return refuse(fdErr)
	}
	st, err := state.Decode(t.State)
	if err != nil {
		return refuse(err)
	}
	g.store = state.Adopt(g.cfg.State.Dir, lock, fmt.Sprintf("gateway %s, process %d", g.cfg.Name, os.Getpid()))
	quiet := st.Quiet
	if err := g.restoreMarks(); err != nil {
		return refuse(err)
	}
	if err := ring.Adopt(g.Rings, g.cfg, t.Handed); err != nil {
		g.Rings.DropAdopted()
		g.releaseMarks()
		return refuse(err)
	}
	if err := g.applyState(st, true, quiet, true); err != nil {
		g.Rings.DropAdopted()
		g.releaseMarks()
		return refuse(err)
	}
	c.SetDeadline(time.Now().Add(adoptTimeout))
	if err = sendMessage(c, controlMessage{Word: "adopted"}); err == nil {
		_, err = receiveMessage(c, "go")
	}
	if err != nil {
		g.Rings.DropAdopted()
		g.releaseMarks()
		return err
	}
	g.mu.Lock()
	g.deferNodes = false
	g.mu.Unlock()
	// The old process releases its listeners and catalogues as it exits. Rings are served already; files are not served
	// until then.
	for retryUntil := time.Now().Add(readyTimeout); len(g.cfg.Dav) > 0; sleepContext(ctx, 20*time.Millisecond) {
		if err = g.openDav(); err == nil || ctx.Err() != nil || time.Now().After(retryUntil) {
			return err
		}
	}
	return nil
}
