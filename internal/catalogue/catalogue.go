// Package catalogue keeps what the files of a volume of objects are: a tree of names, properties, locks, and the objects
// that each file's bytes lie on. It is one bbolt database; what a call has answered is on stable storage, and a call that
// was cut off has happened whole or not at all. What no entry names is free: the space on the nodes has no other record.
package catalogue

import (
	"bytes"
	"cmp"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"time"

	"appleplank/locks"

	"github.com/fxamacker/cbor/v2"
	bolt "go.etcd.io/bbolt"
)

// Object is a run of a file's bytes: where it lies in the volume, and how much of it is the file's.
type Object struct {
	At, Len int64
}

// Entry is a file or folder.
type Entry struct {
	ID       uint64
	Dir      bool
	Size     int64
	Created  int64 // nanoseconds since 1970
	Modified int64
	Version  uint64 // another with each change of content; never used twice
	Type     string // of the content, as the client said; empty: not told
	Props    []Prop // dead properties, in order
	Objects  []Object
}

// Prop is a property that only the client understands.
type Prop struct{ Space, Name, XML string }

// Bounds.
const (
	MostName  = 255      // bytes of a name
	MostDepth = 4096     // names in a path
	MostProps = 64 << 10 // bytes of an entry's dead properties
)

// Errors that a caller tells apart.
var (
	ErrNotFound = errors.New("catalogue: no such name")
	ErrNoParent = errors.New("catalogue: no such folder")
	ErrExists   = errors.New("catalogue: the name is taken")
	ErrIsDir    = errors.New("catalogue: it is a folder")
	ErrInside   = errors.New("catalogue: a folder cannot lie in itself")
	ErrName     = errors.New("catalogue: no such name can be")
	ErrTooLarge = errors.New("catalogue: too much for one entry")
)

/*
Buckets, numbers big-endian:

	names    parent (8), name     -> entry (8)
	entries  entry (8)            -> CBOR of Entry
	locks    token                -> CBOR of locks.Lock
	meta     "version 1"          -> last number given out (8)
*/
var (
	bNames, bEntries, bLocks, bMeta = []byte("names"), []byte("entries"), []byte("locks"), []byte("meta")
	kNumber                         = []byte("version 1")
)

const (
	root    = 1 // the folder "/"
	staging = 2 // the parent of trees that are not linked yet; empty at a start
)

// Catalogue is one volume's. It is safe for concurrent use.
type Catalogue struct {
	db *bolt.DB

	mu    sync.Mutex
	locks *locks.Table
	now   func() time.Time
}

// Open opens a catalogue, making it where there is none. What an earlier process had not linked yet is taken away.
func Open(path string) (c *Catalogue, err error) {
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("catalogue: %s is damaged: %v", path, r)
		}
	}()
	db, err := bolt.Open(path, 0o640, &bolt.Options{Timeout: time.Second, FreelistType: bolt.FreelistMapType})
	if err != nil {
		return nil, fmt.Errorf("catalogue: %s: %w", path, err)
	}
	db.MaxBatchDelay = time.Millisecond
	c = &Catalogue{db: db, now: time.Now}
	var kept []locks.Lock
	err = db.Update(func(tx *bolt.Tx) error {
		for _, b := range [][]byte{bNames, bEntries, bLocks, bMeta} {
			if _, err := tx.CreateBucketIfNotExists(b); err != nil {
				return err
			}
		}
		t := &change{tx: tx}
		if tx.Bucket(bMeta).Get(kNumber) == nil {
			now := c.now().UnixNano()
			if err := tx.Bucket(bMeta).Put(kNumber, num(staging)); err != nil {
				return err
			}
			if err := t.put(&Entry{ID: root, Dir: true, Created: now, Modified: now}); err != nil {
				return err
			}
		}
		if err := t.dropAll(staging); err != nil {
			return err
		}
		return tx.Bucket(bLocks).ForEach(func(_, v []byte) error {
			var l locks.Lock
			err := cbor.Unmarshal(v, &l)
			kept = append(kept, l)
			return err
		})
	})
	if err != nil {
		db.Close()
		return nil, fmt.Errorf("catalogue: %s: %w", path, err)
	}
	c.locks = locks.New(c.now().Unix(), kept)
	return c, nil
}

// Close ends it.
func (c *Catalogue) Close() error { return c.db.Close() }

