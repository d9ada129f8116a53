// Package nvme holds what both sides of NVMe over TCP share: the PDUs of the NVMe/TCP Transport Specification 1.0, the
// commands and completions of the NVM Express Base Specification 2.0 and the NVM Command Set Specification 1.0, and the
// data structures that are transferred with them. All integers on the wire are little-endian. The package parses and
// builds; it keeps no state of a connection beyond what framing needs and makes no decisions.
package nvme

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
)

// Type is the type of a PDU (TCP Transport, section 3.6.1).
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
	FlagLast    = 1 << 2 // H2CData, C2HData: the last PDU of the transfer
	FlagSuccess = 1 << 3 // C2HData: no CapsuleResp follows
)

// Lengths in bytes.
const (
	commonLen  = 8
	icLen      = 128
	capsuleLen = 72
	respLen    = 24
	dataLen    = 24
	termLen    = 24
	maxTermLen = 152 // a termination request carries at most 128 bytes of the offending PDU
	digestLen  = 4
)

// headerLen returns the HLEN of a PDU type, 0 if the type is unknown.
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

// FatalError is a protocol violation after which the connection must be terminated.
type FatalError struct {
	Status FES
	Offset uint32 // of the offending field, if one can be named
	Text   string
}

func (e *FatalError) Error() string { return "nvme/tcp: " + e.Text }

func fatalf(s FES, offset uint32, format string, a ...any) error {
	return &FatalError{s, offset, fmt.Sprintf(format, a...)}
}

// ErrDataDigest reports that the data of a PDU is damaged. The connection stays usable, but the command must not
// succeed.
var ErrDataDigest = errors.New("nvme/tcp: data digest does not match")

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Header is the validated header of a PDU. The data follows on the connection.
type Header struct {
	Type    Type
	Flags   uint8
	DataLen int // length of the data that follows, in bytes
	PDULen  int // length of the whole PDU, in bytes
	raw     [icLen]byte
}

// Raw returns the header with the common header, as received; valid until the next PDU is read.
func (h *Header) Raw() []byte { return h.raw[:headerLen(h.Type)] }

// Command returns the submission queue entry of a CapsuleCmd; valid until the next PDU is read.
func (h *Header) Command() *Command { return (*Command)(h.raw[commonLen:capsuleLen]) }

// Completion returns the completion queue entry of a CapsuleResp; valid until the next PDU is read.
func (h *Header) Completion() *Completion { return (*Completion)(h.raw[commonLen:respLen]) }

// Transfer returns the fields of H2CData, C2HData and R2T: command identifier, transfer tag, offset and length.
func (h *Header) Transfer() (cid, tag uint16, offset, length uint32) {
	le := binary.LittleEndian
	return le.Uint16(h.raw[8:]), le.Uint16(h.raw[10:]), le.Uint32(h.raw[12:]), le.Uint32(h.raw[16:])
}

// Term returns the status and the field offset of a termination request.
func (h *Header) Term() (FES, uint32) {
	le := binary.LittleEndian
	return FES(le.Uint16(h.raw[8:])), le.Uint32(h.raw[10:])
}

// Params are the parameters that ICReq and ICResp negotiate.
type Params struct {
	Align         int  // data offsets of PDUs to the sender are multiples of this, 4 to 128 bytes
	HeaderDigest  bool // requested by ICReq, granted by ICResp
	DataDigest    bool
	MaxR2T        uint32 // ICReq: maximum number of outstanding R2Ts of one command
	MaxH2CData    uint32 // ICResp: maximum data length of one H2CData PDU, in bytes
	FormatVersion uint16
}

// Params parses ICReq or ICResp (TCP Transport, sections 3.6.2.1 and 3.6.2.2).
func (h *Header) Params() (Params, error) {
	le := binary.LittleEndian
	p := Params{FormatVersion: le.Uint16(h.raw[8:]), HeaderDigest: h.raw[11]&1 != 0, DataDigest: h.raw[11]&2 != 0}
	if p.FormatVersion != 0 {
		return p, fatalf(FESUnsupported, 8, "%v has PDU format version %d", h.Type, p.FormatVersion)
	}
	if h.raw[10] > 31 {
		return p, fatalf(FESHeaderField, 10, "%v has data alignment %d, maximum is 31", h.Type, h.raw[10])
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
			return p, fatalf(FESHeaderField, 12, "ICResp has MAXH2CDATA %d, minimum is 4096", v)
		}
	}
	return p, nil
}

// Reader reads PDUs from a connection. Every length is validated before it is used.
type Reader struct {
	br            *bufio.Reader
	HeaderDigest  bool
	DataDigest    bool
	MaxData       int // maximum data length of one PDU; more is a fatal error
	remaining     int // bytes of data of the current PDU that have not been read
	hasDataDigest bool
	scratch       [digestLen]byte
}

