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

// fileSystem is the set of operations by which files are stored, so that tests can interrupt any of them. Names are
// relative to the folder.
type fileSystem interface {
	read(name string) ([]byte, error)
	create(name string) (file, error) // an existing file is truncated
	rename(from, to string) error
	remove(name string) error
	sync() error // syncs the folder, so that its names are on stable storage
}

type file interface {
	Write(b []byte) (int, error)
	Sync() error
	Close() error
}

// disk is a folder of the operating system's file system.
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

// Store is a state folder that this process holds.
type Store struct {
	dir       string
	files     fileSystem
	lock      *os.File
	mu        sync.Mutex // held while saving
	suspended bool
	readOnly  error // why nothing is saved: the file is of a newer version or could not be set aside
}

// HeldError reports that another process holds the folder.
type HeldError struct{ Dir, Holder string }

func (e *HeldError) Error() string {
	return fmt.Sprintf("state folder %s is held by %s", e.Dir, e.Holder)
}

// Open locks a folder and creates it if it is missing. Holder describes this process to others that try to open the
// folder.
func Open(dir, holder string) (*Store, error) {
	if err := os.MkdirAll(dir, 0o750); err != nil {
		return nil, fmt.Errorf("state: %w", err)
	}
	path := filepath.Join(dir, lockName)
	f, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, 0o640)
	if errors.Is(err, fs.ErrPermission) || errors.Is(err, unix.EROFS) {
		f, err = os.Open(path) // a lock does not require write permission
		if err != nil {
			return &Store{dir: dir, files: disk(dir)}, nil // this process can write nothing, so it needs no lock
		}
	}
	if err != nil {
		return nil, fmt.Errorf("state: %w", err)
	}
	err = unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB)
	for tries := 0; errors.Is(err, unix.EWOULDBLOCK) && tries < 5; tries++ { // a call of Holder may have the lock for a moment
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

// Holder returns the description of the process that holds a folder, or "" if there is none. It locks the folder only
// for the check itself.
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

// Lock returns the descriptor of the folder's lock, to be passed to a process that takes over, or -1 if there is no
// lock.
func (s *Store) Lock() int {
	if s.lock == nil {
		return -1
	}
	return int(s.lock.Fd())
}

// Adopt opens a folder whose lock another process has passed on as fd. The store owns the descriptor from then on; a
// negative fd means that there is no lock.
func Adopt(dir string, fd int, holder string) *Store {
	s := &Store{dir: dir, files: disk(dir)}
	if fd >= 0 {
		s.lock = os.NewFile(uintptr(fd), lockName)
		s.lock.Truncate(0)
		s.lock.WriteAt([]byte(holder+"\n"), 0)
	}
	return s
}

// Close releases the folder.
func (s *Store) Close() error {
	if s.lock == nil {
		return nil
	}
	return s.lock.Close()
}

// Load reads the state. If there is no file, it returns nil and no error. If the file cannot be used, it returns nil
// and an error that tells why and what was done: a damaged file or one of another gateway is renamed, and one of a
// newer version is left as it is and never replaced.
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

// Suspend turns Save off or on again. When it returns, no save is in progress, so that a process to which the folder is
// handed over is the only writer.
func (s *Store) Suspend(on bool) {
	s.mu.Lock()
	s.suspended = on
	s.mu.Unlock()
}

// Save replaces the state atomically. When it returns without error, the new state is on stable storage.
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

// replace writes a file under a temporary name, syncs it, renames it into place and syncs the folder. It does not use a
// library because power may fail at each step: the libraries for this do not sync the folder, and tests cannot
// interrupt them at a step.
func replace(d fileSystem, name, temp string, b []byte) error {
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
		// After a failed sync it is unknown which data was written, so the file is not used.
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

// Forget removes the state, for when it must not be used again and cannot be replaced.
func (s *Store) Forget() error {
	if s.readOnly != nil {
		return s.readOnly
	}
	return s.files.remove(fileName)
}
