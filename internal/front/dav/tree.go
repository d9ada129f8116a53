package dav

import (
	"sync"

	"appleplank/internal/catalogue"
)

// tree serves the files of a volume of objects under a URL path.
type tree struct {
	prefix                string // URL path without a trailing slash; "" for the root
	volume                int
	blockSize             int64
	cat                   *catalogue.Catalogue
	backend               Backend
	readUsers, writeUsers map[string]bool

	mu            sync.Mutex
	readerCounts  map[contentVersion]int
	deferredFrees map[contentVersion][]catalogue.Object // objects freed while they are read
}

// contentVersion identifies one version of an entry's content.
type contentVersion struct{ entry, version uint64 }

// open returns the entry of a path and keeps its objects allocated until release.
func (t *tree) open(path string) (*catalogue.Entry, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, err := t.cat.Get(path)
	if err == nil {
		t.readerCounts[contentVersion{e.ID, e.Version}]++
	}
	return e, err
}

// release ends a use that open began, and frees the objects whose release was deferred for it.
func (t *tree) release(e *catalogue.Entry) {
	k := contentVersion{e.ID, e.Version}
	t.mu.Lock()
	var objects []catalogue.Object
	if t.readerCounts[k]--; t.readerCounts[k] == 0 {
		delete(t.readerCounts, k)
		objects = t.deferredFrees[k]
		delete(t.deferredFrees, k)
	}
	t.mu.Unlock()
	for _, o := range objects {
		t.backend.FreeSpace(t.volume, o.At)
	}
}

// freeObjects frees objects that no entry refers to any more. Those that are being read are freed after the last reader
// closes.
func (t *tree) freeObjects(freed []catalogue.Freed) {
	for _, f := range freed {
		k := contentVersion{f.Entry, f.Version}
		t.mu.Lock()
		held := f.Entry != 0 && t.readerCounts[k] > 0
		if held {
			t.deferredFrees[k] = append(t.deferredFrees[k], f.Objects...)
		}
		t.mu.Unlock()
		if held {
			continue
		}
		for _, o := range f.Objects {
			t.backend.FreeSpace(t.volume, o.At)
		}
	}
}
