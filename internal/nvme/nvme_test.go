package nvme

import (
	"bytes"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"hash/crc32"
	"io"
	"testing"

	"pgregory.net/rapid"
)

// The expected bytes are written by hand from the figures of the specification, as another conforming implementation
// would send them: an ICReq, and a Read of 8 blocks at 0x1122 of namespace 3 with command identifier 0x0102.
func TestKnownBytes(t *testing.T) {
	ic := make([]byte, 128)
	copy(ic, []byte{0x00, 0x00, 0x80, 0x00, 0x80, 0x00, 0x00, 0x00, 0x00, 0x00, 0x01, 0x03, 0x00, 0x00, 0x00, 0x00})
	capsule, _ := hex.DecodeString("0400480048000000" + // common header
		"02400201" + "03000000" + "0000000000000000" + "0000000000000000" + // opcode, flags, cid; nsid; cdw2-3; mptr
		"0000000000000000" + "00100000" + "0000005a" + // SGL: transport data block of 4096 bytes
		"2211000000000000" + "07000000" + "00000000" + "00000000" + "00000000")
	r := NewReader(bytes.NewReader(append(ic, capsule...)), 1<<20)
	var h Header
	if err := r.Next(&h); err != nil {
		t.Fatal(err)
	}
	p, err := h.Params()
	if err != nil || p.Align != 8 || !p.HeaderDigest || !p.DataDigest || p.MaxR2T != 1 {
		t.Errorf("ICReq: %+v, %v", p, err)
	}
	if err := r.Next(&h); err != nil {
		t.Fatal(err)
	}
	c := h.Command()
	first, n := c.BlockRange()
	size, in, err := c.DataLen()
	if c.Opcode() != OpRead || c.CID() != 0x0102 || c.NSID() != 3 || first != 0x1122 || n != 8 || size != 4096 || in || err != nil {
		t.Errorf("Read: opcode %d cid %#x nsid %d range %#x+%d, %d bytes in capsule %v, %v", c.Opcode(), c.CID(), c.NSID(), first, n, size, in, err)
	}
	built := NewCommand(OpRead, 3)
	built.SetCID(0x0102)
	built.SetBlockRange(0x1122, 8)
	built.SetData(4096, false)
	var out bytes.Buffer
	w := NewWriter(&out)
	w.Capsule(&built, nil)
	w.Flush()
	if !bytes.Equal(out.Bytes(), capsule) {
		t.Errorf("built\n%x, want\n%x", out.Bytes(), capsule)
	}
	// The check value of CRC32C, on which the digests of both peers must agree.
	if got := crc32.Checksum([]byte("123456789"), castagnoli); got != 0xe3069283 {
		t.Errorf("CRC32C check value %#x", got)
	}
}

// PDUs that are written can be read back, with and without digests and with every alignment.
func TestRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var buf bytes.Buffer
		w, r := NewWriter(&buf), NewReader(&buf, 1<<16)
		w.HeaderDigest, w.DataDigest = rapid.Bool().Draw(t, "hd"), rapid.Bool().Draw(t, "dd")
		r.HeaderDigest, r.DataDigest = w.HeaderDigest, w.DataDigest
		w.Align = 4 * rapid.IntRange(1, 32).Draw(t, "align")
		data := rapid.SliceOfN(rapid.Byte(), 1, 5000).Draw(t, "data")
		cmd := NewCommand(OpWrite, 7)
		cmd.SetData(uint32(len(data)), true)
		resp := NewCompletion(5, 6, InternalError|DoNotRetry, 7, 8)
		w.Capsule(&cmd, data)
		w.Transfer(C2HData, FlagLast, 1, 2, 3, uint32(len(data)), data)
		w.Transfer(R2T, 0, 9, 8, 7, 6, nil)
		w.Response(&resp)
		w.Flush()
		var h Header
		got := make([]byte, len(data))
		for _, want := range []Type{CapsuleCmd, C2HData} {
			if err := r.Next(&h); err != nil || h.Type != want || h.DataLen != len(data) {
				t.Fatalf("%v with %d bytes, %v; want %v with %d", h.Type, h.DataLen, err, want, len(data))
			}
			if err := r.Data(got); err != nil || !bytes.Equal(got, data) {
				t.Fatalf("data differs, %v", err)
			}
		}
		if err := r.Next(&h); err != nil {
			t.Fatal(err)
		}
		if cid, tag, off, n := h.Transfer(); h.Type != R2T || cid != 9 || tag != 8 || off != 7 || n != 6 {
			t.Fatalf("R2T: %d %d %d %d", cid, tag, off, n)
		}
		if err := r.Next(&h); err != nil || *h.Completion() != resp || h.Completion().Status().Code() != InternalError {
			t.Fatalf("%x, %v", *h.Completion(), err)
		}
		if err := r.Next(&h); err != io.EOF {
			t.Fatalf("at the end: %v", err)
		}
	})
}

