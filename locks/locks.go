// Package locks decides on the write locks of a tree of names (RFC 4918, sections 6 and 7): which may be granted, what a
// request must show to change a name, and when a lock is over. Names are slash-separated paths, "/" the root.
//
// It guards against two programs that each believe to hold a name alone, also over a restart: what is kept is plain data.
// It could harm where clients lock and never unlock: until its time is over a lock keeps others away.
//
// It has no clock, goroutine or I/O, and never acts on map order.
package locks

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/tidwall/btree"
)

// Lock is a lock as it is kept. Times are seconds since 1970.
type Lock struct {
	Token   string
	Root    string // the name it was asked for
	Deep    bool   // and all below
	Shared  bool
	Owner   string // XML, as the client gave it
	User    string
	Expires int64
	Length  int64 // seconds that it was granted for
}

// Bounds of the table.
const (
	Most        = 100_000
	MostSeconds = 7 * 24 * 3600
	// usual is how long a lock lasts whose client does not say.
	usual = 600
)

// Errors.
var (
	ErrLocked  = errors.New("locks: locked")
	ErrUnknown = errors.New("locks: no such lock")
	ErrFull    = errors.New("locks: too many locks")
)

// Conflict names the lock in the way; it is an ErrLocked.
type Conflict struct{ Root string }

func (c *Conflict) Error() string   { return fmt.Sprintf("locks: %s is locked", c.Root) }
func (c *Conflict) Is(e error) bool { return e == ErrLocked }

// Table is all locks of a tree.
type Table struct {
	byToken map[string]*Lock
	byRoot  btree.Map[string, []*Lock]
}

// New makes a table of what was kept; what is over by now is left out.
func New(now int64, kept []Lock) *Table {
	t := &Table{byToken: map[string]*Lock{}}
	for _, l := range kept {
		if l.Expires > now && t.byToken[l.Token] == nil {
			t.add(&l)
		}
	}
	return t
}

func (t *Table) add(l *Lock) {
	t.byToken[l.Token] = l
	at, _ := t.byRoot.Get(l.Root)
	t.byRoot.Set(l.Root, append(slices.Clone(at), l))
}

func (t *Table) remove(l *Lock) {
	delete(t.byToken, l.Token)
	at, _ := t.byRoot.Get(l.Root)
	if at = slices.DeleteFunc(slices.Clone(at), func(x *Lock) bool { return x == l }); len(at) > 0 {
		t.byRoot.Set(l.Root, at)
	} else {
		t.byRoot.Delete(l.Root)
	}
}

// Expire takes away what is over and gives its tokens, at most so many.
func (t *Table) Expire(now int64, most int) (gone []string) {
	t.byRoot.Scan(func(_ string, at []*Lock) bool {
		for _, l := range at {
			if l.Expires <= now && len(gone) < most {
				gone = append(gone, l.Token)
			}
		}
		return len(gone) < most
	})
	for _, token := range gone {
		t.remove(t.byToken[token])
	}
	return gone
}

// parents calls f for a name and each above it.
func parents(name string, f func(name string, self bool) bool) {
	for self := true; ; self = false {
		if !f(name, self) || name == "/" {
			return
		}
		if name = name[:strings.LastIndexByte(name, '/')]; name == "" {
			name = "/"
		}
	}
}

// On calls f for each lock that covers a name, the nearest first; with below set also for those on names below it.
func (t *Table) On(now int64, name string, below bool, f func(l *Lock) bool) {
	more := true
	parents(name, func(n string, self bool) bool {
		at, _ := t.byRoot.Get(n)
		for _, l := range at {
			if more = more && (l.Expires <= now || !self && !l.Deep || f(l)); !more {
				return false
			}
		}
		return true
	})
	if !below || !more {
		return
	}
	prefix := strings.TrimSuffix(name, "/") + "/"
	t.byRoot.Ascend(prefix, func(n string, at []*Lock) bool {
		if !strings.HasPrefix(n, prefix) {
			return false
		}
		for _, l := range at {
			if n != name && l.Expires > now && !f(l) {
				return false
			}
		}
		return true
	})
}

// Grant makes a lock, unless another is in the way: an exclusive one suffers none beside it, above or, where it is deep,
// below; a shared one only shared ones.
func (t *Table) Grant(now int64, l Lock) (*Lock, error) {
	if len(t.byToken) >= Most {
		if t.Expire(now, Most); len(t.byToken) >= Most {
			return nil, ErrFull
		}
	}
	var err error
	t.On(now, l.Root, l.Deep, func(o *Lock) bool {
		if !l.Shared || !o.Shared {
			err = &Conflict{o.Root}
		}
		return err == nil
	})
	if err != nil {
		return nil, err
	}
	l.Length = min(cmp.Or(max(l.Length, 0), usual), MostSeconds)
	l.Expires = now + l.Length
	if t.byToken[l.Token] != nil {
		return nil, fmt.Errorf("locks: token %q stands twice", l.Token)
	}
	t.add(&l)
	return &l, nil
}

// Refresh lets a lock that covers a name last anew; length 0 is as long as before.
func (t *Table) Refresh(now int64, name, token, user string, length int64) (*Lock, error) {
	l := t.byToken[token]
	if l == nil || l.Expires <= now || !l.covers(name) || l.User != user {
		return nil, ErrUnknown
	}
	if length > 0 {
		l.Length = min(length, MostSeconds)
	}
	l.Expires = now + l.Length
	return l, nil
}

func (l *Lock) covers(name string) bool {
	return l.Root == name || l.Deep && strings.HasPrefix(name, strings.TrimSuffix(l.Root, "/")+"/")
}

// Unlock takes a lock away that covers the name.
func (t *Table) Unlock(now int64, name, token, user string) error {
	l := t.byToken[token]
	if l == nil || l.Expires <= now || !l.covers(name) || l.User != user {
		return ErrUnknown
	}
	t.remove(l)
	return nil
}

// May tells whether a user who shows tokens may change a name, and with below set all below it. Of several shared locks
// one token is enough; a token is its user's alone.
func (t *Table) May(now int64, name string, below bool, user string, tokens []string) error {
	type place struct{ shown bool }
	state := map[string]*place{} // by root
	var order []string
	t.On(now, name, below, func(l *Lock) bool {
		p := state[l.Root]
		if p == nil {
			p = &place{}
			state[l.Root] = p
			order = append(order, l.Root)
		}
		p.shown = p.shown || l.User == user && slices.Contains(tokens, l.Token)
		return true
	})
	for _, root := range order {
		if !state[root].shown {
			return &Conflict{root}
		}
	}
	return nil
}

// Holds tells whether a token is that of a lock that covers a name: a state that an If header may ask for.
func (t *Table) Holds(now int64, name, token string) bool {
	l := t.byToken[token]
	return l != nil && l.Expires > now && l.covers(name)
}

// Drop takes away the locks on a name and all below it, as when it is deleted or moved, and gives their tokens.
func (t *Table) Drop(name string) (gone []string) {
	var all []*Lock
	prefix := strings.TrimSuffix(name, "/") + "/"
	if at, ok := t.byRoot.Get(name); ok {
		all = append(all, at...)
	}
	t.byRoot.Ascend(prefix, func(n string, at []*Lock) bool {
		if !strings.HasPrefix(n, prefix) {
			return false
		}
		if n != name {
			all = append(all, at...)
		}
		return true
	})
	for _, l := range all {
		t.remove(l)
		gone = append(gone, l.Token)
	}
	return gone
}

// Len is how many there are, those that are over included until Expire.
func (t *Table) Len() int { return len(t.byToken) }
