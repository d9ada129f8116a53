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

// AdviceLen is the length of the advice record. A client that leaves so many more writable bytes before the status
// byte than its request needs finds it there, whatever the status: the magic "apl1", then little-endian a 32-bit
// verdict (0 served, 1 refused: a retry is harmless, 2 failed: no promise) and the 64-bit time in microseconds after
// which a retry has a chance, 0 where there is no advice. Data lengths are multiples of 512, so no request of a
// client that knows nothing of it has room for it.
const AdviceLen = 16

// AdviceMagic begins the record.
const AdviceMagic = 0x316c7061

// request is one that was taken off a ring.
type request struct {
	op     *engine.Op
	head   uint16
	busy   bool // the client's descriptors are ours
	sent   bool // an attempt was begun
	class  int
	in     []seg
	inLen  uint64
	advice bool
}

// parsed is what a chain asks for.
type parsed struct {
	status uint8 // answer at once, where answered is set
	done   bool
	id     bool
	kind   block.Kind
	offset int64
	len    int64
	advice bool
}

// device is what a volume shows of itself.
type device struct {
	*settings.Volume
	index     int
	mostBytes int64
}

func (d *device) features() uint64 {
	f := uint64(featSizeMax | featSegMax | featBlkSize | featFlush | featTopology | featMQ | featIndirect | featEventIdx |
		featProtocol | featVersion1)
	if d.ReadOnly {
		return f | featReadOnly
	}
	return f | featDiscard | featWriteZeroes
}

// sizeMax times segMax is what one request may move.
func (d *device) sizeMax() uint32 { return uint32(d.mostBytes/128) &^ 4095 }

// config is struct virtio_blk_config (virtio 1.2, section 5.2.4).
func (d *device) config() [configSize]byte {
	var b [configSize]byte
	le := binary.LittleEndian
	le.PutUint64(b[0:], uint64(d.Size/block.Sector))
	le.PutUint32(b[8:], d.sizeMax())
	le.PutUint32(b[12:], segMax)
	le.PutUint32(b[20:], d.BlockSize)
	b[24] = 0 // a physical block is a logical one
	le.PutUint16(b[26:], 1)
	le.PutUint32(b[28:], uint32(d.mostBytes/int64(d.BlockSize)))
	b[32] = 1 // write cache: a flush is needed
	le.PutUint16(b[34:], uint16(d.Queues))
	if !d.ReadOnly {
		most := uint32(d.mostBytes / block.Sector)
		le.PutUint32(b[36:], most)
		le.PutUint32(b[40:], 1)
		le.PutUint32(b[44:], d.BlockSize/block.Sector)
		le.PutUint32(b[48:], most)
		le.PutUint32(b[52:], 1)
	}
	return b
}

// parse reads a request's header and lengths. An error is a chain that no status can answer; anything else that is
// wrong with a request is answered by its status.
func (d *device) parse(m *memory, c *chain) (p parsed, err error) {
	if c.inLen < 1 {
		return p, fmt.Errorf("a request has no room for its status")
	}
	if c.outLen < blkHeader {
		return p, fmt.Errorf("a request has a header of %d bytes, want %d", c.outLen, blkHeader)
	}
	var h [blkHeader]byte
	if err := m.copyOut(h[:], c.out, 0); err != nil {
		return p, err
	}
	kind, sector := binary.LittleEndian.Uint32(h[:]), binary.LittleEndian.Uint64(h[8:])
	data, room := c.outLen-blkHeader, c.inLen-1
	reject := func(status uint8) (parsed, error) { return parsed{done: true, status: status}, nil }
	p.advice = room%block.Sector == AdviceLen
	if p.advice {
		room -= AdviceLen
	}
	switch kind {
	case typeIn:
		p.kind, p.len = block.Read, int64(room)
	case typeOut:
		p.kind, p.len = block.Write, int64(data)
	case typeFlush:
		p.kind = block.Flush
		return p, nil
	case typeGetID:
		if room < idLen && c.inLen-1 < idLen {
			return reject(statusIOErr)
		}
		return parsed{id: true}, nil
	case typeDiscard, typeWriteZeroes:
		if d.ReadOnly {
			return reject(statusIOErr)
		}
		if data != rangeLen {
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
	if d.ReadOnly && p.kind.Changes() || p.len <= 0 || p.len%block.Sector != 0 || p.len > d.mostBytes ||
		sector > uint64(d.Size/block.Sector) || p.len > d.Size-int64(sector)*block.Sector {
		return reject(statusIOErr)
	}
	p.offset = int64(sector) * block.Sector
	return p, nil
}

// advise makes the advice record of an answer.
func advise(op *engine.Op) (b [AdviceLen]byte) {
	le := binary.LittleEndian
	le.PutUint32(b[0:], AdviceMagic)
	le.PutUint32(b[4:], uint32(op.Verdict))
	le.PutUint64(b[8:], uint64(op.CoolDown))
	return b
}
