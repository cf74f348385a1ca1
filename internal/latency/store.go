package latency

import (
	"context"

	"github.com/jaybarrow/jaybarrow"
)

// Store is a JobStore that records how long the answers to writes take, each call by itself. A call that ends without an answer, such as one
// that is cancelled since a repeated one was answered first, is not recorded. Reads are not recorded either: lists are large and some reads wait
// for a change, so their times say little about those of writes.
type Store struct {
	jaybarrow.JobStore
	clock    jaybarrow.Clock
	commits  *Estimator
	answered func()
}

// NewStore returns a Store that records the times of commits and calls answered after each; nil calls nothing.
func NewStore(store jaybarrow.JobStore, clock jaybarrow.Clock, commits *Estimator, answered func()) Store {
	if answered == nil {
		answered = func() {}
	}
	return Store{JobStore: store, clock: clock, commits: commits, answered: answered}
}

// Commit writes the changes; an answer that a condition does not hold counts as one.
func (s Store) Commit(ctx context.Context, changes jaybarrow.Commit) (jaybarrow.Revision, error) {
	sent := s.clock.Now()
	at, err := s.JobStore.Commit(ctx, changes)
	if err == nil || jaybarrow.IsKind(err, jaybarrow.KindConflict) {
		now := s.clock.Now()
		s.commits.Observe(now, now.Sub(sent))
		s.answered()
	}
	return at, err
}
