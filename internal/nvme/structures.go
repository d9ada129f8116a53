package nvme

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"strings"
)

// DiscoveryNQN is the well-known name of a discovery subsystem (Base, section 4.5).
const DiscoveryNQN = "nqn.2014-08.org.nvmexpress.discovery"

// ConnectData is the data of a Connect command: 1024 bytes (Base, section 6.3).
type ConnectData struct {
	HostID  [16]byte
	CNTLID  uint16
	SubNQN  string
	HostNQN string
}

const (
	ConnectLen  = 1024
	IdentifyLen = 4096
	CNTLIDAny   = 0xffff
)

// Marshal encodes the data of a Connect command.
func (d *ConnectData) Marshal() []byte {
	b := make([]byte, ConnectLen)
	copy(b, d.HostID[:])
	binary.LittleEndian.PutUint16(b[16:], d.CNTLID)
	copy(b[256:511], d.SubNQN)
	copy(b[512:767], d.HostNQN)
	return b
}

// ParseConnect decodes the data of a Connect command.
func ParseConnect(b []byte) (d ConnectData, err error) {
	if len(b) != ConnectLen {
		return d, fmt.Errorf("nvme: Connect carries %d bytes, want %d", len(b), ConnectLen)
	}
	copy(d.HostID[:], b)
	d.CNTLID = binary.LittleEndian.Uint16(b[16:])
	if d.SubNQN, err = parseNQN(b[256:512]); err == nil {
		d.HostNQN, err = parseNQN(b[512:768])
	}
	return d, err
}

// parseNQN returns the zero-terminated NVMe qualified name at the start of b.
func parseNQN(b []byte) (string, error) {
	i := bytes.IndexByte(b, 0)
	if i < 0 || i > 223 {
		return "", errors.New("nvme: NQN is not terminated within 223 bytes")
	}
	return string(b[:i]), nil
}

// Connect returns the Connect command of a queue; size is the number of its entries.
func Connect(qid uint16, size int, keepAliveMS uint32) Command {
	c := NewFabrics(FabricsConnect)
	binary.LittleEndian.PutUint16(c[42:], qid)
	binary.LittleEndian.PutUint16(c[44:], uint16(size-1))
	c.SetDword(12, keepAliveMS)
	c.SetData(ConnectLen, true)
	return c
}

// ConnectRequest returns the fields of a Connect command.
func (c *Command) ConnectRequest() (format, qid uint16, size int, keepAliveMS uint32) {
	le := binary.LittleEndian
	return le.Uint16(c[40:]), le.Uint16(c[42:]), int(le.Uint16(c[44:])) + 1, c.Dword(12)
}

// PropertyGet returns a Property Get command; wide is for properties of 8 bytes.
func PropertyGet(offset uint32, wide bool) Command {
	c := NewFabrics(FabricsPropertyGet)
	if wide {
		c[40] = 1
	}
	c.SetDword(11, offset)
	return c
}

// PropertySet returns a Property Set command.
func PropertySet(offset uint32, v uint64) Command {
	c := NewFabrics(FabricsPropertySet)
	c.SetDword(11, offset)
	c.SetQword(12, v)
	return c
}

// Controller is the part of the Identify Controller structure that is used here (Base, section 5.17.2.1).
type Controller struct {
	Serial, Model, Firmware string
	MDTS                    uint8 // maximum data length of a command, 2^MDTS pages of 4 KiB; 0: unlimited
	CNTLID                  uint16
	Version                 uint32
	OAES                    uint32 // asynchronous events it can send
	ANA                     bool
	KAS                     uint16 // granularity of the keep-alive time, in 100 ms
	MaxCmd                  uint16
	Namespaces              uint32
	ONCS                    uint16 // optional commands
	WriteCache              bool
	SGLs                    uint32
	SubNQN                  string
	CapsuleSize             int // maximum capsule size of a command in bytes: 64 and the in-capsule data
	ANAGroups               uint32
	Discovery               bool
}

// Bits of OAES, which Set Features Async Event also takes, and of ONCS.
const (
	EventNamespace = 1 << 8
	EventANA       = 1 << 11
	EventDiscovery = 1 << 31

	ONCSDSM         = 1 << 2
	ONCSWriteZeroes = 1 << 3
)