// Each inconsistent header is a fatal error with the right status, and the digests detect damage.
func TestBadHeaders(t *testing.T) {
	capsule := func(change func(b []byte)) []byte {
		var buf bytes.Buffer
		w := NewWriter(&buf)
		w.HeaderDigest, w.DataDigest = true, true
		c := NewCommand(OpWrite, 1)
		w.Capsule(&c, make([]byte, 512))
		w.Flush()
		b := buf.Bytes()
		change(b)
		return b
	}
	updateDigest := func(b []byte) { binary.LittleEndian.PutUint32(b[72:], crc32.Checksum(b[:72], castagnoli)) }
	for name, c := range map[string]struct {
		change func(b []byte)
		want   FES
	}{
		"unknown type":     {func(b []byte) { b[0] = 8 }, FESHeaderField},
		"header length":    {func(b []byte) { b[2] = 71 }, FESHeaderField},
		"header digest":    {func(b []byte) { b[20] ^= 1 }, FESHeaderDigest},
		"no header digest": {func(b []byte) { b[1] &^= FlagHDGST }, FESHeaderField},
		"no data digest":   {func(b []byte) { b[1] &^= FlagDDGST; updateDigest(b) }, FESHeaderField},
		"data inside":      {func(b []byte) { b[3] = 72; updateDigest(b) }, FESHeaderField},
		"data past":        {func(b []byte) { b[3] = 255; updateDigest(b) }, FESHeaderField},
		"too long":         {func(b []byte) { binary.LittleEndian.PutUint32(b[4:], 1<<31); updateDigest(b) }, FESHeaderField},
		"too short":        {func(b []byte) { binary.LittleEndian.PutUint32(b[4:], 60); updateDigest(b) }, FESHeaderField},
	} {
		r := NewReader(bytes.NewReader(capsule(c.change)), 1<<16)
		r.HeaderDigest, r.DataDigest = true, true
		var h Header
		var f *FatalError
		if err := r.Next(&h); !errors.As(err, &f) || f.Status != c.want {
			t.Errorf("%s: %v", name, err)
		}
	}
	r := NewReader(bytes.NewReader(capsule(func(b []byte) { b[100] ^= 1 })), 1<<16)
	r.HeaderDigest, r.DataDigest = true, true
	var h Header
	if err := r.Next(&h); err != nil {
		t.Fatal(err)
	}
	if err := r.Data(make([]byte, h.DataLen)); err != ErrDataDigest {
		t.Errorf("damaged data: %v", err)
	}
	if err := r.Next(&h); err != io.EOF {
		t.Errorf("wrong position in the stream after damaged data: %v", err)
	}
	whole := capsule(func([]byte) {})
	for cut := 1; cut < len(whole); cut++ {
		r := NewReader(bytes.NewReader(whole[:cut]), 1<<16)
		r.HeaderDigest, r.DataDigest = true, true
		err := r.Next(&h)
		if err == nil {
			err = r.Data(make([]byte, h.DataLen))
		}
		if err != io.ErrUnexpectedEOF {
			t.Fatalf("cut at byte %d: %v", cut, err)
		}
	}
}

