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
A planned restart: a second process starts beside the running one, connects to the nodes, and takes over by the socket
"control" in the state folder. Each message is a 4-byte length and JSON; descriptors follow their message, one with each
byte of "F".

	new                      old
	hello (gateway)    ->
	                   <-    welcome, or a refusal
	ready              ->                            nodes are connected to
	                         stands still
	                   <-    everything              state, listeners, sessions, lock
	adopted            ->                            nothing was taken yet
	                   <-    go                      the old one ends
	serves

Until it has said go the old one goes on as before if the new one says no, is cut off, or does not answer in time; and
without go the new one takes nothing.
*/
const (
	controlName = "control"
	// adoptTime is how long the new process has to adopt what it was given, while nobody serves.
	adoptTime = 1 * time.Second
	// readyTime is how long it has to connect to the nodes, while the old one serves.
	readyTime = 30 * time.Second
	mostTalk  = 128 << 20
)

type talk struct {
	Gateway string       `json:",omitempty"`
	Word    string       // hello, welcome, ready, everything, adopted, go, or no
	Why     string       `json:",omitempty"` // no: the reason
	State   []byte       `json:",omitempty"`
	Handed  *ring.Handed `json:",omitempty"`
	Lock    bool         `json:",omitempty"` // its descriptor is the last
}

func say(c *net.UnixConn, t talk, fds ...int) error {
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

func hear(c *net.UnixConn, want string) (t talk, err error) {
	var n [4]byte
	if _, err := io.ReadFull(c, n[:]); err != nil {
		return t, fmt.Errorf("waiting for %q: %w", want, err)
	}
	size := binary.LittleEndian.Uint32(n[:])
	if size > mostTalk {
		return t, fmt.Errorf("waiting for %q: a message of %d bytes", want, size)
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
		return t, fmt.Errorf("%q in place of %q", t.Word, want)
	}
	return t, nil
}

// hearFD takes the descriptor that comes with the next byte.
func hearFD(c *net.UnixConn) (int, error) {
	var b [1]byte
	oob := make([]byte, unix.CmsgSpace(4))
	_, n, _, _, err := c.ReadMsgUnix(b[:], oob)
	if err != nil {
		return -1, err
	}
	cs, err := unix.ParseSocketControlMessage(oob[:n])
	if err != nil || len(cs) != 1 {
		return -1, fmt.Errorf("no descriptor came: %v", err)
	}
	fds, err := unix.ParseUnixRights(&cs[0])
	if err != nil || len(fds) != 1 {
		return -1, fmt.Errorf("%d descriptors came: %v", len(fds), err)
	}
	return fds[0], nil
}

// listenControl lets another process take over, until ctx ends or one has.
func (g *Gateway) listenControl(ctx context.Context) error {
	path := filepath.Join(g.cfg.State.Dir, controlName)
	os.Remove(path) // the folder is ours alone, so whoever listened there is gone or about to be
	l, err := net.ListenUnix("unix", &net.UnixAddr{Name: path, Net: "unix"})
	if err != nil {
		g.log.Warn("nobody can take over", zap.Error(err))
		return nil
	}
	os.Chmod(path, 0o600)
	l.SetUnlinkOnClose(false) // by then it may be the next process's
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
			close(g.handed)
			return nil
		}
		g.log.Warn("a takeover failed; this process goes on", zap.Error(err))
	}
}

// handOver speaks with a process that wants to take over. Without an error that process serves now.
func (g *Gateway) handOver(c *net.UnixConn) error {
	c.SetDeadline(time.Now().Add(readyTime))
	t, err := hear(c, "hello")
	if err != nil {
		return err
	}
	if t.Gateway != g.cfg.Name {
		why := fmt.Sprintf("this is gateway %q, not %q", g.cfg.Name, t.Gateway)
		say(c, talk{Word: "no", Why: why})
		return errors.New(why)
	}
	if err := say(c, talk{Word: "welcome"}); err != nil {
		return err
	}
	if _, err := hear(c, "ready"); err != nil {
		return err
	}
	began := time.Now()
	h, thaw, err := g.Rings.Freeze()
	if err != nil {
		say(c, talk{Word: "no", Why: err.Error()})
		return err
	}
	// From here on the new process may write the state: two that replace one file would tear it.
	g.store.Suspend(true)
	stillHere := thaw
	thaw = func(goOn bool) {
		if goOn {
			g.store.Suspend(false)
			if g.marks != nil {
				if err := g.marks.store.Suspend(false); err != nil {
					g.log.Error("marks of copies cannot be taken back; changes that need one are refused", zap.Error(err))
				}
			}
		}
		stillHere(goOn)
	}
	if g.marks != nil { // from here on nothing that needs a mark is answered here
		if err := g.marks.store.Suspend(true); err != nil {
			thaw(true)
			return err
		}
	}
	quiet := g.Engine.Quiet()
	b, err := state.Encode(g.snapshot(true, quiet))
	if err != nil {
		thaw(true)
		return err
	}
	var fds []int
	h.FDs(func(fd *int) { fds = append(fds, *fd) })
	lock := g.store.Lock()
	if lock >= 0 {
		fds = append(fds, lock)
	}
	c.SetDeadline(time.Now().Add(adoptTime))
	if err = say(c, talk{Word: "everything", State: b, Handed: h, Lock: lock >= 0}, fds...); err == nil {
		_, err = hear(c, "adopted")
	}
	if err != nil {
		// Cut off before go is said: a process that is only slow finds that out, and takes nothing.
		c.Close()
		thaw(true)
		return err
	}
	err = say(c, talk{Word: "go"})
	thaw(err != nil)
	if err == nil {
		g.log.Info("handed over", zap.Duration("stood still", time.Since(began)), zap.Int("clients", len(h.Sessions)), zap.Bool("quiet", quiet))
	}
	return err
}

