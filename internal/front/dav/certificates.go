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

// certificates is a key and its certificate, which may change in service. They are taken whole or not at all: where the
// new ones do not fit together, are expired or cannot be read, the old ones stay. Connections go on as they are.
type certificates struct {
	cert, key string
	now       atomic.Pointer[tls.Certificate]
	seen      [2]time.Time
}

func watchCertificates(cert, key string) (*certificates, error) {
	c := &certificates{cert: cert, key: key}
	_, err := c.load()
	return c, err
}

// load takes the files where they have changed.
func (c *certificates) load() (changed bool, err error) {
	var at [2]time.Time
	for i, f := range []string{c.cert, c.key} {
		st, err := os.Stat(f)
		if err != nil {
			return false, fmt.Errorf("dav: certificate: %w", err)
		}
		at[i] = st.ModTime()
	}
	if at == c.seen {
		return false, nil
	}
	pair, err := tls.LoadX509KeyPair(c.cert, c.key) // also finds a key that is not the certificate's
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
	c.now.Store(&pair)
	c.seen = at
	return true, nil
}

func (c *certificates) get(*tls.ClientHelloInfo) (*tls.Certificate, error) { return c.now.Load(), nil }

// watch looks for new ones until ctx ends.
func (c *certificates) watch(ctx context.Context, log *zap.Logger) {
	t := time.NewTicker(time.Second)
	defer t.Stop()
	last := ""
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		switch changed, err := c.load(); {
		case err != nil && err.Error() != last:
			last = err.Error()
			log.Warn("the new certificate is not taken; the old one stays", zap.Error(err))
		case err == nil:
			if last = ""; changed {
				log.Info("new certificate", zap.String("file", c.cert))
			}
		}
	}
}
