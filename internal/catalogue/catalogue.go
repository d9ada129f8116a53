// Package catalogue stores the metadata of the files on a volume of objects: the tree of names, the properties, the
// locks and the objects that hold each file's bytes. It is one bbolt database. Changes are on stable storage when a
// call returns, and an interrupted call has taken effect either completely or not at all. Space that no entry refers to
// is free: there is no other record of the space on the nodes.
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

// Object is a contiguous part of a file: its offset in the volume and the number of bytes that belong to the file.
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
	Version  uint64 // changes with the content; never reused
	Type     string // content type as given by the client; empty if none was given
	Props    []Prop // dead properties, in order
	Objects  []Object
}

// Prop is a dead property: the server stores it without interpreting it.
type Prop struct{ Space, Name, XML string }

// Limits of names, paths and properties.
const (
	MaxNameBytes = 255      // bytes in a name
	MaxDepth     = 4096     // names in a path
	MaxPropBytes = 64 << 10 // bytes of all dead properties of an entry
)

// Errors that callers distinguish with errors.Is.
var (
	ErrNotFound = errors.New("catalogue: file or folder not found")
	ErrNoParent = errors.New("catalogue: parent folder not found")
	ErrExists   = errors.New("catalogue: name already exists")
	ErrIsDir    = errors.New("catalogue: is a folder")
	ErrInside   = errors.New("catalogue: source or destination contains the other")
	ErrName     = errors.New("catalogue: invalid path or name")
	ErrTooLarge = errors.New("catalogue: too much for one entry")
)

/*
Buckets of the database. Numbers are big-endian, their length in bytes is given in parentheses:

	names    parent ID (8), name  -> entry ID (8)
	entries  entry ID (8)         -> CBOR of Entry
	locks    token                -> CBOR of locks.Lock
	meta     "version 1"          -> last allocated ID or version (8)
*/
var (
	namesBucket, entriesBucket, locksBucket, metaBucket = []byte("names"), []byte("entries"), []byte("locks"), []byte("meta")
	lastNumberKey                                       = []byte("version 1")
)

const (
	rootID    = 1 // ID of the folder "/"
	stagingID = 2 // ID of the parent of trees that are not linked yet; Open empties it
)

// Catalogue is the catalogue of one volume. It is safe for concurrent use.
type Catalogue struct {
	db *bolt.DB

	mu    sync.Mutex
	locks *locks.Table
	now   func() time.Time
}

// Open opens the catalogue at path and creates it if it does not exist. It deletes trees that an earlier process had
// not linked yet.
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
	var stored []locks.Lock
	err = db.Update(func(tx *bolt.Tx) error {
		for _, b := range [][]byte{namesBucket, entriesBucket, locksBucket, metaBucket} {
			if _, err := tx.CreateBucketIfNotExists(b); err != nil {
				return err
			}
		}
		t := &writeTx{tx: tx}
		if tx.Bucket(metaBucket).Get(lastNumberKey) == nil {
			now := c.now().UnixNano()
			if err := tx.Bucket(metaBucket).Put(lastNumberKey, encodeNumber(stagingID)); err != nil {
				return err
			}
			if err := t.put(&Entry{ID: rootID, Dir: true, Created: now, Modified: now}); err != nil {
				return err
			}
		}
		if err := t.deleteContents(stagingID); err != nil {
			return err
		}
		return tx.Bucket(locksBucket).ForEach(func(_, v []byte) error {
			var l locks.Lock
			err := cbor.Unmarshal(v, &l)
			stored = append(stored, l)
			return err
		})
	})
	if err != nil {
		db.Close()
		return nil, fmt.Errorf("catalogue: %s: %w", path, err)
	}
	c.locks = locks.New(c.now().Unix(), stored)
	return c, nil
}

// Close closes the database.
func (c *Catalogue) Close() error { return c.db.Close() }