func num(n uint64) []byte { return binary.BigEndian.AppendUint64(nil, n) }

// Split cuts a path into names, checking each. The root has none.
func Split(path string) ([]string, error) {
	if path == "" || path[0] != '/' {
		return nil, ErrName
	}
	var names []string
	for _, n := range strings.Split(path, "/") {
		if n == "" {
			continue // also for a slash at the end
		}
		if n == "." || n == ".." || len(n) > MostName || strings.IndexByte(n, 0) >= 0 {
			return nil, ErrName
		}
		names = append(names, n)
	}
	if len(names) > MostDepth {
		return nil, ErrName
	}
	return names, nil
}

// ---- reading ----

type view struct{ tx *bolt.Tx }

func (v view) entry(id uint64) (*Entry, error) {
	b := v.tx.Bucket(bEntries).Get(num(id))
	if b == nil {
		return nil, fmt.Errorf("catalogue: entry %d is named and does not stand there", id)
	}
	e := &Entry{}
	return e, cbor.Unmarshal(b, e)
}

func (v view) child(parent uint64, name string) uint64 {
	b := v.tx.Bucket(bNames).Get(append(num(parent), name...))
	if b == nil {
		return 0
	}
	return binary.BigEndian.Uint64(b)
}

// find gives the entry of a path, and its parent and last name; the entry is nil where only it is missing.
func (v view) find(path string) (e *Entry, parent uint64, name string, err error) {
	names, err := Split(path)
	if err != nil {
		return nil, 0, "", err
	}
	id := uint64(root)
	for i, n := range names {
		parent, name = id, n
		if id = v.child(parent, n); id == 0 {
			if i < len(names)-1 {
				return nil, 0, "", ErrNoParent
			}
			// The parent must be a folder.
			if p, err := v.entry(parent); err != nil || !p.Dir {
				return nil, 0, "", errors.Join(ErrNoParent, err)
			}
			return nil, parent, name, nil
		}
	}
	e, err = v.entry(id)
	return e, parent, name, err
}

// Get finds a file or folder.
func (c *Catalogue) Get(path string) (e *Entry, err error) {
	err = c.db.View(func(tx *bolt.Tx) error {
		if e, _, _, err = (view{tx}).find(path); err == nil && e == nil || errors.Is(err, ErrNoParent) {
			err = ErrNotFound
		}
		return err
	})
	return e, err
}

// Child is a name in a folder.
type Child struct {
	Name string
	Entry
}

// List gives up to n names of a folder that come after one, in order; fewer mean that there are no more.
func (c *Catalogue) List(id uint64, after string, n int) (out []Child, err error) {
	err = c.db.View(func(tx *bolt.Tx) error {
		v, prefix := view{tx}, num(id)
		cur := tx.Bucket(bNames).Cursor()
		for k, b := cur.Seek(append(num(id), after...)); k != nil && bytes.HasPrefix(k, prefix) && len(out) < n; k, b = cur.Next() {
			name := string(k[8:])
			if name == after {
				continue
			}
			e, err := v.entry(binary.BigEndian.Uint64(b))
			if err != nil {
				return err
			}
			out = append(out, Child{name, *e})
		}
		return nil
	})
	return out, err
}

// Objects calls f for each object that a file lies on.
func (c *Catalogue) Objects(f func(o Object) error) error {
	return c.db.View(func(tx *bolt.Tx) error {
		return tx.Bucket(bEntries).ForEach(func(_, b []byte) error {
			var e Entry
			if err := cbor.Unmarshal(b, &e); err != nil {
				return err
			}
			for _, o := range e.Objects {
				if err := f(o); err != nil {
					return err
				}
			}
			return nil
		})
	})
}

// ---- changing ----

// change is a transaction, with what it sets free.
type change struct {
	tx    *bolt.Tx
	now   int64
	freed []Freed
	drop  []string // tokens of locks
}

// Freed is what a change has taken from an entry.
type Freed struct {
	Entry   uint64
	Version uint64
	Objects []Object
}

func (t *change) put(e *Entry) error {
	b, err := cbor.Marshal(e)
	if err != nil {
		return err
	}
	return t.tx.Bucket(bEntries).Put(num(e.ID), b)
}

// number gives out a number that was never given out.
func (t *change) number() (uint64, error) {
	b := t.tx.Bucket(bMeta)
	n := binary.BigEndian.Uint64(b.Get(kNumber)) + 1
	return n, b.Put(kNumber, num(n))
}

