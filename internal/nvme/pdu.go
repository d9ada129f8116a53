// Package nvme holds what both sides of NVMe over TCP share: the PDUs of the NVMe/TCP Transport
// Specification 1.0, the commands and completions of the NVM Express Base Specification 2.0 and the NVM
// Command Set Specification 1.0, and the data structures that travel with them. All integers on the wire are
// little-endian. It parses and builds; it keeps no state of a connection but what framing needs, and decides
// nothing.
package nvme

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
)

// Type is a PDU's type (TCP Transport, section 3.6.1).
type Type uint8

const (
	ICReq       Type = 0x00
	ICResp      Type = 0x01
	H2CTermReq  Type = 0x02
	C2HTermReq  Type = 0x03
	CapsuleCmd  Type = 0x04
	CapsuleResp Type = 0x05
	H2CData     Type = 0x06
	C2HData     Type = 0x07
	R2T         Type = 0x09
)

var typeNames = map[Type]string{ICReq: "ICReq", ICResp: "ICResp", H2CTermReq: "H2CTermReq", C2HTermReq: "C2HTermReq",
	CapsuleCmd: "CapsuleCmd", CapsuleResp: "CapsuleResp", H2CData: "H2CData", C2HData: "C2HData", R2T: "R2T"}

func (t Type) String() string {
	if s, ok := typeNames[t]; ok {
		return s
	}
	return fmt.Sprintf("PDU type %#02x", uint8(t))
}

// Flags of the common header.
const (
	FlagHDGST   = 1 << 0
	FlagDDGST   = 1 << 1
	FlagLast    = 1 << 2 // of H2CData, C2HData: the last of its transfer
	FlagSuccess = 1 << 3 // of C2HData: no CapsuleResp follows
)

// Lengths in bytes.
const (
	commonLen  = 8
	icLen      = 128
	capsuleLen = 72
	respLen    = 24
	dataLen    = 24
	termLen    = 24
	termMost   = 152 // a termination request carries at most 128 bytes of the PDU at fault
	digestLen  = 4
)

// headerLen is HLEN by type; 0 for types that are not known.
func headerLen(t Type) int {
	switch t {
	case ICReq, ICResp:
		return icLen
	case CapsuleCmd:
		return capsuleLen
	case CapsuleResp, H2CData, C2HData, R2T, H2CTermReq, C2HTermReq:
		return respLen
	}
	return 0
}

// FES is the fatal error status of a termination request (TCP Transport, section 3.6.2.3).
type FES uint16

const (
	FESHeaderField   FES = 1
	FESSequence      FES = 2
	FESHeaderDigest  FES = 3
	FESOutOfRange    FES = 4
	FESLimitExceeded FES = 5
	FESUnsupported   FES = 6
)

// FatalError is a violation after which the connection must be terminated.
type FatalError struct {
	Status FES
	Offset uint32 // of the field at fault, where one can be named
	Text   string
}

func (e *FatalError) Error() string { return "nvme/tcp: " + e.Text }

func fatal(s FES, offset uint32, format string, a ...any) error {
	return &FatalError{s, offset, fmt.Sprintf(format, a...)}
}

// ErrDataDigest says that a PDU's data came damaged; the connection goes on, the command must not succeed.
var ErrDataDigest = errors.New("nvme/tcp: data digest does not match")

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Header is a PDU's header, checked. Data bytes follow on the connection.
type Header struct {
	Type  Type
	Flags uint8
	Data  int // bytes of data that follow
	Wire  int // bytes of the whole PDU
	raw   [icLen]byte
}

// Raw is the header with the common header, as it came; valid until the next is read.
func (h *Header) Raw() []byte { return h.raw[:headerLen(h.Type)] }

// Command is the submission queue entry of a CapsuleCmd; valid until the next PDU is read.
func (h *Header) Command() *Command { return (*Command)(h.raw[commonLen:capsuleLen]) }

// Completion is the completion queue entry of a CapsuleResp.
func (h *Header) Completion() *Completion { return (*Completion)(h.raw[commonLen:respLen]) }

