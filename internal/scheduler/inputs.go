package scheduler

import (
	"context"
	"encoding/json"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/follow"
	"github.com/jaybarrow/jaybarrow/internal/workload"
)

// followInput loads the stored jobs and then follows newly accepted jobs and cancellations.
func (s *Scheduler) followInput(ctx context.Context) {
	deps := follow.Deps{Clock: s.deps.Clock, Log: s.deps.Log, Settings: s.deps.Settings.Input}
	startedAt := s.deps.Clock.Now()
	var progress []jaybarrow.Record
	var complete bool
	var reading conc.WaitGroup
	// The two lists may be read concurrently, because only this term writes progress and it starts to write after both are read.
	reading.Go(func() {
		progress, complete = follow.List(ctx, deps, follow.Source[jaybarrow.Record]{Name: "progress of jobs", List: s.listBelow(jaybarrow.JobStatePrefix)})
	})
	follow.Run(ctx, deps, follow.Source[jaybarrow.Record]{
		Name: "accepted jobs", List: s.listBelow(jaybarrow.JobInputPrefix),
		Changes: func(ctx context.Context, after jaybarrow.Revision, wait time.Duration) ([]jaybarrow.Record, jaybarrow.Revision, error) {
			return s.deps.Store.Changes(ctx, jaybarrow.JobInputPrefix, after, wait)
		},
		Apply: func(records []jaybarrow.Record, _ bool, now time.Time) {
			if s.JobsAreLoaded() {
				s.applyInputs(records, nil, now)
				return
			}
			// The first records are a complete list.
			if reading.Wait(); !complete {
				return
			}
			bytes, progressBytes := totalSize(records), totalSize(progress)
			s.applyInputs(records, progress, s.deps.Clock.Now())
			s.pools.Each(func(_ jaybarrow.PoolID, p *poolShard) { p.startPlanning() })
			close(s.loaded)
			s.deps.Log.Info().Int("records", len(records)).Int("bytes", bytes).Int("progressRecords", len(progress)).
				Int("progressBytes", progressBytes).Int64("tookMs", s.deps.Clock.Now().Sub(startedAt).Milliseconds()).
				Msg("took over the stored jobs")
			progress = nil
		},
	})
	reading.Wait()
}

// listBelow returns a function that lists the records below the prefix.
func (s *Scheduler) listBelow(prefix jaybarrow.Key) func(context.Context, jaybarrow.Key) (jaybarrow.Page[jaybarrow.Record], error) {
	return countingPages(s, func(ctx context.Context, after jaybarrow.Key) (jaybarrow.Page[jaybarrow.Record], error) {
		return s.deps.Store.ListPage(ctx, prefix, after)
	})
}

// countingPages returns list with a signal to watchTakeover after each page.
func countingPages[T any](s *Scheduler, list func(context.Context, jaybarrow.Key) (jaybarrow.Page[T], error)) func(context.Context, jaybarrow.Key) (jaybarrow.Page[T], error) {
	return func(ctx context.Context, after jaybarrow.Key) (jaybarrow.Page[T], error) {
		page, err := list(ctx, after)
		if err == nil {
			select {
			case s.pageRead <- struct{}{}:
			default:
			}
		}
		return page, err
	}
}

// watchTakeover resigns when all overlapping calls for a page fail before the stored jobs are loaded. The lease may be renewed although
// lists fail, and another entry host may be able to read the store.
func (s *Scheduler) watchTakeover(ctx context.Context) {
	stallLimit := s.deps.Settings.Input.PageLimit() + s.deps.Settings.TakeoverSlack
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.loaded:
			return
		case <-s.pageRead:
		case <-s.deps.Clock.After(stallLimit):
			s.deps.Term.Resign("the stored jobs cannot be read")
			return
		}
	}
}

// totalSize returns the size of the records' values in bytes.
func totalSize(records []jaybarrow.Record) int {
	n := 0
	for _, r := range records {
		n += len(r.Value)
	}
	return n
}

// applyInputs adds the accepted jobs with their stored progress and then applies the cancellations, and wakes the pools concerned. It drops
// the values of the records.
func (s *Scheduler) applyInputs(records, progress []jaybarrow.Record, now time.Time) {
	stored := make(map[jaybarrow.JobID]jaybarrow.Record, len(progress))
	for n, r := range progress {
		if id, ok := jaybarrow.ParseJobStateKey(r.Key); ok && !r.Deleted {
			stored[id] = r
		}
		progress[n].Value = nil
	}
	changedPools := make(map[*poolShard]bool)
	for n, r := range records {
		if id, ok := jaybarrow.ParseJobAcceptedKey(r.Key); ok && !r.Deleted {
			s.addJob(id, r, stored[id], now, changedPools)
			// The stored form of all jobs beside the decoded one could exceed the memory of a small host.
			records[n].Value = nil
			delete(stored, id)
		}
	}
	for _, r := range records {
		if id, ok := jaybarrow.ParseJobCancelledKey(r.Key); ok && !r.Deleted {
			s.cancelJob(id, now, changedPools)
		}
	}
	for p := range changedPools {
		p.signal()
	}
}

// decodeProgress returns the stored progress of a job; nil when there is none that can be read.
func (s *Scheduler) decodeProgress(id jaybarrow.JobID, r jaybarrow.Record) *workload.Record {
	if r.Revision == 0 {
		return nil
	}
	record, err := workload.DecodeRecord(r.Value)
	if err != nil {
		s.deps.Log.Error().Err(err).Str("job", string(id)).Msg("cannot decode the stored progress of a job; the job is loaded without it")
		return nil
	}
	return &record
}

// addJob adds an accepted job to its pool; a known job is left as it is.
func (s *Scheduler) addJob(id jaybarrow.JobID, r, progress jaybarrow.Record, now time.Time, changedPools map[*poolShard]bool) {
	if _, known := s.jobPools.Get(id); known {
		return
	}
	spec := new(jaybarrow.Job)
	if err := json.Unmarshal(r.Value, spec); err != nil {
		s.deps.Log.Error().Err(err).Str("job", string(id)).Msg("cannot decode an accepted job; the job is skipped")
		return
	}
	p := s.pool(spec.Pool)
	// Only one record is decoded at a time, since all of them together can exceed the memory of a small host.
	stored := s.decodeProgress(id, progress)
	if stored != nil {
		p.writer.setRevision(id, progress.Revision)
	}
	p.locked(func() {
		p.state.AddJob(spec, stored, now)
		s.countFromFirstAttempt(p, id, now)
		p.noteSubmitted(spec, now)
	})
	s.jobPools.Set(id, spec.Pool)
	if at, reported := s.refused.FirstAttempt(now, p.id, id); reported {
		// A report that came before the job was known here has left it alone.
		p.locked(func() { p.state.CountFromFirstAttempt(id, at) })
	}
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
	p.locked(func() { p.state.Cancel(id, now) })
	changedPools[p] = true
}
