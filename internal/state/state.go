// Package state keeps what a gateway has learned in a folder, so that its next process need not learn it again. The
// file is versioned and checksummed; it is replaced whole and never half written. What of it still counts is decided
// by package recall.
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
	Gateway string // whose it is
	Written recall.Stamp
	Clean   bool // its process ended by itself after this; nothing was sent since
	Quiet   bool // and nothing that it had sent may still run at a node
	Logic   logic.Snapshot
	Members []members.Memory
	Crossed []crossing.Count   // bytes on the connections to nodes, by what they were for
	Budget  *crossing.Snapshot // for what crosses zones; nil: not known
	History []crossing.Slot    // the same over time
	Copies  []Copies           // of mirrored extents, as a report; what counts are the marks
}

// Copies is how the copies of a mirrored extent were.
type Copies struct {
	Volume      uint64
	From, Len   int64  // bytes of the volume
	Cells       []int  // where the copies lie
	Whole       []bool // which of them missed nothing
	Stale       int    // regions in which one is stale
	Moves       uint64 // of leads
	Caught      uint64 // runs caught up
	CaughtBytes uint64
	Refused     uint64 // changes that too few copies could take
}

// Version is the version that is written. Older ones are read by way of migrate.
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
	magic     = "APLSTATE"
	headerLen = 20
	mostBytes = 64 << 20
)

// Errors of a file that cannot be used.
var (
	ErrDamaged = errors.New("state: the file is damaged")
	ErrNewer   = errors.New("state: the file is of a newer version")
)

var (
	castagnoli = crc32.MakeTable(crc32.Castagnoli)
	encoder    = must(cbor.CoreDetEncOptions().EncMode())
	// A field that is not known, one that stands twice, or a number that does not fit is an error.
	decoder = must(cbor.DecOptions{DupMapKey: cbor.DupMapKeyEnforcedAPF, ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
		MaxArrayElements: 1 << 20, MaxNestedLevels: 16}.DecMode())
)

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// Encode makes a file of a state.
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
	binary.LittleEndian.PutUint32(b[16:], sum(b))
	return b
}

func sum(b []byte) uint32 {
	return crc32.Update(crc32.Checksum(b[:16], castagnoli), castagnoli, b[headerLen:])
}

// Decode reads a file. The error wraps [ErrDamaged] or [ErrNewer].
func Decode(b []byte) (*State, error) {
	bad := func(format string, a ...any) (*State, error) {
		return nil, fmt.Errorf("%w: %s", ErrDamaged, fmt.Sprintf(format, a...))
	}
	if len(b) < headerLen || string(b[:8]) != magic {
		return bad("it does not begin as one (%d bytes)", len(b))
	}
	version, n := binary.LittleEndian.Uint32(b[8:]), binary.LittleEndian.Uint32(b[12:])
	if n > mostBytes || int(n) != len(b)-headerLen {
		return bad("it has %d bytes of content and says %d", len(b)-headerLen, n)
	}
	if got, want := sum(b), binary.LittleEndian.Uint32(b[16:]); got != want {
		return bad("checksum %#x, want %#x", got, want)
	}
	if version > Version {
		return nil, fmt.Errorf("%w: %d, this program knows %d", ErrNewer, version, Version)
	}
	s, err := migrate(version, b[headerLen:])
	if err != nil {
		return bad("version %d: %v", version, err)
	}
	if err := s.Logic.Check(); err != nil {
		return bad("%v", err)
	}
	return s, nil
}

// migrate reads the content of a version.
func migrate(version uint32, content []byte) (*State, error) {
	switch version {
	case 1:
		// Version 1, the form before the first landing, had no members and did not say whether its process ended by itself.
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
	case 2, 3, 4: // version 2 had nothing of what crosses, version 3 no history and no copies
		s := &State{}
		return s, decoder.Unmarshal(content, s)
	}
	return nil, fmt.Errorf("no such version")
}
