package ring

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"
	"unsafe"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"
)

// session is one client connected to the socket of a volume. Its goroutine reads the messages and owns everything
// except what it shares with the goroutines of the rings.
type session struct {
	server *Server
	dev    *device
	conn   *net.UnixConn
	log    *zap.Logger
	ctx    context.Context
	cancel context.CancelCauseFunc

	features       uint64
	featuresSet    bool // SET_FEATURES was received
	protocol       uint64
	memMu          sync.RWMutex // write-locked to change memory, read-locked to access it
	memory         memory
	rings          []*vring
	inflight       *inflight    // nil if neither the front-end nor the session has a region
	draining       atomic.Bool  // no more requests are taken
	handling       atomic.Bool  // a message is being handled
	callMu         sync.RWMutex // keeps the call and error descriptors of the rings from being closed while in use
	messageCount   int
	freezeRequests chan chan *freezeReply // requests to freeze, for a process that takes over
	done           chan struct{}          // closed when the session has ended
}

func newSession(ctx context.Context, srv *Server, dev *device, conn *net.UnixConn, log *zap.Logger) *session {
	s := &session{server: srv, dev: dev, conn: conn, log: log, freezeRequests: make(chan chan *freezeReply, 1), done: make(chan struct{})}
	s.ctx, s.cancel = context.WithCancelCause(ctx)
	s.memory.maxTotal = uint64(srv.maxMemory)
	for i := range dev.Queues {
		s.rings = append(s.rings, &vring{session: s, index: i, callFD: -1, errFD: -1})
	}
	return s
}

// fail ends the session. Only the first error is kept as the reason.
func (s *session) fail(err error) {
	s.cancel(err)
	s.conn.Close()
}

// serve handles the messages of the client until it disconnects. After it returns, only attempts that are still in
// flight at nodes remain of the session; they do not access client memory.
func (s *session) serve() error {
	defer close(s.done)
	debug.SetPanicOnFault(true) // the client may truncate its memory
	stop := context.AfterFunc(s.ctx, func() { s.conn.Close() })
	defer stop()
	var err error
	buf := make([]byte, maxPayload)
	for {
		var m message
		s.handling.Store(false)
		err = s.awaitMessage()
		s.handling.Store(true)
		if err == nil {
			m, err = readMessage(s.conn, buf)
		}
		if err == errPaused {
			select {
			case ask := <-s.freezeRequests:
				if !s.pauseForHandover(ask) {
					err = io.EOF // another process serves the client now
				}
			default:
				s.conn.SetReadDeadline(time.Time{})
			}
			if err == errPaused {
				continue
			}
		}
		if err != nil {
			break
		}
		s.messageCount++
		err = s.handle(&m)
		m.closeFDs()
		if err != nil {
			err = fmt.Errorf("message %d: %w", s.messageCount, err)
			break
		}
	}
	if cause := context.Cause(s.ctx); cause != nil {
		err = cause
	}
	s.cancel(err)
	for _, v := range s.rings {
		v.abandon()
		s.closeCallFDs(v)
	}
	s.memMu.Lock()
	s.memory.clear()
	s.memMu.Unlock()
	s.closeInflight()
	s.conn.Close()
	if errors.Is(err, io.EOF) && err == io.EOF || errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// awaitMessage waits until data of a message can be read, without consuming it.
func (s *session) awaitMessage() error {
	rc, err := s.conn.SyscallConn()
	if err != nil {
		return err
	}
	var b [1]byte
	err = rc.Read(func(fd uintptr) bool {
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		return err != unix.EAGAIN
	})
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return errPaused
	}
	return err
}

// awaitHandled waits until every message received so far was handled. What a front-end sends before a kick applies to
// that kick, in whatever order it configures a ring.
func (s *session) awaitHandled(ctx context.Context) error {
	rc, err := s.conn.SyscallConn()
	for err == nil {
		n := 0
		if cerr := rc.Control(func(fd uintptr) { n, err = unix.IoctlGetInt(int(fd), unix.SIOCINQ) }); cerr != nil {
			return cerr
		}
		if err == nil && n == 0 && !s.handling.Load() {
			return nil
		}
		if !sleep(ctx, 50*time.Microsecond) {
			return ctx.Err()
		}
	}
	return err
}

