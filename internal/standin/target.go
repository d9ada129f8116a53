// Package standin holds what a gateway meets in service, written from the public specifications for tests, the demo
// and the lab: storage nodes and a directory that speak NVMe/TCP, and a virtio-blk client that speaks vhost-user. They
// do what a script of troubles tells them, and keep records of what crossed their sockets for the audit.
package standin

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"appleplank/internal/nvme"
)

// target is the controller side of NVMe/TCP that nodes and the directory share: connections, Fabrics commands, and
// the admin commands that do not differ.
type target struct {
	nqn      string
	identify func(cntlid uint16) nvme.Controller
	log      func(id uint8, host string) ([]byte, bool)
	admin    func(c *conn, cmd *nvme.Command) (nvme.Status, uint32, bool) // what else is known
	io       func(c *conn, cmd nvme.Command, data []byte)                 // nil: no I/O queues
	digests  bool
	align    int // data alignment asked of the host, 4 where 0

	mu    sync.Mutex
	ln    net.Listener
	conns map[*conn]bool
	ids   uint16
	wg    sync.WaitGroup
	slow  atomic.Int64 // bytes a second that are sent; 0: no bound
	deaf  atomic.Bool  // connections are taken and never answered
	blind atomic.Bool  // nothing more is read

	BytesIn, BytesOut atomic.Int64 // on all connections
}

// conn is one queue's connection.
type conn struct {
	t       *target
	c       net.Conn
	r       *nvme.Reader
	id      uint64
	qid     uint16
	host    string
	cntlid  uint16
	enabled bool
	reports atomic.Bool

	mu     sync.Mutex // the writer, events and transfers
	w      *nvme.Writer
	events []uint16 // event requests that wait
	notice []uint32 // notices that wait for a request
	waits  map[uint16]*transfer
	tags   uint16
	sqhd   uint16
}

// transfer is a command whose data was asked for.
type transfer struct {
	cmd  nvme.Command
	data []byte
	got  int
}

const mostData = 4 << 20

func (t *target) listen(address string) error {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	t.mu.Lock()
	t.ln, t.conns = ln, map[*conn]bool{}
	t.mu.Unlock()
	t.wg.Add(1)
	go func() {
		defer t.wg.Done()
		for n := uint64(1); ; n++ {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			x := &conn{t: t, c: c, id: n, waits: map[uint16]*transfer{}}
			counted := &counting{Conn: c, t: t}
			x.r, x.w = nvme.NewReader(counted, mostData), nvme.NewWriter(&throttled{counted, &t.slow})
			t.mu.Lock()
			if t.ln != ln {
				t.mu.Unlock()
				c.Close()
				continue
			}
			t.conns[x] = true
			t.wg.Add(1)
			t.mu.Unlock()
			go func() {
				defer t.wg.Done()
				x.serve()
				c.Close()
				t.mu.Lock()
				delete(t.conns, x)
				t.mu.Unlock()
			}()
		}
	}()
	return nil
}

// close ends the listener and all connections at once, as a killed process does.
func (t *target) close() {
	t.mu.Lock()
	if t.ln != nil {
		t.ln.Close()
		t.ln = nil
	}
	for c := range t.conns {
		if tc, ok := c.c.(*net.TCPConn); ok {
			tc.SetLinger(0)
		}
		c.c.Close()
	}
	t.mu.Unlock()
	t.wg.Wait()
}

// reset breaks the connections and keeps listening.
func (t *target) reset() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for c := range t.conns {
		c.c.Close()
		delete(t.conns, c)
	}
}

// each calls f for each connection.
func (t *target) each(f func(c *conn)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for c := range t.conns {
		f(c)
	}
}

func (c *conn) serve() error {
	var h nvme.Header
	if err := c.r.Next(&h); err != nil {
		return err
	}
	p, err := h.Params()
	if err != nil || h.Type != nvme.ICReq {
		return errors.New("no ICReq")
	}
	if c.t.deaf.Load() {
		io.Copy(io.Discard, c.c)
		return nil
	}
	hd, dd := p.HeaderDigest && c.t.digests, p.DataDigest && c.t.digests
	if err := c.w.Init(nvme.ICResp, nvme.Params{Align: max(c.t.align, 4), HeaderDigest: hd, DataDigest: dd, MaxH2CData: 128 << 10}); err != nil {
		return err
	}
	c.w.Flush()
	c.w.Align, c.w.HeaderDigest, c.w.DataDigest = p.Align, hd, dd
	c.r.HeaderDigest, c.r.DataDigest = hd, dd
	for {
		for c.t.blind.Load() && c.live() {
			time.Sleep(5 * time.Millisecond)
		}
		err := c.r.Next(&h)
		if err == nil {
			err = c.take(&h)
		}
		if err != nil {
			var fatal *nvme.FatalError
			if errors.As(err, &fatal) {
				c.mu.Lock()
				c.w.Terminate(nvme.C2HTermReq, fatal, h.Raw())
				c.mu.Unlock()
			}
			return err
		}
	}
}