// Transfer reads the header of H2CData, C2HData and R2T: command, transfer tag, offset, length.
func (h *Header) Transfer() (cid, tag uint16, offset, length uint32) {
	le := binary.LittleEndian
	return le.Uint16(h.raw[8:]), le.Uint16(h.raw[10:]), le.Uint32(h.raw[12:]), le.Uint32(h.raw[16:])
}

// Term reads a termination request's header.
func (h *Header) Term() (FES, uint32) {
	le := binary.LittleEndian
	return FES(le.Uint16(h.raw[8:])), le.Uint32(h.raw[10:])
}

// Params are what ICReq and ICResp settle.
type Params struct {
	Align         int  // data offsets of PDUs to the sender are multiples of this, 4 to 128 bytes
	HeaderDigest  bool // asked for, or granted
	DataDigest    bool
	MaxR2T        uint32 // ICReq: R2Ts out for one command at a time
	MaxH2CData    uint32 // ICResp: data of one H2CData PDU
	FormatVersion uint16
}

// Params reads ICReq or ICResp (TCP Transport, sections 3.6.2.1 and 3.6.2.2).
func (h *Header) Params() (Params, error) {
	le := binary.LittleEndian
	p := Params{FormatVersion: le.Uint16(h.raw[8:]), HeaderDigest: h.raw[11]&1 != 0, DataDigest: h.raw[11]&2 != 0}
	if p.FormatVersion != 0 {
		return p, fatal(FESUnsupported, 8, "%v has PDU format version %d", h.Type, p.FormatVersion)
	}
	if h.raw[10] > 31 {
		return p, fatal(FESHeaderField, 10, "%v has data alignment %d, most is 31", h.Type, h.raw[10])
	}
	p.Align = (int(h.raw[10]) + 1) * 4
	v := le.Uint32(h.raw[12:])
	if h.Type == ICReq {
		p.MaxR2T = v + 1
		if v == ^uint32(0) {
			p.MaxR2T = v
		}
	} else {
		p.MaxH2CData = v
		if v < 4096 || v%4 != 0 {
			return p, fatal(FESHeaderField, 12, "ICResp has MAXH2CDATA %d, least is 4096", v)
		}
	}
	return p, nil
}

// Reader takes PDUs off a connection: every length is checked before a byte of it is believed.
type Reader struct {
	br           *bufio.Reader
	HeaderDigest bool
	DataDigest   bool
	MaxData      int // data of one PDU; more is a fatal error
	left         int // data of the PDU at hand not read yet
	digest       bool
	scratch      [digestLen]byte
}

// NewReader reads from r. Before ICReq and ICResp have passed no digest is on.
func NewReader(r io.Reader, maxData int) *Reader {
	return &Reader{br: bufio.NewReaderSize(r, 32<<10), MaxData: maxData}
}