// signal writes to an eventfd of the client without blocking. The descriptor may be of any other kind.
func (s *session) signal(fd *int) {
	s.callMu.RLock()
	defer s.callMu.RUnlock()
	if *fd >= 0 {
		var one [8]byte
		binary.LittleEndian.PutUint64(one[:], 1)
		unix.Write(*fd, one[:])
	}
}

// rlockMemory read-locks the client memory. It returns an error, without the lock, once the session has ended, as the
// mappings may be gone.
func (s *session) rlockMemory() error {
	s.memMu.RLock()
	if err := s.ctx.Err(); err != nil {
		s.memMu.RUnlock()
		return err
	}
	return nil
}

// startDraining stops taking requests off the rings; requests already taken are still answered.
func (s *session) startDraining() { s.draining.Store(true) }

// closeCallFDs closes the call and error descriptors of a ring.
func (s *session) closeCallFDs(v *vring) {
	s.callMu.Lock()
	defer s.callMu.Unlock()
	for _, fd := range []*int{&v.callFD, &v.errFD} {
		if *fd >= 0 {
			unix.Close(*fd)
			*fd = -1
		}
	}
}

// handle handles one message and sends its reply. An error ends the session.
func (s *session) handle(m *message) error {
	reply, err := s.dispatch(m)
	if err == errReplied {
		return nil
	}
	if err != nil {
		if m.flags&flagNeedReply != 0 && s.protocol&protoReplyAck != 0 {
			writeReply(s.conn, m.request, []byte{1, 0, 0, 0, 0, 0, 0, 0})
		}
		return err
	}
	if reply == nil && m.flags&flagNeedReply != 0 && s.protocol&protoReplyAck != 0 {
		reply = make([]byte, 8)
	}
	if reply != nil {
		return writeReply(s.conn, m.request, reply)
	}
	return nil
}

// errReplied is returned by a handler that has already sent the reply.
var errReplied = errors.New("replied")

// inflightLayout reads the payload of the inflight messages: size, offset, queues and entries. Some front-ends pad the
// payload to 24 bytes.
func (m *message) inflightLayout(fds int) (size, offset uint64, queues, entries int, err error) {
	if len(m.payload) != 20 && len(m.payload) != 24 {
		return 0, 0, 0, 0, m.expect(20, fds)
	}
	if len(m.fds) != fds {
		return 0, 0, 0, 0, m.expect(len(m.payload), fds)
	}
	return m.u64(0), m.u64(8), int(load16(m.payload[16:])), int(load16(m.payload[18:])), nil
}

// closeInflight unmaps the inflight region. No ring may be running.
func (s *session) closeInflight() {
	if s.inflight != nil {
		s.inflight.close()
		s.inflight = nil
	}
}

// privateInflightEntries is the number of entries per queue of a region that the session creates itself; a larger ring
// is not tracked there.
const privateInflightEntries = 1024

// ensureInflight creates a region of the session itself if the client keeps none: a process that takes over needs it.
func (s *session) ensureInflight() (err error) {
	if s.inflight == nil {
		s.inflight, err = newInflight(len(s.rings), privateInflightEntries)
	}
	return err
}

func (s *session) anyRingRunning() bool {
	for _, v := range s.rings {
		if v.run != nil {
			return true
		}
	}
	return false
}

