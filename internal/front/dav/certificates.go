package dav

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
)

// certificates holds a TLS certificate and its key, which are reloaded when their files change. Both are replaced
// together or not at all: if the new files do not match, are expired or cannot be read, the previous pair stays in use.
// Open connections are not affected.
type certificates struct {
	cert, key string
	pair      atomic.Pointer[tls.Certificate]
	modTimes  [2]time.Time
}

// loadCertificates loads the files and returns an error if they cannot be used.
func loadCertificates(cert, key string) (*certificates, error) {
	c := &certificates{cert: cert, key: key}
	_, err := c.reload()
	return c, err
}

// reload loads the files if their modification times have changed.
func (c *certificates) reload() (changed bool, err error) {
	var modTimes [2]time.Time
	for i, f := range []string{c.cert, c.key} {
		st, err := os.Stat(f)
		if err != nil {
			return false, fmt.Errorf("dav: certificate: %w", err)
		}
		modTimes[i] = st.ModTime()
	}
	if modTimes == c.modTimes {
		return false, nil
	}
	pair, err := tls.LoadX509KeyPair(c.cert, c.key) // fails too if the key does not match the certificate
	if err != nil {
		return false, fmt.Errorf("dav: certificate %s: %w", c.cert, err)
	}
	leaf, err := x509.ParseCertificate(pair.Certificate[0])
	if err != nil {
		return false, fmt.Errorf("dav: certificate %s: %w", c.cert, err)
	}
	if now := time.Now(); now.After(leaf.NotAfter) || now.Before(leaf.NotBefore) {
		return false, fmt.Errorf("dav: certificate %s is valid from %v to %v only", c.cert, leaf.NotBefore, leaf.NotAfter)
	}
	c.pair.Store(&pair)
	c.modTimes = modTimes
	return true, nil
}

// get returns the current certificate; it is the GetCertificate callback of a [tls.Config].
func (c *certificates) get(*tls.ClientHelloInfo) (*tls.Certificate, error) { return c.pair.Load(), nil }

// watch checks the files for changes every second until ctx ends. It logs each distinct error once.
func (c *certificates) watch(ctx context.Context, log *zap.Logger) {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	lastError := ""
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		switch changed, err := c.reload(); {
		case err != nil && err.Error() != lastError:
			lastError = err.Error()
			log.Warn("the new certificate cannot be used; the previous one stays in use", zap.Error(err))
		case err == nil:
			if lastError = ""; changed {
				log.Info("certificate reloaded", zap.String("file", c.cert))
			}
		}
	}
}
