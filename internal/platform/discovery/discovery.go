// Package discovery watches the list of targets over HTTP. [members.Follower] decides what the lists mean and when a
// watch is abandoned.
package discovery

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"appleplank/internal/http1"
	"appleplank/internal/platform/config"
	"appleplank/internal/sock"
	"appleplank/logic"
	"appleplank/members"
	"appleplank/quota"

	"go.uber.org/zap"
)

const (
	membersPath = "/catalog/members"
	maxListSize = 1 << 20 // bytes of a list
)

// Sink receives the targets.
type Sink interface {
	Now() logic.Micros
	// UpdateTargets only queues what it is told. Schedule has it processed by another goroutine, which may call
	// [Watch.ReadArrived].
	UpdateTargets(changed []logic.Node, all []members.Target)
	Schedule()
}

// Watch keeps the sink informed of the targets that discovery lists.
type Watch struct {
	sink        Sink
	zones       []string
	log         *zap.Logger
	listBytes   float64 // of lists that a connection may read in a second
	onFirstNews func()  // called once, after the first list or heartbeat of discovery

	mu        sync.Mutex
	follow    *members.Follower
	firstNews sync.Once
	latest    *addressUse // nil: no address was set
	useCount  int         // number of calls of SetAddress
	running   sync.WaitGroup
	ctx       context.Context
	stop      context.CancelFunc
	current   atomic.Pointer[watchReader] // of the watch that was begun last; nil: none
}

// addressUse is the use of one address of discovery, guarded by the lock of its [Watch].
type addressUse struct {
	number   int
	address  string
	cancel   context.CancelFunc
	heard    bool        // it has received a list or a heartbeat
	previous *addressUse // goes on until this one is heard; nil: none
}

// New returns a watch that starts from a known list and passes it to the sink. It reads listBytes bytes of lists a second, and
// calls onFirstNews once, when discovery has first sent a list or a heartbeat.
func New(known members.Update, zones []string, listBytes float64, sink Sink, onFirstNews func(), log *zap.Logger) *Watch {
	w := &Watch{sink: sink, zones: zones, log: log, listBytes: listBytes, onFirstNews: onFirstNews}
	w.ctx, w.stop = context.WithCancel(context.Background())
	follow, nodes := members.NewFollower(sink.Now(), known)
	w.follow = follow
	sink.UpdateTargets(nodes, follow.Targets())
	sink.Schedule()
	return w
}

// SetAddress watches discovery at the given address from now on. A watch at another address ends once this one has
// received a list or a heartbeat, or at once if it has received none itself.
func (w *Watch) SetAddress(address string) {
	ctx, cancel := context.WithCancel(w.ctx)
	w.mu.Lock()
	w.useCount++
	use := &addressUse{number: w.useCount, address: address, cancel: cancel, previous: w.latest}
	if p := w.latest; p != nil && !p.heard && p.previous != nil {
		p.cancel()
		use.previous, p.previous = p.previous, nil
	}
	w.latest = use
	w.mu.Unlock()
	w.running.Go(func() {
		defer cancel()
		w.watchUntilDone(ctx, use)
	})
}

// noteHeard notes that a list or a heartbeat has arrived and ends the watch at the previous address.
func (w *Watch) noteHeard(use *addressUse) {
	w.mu.Lock()
	defer w.mu.Unlock()
	use.heard = true
	if use.previous != nil {
		use.previous.cancel()
		use.previous = nil
	}
}

// Close ends the watch and waits for its goroutines.
func (w *Watch) Close() {
	w.stop()
	w.running.Wait()
}

// watchUntilDone watches again and again until ctx is done, with the pauses that [members.Follower] asks for.
func (w *Watch) watchUntilDone(ctx context.Context, use *addressUse) {
	for ctx.Err() == nil {
		started := w.sink.Now()
		err := w.watchOnce(ctx, use, started)
		w.mu.Lock()
		pause := w.follow.WatchEnded(w.sink.Now(), started)
		w.mu.Unlock()
		if ctx.Err() == nil {
			w.log.Info("the watch on discovery ended", zap.String("address", use.address), zap.Error(err), zap.Duration("pause", micros(pause)))
		}
		select {
		case <-ctx.Done():
		case <-time.After(micros(pause)):
		}
	}
}

func micros(d logic.Micros) time.Duration { return time.Duration(d) * time.Microsecond }

var (
	errRevisionReset = errors.New("the list does not continue from the last revision")
	errSuperseded    = errors.New("superseded by a watch at a newer address")
)

