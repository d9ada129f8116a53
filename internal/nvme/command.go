package nvme

import (
	"encoding/binary"
	"fmt"
)

// Command is a submission queue entry: 64 bytes (Base, section 3.3.3.1).
type Command [64]byte

// Opcodes of the admin, NVM and Fabrics sets.
const (
	OpGetLogPage  = 0x02
	OpIdentify    = 0x06
	OpAbort       = 0x08
	OpSetFeatures = 0x09
	OpGetFeatures = 0x0a
	OpAsyncEvent  = 0x0c
	OpKeepAlive   = 0x18
	OpFabrics     = 0x7f

	OpFlush       = 0x00
	OpWrite       = 0x01
	OpRead        = 0x02
	OpWriteZeroes = 0x08
	OpDSM         = 0x09
)

// Fabrics command types.
const (
	FabricsPropertySet = 0x00
	FabricsConnect     = 0x01
	FabricsPropertyGet = 0x04
	FabricsDisconnect  = 0x08
)

// Properties by their offsets.
const (
	PropCAP  = 0x00
	PropVS   = 0x08
	PropCC   = 0x14
	PropCSTS = 0x1c
)

// Feature identifiers.
const (
	FeatNumQueues  = 0x07
	FeatAsyncEvent = 0x0b
	FeatKeepAlive  = 0x0f
	// FeatReports is a vendor-specific feature: with 1 in CDW11 the completions of I/O commands carry a [Report] in
	// their first two dwords, and CDW2 and CDW3 of writes carry a key by which the node drops repeats.
	FeatReports = 0xc0
)

// Log page identifiers.
const (
	LogANA       = 0x0c
	LogDiscovery = 0x70
	// LogProcess is a vendor-specific log page: the age of the node's process, see [Process].
	LogProcess = 0xc0
)

// CNS values of Identify.
const (
	CNSNamespace  = 0x00
	CNSController = 0x01
	CNSActive     = 0x02
)

func (c *Command) Opcode() uint8            { return c[0] }
func (c *Command) CID() uint16              { return binary.LittleEndian.Uint16(c[2:]) }
func (c *Command) SetCID(id uint16)         { binary.LittleEndian.PutUint16(c[2:], id) }
func (c *Command) NSID() uint32             { return binary.LittleEndian.Uint32(c[4:]) }
func (c *Command) SetNSID(id uint32)        { binary.LittleEndian.PutUint32(c[4:], id) }
func (c *Command) FabricsType() uint8       { return c[4] }
func (c *Command) Dword(i int) uint32       { return binary.LittleEndian.Uint32(c[4*i:]) }
func (c *Command) SetDword(i int, v uint32) { binary.LittleEndian.PutUint32(c[4*i:], v) }
func (c *Command) Qword(i int) uint64       { return binary.LittleEndian.Uint64(c[4*i:]) }
func (c *Command) SetQword(i int, v uint64) {
	binary.LittleEndian.PutUint64(c[4*i:], v)
}

// SGL descriptor identifiers used over TCP (TCP Transport, section 3.4).
const (
	sglInCapsule = 0x01 // data block, address is an offset
	sglTransport = 0x5a // transport SGL data block
)

// NewCommand returns a command whose data pointer is an SGL, as its flags say.
func NewCommand(opcode uint8, nsid uint32) Command {
	var c Command
	c[0], c[1], c[39] = opcode, 0x40, sglTransport // zero length until there is data
	c.SetNSID(nsid)
	return c
}

// NewFabrics returns a Fabrics command of the given type.
func NewFabrics(kind uint8) Command {
	var c Command
	c[0], c[1], c[4], c[39] = OpFabrics, 0x40, kind, sglTransport
	return c
}

// SetData sets the length of the command's data and whether it is in the capsule or transferred separately.
func (c *Command) SetData(n uint32, inCapsule bool) {
	c.SetQword(6, 0)
	c.SetDword(8, n)
	c.SetDword(9, 0)
	if c[39] = sglTransport; inCapsule {
		c[39] = sglInCapsule
	}
}

