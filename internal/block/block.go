// Package block holds the few words that fronts, engine and back share: what a block request is and how it
// may end. It holds no behaviour.
package block

import "fmt"

// Kind is what a block request does.
type Kind uint8

const (
	Read Kind = iota
	Write
	Flush
	Discard
	WriteZeroes
	Kinds // how many there are
)

var kindNames = [Kinds]string{"read", "write", "flush", "discard", "write_zeroes"}

func (k Kind) String() string {
	if k < Kinds {
		return kindNames[k]
	}
	return fmt.Sprintf("Kind(%d)", uint8(k))
}

// ParseKind finds a kind by its name.
func ParseKind(s string) (Kind, bool) {
	for k, name := range kindNames {
		if name == s {
			return Kind(k), true
		}
	}
	return 0, false
}

// Changes tells whether a request of this kind changes stored bytes.
func (k Kind) Changes() bool { return k == Write || k == Discard || k == WriteZeroes }

// Verdict is a final answer.
type Verdict uint8

const (
	Served  Verdict = iota
	Refused         // a retry is harmless
	Failed          // no promise
)

func (v Verdict) String() string {
	switch v {
	case Served:
		return "served"
	case Refused:
		return "refused"
	case Failed:
		return "failed"
	}
	return fmt.Sprintf("Verdict(%d)", uint8(v))
}

// Sector is the unit of a virtio-blk address: 512 bytes, whatever the block size.
const Sector = 512
