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
The marks lie in a bbolt database, "marks" in the state folder, in the bucket "marks 1". Key and value, big-endian:

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
		return r, fmt.Errorf("state: marks: an entry of %d and %d bytes", len(k), len(v))
	}
	be := binary.BigEndian
	r = copies.Record{Volume: be.Uint64(k), From: int64(be.Uint64(k[8:])), Len: int64(be.Uint64(v)),
		CopyID: copies.CopyID{Cell: int(be.Uint32(v[8:])), Namespace: be.Uint32(v[12:])}}
	if r.From < 0 || r.Len <= 0 || r.From+r.Len < 0 {
		return r, fmt.Errorf("state: marks: %d bytes from %d", r.Len, r.From)
	}
	return r, nil
}

// Marks keeps the marks of mirrored extents. What waits to be written is bounded by the changes that wait for it.
type Marks struct {
	path string
	mu   sync.Mutex // the database
	db   *bolt.DB   // nil: handed to another process

	inMu    sync.Mutex
	waiting []markStep
	wake    chan struct{}
}

type markStep struct {
	r      copies.Record
	forget bool
	done   func(err error)
}

var errHanded = errors.New("state: marks: another process has them")

// OpenMarks opens the marks in a folder that this process holds, making them where there are none.
func OpenMarks(dir string) (*Marks, error) {
	m := &Marks{path: filepath.Join(dir, marksName), wake: make(chan struct{}, 1)}
	if err := m.open(); err != nil {
		return nil, err
	}
	return m, nil
}

// open guards against files that the library panics on.
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

// Load gives all marks, by volume and place.
func (m *Marks) Load() (out []copies.Record, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.db == nil {
		return nil, errHanded
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

// Replace puts marks in the place of others, all at once.
func (m *Marks) Replace(old, with []copies.Record) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.db == nil {
		return errHanded
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

// Keep brings a mark to stable storage and then calls done, from Run's goroutine.
func (m *Marks) Keep(r copies.Record, done func(err error)) { m.add(markStep{r: r, done: done}) }

// Forget takes a mark away, some time.
func (m *Marks) Forget(volume uint64, from int64) {
	m.add(markStep{r: copies.Record{Volume: volume, From: from}, forget: true})
}

func (m *Marks) add(s markStep) {
	m.inMu.Lock()
	m.waiting = append(m.waiting, s)
	m.inMu.Unlock()
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// Run carries out what is asked for until ctx ends: all that waits at a time in one transaction, so that many changes
// share a sync. What is asked for afterwards is told that it failed by Close.
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
	m.inMu.Lock()
	steps := m.waiting
	m.waiting = nil
	m.inMu.Unlock()
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

func (m *Marks) write(steps []markStep) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.db == nil {
		return errHanded
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

// Suspend lets another process open the marks, or takes them back.
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

// Close ends it. Run must have ended.
func (m *Marks) Close() error {
	m.flush()
	return m.Suspend(true)
}
