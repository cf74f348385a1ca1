package scheduler

import (
	"bytes"
	"context"
	"errors"
	"slices"
	"sync"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/hedge"
	"github.com/jaybarrow/jaybarrow/internal/workload"
)

// writer writes one pool's records so that a lost or late write cannot undo a newer one: each write expects the revisions of the
// records that it replaces, and the leader's record must be the own one.
type writer struct {
	clock    jaybarrow.Clock
	log      zerolog.Logger
	store    jaybarrow.JobStore
	settings Settings
	leader   jaybarrow.Revision

	lock      sync.Mutex // guards revisions
	revisions map[jaybarrow.JobID]jaybarrow.Revision
}

// errDeposed means that the leader's record is not the own one any more.
var errDeposed = errors.New("another scheduler leads")

// recordsInCommit is how many records one commit writes: each is an entry and a condition, beside the leader's record.
const recordsInCommit = (jaybarrow.MaxCommitEntries - 1) / 2

// know notes the revision of a record that a previous scheduler wrote.
func (w *writer) know(id jaybarrow.JobID, revision jaybarrow.Revision) {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.revisions[id] = revision
}

// write stores the records, whatever it takes, until ctx ends or another scheduler leads. A large round is written by several
// commits at once, so that a slow store takes it in the time of one.
func (w *writer) write(ctx context.Context, records []workload.JobRecord) error {
	var group conc.WaitGroup
	var lock sync.Mutex
	var failed error
	for batch := range slices.Chunk(records, recordsInCommit) {
		group.Go(func() {
			if err := w.writeBatch(ctx, batch); err != nil {
				lock.Lock()
				defer lock.Unlock()
				failed = errors.Join(failed, err)
			}
		})
	}
	group.Wait()
	return failed
}

// writeBatch repeats one commit until it has certainly taken effect.
func (w *writer) writeBatch(ctx context.Context, records []workload.JobRecord) error {
	puts := make([]jaybarrow.Put, len(records))
	for i, r := range records {
		value, err := r.Record.Encode()
		if err != nil {
			return err
		}
		puts[i] = jaybarrow.Put{Key: jaybarrow.JobStateKey(r.Job), Value: value}
	}
	for failures := 0; ; failures++ {
		err := w.try(ctx, records, puts)
		if err == nil || errors.Is(err, errDeposed) || ctx.Err() != nil {
			return err
		}
		if errors.Is(err, errRepeat) {
			continue
		}
		if failures == 0 {
			w.log.Warn().Err(err).Int("records", len(puts)).Str("first", string(puts[0].Key)).Msg("write failed; trying again")
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-w.clock.After(w.settings.CommitRetry << min(failures, 3)):
		}
	}
}

// try makes one attempt; an error other than errDeposed means that it must be repeated.
func (w *writer) try(ctx context.Context, records []workload.JobRecord, puts []jaybarrow.Put) error {
	changes := jaybarrow.Commit{Expect: w.expectations(records), Puts: puts}
	revision, err := hedge.Do(ctx, w.clock, w.settings.Commit, func(ctx context.Context) (jaybarrow.Revision, error) {
		return w.store.Commit(ctx, changes)
	}, func(err error) bool { return jaybarrow.IsKind(err, jaybarrow.KindConflict) })
	var conflict *jaybarrow.ConflictError
	switch {
	case err == nil:
		for _, r := range records {
			w.know(r.Job, revision)
		}
		return nil
	case errors.As(err, &conflict):
		return w.resolve(records, puts, conflict)
	}
	return err
}

func (w *writer) expectations(records []workload.JobRecord) []jaybarrow.Expectation {
	w.lock.Lock()
	defer w.lock.Unlock()
	out := []jaybarrow.Expectation{{Key: jaybarrow.JobLeaderKey, Revision: w.leader}}
	for _, r := range records {
		out = append(out, jaybarrow.Expectation{Key: jaybarrow.JobStateKey(r.Job), Revision: w.revisions[r.Job]})
	}
	return out
}

// remove removes all records of ended jobs; an attempt that failed may be repeated.
func (w *writer) remove(ctx context.Context, ids []jaybarrow.JobID) error {
	changes := jaybarrow.Commit{Expect: []jaybarrow.Expectation{{Key: jaybarrow.JobLeaderKey, Revision: w.leader}}}
	for _, id := range ids {
		changes.Removes = append(changes.Removes, jaybarrow.JobAcceptedKey(id), jaybarrow.JobCancelledKey(id), jaybarrow.JobStateKey(id))
	}
	limited, cancel := context.WithTimeout(ctx, w.settings.Commit.Timeout)
	defer cancel()
	if _, err := w.store.Commit(limited, changes); err != nil {
		return err
	}
	w.lock.Lock()
	defer w.lock.Unlock()
	for _, id := range ids {
		delete(w.revisions, id)
	}
	return nil
}

// errRepeat means that records had other revisions than expected.
var errRepeat = errors.New("records have changed")

// resolve finds out from the current records whether an earlier attempt took effect. Nobody else writes the records while the
// leader's record is the own one, so equal values are the own ones.
func (w *writer) resolve(records []workload.JobRecord, puts []jaybarrow.Put, conflict *jaybarrow.ConflictError) error {
	current := make(map[jaybarrow.Key]jaybarrow.Record, len(conflict.Current))
	for _, r := range conflict.Current {
		current[r.Key] = r
	}
	if current[jaybarrow.JobLeaderKey].Revision != w.leader {
		return errDeposed
	}
	written := true
	for i, r := range records {
		found := current[puts[i].Key]
		written = written && bytes.Equal(found.Value, puts[i].Value)
		w.know(r.Job, found.Revision)
	}
	if written {
		return nil
	}
	w.log.Warn().Int("records", len(puts)).Str("first", string(puts[0].Key)).Msg("records have changed; writing again")
	return errRepeat
}