// Marshal encodes the Identify Controller structure.
func (c *Controller) Marshal() []byte {
	b := make([]byte, IdentifyLen)
	le := binary.LittleEndian
	padSpaces(b[4:24], c.Serial)
	padSpaces(b[24:64], c.Model)
	padSpaces(b[64:72], c.Firmware)
	b[77] = c.MDTS
	le.PutUint16(b[78:], c.CNTLID)
	le.PutUint32(b[80:], c.Version)
	le.PutUint32(b[92:], c.OAES)
	b[111] = 1 // CNTRLTYPE: I/O
	if c.Discovery {
		b[111] = 2
	}
	b[258] = 3 // ACL: up to four Aborts at a time
	b[259] = 3 // AERL: up to four outstanding event requests
	le.PutUint16(b[320:], c.KAS)
	if c.ANA {
		b[76] |= 1 << 3
		le.PutUint32(b[344:], c.ANAGroups)
		le.PutUint32(b[348:], c.ANAGroups)
		b[342] = 10 // ANATT
		b[343] = 0x1f
	}
	b[512], b[513] = 0x66, 0x44
	le.PutUint16(b[514:], c.MaxCmd)
	le.PutUint32(b[516:], c.Namespaces)
	le.PutUint16(b[520:], c.ONCS)
	if c.WriteCache {
		b[525] = 1
	}
	le.PutUint32(b[536:], c.SGLs)
	copy(b[768:1023], c.SubNQN)
	if !c.Discovery {
		le.PutUint32(b[1792:], uint32(c.CapsuleSize/16))
		le.PutUint32(b[1796:], 1)
	}
	return b
}

// ParseController decodes the Identify Controller structure.
func ParseController(b []byte) (c Controller, err error) {
	if len(b) != IdentifyLen {
		return c, fmt.Errorf("nvme: Identify returned %d bytes, want %d", len(b), IdentifyLen)
	}
	le := binary.LittleEndian
	text := func(b []byte) string { return strings.TrimRight(string(b), " \x00") }
	c = Controller{
		Serial: text(b[4:24]), Model: text(b[24:64]), Firmware: text(b[64:72]), MDTS: b[77],
		CNTLID: le.Uint16(b[78:]), Version: le.Uint32(b[80:]), OAES: le.Uint32(b[92:]), ANA: b[76]&(1<<3) != 0,
		KAS: le.Uint16(b[320:]), MaxCmd: le.Uint16(b[514:]), Namespaces: le.Uint32(b[516:]), ONCS: le.Uint16(b[520:]),
		WriteCache: b[525]&1 != 0, SGLs: le.Uint32(b[536:]), ANAGroups: le.Uint32(b[344:]),
		Discovery: b[111] == 2,
	}
	capsule := le.Uint32(b[1792:])
	if capsule > 1<<20 {
		return c, fmt.Errorf("nvme: Identify Controller states IOCCSZ %d", capsule)
	}
	c.CapsuleSize = int(capsule) * 16
	if icdoff := le.Uint16(b[1800:]); icdoff != 0 {
		c.CapsuleSize = min(c.CapsuleSize, 64) // data at an offset in the capsule is not used over TCP
	}
	if i := bytes.IndexByte(b[768:1024], 0); i >= 0 {
		c.SubNQN = string(b[768 : 768+i])
	}
	return c, nil
}

// padSpaces copies s to b and fills the rest of b with spaces.
func padSpaces(b []byte, s string) {
	for i := copy(b, s); i < len(b); i++ {
		b[i] = ' '
	}
}

// Namespace is the part of the Identify Namespace structure that is used here (NVM Command Set, section 4.1.5.1).
type Namespace struct {
	Blocks    uint64
	BlockSize uint32
	ANAGroup  uint32
	ReadOnly  bool
	Metadata  bool // blocks carry metadata; such a namespace is not used
}

// Marshal encodes the Identify Namespace structure.
func (n *Namespace) Marshal() []byte {
	b := make([]byte, IdentifyLen)
	le := binary.LittleEndian
	le.PutUint64(b[0:], n.Blocks)
	le.PutUint64(b[8:], n.Blocks)
	shift := 0
	for 1<<shift < n.BlockSize {
		shift++
	}
	le.PutUint32(b[92:], n.ANAGroup)
	if n.ReadOnly {
		b[99] = 1
	}
	b[128+2] = uint8(shift)
	return b
}

