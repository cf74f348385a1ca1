package scheduler

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/follow"
	"github.com/jaybarrow/jaybarrow/internal/workload"
)

// inputs are the records of accepted jobs and cancellations.
type inputs struct {
	records  []jaybarrow.Record
	progress []jaybarrow.Record // stored progress of the jobs; read only with lists before the jobs are loaded
}

// followInput loads the stored jobs and then follows newly accepted jobs and cancellations.
func (s *Scheduler) followInput(ctx context.Context) {
	var first sync.Once
	startedAt := s.deps.Clock.Now()
	follow.Run(ctx, follow.Deps{Clock: s.deps.Clock, Log: s.deps.Log, Settings: s.deps.Settings.Input}, follow.Source[inputs]{
		Name: "accepted jobs",
		List: s.listInput,
		Changes: func(ctx context.Context, after jaybarrow.Revision, wait time.Duration) (inputs, jaybarrow.Revision, error) {
			records, at, err := s.deps.Store.Changes(ctx, jaybarrow.JobInputPrefix, after, wait)
			return inputs{records: records}, at, err
		},
		Apply: func(in inputs, isList bool, now time.Time) {
			s.applyInputs(in, now)
			if isList {
				first.Do(func() {
					s.pools.Each(func(_ jaybarrow.PoolID, p *poolShard) { p.startPlanning() })
					close(s.loaded)
					s.deps.Log.Info().Int("records", len(in.records)).Int("bytes", totalSize(in.records)).
						Int("progressRecords", len(in.progress)).Int("progressBytes", totalSize(in.progress)).
						Int64("tookMs", s.deps.Clock.Now().Sub(startedAt).Milliseconds()).Msg("took over the stored jobs")
				})
			}
		},
	})
}

// totalSize returns the size of the records' values in bytes.
func totalSize(records []jaybarrow.Record) int {
	n := 0
	for _, r := range records {
		n += len(r.Value)
	}
	return n
}

// listInput reads the accepted jobs and cancellations and, until the jobs are loaded, also their progress. The two lists may be
// read concurrently, because only this term writes progress and it starts to write after both are read.
func (s *Scheduler) listInput(ctx context.Context) (inputs, jaybarrow.Revision, error) {
	var out inputs
	var at jaybarrow.Revision
	var inputErr, progressErr error
	var group conc.WaitGroup
	group.Go(func() { out.records, at, inputErr = s.deps.Store.List(ctx, jaybarrow.JobInputPrefix) })
	if !s.jobsAreLoaded() {
		group.Go(func() { out.progress, _, progressErr = s.deps.Store.List(ctx, jaybarrow.JobStatePrefix) })
	}
	group.Wait()
	return out, at, errors.Join(inputErr, progressErr)
}

// applyInputs adds the accepted jobs and then applies the cancellations, and wakes the pools concerned.
func (s *Scheduler) applyInputs(in inputs, now time.Time) {
	stored := make(map[jaybarrow.JobID]storedRecord, len(in.progress))
	for _, r := range in.progress {
		id, ok := jaybarrow.ParseJobStateKey(r.Key)
		if !ok || r.Deleted {
			continue
		}
		record, err := workload.DecodeRecord(r.Value)
		if err != nil {
			s.deps.Log.Error().Err(err).Str("job", string(id)).Msg("cannot decode the stored progress of a job; the job is loaded without it")
			continue
		}
		stored[id] = storedRecord{&record, r.Revision}
	}
	changedPools := make(map[*poolShard]bool)
	for _, r := range in.records {
		if id, ok := jaybarrow.ParseJobAcceptedKey(r.Key); ok && !r.Deleted {
			s.addJob(id, r, stored[id], now, changedPools)
		}
	}
	for _, r := range in.records {
		if id, ok := jaybarrow.ParseJobCancelledKey(r.Key); ok && !r.Deleted {
			s.cancelJob(id, now, changedPools)
		}
	}
	for p := range changedPools {
		p.signal()
	}
}

// storedRecord is a job's stored progress and the revision of its record.
type storedRecord struct {
	record   *workload.Record // nil when no progress is stored
	revision jaybarrow.Revision
}

// addJob adds an accepted job to its pool; a known job is left as it is.
func (s *Scheduler) addJob(id jaybarrow.JobID, r jaybarrow.Record, stored storedRecord, now time.Time, changedPools map[*poolShard]bool) {
	if _, known := s.jobPools.Get(id); known {
		return
	}
	spec := new(jaybarrow.Job)
	if err := json.Unmarshal(r.Value, spec); err != nil {
		s.deps.Log.Error().Err(err).Str("job", string(id)).Msg("cannot decode an accepted job; the job is skipped")
		return
	}
	p := s.pool(spec.Pool)
	if stored.record != nil {
		p.writer.setRevision(id, stored.revision)
	}
	p.lock.Lock()
	p.state.AddJob(spec, stored.record, now)
	p.lock.Unlock()
	s.jobPools.Set(id, spec.Pool)
	changedPools[p] = true
}

// cancelJob cancels a job in its pool; an unknown job is logged and ignored.
func (s *Scheduler) cancelJob(id jaybarrow.JobID, now time.Time, changedPools map[*poolShard]bool) {
	poolID, known := s.jobPools.Get(id)
	if !known {
		s.deps.Log.Warn().Str("job", string(id)).Msg("cancellation names an unknown job; it is ignored")
		return
	}
	p := s.pool(poolID)
	p.lock.Lock()
	p.state.Cancel(id, now)
	p.lock.Unlock()
	changedPools[p] = true
}
