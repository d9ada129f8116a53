package state

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"text/tabwriter"
	"time"

	"appleplank/logic"
	"appleplank/recall"
)

// Read reads the state in a folder without holding the folder. Saves replace the file atomically, so it can be read at
// any time.
func Read(dir string) (*State, error) {
	b, err := os.ReadFile(filepath.Join(dir, fileName))
	if err != nil {
		return nil, fmt.Errorf("state: %w", err)
	}
	return Decode(b)
}

// Report writes whether the state in a folder can be used and how old it is. The error tells why it cannot be used.
func Report(w io.Writer, dir string) error {
	st, err := Read(dir)
	if err != nil {
		return err
	}
	age, how, complaint := recall.Age(st.Written, Now())
	fmt.Fprintf(w, "gateway %s, written %v ago (%s)\n", st.Gateway, formatMicros(age), [...]string{"by this boot's clock", "by the wall clock",
		"how long ago cannot be told: " + complaint}[how])
	ended := "its process was running or was killed: limits start at their lowest"
	if st.Clean {
		ended = "its process ended by itself"
	}
	fmt.Fprintf(w, "%s\n", ended)
	aside, _ := filepath.Glob(filepath.Join(dir, fileName+".aside-*"))
	for _, a := range aside {
		fmt.Fprintf(w, "set aside: %s\n", a)
	}
	if who := Holder(dir); who != "" {
		fmt.Fprintf(w, "in use by %s\n", who)
	}
	return nil
}

func formatMicros(m logic.Micros) string {
	if m >= logic.Never/2 {
		return "never"
	}
	return (time.Duration(m) * time.Microsecond).Round(time.Millisecond).String()
}

// Show writes the state in a folder as text.
func Show(w io.Writer, dir string) error {
	if err := Report(w, dir); err != nil {
		return err
	}
	st, err := Read(dir)
	if err != nil {
		return err
	}
	m := &st.Logic
	fmt.Fprintf(w, "a unit takes %.2f ms; %.0f%% of answers vanish; requests lately waited %.1f ms\n", m.Unit/1e3, 100*m.Vanish, m.Waits/1e3)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(t, "node\tcell\tstarted ago\twindows\tlatency\twaited\tfailing\tlast heard\t\n")
	for _, n := range m.Nodes {
		fmt.Fprintf(t, "%d\t%d\t%s\t%.2f, %.2f\t%.1f ms\t%.1f ms\t%.0f%%\t%s\t\n", n.Node.ID, n.Node.Cell, formatMicros(n.Node.Started), n.Window[0], n.Window[1],
			n.Latency/1e3, n.Wait/1e3, 100*n.Failing, formatMicros(n.Last))
	}
	fmt.Fprintf(t, "volume\tplan\tgateways\tbalance\tlimit's slice\tlast asked\t\t\t\n")
	for _, v := range m.Volumes {
		fmt.Fprintf(t, "%d\t%d\t%v\t%.1f\t%.1f\t%s\t\t\t\n", v.ID, v.Plan, v.Attached, v.Balance, v.Store, formatMicros(v.Last))
	}
	return t.Flush()
}

// Export writes the state in a folder as JSON.
func Export(w io.Writer, dir string) error {
	st, err := Read(dir)
	if err != nil {
		return err
	}
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(st)
}

// Import replaces the state in a folder that no process holds. The imported state never counts as one saved by a clean
// shutdown.
func Import(dir string, b []byte) error {
	d := json.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	st := &State{}
	if err := d.Decode(st); err != nil {
		return fmt.Errorf("state: import: %w", err)
	}
	if st.Gateway == "" {
		return fmt.Errorf("state: import: the gateway's name is missing")
	}
	if err := st.Logic.Check(); err != nil {
		return fmt.Errorf("state: import: %w", err)
	}
	st.Clean, st.Quiet = false, false
	s, err := Open(dir, fmt.Sprintf("state import, process %d", os.Getpid()))
	if err != nil {
		return err
	}
	defer s.Close()
	return s.Save(st)
}
