package job

import (
	"context"
	"encoding/json"
	"time"

	"github.com/jaybarrow/jaybarrow"
)

// Accept asks to take a job.
type Accept struct {
	Queue      *jaybarrow.JobQueue
	Key        string // the caller's key; empty on an open queue
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
	Settings   Settings
}

// Settings are the times of the commands.
type Settings struct {
	Attempt  time.Duration // for one write
	Attempts int           // writes, each on condition that the job is not stored yet
}

// DefaultSettings returns the usual times.
func DefaultSettings() Settings {
	// A hundred times the store's usual answer; a second try meets a new connection where the first one was silent.
	return Settings{Attempt: 500 * time.Millisecond, Attempts: 2}
}

// AcceptHandler stores jobs.
type AcceptHandler struct{ deps Deps }

// NewAccept returns an AcceptHandler.
func NewAccept(d Deps) *AcceptHandler { return &AcceptHandler{deps: d} }

// Handle returns the job's id once it is stored. A job that is stored already is accepted again.
func (h *AcceptHandler) Handle(ctx context.Context, in Accept) (jaybarrow.JobID, error) {
	team, err := h.deps.Authorizer.Team(in.Queue, in.Key)
	if err != nil {
		return "", err
	}
	if err := validate(in); err != nil {
		return "", err
	}
	value, err := json.Marshal(jaybarrow.Job{
		ID: in.ID, Queue: in.Queue.ID, Pool: in.Queue.Pool, Team: team, Spec: in.Spec, Steps: in.Steps, Recurrence: in.Recurrence,
		AcceptedMs: h.deps.Clock.Now().UnixMilli(),
	})
	if err != nil {
		return "", jaybarrow.Errorf(jaybarrow.KindBadRequest, "encode job: %w", err)
	}
	key := jaybarrow.JobAcceptedKey(in.ID)
	return in.ID, writeOnce(ctx, h.deps, jaybarrow.Commit{
		Expect: []jaybarrow.Expectation{{Key: key}}, Puts: []jaybarrow.Put{{Key: key, Value: value}},
	})
}

// writeOnce commits changes that expect a record not to exist. The same changes may be tried again after an unknown outcome,
// and a conflict means that they are stored.
func writeOnce(ctx context.Context, d Deps, changes jaybarrow.Commit) error {
	var last *jaybarrow.Error
	for range d.Settings.Attempts {
		limited, cancel := context.WithTimeout(ctx, d.Settings.Attempt)
		_, err := d.Store.Commit(limited, changes)
		cancel()
		if err == nil || jaybarrow.IsKind(err, jaybarrow.KindConflict) {
			return nil
		}
		// One attempt of unknown outcome makes the whole command's outcome unknown.
		if next := jaybarrow.AsError(err); last == nil || last.Effect == jaybarrow.EffectNotRun {
			last = next
		}
		if last.Effect == jaybarrow.EffectNotRun {
			break
		}
	}
	return last
}
