package job_test

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/catalog"
	command "github.com/jaybarrow/jaybarrow/internal/command/job"
	"github.com/jaybarrow/jaybarrow/internal/latency"
)

// store is a JobStore that holds the keys of accepted jobs.
type store struct {
	jaybarrow.JobStore
	accepted map[jaybarrow.Key]bool
	readErr  error
}

func (s *store) Get(_ context.Context, key jaybarrow.Key) (jaybarrow.Record, error) {
	switch {
	case s.readErr != nil:
		return jaybarrow.Record{}, s.readErr
	case !s.accepted[key]:
		return jaybarrow.Record{}, jaybarrow.Errorf(jaybarrow.KindNotFound, "no record")
	}
	return jaybarrow.Record{Key: key}, nil
}

func (s *store) Commit(_ context.Context, changes jaybarrow.Commit) (jaybarrow.Revision, error) {
	if s.accepted[changes.Puts[0].Key] {
		return 0, jaybarrow.Errorf(jaybarrow.KindConflict, "the record exists")
	}
	s.accepted[changes.Puts[0].Key] = true
	return 1, nil
}

// directory is a scheduler with one answer for every job.
type directory struct {
	jaybarrow.JobDirectory
	answer jaybarrow.Admission
	err    error
	asked  *jaybarrow.AdmissionRequest // set by the last call; nil records nothing
}

func (d directory) JobStatus(context.Context, jaybarrow.JobID) (jaybarrow.JobStatus, error) {
	return jaybarrow.JobStatus{Known: true}, nil
}

func (d directory) Admit(_ context.Context, r jaybarrow.AdmissionRequest) (jaybarrow.Admission, error) {
	if d.asked != nil {
		*d.asked = r
	}
	return d.answer, d.err
}

// Guards against refusals that are not true or of no use: a repeated request for a job that is stored, lasting jobs, and jobs about which
// no scheduler or store can tell must not be refused.
func TestOnlyNewJobsAreRefused(t *testing.T) {
	const id = jaybarrow.JobID("00000000000000aa")
	refusal := jaybarrow.Admission{Wait: 9 * time.Second, RetryAfter: 4 * time.Second}
	quick := jaybarrow.Step{Tasks: 2, EstimateMs: 100}
	lasting := quick
	lasting.Lasting = true
	cases := []struct {
		name      string
		directory directory
		stored    bool
		readErr   error
		step      jaybarrow.Step
		refused   bool
	}{
		{"admitted", directory{answer: jaybarrow.Admission{Admitted: true}}, false, nil, quick, false},
		{"refused", directory{answer: refusal}, false, nil, quick, true},
		{"a repeated request", directory{answer: refusal}, true, nil, quick, false},
		{"no scheduler", directory{err: errors.New("no answer")}, false, nil, quick, false},
		{"a store that cannot tell", directory{answer: refusal}, false, jaybarrow.Errorf(jaybarrow.KindStoreUnavailable, "no answer"), quick, false},
		{"a lasting job", directory{answer: refusal}, false, nil, lasting, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := &store{accepted: map[jaybarrow.Key]bool{jaybarrow.JobAcceptedKey(id): c.stored}, readErr: c.readErr}
			clock := jaybarrow.SystemClock{}
			accept := command.NewAccept(command.Deps{
				Clock: clock, Store: s, Authorizer: command.NewAuthorizer(clock, catalog.New(clock.Now()), time.Hour),
				Directory: c.directory, Settings: command.DefaultSettings(),
			})
			_, err := accept.Handle(context.Background(), command.Accept{
				Queue: &jaybarrow.JobQueue{ID: "match", Pool: "desk", Open: true}, ID: id, Steps: []jaybarrow.Step{c.step},
			})
			if !c.refused {
				assert.NilError(t, err)
				assert.Assert(t, s.accepted[jaybarrow.JobAcceptedKey(id)])
				return
			}
			e := jaybarrow.AsError(err)
			assert.Equal(t, e.Kind, jaybarrow.KindDeadlineUnattainable)
			assert.Equal(t, e.Effect, jaybarrow.EffectNotRun)
			assert.Equal(t, e.RetryAfter, refusal.RetryAfter)
			assert.Assert(t, !s.accepted[jaybarrow.JobAcceptedKey(id)], "a refused job must not be stored")
		})
	}
}