// Next reads the next PDU's header. The data of the one before must have been read or skipped.
// At the end of the stream between two PDUs the error is io.EOF, within one io.ErrUnexpectedEOF.
func (r *Reader) Next(h *Header) error {
	if r.left != 0 {
		return errors.New("nvme/tcp: data of the last PDU was not read")
	}
	if _, err := io.ReadFull(r.br, h.raw[:commonLen]); err != nil {
		return err
	}
	h.Type, h.Flags = Type(h.raw[0]), h.raw[1]
	hlen, pdo := int(h.raw[2]), int(h.raw[3])
	plen := binary.LittleEndian.Uint32(h.raw[4:])
	want := headerLen(h.Type)
	if want == 0 {
		return fatal(FESHeaderField, 0, "%v is not known", h.Type)
	}
	if hlen != want {
		return fatal(FESHeaderField, 2, "%v has HLEN %d, want %d", h.Type, hlen, want)
	}
	if err := full(r.br, h.raw[commonLen:hlen]); err != nil {
		return err
	}
	at := hlen
	if hd := h.Flags&FlagHDGST != 0; hd != r.headerDigested(h.Type) {
		return fatal(FESHeaderField, 1, "%v has header digest %v, settled was %v", h.Type, hd, !hd)
	} else if hd {
		if err := full(r.br, r.scratch[:]); err != nil {
			return err
		}
		if binary.LittleEndian.Uint32(r.scratch[:]) != crc32.Checksum(h.raw[:hlen], castagnoli) {
			return fatal(FESHeaderDigest, 0, "%v: header digest does not match", h.Type)
		}
		at += digestLen
	}
	h.Data, h.Wire, r.digest = 0, int(plen), false
	if plen == uint32(at) {
		if h.Type == C2HData || h.Type == H2CData {
			return fatal(FESHeaderField, 4, "%v carries no data", h.Type)
		}
		return nil
	}
	if !carriesData(h.Type) || plen < uint32(at) {
		return fatal(FESHeaderField, 4, "%v has PLEN %d, want %d", h.Type, plen, at)
	}
	if h.Type == H2CTermReq || h.Type == C2HTermReq {
		if plen > termMost {
			return fatal(FESHeaderField, 4, "%v has PLEN %d", h.Type, plen)
		}
		h.Data = int(plen) - at
		r.left = h.Data
		return nil
	}
	if pdo < at || pdo%4 != 0 || uint32(pdo) >= plen {
		return fatal(FESHeaderField, 3, "%v has PDO %d in %d bytes after a header of %d", h.Type, pdo, plen, at)
	}
	n := int64(plen) - int64(pdo)
	if dd := h.Flags&FlagDDGST != 0; dd != r.DataDigest {
		return fatal(FESHeaderField, 1, "%v has data digest %v, settled was %v", h.Type, dd, !dd)
	} else if dd {
		r.digest = true
		n -= digestLen
	}
	if n <= 0 || n > int64(r.MaxData) {
		return fatal(FESHeaderField, 4, "%v carries %d bytes of data, most is %d", h.Type, n, r.MaxData)
	}
	if _, err := r.br.Discard(pdo - at); err != nil {
		return cut(err)
	}
	h.Data = int(n)
	r.left = h.Data
	return nil
}

func (r *Reader) headerDigested(t Type) bool {
	return r.HeaderDigest && t != ICReq && t != ICResp && t != H2CTermReq && t != C2HTermReq
}

func carriesData(t Type) bool {
	return t == CapsuleCmd || t == H2CData || t == C2HData || t == H2CTermReq || t == C2HTermReq
}

// Data reads the data of the PDU at hand, which must be as long as dst. [ErrDataDigest] leaves the stream
// intact.
func (r *Reader) Data(dst []byte) error {
	if len(dst) != r.left {
		return fmt.Errorf("nvme/tcp: %d bytes of data, wanted %d", r.left, len(dst))
	}
	if err := full(r.br, dst); err != nil {
		return err
	}
	r.left = 0
	if !r.digest {
		return nil
	}
	if err := full(r.br, r.scratch[:]); err != nil {
		return err
	}
	if binary.LittleEndian.Uint32(r.scratch[:]) != crc32.Checksum(dst, castagnoli) {
		return ErrDataDigest
	}
	return nil
}

// Skip passes over the data of the PDU at hand.
func (r *Reader) Skip() error {
	n := r.left
	if r.digest && n > 0 {
		n += digestLen
	}
	r.left = 0
	_, err := r.br.Discard(n)
	return cut(err)
}

func full(r io.Reader, b []byte) error {
	_, err := io.ReadFull(r, b)
	return cut(err)
}

