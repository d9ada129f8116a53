package state

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// files are the steps in which a file is kept, so that tests can cut them anywhere. A name is one within the folder.
type files interface {
	read(name string) ([]byte, error)
	create(name string) (file, error) // empty, whatever was there
	rename(from, to string) error
	remove(name string) error
	sync() error // the folder: its names are on stable storage
}

type file interface {
	Write(b []byte) (int, error)
	Sync() error
	Close() error
}

// disk is a folder of the machine's.
type disk string

func (d disk) read(name string) ([]byte, error) { return os.ReadFile(filepath.Join(string(d), name)) }
func (d disk) create(name string) (file, error) {
	return os.OpenFile(filepath.Join(string(d), name), os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o640)
}
func (d disk) rename(from, to string) error {
	return os.Rename(filepath.Join(string(d), from), filepath.Join(string(d), to))
}
func (d disk) remove(name string) error { return os.Remove(filepath.Join(string(d), name)) }
func (d disk) sync() error {
	f, err := os.Open(string(d))
	if err != nil {
		return err
	}
	defer f.Close()
	return f.Sync()
}

const (
	fileName = "state"
	tempName = "state.new"
	lockName = "lock"
)

// Store is a folder that one process holds.
type Store struct {
	dir       string
	files     files
	lock      *os.File
	mu        sync.Mutex // saving
	suspended bool
	readOnly  error // why nothing is saved: a newer file is there
}

// HeldError says that another process holds the folder.
type HeldError struct{ Dir, Holder string }

func (e *HeldError) Error() string {
	return fmt.Sprintf("state folder %s is held by %s", e.Dir, e.Holder)
}

// Open takes hold of a folder, making it where it is missing. Holder is how this process calls itself to the next that
// asks.
func Open(dir, holder string) (*Store, error) {
	if err := os.MkdirAll(dir, 0o750); err != nil {
		return nil, fmt.Errorf("state: %w", err)
	}
	path := filepath.Join(dir, lockName)
	f, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, 0o640)
	if errors.Is(err, fs.ErrPermission) || errors.Is(err, unix.EROFS) {
		f, err = os.Open(path) // a lock needs no right to write
		if err != nil {
			return &Store{dir: dir, files: disk(dir)}, nil // nothing can be written, so nothing is held
		}
	}
	if err != nil {
		return nil, fmt.Errorf("state: %w", err)
	}
	err = unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB)
	for tries := 0; errors.Is(err, unix.EWOULDBLOCK) && tries < 5; tries++ { // somebody may only be looking, see Holder
		time.Sleep(5 * time.Millisecond)
		err = unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB)
	}
	if err != nil {
		who, _ := os.ReadFile(path)
		f.Close()
		if errors.Is(err, unix.EWOULDBLOCK) {
			return nil, &HeldError{dir, strings.TrimSpace(string(who))}
		}
		return nil, fmt.Errorf("state: lock %s: %w", path, err)
	}
	f.Truncate(0)
	f.WriteAt([]byte(holder+"\n"), 0)
	return &Store{dir: dir, files: disk(dir), lock: f}, nil
}

// Holder tells who holds a folder, "" where nobody does. It takes no hold of it but for the moment of looking.
func Holder(dir string) string {
	f, err := os.Open(filepath.Join(dir, lockName))
	if err != nil {
		return ""
	}
	defer f.Close()
	if err := unix.Flock(int(f.Fd()), unix.LOCK_SH|unix.LOCK_NB); err == nil {
		return ""
	}
	b := make([]byte, 256)
	n, _ := f.Read(b)
	return strings.TrimSpace(string(b[:n]))
}

// Lock is the descriptor by which the folder is held, to be handed to a process that takes over; below zero: none.
func (s *Store) Lock() int {
	if s.lock == nil {
		return -1
	}
	return int(s.lock.Fd())
}

// Adopt takes over a folder that another process has held by the given descriptor, which becomes the store's.
func Adopt(dir string, fd int, holder string) *Store {
	s := &Store{dir: dir, files: disk(dir)}
	if fd >= 0 {
		s.lock = os.NewFile(uintptr(fd), lockName)
		s.lock.Truncate(0)
		s.lock.WriteAt([]byte(holder+"\n"), 0)
	}
	return s
}

// Close lets go of the folder.
func (s *Store) Close() error {
	if s.lock == nil {
		return nil
	}
	return s.lock.Close()
}

// Load reads the state. Without one it gives nil and no error; with one that cannot be used nil and an error that says
// why and what was done: a damaged file and another gateway's are set aside, a newer version's is left untouched and
// nothing is saved over it.
func (s *Store) Load(gateway string) (*State, error) {
	b, err := s.files.read(fileName)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("state: %w", err)
	}
	st, err := Decode(b)
	if errors.Is(err, ErrNewer) {
		s.readOnly = err
		return nil, fmt.Errorf("%w; it is left as it is, and nothing is saved", err)
	}
	if err == nil && st.Gateway != gateway {
		err = fmt.Errorf("state: the file is gateway %q's, not %q's", st.Gateway, gateway)
	}
	if err != nil {
		aside := fmt.Sprintf("%s.aside-%s", fileName, time.Now().UTC().Format("20060102T150405.000000"))
		if rerr := s.files.rename(fileName, aside); rerr != nil {
			s.readOnly = err
			return nil, fmt.Errorf("%w; it could not be set aside, so nothing is saved: %v", err, rerr)
		}
		return nil, fmt.Errorf("%w; it is set aside as %s", err, filepath.Join(s.dir, aside))
	}
	return st, nil
}

// Suspend has Save do nothing, or something again. When it returns no save is under way, so that a process that is
// handed the folder writes alone.
func (s *Store) Suspend(on bool) {
	s.mu.Lock()
	s.suspended = on
	s.mu.Unlock()
}

// Save replaces the state, whole or not at all. When it returns without error the new one is on stable storage.
func (s *Store) Save(st *State) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.suspended {
		return nil
	}
	if s.readOnly != nil {
		return s.readOnly
	}
	b, err := Encode(st)
	if err != nil {
		return err
	}
	return replace(s.files, fileName, tempName, b)
}

// replace is written out because each of its steps is one that power may fail at: the libraries for it do not sync the
// folder, and cannot be cut at a step by a test.
func replace(d files, name, temp string, b []byte) error {
	wrap := func(step string, err error) error { return fmt.Errorf("state: %s: %w", step, err) }
	f, err := d.create(temp)
	if err != nil {
		return wrap("create", err)
	}
	if _, err := f.Write(b); err != nil {
		f.Close()
		d.remove(temp)
		return wrap("write", err)
	}
	if err := f.Sync(); err != nil {
		// What a failed sync has written nobody knows; the file is not used.
		f.Close()
		d.remove(temp)
		return wrap("sync", err)
	}
	if err := f.Close(); err != nil {
		return wrap("close", err)
	}
	if err := d.rename(temp, name); err != nil {
		return wrap("rename", err)
	}
	if err := d.sync(); err != nil {
		return wrap("sync of the folder", err)
	}
	return nil
}

// Forget takes the state away, where it must not be believed again and cannot be replaced.
func (s *Store) Forget() error {
	if s.readOnly != nil {
		return s.readOnly
	}
	return s.files.remove(fileName)
}