// encodeNumber returns n as a key or value of the database.
func encodeNumber(n uint64) []byte { return binary.BigEndian.AppendUint64(nil, n) }

// Split splits a path into names and validates each. The root has no names. It returns ErrName for an invalid path.
func Split(path string) ([]string, error) {
	if path == "" || path[0] != '/' {
		return nil, ErrName
	}
	var names []string
	for _, n := range strings.Split(path, "/") {
		if n == "" {
			continue // repeated or trailing slash
		}
		if n == "." || n == ".." || len(n) > MaxNameBytes || strings.IndexByte(n, 0) >= 0 {
			return nil, ErrName
		}
		names = append(names, n)
	}
	if len(names) > MaxDepth {
		return nil, ErrName
	}
	return names, nil
}

// ---- reading ----

// readTx reads entries within a transaction.
type readTx struct{ tx *bolt.Tx }

func (v readTx) entry(id uint64) (*Entry, error) {
	b := v.tx.Bucket(entriesBucket).Get(encodeNumber(id))
	if b == nil {
		return nil, fmt.Errorf("catalogue: entry %d has a name but no record", id)
	}
	e := &Entry{}
	return e, cbor.Unmarshal(b, e)
}

// lookup returns the ID of a name in a folder, 0 if there is none.
func (v readTx) lookup(parent uint64, name string) uint64 {
	b := v.tx.Bucket(namesBucket).Get(append(encodeNumber(parent), name...))
	if b == nil {
		return 0
	}
	return binary.BigEndian.Uint64(b)
}

// resolve returns the entry of a path, its parent's ID and its last name. The entry is nil if the parent folder exists
// but the name does not.
func (v readTx) resolve(path string) (e *Entry, parent uint64, name string, err error) {
	names, err := Split(path)
	if err != nil {
		return nil, 0, "", err
	}
	id := uint64(rootID)
	for i, n := range names {
		parent, name = id, n
		if id = v.lookup(parent, n); id == 0 {
			if i < len(names)-1 {
				return nil, 0, "", ErrNoParent
			}
			// The parent may be a file, which cannot hold names.
			if p, err := v.entry(parent); err != nil || !p.Dir {
				return nil, 0, "", errors.Join(ErrNoParent, err)
			}
			return nil, parent, name, nil
		}
	}
	e, err = v.entry(id)
	return e, parent, name, err
}

// Get returns the entry of a file or folder, or ErrNotFound.
func (c *Catalogue) Get(path string) (e *Entry, err error) {
	err = c.db.View(func(tx *bolt.Tx) error {
		if e, _, _, err = (readTx{tx}).resolve(path); err == nil && e == nil || errors.Is(err, ErrNoParent) {
			err = ErrNotFound
		}
		return err
	})
	return e, err
}

// Child is an entry of a folder with its name.
type Child struct {
	Name string
	Entry
}

