package job

import (
	"context"
	"encoding/json"
	"time"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/workload"
)

// Settings are the timeouts of the queries.
type Settings struct {
	SchedulerTimeout time.Duration // for the scheduler's response, before the store is read instead
	ReadTimeout      time.Duration // for one read of the store
}

// DefaultSettings returns the default timeouts.
func DefaultSettings() Settings {
	// Tens of round trips between data centres, and a hundred times the store's usual response time.
	return Settings{SchedulerTimeout: 150 * time.Millisecond, ReadTimeout: 500 * time.Millisecond}
}

// Deps are what the queries depend on.
type Deps struct {
	Directory jaybarrow.JobDirectory
	Store     jaybarrow.JobStore
	Settings  Settings
}

// StateHandler returns the state of a job.
type StateHandler struct{ deps Deps }

// NewState returns a StateHandler.
func NewState(d Deps) *StateHandler { return &StateHandler{deps: d} }

// Handle returns the state of the job, or KindNotFound when the team has no such job. team is the caller's team, which is empty
// on an open queue.
func (h *StateHandler) Handle(ctx context.Context, team jaybarrow.TeamID, id jaybarrow.JobID) (jaybarrow.JobState, error) {
	schedulerCtx, cancel := context.WithTimeout(ctx, h.deps.Settings.SchedulerTimeout)
	status, err := h.deps.Directory.JobStatus(schedulerCtx, id)
	cancel()
	if err != nil || !status.Known {
		// The scheduler may be unreachable, or may not have received the job yet.
		status, err = h.storedStatus(ctx, id)
	}
	switch {
	case err != nil:
		return "", err
	case !status.Known || status.Team != team:
		return "", jaybarrow.Errorf(jaybarrow.KindNotFound, "no job %s", id)
	}
	return status.State, nil
}

// storedStatus reads the status of a job from the store; an unknown job is no error.
func (h *StateHandler) storedStatus(ctx context.Context, id jaybarrow.JobID) (jaybarrow.JobStatus, error) {
	var job jaybarrow.Job
	if found, err := h.read(ctx, jaybarrow.JobAcceptedKey(id), func(data []byte) error { return json.Unmarshal(data, &job) }); err != nil || !found {
		return jaybarrow.JobStatus{}, err
	}
	record := workload.Record{State: jaybarrow.JobPending}
	if _, err := h.read(ctx, jaybarrow.JobStateKey(id), func(data []byte) (err error) {
		record, err = workload.DecodeRecord(data)
		return err
	}); err != nil {
		return jaybarrow.JobStatus{}, err
	}
	if !record.State.Ended() {
		cancelled, err := h.read(ctx, jaybarrow.JobCancelledKey(id), func([]byte) error { return nil })
		if err != nil {
			return jaybarrow.JobStatus{}, err
		}
		if cancelled {
			record.State = jaybarrow.JobCancelled
		}
	}
	return jaybarrow.JobStatus{Known: true, State: record.State, Team: job.Team}, nil
}

// read passes the value of a record to decode; it reports false when there is no record.
func (h *StateHandler) read(ctx context.Context, key jaybarrow.Key, decode func([]byte) error) (bool, error) {
	readCtx, cancel := context.WithTimeout(ctx, h.deps.Settings.ReadTimeout)
	defer cancel()
	r, err := h.deps.Store.Get(readCtx, key)
	switch {
	case jaybarrow.IsKind(err, jaybarrow.KindNotFound):
		return false, nil
	case err != nil:
		return false, err
	}
	if err := decode(r.Value); err != nil {
		return false, jaybarrow.Errorf(jaybarrow.KindInternal, "read %s: %w", key, err)
	}
	return true, nil
}
