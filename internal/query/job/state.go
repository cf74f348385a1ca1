package job

import (
	"context"
	"encoding/json"
	"time"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/workload"
)

// Settings are the times of the queries.
type Settings struct {
	Ask  time.Duration // for the scheduler's answer, before the store is read
	Read time.Duration // for one read of the store
}

// DefaultSettings returns the usual times.
func DefaultSettings() Settings {
	// Tens of round trips between data centres, and a hundred times the store's usual answer.
	return Settings{Ask: 150 * time.Millisecond, Read: 500 * time.Millisecond}
}

// Deps are what the queries depend on.
type Deps struct {
	Directory jaybarrow.JobDirectory
	Store     jaybarrow.JobStore
	Settings  Settings
}

// StateHandler answers with the state of a job.
type StateHandler struct{ deps Deps }

// NewState returns a StateHandler.
func NewState(d Deps) *StateHandler { return &StateHandler{deps: d} }

// Handle returns the state of the job; KindNotFound when no such job was accepted. team is the asking caller's, empty on an
// open queue; the jobs of other teams are not found.
func (h *StateHandler) Handle(ctx context.Context, team jaybarrow.TeamID, id jaybarrow.JobID) (jaybarrow.JobState, error) {
	limited, cancel := context.WithTimeout(ctx, h.deps.Settings.Ask)
	status, err := h.deps.Directory.JobStatus(limited, id)
	cancel()
	if err != nil || !status.Known {
		// The scheduler may be away, or may not have heard of the job yet.
		status, err = h.stored(ctx, id)
	}
	switch {
	case err != nil:
		return "", err
	case !status.Known || status.Team != team:
		return "", jaybarrow.Errorf(jaybarrow.KindNotFound, "no job %s", id)
	}
	return status.State, nil
}

// stored reads the state of a job from the store.
func (h *StateHandler) stored(ctx context.Context, id jaybarrow.JobID) (jaybarrow.JobStatus, error) {
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

// read decodes a record; it reports false when there is none.
func (h *StateHandler) read(ctx context.Context, key jaybarrow.Key, decode func([]byte) error) (bool, error) {
	limited, cancel := context.WithTimeout(ctx, h.deps.Settings.Read)
	defer cancel()
	r, err := h.deps.Store.Get(limited, key)
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
