package job

import (
	"context"
	"encoding/json"

	"github.com/jaybarrow/jaybarrow"
)

// Cancel requests that a job be cancelled.
type Cancel struct {
	Queue *jaybarrow.JobQueue
	Key   string
	ID    jaybarrow.JobID
}

// CancelHandler stores cancellations.
type CancelHandler struct{ deps Deps }

// NewCancel returns a CancelHandler.
func NewCancel(d Deps) *CancelHandler { return &CancelHandler{deps: d} }

// Handle returns the job's id once the cancellation is stored, or KindNotFound when the team has no such job.
func (h *CancelHandler) Handle(ctx context.Context, in Cancel) (jaybarrow.JobID, error) {
	team, err := h.deps.Authorizer.Team(in.Queue, in.Key)
	if err != nil {
		return "", err
	}
	owner, err := h.owner(ctx, in.ID)
	if err != nil {
		return "", err
	}
	if owner != team {
		return "", jaybarrow.Errorf(jaybarrow.KindNotFound, "no job %s", in.ID)
	}
	key := jaybarrow.JobCancelledKey(in.ID)
	return in.ID, writeOnce(ctx, h.deps, jaybarrow.Commit{
		Expect: []jaybarrow.Expectation{{Key: key}}, Puts: []jaybarrow.Put{{Key: key, Value: []byte("{}")}},
	})
}

// owner returns the team of an accepted job, from the scheduler if it knows the job and else from the store, or KindNotFound
// when there is no such job. The team of an accepted job never changes, so it is still the owner when the cancellation is written.
func (h *CancelHandler) owner(ctx context.Context, id jaybarrow.JobID) (jaybarrow.TeamID, error) {
	schedulerCtx, cancel := context.WithTimeout(ctx, h.deps.Settings.SchedulerTimeout)
	status, err := h.deps.Directory.JobStatus(schedulerCtx, id)
	cancel()
	if err == nil && status.Known {
		return status.Team, nil
	}
	readCtx, cancel := context.WithTimeout(ctx, h.deps.Settings.ReadTimeout)
	defer cancel()
	record, err := h.deps.Store.Get(readCtx, jaybarrow.JobAcceptedKey(id))
	if err != nil {
		return "", err
	}
	var job jaybarrow.Job
	if err := json.Unmarshal(record.Value, &job); err != nil {
		return "", jaybarrow.Errorf(jaybarrow.KindInternal, "read job %s: %w", id, err)
	}
	return job.Team, nil
}
