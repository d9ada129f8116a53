package copies

import (
	"fmt"
	"slices"
)

// CopyID identifies a copy independently of the order in which the settings list copies.
type CopyID struct {
	Cell      int
	Namespace uint32
}

// Record is the stored form of a mark: the copy that leads a range of bytes of a volume. It depends neither on the
// order of extents and copies nor on the region size, so that these may change.
type Record struct {
	Volume    uint64
	From, Len int64 // bytes of the volume
	CopyID
}

// Extent is a range of a volume's bytes with all its copies, one or more.
type Extent struct {
	Start, Len int64
	Copies     []CopyID
}

// Volume describes a volume as needed to interpret its records.
type Volume struct {
	ID      uint64
	Name    string
	Extents []Extent
}

// Record returns the stored form of a mark.
func (v *Volume) Record(extent int, m Mark, region int64) Record {
	x := &v.Extents[extent]
	from := m.Region * region
	return Record{v.ID, x.Start + from, min(region, x.Len-from), x.Copies[m.Lead]}
}

// RegionMark is a mark with the volume and the mirrored extent that it belongs to.
type RegionMark struct {
	Volume, Extent int // indexes
	Mark
}

// RestoredMarks is the result of interpreting the records of an earlier process.
type RestoredMarks struct {
	Marks                  []RegionMark
	Replaced, Replacements []Record // Replacements must replace Replaced: the region boundaries have changed
	Unknown                []Record // records of volumes that do not exist; they stay as they are
}

// RestoreMarks interprets the records of an earlier process. It returns an error if the lead of a record is no longer a
// copy or if a region would have two leads: going on would give up the only copy that certainly holds what was served.
func RestoreMarks(records []Record, volumes []Volume, region int64) (out RestoredMarks, err error) {
	type regionKey struct {
		volume, extent int
		region         int64
	}
	leads := map[regionKey]int{}
	for _, r := range records {
		i := slices.IndexFunc(volumes, func(v Volume) bool { return v.ID == r.Volume })
		if i < 0 {
			out.Unknown = append(out.Unknown, r)
			continue
		}
		v := &volumes[i]
		unchanged := false
		for j := range v.Extents {
			x := &v.Extents[j]
			lo, hi := max(r.From, x.Start)-x.Start, min(r.From+r.Len, x.Start+x.Len)-x.Start
			if lo >= hi {
				continue
			}
			lead := slices.Index(x.Copies, r.CopyID)
			if lead < 0 {
				return out, fmt.Errorf("copies: volume %q, %d bytes from %d: the copy at cell %d, namespace %d, may be the only whole one and is no copy any more; put it back until the others are caught up",
					v.Name, r.Len, r.From, r.Cell, r.Namespace)
			}
			for n := lo / region; n*region < hi && len(x.Copies) > 1; n++ {
				k := regionKey{i, j, n}
				previous, seen := leads[k]
				if seen && previous != lead {
					return out, fmt.Errorf("copies: volume %q, %d bytes from %d: parts of one region have different leads; set the region size back to %d bytes until all copies are caught up",
						v.Name, r.Len, r.From, r.Len)
				}
				if leads[k] = lead; seen {
					continue
				}
				at := RegionMark{i, j, Mark{n, lead}}
				current := v.Record(j, at.Mark, region)
				unchanged = unchanged || current == r
				out.Marks, out.Replacements = append(out.Marks, at), append(out.Replacements, current)
			}
		}
		if !unchanged {
			out.Replaced = append(out.Replaced, r)
		}
	}
	return out, nil
}
