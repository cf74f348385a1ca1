package scheduler

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"slices"
	"sync"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/hedge"
	"github.com/jaybarrow/jaybarrow/internal/latency"
	"github.com/jaybarrow/jaybarrow/internal/workload"
)

// writer writes one pool's records. Each write is conditional on the revisions of the records that it replaces and on the revision
// of this term's leader record, so a lost or delayed write cannot overwrite a newer one.
type writer struct {
	clock          jaybarrow.Clock
	log            zerolog.Logger
	store          jaybarrow.JobStore
	settings       Settings
	commitTimes    *latency.Estimator
	slots          chan struct{}      // of the scheduler; has a value for each write in progress
	leaderRevision jaybarrow.Revision // of this term's leader record

	lock      sync.Mutex                             // guards revisions
	revisions map[jaybarrow.JobID]jaybarrow.Revision // last known; 0 when a job has no record
}

// errDeposed means that the store no longer holds this term's leader record.
var errDeposed = errors.New("another scheduler leads")

// recordsPerCommit is the largest number of records in one commit. Each takes a write, a condition and, if its job has ended, a write of
// what is kept of the accepted job; the leader's record takes one more condition.
const recordsPerCommit = (jaybarrow.MaxCommitEntries - 1) / 3

// setRevision sets the revision that the next write of the job's record expects.
func (w *writer) setRevision(id jaybarrow.JobID, revision jaybarrow.Revision) {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.revisions[id] = revision
}

// write stores the records; it retries until ctx ends or another scheduler leads. More records than fit in one commit are written
// by concurrent commits, so that a slow store delays a large round by one commit only.
func (w *writer) write(ctx context.Context, records []workload.JobRecord) error {
	var group conc.WaitGroup
	var lock sync.Mutex
	var failed error
	for batch := range slices.Chunk(records, recordsPerCommit) {
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

// writeBatch retries one commit until it is known to have taken effect.
func (w *writer) writeBatch(ctx context.Context, records []workload.JobRecord) error {
	puts := make([]jaybarrow.Put, len(records))
	for i, r := range records {
		value, err := r.Encode()
		if err != nil {
			return err
		}
		puts[i] = jaybarrow.Put{Key: jaybarrow.JobStateKey(r.Job), Value: value}
	}
	for _, r := range records {
		if r.Accepted == nil {
			continue
		}
		value, err := json.Marshal(r.Accepted)
		if err != nil {
			return err
		}
		puts = append(puts, jaybarrow.Put{Key: jaybarrow.JobAcceptedKey(r.Job), Value: value})
	}
	for failures := 0; ; failures++ {
		err := w.tryCommit(ctx, records, puts)
		if err == nil || errors.Is(err, errDeposed) || ctx.Err() != nil {
			return err
		}
		if errors.Is(err, errRetry) {
			continue
		}
		if failures == 0 {
			w.log.Warn().Err(err).Int("records", len(puts)).Str("first", string(puts[0].Key)).Msg("write failed; trying again")
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-w.clock.After(w.settings.CommitRetryDelay << min(failures, 3)):
		}
	}
}

// tryCommit makes one attempt with the puts, which begin with those of the records; it must be retried after every error other than errDeposed.
func (w *writer) tryCommit(ctx context.Context, records []workload.JobRecord, puts []jaybarrow.Put) error {
	changes := jaybarrow.Commit{Expect: w.expectations(records), Puts: puts}
	// The time limit of the calls begins when there is a connection for them; a write that only waits for one must not be repeated.
	select {
	case <-ctx.Done():
		return ctx.Err()
	case w.slots <- struct{}{}:
	}
	defer func() { <-w.slots }()
	hedged := w.settings.Commit.Following(w.commitTimes.Usual(w.clock.Now()))
	revision, err := hedge.Do(ctx, w.clock, hedged, func(ctx context.Context) (jaybarrow.Revision, error) {
		return w.store.Commit(ctx, changes)
	}, func(err error) bool { return jaybarrow.IsKind(err, jaybarrow.KindConflict) })
	var conflict *jaybarrow.ConflictError
	switch {
	case err == nil:
		for _, r := range records {
			w.setRevision(r.Job, revision)
		}
		return nil
	case errors.As(err, &conflict):
		return w.resolveConflict(records, puts, conflict)
	}
	return err
}

// expectations returns the conditions of a commit: the revisions of the leader's record and of the records to replace.
func (w *writer) expectations(records []workload.JobRecord) []jaybarrow.Expectation {
	w.lock.Lock()
	defer w.lock.Unlock()
	out := []jaybarrow.Expectation{{Key: jaybarrow.JobLeaderKey, Revision: w.leaderRevision}}
	for _, r := range records {
		out = append(out, jaybarrow.Expectation{Key: jaybarrow.JobStateKey(r.Job), Revision: w.revisions[r.Job]})
	}
	return out
}

// removeRecords makes one attempt to remove all records of the ended jobs; a failed attempt may be repeated.
func (w *writer) removeRecords(ctx context.Context, ids []jaybarrow.JobID) error {
	changes := jaybarrow.Commit{Expect: []jaybarrow.Expectation{{Key: jaybarrow.JobLeaderKey, Revision: w.leaderRevision}}}
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

// errRetry means that records had other revisions than expected, so the commit had no effect; resolveConflict has updated the
// expected ones.
var errRetry = errors.New("records have changed")

// resolveConflict determines from the current records whether an earlier attempt took effect. While the leader's record is that of
// this term nobody else writes the records, so records with equal values were written by this writer.
func (w *writer) resolveConflict(records []workload.JobRecord, puts []jaybarrow.Put, conflict *jaybarrow.ConflictError) error {
	current := make(map[jaybarrow.Key]jaybarrow.Record, len(conflict.Current))
	for _, r := range conflict.Current {
		current[r.Key] = r
	}
	if current[jaybarrow.JobLeaderKey].Revision != w.leaderRevision {
		return errDeposed
	}
	written := true
	for i, r := range records {
		found := current[puts[i].Key]
		written = written && bytes.Equal(found.Value, puts[i].Value)
		w.setRevision(r.Job, found.Revision)
	}
	if written {
		return nil
	}
	w.log.Warn().Int("records", len(puts)).Str("first", string(puts[0].Key)).Msg("records have changed; writing again")
	return errRetry
}
