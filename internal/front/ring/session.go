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

// session is one client on one volume's socket. Its goroutine reads messages and owns everything but what the rings'
// goroutines share.
type session struct {
	server *Server
	dev    *device
	conn   *net.UnixConn
	log    *zap.Logger
	ctx    context.Context
	cancel context.CancelCauseFunc

	features  uint64
	acked     bool // SET_FEATURES has come
	protocol  uint64
	memMu     sync.RWMutex // held to change memory, read-held to touch it
	memory    memory
	rings     []*vring
	inflight  *inflight    // nil: the front-end keeps none
	draining  atomic.Bool  // nothing more is taken
	handling  atomic.Bool  // a message is being carried out
	callMu    sync.RWMutex // guards the rings' call and error descriptors against being closed in use
	messageNo int
	freezes   chan chan *frozen // to stand still, for a process that takes over
	over      chan struct{}     // closed when the session has ended
}

func newSession(ctx context.Context, srv *Server, dev *device, conn *net.UnixConn, log *zap.Logger) *session {
	s := &session{server: srv, dev: dev, conn: conn, log: log, freezes: make(chan chan *frozen, 1), over: make(chan struct{})}
	s.ctx, s.cancel = context.WithCancelCause(ctx)
	s.memory.most = uint64(srv.mostMemory)
	for i := range dev.Queues {
		s.rings = append(s.rings, &vring{s: s, index: i, call: -1, errFD: -1})
	}
	return s
}

// fail ends the session; the first reason counts.
func (s *session) fail(err error) {
	s.cancel(err)
	s.conn.Close()
}

