package sesamework

import (
	"slices"
	"time"

	"github.com/sesamestack/sesamestack/sesamerows"
)

// evacuationMarker is the name of the row in the RunTable of an evacuated zone. It
// is the name of no unit, so no run has it.
const evacuationMarker = "evacuated"

// EvacuationKey returns the key of the row that is in the RunTable of a zone while
// the zone is evacuated, so that its agents start nothing. Its value has no meaning.
func EvacuationKey(zone string) sesamerows.Key {
	return sesamerows.Key{
		Table: RunTable(zone),
		Part:  PlanPart,
		Name:  evacuationMarker,
	}
}

// Evacuations are the zones that operators have evacuated, as last read from the
// store.
type Evacuations struct {
	// Zones are their names, in order.
	Zones []string
	// ReadAt is when they were read, on the store's clock; 0 before the first
	// reading.
	ReadAt time.Duration
	// Age is how long ago the answer came.
	Age time.Duration
}

// Contains reports whether the zone is evacuated.
func (e Evacuations) Contains(zone string) bool {
	_, found := slices.BinarySearch(e.Zones, zone)
	return found
}