// NewReader returns a Reader of r. Digests are off until ICReq and ICResp have been exchanged.
func NewReader(r io.Reader, maxData int) *Reader {
	return &Reader{br: bufio.NewReaderSize(r, 32<<10), MaxData: maxData}
}

// Next reads the header of the next PDU. The data of the previous PDU must have been read or skipped. At the end of the
// stream Next returns io.EOF between two PDUs and io.ErrUnexpectedEOF within one.
func (r *Reader) Next(h *Header) error {
	if r.remaining != 0 {
		return errors.New("nvme/tcp: data of the previous PDU was not read")
	}
	if _, err := io.ReadFull(r.br, h.raw[:commonLen]); err != nil {
		return err
	}
	h.Type, h.Flags = Type(h.raw[0]), h.raw[1]
	hlen, pdo := int(h.raw[2]), int(h.raw[3])
	plen := binary.LittleEndian.Uint32(h.raw[4:])
	wantLen := headerLen(h.Type)
	if wantLen == 0 {
		return fatalf(FESHeaderField, 0, "unknown %v", h.Type)
	}
	if hlen != wantLen {
		return fatalf(FESHeaderField, 2, "%v has HLEN %d, want %d", h.Type, hlen, wantLen)
	}
	if err := readFull(r.br, h.raw[commonLen:hlen]); err != nil {
		return err
	}
	headerEnd := hlen
	if hd := h.Flags&FlagHDGST != 0; hd != r.headerDigested(h.Type) {
		return fatalf(FESHeaderField, 1, "%v has header digest %v, negotiated was %v", h.Type, hd, !hd)
	} else if hd {
		if err := readFull(r.br, r.scratch[:]); err != nil {
			return err
		}
		if binary.LittleEndian.Uint32(r.scratch[:]) != crc32.Checksum(h.raw[:hlen], castagnoli) {
			return fatalf(FESHeaderDigest, 0, "%v: header digest does not match", h.Type)
		}
		headerEnd += digestLen
	}
	h.DataLen, h.PDULen, r.hasDataDigest = 0, int(plen), false
	if plen == uint32(headerEnd) {
		if h.Type == C2HData || h.Type == H2CData {
			return fatalf(FESHeaderField, 4, "%v carries no data", h.Type)
		}
		return nil
	}
	if !carriesData(h.Type) || plen < uint32(headerEnd) {
		return fatalf(FESHeaderField, 4, "%v has PLEN %d, want %d", h.Type, plen, headerEnd)
	}
	if h.Type == H2CTermReq || h.Type == C2HTermReq {
		if plen > maxTermLen {
			return fatalf(FESHeaderField, 4, "%v has PLEN %d", h.Type, plen)
		}
		h.DataLen = int(plen) - headerEnd
		r.remaining = h.DataLen
		return nil
	}
	if pdo < headerEnd || pdo%4 != 0 || uint32(pdo) >= plen {
		return fatalf(FESHeaderField, 3, "%v has PDO %d in %d bytes after a header of %d", h.Type, pdo, plen, headerEnd)
	}
	n := int64(plen) - int64(pdo)
	if dd := h.Flags&FlagDDGST != 0; dd != r.DataDigest {
		return fatalf(FESHeaderField, 1, "%v has data digest %v, negotiated was %v", h.Type, dd, !dd)
	} else if dd {
		r.hasDataDigest = true
		n -= digestLen
	}
	if n <= 0 || n > int64(r.MaxData) {
		return fatalf(FESHeaderField, 4, "%v carries %d bytes of data, maximum is %d", h.Type, n, r.MaxData)
	}
	if _, err := r.br.Discard(pdo - headerEnd); err != nil {
		return unexpectedEOF(err)
	}
	h.DataLen = int(n)
	r.remaining = h.DataLen
	return nil
}

func (r *Reader) headerDigested(t Type) bool {
	return r.HeaderDigest && t != ICReq && t != ICResp && t != H2CTermReq && t != C2HTermReq
}

func carriesData(t Type) bool {
	return t == CapsuleCmd || t == H2CData || t == C2HData || t == H2CTermReq || t == C2HTermReq
}

// Data reads the data of the current PDU, whose length must be that of dst. After [ErrDataDigest] the stream is still
// intact.
func (r *Reader) Data(dst []byte) error {
	if len(dst) != r.remaining {
		return fmt.Errorf("nvme/tcp: PDU has %d bytes of data, want %d", r.remaining, len(dst))
	}
	if err := readFull(r.br, dst); err != nil {
		return err
	}
	r.remaining = 0
	if !r.hasDataDigest {
		return nil
	}
	if err := readFull(r.br, r.scratch[:]); err != nil {
		return err
	}
	if binary.LittleEndian.Uint32(r.scratch[:]) != crc32.Checksum(dst, castagnoli) {
		return ErrDataDigest
	}
	return nil
}