// watchOnce requests the changes, or the whole list where one is needed, and applies what it receives until the
// connection ends.
func (w *Watch) watchOnce(ctx context.Context, use *addressUse, started logic.Micros) error {
	w.mu.Lock()
	whole, after := w.follow.NextRequest()
	w.mu.Unlock()
	target := fmt.Sprintf("%s?watch=1&after=%d", membersPath, after)
	if whole {
		target = membersPath
	}
	raw, err := (&net.Dialer{Timeout: w.remainingSilence(started, 0)}).DialContext(ctx, "tcp", use.address)
	if err != nil {
		return err
	}
	conn, err := sock.New(raw.(*net.TCPConn))
	if err != nil {
		raw.Close()
		return err
	}
	defer conn.Close()
	reader := newWatchReader(conn, quota.NewListing(w.listBytes))
	w.current.Store(reader)
	defer w.current.CompareAndSwap(reader, nil)
	defer reader.end()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	conn.SetDeadline(time.Now().Add(w.remainingSilence(started, 0)))
	if _, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", target, use.address); err != nil {
		return err
	}
	r := http1.NewReader(reader)
	var m http1.Message
	if err := r.ReadAnswerHead(&m); err != nil {
		return err
	}
	if m.Status != 200 {
		return fmt.Errorf("discovery answered with status %d", m.Status)
	}
	conn.SetDeadline(time.Now().Add(w.remainingSilence(started, w.sink.Now())))
	lists := bufio.NewScanner(r.BodyReader(&m))
	lists.Buffer(make([]byte, 0, 4<<10), maxListSize)
	lists.Split(new(objectSplitter).split)
	for first := true; lists.Scan(); reader.countLine() {
		// Only complete lists and blanks extend the deadline: a list that stops half way counts as silence.
		conn.SetDeadline(time.Now().Add(w.remainingSilence(started, w.sink.Now())))
		if list := lists.Bytes(); len(list) > 0 {
			if err := w.applyList(list, use.number, first); err != nil {
				return err
			}
			first = false
		} else if whole {
			continue // blanks before the whole list
		}
		w.noteHeard(use)
		w.firstNews.Do(w.onFirstNews)
		if whole {
			return nil
		}
	}
	return lists.Err()
}

// objectSplitter splits a stream into JSON objects, which may span several lines. Each run of blanks between objects,
// such as the empty line that discovery sends as a heartbeat, is an empty token.
type objectSplitter struct {
	offset, depth   int
	quoted, escaped bool
}

// split implements [bufio.SplitFunc].
func (v *objectSplitter) split(data []byte, atEOF bool) (int, []byte, error) {
	if v.offset == 0 {
		if n := len(data) - len(bytes.TrimLeft(data, " \t\r\n")); n > 0 {
			return n, data[:0], nil
		}
		if len(data) > 0 && data[0] != '{' {
			return len(data), data, nil // the JSON decoder reports the error
		}
	}
	for ; v.offset < len(data); v.offset++ {
		switch c := data[v.offset]; {
		case v.escaped:
			v.escaped = false
		case v.quoted:
			if c < ' ' {
				return len(data), data, nil // control characters are invalid in JSON strings
			}
			v.escaped, v.quoted = c == '\\', c != '"'
		case c == '"':
			v.quoted = true
		case c == '{' || c == '[':
			v.depth++
		case c == '}' || c == ']':
			if v.depth--; v.depth == 0 {
				n := v.offset + 1
				*v = objectSplitter{}
				return n, data[:n], nil
			}
		}
	}
	if atEOF && len(data) > 0 {
		return 0, nil, io.ErrUnexpectedEOF
	}
	return 0, nil, nil
}

// remainingSilence returns how long a call begun at started may still be silent; lastHeard is the time of the last
// data, or 0.
func (w *Watch) remainingSilence(started, lastHeard logic.Micros) time.Duration {
	return micros(max(members.TimeoutAt(started, lastHeard)-w.sink.Now(), 1))
}

// applyList parses a list and queues the changes that it makes at the sink.
func (w *Watch) applyList(list []byte, use int, first bool) error {
	news, err := config.ParseNews(list, w.zones)
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.follow.Accepts(use) {
		return errSuperseded
	}
	if err != nil {
		w.follow.MarkIncomplete()
		return fmt.Errorf("a list that cannot be read: %w", err)
	}
	w.follow.Delivered(use)
	changed, again, complaint := w.follow.Receive(w.sink.Now(), news, first)
	if complaint != nil {
		w.log.Warn("discovery", zap.Error(complaint))
	}
	if again {
		return errRevisionReset
	}
	if len(changed) > 0 {
		w.sink.UpdateTargets(changed, w.follow.Targets())
		w.sink.Schedule()
	}
	return nil
}
