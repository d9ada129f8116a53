// Package block holds the terms that fronts, engine and back share: the kinds of block requests, their attempts, and
// how they end. It makes no decisions.
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
	KindCount // the number of kinds
)

var kindNames = [KindCount]string{"read", "write", "flush", "discard", "write_zeroes"}

func (k Kind) String() string {
	if k < KindCount {
		return kindNames[k]
	}
	return fmt.Sprintf("Kind(%d)", uint8(k))
}

// ParseKind returns the kind with the given name.
func ParseKind(s string) (Kind, bool) {
	for k, name := range kindNames {
		if name == s {
			return Kind(k), true
		}
	}
	return 0, false
}

// Changes reports whether a request of this kind changes stored data.
func (k Kind) Changes() bool { return k == Write || k == Discard || k == WriteZeroes }

// Verdict is the final result of a request.
type Verdict uint8

const (
	Served  Verdict = iota
	Refused         // a retry is harmless
	Failed          // it is unknown whether the request took effect
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

// Sector is the unit of addresses in virtio-blk: 512 bytes, whatever the block size.
const Sector = 512