// Skip discards the data of the current PDU.
func (r *Reader) Skip() error {
	n := r.remaining
	if r.hasDataDigest && n > 0 {
		n += digestLen
	}
	r.remaining = 0
	_, err := r.br.Discard(n)
	return unexpectedEOF(err)
}

// readFull fills b from r. The end of the stream is reported as io.ErrUnexpectedEOF.
func readFull(r io.Reader, b []byte) error {
	_, err := io.ReadFull(r, b)
	return unexpectedEOF(err)
}

// unexpectedEOF turns the end of the stream within a PDU into io.ErrUnexpectedEOF.
func unexpectedEOF(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

// Writer writes PDUs to a connection, buffered; Flush sends them. As in bufio, an error persists for all later calls.
type Writer struct {
	bw           *bufio.Writer
	HeaderDigest bool
	DataDigest   bool
	Align        int // of data, as the peer requested
	buf          [icLen + digestLen + 128]byte
}

// NewWriter returns a Writer to w.
func NewWriter(w io.Writer) *Writer { return &Writer{bw: bufio.NewWriterSize(w, 64<<10), Align: 4} }

// Flush sends the buffered PDUs.
func (w *Writer) Flush() error { return w.bw.Flush() }

// Capsules and transfers differ only in the length of their headers, so a sender can compute the size of a PDU before
// it sends it.

// CapsuleSize returns the length in bytes of a command capsule with data bytes of in-capsule data.
func (w *Writer) CapsuleSize(data int) int { return w.pduSize(capsuleLen, data) }

// TransferSize returns the length in bytes of an H2CData PDU with data bytes of data.
func (w *Writer) TransferSize(data int) int { return w.pduSize(dataLen, data) }

func (w *Writer) pduSize(header, data int) int {
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

// writePDU writes a PDU; header is the part of its header that follows the common header.
func (w *Writer) writePDU(t Type, flags uint8, header, data []byte) error {
	hlen := commonLen + len(header)
	headerEnd := hlen
	digested := w.HeaderDigest && t != ICReq && t != ICResp && t != H2CTermReq && t != C2HTermReq
	if digested {
		flags |= FlagHDGST
		headerEnd += digestLen
	}
	plen, pdo := headerEnd, 0
	isTerm := t == H2CTermReq || t == C2HTermReq
	if len(data) > 0 {
		pdo = headerEnd
		if !isTerm {
			pdo = (headerEnd + w.Align - 1) / w.Align * w.Align
		}
		plen = pdo + len(data)
		if w.DataDigest && !isTerm {
			flags |= FlagDDGST
			plen += digestLen
		}
	}
	b := w.buf[:0]
	b = append(b, uint8(t), flags, uint8(hlen), uint8(pdo))
	if isTerm {
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
	if len(data) > 0 && w.DataDigest && !isTerm {
		binary.LittleEndian.PutUint32(w.buf[:], crc32.Checksum(data, castagnoli))
		_, err = w.bw.Write(w.buf[:digestLen])
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
	return w.writePDU(t, 0, b[:], nil)
}

// Capsule sends a command with its in-capsule data, if any.
func (w *Writer) Capsule(c *Command, data []byte) error { return w.writePDU(CapsuleCmd, 0, c[:], data) }

// Response sends a completion.
func (w *Writer) Response(c *Completion) error { return w.writePDU(CapsuleResp, 0, c[:], nil) }

// Transfer sends H2CData, C2HData or R2T; for an R2T data is nil and length is the number of bytes requested.
func (w *Writer) Transfer(t Type, flags uint8, cid, tag uint16, offset, length uint32, data []byte) error {
	var b [dataLen - commonLen]byte
	le := binary.LittleEndian
	le.PutUint16(b[0:], cid)
	le.PutUint16(b[2:], tag)
	le.PutUint32(b[4:], offset)
	le.PutUint32(b[8:], length)
	return w.writePDU(t, flags, b[:], data)
}

// Terminate sends a termination request for the error, with the offending header.
func (w *Writer) Terminate(t Type, e *FatalError, header []byte) error {
	var b [termLen - commonLen]byte
	binary.LittleEndian.PutUint16(b[0:], uint16(e.Status))
	binary.LittleEndian.PutUint32(b[2:], e.Offset)
	w.writePDU(t, 0, b[:], header[:min(len(header), maxTermLen-termLen)])
	return w.Flush()
}
