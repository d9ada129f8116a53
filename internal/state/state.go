// Package state stores what a gateway has learned in a folder, so that its next process need not learn it again. The
// file is versioned, has a checksum and is replaced atomically. Package recall decides which parts are still valid.
package state

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"

	"appleplank/crossing"
	"appleplank/logic"
	"appleplank/members"
	"appleplank/recall"

	"github.com/fxamacker/cbor/v2"
)

// State is the content of the file.
type State struct {
	Gateway string // name of the gateway that wrote it
	Written recall.Stamp
	Clean   bool // saved at a clean shutdown: the process sent nothing afterwards
	Quiet   bool // with Clean: nothing that the process sent can still be running at a node
	Logic   logic.Snapshot
	Members []members.Memory
	Crossed []crossing.Count   // bytes on the connections to nodes, by volume, class, zone and reason
	Budget  *crossing.Snapshot // of the budget for traffic between zones; nil if not known
	History []crossing.Slot    // Crossed over time
	Copies  []Copies           // mirrored extents, only for reports: after a restart the marks apply
}

// Copies is the condition of the copies of a mirrored extent when the state was saved.
type Copies struct {
	Volume      uint64
	From, Len   int64  // range of bytes in the volume
	Cells       []int  // cells that hold the copies
	Whole       []bool // by copy: it has missed no change
	Stale       int    // number of regions in which a copy is stale
	Moves       uint64 // number of times that the lead changed
	Caught      uint64 // number of runs of bytes that were caught up
	CaughtBytes uint64
	Refused     uint64 // changes refused because too few copies were available
}

// Version is the file version that Encode writes. Decode also reads older ones.
const Version = 4

/*
The file, all integers little-endian:

	offset  bytes
	0       8      "APLSTATE"
	8       4      version
	12      4      length of the content
	16      4      CRC32C of bytes 0 to 15 and the content
	20             content: CBOR (RFC 8949) of State, keys are field names
*/
const (
	magic          = "APLSTATE"
	headerLen      = 20
	maxContentSize = 64 << 20
)

// Errors of Decode for a file that cannot be used.
var (
	ErrDamaged = errors.New("state: the file is damaged")
	ErrNewer   = errors.New("state: the file is of a newer version")
)

var (
	castagnoli = crc32.MakeTable(crc32.Castagnoli)
	encoder    = must(cbor.CoreDetEncOptions().EncMode())
	// The decoder refuses unknown fields, duplicate fields and numbers that do not fit.
	decoder = must(cbor.DecOptions{DupMapKey: cbor.DupMapKeyEnforcedAPF, ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
		MaxArrayElements: 1 << 20, MaxNestedLevels: 16}.DecMode())
)

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// Encode returns the content of a file that holds a state.
func Encode(s *State) ([]byte, error) {
	content, err := encoder.Marshal(s)
	if err != nil {
		return nil, fmt.Errorf("state: %w", err)
	}
	return frame(Version, content), nil
}

func frame(version uint32, content []byte) []byte {
	b := make([]byte, headerLen, headerLen+len(content))
	copy(b, magic)
	binary.LittleEndian.PutUint32(b[8:], version)
	binary.LittleEndian.PutUint32(b[12:], uint32(len(content)))
	b = append(b, content...)
	binary.LittleEndian.PutUint32(b[16:], checksum(b))
	return b
}

func checksum(b []byte) uint32 {
	return crc32.Update(crc32.Checksum(b[:16], castagnoli), castagnoli, b[headerLen:])
}

// Decode parses the content of a file. Its errors wrap [ErrDamaged] or [ErrNewer].
func Decode(b []byte) (*State, error) {
	damaged := func(format string, a ...any) (*State, error) {
		return nil, fmt.Errorf("%w: %s", ErrDamaged, fmt.Sprintf(format, a...))
	}
	if len(b) < headerLen || string(b[:8]) != magic {
		return damaged("no header of a state file (%d bytes)", len(b))
	}
	version, n := binary.LittleEndian.Uint32(b[8:]), binary.LittleEndian.Uint32(b[12:])
	if n > maxContentSize || int(n) != len(b)-headerLen {
		return damaged("%d bytes of content, %d according to the header", len(b)-headerLen, n)
	}
	if got, want := checksum(b), binary.LittleEndian.Uint32(b[16:]); got != want {
		return damaged("checksum %#x, want %#x", got, want)
	}
	if version > Version {
		return nil, fmt.Errorf("%w: %d, this program knows %d", ErrNewer, version, Version)
	}
	s, err := migrate(version, b[headerLen:])
	if err != nil {
		return damaged("version %d: %v", version, err)
	}
	if err := s.Logic.Check(); err != nil {
		return damaged("%v", err)
	}
	return s, nil
}

// migrate decodes the content of a file of the given version.
func migrate(version uint32, content []byte) (*State, error) {
	switch version {
	case 1:
		// Version 1 is from before the first merge. It has no members and does not record a clean shutdown.
		var old struct {
			Gateway string
			Written recall.Stamp
			Logic   logic.Snapshot
		}
		if err := decoder.Unmarshal(content, &old); err != nil {
			return nil, err
		}
		s := &State{Gateway: old.Gateway, Written: old.Written, Logic: old.Logic}
		for _, n := range old.Logic.Nodes {
			s.Members = append(s.Members, members.Memory{ID: n.Node.ID, Started: n.Node.Started, Refused: logic.Never})
		}
		return s, nil
	case 2, 3, 4: // version 2 has no traffic between zones, version 3 no history and no copies
		s := &State{}
		return s, decoder.Unmarshal(content, s)
	}
	return nil, fmt.Errorf("unknown version")
}
