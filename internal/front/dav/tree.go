package dav

import (
	"sync"

	"appleplank/internal/catalogue"
)

// tree is a volume of objects under a path.
type tree struct {
	prefix       string // "" or without a slash at the end
	volume       int
	block        int64
	cat          *catalogue.Catalogue
	back         Backend
	read, writes map[string]bool

	mu      sync.Mutex
	readers map[content]int
	late    map[content][]catalogue.Object // freed while they are read
}

// content is what a name meant at a time.
type content struct{ entry, version uint64 }

// open finds a file and keeps its objects until let.
func (t *tree) open(path string) (*catalogue.Entry, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, err := t.cat.Get(path)
	if err == nil {
		t.readers[content{e.ID, e.Version}]++
	}
	return e, err
}

func (t *tree) let(e *catalogue.Entry) {
	k := content{e.ID, e.Version}
	t.mu.Lock()
	var gone []catalogue.Object
	if t.readers[k]--; t.readers[k] == 0 {
		delete(t.readers, k)
		gone = t.late[k]
		delete(t.late, k)
	}
	t.mu.Unlock()
	for _, o := range gone {
		t.back.FreeSpace(t.volume, o.At)
	}
}

// free gives objects back that no name means any more, once nobody reads them.
func (t *tree) free(freed []catalogue.Freed) {
	for _, f := range freed {
		k := content{f.Entry, f.Version}
		t.mu.Lock()
		held := f.Entry != 0 && t.readers[k] > 0
		if held {
			t.late[k] = append(t.late[k], f.Objects...)
		}
		t.mu.Unlock()
		if held {
			continue
		}
		for _, o := range f.Objects {
			t.back.FreeSpace(t.volume, o.At)
		}
	}
}