// ParseNamespace decodes the Identify Namespace structure.
func ParseNamespace(b []byte) (n Namespace, err error) {
	if len(b) != IdentifyLen {
		return n, fmt.Errorf("nvme: Identify returned %d bytes, want %d", len(b), IdentifyLen)
	}
	le := binary.LittleEndian
	format := int(b[26]&0xf | b[26]>>1&0x30)
	lbaf := b[128+4*format:]
	if lbaf[2] < 9 || lbaf[2] > 16 {
		return n, fmt.Errorf("nvme: unsupported block size of 2^%d bytes", lbaf[2])
	}
	return Namespace{Blocks: le.Uint64(b[0:]), BlockSize: 1 << lbaf[2], ANAGroup: le.Uint32(b[92:]),
		ReadOnly: b[99]&1 != 0, Metadata: le.Uint16(lbaf) != 0}, nil
}

// ANAState is the state of a group of namespaces, an ANA group (Base, section 8.1).
type ANAState uint8

const (
	ANAStateOptimized      ANAState = 0x1
	ANAStateNonOptimized   ANAState = 0x2
	ANAStateInaccessible   ANAState = 0x3
	ANAStatePersistentLoss ANAState = 0x4
	ANAStateChange         ANAState = 0xf
)

// ANAGroup is a group descriptor of the ANA log page.
type ANAGroup struct {
	ID         uint32
	State      ANAState
	Namespaces []uint32
}

// ANALog is the ANA log page, 0Ch.
type ANALog struct {
	Changes uint64
	Groups  []ANAGroup
}

// Marshal encodes the ANA log page.
func (l *ANALog) Marshal() []byte {
	le := binary.LittleEndian
	b := le.AppendUint64(nil, l.Changes)
	b = le.AppendUint16(b, uint16(len(l.Groups)))
	b = append(b, make([]byte, 6)...)
	for _, g := range l.Groups {
		b = le.AppendUint32(b, g.ID)
		b = le.AppendUint32(b, uint32(len(g.Namespaces)))
		b = le.AppendUint64(b, l.Changes)
		b = append(b, uint8(g.State))
		b = append(b, make([]byte, 15)...)
		for _, n := range g.Namespaces {
			b = le.AppendUint32(b, n)
		}
	}
	return b
}

// ParseANA decodes as many group descriptors as the page states and ignores what follows them.
func ParseANA(b []byte) (l ANALog, err error) {
	le := binary.LittleEndian
	if len(b) < 16 {
		return l, errors.New("nvme: ANA log page is truncated")
	}
	l.Changes = le.Uint64(b)
	count := int(le.Uint16(b[8:]))
	b = b[16:]
	for i := range count {
		if len(b) < 32 {
			return l, fmt.Errorf("nvme: ANA log page is truncated in group %d of %d", i, count)
		}
		g := ANAGroup{ID: le.Uint32(b), State: ANAState(b[16] & 0xf)}
		n := le.Uint32(b[4:])
		if b = b[32:]; uint64(n)*4 > uint64(len(b)) {
			return l, fmt.Errorf("nvme: ANA log page is truncated in group %d of %d", i, count)
		}
		for range n {
			g.Namespaces = append(g.Namespaces, le.Uint32(b))
			b = b[4:]
		}
		l.Groups = append(l.Groups, g)
	}
	return l, nil
}

// DiscoveryEntry is one entry of the discovery log page (Base, section 5.16.1.23).
type DiscoveryEntry struct {
	Transport uint8 // 3: TCP
	Family    uint8 // 1: IPv4, 2: IPv6
	Subsystem uint8 // 2: NVM subsystem
	Port      uint16
	CNTLID    uint16
	AdminSize uint16
	Service   string // TCP port
	NQN       string
	Address   string
}

// Lengths and codes of the discovery log page.
const (
	DiscoveryHeaderLen = 1024
	DiscoveryEntryLen  = 1024

	TransportTCP = 3
	SubsystemNVM = 2
)

// Discovery is the discovery log page.
type Discovery struct {
	Generation uint64
	Entries    []DiscoveryEntry
}

