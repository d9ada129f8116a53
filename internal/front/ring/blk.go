package ring

import (
	"encoding/binary"
	"fmt"

	"appleplank/internal/block"
	"appleplank/internal/engine"
	"appleplank/internal/settings"
)

// Request types and statuses of the block device (virtio 1.2, section 5.2.6).
const (
	typeIn          = 0
	typeOut         = 1
	typeFlush       = 4
	typeGetID       = 8
	typeDiscard     = 11
	typeWriteZeroes = 13

	statusOK    = 0
	statusIOErr = 1
	statusUnsup = 2

	blkHeader  = 16
	rangeLen   = 16 // a discard or write-zeroes segment
	idLen      = 20
	flagUnmap  = 1
	segMax     = 126
	configSize = 60
)

// AdviceLen is the length of the advice record. A client that provides this many more writable bytes before the status
// byte than its request needs finds the record there, whatever the status: the magic "apl1", then, little-endian, a
// 32-bit verdict (0 served, 1 refused: a retry is harmless, 2 failed: no promise) and the 64-bit time in microseconds
// after which a retry can succeed, 0 if there is no advice. Data lengths are multiples of 512, so no request of a
// client that does not know the record has space for it.
const AdviceLen = 16

// AdviceMagic is the first field of the advice record.
const AdviceMagic = 0x316c7061

// request is a request that was taken off a ring.
type request struct {
	op          *engine.Op
	head        uint16
	inFlight    bool // the device owns the descriptor chain
	sent        bool // an attempt was started
	class       int
	in          []seg
	inLen       uint64
	wantsAdvice bool
}

// parsedRequest is what a descriptor chain asks for.
type parsedRequest struct {
	status      uint8 // the immediate answer, if answered is set
	answered    bool
	isGetID     bool
	kind        block.Kind
	offset      int64
	len         int64
	wantsAdvice bool
}

// device is a volume as its clients see it: features, configuration space and limits.
type device struct {
	*settings.Volume
	index    int
	maxBytes int64
}

func (d *device) features() uint64 {
	f := uint64(featSizeMax | featSegMax | featBlkSize | featFlush | featTopology | featMQ | featIndirect | featEventIdx |
		featProtocol | featVersion1)
	if d.ReadOnly {
		return f | featReadOnly
	}
	return f | featDiscard | featWriteZeroes
}

// sizeMax is the largest segment; sizeMax times segMax is at most what one request may move.
func (d *device) sizeMax() uint32 { return uint32(d.maxBytes/128) &^ 4095 }

// config is struct virtio_blk_config (virtio 1.2, section 5.2.4).
func (d *device) config() [configSize]byte {
	var b [configSize]byte
	le := binary.LittleEndian
	le.PutUint64(b[0:], uint64(d.Size/block.Sector))
	le.PutUint32(b[8:], d.sizeMax())
	le.PutUint32(b[12:], segMax)
	le.PutUint32(b[20:], d.BlockSize)
	b[24] = 0 // a physical block is one logical block
	le.PutUint16(b[26:], 1)
	le.PutUint32(b[28:], uint32(d.maxBytes/int64(d.BlockSize)))
	b[32] = 1 // write cache: a flush is needed
	le.PutUint16(b[34:], uint16(d.Queues))
	if !d.ReadOnly {
		maxSectors := uint32(d.maxBytes / block.Sector)
		le.PutUint32(b[36:], maxSectors)
		le.PutUint32(b[40:], 1)
		le.PutUint32(b[44:], d.BlockSize/block.Sector)
		le.PutUint32(b[48:], maxSectors)
		le.PutUint32(b[52:], 1)
	}
	return b
}

// parse reads the header and the lengths of a request. An error means a chain that cannot be answered with a status;
// any other invalid request is answered with an error status.
func (d *device) parse(m *memory, c *chain) (p parsedRequest, err error) {
	if c.inLen < 1 {
		return p, fmt.Errorf("request has no space for its status byte")
	}
	if c.outLen < blkHeader {
		return p, fmt.Errorf("request has a header of %d bytes, want %d", c.outLen, blkHeader)
	}
	var h [blkHeader]byte
	if err := m.copyOut(h[:], c.out, 0); err != nil {
		return p, err
	}
	kind, sector := binary.LittleEndian.Uint32(h[:]), binary.LittleEndian.Uint64(h[8:])
	readable, writable := c.outLen-blkHeader, c.inLen-1
	reject := func(status uint8) (parsedRequest, error) { return parsedRequest{answered: true, status: status}, nil }
	p.wantsAdvice = writable%block.Sector == AdviceLen
	if p.wantsAdvice {
		writable -= AdviceLen
	}
	switch kind {
	case typeIn:
		p.kind, p.len = block.Read, int64(writable)
	case typeOut:
		p.kind, p.len = block.Write, int64(readable)
	case typeFlush:
		p.kind = block.Flush
		return p, nil
	case typeGetID:
		if writable < idLen && c.inLen-1 < idLen {
			return reject(statusIOErr)
		}
		return parsedRequest{isGetID: true}, nil
	case typeDiscard, typeWriteZeroes:
		if d.ReadOnly {
			return reject(statusIOErr)
		}
		if readable != rangeLen {
			return reject(statusIOErr) // one segment at a time, as the configuration says
		}
		var s [rangeLen]byte
		if err := m.copyOut(s[:], c.out, blkHeader); err != nil {
			return p, err
		}
		sector = binary.LittleEndian.Uint64(s[:])
		p.len = int64(binary.LittleEndian.Uint32(s[8:])) * block.Sector
		flags := binary.LittleEndian.Uint32(s[12:])
		p.kind = block.Discard
		if kind == typeWriteZeroes {
			p.kind = block.WriteZeroes
			flags &^= flagUnmap
		}
		if flags != 0 {
			return reject(statusUnsup)
		}
	default:
		return reject(statusUnsup)
	}
	if d.ReadOnly && p.kind.Changes() || p.len <= 0 || p.len%block.Sector != 0 || p.len > d.maxBytes ||
		sector > uint64(d.Size/block.Sector) || p.len > d.Size-int64(sector)*block.Sector {
		return reject(statusIOErr)
	}
	p.offset = int64(sector) * block.Sector
	return p, nil
}

// adviceRecord returns the advice record of an answer.
func adviceRecord(op *engine.Op) (b [AdviceLen]byte) {
	le := binary.LittleEndian
	le.PutUint32(b[0:], AdviceMagic)
	le.PutUint32(b[4:], uint32(op.Verdict))
	le.PutUint64(b[8:], uint64(op.CoolDown))
	return b
}