// serve speaks with the client until it leaves. When it returns nothing of the session is left but attempts that
// still run at nodes, which touch none of the client's memory.
func (s *session) serve() error {
	defer close(s.over)
	debug.SetPanicOnFault(true) // the client may take its memory away
	stop := context.AfterFunc(s.ctx, func() { s.conn.Close() })
	defer stop()
	var err error
	buf := make([]byte, mostPayload)
	for {
		var m message
		s.handling.Store(false)
		err = s.await()
		s.handling.Store(true)
		if err == nil {
			m, err = readMessage(s.conn, buf)
		}
		if err == errPaused {
			select {
			case ask := <-s.freezes:
				if !s.standStill(ask) {
					err = io.EOF // another process speaks with the client now
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
		s.messageNo++
		err = s.handle(&m)
		m.closeFDs()
		if err != nil {
			err = fmt.Errorf("message %d: %w", s.messageNo, err)
			break
		}
	}
	if cause := context.Cause(s.ctx); cause != nil {
		err = cause
	}
	s.cancel(err)
	for _, v := range s.rings {
		v.leave()
		s.dropCalls(v)
	}
	s.memMu.Lock()
	s.memory.clear()
	s.memMu.Unlock()
	s.dropInflight()
	s.conn.Close()
	if errors.Is(err, io.EOF) && err == io.EOF || errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// await waits until a message begins to come, and leaves it where it is.
func (s *session) await() error {
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

// settled waits until every message that came before now has been carried out: what a front-end says before it kicks
// holds for that kick, in whatever order it tells of a ring.
func (s *session) settled(ctx context.Context) error {
	rc, err := s.conn.SyscallConn()
	for err == nil {
		n := 0
		if cerr := rc.Control(func(fd uintptr) { n, err = unix.IoctlGetInt(int(fd), unix.SIOCINQ) }); cerr != nil {
			return cerr
		}
		if err == nil && n == 0 && !s.handling.Load() {
			return nil
		}
		if !pause(ctx, 50*time.Microsecond) {
			return ctx.Err()
		}
	}
	return err
}

// signal writes to an eventfd of the client's, or whatever it is: without waiting.
func (s *session) signal(fd *int) {
	s.callMu.RLock()
	defer s.callMu.RUnlock()
	if *fd >= 0 {
		var one [8]byte
		binary.LittleEndian.PutUint64(one[:], 1)
		unix.Write(*fd, one[:])
	}
}

// touch read-locks the client's memory; it is an error once the session has ended, as its mappings may be gone.
func (s *session) touch() error {
	s.memMu.RLock()
	if err := s.ctx.Err(); err != nil {
		s.memMu.RUnlock()
		return err
	}
	return nil
}

// stopTaking lets the rings take nothing more; what they took is still answered.
func (s *session) stopTaking() { s.draining.Store(true) }

func (s *session) dropCalls(v *vring) {
	s.callMu.Lock()
	defer s.callMu.Unlock()
	for _, fd := range []*int{&v.call, &v.errFD} {
		if *fd >= 0 {
			unix.Close(*fd)
			*fd = -1
		}
	}
}

// handle carries out one message. An error ends the session.
func (s *session) handle(m *message) error {
	reply, err := s.carryOut(m)
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

// errReplied says that a message has had its reply.
var errReplied = errors.New("replied")

// inflightShape reads the payload of the inflight messages: size, offset, queues, entries; some front-ends pad it.
func (m *message) inflightShape(fds int) (size, offset uint64, queues, entries int, err error) {
	if len(m.payload) != 20 && len(m.payload) != 24 {
		return 0, 0, 0, 0, m.want(20, fds)
	}
	if len(m.fds) != fds {
		return 0, 0, 0, 0, m.want(len(m.payload), fds)
	}
	return m.u64(0), m.u64(8), int(load16(m.payload[16:])), int(load16(m.payload[18:])), nil
}

// dropInflight lets go of the region; no ring runs.
func (s *session) dropInflight() {
	if s.inflight != nil {
		s.inflight.close()
		s.inflight = nil
	}
}

// ownEntries is the size of a region of the session's own; a ring that is larger has none.
const ownEntries = 1024

// ownInflight makes a region of this session's own where the client keeps none: a process that takes over needs it.
func (s *session) ownInflight() (err error) {
	if s.inflight == nil {
		s.inflight, err = newInflight(len(s.rings), ownEntries)
	}
	return err
}

func (s *session) ringsRun() bool {
	for _, v := range s.rings {
		if v.run != nil {
			return true
		}
	}
	return false
}

// makeInflight answers GET_INFLIGHT_FD with a fresh region.
func (s *session) makeInflight(m *message) error {
	_, _, queues, entries, err := m.inflightShape(0)
	if err != nil {
		return err
	}
	if s.ringsRun() {
		return errors.New("GET_INFLIGHT_FD while rings run")
	}
	f, err := newInflight(queues, entries)
	if err != nil {
		return err
	}
	s.dropInflight()
	f.client, s.inflight = true, f
	b := make([]byte, len(m.payload))
	copy(b[16:], m.payload[16:])
	binary.LittleEndian.PutUint64(b, uint64(len(f.mem)))
	if err := writeReply(s.conn, m.request, b, f.fd); err != nil {
		return err
	}
	return errReplied
}

// takeInflight takes a region back, of this process or of an earlier one.
func (s *session) takeInflight(m *message) error {
	size, offset, queues, entries, err := m.inflightShape(1)
	if err != nil {
		return err
	}
	if s.ringsRun() {
		return errors.New("SET_INFLIGHT_FD while rings run")
	}
	f, err := openInflight(m.fds[0], size, offset, queues, entries)
	if err != nil {
		return err
	}
	s.dropInflight()
	f.client, s.inflight = true, f
	return nil
}

func u64(v uint64) []byte { return binary.LittleEndian.AppendUint64(nil, v) }

func (s *session) carryOut(m *message) (reply []byte, err error) {
	switch m.request {
	case getFeatures:
		return u64(s.dev.features()), m.want(0, 0)
	case setFeatures:
		if err := m.want(8, 0); err != nil {
			return nil, err
		}
		f := m.u64(0)
		if extra := f &^ s.dev.features(); extra != 0 {
			return nil, fmt.Errorf("SET_FEATURES sets %#x, which was not offered", extra)
		}
		s.features, s.acked = f, true
		if f&featProtocol == 0 { // then rings begin enabled
			for _, v := range s.rings {
				v.enabled = true
				if err := v.start(); err != nil {
					return nil, err
				}
			}
		}
		return nil, nil
	case getProtocolFeatures:
		return u64(protocolFeatures), m.want(0, 0)
	case setProtocolFeatures:
		if err := m.want(8, 0); err != nil {
			return nil, err
		}
		if extra := m.u64(0) &^ protocolFeatures; extra != 0 {
			return nil, fmt.Errorf("SET_PROTOCOL_FEATURES sets %#x, which was not offered", extra)
		}
		s.protocol = m.u64(0)
		return nil, nil
	case setOwner:
		return nil, m.want(0, 0)
	case resetOwner, resetDevice:
		if err := m.want(0, 0); err != nil {
			return nil, err
		}
		for _, v := range s.rings {
			v.stop()
			v.base, v.started, v.enabled = 0, false, false
			if m.request == resetDevice {
				v.placed = false
			}
		}
		if m.request == resetDevice {
			s.features, s.acked = 0, false
		}
		return nil, nil
	case getQueueNum:
		return u64(uint64(len(s.rings))), m.want(0, 0)
	case getMaxMemSlots:
		return u64(mostSlots), m.want(0, 0)
	case setMemTable:
		return nil, s.setMemTable(m)
	case addMemReg, remMemReg:
		return nil, s.changeMemory(m)
	case getInflightFD:
		return nil, s.makeInflight(m)
	case setInflightFD:
		return nil, s.takeInflight(m)
	case getConfig:
		return s.config(m)
	case setConfig:
		return nil, errors.New("SET_CONFIG: no field of the configuration can be written")
	case setVringNum, setVringBase, getVringBase, setVringEnable:
		return s.ringState(m)
	case setVringAddr:
		return nil, s.ringAddress(m)
	case setVringKick, setVringCall, setVringErr:
		return nil, s.ringFD(m)
	}
	return nil, fmt.Errorf("%s is not known or was not negotiated", messageName(m.request))
}

// setMemTable replaces all of the client's memory.
func (s *session) setMemTable(m *message) error {
	if len(m.payload) < 8 {
		return fmt.Errorf("SET_MEM_TABLE has a payload of %d bytes", len(m.payload))
	}
	n := int(m.u32(0))
	if n > mostFDs {
		return fmt.Errorf("SET_MEM_TABLE names %d regions, most is %d", n, mostFDs)
	}
	// Some front-ends send the whole table with unused entries, so only the least length is fixed.
	if len(m.payload) < 8+32*n || len(m.payload) > 8+32*mostFDs || len(m.fds) != n {
		return fmt.Errorf("SET_MEM_TABLE names %d regions in %d bytes with %d file descriptors", n, len(m.payload), len(m.fds))
	}
	fresh := memory{most: s.memory.most}
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
	return s.replace()
}

func (s *session) changeMemory(m *message) error {
	if len(m.payload) != 40 {
		return m.want(40, 1)
	}
	s.memMu.Lock()
	defer s.memMu.Unlock()
	if m.request == addMemReg {
		if len(m.fds) != 1 {
			return m.want(40, 1)
		}
		if len(s.memory.regions) >= mostSlots {
			return fmt.Errorf("ADD_MEM_REG: more than %d regions", mostSlots)
		}
		if err := s.memory.add(m.u64(8), m.u64(16), m.u64(24), m.u64(32), m.fds[0]); err != nil {
			return err
		}
	} else if err := s.memory.remove(m.u64(8), m.u64(16), m.u64(24)); err != nil {
		return err
	}
	return s.replace()
}

// replace finds running rings anew in changed memory. The caller holds memMu.
func (s *session) replace() error {
	for _, v := range s.rings {
		if v.run != nil {
			if err := v.run.place(); err != nil {
				s.fail(err) // before anything looks for the ring where it was
				return err
			}
		}
	}
	return nil
}

// config answers GET_CONFIG: offset, size, flags and the bytes asked for.
func (s *session) config(m *message) ([]byte, error) {
	if len(m.payload) < 12 {
		return nil, fmt.Errorf("GET_CONFIG has a payload of %d bytes", len(m.payload))
	}
	off, n := m.u32(0), m.u32(4)
	if n > mostConfigPayload || int(n) != len(m.payload)-12 {
		return nil, fmt.Errorf("GET_CONFIG asks for %d bytes in a payload of %d", n, len(m.payload))
	}
	if off > mostConfigPayload || off+n > mostConfigPayload {
		return binary.LittleEndian.AppendUint64(binary.LittleEndian.AppendUint32(nil, off), 0), nil // a length of zero says no
	}
	b := append([]byte(nil), m.payload...)
	clear(b[12:])
	if c := s.dev.config(); int(off) < len(c) {
		copy(b[12:], c[off:])
	}
	return b, nil
}

func (s *session) ring(m *message, index uint32) (*vring, error) {
	if int64(index) >= int64(len(s.rings)) {
		return nil, fmt.Errorf("%s names queue %d of %d", messageName(m.request), index, len(s.rings))
	}
	return s.rings[index], nil
}

// ringState takes the messages that carry an index and a number.
func (s *session) ringState(m *message) (reply []byte, err error) {
	if err := m.want(8, 0); err != nil {
		return nil, err
	}
	v, err := s.ring(m, m.u32(0))
	if err != nil {
		return nil, err
	}
	n := m.u32(4)
	switch m.request {
	case setVringNum:
		if n == 0 || n > mostQueue || n&(n-1) != 0 {
			return nil, fmt.Errorf("SET_VRING_NUM: %d entries are no power of two up to %d", n, mostQueue)
		}
		// A front-end may tell of a ring in any order, also after what lets it begin; it does, without effect, only until
		// all is told.
		v.stop()
		v.num = uint16(n)
		return nil, v.start()
	case setVringBase:
		if n > 0xffff {
			return nil, fmt.Errorf("SET_VRING_BASE: %d is no ring index", n)
		}
		v.stop()
		v.base = uint16(n)
		return nil, v.start()
	case getVringBase:
		base := v.stop()
		v.started = false
		if v.kick != nil { // stopped until a new one is set
			v.kick.Close()
			v.kick = nil
		}
		v.polled = false
		b := binary.LittleEndian.AppendUint32(nil, uint32(v.index))
		return binary.LittleEndian.AppendUint32(b, uint32(base)), nil
	case setVringEnable:
		if s.acked && s.features&featProtocol == 0 {
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

func (s *session) ringAddress(m *message) error {
	if err := m.want(40, 0); err != nil {
		return err
	}
	v, err := s.ring(m, m.u32(0))
	if err != nil {
		return err
	}
	if m.u32(4)&1 != 0 {
		return errors.New("SET_VRING_ADDR asks for logging, which was not offered")
	}
	v.descAt, v.usedAt, v.availAt, v.placed = m.u64(8), m.u64(16), m.u64(24), true
	if v.run != nil {
		s.memMu.Lock()
		defer s.memMu.Unlock()
		return v.run.place()
	}
	return v.start()
}

// ringFD takes a kick, call or error descriptor, or the word that there is none.
func (s *session) ringFD(m *message) error {
	if len(m.payload) != 8 {
		return m.want(8, 1)
	}
	word := m.u64(0)
	none := word&vringNoFD != 0
	if want := map[bool]int{true: 0, false: 1}[none]; len(m.fds) != want {
		return m.want(8, want)
	}
	v, err := s.ring(m, uint32(word&0xff))
	if err != nil {
		return err
	}
	fd := -1
	if !none {
		fd = m.fds[0]
		m.fds = nil
		// Neither our reading nor our writing may wait in the kernel. The flag is shared with the client, whose own
		// calls on an eventfd do not wait either.
		if err := unix.SetNonblock(fd, true); err != nil {
			unix.Close(fd)
			return fmt.Errorf("%s: %w", messageName(m.request), err)
		}
	}
	if m.request != setVringKick {
		s.callMu.Lock()
		defer s.callMu.Unlock()
		old := &v.call
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
			return fmt.Errorf("SET_VRING_KICK: a descriptor that cannot be waited for: %w", err)
		}
	}
	return v.start()
}

func init() {
	var b [2]byte
	*(*uint16)(unsafe.Pointer(&b[0])) = 1
	if b[0] != 1 {
		panic("ring: virtio 1 rings are little-endian, this machine is not")
	}
}
