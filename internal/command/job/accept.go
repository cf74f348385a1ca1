package job

import (
	"context"
	"encoding/json"
	"time"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/hedge"
	"github.com/jaybarrow/jaybarrow/internal/latency"
)

// Accept requests that a job be accepted.
type Accept struct {
	Queue      *jaybarrow.JobQueue
	Key        string // the caller's key; may be empty on an open queue
	ID         jaybarrow.JobID
	Spec       string
	Steps      []jaybarrow.Step
	Recurrence *jaybarrow.Recurrence
}

// Deps are what the commands depend on.
type Deps struct {
	Clock      jaybarrow.Clock
	Store      jaybarrow.JobStore
	Authorizer *Authorizer
	Directory  jaybarrow.JobDirectory
	Refusals   jaybarrow.RefusalRecorder // nil records nothing
	// CommitTimes tells how long the store takes for a write; nil when that is not known, and writes are repeated after a fixed delay.
	CommitTimes *latency.Estimator
	Settings    Settings
}

// Settings are the timeouts of the commands.
type Settings struct {
	SchedulerTimeout time.Duration  // for the scheduler's response, before the store is read instead
	ReadTimeout      time.Duration  // for one read of the store
	AdmissionTimeout time.Duration  // for the scheduler's decision on a new job, which is accepted without one
	MaxValueBytes    int            // largest value that the store accepts
	Write            hedge.Settings // with the least delay; each write is conditional, so a duplicate has no effect
}

// DefaultSettings returns the default timeouts.
func DefaultSettings() Settings {
	return Settings{
		// Tens of round trips between data centres.
		SchedulerTimeout: 150 * time.Millisecond,
		// Hundreds of times the store's usual response time, and less than callers wait.
		ReadTimeout: time.Second,
		// Longer than for other responses: a scheduler that is asked has much to do, and a job that it would refuse is accepted without it.
		AdmissionTimeout: 300 * time.Millisecond,
		// The usual limit of the platform's store.
		MaxValueBytes: 1 << 20,
		// The delay is twenty times the store's usual response time. A second call uses a new connection when the
		// first one gets no response.
		Write: hedge.Settings{Delay: 120 * time.Millisecond, MaxCalls: 3, Timeout: 1500 * time.Millisecond},
	}
}

// AcceptHandler stores jobs.
type AcceptHandler struct{ deps Deps }

// NewAccept returns an AcceptHandler.
func NewAccept(d Deps) *AcceptHandler { return &AcceptHandler{deps: d} }

// Handle returns the job's id once the job is stored; a job that is already stored is accepted again.
func (h *AcceptHandler) Handle(ctx context.Context, in Accept) (jaybarrow.JobID, error) {
	team, err := h.deps.Authorizer.Team(in.Queue, in.Key)
	if err != nil {
		return "", err
	}
	if err := validateJob(in, h.deps.Settings.MaxValueBytes); err != nil {
		return "", err
	}
	id, err := h.accept(ctx, in, team)
	h.recordRefusal(in, err)
	return id, err
}

// accept stores a valid job of the team.
func (h *AcceptHandler) accept(ctx context.Context, in Accept, team jaybarrow.TeamID) (jaybarrow.JobID, error) {
	if err := h.admit(ctx, in, team); err != nil {
		return "", err
	}
	policy := in.Queue.Policy()
	value, err := json.Marshal(jaybarrow.Job{
		ID: in.ID, Queue: in.Queue.ID, Pool: in.Queue.Pool, Team: team, Spec: in.Spec, Steps: in.Steps, Recurrence: in.Recurrence,
		AcceptedMs: h.deps.Clock.Now().UnixMilli(), Policy: &policy,
	})
	if err != nil {
		return "", jaybarrow.Errorf(jaybarrow.KindBadRequest, "encode job: %w", err)
	}
	if most := h.deps.Settings.MaxValueBytes; len(value) > most {
		return "", jaybarrow.Errorf(jaybarrow.KindBadRequest, "the job takes %d bytes, at most %d can be stored", len(value), most)
	}
	key := jaybarrow.JobAcceptedKey(in.ID)
	return in.ID, writeOnce(ctx, h.deps, jaybarrow.Commit{
		Expect: []jaybarrow.Expectation{{Key: key}}, Puts: []jaybarrow.Put{{Key: key, Value: value}},
	})
}

// writeOnce commits changes that expect a record not to exist. They may be sent again after an unknown outcome, since a conflict
// means that they are stored.
func writeOnce(ctx context.Context, d Deps, changes jaybarrow.Commit) error {
	isStored := func(err error) bool { return jaybarrow.IsKind(err, jaybarrow.KindConflict) }
	hedged := d.Settings.Write.Following(d.CommitTimes.Usual(d.Clock.Now()))
	_, err := hedge.Do(ctx, d.Clock, hedged, func(ctx context.Context) (jaybarrow.Revision, error) {
		return d.Store.Commit(ctx, changes)
	}, isStored)
	if isStored(err) {
		return nil
	}
	return err
}
