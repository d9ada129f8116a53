package settings

import (
	"strings"
	"testing"
	"testing/fstest"

	"appleplank/internal/block"
	"appleplank/logic"
)

const goodScript = `
class_(name = "read", aim = ms(50), deadline = s(2), worth = 2)
class_(name = "write", aim = ms(80), deadline = 2 * s(1), worth = 3, in_order = True, writes = True)
plan(name = "basic", rate = 100, reserve = 20, limit = 1000, limit_burst = 100, limit_slack = 10)
gateway(name = "gw0", hosts = 3, number = 1, unit_mean = 1)
rules(stop_sending = s(2), order_pause = ms(300))
for i in range(2):
    node(id = i + 1, cell = i, address = "127.0.0.1:%d" % (4420 + i), nqn = "nqn.2026-12.example:node%d" % i)
TABLE = [dict(kind = "read", class_ = "read"), dict(kind = "flush", class_ = "write")] + [
    dict(kind = k, class_ = "write") for k in ["write", "discard", "write_zeroes"]]
volume(id = 7, name = "orders", plan = "basic", gateways = 2, socket = "orders.sock", block = B(4096),
       extents = [dict(size = MiB(4), cell = 0, namespace = 1), dict(size = MiB(4), cell = 1, namespace = 1)],
       table = TABLE)
`

func loadText(text string, more ...string) (*Config, error) {
	files := fstest.MapFS{"main.star": {Data: []byte(text)}}
	for i := 0; i+1 < len(more); i += 2 {
		files[more[i]] = &fstest.MapFile{Data: []byte(more[i+1])}
	}
	return load(files, "main.star")
}

func TestGood(t *testing.T) {
	c, err := loadText(goodScript)
	if err != nil {
		t.Fatal(err)
	}
	v := c.Volumes[0]
	if v.Size != 8<<20 || v.Extents[1].Start != 4<<20 || v.BlockSize != 4096 || v.Memory < 2*c.Bounds.MaxRequestBytes {
		t.Errorf("volume: %+v", v)
	}
	if cl, ok := v.Class(block.Write, 1<<20); !ok || c.Classes[cl] != "write" {
		t.Errorf("a write is class %d, %v", cl, ok)
	}
	if s := c.Logic; s.Hosts != 3 || s.Number != 1 || s.Classes[1].Deadline != 2_000_000 || !s.Classes[1].InOrder ||
		s.Rules.OrderPause != 300_000 || s.Plans[0].Limit != 1000 {
		t.Errorf("logic: %+v", s)
	}
	if got := v.Units(256 << 10); got != 4 {
		t.Errorf("256 KiB are %v units, want 4", got)
	}
}

// Each bad script must be rejected with the line and the name of the field, whatever else is wrong in it.
func TestBad(t *testing.T) {
	swap := func(old, new string) string {
		if !strings.Contains(goodScript, old) {
			t.Fatalf("the good script lacks %q", old)
		}
		return strings.Replace(goodScript, old, new, 1)
	}
	for name, c := range map[string]struct {
		script string
		want   []string
	}{
		"unknown field":  {swap("worth = 2", "wurth = 2"), []string{"main.star:2:7: class_(\"read\").wurth: unknown field"}},
		"unit":           {swap("aim = ms(50)", "aim = 50"), []string{`class_("read").aim: want a duration such as ms(500), got int 50`}},
		"wrong unit":     {swap("aim = ms(50)", "aim = MiB(50)"), []string{`.aim: want a duration`}},
		"size for count": {swap("rate = 100,", "rate = MiB(100),"), []string{`plan("basic").rate: want a number, got size`}},
		"nan":            {swap("reserve = 20", `reserve = float("nan")`), []string{`plan("basic").reserve: NaN`}},
		"below zero":     {swap("limit_burst = 100", "limit_burst = -1"), []string{"limit_burst: -1"}},
		"overlap":        {swap("dict(size = MiB(4), cell = 1", "dict(start = MiB(2), size = MiB(4), cell = 1"), []string{`extents[1]: overlaps extents[0]`}},
		"hole":           {swap("dict(size = MiB(4), cell = 1", "dict(start = MiB(6), size = MiB(4), cell = 1"), []string{`leaves a hole`}},
		"same bytes":     {swap("cell = 1, namespace = 1", "cell = 0, namespace = 1"), []string{`that are volume "orders"'s`}},
		"no such plan":   {swap(`plan = "basic"`, `plan = "gold"`), []string{`volume("orders").plan: no plan "gold"`}},
		"without plan":   {swap(`plan = "basic", gateways`, `gateways`), []string{`volume("orders").plan: is missing`}},
		"no such cell":   {swap("cell = 1, namespace", "cell = 9, namespace"), []string{"no node holds cell 9"}},
		"out of order":   {swap(", in_order = True", ""), []string{"must not overtake"}},
		"no row":         {swap(`"discard", `, ""), []string{"no row takes a discard"}},
		"late aim":       {swap("aim = ms(80)", "aim = s(80)"), []string{"later than the deadline"}},
		"twice":          {goodScript + "gateway(name = \"x\")\n", []string{"gateway: stands at main.star:5:8 already"}},
		"two at once": {swap("aim = ms(50)", "aim = 50") + "node(id = 1, cell = 0, nqn = \"x\", colour = 3)\n",
			[]string{".aim: want a duration", "node(1).id: 1 stands twice", "node(1).colour: unknown field"}},
		"syntax":   {"class_(\n", []string{"main.star:2:1"}},
		"forever":  {"def f():\n  for i in range(1000000000):\n    pass\nf()\n", []string{"more than 2000000 steps"}},
		"overflow": {"x = s(1e300)\n", []string{"main.star:1:6", "out of range"}},
		"mixing":   {"x = s(1) + MiB(1)\n", []string{"do not mix"}},
		"outside":  {"load('../x.star', 'y')\n", []string{"does not lie beside"}},
		"no file":  {"load('none.star', 'y')\n", []string{"none.star"}},
		"empty":    {"", []string{"class_: none is given", "volume: none is given", "node: none is given"}},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := loadText(c.script)
			if err == nil {
				t.Fatal("the script was accepted")
			}
			for _, w := range c.want {
				if !strings.Contains(err.Error(), w) {
					t.Errorf("the error lacks %q:\n%v", w, err)
				}
			}
		})
	}
}

func TestLoad(t *testing.T) {
	c, err := loadText("load('b.star', 'N')\n"+strings.Replace(goodScript, "hosts = 3", "hosts = N", 1), "b.star", "N = 4\n")
	if err != nil || c.Logic.Hosts != 4 || len(c.Files) != 2 {
		t.Errorf("%v, %+v", err, c)
	}
	if _, err = loadText("load('b.star', 'x')", "b.star", "load('c.star', 'x')", "c.star", "load('b.star', 'x')"); err == nil ||
		!strings.Contains(err.Error(), "load cycle: main.star loads b.star loads c.star loads b.star") {
		t.Errorf("cycle: %v", err)
	}
}

// Package logic must accept all settings that load without an error.
func FuzzSettings(f *testing.F) {
	f.Add(goodScript)
	f.Add("class_(name='x', aim=ms(1), deadline=s(1))")
	f.Add("load('main.star', 'x')")
	f.Fuzz(func(t *testing.T, text string) {
		if c, err := loadText(text); err == nil {
			if _, err := logic.New(c.Logic, 1); err != nil {
				t.Fatal(err)
			}
		}
	})
}
