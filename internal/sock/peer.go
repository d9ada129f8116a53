package sock

import "golang.org/x/sys/unix"

// PeerState tells what the peer has done to end a connection.
type PeerState uint8

const (
	PeerOpen    PeerState = iota // nothing, or the system does not tell
	PeerEnded                    // it sends no more, and has closed the connection as a rule
	PeerAborted                  // it has reset the connection
)

// PeerState returns the state of the peer's end, also while data from the peer is unread.
func (s *Conn) PeerState() (state PeerState) {
	s.withTCPInfo(func(_ int, info *unix.TCPInfo) {
		switch info.State {
		case unix.BPF_TCP_CLOSE_WAIT:
			state = PeerEnded
		case unix.BPF_TCP_CLOSE:
			state = PeerAborted
		}
	})
	return state
}

// PeerRoom returns how many more bytes the peer's system takes, in its announced receive window, while the peer reads nothing.
// Where the system does not tell, it returns 0.
func (s *Conn) PeerRoom() (bytes int) {
	s.withTCPInfo(func(fd int, info *unix.TCPInfo) {
		queued, err := unix.IoctlGetInt(fd, unix.SIOCOUTQ)
		if err == nil {
			bytes = max(int(info.Snd_wnd)-queued, 0)
		}
	})
	return bytes
}

// withTCPInfo calls use with the socket and what the system tells of it, or not at all if it does not.
func (s *Conn) withTCPInfo(use func(fd int, info *unix.TCPInfo)) {
	s.raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			use(int(fd), info)
		}
	})
}
