package state

import (
	"errors"
	"flag"
	"fmt"
	"io/fs"
	"math"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"appleplank/logic"
	"appleplank/members"
	"appleplank/recall"
)

var (
	kills  = flag.Int("kills", 200, "how often the writing process is killed")
	update = flag.Bool("update", false, "write the fixtures anew")
)

// TestMain runs the test binary as the process that TestKill kills, if STATE_WRITE is set.
func TestMain(m *testing.M) {
	if dir := os.Getenv("STATE_WRITE"); dir != "" {
		s, err := Open(dir, "the writer")
		if err != nil {
			fmt.Println(err)
			os.Exit(1)
		}
		fmt.Println("ready")
		for i := 1; ; i++ {
			if err := s.Save(testState(i)); err != nil {
				fmt.Println(err)
				os.Exit(1)
			}
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}

// testState returns a state that differs for each i and contains i in several places.
func testState(i int) *State {
	s := &State{Gateway: "gw0", Written: recall.Stamp{Boot: "b", Since: logic.Micros(i), Wall: 5}}
	s.Logic.Turns = i
	for n := range 1 + i%5 {
		s.Logic.Nodes = append(s.Logic.Nodes, logic.NodeSnapshot{Node: logic.Node{ID: logic.NodeID(n + 1), Started: logic.Never}, Latency: float64(i),
			SentLog: []logic.AgedUnits{{Age: logic.Micros(i), Units: 1}}})
		s.Members = append(s.Members, members.Memory{ID: logic.NodeID(n + 1), Started: logic.Never, Refused: logic.Never})
	}
	return s
}

// stateNumber checks that s equals a state of testState and returns its number.
func stateNumber(t *testing.T, s *State) int {
	t.Helper()
	i := s.Logic.Turns
	if !reflect.DeepEqual(s, testState(i)) {
		t.Fatalf("a state that was never written: %+v", s)
	}
	return i
}

func TestRoundTrip(t *testing.T) {
	for i := range 20 {
		b, err := Encode(testState(i))
		if err != nil {
			t.Fatal(err)
		}
		if s, err := Decode(b); err != nil || stateNumber(t, s) != i {
			t.Fatalf("%v", err)
		}
	}
}

// TestDamage checks that Decode detects truncation at every byte and a change of any bit.
func TestDamage(t *testing.T) {
	b, _ := Encode(testState(1))
	for i := range b {
		if _, err := Decode(b[:i]); !errors.Is(err, ErrDamaged) {
			t.Fatalf("cut at byte %d: %v", i, err)
		}
		for bit := range 8 {
			c := slices.Clone(b)
			c[i] ^= 1 << bit
			if _, err := Decode(c); err == nil {
				t.Fatalf("bit %d of byte %d: the change is not detected", bit, i)
			}
		}
	}
	if _, err := Decode(append(slices.Clone(b), 0)); !errors.Is(err, ErrDamaged) {
		t.Errorf("a byte too many: %v", err)
	}
	bad := testState(1)
	bad.Logic.Nodes[0].Wait = math.NaN()
	b, _ = Encode(bad)
	if _, err := Decode(b); !errors.Is(err, ErrDamaged) || !strings.Contains(err.Error(), "NaN") {
		t.Errorf("NaN: %v", err)
	}
	if _, err := Decode(frame(Version, []byte{0xa1, 0x65, 'O', 't', 'h', 'e', 'r', 1})); !errors.Is(err, ErrDamaged) {
		t.Errorf("an unknown field: %v", err)
	}
}

// TestVersions checks that files of all versions can be read, with fixtures that the versions themselves wrote.
func TestVersions(t *testing.T) {
	v1 := filepath.Join("testdata", "v1.state")
	v2 := filepath.Join("testdata", "v2.state")
	v3 := filepath.Join("testdata", "v3.state")
	v4 := filepath.Join("testdata", "v4.state")
	if *update {
		// The fixtures of versions 2 and 3 were written by these versions and cannot be generated again.
		old := struct {
			Gateway string
			Written recall.Stamp
			Logic   logic.Snapshot
		}{"gw0", testState(3).Written, testState(3).Logic}
		c, _ := encoder.Marshal(old)
		os.MkdirAll("testdata", 0o755)
		os.WriteFile(v1, frame(1, c), 0o644)
		b, _ := Encode(testState(3))
		os.WriteFile(v4, b, 0o644)
	}
	for _, path := range []string{v1, v2, v3, v4} {
		b, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		s, err := Decode(b)
		if err != nil {
			t.Fatalf("%s: %v", path, err)
		}
		if stateNumber(t, s) != 3 || s.Clean {
			t.Errorf("%s: %+v", path, s)
		}
	}
}

func store(t *testing.T) (*Store, string) {
	t.Helper()
	dir := t.TempDir()
	s, err := Open(dir, "test")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { s.Close() })
	return s, dir
}

func TestLoad(t *testing.T) {
	t.Run("none", func(t *testing.T) {
		s, _ := store(t)
		if st, err := s.Load("gw0"); st != nil || err != nil {
			t.Errorf("%v, %v", st, err)
		}
	})
	for name, c := range map[string]struct {
		content []byte
		want    string
	}{
		"damaged": {[]byte("APLSTATE and then something else"), "damaged"},
		"foreign": {func() []byte { x := testState(1); x.Gateway = "gw9"; b, _ := Encode(x); return b }(), `gateway "gw9"'s`},
	} {
		t.Run(name, func(t *testing.T) {
			s, dir := store(t)
			os.WriteFile(filepath.Join(dir, fileName), c.content, 0o644)
			st, err := s.Load("gw0")
			if st != nil || err == nil || !strings.Contains(err.Error(), c.want) || !strings.Contains(err.Error(), "set aside") {
				t.Errorf("%v, %v", st, err)
			}
			aside, _ := filepath.Glob(filepath.Join(dir, "state.aside-*"))
			if len(aside) != 1 {
				t.Fatalf("set aside: %v", aside)
			}
			if b, _ := os.ReadFile(aside[0]); string(b) != string(c.content) {
				t.Error("what was set aside has changed")
			}
			if err := s.Save(testState(2)); err != nil {
				t.Error(err)
			}
		})
	}
	t.Run("newer", func(t *testing.T) {
		s, dir := store(t)
		b := frame(Version+1, []byte("whatever it is"))
		os.WriteFile(filepath.Join(dir, fileName), b, 0o644)
		if st, err := s.Load("gw0"); st != nil || !errors.Is(err, ErrNewer) {
			t.Errorf("%v, %v", st, err)
		}
		if err := s.Save(testState(1)); err == nil {
			t.Error("saved over a newer version")
		}
		if again, _ := os.ReadFile(filepath.Join(dir, fileName)); string(again) != string(b) {
			t.Error("the newer file was touched")
		}
	})
}

// TestSuspend checks that a suspended store writes nothing until it is resumed.
func TestSuspend(t *testing.T) {
	s, _ := store(t)
	for i, on := range []bool{false, true, false} {
		s.Suspend(on)
		if err := s.Save(testState(i + 1)); err != nil {
			t.Fatal(err)
		}
		st, err := s.Load("gw0")
		if want := [3]int{1, 1, 3}[i]; err != nil || stateNumber(t, st) != want {
			t.Errorf("state %d is found, want %d; %v", st.Logic.Turns, want, err)
		}
	}
}

func TestTwoHolders(t *testing.T) {
	s, dir := store(t)
	_, err := Open(dir, "second")
	var held *HeldError
	if !errors.As(err, &held) || held.Holder != "test" {
		t.Errorf("a second holder: %v", err)
	}
	if who := Holder(dir); who != "test" {
		t.Errorf("held by %q", who)
	}
	s.Close()
	if who := Holder(dir); who != "" {
		t.Errorf("held by %q, after it let go", who)
	}
	if s, err = Open(dir, "second"); err != nil {
		t.Errorf("after the first let go: %v", err)
	} else {
		s.Close()
	}
}

// diskModel is a disk that caches writes until they are synced. After cut steps every operation fails, as in a power
// cut; the disk may then hold any combination of the writes that were not synced.
type diskModel struct {
	steps, cut int
	lie        bool // syncs do nothing
	names      map[string]*inode
	pending    []func(names map[string]*inode) // name changes that are not synced
	durable    map[string]*inode
}

type inode struct{ data, synced []byte }

var errCut = errors.New("power is gone")

func (m *diskModel) step() error {
	if m.steps++; m.steps > m.cut {
		return errCut
	}
	return nil
}

func (m *diskModel) apply(change func(names map[string]*inode)) {
	change(m.names)
	m.pending = append(m.pending, change)
}

func (m *diskModel) read(name string) ([]byte, error) {
	if n := m.names[name]; n != nil {
		return n.data, nil
	}
	return nil, fs.ErrNotExist
}

func (m *diskModel) create(name string) (file, error) {
	if err := m.step(); err != nil {
		return nil, err
	}
	n := &inode{}
	m.apply(func(names map[string]*inode) { names[name] = n })
	return &modelFile{m, n}, nil
}

func (m *diskModel) rename(from, to string) error {
	if err := m.step(); err != nil {
		return err
	}
	n := m.names[from]
	m.apply(func(names map[string]*inode) { names[to] = n; delete(names, from) })
	return nil
}

func (m *diskModel) remove(name string) error {
	m.apply(func(names map[string]*inode) { delete(names, name) })
	return nil
}

func (m *diskModel) sync() error {
	if err := m.step(); err != nil {
		return err
	}
	if !m.lie {
		for _, p := range m.pending {
			p(m.durable)
		}
		m.pending = nil
	}
	return nil
}

type modelFile struct {
	m *diskModel
	n *inode
}

func (f *modelFile) Write(b []byte) (int, error) {
	if err := f.m.step(); err != nil {
		f.n.data = append(f.n.data, b...) // the write may have been in progress
		return 0, err
	}
	f.n.data = append(f.n.data, b...)
	return len(b), nil
}

func (f *modelFile) Sync() error {
	if err := f.m.step(); err != nil {
		return err
	}
	if !f.m.lie {
		f.n.synced = slices.Clone(f.n.data)
	}
	return nil
}

func (f *modelFile) Close() error { return nil }

// possibleContents calls found with every content that the disk may have when power returns: each name change that was
// not synced has happened or not, and of the bytes of a file that were not synced any number is there, with the rest
// missing or zero.
func (m *diskModel) possibleContents(found func(names map[string][]byte)) {
	for mask := range 1 << len(m.pending) {
		names := map[string]*inode{}
		for k, v := range m.durable {
			names[k] = v
		}
		for i, p := range m.pending {
			if mask>>i&1 == 1 {
				p(names)
			}
		}
		n := names[fileName]
		if n == nil {
			found(map[string][]byte{})
			continue
		}
		if string(n.synced) == string(n.data) {
			found(map[string][]byte{fileName: n.data})
			continue
		}
		for cut := len(n.synced); cut <= len(n.data); cut++ {
			found(map[string][]byte{fileName: n.data[:cut]})
			zero := slices.Clone(n.data)
			clear(zero[cut:])
			found(map[string][]byte{fileName: zero})
		}
	}
}

// TestPowerCut guards against a loss of the state when power fails at any step of a save and data that is not synced is
// lost, partly written or reordered. The old or the new state must be found, never a damaged one or none. A save
// without syncs must fail, which shows that the model detects the fault.
func TestPowerCut(t *testing.T) {
	run := func(cut int, lie bool) (old, fresh, broken, steps int) {
		was, _ := Encode(testState(1))
		n := &inode{was, was}
		m := &diskModel{cut: cut, lie: lie, names: map[string]*inode{fileName: n}, durable: map[string]*inode{fileName: n}}
		b, _ := Encode(testState(2))
		err := replace(m, fileName, tempName, b)
		m.possibleContents(func(names map[string][]byte) {
			s, derr := Decode(names[fileName])
			switch {
			case derr != nil:
				broken++
			case s.Logic.Turns == 1:
				old++
				if err == nil && !lie {
					t.Errorf("cut %d: the save returned no error, but the old state is found", cut)
				}
			default:
				fresh++
			}
		})
		return old, fresh, broken, m.steps
	}
	cuts := 0
	for ; ; cuts++ {
		old, fresh, broken, steps := run(cuts, false)
		if broken > 0 || old+fresh == 0 {
			t.Errorf("cut after step %d: %d broken, %d old, %d new", cuts, broken, old, fresh)
		}
		if steps < cuts {
			break
		}
	}
	if cuts < 5 {
		t.Errorf("only %d steps were cut", cuts)
	}
	if _, _, broken, _ := run(100, true); broken == 0 {
		t.Error("a disk that does not sync is not detected: the model is too lenient")
	}
}

// failing is a file system in which one kind of step fails.
type failing struct {
	fileSystem
	step string
}

func (f failing) create(name string) (file, error) {
	if f.step == "create" {
		return nil, syscall.ENOSPC
	}
	x, err := f.fileSystem.create(name)
	return failingFile{x, f.step}, err
}

func (f failing) rename(from, to string) error {
	if f.step == "rename" {
		return syscall.EROFS
	}
	return f.fileSystem.rename(from, to)
}

func (f failing) sync() error {
	if f.step == "folder" {
		return syscall.EIO
	}
	return f.fileSystem.sync()
}

type failingFile struct {
	file
	step string
}

func (f failingFile) Write(b []byte) (int, error) {
	if f.step == "write" {
		n, _ := f.file.Write(b[:len(b)/2])
		return n, syscall.ENOSPC
	}
	return f.file.Write(b)
}

func (f failingFile) Sync() error {
	if f.step == "sync" {
		return syscall.EIO
	}
	return f.file.Sync()
}

// TestDiskTrouble checks that a save fails and the old state remains if the disk is full, the folder cannot be written
// or a sync fails. After a failed sync of the folder either state may be found.
func TestDiskTrouble(t *testing.T) {
	for _, step := range []string{"create", "write", "sync", "rename", "folder"} {
		s, dir := store(t)
		if err := s.Save(testState(1)); err != nil {
			t.Fatal(err)
		}
		s.files = failing{disk(dir), step}
		if err := s.Save(testState(2)); err == nil {
			t.Errorf("%s: no error", step)
		}
		s.files = disk(dir)
		st, err := s.Load("gw0")
		if err != nil {
			t.Fatalf("%s: %v", step, err)
		}
		if n := stateNumber(t, st); n != 1 && step != "folder" {
			t.Errorf("%s: state %d is found", step, n)
		}
	}
}

// TestKill checks that a process that is killed at random moments while it saves leaves the old or the new state and
// does not keep the folder locked.
func TestKill(t *testing.T) {
	dir := t.TempDir()
	rng := rand.New(rand.NewPCG(1, 2))
	last := 0
	for i := range *kills {
		c := exec.Command(os.Args[0])
		c.Env = append(os.Environ(), "STATE_WRITE="+dir)
		out, err := c.StdoutPipe()
		if err != nil {
			t.Fatal(err)
		}
		if err := c.Start(); err != nil {
			t.Fatal(err)
		}
		var b [6]byte
		if _, err := out.Read(b[:]); err != nil || string(b[:5]) != "ready" {
			t.Fatalf("the writer says %q, %v", b, err)
		}
		time.Sleep(time.Duration(rng.IntN(3000)) * time.Microsecond)
		c.Process.Kill()
		c.Wait()
		s, err := Open(dir, "test")
		if err != nil {
			t.Fatalf("kill %d: %v", i, err)
		}
		st, err := s.Load("gw0")
		s.Close()
		if err != nil {
			t.Fatalf("kill %d: %v", i, err)
		}
		if st != nil {
			last = max(last, stateNumber(t, st))
		} else if last > 0 {
			t.Fatalf("kill %d: no state, though there was one", i)
		}
	}
	t.Logf("%d kills, up to %d states written by one process", *kills, last)
}

// BenchmarkSave saves a state of the size of a large fleet. It compares replacing the file with alternating writes to
// two slots and with appending to a log, each synced.
func BenchmarkSave(b *testing.B) {
	big := testState(0)
	for i := range 46 {
		n := logic.NodeSnapshot{Node: logic.Node{ID: logic.NodeID(i + 2), Started: logic.Never}, Latency: 1000}
		for j := range 20 {
			n.SentLog = append(n.SentLog, logic.AgedUnits{Age: logic.Micros(j * 1000), Units: 1})
		}
		big.Logic.Nodes = append(big.Logic.Nodes, n)
	}
	for i := range 400 {
		big.Logic.Volumes = append(big.Logic.Volumes, logic.VolumeSnapshot{ID: logic.VolumeID(i), Attached: 3, Store: 5, Known: true})
	}
	enc, _ := Encode(big)
	dir := b.TempDir()
	b.Run("encode", func(b *testing.B) {
		b.ReportMetric(float64(len(enc)), "bytes")
		for b.Loop() {
			Encode(big)
		}
	})
	b.Run("replace", func(b *testing.B) {
		for b.Loop() {
			if err := replace(disk(dir), fileName, tempName, enc); err != nil {
				b.Fatal(err)
			}
		}
	})
	b.Run("two slots", func(b *testing.B) {
		var slots [2]*os.File
		for i := range slots {
			slots[i], _ = os.Create(filepath.Join(dir, fmt.Sprint("slot", i)))
			defer slots[i].Close()
		}
		for i := 0; b.Loop(); i++ {
			slots[i%2].WriteAt(enc, 0)
			slots[i%2].Sync()
		}
	})
	b.Run("log of one node", func(b *testing.B) {
		f, _ := os.Create(filepath.Join(dir, "log"))
		defer f.Close()
		for b.Loop() {
			f.Write(enc[:len(enc)/446])
			f.Sync()
		}
	})
	b.Run("decode", func(b *testing.B) {
		for b.Loop() {
			if _, err := Decode(enc); err != nil {
				b.Fatal(err)
			}
		}
	})
}

// TestOperate checks that an exported state can be imported, that it does not count as saved by a clean shutdown, and
// that invalid input is refused.
func TestOperate(t *testing.T) {
	s, dir := store(t)
	st := testState(4)
	st.Clean, st.Quiet = true, true
	if err := s.Save(st); err != nil {
		t.Fatal(err)
	}
	var show, export strings.Builder
	if err := Show(&show, dir); err != nil || !strings.Contains(show.String(), "in use by test") || !strings.Contains(show.String(), "ended by itself") {
		t.Errorf("%v: %s", err, show.String())
	}
	if err := Export(&export, dir); err != nil {
		t.Fatal(err)
	}
	var held *HeldError
	if err := Import(dir, []byte(export.String())); !errors.As(err, &held) {
		t.Errorf("import into a folder in use: %v", err)
	}
	s.Close()
	if err := Import(dir, []byte(export.String())); err != nil {
		t.Fatal(err)
	}
	got, err := Read(dir)
	if err != nil || got.Clean || got.Quiet || stateNumber(t, got) != 4 {
		t.Errorf("%+v, %v", got, err)
	}
	for _, bad := range []string{"{", `{"Gateway": ""}`, `{"Gateway": "x", "Other": 1}`, `{"Gateway": "x", "Logic": {"Vanish": 2}}`} {
		if err := Import(dir, []byte(bad)); err == nil {
			t.Errorf("import takes %s", bad)
		}
	}
	if err := Report(&show, t.TempDir()); err == nil {
		t.Error("an empty folder has a state")
	}
}
