package quota

const (
	// A watch on discovery may read at once what its rate allows in listBurstTime. Each list, or empty line between lists,
	// counts as lineCost bytes more.
	listBurstTime = 4 // seconds
	lineCost      = 256
)

// Listing is the quota of a watch on discovery.
type Listing struct{ Bucket }

// NewListing returns the quota of a new watch that reads the given number of bytes a second.
func NewListing(perSecond float64) *Listing {
	burst := listBurstTime * perSecond
	return &Listing{Bucket{perSecond: perSecond, burst: burst, tokens: burst}}
}

// CountRead counts bytes that were read.
func (l *Listing) CountRead(bytes int) { l.Take(float64(bytes)) }

// CountLine counts a list or an empty line.
func (l *Listing) CountLine() { l.Take(lineCost) }
