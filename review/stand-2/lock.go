package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// davUser is a user of the files, on connections of his own.
type davUser struct {
	run     *run
	name    string
	address string
	client  *http.Client
}

func (r *run) davUser(name, address string) *davUser {
	return &davUser{r, name, address, &http.Client{Transport: &http.Transport{}, Timeout: 20 * time.Second}}
}

// do sends a request and returns the status, the Lock-Token header and the body of its answer.
func (u *davUser) do(method, path, body string, header ...string) (status int, token, answer string, err error) {
	q, err := http.NewRequest(method, "http://"+u.address+path, strings.NewReader(body))
	if err != nil {
		return 0, "", "", err
	}
	q.SetBasicAuth(u.name, "depot")
	for i := 0; i < len(header); i += 2 {
		q.Header.Set(header[i], header[i+1])
	}
	a, err := u.client.Do(q)
	if err != nil {
		return 0, "", "", err
	}
	defer a.Body.Close()
	b, err := io.ReadAll(a.Body)
	u.run.log("%s: %s %s %v: %d, %s", u.name, method, path, header, a.StatusCode, shorten(string(b)))
	return a.StatusCode, strings.Trim(a.Header.Get("Lock-Token"), "<>"), string(b), err
}

func shorten(s string) string {
	if len(s) > 60 {
		s = s[:60] + "..."
	}
	return fmt.Sprintf("%q", s)
}

const lockBody = `<?xml version="1.0" encoding="utf-8"?><D:lockinfo xmlns:D="DAV:"><D:lockscope><D:exclusive/></D:lockscope><D:locktype><D:write/></D:locktype></D:lockinfo>`

// lockCase has a client with a lock write slowly, so that its lock has expired and another client has got one before the
// body ends. What the second one writes and reads under its lock must be its own.
func lockCase(r *run) error {
	d, err := r.startDepot(0, 0)
	if err != nil {
		return err
	}
	const path = "/files/orders.csv"
	ann, bob := r.davUser("ann", d.files), r.davUser("bob", d.files)
	annText, bobText := strings.Repeat("ann's order\n", 2000), strings.Repeat("bob's order\n", 2000)
	status, annToken, _, err := ann.do("LOCK", path, lockBody, "Timeout", "Second-3")
	if err != nil || status/100 != 2 {
		return fmt.Errorf("ann's LOCK: %d, %w", status, err)
	}
	// Ann's PUT, in eight pieces, one each 750 ms. Each piece comes long before the 30 s for which a body may stand still.
	pause := time.Duration(0)
	if r.trouble {
		pause = 750 * time.Millisecond
	}
	conn, err := net.Dial("tcp", d.files)
	if err != nil {
		return err
	}
	defer conn.Close()
	q, _ := http.NewRequest("PUT", "http://"+d.files+path, nil)
	q.SetBasicAuth("ann", "depot")
	fmt.Fprintf(conn, "PUT %s HTTP/1.1\r\nHost: %s\r\nAuthorization: %s\r\nIf: (<%s>)\r\nContent-Length: %d\r\n\r\n", path, d.files, q.Header.Get("Authorization"), annToken, len(annText))
	r.log("ann: PUT %s begins under her lock", path)
	put := make(chan int, 1)
	go func() {
		for i := range 8 {
			io.WriteString(conn, annText[len(annText)*i/8:len(annText)*(i+1)/8])
			if i < 7 {
				time.Sleep(pause)
			}
		}
		r.log("ann: the body of the PUT is whole")
		a, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			r.log("ann: the PUT has no answer: %v", err)
			put <- 0
			return
		}
		r.log("ann: the PUT is answered %d", a.StatusCode)
		put <- a.StatusCode
	}()
	// Bob asks for the lock until he gets it.
	var bobToken string
	if err := r.waitFor("bob's lock", 10*time.Second, func() bool {
		time.Sleep(200 * time.Millisecond)
		status, bobToken, _, err = bob.do("LOCK", path, lockBody, "Timeout", "Second-60")
		return err == nil && status/100 == 2
	}); err != nil {
		return err
	}
	r.log("bob holds the exclusive lock for 60 s from here on")
	if status, _, _, err = bob.do("PUT", path, bobText, "If", "(<"+bobToken+">)"); err != nil || status/100 != 2 {
		return fmt.Errorf("bob's PUT: %d, %w", status, err)
	}
	status, _, text, err := bob.do("GET", path, "")
	if err != nil || status != 200 || text != bobText {
		return fmt.Errorf("bob does not read what he has just written: %d, %w", status, err)
	}
	annStatus := <-put
	if !r.trouble && annStatus/100 != 2 {
		return fmt.Errorf("ann's PUT without trouble: %d", annStatus)
	}
	status, _, text, err = bob.do("GET", path, "")
	if err != nil || status != 200 {
		return fmt.Errorf("bob's second GET: %d, %w", status, err)
	}
	if status, _, _, err = bob.do("UNLOCK", path, "", "Lock-Token", "<"+bobToken+">"); err != nil || status/100 != 2 {
		return fmt.Errorf("bob did not hold his lock to the end: %d, %w", status, err)
	}
	if text != bobText {
		r.say("under bob's exclusive lock the file holds ann's text; her PUT with an expired lock was answered %d", annStatus)
		return errBroken
	}
	return nil
}
