package state

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"path/filepath"
	"sync"
	"time"

	"appleplank/copies"

	bolt "go.etcd.io/bbolt"
)

/*
The marks are stored in the bbolt database "marks" in the state folder, in the bucket "marks 1". Keys and values are
big-endian:

	key    volume (8), first byte (8)
	value  length in bytes (8), cell (4), namespace (4)
*/
const (
	marksName = "marks"
	bucket    = "marks 1"
	keyLen    = 16
	valueLen  = 16
)

func markKey(r *copies.Record) []byte {
	return binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, r.Volume), uint64(r.From))
}

func markValue(r *copies.Record) []byte {
	b := binary.BigEndian.AppendUint64(nil, uint64(r.Len))
	return binary.BigEndian.AppendUint32(binary.BigEndian.AppendUint32(b, uint32(r.Cell)), r.Namespace)
}

func parseMark(k, v []byte) (r copies.Record, err error) {
	if len(k) != keyLen || len(v) != valueLen {
		return r, fmt.Errorf("state: marks: entry with a key of %d and a value of %d bytes", len(k), len(v))
	}
	be := binary.BigEndian
	r = copies.Record{Volume: be.Uint64(k), From: int64(be.Uint64(k[8:])), Len: int64(be.Uint64(v)),
		CopyID: copies.CopyID{Cell: int(be.Uint32(v[8:])), Namespace: be.Uint32(v[12:])}}
	if r.From < 0 || r.Len <= 0 || r.From+r.Len < 0 {
		return r, fmt.Errorf("state: marks: invalid range of %d bytes from %d", r.Len, r.From)
	}
	return r, nil
}

// Marks stores the marks of mirrored extents on disk. The queue of updates has no limit of its own: it is bounded by
// the changes that wait for them.
type Marks struct {
	path string
	mu   sync.Mutex // guards db
	db   *bolt.DB   // nil while another process has the marks

	pendingMu sync.Mutex
	pending   []markUpdate
	wake      chan struct{}
}

type markUpdate struct {
	r      copies.Record
	forget bool
	done   func(err error)
}

var errHandedOver = errors.New("state: marks: another process has them")

// OpenMarks opens the marks in a folder that this process holds and creates the database if there is none.
func OpenMarks(dir string) (*Marks, error) {
	m := &Marks{path: filepath.Join(dir, marksName), wake: make(chan struct{}, 1)}
	if err := m.open(); err != nil {
		return nil, err
	}
	return m, nil
}

// open opens the database. It recovers from panics, as bbolt panics on some damaged files.
func (m *Marks) open() (err error) {
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("state: %s is damaged: %v", m.path, r)
		}
	}()
	db, err := bolt.Open(m.path, 0o640, &bolt.Options{Timeout: 2 * time.Second, FreelistType: bolt.FreelistMapType})
	if err != nil {
		return fmt.Errorf("state: %s: %w", m.path, err)
	}
	err = db.Update(func(tx *bolt.Tx) error {
		_, err := tx.CreateBucketIfNotExists([]byte(bucket))
		return err
	})
	if err != nil {
		db.Close()
		return fmt.Errorf("state: %s: %w", m.path, err)
	}
	m.db = db
	return nil
}

// Load returns all marks, ordered by volume and first byte.
func (m *Marks) Load() (out []copies.Record, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.db == nil {
		return nil, errHandedOver
	}
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("state: %s is damaged: %v", m.path, r)
		}
	}()
	err = m.db.View(func(tx *bolt.Tx) error {
		return tx.Bucket([]byte(bucket)).ForEach(func(k, v []byte) error {
			r, err := parseMark(k, v)
			out = append(out, r)
			return err
		})
	})
	return out, err
}

// Replace removes the old marks and stores others in their place, in one transaction.
func (m *Marks) Replace(old, with []copies.Record) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.db == nil {
		return errHandedOver
	}
	return m.db.Update(func(tx *bolt.Tx) error {
		b := tx.Bucket([]byte(bucket))
		for i := range old {
			if err := b.Delete(markKey(&old[i])); err != nil {
				return err
			}
		}
		for i := range with {
			if err := b.Put(markKey(&with[i]), markValue(&with[i])); err != nil {
				return err
			}
		}
		return nil
	})
}

// Keep queues a mark for storage. Run's goroutine calls done once the mark is on stable storage or could not be stored.
func (m *Marks) Keep(r copies.Record, done func(err error)) { m.add(markUpdate{r: r, done: done}) }

// Forget queues the removal of a mark and does not report when it is done.
func (m *Marks) Forget(volume uint64, from int64) {
	m.add(markUpdate{r: copies.Record{Volume: volume, From: from}, forget: true})
}

func (m *Marks) add(s markUpdate) {
	m.pendingMu.Lock()
	m.pending = append(m.pending, s)
	m.pendingMu.Unlock()
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// Run writes queued updates until ctx ends. It writes all that are queued in one transaction, so that many changes
// share a sync. Updates that are queued after Run are written by Close, or fail if another process has the marks.
func (m *Marks) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.wake:
		}
		m.flush()
	}
}

func (m *Marks) flush() {
	m.pendingMu.Lock()
	steps := m.pending
	m.pending = nil
	m.pendingMu.Unlock()
	if len(steps) == 0 {
		return
	}
	err := m.write(steps)
	for _, s := range steps {
		if s.done != nil {
			s.done(err)
		}
	}
}

func (m *Marks) write(steps []markUpdate) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.db == nil {
		return errHandedOver
	}
	return m.db.Update(func(tx *bolt.Tx) error {
		b := tx.Bucket([]byte(bucket))
		for i := range steps {
			s := &steps[i]
			var err error
			if s.forget {
				err = b.Delete(markKey(&s.r))
			} else {
				err = b.Put(markKey(&s.r), markValue(&s.r))
			}
			if err != nil {
				return err
			}
		}
		return nil
	})
}

// Suspend closes the database so that another process can open it, or reopens it.
func (m *Marks) Suspend(on bool) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case on && m.db != nil:
		err := m.db.Close()
		m.db = nil
		return err
	case !on && m.db == nil:
		return m.open()
	}
	return nil
}

// Close writes queued updates and closes the database. Run must have returned.
func (m *Marks) Close() error {
	m.flush()
	return m.Suspend(true)
}