// handleGetInflight answers GET_INFLIGHT_FD with a new region.
func (s *session) handleGetInflight(m *message) error {
	_, _, queues, entries, err := m.inflightLayout(0)
	if err != nil {
		return err
	}
	if s.anyRingRunning() {
		return errors.New("GET_INFLIGHT_FD while rings are running")
	}
	f, err := newInflight(queues, entries)
	if err != nil {
		return err
	}
	s.closeInflight()
	f.clientOwned, s.inflight = true, f
	b := make([]byte, len(m.payload))
	copy(b[16:], m.payload[16:])
	binary.LittleEndian.PutUint64(b, uint64(len(f.mem)))
	if err := writeReply(s.conn, m.request, b, f.fd); err != nil {
		return err
	}
	return errReplied
}

// handleSetInflight maps the region of SET_INFLIGHT_FD, created by this process or by an earlier one.
func (s *session) handleSetInflight(m *message) error {
	size, offset, queues, entries, err := m.inflightLayout(1)
	if err != nil {
		return err
	}
	if s.anyRingRunning() {
		return errors.New("SET_INFLIGHT_FD while rings are running")
	}
	f, err := openInflight(m.fds[0], size, offset, queues, entries)
	if err != nil {
		return err
	}
	s.closeInflight()
	f.clientOwned, s.inflight = true, f
	return nil
}

func encodeU64(v uint64) []byte { return binary.LittleEndian.AppendUint64(nil, v) }

func (s *session) dispatch(m *message) (reply []byte, err error) {
	switch m.request {
	case getFeatures:
		return encodeU64(s.dev.features()), m.expect(0, 0)
	case setFeatures:
		if err := m.expect(8, 0); err != nil {
			return nil, err
		}
		f := m.u64(0)
		if extra := f &^ s.dev.features(); extra != 0 {
			return nil, fmt.Errorf("SET_FEATURES sets bits %#x, which were not offered", extra)
		}
		s.features, s.featuresSet = f, true
		if f&featProtocol == 0 { // rings then start enabled
			for _, v := range s.rings {
				v.enabled = true
				if err := v.start(); err != nil {
					return nil, err
				}
			}
		}
		return nil, nil
	case getProtocolFeatures:
		return encodeU64(protocolFeatures), m.expect(0, 0)
	case setProtocolFeatures:
		if err := m.expect(8, 0); err != nil {
			return nil, err
		}
		if extra := m.u64(0) &^ protocolFeatures; extra != 0 {
			return nil, fmt.Errorf("SET_PROTOCOL_FEATURES sets bits %#x, which were not offered", extra)
		}
		s.protocol = m.u64(0)
		return nil, nil
	case setOwner:
		return nil, m.expect(0, 0)
	case resetOwner, resetDevice:
		if err := m.expect(0, 0); err != nil {
			return nil, err
		}
		for _, v := range s.rings {
			v.stop()
			v.base, v.kicked, v.enabled = 0, false, false
			if m.request == resetDevice {
				v.hasAddresses = false
			}
		}
		if m.request == resetDevice {
			s.features, s.featuresSet = 0, false
		}
		return nil, nil
	case getQueueNum:
		return encodeU64(uint64(len(s.rings))), m.expect(0, 0)
	case getMaxMemSlots:
		return encodeU64(maxMemSlots), m.expect(0, 0)
	case setMemTable:
		return nil, s.setMemTable(m)
	case addMemReg, remMemReg:
		return nil, s.changeRegion(m)
	case getInflightFD:
		return nil, s.handleGetInflight(m)
	case setInflightFD:
		return nil, s.handleSetInflight(m)
	case getConfig:
		return s.readConfig(m)
	case setConfig:
		return nil, errors.New("SET_CONFIG: the configuration space has no writable field")
	case setVringNum, setVringBase, getVringBase, setVringEnable:
		return s.handleRingState(m)
	case setVringAddr:
		return nil, s.setRingAddress(m)
	case setVringKick, setVringCall, setVringErr:
		return nil, s.setRingFD(m)
	}
	return nil, fmt.Errorf("%s is unknown or was not negotiated", messageName(m.request))
}

