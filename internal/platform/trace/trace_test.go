package trace

import (
	"bytes"
	"strings"
	"testing"
)

func TestReport(t *testing.T) {
	var b bytes.Buffer
	w := New(&b)
	for _, l := range []Line{
		{At: 100, Side: "core", Event: "send", Request: 1, Outcome: "-"}, {At: 130, Side: "wire", Event: "send", Request: 1, Outcome: "-"},
		{At: 500, Side: "wire", Event: "end", Request: 1, Outcome: "200/whole"}, {At: 520, Side: "core", Event: "end", Request: 1, Outcome: "ok"},
		{At: 600, Side: "core", Event: "send", Request: 2, Outcome: "-"}, {At: 900, Side: "core", Event: "end", Request: 2, Outcome: "timeout"},
	} {
		w.WriteLine(l)
	}
	w.Flush()
	r, err := Read(strings.NewReader("a log line\n[1.2] " + b.String()))
	if err != nil {
		t.Fatal(err)
	}
	if r.Attempts != 2 || r.Unmatched != 1 || r.Pairs[[2]string{"ok", "200/whole"}] != 1 || r.Pairs[[2]string{"timeout", "nothing"}] != 1 ||
		r.EndDelays[0] != 20 || r.SendDelays[0] != 30 {
		t.Fatalf("%+v", r)
	}
	var out bytes.Buffer
	if r.Write(&out); !strings.Contains(out.String(), "2 attempts") {
		t.Fatal(out.String())
	}
}
