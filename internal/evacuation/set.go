package evacuation

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/notify"
)

// Settings are the bounds of a Set.
type Settings struct {
	// Bound is the time after the store has acknowledged an evacuation from which no task may start in the data centre; 0 when the platform sets none.
	Bound time.Duration
	// MaxLeadAge is the largest age of a reading at which a host may begin to lead where the platform sets no bound.
	MaxLeadAge time.Duration
}

// Set is the set of evacuations that are in force according to the last reading of the operators' keys. It is safe for concurrent use; Replace
// and Apply change it, all other methods only read.
type Set struct {
	settings Settings
	lock     sync.Mutex // serializes Replace and Apply
	current  atomic.Pointer[reading]
	changed  *notify.Notifier
}

// reading is what the last reading says; it is not changed.
type reading struct {
	inForce map[jaybarrow.DataCentreID]bool
	known   bool // whether a complete list was read
	at      time.Time
}

// New returns an empty Set without a reading.
func New(s Settings) *Set {
	out := &Set{settings: s, changed: notify.New()}
	out.current.Store(new(reading))
	return out
}

// Replace replaces the set by a complete list, which holds everything that the store had acknowledged at readAt. It returns the evacuations
// that began and that ended.
func (s *Set) Replace(list []jaybarrow.EvacuationChange, readAt time.Time) (began, ended []jaybarrow.DataCentreID) {
	return s.update(make(map[jaybarrow.DataCentreID]bool), list, true, readAt)
}

// Apply applies changes, in their order, after which the set holds everything that the store had acknowledged at readAt. Before the first
// complete list it does not count as a reading. It returns the evacuations that began and that ended.
func (s *Set) Apply(changes []jaybarrow.EvacuationChange, readAt time.Time) (began, ended []jaybarrow.DataCentreID) {
	return s.update(nil, changes, false, readAt)
}

// update applies the changes to base, or to a copy of the present set where base is nil.
func (s *Set) update(base map[jaybarrow.DataCentreID]bool, changes []jaybarrow.EvacuationChange, complete bool, readAt time.Time) (began, ended []jaybarrow.DataCentreID) {
	s.lock.Lock()
	defer s.lock.Unlock()
	old := s.current.Load()
	next := &reading{inForce: base, known: old.known || complete, at: old.at}
	if readAt.After(next.at) {
		next.at = readAt
	}
	if base == nil {
		next.inForce = old.inForce
		if len(changes) > 0 {
			next.inForce = make(map[jaybarrow.DataCentreID]bool, len(old.inForce)+len(changes))
			maps.Copy(next.inForce, old.inForce)
		}
	}
	for _, c := range changes {
		if c.Ended {
			delete(next.inForce, c.DataCentre)
		} else {
			next.inForce[c.DataCentre] = true
		}
	}
	s.current.Store(next)
	began, ended = missing(next.inForce, old.inForce), missing(old.inForce, next.inForce)
	if len(began)+len(ended) > 0 {
		s.changed.Signal()
	}
	return began, ended
}