// DataLen returns the data length that the SGL descriptor states and whether the data is in the capsule.
func (c *Command) DataLen() (n uint32, inCapsule bool, err error) {
	n = c.Dword(8)
	switch c[39] {
	case sglInCapsule:
		if c.Qword(6) != 0 {
			return 0, false, fmt.Errorf("nvme: in-capsule data at offset %d", c.Qword(6))
		}
		return n, true, nil
	case sglTransport:
		return n, false, nil
	}
	if n == 0 {
		return 0, false, nil
	}
	return 0, false, fmt.Errorf("nvme: SGL descriptor %#02x is not used over TCP", c[39])
}

// FUA is the bit of CDW12 that requires data on stable storage before the command completes.
const FUA = 1 << 30

// SetBlockRange sets the block range of a Read, Write or Write Zeroes: the first block and their number, 1 to 65536.
func (c *Command) SetBlockRange(first uint64, n uint32) {
	c.SetQword(10, first)
	c.SetDword(12, c.Dword(12)&^0xffff|(n-1)&0xffff)
}

// BlockRange returns the block range of a Read, Write or Write Zeroes.
func (c *Command) BlockRange() (first uint64, n uint32) { return c.Qword(10), c.Dword(12)&0xffff + 1 }

// Key returns the repeat key of [FeatReports].
func (c *Command) Key() uint64       { return c.Qword(2) }
func (c *Command) SetKey(key uint64) { c.SetQword(2, key) }

// LogPage returns a Get Log Page command for n bytes (a multiple of 4) at an offset.
func LogPage(id uint8, nsid uint32, offset uint64, n uint32, keepEvent bool) Command {
	c := NewCommand(OpGetLogPage, nsid)
	dwords := n/4 - 1
	d10 := uint32(id) | dwords<<16
	if keepEvent {
		d10 |= 1 << 15
	}
	c.SetDword(10, d10)
	c.SetDword(11, dwords>>16)
	c.SetQword(12, offset)
	c.SetData(n, false)
	return c
}

// LogPageRequest returns the fields of a Get Log Page command.
func (c *Command) LogPageRequest() (id uint8, offset uint64, n uint32) {
	dwords := c.Dword(10)>>16 | c.Dword(11)<<16
	return uint8(c.Dword(10)), c.Qword(12), (dwords + 1) * 4
}

// Completion is a completion queue entry: 16 bytes (Base, section 3.3.3.2).
type Completion [16]byte

func (c *Completion) DW0() uint32      { return binary.LittleEndian.Uint32(c[0:]) }
func (c *Completion) DW1() uint32      { return binary.LittleEndian.Uint32(c[4:]) }
func (c *Completion) SQHD() uint16     { return binary.LittleEndian.Uint16(c[8:]) }
func (c *Completion) CID() uint16      { return binary.LittleEndian.Uint16(c[12:]) }
func (c *Completion) Status() Status   { return Status(binary.LittleEndian.Uint16(c[14:]) >> 1) }
func (c *Completion) SetCID(id uint16) { binary.LittleEndian.PutUint16(c[12:], id) }

// NewCompletion returns a completion queue entry.
func NewCompletion(cid, sqhd uint16, s Status, dw0, dw1 uint32) Completion {
	var c Completion
	le := binary.LittleEndian
	le.PutUint32(c[0:], dw0)
	le.PutUint32(c[4:], dw1)
	le.PutUint16(c[8:], sqhd)
	c.SetCID(cid)
	le.PutUint16(c[14:], uint16(s)<<1)
	return c
}

// Status is the status field of a completion without the phase tag: code in bits 0 to 7, type in 8 to 10, retry delay
// in 11 and 12, more in 13, do not retry in 14 (Base, section 3.3.3.2.1).
type Status uint16

