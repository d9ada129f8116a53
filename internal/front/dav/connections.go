package dav

import (
	"context"
	"net"
	"net/http"
	"sync"
)

// connections closes connections without a request when a listener has all the connections that it may have, so that
// clients which connect, or stay connected, and ask for nothing do not keep others out: first the one whose request was
// rejected and is still arriving for longest, then the one idle for longest, then the one that has been silent since it
// connected for longest.
type connections struct {
	max int

	mu      sync.Mutex
	open    int
	resting [numRests]restingList
}

// rest is the kind of a connection without a request.
type rest uint8

const (
	rejected rest = iota // the rest of a rejected request is read
	idle                 // its last request was answered
	silent               // nothing was received yet
	numRests
)

// restingList holds connections in the order in which they began to rest.
type restingList struct{ conns []net.Conn }

func (l *restingList) remove(c net.Conn) {
	for i, x := range l.conns {
		if x == c {
			l.conns = append(l.conns[:i], l.conns[i+1:]...)
			return
		}
	}
}

// track is the [http.Server.ConnState] function of the listener.
func (t *connections) track(c net.Conn, state http.ConnState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for kind := range t.resting {
		t.resting[kind].remove(c)
	}
	switch state {
	case http.StateNew:
		t.open++
		t.makeRoom() // a new connection does not make room itself
		t.resting[silent].conns = append(t.resting[silent].conns, c)
	case http.StateIdle:
		t.resting[idle].conns = append(t.resting[idle].conns, c)
		t.makeRoom()
	case http.StateClosed, http.StateHijacked:
		t.open--
	}
}

// connectionKey is the key of a request's connection in its context.
type connectionKey struct{}

// withConnection is the [http.Server.ConnContext] function of the listener.
func withConnection(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, c)
}

// reject notes that a request was rejected, so that its connection need not be kept.
func (t *connections) reject(r *http.Request) {
	c, ok := r.Context().Value(connectionKey{}).(net.Conn)
	if !ok {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.resting[rejected].conns = append(t.resting[rejected].conns, c)
	t.makeRoom()
}

// makeRoom closes a resting connection if the listener can accept no other one. Its state becomes [http.StateClosed]
// when the server notices.
func (t *connections) makeRoom() {
	if t.open < t.max {
		return
	}
	for kind := range t.resting {
		if l := &t.resting[kind]; len(l.conns) > 0 {
			oldest := l.conns[0]
			l.conns = l.conns[1:]
			go oldest.Close() // may wait for a TLS alert to be sent
			return
		}
	}
}