// live tells whether the node has not closed the connection.
func (c *conn) live() bool {
	c.t.mu.Lock()
	defer c.t.mu.Unlock()
	return c.t.ln != nil && c.t.conns[c]
}

func (c *conn) take(h *nvme.Header) error {
	switch h.Type {
	case nvme.CapsuleCmd:
		cmd := *h.Command()
		n, in, err := cmd.DataLen()
		if err != nil || n > mostData || in && int(n) != h.DataLen {
			return &nvme.FatalError{Status: nvme.FESHeaderField, Text: fmt.Sprintf("capsule of %d bytes says %d (%v)", h.DataLen, n, err)}
		}
		var data []byte
		if h.DataLen > 0 {
			data = make([]byte, h.DataLen)
			if err := c.r.Data(data); err == nvme.ErrDataDigest {
				c.respond(cmd.CID(), nvme.TransientTransport, 0, 0)
				return nil
			} else if err != nil {
				return err
			}
		}
		if toController(&cmd) && n > 0 && !in {
			return c.ask(cmd, int(n))
		}
		c.dispatch(cmd, data)
		return nil
	case nvme.H2CData:
		return c.data(h)
	case nvme.H2CTermReq:
		return errors.New("the host ends the connection")
	}
	return &nvme.FatalError{Status: nvme.FESSequence, Text: fmt.Sprintf("%v from a host", h.Type)}
}

// toController tells whether a command's data goes to the controller: bits 1 and 0 of its opcode are 01.
func toController(cmd *nvme.Command) bool {
	if cmd.Opcode() == nvme.OpFabrics {
		return cmd.FabricsType()&3 == 1
	}
	return cmd.Opcode()&3 == 1
}

func (c *conn) ask(cmd nvme.Command, n int) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tags++
	c.waits[c.tags] = &transfer{cmd: cmd, data: make([]byte, n)}
	c.w.Transfer(nvme.R2T, 0, cmd.CID(), c.tags, 0, uint32(n), nil)
	return c.w.Flush()
}

func (c *conn) data(h *nvme.Header) error {
	cid, tag, off, n := h.Transfer()
	c.mu.Lock()
	x := c.waits[tag]
	c.mu.Unlock()
	if x == nil || x.cmd.CID() != cid || int(off) != x.got || int(n) != h.DataLen || x.got+int(n) > len(x.data) {
		return &nvme.FatalError{Status: nvme.FESOutOfRange, Text: "H2CData that was not asked for"}
	}
	err := c.r.Data(x.data[off : off+n])
	if err != nil && err != nvme.ErrDataDigest {
		return err
	}
	if x.got += int(n); x.got < len(x.data) && err == nil {
		return nil
	}
	c.mu.Lock()
	delete(c.waits, tag)
	c.mu.Unlock()
	if err != nil {
		c.respond(cid, nvme.TransientTransport, 0, 0)
		return nil
	}
	c.dispatch(x.cmd, x.data)
	return nil
}

func (c *conn) dispatch(cmd nvme.Command, data []byte) {
	c.mu.Lock()
	c.sqhd++
	c.mu.Unlock()
	switch {
	case cmd.Opcode() == nvme.OpFabrics:
		s, v := c.fabrics(&cmd, data)
		c.respond(cmd.CID(), s, uint32(v), uint32(v>>32))
	case c.host == "":
		c.respond(cmd.CID(), nvme.SequenceError, 0, 0)
	case c.qid > 0:
		c.t.io(c, cmd, data)
	default:
		c.adminCommand(&cmd)
	}
}

func (c *conn) fabrics(cmd *nvme.Command, data []byte) (nvme.Status, uint64) {
	switch cmd.FabricsType() {
	case nvme.FabricsConnect:
		d, err := nvme.ParseConnect(data)
		_, qid, size, _ := cmd.ConnectRequest()
		if err != nil || d.SubNQN != c.t.nqn || c.host != "" || size < 2 || qid > 0 && c.t.io == nil {
			return nvme.ConnectInvalid | nvme.DoNotRetry, 0
		}
		c.t.mu.Lock()
		defer c.t.mu.Unlock()
		if c.cntlid = d.CNTLID; qid == 0 {
			c.t.ids++
			c.cntlid = c.t.ids
		}
		for a := range c.t.conns {
			if a.host != "" && a.qid == 0 && a.cntlid == c.cntlid {
				c.reports.Store(a.reports.Load())
			}
		}
		c.qid, c.host = qid, d.HostNQN
		return nvme.Success, uint64(c.cntlid)
	case nvme.FabricsPropertySet:
		if cmd.Dword(11) == nvme.PropCC {
			c.enabled = cmd.Dword(12)&1 != 0
		}
		return nvme.Success, 0
	case nvme.FabricsPropertyGet:
		switch cmd.Dword(11) {
		case nvme.PropCAP:
			return nvme.Success, 1023 | 1<<16 | 30<<24 | 1<<37 // 1024 entries, contiguous, 15 s, NVM command set
		case nvme.PropVS:
			return nvme.Success, 0x20000
		case nvme.PropCC, nvme.PropCSTS:
			if c.enabled {
				return nvme.Success, 1
			}
			return nvme.Success, 0
		}
	}
	return nvme.InvalidField | nvme.DoNotRetry, 0
}