func TestStructures(t *testing.T) {
	cd := ConnectData{HostID: [16]byte{1, 2}, CNTLID: 3, SubNQN: "nqn.a", HostNQN: "nqn.b"}
	if got, err := ParseConnect(cd.Marshal()); err != nil || got != cd {
		t.Errorf("%+v, %v", got, err)
	}
	if _, err := ParseConnect(bytes.Repeat([]byte{'x'}, ConnectLen)); err == nil {
		t.Error("accepts an unterminated name")
	}
	ctl := Controller{Serial: "s", Model: "m", Firmware: "f", MDTS: 5, CNTLID: 9, OAES: EventANA, ANA: true, KAS: 10,
		MaxCmd: 64, Namespaces: 4, ONCS: 0xc, WriteCache: true, SubNQN: "nqn.c", CapsuleSize: 64 + 8192, ANAGroups: 2}
	if got, err := ParseController(ctl.Marshal()); err != nil || got != ctl {
		t.Errorf("%+v, %v; want %+v", got, err, ctl)
	}
	ns := Namespace{Blocks: 100, BlockSize: 4096, ANAGroup: 2, ReadOnly: true}
	if got, err := ParseNamespace(ns.Marshal()); err != nil || got != ns {
		t.Errorf("%+v, %v", got, err)
	}
	d := Discovery{3, []DiscoveryEntry{{Transport: 3, Family: 1, Subsystem: 2, Service: "4420", NQN: "nqn.d", Address: "127.0.0.1"}}}
	page := d.Marshal()
	if got, err := ParseDiscovery(page); err != nil || got.Generation != 3 || got.Entries[0] != d.Entries[0] {
		t.Errorf("%+v, %v", got, err)
	}
	if _, err := ParseDiscovery(page[:len(page)-1]); err == nil {
		t.Error("accepts a truncated discovery page")
	}
	l := ANALog{Changes: 4, Groups: []ANAGroup{{1, ANAStateOptimized, []uint32{1, 2}}, {2, ANAStateInaccessible, nil}}}
	b := l.Marshal()
	if got, err := ParseANA(b); err != nil || len(got.Groups) != 2 || got.Groups[0].Namespaces[1] != 2 || got.Groups[1].State != ANAStateInaccessible {
		t.Errorf("%+v, %v", got, err)
	}
	for i := range b {
		ParseANA(b[:i]) // must not panic; the last group has no list, so a truncated page may still parse
	}
	rep := Report{Busy: 90, Requests: 4000, Waiting: 17, ElsewhereKiB: 123456}
	if got, ok := ParseReport(rep.Dwords()); !ok || got != rep {
		t.Errorf("%+v, %v", got, ok)
	}
	if _, ok := ParseReport(0, 0); ok {
		t.Error("a completion without a report parses as one")
	}
}

func FuzzReader(f *testing.F) {
	var buf bytes.Buffer
	w := NewWriter(&buf)
	c := NewCommand(OpWrite, 1)
	w.Capsule(&c, make([]byte, 16))
	w.Transfer(C2HData, 0, 1, 1, 0, 4, []byte{1, 2, 3, 4})
	w.Init(ICResp, Params{Align: 4, MaxH2CData: 4096})
	w.Terminate(C2HTermReq, &FatalError{Status: FESHeaderField}, make([]byte, 72))
	f.Add(buf.Bytes(), false)
	f.Add(buf.Bytes(), true)
	f.Fuzz(func(t *testing.T, b []byte, digests bool) {
		r := NewReader(bytes.NewReader(b), 1<<16)
		r.HeaderDigest, r.DataDigest = digests, digests
		var h Header
		for {
			if err := r.Next(&h); err != nil {
				return
			}
			if h.DataLen > 1<<16 {
				t.Fatalf("%d bytes of data exceed the maximum", h.DataLen)
			}
			h.Params()
			if err := r.Data(make([]byte, h.DataLen)); err != nil && err != ErrDataDigest {
				return
			}
		}
	})
}

func FuzzStructures(f *testing.F) {
	f.Add((&ANALog{Groups: []ANAGroup{{1, 1, []uint32{1}}}}).Marshal())
	f.Add((&Discovery{Entries: []DiscoveryEntry{{NQN: "x"}}}).Marshal())
	f.Add((&Controller{}).Marshal())
	f.Fuzz(func(t *testing.T, b []byte) {
		ParseANA(b)
		ParseDiscovery(b)
		ParseController(b)
		ParseNamespace(b)
		ParseConnect(b)
		ParseDSM(b, func(uint64, uint32) {})
	})
}
