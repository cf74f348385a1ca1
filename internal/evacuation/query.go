package evacuation

import (
	"maps"
	"slices"
	"time"

	"github.com/jaybarrow/jaybarrow"
)

// InForce reports whether the data centre is being evacuated; it does not block.
func (s *Set) InForce(id jaybarrow.DataCentreID) bool { return s.current.Load().inForce[id] }

// DataCentres returns the data centres that are being evacuated, sorted.
func (s *Set) DataCentres() []jaybarrow.DataCentreID {
	return slices.Sorted(maps.Keys(s.current.Load().inForce))
}

// Age returns the age of the last reading; false before the first complete list.
func (s *Set) Age(now time.Time) (time.Duration, bool) {
	r := s.current.Load()
	return now.Sub(r.at), r.known
}

// MayStart reports whether the last reading is recent enough to start tasks by it; it does not block.
func (s *Set) MayStart(now time.Time) bool {
	age, known := s.Age(now)
	return mayStart(known, age, s.settings.Bound)
}

// MayLead reports whether the last reading is recent enough to begin to lead by it.
func (s *Set) MayLead(now time.Time) bool {
	age, known := s.Age(now)
	return mayLead(known, age, s.settings.Bound, s.settings.MaxLeadAge)
}

// Changed returns a channel that is closed at the next change of the evacuations in force.
func (s *Set) Changed() <-chan struct{} { return s.changed.Changed() }

// missing returns the data centres of the first set that are not in the second, sorted.
func missing(from, in map[jaybarrow.DataCentreID]bool) []jaybarrow.DataCentreID {
	var out []jaybarrow.DataCentreID
	for _, id := range slices.Sorted(maps.Keys(from)) {
		if !in[id] {
			out = append(out, id)
		}
	}
	return out
}