func (t *change) link(parent uint64, name string, id uint64) error {
	return t.tx.Bucket(bNames).Put(append(num(parent), name...), num(id))
}

func (t *change) touch(id uint64) error {
	e, err := view{t.tx}.entry(id)
	if err != nil {
		return err
	}
	e.Modified = t.now
	return t.put(e)
}

func (t *change) free(e *Entry) {
	if len(e.Objects) > 0 {
		t.freed = append(t.freed, Freed{e.ID, e.Version, e.Objects})
	}
}

// dropAll takes away all that lies in a folder, however deep.
func (t *change) dropAll(id uint64) error {
	names, entries := t.tx.Bucket(bNames), t.tx.Bucket(bEntries)
	for todo := []uint64{id}; len(todo) > 0; {
		at := todo[len(todo)-1]
		todo = todo[:len(todo)-1]
		prefix := num(at)
		var keys [][]byte
		cur := names.Cursor()
		for k, b := cur.Seek(prefix); k != nil && bytes.HasPrefix(k, prefix); k, b = cur.Next() {
			keys = append(keys, slices.Clone(k))
			e, err := view{t.tx}.entry(binary.BigEndian.Uint64(b))
			if err != nil {
				return err
			}
			if e.Dir {
				todo = append(todo, e.ID)
			}
			t.free(e)
			if err := entries.Delete(num(e.ID)); err != nil {
				return err
			}
		}
		for _, k := range keys {
			if err := names.Delete(k); err != nil {
				return err
			}
		}
	}
	return nil
}

// unlink takes an entry away with all that lies in it.
func (t *change) unlink(parent uint64, name string, e *Entry) error {
	if e.Dir {
		if err := t.dropAll(e.ID); err != nil {
			return err
		}
	}
	t.free(e)
	if err := t.tx.Bucket(bEntries).Delete(num(e.ID)); err != nil {
		return err
	}
	return t.tx.Bucket(bNames).Delete(append(num(parent), name...))
}

// update runs a change to stable storage; changes that come together share a sync. f may run more than once.
func (c *Catalogue) update(f func(t *change) error) (freed []Freed, err error) {
	var last *change
	err = c.db.Batch(func(tx *bolt.Tx) error {
		last = &change{tx: tx, now: c.now().UnixNano()}
		return f(last)
	})
	if err != nil {
		return nil, err
	}
	return last.freed, nil
}

// Put makes a file's content be some objects, in the place of what it was. The old ones are freed.
func (c *Catalogue) Put(path, kind string, size int64, objects []Object, check func(e *Entry) error) (e *Entry, created bool, freed []Freed, err error) {
	freed, err = c.update(func(t *change) error {
		old, parent, name, err := view{t.tx}.find(path)
		if err != nil {
			return err
		}
		if old != nil && old.Dir {
			return ErrIsDir
		}
		if err := check(old); err != nil {
			return err
		}
		created = old == nil
		if e = old; e == nil {
			e = &Entry{Created: t.now}
			if e.ID, err = t.number(); err != nil {
				return err
			}
			if err := t.link(parent, name, e.ID); err != nil {
				return err
			}
			if err := t.touch(parent); err != nil {
				return err
			}
		} else {
			t.free(old)
		}
		if e.Version, err = t.number(); err != nil {
			return err
		}
		e.Size, e.Objects, e.Modified, e.Type = size, objects, t.now, kind
		return t.put(e)
	})
	return e, created, freed, err
}

// Mkdir makes a folder.
func (c *Catalogue) Mkdir(path string) error {
	_, err := c.update(func(t *change) error {
		old, parent, name, err := view{t.tx}.find(path)
		if err != nil {
			return err
		}
		if old != nil {
			return ErrExists
		}
		return t.mkdir(parent, name, nil)
	})
	return err
}

func (t *change) mkdir(parent uint64, name string, props []Prop) error {
	id, err := t.number()
	if err != nil {
		return err
	}
	if err := t.link(parent, name, id); err != nil {
		return err
	}
	if parent != staging {
		if err := t.touch(parent); err != nil {
			return err
		}
	}
	return t.put(&Entry{ID: id, Dir: true, Created: t.now, Modified: t.now, Props: props})
}