func (c *conn) adminCommand(cmd *nvme.Command) {
	cid := cmd.CID()
	switch cmd.Opcode() {
	case nvme.OpIdentify:
		if uint8(cmd.Dword(10)) == nvme.CNSController {
			ctl := c.t.identify(c.cntlid)
			c.send(cid, ctl.Marshal())
			return
		}
	case nvme.OpGetLogPage:
		id, off, n := cmd.LogPageRequest()
		page, ok := c.t.log(id, c.host)
		if !ok || n > mostData {
			c.respond(cid, nvme.InvalidLogPage|nvme.DoNotRetry, 0, 0)
			return
		}
		b := make([]byte, n)
		if off < uint64(len(page)) {
			copy(b, page[off:])
		}
		c.send(cid, b)
		return
	case nvme.OpAsyncEvent:
		c.mu.Lock()
		if len(c.events) >= 4 {
			c.mu.Unlock()
			c.respond(cid, nvme.AsyncLimit, 0, 0)
			return
		}
		c.events = append(c.events, cid)
		c.mu.Unlock()
		c.notify(0)
		return
	case nvme.OpKeepAlive:
		c.respond(cid, nvme.Success, 0, 0)
		return
	case nvme.OpSetFeatures:
		switch uint8(cmd.Dword(10)) {
		case nvme.FeatNumQueues:
			c.respond(cid, nvme.Success, cmd.Dword(11), 0)
			return
		case nvme.FeatAsyncEvent, nvme.FeatKeepAlive:
			c.respond(cid, nvme.Success, 0, 0)
			return
		}
	}
	s, dw0, ok := c.t.admin(c, cmd)
	if !ok {
		s = nvme.InvalidField | nvme.DoNotRetry
	}
	if s != pending {
		c.respond(cid, s, dw0, 0)
	}
}

// pending says that a command is answered elsewhere.
const pending nvme.Status = 0x7fff

// notify sends a notice, or keeps it until an event request is there; 0 sends what is kept.
func (c *conn) notify(dw0 uint32) {
	c.mu.Lock()
	if dw0 != 0 {
		c.notice = append(c.notice, dw0)
	}
	var cid uint16
	ready := len(c.notice) > 0 && len(c.events) > 0
	if ready {
		cid, dw0 = c.events[0], c.notice[0]
		c.events, c.notice = c.events[1:], c.notice[1:]
	}
	c.mu.Unlock()
	if ready {
		c.respond(cid, nvme.Success, dw0, 0)
	}
}

func notice(info, page uint8) uint32 { return 2 | uint32(info)<<8 | uint32(page)<<16 }

func (c *conn) respond(cid uint16, s nvme.Status, dw0, dw1 uint32) {
	c.mu.Lock()
	defer c.mu.Unlock()
	q := nvme.NewCompletion(cid, c.sqhd, s, dw0, dw1)
	c.w.Response(&q)
	c.w.Flush()
}

// send answers a command with data.
func (c *conn) send(cid uint16, data []byte) {
	c.sendWith(cid, data, nvme.NewCompletion(cid, 0, nvme.Success, 0, 0))
}

func (c *conn) sendWith(cid uint16, data []byte, q nvme.Completion) {
	c.mu.Lock()
	defer c.mu.Unlock()
	const step = 256 << 10
	for off := 0; off < len(data); off += step {
		end := min(off+step, len(data))
		flags := uint8(0)
		if end == len(data) {
			flags = nvme.FlagLast
		}
		c.w.Transfer(nvme.C2HData, flags, cid, 0, uint32(off), uint32(end-off), data[off:end])
	}
	binary.LittleEndian.PutUint16(q[8:], c.sqhd)
	c.w.Response(&q)
	c.w.Flush()
}

// counting counts what crosses a connection, on the node's side.
type counting struct {
	net.Conn
	t *target
}

func (c *counting) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.t.BytesIn.Add(int64(n))
	return n, err
}

func (c *counting) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.t.BytesOut.Add(int64(n))
	return n, err
}
