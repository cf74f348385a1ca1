package job_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/catalog"
	command "github.com/jaybarrow/jaybarrow/internal/command/job"
)

// recorder holds the refused jobs.
type recorder struct{ jobs []jaybarrow.RefusedJob }

func (r *recorder) Record(job jaybarrow.RefusedJob) { r.jobs = append(r.jobs, job) }

// failingStore is a JobStore whose writes fail.
type failingStore struct {
	store
	writeErr error
}

func (s *failingStore) Commit(ctx context.Context, changes jaybarrow.Commit) (jaybarrow.Revision, error) {
	if s.writeErr != nil {
		return 0, s.writeErr
	}
	return s.store.Commit(ctx, changes)
}

// Guards against refused callers that nobody knows of, and against jobs that are recorded as refused although they may be accepted, are wrong
// or are never too late.
func TestJobsThatMayBeHandedInAgainAreRecorded(t *testing.T) {
	const id = jaybarrow.JobID("00000000000000aa")
	step := jaybarrow.Step{Tasks: 2, EstimateMs: 500, Demand: jaybarrow.Resources{CPU: 1000}}
	lasting, wrong := step, step
	lasting.Lasting, wrong.Tasks = true, 0
	down := jaybarrow.Errorf(jaybarrow.KindStoreUnavailable, "down")
	notRun := down.WithEffect(jaybarrow.EffectNotRun)
	cases := []struct {
		name     string
		answer   jaybarrow.Admission
		writeErr error
		step     jaybarrow.Step
		key      string
		recorded bool
	}{
		{"accepted", jaybarrow.Admission{Admitted: true}, nil, step, "", false},
		{"429 of admission", jaybarrow.Admission{RetryAfter: time.Second}, nil, step, "", true},
		{"503 of a store that is down", jaybarrow.Admission{Admitted: true}, notRun, step, "", true},
		{"503 without a leader", jaybarrow.Admission{Admitted: true}, jaybarrow.Errorf(jaybarrow.KindPeerLost, "none").WithEffect(jaybarrow.EffectNotRun), step, "", true},
		{"429 of an overloaded store", jaybarrow.Admission{Admitted: true}, jaybarrow.Errorf(jaybarrow.KindQueueFull, "overloaded"), step, "", true},
		{"504: it may be stored", jaybarrow.Admission{Admitted: true}, down, step, "", false},
		{"a lasting job", jaybarrow.Admission{Admitted: true}, notRun, lasting, "", false},
		{"a malformed job", jaybarrow.Admission{Admitted: true}, notRun, wrong, "", false},
		{"a wrong key", jaybarrow.Admission{Admitted: true}, notRun, step, "wrong", false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			clock, recorded := jaybarrow.SystemClock{}, new(recorder)
			known := catalog.New(clock.Now())
			known.Apply(&jaybarrow.Configuration{Version: 1})
			known.Confirm(clock.Now())
			accept := command.NewAccept(command.Deps{
				Clock: clock, Store: &failingStore{store{accepted: map[jaybarrow.Key]bool{}}, c.writeErr}, Authorizer: command.NewAuthorizer(clock, known, time.Hour),
				Directory: directory{answer: c.answer}, Refusals: recorded, Settings: command.DefaultSettings(),
			})
			_, err := accept.Handle(context.Background(), command.Accept{
				Queue: &jaybarrow.JobQueue{ID: "match", Pool: "desk", Open: c.key == ""}, Key: c.key, ID: id, Steps: []jaybarrow.Step{c.step},
			})
			if !c.recorded {
				assert.Equal(t, len(recorded.jobs), 0, "%v", err)
				return
			}
			assert.DeepEqual(t, recorded.jobs, []jaybarrow.RefusedJob{{ID: id, Pool: "desk", Work: jaybarrow.Work{CPU: 1000}}})
		})
	}
}
