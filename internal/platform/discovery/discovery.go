// Package discovery keeps one watch on the list of targets. What its lines come to, and when a watch is given up, is
// decided by members.Follow.
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
	"time"

	"appleplank/internal/http1"
	"appleplank/internal/platform/config"
	"appleplank/logic"
	"appleplank/members"

	"go.uber.org/zap"
)

const (
	path    = "/catalog/members"
	longest = 1 << 20 // a list
)

// Sink is who hears of the targets.
type Sink interface {
	Now() logic.Micros
	Nodes(changed []logic.Node, all []members.Target)
}

// Watch follows discovery.
type Watch struct {
	sink  Sink
	zones []string
	log   *zap.Logger
	heard func() // called once, when discovery has first told something

	mu     sync.Mutex
	follow *members.Follower
	once   sync.Once
	cancel context.CancelFunc // of the watch in use
	uses   int                // calls of Use so far
	wait   sync.WaitGroup
	stop   context.Context
	end    context.CancelFunc
}

// New starts from the list that is known.
func New(known members.Update, zones []string, sink Sink, heard func(), log *zap.Logger) *Watch {
	w := &Watch{sink: sink, zones: zones, log: log, heard: heard}
	w.stop, w.end = context.WithCancel(context.Background())
	follow, nodes := members.NewFollower(sink.Now(), known)
	w.follow = follow
	sink.Nodes(nodes, follow.Targets())
	return w
}

// Use watches discovery at an address from now on. A watch elsewhere ends once this one has told something.
func (w *Watch) Use(address string) {
	ctx, cancel := context.WithCancel(w.stop)
	w.mu.Lock()
	before := w.cancel
	w.cancel = cancel
	w.uses++
	use := w.uses
	w.mu.Unlock()
	if before == nil {
		before = func() {}
	}
	w.wait.Go(func() {
		defer before()
		w.run(ctx, address, use, before)
	})
}

// Close ends the watch.
func (w *Watch) Close() {
	w.end()
	w.wait.Wait()
}

// run watches until ctx ends.
func (w *Watch) run(ctx context.Context, address string, use int, up func()) {
	for ctx.Err() == nil {
		begun := w.sink.Now()
		err := w.watch(ctx, address, use, begun, up)
		w.mu.Lock()
		pause := w.follow.WatchEnded(w.sink.Now(), begun)
		w.mu.Unlock()
		if ctx.Err() == nil {
			w.log.Info("the watch on discovery ended", zap.String("address", address), zap.Error(err), zap.Duration("pause", micros(pause)))
		}
		select {
		case <-ctx.Done():
		case <-time.After(micros(pause)):
		}
	}
}

func micros(d logic.Micros) time.Duration { return time.Duration(d) * time.Microsecond }

var (
	errAnew  = errors.New("what it tells does not follow on what is held")
	errMoved = errors.New("discovery is watched elsewhere by now")
)

// watch asks for changes, or first for the whole list, and takes them until the connection ends.
func (w *Watch) watch(ctx context.Context, address string, use int, begun logic.Micros, up func()) error {
	w.mu.Lock()
	whole, after := w.follow.NextRequest()
	w.mu.Unlock()
	ask := fmt.Sprintf("%s?watch=1&after=%d", path, after)
	if whole {
		ask = path
	}
	conn, err := (&net.Dialer{Timeout: w.silence(begun, 0)}).DialContext(ctx, "tcp", address)
	if err != nil {
		return err
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	conn.SetDeadline(time.Now().Add(w.silence(begun, 0)))
	if _, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", ask, address); err != nil {
		return err
	}
	r := http1.NewReader(conn)
	var m http1.Message
	if err := r.ReadAnswerHead(&m); err != nil {
		return err
	}
	if m.Status != 200 {
		return fmt.Errorf("status %d", m.Status)
	}
	conn.SetDeadline(time.Now().Add(w.silence(begun, w.sink.Now())))
	lists := bufio.NewScanner(r.BodyReader(&m))
	lists.Buffer(make([]byte, 0, 4<<10), longest)
	lists.Split(new(value).split)
	for first := true; lists.Scan(); {
		// Only what is whole counts as heard: a list that stops half way is silence.
		conn.SetDeadline(time.Now().Add(w.silence(begun, w.sink.Now())))
		if list := lists.Bytes(); len(list) > 0 {
			if err := w.take(list, use, first); err != nil {
				return err
			}
			first = false
		} else if whole {
			continue // blanks before the list
		}
		up()
		w.once.Do(w.heard)
		if whole {
			return nil
		}
	}
	return lists.Err()
}

// value finds where a JSON object ends that may stand over several lines. Between objects each run of blanks, such as
// an empty line that says that nothing has changed, is an empty token.
type value struct {
	at, depth       int
	quoted, escaped bool
}

// split implements [bufio.SplitFunc].
func (v *value) split(data []byte, atEOF bool) (int, []byte, error) {
	if v.at == 0 {
		if n := len(data) - len(bytes.TrimLeft(data, " \t\r\n")); n > 0 {
			return n, data[:0], nil
		}
		if len(data) > 0 && data[0] != '{' {
			return len(data), data, nil // what cannot be read is for the reader to say
		}
	}
	for ; v.at < len(data); v.at++ {
		switch c := data[v.at]; {
		case v.escaped:
			v.escaped = false
		case v.quoted:
			if c < ' ' {
				return len(data), data, nil // no string goes over the end of a line
			}
			v.escaped, v.quoted = c == '\\', c != '"'
		case c == '"':
			v.quoted = true
		case c == '{' || c == '[':
			v.depth++
		case c == '}' || c == ']':
			if v.depth--; v.depth == 0 {
				n := v.at + 1
				*v = value{}
				return n, data[:n], nil
			}
		}
	}
	if atEOF && len(data) > 0 {
		return 0, nil, io.ErrUnexpectedEOF
	}
	return 0, nil, nil
}

// silence is for how long a call may still say nothing, by when it last did.
func (w *Watch) silence(begun, heard logic.Micros) time.Duration {
	return micros(max(members.TimeoutAt(begun, heard)-w.sink.Now(), 1))
}

// take hands on what a list tells.
func (w *Watch) take(list []byte, use int, first bool) error {
	news, err := config.News(list, w.zones)
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.follow.Accepts(use) {
		return errMoved
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
		return errAnew
	}
	if len(changed) > 0 {
		w.sink.Nodes(changed, w.follow.Targets())
	}
	return nil
}