// setMemTable replaces all memory of the client.
func (s *session) setMemTable(m *message) error {
	if len(m.payload) < 8 {
		return fmt.Errorf("SET_MEM_TABLE has a payload of %d bytes", len(m.payload))
	}
	n := int(m.u32(0))
	if n > maxFDs {
		return fmt.Errorf("SET_MEM_TABLE has %d regions, max %d", n, maxFDs)
	}
	// Some front-ends send the whole table including unused entries, so only the minimum length is fixed.
	if len(m.payload) < 8+32*n || len(m.payload) > 8+32*maxFDs || len(m.fds) != n {
		return fmt.Errorf("SET_MEM_TABLE has %d regions in %d bytes with %d file descriptors", n, len(m.payload), len(m.fds))
	}
	fresh := memory{maxTotal: s.memory.maxTotal}
	for i := range n {
		at := 8 + 32*i
		if err := fresh.add(m.u64(at), m.u64(at+8), m.u64(at+16), m.u64(at+24), m.fds[i]); err != nil {
			fresh.clear()
			return err
		}
	}
	s.memMu.Lock()
	defer s.memMu.Unlock()
	s.memory.clear()
	s.memory = fresh
	return s.remapRings()
}

func (s *session) changeRegion(m *message) error {
	if len(m.payload) != 40 {
		return m.expect(40, 1)
	}
	s.memMu.Lock()
	defer s.memMu.Unlock()
	if m.request == addMemReg {
		if len(m.fds) != 1 {
			return m.expect(40, 1)
		}
		if len(s.memory.regions) >= maxMemSlots {
			return fmt.Errorf("ADD_MEM_REG: more than %d regions", maxMemSlots)
		}
		if err := s.memory.add(m.u64(8), m.u64(16), m.u64(24), m.u64(32), m.fds[0]); err != nil {
			return err
		}
	} else if err := s.memory.remove(m.u64(8), m.u64(16), m.u64(24)); err != nil {
		return err
	}
	return s.remapRings()
}

// remapRings looks up the running rings again after the memory has changed. The caller holds memMu.
func (s *session) remapRings() error {
	for _, v := range s.rings {
		if v.run != nil {
			if err := v.run.mapRing(); err != nil {
				s.fail(err) // before a goroutine accesses the ring at its old address
				return err
			}
		}
	}
	return nil
}

// readConfig answers GET_CONFIG: offset, size, flags and the requested bytes.
func (s *session) readConfig(m *message) ([]byte, error) {
	if len(m.payload) < 12 {
		return nil, fmt.Errorf("GET_CONFIG has a payload of %d bytes", len(m.payload))
	}
	off, n := m.u32(0), m.u32(4)
	if n > maxConfigPayload || int(n) != len(m.payload)-12 {
		return nil, fmt.Errorf("GET_CONFIG requests %d bytes in a payload of %d bytes", n, len(m.payload))
	}
	if off > maxConfigPayload || off+n > maxConfigPayload {
		// A zero length signals an error.
		return binary.LittleEndian.AppendUint64(binary.LittleEndian.AppendUint32(nil, off), 0), nil
	}
	b := append([]byte(nil), m.payload...)
	clear(b[12:])
	if c := s.dev.config(); int(off) < len(c) {
		copy(b[12:], c[off:])
	}
	return b, nil
}

func (s *session) ringByIndex(m *message, index uint32) (*vring, error) {
	if int64(index) >= int64(len(s.rings)) {
		return nil, fmt.Errorf("%s refers to queue %d of %d", messageName(m.request), index, len(s.rings))
	}
	return s.rings[index], nil
}

