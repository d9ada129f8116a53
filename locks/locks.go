// Package locks implements the write locks of a tree of names (RFC 4918, sections 6 and 7): which locks may be granted,
// which tokens a request must submit to change a name, and when a lock expires. Names are slash-separated paths; "/" is
// the root.
//
// It prevents two programs from both assuming exclusive access to a name, also over a restart: locks are plain data
// that the caller can store. Drawback: if a client never unlocks a name, the lock excludes others until it expires.
//
// The package has no clock, goroutines or I/O, and no decision depends on map order.
package locks

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/tidwall/btree"
)

// Lock is a lock in its stored form. Times are in seconds since 1970.
type Lock struct {
	Token   string
	Root    string // name that the lock was requested for
	Deep    bool   // also covers all names below Root
	Shared  bool
	Owner   string // XML, as sent by the client
	User    string
	Expires int64
	Length  int64 // granted timeout in seconds
}

// Limits of the table: the number of locks and their timeout.
const (
	MaxLocks          = 100_000
	MaxTimeoutSeconds = 7 * 24 * 3600
	// defaultSeconds is the timeout of a lock whose client requests none.
	defaultSeconds = 600
)

// Errors returned by the methods of Table.
var (
	ErrLocked  = errors.New("locks: locked")
	ErrUnknown = errors.New("locks: no such lock")
	ErrFull    = errors.New("locks: too many locks")
)

// ConflictError names the root of a conflicting lock. It matches ErrLocked.
type ConflictError struct{ Root string }

func (c *ConflictError) Error() string   { return fmt.Sprintf("locks: %s is locked", c.Root) }
func (c *ConflictError) Is(e error) bool { return e == ErrLocked }

// Table holds all locks of a tree.
type Table struct {
	byToken map[string]*Lock
	byRoot  btree.Map[string, []*Lock]
}

// New returns a table of the stored locks without those that have expired.
func New(now int64, kept []Lock) *Table {
	t := &Table{byToken: map[string]*Lock{}}
	for _, l := range kept {
		if l.Expires > now && t.byToken[l.Token] == nil {
			t.insert(&l)
		}
	}
	return t
}

func (t *Table) insert(l *Lock) {
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

// Expire removes expired locks, at most maxLocks, and returns their tokens.
func (t *Table) Expire(now int64, maxLocks int) (expired []string) {
	t.byRoot.Scan(func(_ string, at []*Lock) bool {
		for _, l := range at {
			if l.Expires <= now && len(expired) < maxLocks {
				expired = append(expired, l.Token)
			}
		}
		return len(expired) < maxLocks
	})
	for _, token := range expired {
		t.remove(t.byToken[token])
	}
	return expired
}

// forEachAncestor calls f for a name, with self set, and then for each name above it, until f returns false.
func forEachAncestor(name string, f func(name string, self bool) bool) {
	for self := true; ; self = false {
		if !f(name, self) || name == "/" {
			return
		}
		if name = name[:strings.LastIndexByte(name, '/')]; name == "" {
			name = "/"
		}
	}
}

// ForEachCovering calls f for each lock that covers a name, the one with the nearest root first, and with below set
// also for those on names below it, until f returns false.
func (t *Table) ForEachCovering(now int64, name string, below bool, f func(l *Lock) bool) {
	more := true
	forEachAncestor(name, func(n string, self bool) bool {
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

// Grant adds a lock unless another lock that covers its root conflicts with it, or, if it is deep, one on a name below
// its root. Two locks conflict unless both are shared. It returns the lock with its expiry time, a ConflictError, or
// ErrFull.
func (t *Table) Grant(now int64, l Lock) (*Lock, error) {
	if len(t.byToken) >= MaxLocks {
		if t.Expire(now, MaxLocks); len(t.byToken) >= MaxLocks {
			return nil, ErrFull
		}
	}
	var err error
	t.ForEachCovering(now, l.Root, l.Deep, func(o *Lock) bool {
		if !l.Shared || !o.Shared {
			err = &ConflictError{o.Root}
		}
		return err == nil
	})
	if err != nil {
		return nil, err
	}
	l.Length = min(cmp.Or(max(l.Length, 0), defaultSeconds), MaxTimeoutSeconds)
	l.Expires = now + l.Length
	if t.byToken[l.Token] != nil {
		return nil, fmt.Errorf("locks: token %q already exists", l.Token)
	}
	t.insert(&l)
	return &l, nil
}

// Refresh restarts the timeout of a lock that covers a name. A length of 0 keeps the previous timeout.
func (t *Table) Refresh(now int64, name, token, user string, length int64) (*Lock, error) {
	l := t.byToken[token]
	if l == nil || l.Expires <= now || !l.covers(name) || l.User != user {
		return nil, ErrUnknown
	}
	if length > 0 {
		l.Length = min(length, MaxTimeoutSeconds)
	}
	l.Expires = now + l.Length
	return l, nil
}

func (l *Lock) covers(name string) bool {
	return l.Root == name || l.Deep && strings.HasPrefix(name, strings.TrimSuffix(l.Root, "/")+"/")
}

// Unlock removes a lock that covers the name.
func (t *Table) Unlock(now int64, name, token, user string) error {
	l := t.byToken[token]
	if l == nil || l.Expires <= now || !l.covers(name) || l.User != user {
		return ErrUnknown
	}
	t.remove(l)
	return nil
}

// CheckAccess returns nil if a user who submits tokens may change a name, and with below set all names below it; else
// it returns a ConflictError. Of several shared locks with the same root one token is sufficient. A token is valid for
// its own user only.
func (t *Table) CheckAccess(now int64, name string, below bool, user string, tokens []string) error {
	type rootState struct{ hasToken bool }
	stateByRoot := map[string]*rootState{}
	var order []string
	t.ForEachCovering(now, name, below, func(l *Lock) bool {
		state := stateByRoot[l.Root]
		if state == nil {
			state = &rootState{}
			stateByRoot[l.Root] = state
			order = append(order, l.Root)
		}
		state.hasToken = state.hasToken || l.User == user && slices.Contains(tokens, l.Token)
		return true
	})
	for _, root := range order {
		if !stateByRoot[root].hasToken {
			return &ConflictError{root}
		}
	}
	return nil
}

// Holds reports whether a token belongs to a lock that covers a name, a condition that an If header may state.
func (t *Table) Holds(now int64, name, token string) bool {
	l := t.byToken[token]
	return l != nil && l.Expires > now && l.covers(name)
}

// Drop removes the locks on a name and all names below it, as needed when it is deleted or moved, and returns
// their tokens.
func (t *Table) Drop(name string) (tokens []string) {
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
		tokens = append(tokens, l.Token)
	}
	return tokens
}

// Len returns the number of locks, including expired ones that Expire has not removed yet.
func (t *Table) Len() int { return len(t.byToken) }