// Delete takes a file or a whole folder away. The root stays, emptied.
func (c *Catalogue) Delete(path string) ([]Freed, error) {
	return c.update(func(t *change) error {
		e, parent, name, err := view{t.tx}.find(path)
		if err != nil || e == nil {
			return orNotFound(err)
		}
		if e.ID == root {
			return t.dropAll(root)
		}
		if err := t.unlink(parent, name, e); err != nil {
			return err
		}
		return t.touch(parent)
	})
}

func orNotFound(err error) error {
	if err == nil || errors.Is(err, ErrNoParent) {
		return ErrNotFound
	}
	return err
}

// Move gives a file or folder another name, at once however much lies in it.
func (c *Catalogue) Move(from, to string, overwrite bool) (created bool, freed []Freed, err error) {
	freed, err = c.update(func(t *change) error {
		v := view{t.tx}
		e, parent, name, err := v.find(from)
		if err != nil || e == nil {
			return orNotFound(err)
		}
		if inside(to, from) || inside(from, to) || e.ID == root {
			return ErrInside
		}
		old, newParent, newName, err := v.find(to)
		if err != nil {
			return err
		}
		if created = old == nil; old != nil {
			if !overwrite {
				return ErrExists
			}
			if err := t.unlink(newParent, newName, old); err != nil {
				return err
			}
		}
		if err := t.tx.Bucket(bNames).Delete(append(num(parent), name...)); err != nil {
			return err
		}
		if err := t.link(newParent, newName, e.ID); err != nil {
			return err
		}
		return errors.Join(t.touch(parent), t.touch(newParent))
	})
	return created, freed, err
}

// inside tells whether a path is another or lies in it.
func inside(path, in string) bool {
	path, in = strings.TrimSuffix(path, "/")+"/", strings.TrimSuffix(in, "/")+"/"
	return strings.HasPrefix(path, in)
}

// Tree is a copy that is being made: nobody sees it until it is linked, and a crash before that leaves nothing of it.
type Tree struct {
	c    *Catalogue
	name string // in staging
	root uint64
}

// NewTree begins a copy whose root is a folder, or a file with objects.
func (c *Catalogue) NewTree(e Entry) (*Tree, error) {
	t := &Tree{c: c}
	_, err := c.update(func(ch *change) error {
		n, err := ch.number()
		if err != nil {
			return err
		}
		t.name = fmt.Sprint(n)
		t.root, err = ch.add(staging, t.name, e)
		return err
	})
	return t, err
}

// add makes an entry with the content of another.
func (t *change) add(parent uint64, name string, e Entry) (id uint64, err error) {
	if id, err = t.number(); err != nil {
		return 0, err
	}
	e.ID, e.Created, e.Modified = id, t.now, t.now
	if e.Version, err = t.number(); err != nil {
		return 0, err
	}
	if err := t.link(parent, name, id); err != nil {
		return 0, err
	}
	return id, t.put(&e)
}

// Root is the entry of the copy's root.
func (t *Tree) Root() uint64 { return t.root }

// Add puts an entry into a folder of the copy.
func (t *Tree) Add(parent uint64, name string, e Entry) (id uint64, err error) {
	_, err = t.c.update(func(ch *change) (err error) {
		id, err = ch.add(parent, name, e)
		return err
	})
	return id, err
}

// Link puts the whole copy in its place at once.
func (t *Tree) Link(to string, overwrite bool) (created bool, freed []Freed, err error) {
	freed, err = t.c.update(func(ch *change) error {
		old, parent, name, err := view{ch.tx}.find(to)
		if err != nil {
			return err
		}
		if created = old == nil; old != nil {
			if !overwrite {
				return ErrExists
			}
			if old.ID == root {
				return ErrInside
			}
			if err := ch.unlink(parent, name, old); err != nil {
				return err
			}
		}
		if err := ch.tx.Bucket(bNames).Delete(append(num(staging), t.name...)); err != nil {
			return err
		}
		if err := ch.link(parent, name, t.root); err != nil {
			return err
		}
		return ch.touch(parent)
	})
	return created, freed, err
}

// Drop gives the copy up.
func (t *Tree) Drop() ([]Freed, error) {
	return t.c.update(func(ch *change) error {
		e, err := view{ch.tx}.entry(t.root)
		if err != nil {
			return err
		}
		return ch.unlink(staging, t.name, e)
	})
}