// Marshal encodes the discovery log page.
func (d *Discovery) Marshal() []byte {
	le := binary.LittleEndian
	b := make([]byte, DiscoveryHeaderLen+DiscoveryEntryLen*len(d.Entries))
	le.PutUint64(b, d.Generation)
	le.PutUint64(b[8:], uint64(len(d.Entries)))
	for i, e := range d.Entries {
		x := b[DiscoveryHeaderLen+DiscoveryEntryLen*i:]
		x[0], x[1], x[2] = e.Transport, e.Family, e.Subsystem
		le.PutUint16(x[4:], e.Port)
		le.PutUint16(x[6:], e.CNTLID)
		le.PutUint16(x[8:], e.AdminSize)
		padSpaces(x[32:64], e.Service)
		copy(x[256:511], e.NQN)
		padSpaces(x[512:768], e.Address)
	}
	return b
}

// ParseDiscoveryHeader returns the generation counter and the number of entries of the discovery log page.
func ParseDiscoveryHeader(b []byte) (generation, entries uint64, err error) {
	if len(b) < 18 {
		return 0, 0, errors.New("nvme: discovery log page is truncated")
	}
	le := binary.LittleEndian
	if f := le.Uint16(b[16:]); f != 0 {
		return 0, 0, fmt.Errorf("nvme: discovery log page has record format %d", f)
	}
	return le.Uint64(b), le.Uint64(b[8:]), nil
}

// ParseDiscovery decodes the discovery log page.
func ParseDiscovery(b []byte) (d Discovery, err error) {
	var n uint64
	if d.Generation, n, err = ParseDiscoveryHeader(b); err != nil {
		return d, err
	}
	if have := max(len(b)-DiscoveryHeaderLen, 0) / DiscoveryEntryLen; n > uint64(have) {
		return d, fmt.Errorf("nvme: discovery log page holds %d of %d entries", have, n)
	}
	text := func(b []byte) string { return strings.TrimRight(string(b), " \x00") }
	for i := range int(n) {
		x := b[DiscoveryHeaderLen+DiscoveryEntryLen*i:]
		le := binary.LittleEndian
		e := DiscoveryEntry{Transport: x[0], Family: x[1], Subsystem: x[2], Port: le.Uint16(x[4:]), CNTLID: le.Uint16(x[6:]),
			AdminSize: le.Uint16(x[8:]), Service: text(x[32:64]), Address: text(x[512:768])}
		if e.NQN, err = parseNQN(x[256:512]); err != nil {
			return d, fmt.Errorf("entry %d: %w", i, err)
		}
		d.Entries = append(d.Entries, e)
	}
	return d, nil
}

// Process is the log page [LogProcess]: 16 bytes with version 1 and the age of the process in microseconds.
type Process struct{ Age uint64 }

// ProcessLen is the length of the process log page in bytes.
const ProcessLen = 16

// Marshal encodes the process log page.
func (p Process) Marshal() []byte {
	b := make([]byte, ProcessLen)
	binary.LittleEndian.PutUint32(b, 1)
	binary.LittleEndian.PutUint64(b[8:], p.Age)
	return b
}

// ParseProcess decodes the process log page.
func ParseProcess(b []byte) (Process, error) {
	if len(b) != ProcessLen || binary.LittleEndian.Uint32(b) != 1 {
		return Process{}, errors.New("nvme: process log page has an unknown length or version")
	}
	return Process{binary.LittleEndian.Uint64(b[8:])}, nil
}

// DSMRange returns a Dataset Management range list with one entry.
func DSMRange(first uint64, n uint32) []byte {
	b := make([]byte, 16)
	binary.LittleEndian.PutUint32(b[4:], n)
	binary.LittleEndian.PutUint64(b[8:], first)
	return b
}

// ParseDSM calls f for each range of a Dataset Management range list.
func ParseDSM(b []byte, f func(first uint64, n uint32)) error {
	if len(b) == 0 || len(b)%16 != 0 || len(b) > 4096 {
		return fmt.Errorf("nvme: Dataset Management carries %d bytes", len(b))
	}
	for ; len(b) > 0; b = b[16:] {
		f(binary.LittleEndian.Uint64(b[8:]), binary.LittleEndian.Uint32(b[4:]))
	}
	return nil
}
