package copies

import (
	"fmt"
	"slices"
)

// Place names a copy without regard to the order in which settings list copies.
type Place struct {
	Cell      int
	Namespace uint32
}

// Record is a mark as it outlasts the process: which copy of some bytes of a volume leads. It does not depend on the order
// of extents and copies, nor on the length of regions, so that those may change.
type Record struct {
	Volume    uint64
	From, Len int64 // bytes of the volume
	Place
}

// Extent is a run of a volume's bytes with all its copies, one or more.
type Extent struct {
	Start, Len int64
	Copies     []Place
}

// Volume is what is to be known of a volume to read its records.
type Volume struct {
	ID      uint64
	Name    string
	Extents []Extent
}

// Record is that of a mark.
func (v *Volume) Record(extent int, m Mark, region int64) Record {
	x := &v.Extents[extent]
	from := m.Region * region
	return Record{v.ID, x.Start + from, min(region, x.Len-from), x.Copies[m.Lead]}
}

// At is a region of a mirrored extent.
type At struct {
	Volume, Extent int // indexes
	Mark
}

// Recalled is what records of an earlier process come to.
type Recalled struct {
	Marks     []At
	Old, With []Record // With must take the place of Old, as regions are cut another way now
	Unknown   []Record // of volumes that are not there; they are left alone
}

// Recall reads records. It gives an error where what they say cannot be kept to, as to go on would give up the only copy
// that surely holds what was served: a lead that is no copy any more, or two of them in one region.
func Recall(records []Record, volumes []Volume, region int64) (out Recalled, err error) {
	type place struct {
		volume, extent int
		region         int64
	}
	leads := map[place]int{}
	for _, r := range records {
		i := slices.IndexFunc(volumes, func(v Volume) bool { return v.ID == r.Volume })
		if i < 0 {
			out.Unknown = append(out.Unknown, r)
			continue
		}
		v := &volumes[i]
		same := false
		for j := range v.Extents {
			x := &v.Extents[j]
			lo, hi := max(r.From, x.Start)-x.Start, min(r.From+r.Len, x.Start+x.Len)-x.Start
			if lo >= hi {
				continue
			}
			lead := slices.Index(x.Copies, r.Place)
			if lead < 0 {
				return out, fmt.Errorf("copies: volume %q, %d bytes from %d: the copy at cell %d, namespace %d, may be the only whole one and is no copy any more; put it back until the others are caught up",
					v.Name, r.Len, r.From, r.Cell, r.Namespace)
			}
			for n := lo / region; n*region < hi && len(x.Copies) > 1; n++ {
				k := place{i, j, n}
				before, twice := leads[k]
				if twice && before != lead {
					return out, fmt.Errorf("copies: volume %q, %d bytes from %d: parts of one region have different leads; set the regions back to %d bytes until all is caught up",
						v.Name, r.Len, r.From, r.Len)
				}
				if leads[k] = lead; twice {
					continue
				}
				at := At{i, j, Mark{n, lead}}
				mine := v.Record(j, at.Mark, region)
				same = same || mine == r
				out.Marks, out.With = append(out.Marks, at), append(out.With, mine)
			}
		}
		if !same {
			out.Old = append(out.Old, r)
		}
	}
	return out, nil
}
