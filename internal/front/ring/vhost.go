// Package ring is the front for virtio-blk clients: a vhost-user back-end with one Unix socket per volume. It follows
// the vhost-user protocol specification and virtio 1.2 (split virtqueues, section 2.7; block device, section 5.2), for
// any conforming front-end. It takes requests off the rings, passes them to the engine and writes the answers back; it
// makes no scheduling decisions.
package ring

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"time"

	"golang.org/x/sys/unix"
)

// Requests of the front-end (vhost-user protocol, "Front-end message types").
const (
	getFeatures         = 1
	setFeatures         = 2
	setOwner            = 3
	resetOwner          = 4
	setMemTable         = 5
	setLogBase          = 6
	setLogFD            = 7
	setVringNum         = 8
	setVringAddr        = 9
	setVringBase        = 10
	getVringBase        = 11
	setVringKick        = 12
	setVringCall        = 13
	setVringErr         = 14
	getProtocolFeatures = 15
	setProtocolFeatures = 16
	getQueueNum         = 17
	setVringEnable      = 18
	getConfig           = 24
	setConfig           = 25
	getInflightFD       = 31
	setInflightFD       = 32
	resetDevice         = 34
	getMaxMemSlots      = 36
	addMemReg           = 37
	remMemReg           = 38
)

var messageNames = map[uint32]string{getFeatures: "GET_FEATURES", setFeatures: "SET_FEATURES", setOwner: "SET_OWNER",
	resetOwner: "RESET_OWNER", setMemTable: "SET_MEM_TABLE", setLogBase: "SET_LOG_BASE", setLogFD: "SET_LOG_FD",
	setVringNum: "SET_VRING_NUM", setVringAddr: "SET_VRING_ADDR", setVringBase: "SET_VRING_BASE",
	getVringBase: "GET_VRING_BASE", setVringKick: "SET_VRING_KICK", setVringCall: "SET_VRING_CALL",
	setVringErr: "SET_VRING_ERR", getProtocolFeatures: "GET_PROTOCOL_FEATURES",
	setProtocolFeatures: "SET_PROTOCOL_FEATURES", getQueueNum: "GET_QUEUE_NUM", setVringEnable: "SET_VRING_ENABLE",
	getConfig: "GET_CONFIG", setConfig: "SET_CONFIG", getInflightFD: "GET_INFLIGHT_FD", setInflightFD: "SET_INFLIGHT_FD", resetDevice: "RESET_DEVICE", getMaxMemSlots: "GET_MAX_MEM_SLOTS",
	addMemReg: "ADD_MEM_REG", remMemReg: "REM_MEM_REG"}

func messageName(r uint32) string {
	if s, ok := messageNames[r]; ok {
		return s
	}
	return fmt.Sprintf("message %d", r)
}

// Bits of the flags of a message.
const (
	flagVersion   = 0x1
	flagReply     = 0x4
	flagNeedReply = 0x8
)

// Protocol features.
const (
	protoMQ                = 1 << 0
	protoReplyAck          = 1 << 3
	protoConfig            = 1 << 9
	protoInflight          = 1 << 12
	protoResetDevice       = 1 << 13
	protoConfigureMemSlots = 1 << 15

	protocolFeatures = protoMQ | protoReplyAck | protoConfig | protoInflight | protoResetDevice | protoConfigureMemSlots
)

// Device feature bits.
const (
	featSizeMax      = 1 << 1
	featSegMax       = 1 << 2
	featReadOnly     = 1 << 5
	featBlkSize      = 1 << 6
	featFlush        = 1 << 9
	featTopology     = 1 << 10
	featMQ           = 1 << 12
	featDiscard      = 1 << 13
	featWriteZeroes  = 1 << 14
	featIndirect     = 1 << 28
	featEventIdx     = 1 << 29
	featProtocol     = 1 << 30
	featVersion1     = 1 << 32
	vringNoFD        = 1 << 8 // in the payload of SET_VRING_KICK, _CALL and _ERR
	headerLen        = 12
	maxPayload       = 4096
	maxFDs           = 8 // memory regions of one SET_MEM_TABLE
	maxMemSlots      = 64
	maxConfigPayload = 256
)

// message is a message of the front-end. Whoever takes file descriptors out of fds owns them.
type message struct {
	request uint32
	flags   uint32
	payload []byte
	fds     []int
}

// closeFDs closes the descriptors that were not taken.
func (m *message) closeFDs() {
	for _, fd := range m.fds {
		unix.Close(fd)
	}
	m.fds = nil
}

