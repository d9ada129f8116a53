package main

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// link is the network between a gateway and a node: a proxy that can be cut. What is sent while it is cut is delivered as TCP
// does it: the sender's retransmission timer starts at minRTO with the first byte that is not delivered and doubles (RFC
// 6298), and at the first retransmission after the end of the cut everything held is delivered. What a sender resets is
// discarded, as it would be in the sender's system; what it closes normally is delivered, as its system goes on
// retransmitting it.
type link struct {
	run      *run
	name     string
	node     string // address
	listener net.Listener

	mu    sync.Mutex
	end   time.Time // of the cut; zero: there was none
	cut   time.Time // its beginning
	conns map[net.Conn]bool
}

// minRTO is the shortest retransmission timeout of Linux.
const minRTO = 200 * time.Millisecond

func (r *run) newLink(name, node string) (*link, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	k := &link{run: r, name: name, node: node, listener: l, conns: map[net.Conn]bool{}}
	go func() {
		for n := 1; ; n++ {
			host, err := l.Accept()
			if err != nil {
				return
			}
			go k.carry(n, host)
		}
	}()
	return k, nil
}

// cutFor cuts the link from now on.
func (k *link) cutFor(d time.Duration) {
	k.mu.Lock()
	k.cut = time.Now()
	k.end = k.cut.Add(d)
	k.mu.Unlock()
	k.run.log("%s: cut for %v", k.name, d)
}

// deliverAt returns when bytes that were sent at a time are delivered.
func (k *link) deliverAt(sent time.Time) time.Time {
	k.mu.Lock()
	defer k.mu.Unlock()
	if sent.Before(k.cut) || !sent.Before(k.end) {
		return sent
	}
	at := sent
	for rto := minRTO; at.Before(k.end); rto *= 2 {
		at = at.Add(rto)
	}
	return at
}

func (k *link) carry(n int, host net.Conn) {
	time.Sleep(time.Until(k.deliverAt(time.Now())))
	node, err := net.Dial("tcp", k.node)
	if err != nil {
		host.(*net.TCPConn).SetLinger(0)
		host.Close()
		return
	}
	k.mu.Lock()
	k.conns[host], k.conns[node] = true, true
	k.mu.Unlock()
	go k.forward(n, "to the host", host, node)
	k.forward(n, "to the node", node, host)
}

// chunk is what was read at a time; an err ends the stream.
type chunk struct {
	at  time.Time
	b   []byte
	err error
}

func (k *link) forward(n int, direction string, to, from net.Conn) {
	chunks := make(chan chunk, 1<<14)
	var reset sync.Once
	discarded := make(chan struct{})
	go func() {
		for {
			b := make([]byte, 64<<10)
			m, err := from.Read(b)
			if errors.Is(err, syscall.ECONNRESET) {
				reset.Do(func() { close(discarded) })
			}
			chunks <- chunk{time.Now(), b[:m], err}
			if err != nil {
				return
			}
		}
	}()
	var deliver time.Time // what was sent behind undelivered bytes comes with them
	for c := range chunks {
		if at := k.deliverAt(c.at); at.After(deliver) && !deliver.After(c.at) {
			deliver = at
		}
		held := time.Until(deliver)
		if held > 0 {
			if len(c.b) > 0 {
				k.run.log("%s: connection %d: %d bytes %s are held for %v", k.name, n, len(c.b), direction, held.Round(time.Millisecond))
			}
			select {
			case <-time.After(held):
				if len(c.b) > 0 {
					k.run.log("%s: connection %d: %d bytes %s are delivered", k.name, n, len(c.b), direction)
				}
			case <-discarded:
				k.run.log("%s: connection %d: its sender has reset it; what was held is discarded", k.name, n)
				to.(*net.TCPConn).SetLinger(0)
				to.Close()
				return
			}
		}
		if len(c.b) > 0 {
			if _, err := to.Write(c.b); err != nil {
				from.Close()
				return
			}
		}
		if c.err != nil {
			if c.err == io.EOF {
				to.(*net.TCPConn).CloseWrite()
			} else {
				to.(*net.TCPConn).SetLinger(0)
				to.Close()
			}
			return
		}
	}
}
