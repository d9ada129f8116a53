package standin

import (
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// LinkState is how a link between two zones is. The zero value is a perfect one.
type LinkState struct {
	Delay     time.Duration // each way
	Jitter    time.Duration // at most so much more, drawn for each piece of data; the order stays
	Bandwidth int           // bytes a second for each connection and way; 0: no bound
	Loss      float64       // part of the pieces that must be sent again, each of which comes retransmit later
	CutThere  bool          // nothing passes to the node
	CutBack   bool          // nothing passes from it
}

const (
	// retransmit is what a lost piece costs, as TCP's least time-out does.
	retransmit = 200 * time.Millisecond
	// lostRow is how many losses in a row break a connection.
	lostRow = 4
	// pieceSize and pieces bound what is on its way on a connection each way.
	pieceSize = 16 << 10
	pieces    = 64
)

// Link is the connections from one zone to the nodes of another. Data passes it late, slowly or not at all, but as by
// TCP whole and in order, or the connection breaks.
type Link struct {
	mu     sync.Mutex
	state  LinkState
	change chan struct{} // closed when the state changes
	rng    *rand.Rand
	relays []*relay
	wg     sync.WaitGroup
	closed bool
}

type relay struct {
	ln net.Listener
	to func() string

	mu    sync.Mutex
	conns map[net.Conn]bool
}

// NewLink makes a perfect link.
func NewLink(seed uint64) *Link {
	return &Link{change: make(chan struct{}), rng: rand.New(rand.NewPCG(seed, 77))}
}

// Set changes how the link is.
func (l *Link) Set(change func(s *LinkState)) {
	l.mu.Lock()
	change(&l.state)
	close(l.change)
	l.change = make(chan struct{})
	l.mu.Unlock()
}

// Relay opens an address by which a node is reached over the link.
func (l *Link) Relay(to func() string) (address string, err error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	r := &relay{ln: ln, to: to, conns: map[net.Conn]bool{}}
	l.mu.Lock()
	l.relays = append(l.relays, r)
	l.wg.Add(1)
	l.mu.Unlock()
	go func() {
		defer l.wg.Done()
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			l.wg.Add(1)
			go func() { defer l.wg.Done(); l.carry(r, c) }()
		}
	}()
	return ln.Addr().String(), nil
}

// Close breaks all connections and ends the link.
func (l *Link) Close() {
	l.mu.Lock()
	l.closed = true
	relays := l.relays
	l.mu.Unlock()
	for _, r := range relays {
		r.ln.Close()
		r.mu.Lock()
		for c := range r.conns {
			c.Close()
		}
		r.mu.Unlock()
	}
	l.Set(func(*LinkState) {})
	l.wg.Wait()
}

func (r *relay) hold(c net.Conn, on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if on {
		r.conns[c] = true
	} else {
		delete(r.conns, c)
	}
}

// carry joins a connection with one to the node. A node that takes none breaks it, as a reset does.
func (l *Link) carry(r *relay, c net.Conn) {
	defer c.Close()
	r.hold(c, true)
	defer r.hold(c, false)
	over := make(chan struct{})
	if !l.passable(false, over) || !l.passable(true, over) { // the handshake needs both ways
		return
	}
	n, err := net.Dial("tcp", r.to())
	if err != nil {
		return
	}
	defer n.Close()
	r.hold(n, true)
	defer r.hold(n, false)
	var once sync.Once
	end := func() { once.Do(func() { close(over); c.Close(); n.Close() }) }
	var wg sync.WaitGroup
	wg.Add(2)
	go func() { defer wg.Done(); defer end(); l.pump(n, c, false, over) }()
	go func() { defer wg.Done(); defer end(); l.pump(c, n, true, over) }()
	wg.Wait()
}

// passable waits until the link passes data one way; false once the link or the connection is over.
func (l *Link) passable(back bool, over <-chan struct{}) bool {
	for {
		l.mu.Lock()
		cut, change, closed := l.state.CutThere, l.change, l.closed
		if back {
			cut = l.state.CutBack
		}
		l.mu.Unlock()
		if closed {
			return false
		}
		if !cut {
			return true
		}
		select {
		case <-change:
		case <-over:
			return false
		}
	}
}

type piece struct {
	b   []byte
	due time.Time
}

// pump carries data one way until either side ends.
func (l *Link) pump(to io.Writer, from io.Reader, back bool, over chan struct{}) {
	line := make(chan piece, pieces)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for p := range line {
			if wait := time.Until(p.due); wait > 0 {
				t := time.NewTimer(wait)
				select {
				case <-t.C:
				case <-over:
					t.Stop()
				}
			}
			if !l.passable(back, over) {
				break
			}
			if _, err := to.Write(p.b); err != nil {
				break
			}
		}
		for range line {
		}
	}()
	last := time.Time{}
	for row := 0; row < lostRow; {
		b := make([]byte, pieceSize)
		n, err := from.Read(b)
		if n > 0 {
			due, lost := l.when(n, last)
			if last = due; lost {
				row++
			} else {
				row = 0
			}
			line <- piece{b[:n], due}
		}
		if err != nil {
			break
		}
	}
	close(line)
	<-done
}

// when is when a piece that has come now arrives, not before the last one.
func (l *Link) when(n int, last time.Time) (due time.Time, lost bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := &l.state
	wait := s.Delay
	if s.Jitter > 0 {
		wait += time.Duration(l.rng.Int64N(int64(s.Jitter)))
	}
	if s.Loss > 0 && l.rng.Float64() < s.Loss {
		wait, lost = wait+retransmit, true
	}
	due = time.Now().Add(wait)
	if due.Before(last) {
		due = last
	}
	if s.Bandwidth > 0 {
		due = due.Add(time.Duration(float64(n) / float64(s.Bandwidth) * float64(time.Second)))
	}
	return due, lost
}
