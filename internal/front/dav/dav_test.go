package dav

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

func TestParseIf(t *testing.T) {
	for _, x := range []struct {
		s     string
		lists int // 0: an error
	}{
		{`(<urn:a>)`, 1}, {`(<urn:a> ["e"])(Not <urn:b>)`, 2}, {`</x> (<urn:a>) (["e"]) <http://h/y> ([W/"e"])`, 3}, {` ( Not <DAV:no-lock> ) `, 1},
		{``, 0}, {`()`, 0}, {`(`, 0}, {`(<a`, 0}, {`(["e)`, 0}, {`([e])`, 0}, {`(Not)`, 0}, {`</x>`, 0}, {`(<a>) </x> (<b>)`, 0}, {`<> (<a>)`, 0}, {`(<a>) x`, 0},
		{strings.Repeat(`(<a>)`, maxIfConditions+1), 0},
	} {
		got, err := parseIfHeader(x.s)
		if len(got) != x.lists || (err == nil) != (x.lists > 0) {
			t.Errorf("%.40q: %+v, %v", x.s, got, err)
		}
	}
	got, _ := parseIfHeader(`</x> (Not <urn:a> ["e"])`)
	if l := got[0]; l.resource != "/x" || !l.conditions[0].negated || l.conditions[0].token != "urn:a" || l.conditions[1].negated || l.conditions[1].etag != `"e"` {
		t.Errorf("%+v", got)
	}
}

// The parsers must terminate within their limits on any input, and an element written by standalone must parse to the
// same XML.
func FuzzParse(f *testing.F) {
	for _, s := range []string{`(<urn:a> ["e"])`, `</x> (Not <urn:a>)`, `<propfind xmlns="DAV:"><prop><a xmlns="u:" x:y="1" xmlns:x="v:">t<b/>&amp;</a></prop></propfind>`,
		`<!DOCTYPE a [<!ENTITY b SYSTEM "file:///x">]><a>&b;</a>`, strings.Repeat("<a>", 100), `<lockinfo xmlns="DAV:"><lockscope><shared/></lockscope></lockinfo>`} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, s string) {
		if lists, err := parseIfHeader(s); err == nil && len(lists) == 0 {
			t.Error("parsed to no list without an error")
		}
		readLockInfo(strings.NewReader(s))
		readPropfind(strings.NewReader(s))
		x, err := readXML(strings.NewReader(s))
		if err != nil || x == nil {
			return
		}
		raw := x.standalone()
		again, err := readXML(strings.NewReader(raw))
		if err != nil {
			t.Fatalf("the output %q cannot be parsed: %v", raw, err)
		}
		if len(raw) < maxXMLBytes/8 && again.standalone() != raw {
			t.Fatalf("%q became %q", raw, again.standalone())
		}
	})
}

func TestXMLBounds(t *testing.T) {
	for name, s := range map[string]string{
		"deep": strings.Repeat("<a>", maxXMLDepth+1) + strings.Repeat("</a>", maxXMLDepth+1), "wide": "<a>" + strings.Repeat("<b/>", maxXMLTokens) + "</a>",
		"long": "<a>" + strings.Repeat("x", maxXMLBytes) + "</a>", "two roots": "<a/><b/>", "an entity": "<a>&b;</a>", "cut off": "<a><b>",
		"a long space at many names": `<a xmlns="` + strings.Repeat("u", 1000) + `">` + strings.Repeat("<b/>", 300) + "</a>",
		"a document type":            `<!DOCTYPE a SYSTEM "http://x/"><a/>`, "a bomb": `<!DOCTYPE a [<!ENTITY x "yyyy"><!ENTITY z "&x;&x;">]><a>&z;</a>`,
	} {
		if x, err := readXML(strings.NewReader(s)); err == nil {
			t.Errorf("%s: accepted as %+v", name, x.xmlName)
		}
	}
}

// pair returns a self-signed certificate and its key in PEM form.
func pair(t *testing.T, dir string, serial int64, valid time.Duration) (cert, key []byte) {
	t.Helper()
	k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	c := &x509.Certificate{SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: "x"}, NotBefore: time.Now().Add(-2 * time.Hour), NotAfter: time.Now().Add(valid),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}}
	der, err := x509.CreateCertificate(rand.Reader, c, c, &k.PublicKey, k)
	if err != nil {
		t.Fatal(err)
	}
	kb, _ := x509.MarshalECPrivateKey(k)
	return pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: kb})
}

// A certificate and its key that change in service must be replaced together or not at all, an expired or missing one
// must not replace the old one, and open connections must continue.
func TestCertificates(t *testing.T) {
	dir := t.TempDir()
	cf, kf := filepath.Join(dir, "c"), filepath.Join(dir, "k")
	at := time.Now().Add(-time.Hour)
	write := func(path string, b []byte) {
		t.Helper()
		if err := os.WriteFile(path, b, 0o600); err != nil {
			t.Fatal(err)
		}
		at = at.Add(time.Second) // distinct even with a coarse clock of the file system
		os.Chtimes(path, at, at)
	}
	c1, k1 := pair(t, dir, 1, time.Hour)
	write(cf, c1)
	write(kf, k1)
	c, err := loadCertificates(cf, kf)
	if err != nil {
		t.Fatal(err)
	}
	serial := func() int64 {
		t.Helper()
		pair, _ := c.get(nil)
		leaf, err := x509.ParseCertificate(pair.Certificate[0])
		if err != nil {
			t.Fatal(err)
		}
		return leaf.SerialNumber.Int64()
	}
	ln, err := tls.Listen("tcp", "127.0.0.1:0", &tls.Config{GetCertificate: c.get})
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	go func() {
		for {
			s, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				b := make([]byte, 1)
				s.Read(b)
				s.Write(b)
				s.Read(b)
				s.Write(b)
				s.Close()
			}()
		}
	}()
	conn, err := tls.Dial("tcp", ln.Addr().String(), &tls.Config{InsecureSkipVerify: true})
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	talk := func() {
		t.Helper()
		b := make([]byte, 1)
		conn.SetDeadline(time.Now().Add(5 * time.Second))
		if _, err := conn.Write([]byte("x")); err != nil {
			t.Fatal(err)
		}
		if _, err := conn.Read(b); err != nil {
			t.Fatal(err)
		}
	}
	talk()
	c2, k2 := pair(t, dir, 2, time.Hour)
	write(cf, c2)
	if changed, err := c.reload(); changed || err == nil || serial() != 1 {
		t.Errorf("a certificate without its key: %v, %v, serial %d", changed, err, serial())
	}
	write(kf, k2)
	if changed, err := c.reload(); !changed || err != nil || serial() != 2 {
		t.Errorf("both: %v, %v, serial %d", changed, err, serial())
	}
	c3, k3 := pair(t, dir, 3, -time.Hour)
	write(cf, c3)
	write(kf, k3)
	if changed, err := c.reload(); changed || err == nil || serial() != 2 {
		t.Errorf("expired certificate: %v, %v, serial %d", changed, err, serial())
	}
	os.Remove(cf)
	if _, err := c.reload(); err == nil || serial() != 2 {
		t.Errorf("missing certificate: %v, serial %d", err, serial())
	}
	talk()
}