// SetProps changes dead properties, all or none.
func (c *Catalogue) SetProps(path string, set, remove []Prop) error {
	_, err := c.update(func(t *change) error {
		e, _, _, err := view{t.tx}.find(path)
		if err != nil || e == nil {
			return orNotFound(err)
		}
		gone := func(p Prop) bool {
			same := func(o Prop) bool { return o.Space == p.Space && o.Name == p.Name }
			return slices.ContainsFunc(set, same) || slices.ContainsFunc(remove, same)
		}
		e.Props = append(slices.DeleteFunc(e.Props, gone), set...)
		n := 0
		for _, p := range e.Props {
			n += len(p.Space) + len(p.Name) + len(p.XML)
		}
		if n > MostProps {
			return ErrTooLarge
		}
		return t.put(e)
	})
	return err
}

// ---- locks ----

// Locks lets the table be read or asked; nothing of it may be kept.
func (c *Catalogue) Locks(f func(now int64, t *locks.Table)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f(c.now().Unix(), c.locks)
}

// ChangeLocks lets the table be changed and brings what changed to stable storage before it returns. F gives the lock that
// is new or lasts anew, and the tokens of those that are gone; where they cannot be kept they hold all the same until the
// process ends, which errs on the safe side.
func (c *Catalogue) ChangeLocks(f func(now int64, t *locks.Table) (*locks.Lock, []string, error)) (l locks.Lock, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now().Unix()
	got, gone, err := f(now, c.locks)
	if err != nil {
		return l, err
	}
	gone = append(gone, c.locks.Expire(now, 100)...)
	if got != nil {
		l = *got
	}
	if got == nil && len(gone) == 0 {
		return l, nil
	}
	return l, c.db.Update(func(tx *bolt.Tx) error {
		b := tx.Bucket(bLocks)
		for _, token := range gone {
			if err := b.Delete([]byte(token)); err != nil {
				return err
			}
		}
		if got == nil {
			return nil
		}
		v, err := cbor.Marshal(got)
		if err != nil {
			return err
		}
		return b.Put([]byte(got.Token), v)
	})
}

// ---- for operators ----

// Check looks for what cannot be: names of entries that are not there, entries without a name, bytes that two files lie
// on, sizes that do not fit. It gives one line for each.
func (c *Catalogue) Check() (problems []string, files, folders int, err error) {
	bad := func(format string, a ...any) { problems = append(problems, fmt.Sprintf(format, a...)) }
	err = c.db.View(func(tx *bolt.Tx) error {
		named := map[uint64]int{root: 1}
		if err := tx.Bucket(bNames).ForEach(func(k, b []byte) error {
			if len(k) <= 8 || len(b) != 8 {
				bad("a name of %d bytes for %d", len(k), len(b))
				return nil
			}
			id := binary.BigEndian.Uint64(b)
			if named[id]++; named[id] == 2 {
				bad("entry %d has two names, one of them %q", id, k[8:])
			}
			if tx.Bucket(bEntries).Get(b) == nil {
				bad("name %q in %d: entry %d does not stand there", k[8:], binary.BigEndian.Uint64(k), id)
			}
			return nil
		}); err != nil {
			return err
		}
		var all []Object
		err := tx.Bucket(bEntries).ForEach(func(k, b []byte) error {
			var e Entry
			if err := cbor.Unmarshal(b, &e); err != nil {
				bad("entry %x: %v", k, err)
				return nil
			}
			if e.Dir {
				folders++
			} else {
				files++
			}
			if named[e.ID] == 0 {
				bad("entry %d has no name", e.ID)
			}
			n := int64(0)
			for _, o := range e.Objects {
				n += o.Len
			}
			if n != e.Size {
				bad("entry %d is of %d bytes and has objects of %d", e.ID, e.Size, n)
			}
			all = append(all, e.Objects...)
			return nil
		})
		slices.SortFunc(all, func(a, b Object) int { return int(min(max(a.At-b.At, -1), 1)) })
		for i := 1; i < len(all); i++ {
			if all[i-1].At+all[i-1].Len > all[i].At {
				bad("two objects lie on byte %d of the volume", all[i].At)
			}
		}
		return err
	})
	return problems, files, folders, err
}