// readMessage reads one message. It returns io.EOF at the end of the stream between two messages. On an error no
// descriptor stays open.
func readMessage(conn *net.UnixConn, buf []byte) (m message, err error) {
	defer func() {
		if err != nil {
			m.closeFDs()
		}
	}()
	if err = readFull(conn, buf[:headerLen], &m.fds); err != nil {
		return m, err
	}
	le := binary.LittleEndian
	m.request, m.flags = le.Uint32(buf), le.Uint32(buf[4:])
	n := le.Uint32(buf[8:])
	if m.flags&3 != flagVersion {
		return m, fmt.Errorf("%s has version %d, want 1", messageName(m.request), m.flags&3)
	}
	if m.flags&flagReply != 0 {
		return m, fmt.Errorf("%s is marked as a reply", messageName(m.request))
	}
	if n > maxPayload {
		return m, fmt.Errorf("%s has a payload of %d bytes, max %d", messageName(m.request), n, maxPayload)
	}
	if err = readFull(conn, buf[:n], &m.fds); err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	m.payload = buf[:n]
	return m, err
}

// readFull fills b and appends the descriptors that arrive with it to fds.
func readFull(conn *net.UnixConn, b []byte, fds *[]int) error {
	oob := make([]byte, unix.CmsgSpace(4*(maxFDs+1)))
	paused := false
	defer func() {
		if paused {
			conn.SetReadDeadline(time.Unix(1, 0))
		}
	}()
	for got := 0; got < len(b); {
		n, oobn, flags, _, err := conn.ReadMsgUnix(b[got:], oob)
		if oobn > 0 {
			if perr := parseFDs(oob[:oobn], fds); perr != nil && err == nil {
				err = perr
			}
		}
		if errors.Is(err, os.ErrDeadlineExceeded) {
			if got == 0 && len(*fds) == 0 && len(b) == headerLen {
				return errPaused
			}
			conn.SetReadDeadline(time.Time{}) // a freeze was requested in the middle of a message: read all of it first
			paused = true
			continue
		}
		if err != nil && !errors.Is(err, io.EOF) { // the net package wraps io.EOF
			return err
		}
		if flags&unix.MSG_CTRUNC != 0 || len(*fds) > maxFDs {
			return fmt.Errorf("message carries more than %d file descriptors", maxFDs)
		}
		if n == 0 {
			if got == 0 {
				return io.EOF
			}
			return io.ErrUnexpectedEOF
		}
		got += n
	}
	return nil
}

// parseFDs appends the file descriptors in a control message to fds and marks them close-on-exec.
func parseFDs(oob []byte, fds *[]int) error {
	cs, err := unix.ParseSocketControlMessage(oob)
	if err != nil {
		return fmt.Errorf("control message: %w", err)
	}
	for i := range cs {
		got, err := unix.ParseUnixRights(&cs[i])
		if err != nil {
			continue // credentials and other control messages are ignored
		}
		for _, fd := range got {
			unix.CloseOnExec(fd)
		}
		*fds = append(*fds, got...)
	}
	return nil
}

func writeReply(conn *net.UnixConn, request uint32, payload []byte, fds ...int) error {
	b := make([]byte, headerLen, headerLen+len(payload))
	le := binary.LittleEndian
	le.PutUint32(b, request)
	le.PutUint32(b[4:], flagVersion|flagReply)
	le.PutUint32(b[8:], uint32(len(payload)))
	var oob []byte
	if len(fds) > 0 {
		oob = unix.UnixRights(fds...)
	}
	_, _, err := conn.WriteMsgUnix(append(b, payload...), oob, nil)
	return err
}

// expect checks the payload length and the number of descriptors of a message.
func (m *message) expect(payload, fds int) error {
	if len(m.payload) != payload {
		return fmt.Errorf("%s has a payload of %d bytes, want %d", messageName(m.request), len(m.payload), payload)
	}
	if len(m.fds) != fds {
		return fmt.Errorf("%s carries %d file descriptors, want %d", messageName(m.request), len(m.fds), fds)
	}
	return nil
}

func (m *message) u32(at int) uint32 { return binary.LittleEndian.Uint32(m.payload[at:]) }
func (m *message) u64(at int) uint64 { return binary.LittleEndian.Uint64(m.payload[at:]) }

// errPaused is returned when reading was interrupted between two messages, to freeze the session.
var errPaused = errors.New("paused")

var errNotMapped = errors.New("address is not in client memory")