// List returns up to n children of a folder whose names sort after the given one, in order of their names. Fewer than n
// mean that there are no more.
func (c *Catalogue) List(id uint64, after string, n int) (out []Child, err error) {
	err = c.db.View(func(tx *bolt.Tx) error {
		v, prefix := readTx{tx}, encodeNumber(id)
		cur := tx.Bucket(namesBucket).Cursor()
		for k, b := cur.Seek(append(encodeNumber(id), after...)); k != nil && bytes.HasPrefix(k, prefix) && len(out) < n; k, b = cur.Next() {
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

// ForEachObject calls f for each object of every file and stops at the first error.
func (c *Catalogue) ForEachObject(f func(o Object) error) error {
	return c.db.View(func(tx *bolt.Tx) error {
		return tx.Bucket(entriesBucket).ForEach(func(_, b []byte) error {
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

// writeTx is a read-write transaction. It collects the objects that it frees.
type writeTx struct {
	tx           *bolt.Tx
	now          int64
	freed        []Freed
	droppedLocks []string // lock tokens
}

// Freed lists objects that a change has detached from an entry, with the entry's ID and the version that used them.
type Freed struct {
	Entry   uint64
	Version uint64
	Objects []Object
}

func (t *writeTx) put(e *Entry) error {
	b, err := cbor.Marshal(e)
	if err != nil {
		return err
	}
	return t.tx.Bucket(entriesBucket).Put(encodeNumber(e.ID), b)
}

// nextNumber allocates a number for an ID or a version. No number is allocated twice.
func (t *writeTx) nextNumber() (uint64, error) {
	b := t.tx.Bucket(metaBucket)
	n := binary.BigEndian.Uint64(b.Get(lastNumberKey)) + 1
	return n, b.Put(lastNumberKey, encodeNumber(n))
}

func (t *writeTx) link(parent uint64, name string, id uint64) error {
	return t.tx.Bucket(namesBucket).Put(append(encodeNumber(parent), name...), encodeNumber(id))
}

// touch updates the modification time of an entry.
func (t *writeTx) touch(id uint64) error {
	e, err := readTx{t.tx}.entry(id)
	if err != nil {
		return err
	}
	e.Modified = t.now
	return t.put(e)
}

// recordFreed records that the objects of an entry are no longer in use.
func (t *writeTx) recordFreed(e *Entry) {
	if len(e.Objects) > 0 {
		t.freed = append(t.freed, Freed{e.ID, e.Version, e.Objects})
	}
}

// deleteContents deletes everything below a folder, at any depth.
func (t *writeTx) deleteContents(id uint64) error {
	names, entries := t.tx.Bucket(namesBucket), t.tx.Bucket(entriesBucket)
	for pending := []uint64{id}; len(pending) > 0; {
		folder := pending[len(pending)-1]
		pending = pending[:len(pending)-1]
		prefix := encodeNumber(folder)
		var keys [][]byte
		cur := names.Cursor()
		for k, b := cur.Seek(prefix); k != nil && bytes.HasPrefix(k, prefix); k, b = cur.Next() {
			keys = append(keys, slices.Clone(k))
			e, err := readTx{t.tx}.entry(binary.BigEndian.Uint64(b))
			if err != nil {
				return err
			}
			if e.Dir {
				pending = append(pending, e.ID)
			}
			t.recordFreed(e)
			if err := entries.Delete(encodeNumber(e.ID)); err != nil {
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

// deleteEntry deletes an entry and its name, and everything below it.
func (t *writeTx) deleteEntry(parent uint64, name string, e *Entry) error {
	if e.Dir {
		if err := t.deleteContents(e.ID); err != nil {
			return err
		}
	}
	t.recordFreed(e)
	if err := t.tx.Bucket(entriesBucket).Delete(encodeNumber(e.ID)); err != nil {
		return err
	}
	return t.tx.Bucket(namesBucket).Delete(append(encodeNumber(parent), name...))
}

// update runs f in a read-write transaction and returns once it is on stable storage. Concurrent transactions share a
// sync. f may run more than once.
func (c *Catalogue) update(f func(t *writeTx) error) (freed []Freed, err error) {
	var attempt *writeTx
	err = c.db.Batch(func(tx *bolt.Tx) error {
		attempt = &writeTx{tx: tx, now: c.now().UnixNano()}
		return f(attempt)
	})
	if err != nil {
		return nil, err
	}
	return attempt.freed, nil
}

// Put replaces the content of a file with the given objects, or creates the file. It returns the old objects as freed.
// An error of the precondition, which gets the existing entry or nil, leaves the file unchanged.
func (c *Catalogue) Put(path, contentType string, size int64, objects []Object, precondition func(e *Entry) error) (e *Entry, created bool, freed []Freed, err error) {
	freed, err = c.update(func(t *writeTx) error {
		old, parent, name, err := readTx{t.tx}.resolve(path)
		if err != nil {
			return err
		}
		if old != nil && old.Dir {
			return ErrIsDir
		}
		if err := precondition(old); err != nil {
			return err
		}
		created = old == nil
		if e = old; e == nil {
			e = &Entry{Created: t.now}
			if e.ID, err = t.nextNumber(); err != nil {
				return err
			}
			if err := t.link(parent, name, e.ID); err != nil {
				return err
			}
			if err := t.touch(parent); err != nil {
				return err
			}
		} else {
			t.recordFreed(old)
		}
		if e.Version, err = t.nextNumber(); err != nil {
			return err
		}
		e.Size, e.Objects, e.Modified, e.Type = size, objects, t.now, contentType
		return t.put(e)
	})
	return e, created, freed, err
}

// Mkdir creates a folder.
func (c *Catalogue) Mkdir(path string) error {
	_, err := c.update(func(t *writeTx) error {
		old, parent, name, err := readTx{t.tx}.resolve(path)
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

func (t *writeTx) mkdir(parent uint64, name string, props []Prop) error {
	id, err := t.nextNumber()
	if err != nil {
		return err
	}
	if err := t.link(parent, name, id); err != nil {
		return err
	}
	if parent != stagingID {
		if err := t.touch(parent); err != nil {
			return err
		}
	}
	return t.put(&Entry{ID: id, Dir: true, Created: t.now, Modified: t.now, Props: props})
}

// Delete deletes a file, or a folder with everything below it. The root itself stays and is emptied.
func (c *Catalogue) Delete(path string) ([]Freed, error) {
	return c.update(func(t *writeTx) error {
		e, parent, name, err := readTx{t.tx}.resolve(path)
		if err != nil || e == nil {
			return orNotFound(err)
		}
		if e.ID == rootID {
			return t.deleteContents(rootID)
		}
		if err := t.deleteEntry(parent, name, e); err != nil {
			return err
		}
		return t.touch(parent)
	})
}

// orNotFound returns ErrNotFound for a missing name or parent folder, and any other error as it is.
func orNotFound(err error) error {
	if err == nil || errors.Is(err, ErrNoParent) {
		return ErrNotFound
	}
	return err
}

// Move renames a file or folder atomically. Its cost does not depend on what a folder contains. An existing destination
// is deleted if overwrite is set, otherwise Move returns ErrExists.
func (c *Catalogue) Move(from, to string, overwrite bool) (created bool, freed []Freed, err error) {
	freed, err = c.update(func(t *writeTx) error {
		v := readTx{t.tx}
		e, parent, name, err := v.resolve(from)
		if err != nil || e == nil {
			return orNotFound(err)
		}
		if inside(to, from) || inside(from, to) || e.ID == rootID {
			return ErrInside
		}
		old, newParent, newName, err := v.resolve(to)
		if err != nil {
			return err
		}
		if created = old == nil; old != nil {
			if !overwrite {
				return ErrExists
			}
			if err := t.deleteEntry(newParent, newName, old); err != nil {
				return err
			}
		}
		if err := t.tx.Bucket(namesBucket).Delete(append(encodeNumber(parent), name...)); err != nil {
			return err
		}
		if err := t.link(newParent, newName, e.ID); err != nil {
			return err
		}
		return errors.Join(t.touch(parent), t.touch(newParent))
	})
	return created, freed, err
}

// inside reports whether a path is the folder itself or lies below it.
func inside(path, folder string) bool {
	path, folder = strings.TrimSuffix(path, "/")+"/", strings.TrimSuffix(folder, "/")+"/"
	return strings.HasPrefix(path, folder)
}

// Tree is a copy under construction. It is invisible until Link, and after a crash before that the next Open deletes
// it.
type Tree struct {
	catalogue *Catalogue
	name      string // in the folder stagingID
	root      uint64
}

// NewTree starts a copy whose root is a new entry with the content of e: a folder, or a file with its objects.
func (c *Catalogue) NewTree(e Entry) (*Tree, error) {
	t := &Tree{catalogue: c}
	_, err := c.update(func(tx *writeTx) error {
		n, err := tx.nextNumber()
		if err != nil {
			return err
		}
		t.name = fmt.Sprint(n)
		t.root, err = tx.addEntry(stagingID, t.name, e)
		return err
	})
	return t, err
}

// addEntry creates an entry with the content of e, under a new ID and version.
func (t *writeTx) addEntry(parent uint64, name string, e Entry) (id uint64, err error) {
	if id, err = t.nextNumber(); err != nil {
		return 0, err
	}
	e.ID, e.Created, e.Modified = id, t.now, t.now
	if e.Version, err = t.nextNumber(); err != nil {
		return 0, err
	}
	if err := t.link(parent, name, id); err != nil {
		return 0, err
	}
	return id, t.put(&e)
}

// Root returns the ID of the copy's root entry.
func (t *Tree) Root() uint64 { return t.root }

// Add creates an entry in a folder of the copy and returns its ID.
func (t *Tree) Add(parent uint64, name string, e Entry) (id uint64, err error) {
	_, err = t.catalogue.update(func(tx *writeTx) (err error) {
		id, err = tx.addEntry(parent, name, e)
		return err
	})
	return id, err
}

// Link moves the whole copy to its destination atomically. An existing destination is deleted if overwrite is set,
// otherwise Link returns ErrExists.
func (t *Tree) Link(to string, overwrite bool) (created bool, freed []Freed, err error) {
	freed, err = t.catalogue.update(func(tx *writeTx) error {
		old, parent, name, err := readTx{tx.tx}.resolve(to)
		if err != nil {
			return err
		}
		if created = old == nil; old != nil {
			if !overwrite {
				return ErrExists
			}
			if old.ID == rootID {
				return ErrInside
			}
			if err := tx.deleteEntry(parent, name, old); err != nil {
				return err
			}
		}
		if err := tx.tx.Bucket(namesBucket).Delete(append(encodeNumber(stagingID), t.name...)); err != nil {
			return err
		}
		if err := tx.link(parent, name, t.root); err != nil {
			return err
		}
		return tx.touch(parent)
	})
	return created, freed, err
}

// Drop deletes the copy and returns its objects as freed.
func (t *Tree) Drop() ([]Freed, error) {
	return t.catalogue.update(func(tx *writeTx) error {
		e, err := readTx{tx.tx}.entry(t.root)
		if err != nil {
			return err
		}
		return tx.deleteEntry(stagingID, t.name, e)
	})
}

// SetProps sets and removes dead properties of an entry. Either all changes are made or none.
func (c *Catalogue) SetProps(path string, set, remove []Prop) error {
	_, err := c.update(func(t *writeTx) error {
		e, _, _, err := readTx{t.tx}.resolve(path)
		if err != nil || e == nil {
			return orNotFound(err)
		}
		replaced := func(p Prop) bool {
			same := func(o Prop) bool { return o.Space == p.Space && o.Name == p.Name }
			return slices.ContainsFunc(set, same) || slices.ContainsFunc(remove, same)
		}
		e.Props = append(slices.DeleteFunc(e.Props, replaced), set...)
		total := 0
		for _, p := range e.Props {
			total += len(p.Space) + len(p.Name) + len(p.XML)
		}
		if total > MaxPropBytes {
			return ErrTooLarge
		}
		return t.put(e)
	})
	return err
}

// ---- locks ----

// Locks calls f with the lock table for reading. f must not retain anything of the table.
func (c *Catalogue) Locks(f func(now int64, t *locks.Table)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f(c.now().Unix(), c.locks)
}

// ChangeLocks calls f to change the lock table and writes the changes to stable storage before it returns. f returns
// the lock that it granted or refreshed, if any, and the tokens of removed locks. If the write fails, the table in
// memory keeps the changes until the process ends: a granted lock still holds, which is the safe side.
func (c *Catalogue) ChangeLocks(f func(now int64, t *locks.Table) (*locks.Lock, []string, error)) (l locks.Lock, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now().Unix()
	granted, removed, err := f(now, c.locks)
	if err != nil {
		return l, err
	}
	removed = append(removed, c.locks.Expire(now, 100)...)
	if granted != nil {
		l = *granted
	}
	if granted == nil && len(removed) == 0 {
		return l, nil
	}
	return l, c.db.Update(func(tx *bolt.Tx) error {
		b := tx.Bucket(locksBucket)
		for _, token := range removed {
			if err := b.Delete([]byte(token)); err != nil {
				return err
			}
		}
		if granted == nil {
			return nil
		}
		v, err := cbor.Marshal(granted)
		if err != nil {
			return err
		}
		return b.Put([]byte(granted.Token), v)
	})
}

// ---- for operators ----

// Check looks for inconsistencies: names without an entry, entries without a name or with two, bytes that belong to two
// objects, and sizes that differ from the total of the objects. It returns one line for each.
func (c *Catalogue) Check() (problems []string, files, folders int, err error) {
	report := func(format string, a ...any) { problems = append(problems, fmt.Sprintf(format, a...)) }
	err = c.db.View(func(tx *bolt.Tx) error {
		nameCounts := map[uint64]int{rootID: 1}
		if err := tx.Bucket(namesBucket).ForEach(func(k, b []byte) error {
			if len(k) <= 8 || len(b) != 8 {
				report("invalid name record: key of %d bytes, value of %d bytes", len(k), len(b))
				return nil
			}
			id := binary.BigEndian.Uint64(b)
			if nameCounts[id]++; nameCounts[id] == 2 {
				report("entry %d has two names, one of them %q", id, k[8:])
			}
			if tx.Bucket(entriesBucket).Get(b) == nil {
				report("name %q in folder %d: entry %d does not exist", k[8:], binary.BigEndian.Uint64(k), id)
			}
			return nil
		}); err != nil {
			return err
		}
		var objects []Object
		err := tx.Bucket(entriesBucket).ForEach(func(k, b []byte) error {
			var e Entry
			if err := cbor.Unmarshal(b, &e); err != nil {
				report("entry %x: %v", k, err)
				return nil
			}
			if e.Dir {
				folders++
			} else {
				files++
			}
			if nameCounts[e.ID] == 0 {
				report("entry %d has no name", e.ID)
			}
			total := int64(0)
			for _, o := range e.Objects {
				total += o.Len
			}
			if total != e.Size {
				report("entry %d has a size of %d bytes, but its objects have %d bytes", e.ID, e.Size, total)
			}
			objects = append(objects, e.Objects...)
			return nil
		})
		slices.SortFunc(objects, func(a, b Object) int { return int(min(max(a.At-b.At, -1), 1)) })
		for i := 1; i < len(objects); i++ {
			if objects[i-1].At+objects[i-1].Len > objects[i].At {
				report("two objects overlap at byte %d of the volume", objects[i].At)
			}
		}
		return err
	})
	return problems, files, folders, err
}

// Repair restores the consistency of a catalogue as far as possible. It deletes unreadable entries and names without an
// entry, and moves entries without a name to /lost+found, named after their IDs. If two files share bytes, it keeps the
// one that was written last and deletes the other, whose bytes were overwritten. It returns one line for each change.
func (c *Catalogue) Repair() (done []string, err error) {
	_, err = c.update(func(t *writeTx) error {
		done = nil
		report := func(format string, a ...any) { done = append(done, fmt.Sprintf(format, a...)) }
		names, entries := t.tx.Bucket(namesBucket), t.tx.Bucket(entriesBucket)
		valid := map[uint64]*Entry{}
		var unreadable [][]byte
		if err := entries.ForEach(func(k, b []byte) error {
			var e Entry
			total := int64(0)
			if len(k) == 8 && cbor.Unmarshal(b, &e) == nil {
				for _, o := range e.Objects {
					total += o.Len
				}
			}
			if len(k) != 8 || e.ID != binary.BigEndian.Uint64(k) || total != e.Size {
				unreadable = append(unreadable, slices.Clone(k))
				return nil
			}
			valid[e.ID] = &e
			return nil
		}); err != nil {
			return err
		}
		for _, k := range unreadable {
			report("entry %x cannot be read, or its size differs from the total of its objects: deleted", k)
			if err := entries.Delete(k); err != nil {
				return err
			}
		}
		type ref struct {
			Object
			e *Entry
		}
		var uses []ref
		for _, e := range valid {
			for _, o := range e.Objects {
				uses = append(uses, ref{o, e})
			}
		}
		slices.SortFunc(uses, func(a, b ref) int { return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.e.Version, b.e.Version)) })
		for i := 1; i < len(uses); i++ {
			a, b := uses[i-1], uses[i]
			if a.At+a.Len <= b.At || valid[a.e.ID] == nil || valid[b.e.ID] == nil || a.e == b.e {
				continue
			}
			overwritten := a.e
			if b.e.Version < a.e.Version {
				overwritten = b.e
			}
			report("entry %d shares bytes with an entry written later: deleted", overwritten.ID)
			delete(valid, overwritten.ID)
			if err := entries.Delete(encodeNumber(overwritten.ID)); err != nil {
				return err
			}
		}
		if valid[rootID] == nil {
			valid[rootID] = &Entry{ID: rootID, Dir: true, Created: t.now, Modified: t.now}
			report("the root folder was missing: created")
			if err := t.put(valid[rootID]); err != nil {
				return err
			}
		}
		named := map[uint64]bool{rootID: true}
		var dangling [][]byte
		if err := names.ForEach(func(k, b []byte) error {
			ok := len(k) > 8 && len(b) == 8
			if ok {
				parent, id := valid[binary.BigEndian.Uint64(k)], binary.BigEndian.Uint64(b)
				if ok = parent != nil && parent.Dir && valid[id] != nil && !named[id]; ok {
					named[id] = true
				}
			}
			if !ok {
				dangling = append(dangling, slices.Clone(k))
			}
			return nil
		}); err != nil {
			return err
		}
		for _, k := range dangling {
			report("name %q has no valid entry or folder, or is a second name: deleted", k[min(8, len(k)):])
			if err := names.Delete(k); err != nil {
				return err
			}
		}
		var orphans []uint64
		for id := range valid {
			if !named[id] {
				orphans = append(orphans, id)
			}
		}
		slices.Sort(orphans)
		if len(orphans) == 0 {
			return nil
		}
		const lost = "lost+found"
		folder := readTx{t.tx}.lookup(rootID, lost)
		if folder == 0 {
			if err := t.mkdir(rootID, lost, nil); err != nil {
				return err
			}
			folder = readTx{t.tx}.lookup(rootID, lost)
		}
		for _, id := range orphans {
			report("entry %d has no name: moved to /%s/%d", id, lost, id)
			if err := t.link(folder, fmt.Sprint(id), id); err != nil {
				return err
			}
		}
		return nil
	})
	return done, err
}

// Export writes one line for each name: its kind, path, size, version and objects, separated by tabs.
func (c *Catalogue) Export(w io.Writer) error {
	type pendingFolder struct {
		id   uint64
		path string
	}
	for pending := []pendingFolder{{rootID, ""}}; len(pending) > 0; {
		folder := pending[len(pending)-1]
		pending = pending[:len(pending)-1]
		for after := ""; ; {
			list, err := c.List(folder.id, after, 1000)
			if err != nil {
				return err
			}
			for _, e := range list {
				path := folder.path + "/" + e.Name
				kind := "file"
				if e.Dir {
					kind = "folder"
					pending = append(pending, pendingFolder{e.ID, path})
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