// Repair makes a catalogue sound again as far as that can be: names of entries that are not there go, entries without a
// name come to /lost+found under their numbers, and of two files that lie on the same bytes the one that was written last
// keeps them, as the other's were overwritten; that one goes. It gives a line for each thing done.
func (c *Catalogue) Repair() (done []string, err error) {
	_, err = c.update(func(t *change) error {
		done = nil
		did := func(format string, a ...any) { done = append(done, fmt.Sprintf(format, a...)) }
		names, entries := t.tx.Bucket(bNames), t.tx.Bucket(bEntries)
		all := map[uint64]*Entry{}
		var broken [][]byte
		if err := entries.ForEach(func(k, b []byte) error {
			var e Entry
			n := int64(0)
			if len(k) == 8 && cbor.Unmarshal(b, &e) == nil {
				for _, o := range e.Objects {
					n += o.Len
				}
			}
			if len(k) != 8 || e.ID != binary.BigEndian.Uint64(k) || n != e.Size {
				broken = append(broken, slices.Clone(k))
				return nil
			}
			all[e.ID] = &e
			return nil
		}); err != nil {
			return err
		}
		for _, k := range broken {
			did("entry %x cannot be read, or its size is not that of its objects: taken away", k)
			if err := entries.Delete(k); err != nil {
				return err
			}
		}
		type use struct {
			Object
			e *Entry
		}
		var uses []use
		for _, e := range all {
			for _, o := range e.Objects {
				uses = append(uses, use{o, e})
			}
		}
		slices.SortFunc(uses, func(a, b use) int { return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.e.Version, b.e.Version)) })
		for i := 1; i < len(uses); i++ {
			a, b := uses[i-1], uses[i]
			if a.At+a.Len <= b.At || all[a.e.ID] == nil || all[b.e.ID] == nil || a.e == b.e {
				continue
			}
			old := a.e
			if b.e.Version < a.e.Version {
				old = b.e
			}
			did("entry %d lies on bytes that were written anew: taken away", old.ID)
			delete(all, old.ID)
			if err := entries.Delete(num(old.ID)); err != nil {
				return err
			}
		}
		if all[root] == nil {
			all[root] = &Entry{ID: root, Dir: true, Created: t.now, Modified: t.now}
			did("the root is made anew")
			if err := t.put(all[root]); err != nil {
				return err
			}
		}
		named := map[uint64]bool{root: true}
		var wrong [][]byte
		if err := names.ForEach(func(k, b []byte) error {
			ok := len(k) > 8 && len(b) == 8
			if ok {
				parent, id := all[binary.BigEndian.Uint64(k)], binary.BigEndian.Uint64(b)
				if ok = parent != nil && parent.Dir && all[id] != nil && !named[id]; ok {
					named[id] = true
				}
			}
			if !ok {
				wrong = append(wrong, slices.Clone(k))
			}
			return nil
		}); err != nil {
			return err
		}
		for _, k := range wrong {
			did("name %q leads nowhere: taken away", k[min(8, len(k)):])
			if err := names.Delete(k); err != nil {
				return err
			}
		}
		var orphans []uint64
		for id := range all {
			if !named[id] {
				orphans = append(orphans, id)
			}
		}
		slices.Sort(orphans)
		if len(orphans) == 0 {
			return nil
		}
		const lost = "lost+found"
		folder := view{t.tx}.child(root, lost)
		if folder == 0 {
			if err := t.mkdir(root, lost, nil); err != nil {
				return err
			}
			folder = view{t.tx}.child(root, lost)
		}
		for _, id := range orphans {
			did("entry %d has no name: it is /%s/%d now", id, lost, id)
			if err := t.link(folder, fmt.Sprint(id), id); err != nil {
				return err
			}
		}
		return nil
	})
	return done, err
}

// Export writes a line for each name: its path, size, version and objects.
func (c *Catalogue) Export(w io.Writer) error {
	type at struct {
		id   uint64
		path string
	}
	for todo := []at{{root, ""}}; len(todo) > 0; {
		d := todo[len(todo)-1]
		todo = todo[:len(todo)-1]
		for after := ""; ; {
			list, err := c.List(d.id, after, 1000)
			if err != nil {
				return err
			}
			for _, e := range list {
				path := d.path + "/" + e.Name
				kind := "file"
				if e.Dir {
					kind = "folder"
					todo = append(todo, at{e.ID, path})
				}
				if _, err := fmt.Fprintf(w, "%s\t%q\t%d\t%d\t%v\n", kind, path, e.Size, e.Version, e.Objects); err != nil {
					return err
				}
				after = e.Name
			}
			if len(list) < 1000 {
				break
			}
		}
	}
	return nil
}