// handleRingState handles the messages whose payload is a ring index and a number.
func (s *session) handleRingState(m *message) (reply []byte, err error) {
	if err := m.expect(8, 0); err != nil {
		return nil, err
	}
	v, err := s.ringByIndex(m, m.u32(0))
	if err != nil {
		return nil, err
	}
	n := m.u32(4)
	switch m.request {
	case setVringNum:
		if n == 0 || n > maxQueueSize || n&(n-1) != 0 {
			return nil, fmt.Errorf("SET_VRING_NUM: %d entries is not a power of two up to %d", n, maxQueueSize)
		}
		// A front-end may configure a ring in any order, also after the ring has all it needs to start. Such a ring
		// starts early, which has no effect until the configuration is complete.
		v.stop()
		v.num = uint16(n)
		return nil, v.start()
	case setVringBase:
		if n > 0xffff {
			return nil, fmt.Errorf("SET_VRING_BASE: %d is not a ring index", n)
		}
		v.stop()
		v.base = uint16(n)
		return nil, v.start()
	case getVringBase:
		base := v.stop()
		v.kicked = false
		if v.kick != nil { // stopped until a new descriptor is set
			v.kick.Close()
			v.kick = nil
		}
		v.polled = false
		b := binary.LittleEndian.AppendUint32(nil, uint32(v.index))
		return binary.LittleEndian.AppendUint32(b, uint32(base)), nil
	case setVringEnable:
		if s.featuresSet && s.features&featProtocol == 0 {
			return nil, errors.New("SET_VRING_ENABLE without VHOST_USER_F_PROTOCOL_FEATURES")
		}
		if n > 1 {
			return nil, fmt.Errorf("SET_VRING_ENABLE: %d is neither 0 nor 1", n)
		}
		if v.enabled = n == 1; !v.enabled {
			v.stop()
			return nil, nil
		}
		return nil, v.start()
	}
	return nil, nil
}

func (s *session) setRingAddress(m *message) error {
	if err := m.expect(40, 0); err != nil {
		return err
	}
	v, err := s.ringByIndex(m, m.u32(0))
	if err != nil {
		return err
	}
	if m.u32(4)&1 != 0 {
		return errors.New("SET_VRING_ADDR asks for logging, which was not offered")
	}
	v.descAt, v.usedAt, v.availAt, v.hasAddresses = m.u64(8), m.u64(16), m.u64(24), true
	if v.run != nil {
		s.memMu.Lock()
		defer s.memMu.Unlock()
		return v.run.mapRing()
	}
	return v.start()
}

// setRingFD sets a kick, call or error descriptor of a ring, or removes it if the message says that there is none.
func (s *session) setRingFD(m *message) error {
	if len(m.payload) != 8 {
		return m.expect(8, 1)
	}
	word := m.u64(0)
	none := word&vringNoFD != 0
	if want := map[bool]int{true: 0, false: 1}[none]; len(m.fds) != want {
		return m.expect(8, want)
	}
	v, err := s.ringByIndex(m, uint32(word&0xff))
	if err != nil {
		return err
	}
	fd := -1
	if !none {
		fd = m.fds[0]
		m.fds = nil
		// Neither reads nor writes of this process may block in the kernel. The flag is shared with the client, whose
		// own calls on an eventfd do not block either.
		if err := unix.SetNonblock(fd, true); err != nil {
			unix.Close(fd)
			return fmt.Errorf("%s: %w", messageName(m.request), err)
		}
	}
	if m.request != setVringKick {
		s.callMu.Lock()
		defer s.callMu.Unlock()
		old := &v.callFD
		if m.request == setVringErr {
			old = &v.errFD
		}
		if *old >= 0 {
			unix.Close(*old)
		}
		*old = fd
		return nil
	}
	v.stop()
	if v.kick != nil {
		v.kick.Close()
		v.kick = nil
	}
	if v.polled = none; !none {
		v.kick = os.NewFile(uintptr(fd), fmt.Sprintf("kick of queue %d", v.index))
		if err := v.kick.SetReadDeadline(time.Time{}); err != nil {
			return fmt.Errorf("SET_VRING_KICK: descriptor cannot be polled: %w", err)
		}
	}
	return v.start()
}

func init() {
	var b [2]byte
	*(*uint16)(unsafe.Pointer(&b[0])) = 1
	if b[0] != 1 {
		panic("ring: virtio 1 rings are little-endian, but this machine is not")
	}
}
