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

// inputs are accepted jobs and cancellations.
type inputs struct {
	records []jaybarrow.Record
	states  []jaybarrow.Record // of the jobs; only with a list
}

// followInput takes over the stored jobs and then every accepted job and cancellation.
func (s *Scheduler) followInput(ctx context.Context) {
	var first sync.Once
	follow.Run(ctx, follow.Deps{Clock: s.deps.Clock, Log: s.deps.Log, Settings: s.deps.Settings.Input}, follow.Source[inputs]{
		Name: "accepted jobs",
		List: s.listInput,
		Changes: func(ctx context.Context, after jaybarrow.Revision, wait time.Duration) (inputs, jaybarrow.Revision, error) {
			records, at, err := s.deps.Store.Changes(ctx, jaybarrow.JobInputPrefix, after, wait)
			return inputs{records: records}, at, err
		},
		Apply: func(news inputs, whole bool, now time.Time) {
			s.applyInputs(news, now)
			if whole {
				first.Do(func() {
					s.pools.Each(func(_ jaybarrow.PoolID, p *poolShard) { p.begin() })
					close(s.loaded)
					s.deps.Log.Info().Int("records", len(news.records)).Msg("took over the stored jobs")
				})
			}
		},
	})
}

// listInput reads the accepted jobs and the cancellations, and at first the progress of the jobs. The lists need no order among them:
// only this term writes progress, and it begins after they are read.
func (s *Scheduler) listInput(ctx context.Context) (inputs, jaybarrow.Revision, error) {
	var out inputs
	var at jaybarrow.Revision
	var inputErr, stateErr error
	var group conc.WaitGroup
	group.Go(func() { out.records, at, inputErr = s.deps.Store.List(ctx, jaybarrow.JobInputPrefix) })
	if !s.knowsJobs() {
		group.Go(func() { out.states, _, stateErr = s.deps.Store.List(ctx, jaybarrow.JobStatePrefix) })
	}
	group.Wait()
	return out, at, errors.Join(inputErr, stateErr)
}

func (s *Scheduler) applyInputs(news inputs, now time.Time) {
	stored := make(map[jaybarrow.JobID]storedRecord, len(news.states))
	for _, r := range news.states {
		id, ok := jaybarrow.ParseJobStateKey(r.Key)
		if !ok || r.Deleted {
			continue
		}
		record, err := workload.DecodeRecord(r.Value)
		if err != nil {
			s.deps.Log.Error().Err(err).Str("job", string(id)).Msg("the stored progress of a job cannot be read")
			continue
		}
		stored[id] = storedRecord{&record, r.Revision}
	}
	touched := make(map[*poolShard]bool)
	for _, r := range news.records {
		if id, ok := jaybarrow.ParseJobAcceptedKey(r.Key); ok && !r.Deleted {
			s.addJob(id, r, stored[id], now, touched)
		}
	}
	for _, r := range news.records {
		if id, ok := jaybarrow.ParseJobCancelledKey(r.Key); ok && !r.Deleted {
			s.cancelJob(id, now, touched)
		}
	}
	for p := range touched {
		p.signal()
	}
}

// storedRecord is a job's progress as it is stored; nil: none is.
type storedRecord struct {
	record   *workload.Record
	revision jaybarrow.Revision
}

func (s *Scheduler) addJob(id jaybarrow.JobID, r jaybarrow.Record, stored storedRecord, now time.Time, touched map[*poolShard]bool) {
	if _, known := s.places.Get(id); known {
		return
	}
	spec := new(jaybarrow.Job)
	if err := json.Unmarshal(r.Value, spec); err != nil {
		s.deps.Log.Error().Err(err).Str("job", string(id)).Msg("an accepted job cannot be read")
		return
	}
	p := s.pool(spec.Pool)
	if stored.record != nil {
		p.writer.know(id, stored.revision)
	}
	p.lock.Lock()
	p.work.AddJob(spec, stored.record, now)
	p.lock.Unlock()
	s.places.Set(id, spec.Pool)
	touched[p] = true
}

func (s *Scheduler) cancelJob(id jaybarrow.JobID, now time.Time, touched map[*poolShard]bool) {
	home, known := s.places.Get(id)
	if !known {
		s.deps.Log.Warn().Str("job", string(id)).Msg("an unknown job is cancelled")
		return
	}
	p := s.pool(home)
	p.lock.Lock()
	p.work.Cancel(id, now)
	p.lock.Unlock()
	touched[p] = true
}
