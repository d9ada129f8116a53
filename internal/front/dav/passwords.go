package dav

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"net/http"
	"runtime"
	"sync"
	"time"

	"appleplank/internal/settings"

	"golang.org/x/crypto/bcrypt"
)

const (
	// maxPasswordBytes is the longest password that bcrypt takes.
	maxPasswordBytes = 72
	// verifiedTime is how long a verified password is cached, as its hash is slow on purpose.
	verifiedTime = time.Minute
	// maxVerified is the number of verified passwords that are cached.
	maxVerified = 4096
	// checkDivisor tells which part of the processors may check passwords at once; the others serve requests.
	checkDivisor = 4
)

// passwords authenticates users.
type passwords struct {
	hashes  map[string][]byte // by user name
	compare func(hash, password []byte) error
	checks  chan struct{} // holds a value for each check in progress
	secret  [32]byte

	mu            sync.Mutex
	verifiedUntil map[[32]byte]time.Time // keyed hash of a verified name and password to its expiry
}

func newPasswords(users []settings.User) *passwords {
	p := &passwords{hashes: map[string][]byte{}, compare: bcrypt.CompareHashAndPassword, verifiedUntil: map[[32]byte]time.Time{},
		checks: make(chan struct{}, max(runtime.GOMAXPROCS(0)/checkDivisor, 1))}
	rand.Read(p.secret[:])
	for _, u := range users {
		p.hashes[u.Name] = u.Hash
	}
	return p
}

// authenticate returns the user of a request's basic authentication. It returns false if there is none, if the password
// is wrong, or if the client leaves before it could be checked.
func (p *passwords) authenticate(r *http.Request) (string, bool) {
	name, password, ok := r.BasicAuth()
	if !ok || len(password) > maxPasswordBytes {
		return "", false
	}
	mac := hmac.New(sha256.New, p.secret[:])
	mac.Write([]byte(name + "\x00" + password))
	key := [32]byte(mac.Sum(nil))
	if p.verified(key) {
		return name, true
	}
	select {
	case p.checks <- struct{}{}:
		defer func() { <-p.checks }()
	case <-r.Context().Done():
		return "", false
	}
	hash, exists := p.hashes[name]
	if !exists {
		hash = dummyHash
	}
	if p.compare(hash, []byte(password)) != nil || !exists {
		return "", false
	}
	p.remember(key)
	return name, true
}

// verified reports whether a name and password were verified a short time ago.
func (p *passwords) verified(key [32]byte) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.verifiedUntil[key].After(time.Now())
}

func (p *passwords) remember(key [32]byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.verifiedUntil) >= maxVerified {
		clear(p.verifiedUntil)
	}
	p.verifiedUntil[key] = time.Now().Add(verifiedTime)
}

// dummyHash is compared with the password of an unknown user, so that the check takes as long as for a known one.
var dummyHash, _ = bcrypt.GenerateFromPassword([]byte("nobody has this"), bcrypt.DefaultCost)