// slowWrites is a store that takes a time for each write and counts the calls.
type slowWrites struct {
	store
	answerTime time.Duration
	calls      atomic.Int64
}

func (s *slowWrites) Commit(ctx context.Context, _ jaybarrow.Commit) (jaybarrow.Revision, error) {
	s.calls.Add(1)
	select {
	case <-ctx.Done():
		return 0, ctx.Err()
	case <-time.After(s.answerTime):
		return 1, nil
	}
}

// Load pattern: callers hand in and cancel jobs while the store takes 292 ms for each write. No answer is lost, so each job must take one call once
// the store's speed is known.
func TestASlowStoreGetsOneCallForEachAcceptedAndCancelledJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const known, jobs = 4, 20
		s := &slowWrites{answerTime: 292 * time.Millisecond}
		clock, commits := jaybarrow.SystemClock{}, latency.New()
		deps := command.Deps{
			Clock: clock, Store: latency.NewStore(s, clock, commits, nil), Authorizer: command.NewAuthorizer(clock, catalog.New(clock.Now()), time.Hour),
			Directory: directory{answer: jaybarrow.Admission{Admitted: true}}, CommitTimes: commits, Settings: command.DefaultSettings(),
		}
		accept, cancel := command.NewAccept(deps), command.NewCancel(deps)
		queue := &jaybarrow.JobQueue{ID: "match", Pool: "desk", Open: true}
		for n := range known + jobs {
			if n == known {
				s.calls.Store(0)
			}
			id := jaybarrow.JobID(fmt.Sprintf("%016x", n))
			_, err := accept.Handle(context.Background(), command.Accept{Queue: queue, ID: id, Steps: []jaybarrow.Step{{Tasks: 2, EstimateMs: 100}}})
			assert.NilError(t, err)
			_, err = cancel.Handle(context.Background(), command.Cancel{Queue: queue, ID: id})
			assert.NilError(t, err)
		}
		assert.Equal(t, s.calls.Load(), int64(2*jobs))
	})
}

// Guards against a job that is judged by the steps of another chain than its longest one, or by all of its steps.
func TestTheStepsOfTheLongestChainAreAskedAbout(t *testing.T) {
	step := func(ms int64, after ...jaybarrow.StepIndex) jaybarrow.Step {
		return jaybarrow.Step{Tasks: 1, EstimateMs: ms, After: after}
	}
	cases := []struct {
		name  string
		steps []jaybarrow.Step
		path  time.Duration
		count int
	}{
		{"one step", []jaybarrow.Step{step(200)}, 200 * time.Millisecond, 1},
		{"a chain", []jaybarrow.Step{step(200), step(100, 0), step(300, 1)}, 600 * time.Millisecond, 3},
		{"steps beside each other", []jaybarrow.Step{step(200), step(100), step(300)}, 300 * time.Millisecond, 1},
		{"a long step beside a chain of short ones", []jaybarrow.Step{step(50), step(50, 0), step(50, 1), step(400), step(100, 3)}, 500 * time.Millisecond, 2},
		{"two chains of one length", []jaybarrow.Step{step(200), step(100), step(100, 1)}, 200 * time.Millisecond, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			clock := jaybarrow.SystemClock{}
			var asked jaybarrow.AdmissionRequest
			accept := command.NewAccept(command.Deps{
				Clock: clock, Store: &store{accepted: make(map[jaybarrow.Key]bool)}, Authorizer: command.NewAuthorizer(clock, catalog.New(clock.Now()), time.Hour),
				Directory: directory{answer: jaybarrow.Admission{Admitted: true}, asked: &asked}, Settings: command.DefaultSettings(),
			})
			_, err := accept.Handle(context.Background(), command.Accept{
				Queue: &jaybarrow.JobQueue{ID: "match", Pool: "desk", Open: true}, ID: "00000000000000aa", Steps: c.steps,
			})
			assert.NilError(t, err)
			assert.Equal(t, asked.CriticalPath, c.path)
			assert.Equal(t, asked.PathSteps, c.count)
		})
	}
}