const (
	Success            Status = 0x000
	InvalidOpcode      Status = 0x001
	InvalidField       Status = 0x002
	DataTransferError  Status = 0x004
	InternalError      Status = 0x006
	AbortRequested     Status = 0x007
	AbortedSQDeleted   Status = 0x008
	InvalidNamespace   Status = 0x00b
	SequenceError      Status = 0x00c
	SGLLengthInvalid   Status = 0x00f
	TransientTransport Status = 0x022
	CommandInterrupted Status = 0x021
	WriteProtected     Status = 0x020
	LBAOutOfRange      Status = 0x080
	CapacityExceeded   Status = 0x081
	NamespaceNotReady  Status = 0x082
	ConnectFormat      Status = 0x180
	ConnectBusy        Status = 0x181
	ConnectInvalid     Status = 0x182
	InvalidLogPage     Status = 0x109
	AsyncLimit         Status = 0x105
	UnrecoveredRead    Status = 0x281
	ANAPersistentLoss  Status = 0x301
	ANAInaccessible    Status = 0x302
	ANATransition      Status = 0x303

	DoNotRetry Status = 1 << 14
)

// Code returns the status code type and the status code without the other bits.
func (s Status) Code() Status { return s & 0x7ff }

var statusNames = map[Status]string{
	Success: "success", InvalidOpcode: "invalid opcode", InvalidField: "invalid field", DataTransferError: "data transfer error",
	InternalError: "internal error", AbortRequested: "abort requested", AbortedSQDeleted: "aborted, queue deleted",
	InvalidNamespace: "invalid namespace", SequenceError: "command sequence error", SGLLengthInvalid: "SGL length invalid",
	TransientTransport: "transient transport error", CommandInterrupted: "command interrupted",
	WriteProtected: "namespace is write protected", LBAOutOfRange: "LBA out of range", CapacityExceeded: "capacity exceeded",
	NamespaceNotReady: "namespace not ready", ConnectFormat: "incompatible connect format", ConnectBusy: "controller busy",
	ConnectInvalid: "invalid connect parameters", InvalidLogPage: "invalid log page", AsyncLimit: "too many event requests",
	UnrecoveredRead: "unrecovered read error", ANAPersistentLoss: "ANA persistent loss", ANAInaccessible: "ANA inaccessible",
	ANATransition: "ANA transition",
}

func (s Status) String() string {
	if name, ok := statusNames[s.Code()]; ok {
		return name
	}
	return fmt.Sprintf("status type %d code %#02x", s>>8&7, uint8(s))
}

// StatusError is the error for a command that completed with a status other than success.
type StatusError struct {
	Status Status
	What   string
}

func (e *StatusError) Error() string { return fmt.Sprintf("nvme: %s: %v", e.What, e.Status) }

// Report is the load and the usage meter of a node, carried in the first two dwords of a completion while [FeatReports]
// is on.
type Report struct {
	Busy         uint8  // percentage of its cores in use, 0 to 100; 255: unknown
	Requests     uint16 // requests at the node, at most 4095
	Waiting      uint16 // of these, the requests that wait, at most 4095
	ElsewhereKiB uint32 // served for the namespace through other hosts since the last answer to this one, at most 2^24-1
}

// Dwords packs a report into the first two dwords of a completion.
func (r Report) Dwords() (dw0, dw1 uint32) {
	dw0 = uint32(r.Busy) | uint32(min(r.Requests, 4095))<<8 | uint32(min(r.Waiting, 4095))<<20
	return dw0, min(r.ElsewhereKiB, 1<<24-1) | 1<<31
}

// ParseReport unpacks a report; ok is false if the dwords hold none.
func ParseReport(dw0, dw1 uint32) (r Report, ok bool) {
	if dw1>>31 == 0 {
		return r, false
	}
	return Report{uint8(dw0), uint16(dw0 >> 8 & 4095), uint16(dw0 >> 20), dw1 & (1<<24 - 1)}, true
}
