package copies

import (
	"reflect"
	"strings"
	"testing"
)

func TestRecall(t *testing.T) {
	a, b, c := CopyID{0, 1}, CopyID{1, 1}, CopyID{2, 7}
	volume := func(x ...Extent) []Volume { return []Volume{{5, "orders", x}} }
	two := volume(Extent{0, 1000, []CopyID{a, b}}, Extent{1000, 950, []CopyID{c, a}})
	mark := func(extent int, region int64, lead int) RegionMark { return RegionMark{0, extent, Mark{region, lead}} }
	for _, x := range []struct {
		name    string
		records []Record
		volumes []Volume
		region  int64
		marks   []RegionMark
		old     int
		err     string
	}{
		{"as they were", []Record{{5, 0, 100, a}, {5, 300, 100, b}, {5, 1900, 50, a}}, two, 100, []RegionMark{mark(0, 0, 0), mark(0, 3, 1), mark(1, 9, 1)}, 0, ""},
		{"copies in another order", []Record{{5, 300, 100, b}}, volume(Extent{0, 1000, []CopyID{b, a}}), 100, []RegionMark{mark(0, 3, 0)}, 0, ""},
		{"smaller regions", []Record{{5, 300, 100, b}}, two, 50, []RegionMark{mark(0, 6, 1), mark(0, 7, 1)}, 1, ""},
		{"larger regions", []Record{{5, 300, 100, b}, {5, 400, 100, b}}, two, 500, []RegionMark{mark(0, 0, 1)}, 2, ""},
		{"larger ones with two leads", []Record{{5, 0, 100, b}, {5, 100, 100, a}}, two, 500, nil, 0, "different leads"},
		{"the lead is no copy any more", []Record{{5, 0, 100, c}}, two, 100, nil, 0, "put it back"},
		{"the lead is the only copy now", []Record{{5, 0, 100, b}}, volume(Extent{0, 1000, []CopyID{b}}), 100, nil, 1, ""},
		{"the only copy now is another", []Record{{5, 0, 100, b}}, volume(Extent{0, 1000, []CopyID{a}}), 100, nil, 0, "put it back"},
		{"another volume's", []Record{{6, 0, 100, c}}, two, 100, nil, 0, ""},
	} {
		got, err := RestoreMarks(x.records, x.volumes, x.region)
		if (err != nil) != (x.err != "") || err != nil && !strings.Contains(err.Error(), x.err) {
			t.Errorf("%s: %v", x.name, err)
		}
		if err == nil && (!reflect.DeepEqual(got.Marks, x.marks) || len(got.Replaced) != x.old || len(got.Replacements) != len(x.marks)) {
			t.Errorf("%s: %+v, want %+v", x.name, got, x.marks)
		}
		if err == nil && x.old == 0 && x.marks != nil && !reflect.DeepEqual(got.Replacements, x.records) {
			t.Errorf("%s: records become %+v", x.name, got.Replacements)
		}
	}
	if got, _ := RestoreMarks([]Record{{6, 0, 100, c}}, two, 100); len(got.Unknown) != 1 || len(got.Replaced) != 0 {
		t.Errorf("another volume's record: %+v", got)
	}
}