// Takeover makes a gateway that begins by taking over from the process that holds its state folder.
func Takeover(cfg *settings.Config, log *zap.Logger) (*Gateway, error) {
	if cfg.State.Dir == "" {
		return nil, errors.New("a takeover needs state(dir = …) in the settings")
	}
	g, err := build(cfg, log)
	if err != nil {
		return nil, err
	}
	g.takeover, g.waiting = true, true
	g.Rings = ring.New(g.front, cfg, g.Engine, log.Named("ring"))
	return g, nil
}

// dropMarks gives the marks back to the process that goes on.
func (g *Gateway) dropMarks() {
	if g.marks != nil {
		g.marks.store.Close()
		g.marks = nil
	}
}

// takeOver is the new process's part. Its nodes' goroutines run already.
func (g *Gateway) takeOver(ctx context.Context) error {
	c, err := net.DialUnix("unix", nil, &net.UnixAddr{Name: filepath.Join(g.cfg.State.Dir, controlName), Net: "unix"})
	if err != nil {
		return fmt.Errorf("no process to take over from: %w", err)
	}
	defer c.Close()
	stop := context.AfterFunc(ctx, func() { c.Close() })
	defer stop()
	c.SetDeadline(time.Now().Add(readyTime))
	if err := say(c, talk{Word: "hello", Gateway: g.cfg.Name}); err != nil {
		return err
	}
	if _, err := hear(c, "welcome"); err != nil {
		return err
	}
	// Healthy is: every node is reached, or has had the time for it; those that are down for the old are so for the new.
	g.reach(ctx)
	if err := ctx.Err(); err != nil {
		return err
	}
	if err := say(c, talk{Word: "ready"}); err != nil {
		return err
	}
	t, err := hear(c, "everything")
	if err != nil {
		return err
	}
	if t.Handed == nil {
		return errors.New("nothing was handed over")
	}
	refuse := func(err error) error {
		say(c, talk{Word: "no", Why: err.Error()})
		return err
	}
	var ferr error
	t.Handed.FDs(func(fd *int) {
		*fd = -1
		if ferr == nil {
			*fd, ferr = hearFD(c)
		}
	})
	defer t.Handed.Close()
	lock := -1
	if ferr == nil && t.Lock {
		lock, ferr = hearFD(c)
	}
	if ferr != nil {
		return refuse(ferr)
	}
	st, err := state.Decode(t.State)
	if err != nil {
		return refuse(err)
	}
	g.store = state.Adopt(g.cfg.State.Dir, lock, fmt.Sprintf("gateway %s, process %d", g.cfg.Name, os.Getpid()))
	quiet := st.Quiet
	if err := g.recallMarks(); err != nil {
		return refuse(err)
	}
	if err := ring.Adopt(g.Rings, g.cfg, t.Handed); err != nil {
		g.Rings.DropAdopted()
		g.dropMarks()
		return refuse(err)
	}
	if err := g.remember(st, true, quiet, true); err != nil {
		g.Rings.DropAdopted()
		g.dropMarks()
		return refuse(err)
	}
	c.SetDeadline(time.Now().Add(adoptTime))
	if err = say(c, talk{Word: "adopted"}); err == nil {
		_, err = hear(c, "go")
	}
	if err != nil {
		g.Rings.DropAdopted()
		g.dropMarks()
		return err
	}
	g.mu.Lock()
	g.waiting = false
	g.mu.Unlock()
	// The old process lets go of listeners and catalogues as it ends. Rings are served already; files stand still until then.
	for end := time.Now().Add(readyTime); len(g.cfg.Dav) > 0; pause(ctx, 20*time.Millisecond) {
		if err = g.openDav(); err == nil || ctx.Err() != nil || time.Now().After(end) {
			return err
		}
	}
	return nil
}
