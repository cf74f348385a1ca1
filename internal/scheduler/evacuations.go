package scheduler

import (
	"context"
	"errors"
	"time"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/workload"
)

var (
	// errEvacuated means that a start was not sent, since its worker's data centre is being evacuated.
	errEvacuated = errors.New("not sent, since the data centre is being evacuated")
	// errEvacuationsUnknown means that a start was not sent, since the operators' keys may say by now that its data centre is being evacuated.
	errEvacuationsUnknown = errors.New("not sent, since the keys of operators have not been read lately")
)

// maxReadingCheck is the longest time between two checks whether the operators' keys were read recently enough, for the log only.
const maxReadingCheck = 250 * time.Millisecond

// mayStart reports whether this term may start tasks now.
func (p *poolShard) mayStart(now time.Time) bool {
	return p.deps.Term.Valid() && p.deps.Evacuations.MayStart(now)
}

// withheld returns why the start must not be sent by what the operators' keys say; nil when it may be sent.
func (p *poolShard) withheld(s workload.StartRun) error {
	switch {
	case p.deps.Evacuations.InForce(s.Worker.DataCentre):
		return errEvacuated
	case !p.deps.Evacuations.MayStart(p.deps.Clock.Now()):
		return errEvacuationsUnknown
	}
	return nil
}

// followEvacuations makes the pools plan anew when an evacuation begins or ends, and logs when starts stop for want of a recent reading of the
// operators' keys and when they go on; it blocks until ctx ends.
func (s *Scheduler) followEvacuations(ctx context.Context) {
	starts := true
	for {
		changed := s.deps.Evacuations.Changed()
		now := s.deps.Clock.Now()
		if may := s.deps.Evacuations.MayStart(now); may != starts {
			starts = may
			age, _ := s.deps.Evacuations.Age(now)
			if may {
				s.deps.Log.Info().Msg("the keys of operators were read again; tasks are started")
			} else {
				s.deps.Log.Warn().Int64("ageMs", age.Milliseconds()).Msg("the keys of operators were not read lately; no task is started until they are")
			}
			s.pools.Each(func(_ jaybarrow.PoolID, p *poolShard) { p.signal() })
		}
		select {
		case <-ctx.Done():
			return
		case <-s.deps.Clock.After(maxReadingCheck):
		case <-changed:
			s.pools.Each(func(_ jaybarrow.PoolID, p *poolShard) {
				p.locked(func() { p.state.EvacuationsChanged() })
				p.signal()
			})
		}
	}
}

// RunsLeft returns how many runs there may be on the workers of the data centre.
func (s *Scheduler) RunsLeft(id jaybarrow.DataCentreID) int {
	n := 0
	s.pools.Each(func(_ jaybarrow.PoolID, p *poolShard) {
		p.locked(func() { n += p.state.RunsLeft(id) })
	})
	return n
}