// cut names an end of stream within a PDU.
func cut(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

// Writer puts PDUs on a connection, buffered; Flush sends them. Errors stick, as in bufio.
type Writer struct {
	bw           *bufio.Writer
	HeaderDigest bool
	DataDigest   bool
	Align        int // of data, as the peer asked
	raw          [icLen + digestLen + 128]byte
}

// NewWriter writes to w.
func NewWriter(w io.Writer) *Writer { return &Writer{bw: bufio.NewWriterSize(w, 64<<10), Align: 4} }

// Flush sends what is buffered.
func (w *Writer) Flush() error { return w.bw.Flush() }

// Capsules and transfers differ only in their headers' lengths, so a sender can tell before it sends what will cross.

// CapsuleSize is how many bytes a command with so much in-capsule data takes.
func (w *Writer) CapsuleSize(data int) int { return w.size(capsuleLen, data) }

// TransferSize is how many bytes an H2CData PDU with so much data takes.
func (w *Writer) TransferSize(data int) int { return w.size(dataLen, data) }

func (w *Writer) size(header, data int) int {
	if w.HeaderDigest {
		header += digestLen
	}
	if data == 0 {
		return header
	}
	n := (header+w.Align-1)/w.Align*w.Align + data
	if w.DataDigest {
		n += digestLen
	}
	return n
}

// put frames a PDU: header is what follows the common header.
func (w *Writer) put(t Type, flags uint8, header, data []byte) error {
	hlen := commonLen + len(header)
	at := hlen
	digested := w.HeaderDigest && t != ICReq && t != ICResp && t != H2CTermReq && t != C2HTermReq
	if digested {
		flags |= FlagHDGST
		at += digestLen
	}
	plen, pdo := at, 0
	term := t == H2CTermReq || t == C2HTermReq
	if len(data) > 0 {
		pdo = at
		if !term {
			pdo = (at + w.Align - 1) / w.Align * w.Align
		}
		plen = pdo + len(data)
		if w.DataDigest && !term {
			flags |= FlagDDGST
			plen += digestLen
		}
	}
	b := w.raw[:0]
	b = append(b, uint8(t), flags, uint8(hlen), uint8(pdo))
	if term {
		b[3] = 0
	}
	b = binary.LittleEndian.AppendUint32(b, uint32(plen))
	b = append(b, header...)
	if digested {
		b = binary.LittleEndian.AppendUint32(b, crc32.Checksum(b, castagnoli))
	}
	for len(b) < pdo {
		b = append(b, 0)
	}
	w.bw.Write(b)
	_, err := w.bw.Write(data)
	if len(data) > 0 && w.DataDigest && !term {
		binary.LittleEndian.PutUint32(w.raw[:], crc32.Checksum(data, castagnoli))
		_, err = w.bw.Write(w.raw[:digestLen])
	}
	return err
}

// Init sends ICReq or ICResp.
func (w *Writer) Init(t Type, p Params) error {
	var b [icLen - commonLen]byte
	b[2] = uint8(p.Align/4 - 1)
	if p.HeaderDigest {
		b[3] |= 1
	}
	if p.DataDigest {
		b[3] |= 2
	}
	if t == ICReq {
		binary.LittleEndian.PutUint32(b[4:], p.MaxR2T-1)
	} else {
		binary.LittleEndian.PutUint32(b[4:], p.MaxH2CData)
	}
	return w.put(t, 0, b[:], nil)
}

// Capsule sends a command with its in-capsule data, if any.
func (w *Writer) Capsule(c *Command, data []byte) error { return w.put(CapsuleCmd, 0, c[:], data) }

// Response sends a completion.
func (w *Writer) Response(c *Completion) error { return w.put(CapsuleResp, 0, c[:], nil) }

// Transfer sends H2CData, C2HData or R2T; for an R2T data is nil and length is what is asked for.
func (w *Writer) Transfer(t Type, flags uint8, cid, tag uint16, offset, length uint32, data []byte) error {
	var b [dataLen - commonLen]byte
	le := binary.LittleEndian
	le.PutUint16(b[0:], cid)
	le.PutUint16(b[2:], tag)
	le.PutUint32(b[4:], offset)
	le.PutUint32(b[8:], length)
	return w.put(t, flags, b[:], data)
}

// Terminate sends a termination request for the error, with the header at fault.
func (w *Writer) Terminate(t Type, e *FatalError, header []byte) error {
	var b [termLen - commonLen]byte
	binary.LittleEndian.PutUint16(b[0:], uint16(e.Status))
	binary.LittleEndian.PutUint32(b[2:], e.Offset)
	w.put(t, 0, b[:], header[:min(len(header), termMost-termLen)])
	return w.Flush()
}
