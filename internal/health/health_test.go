package health

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/jaybarrow/jaybarrow"
)

var epoch = time.Unix(1_800_000_000, 0)

type noJournal struct{}

func (noJournal) Note(jaybarrow.Subject, string, string) {}

func newHealth(hosts, unavailable int) (*Health, []jaybarrow.HostID) {
	h := New(Deps{Settings: DefaultSettings(), Journal: noJournal{}, Random: func() float64 { return 0.5 }})
	var ids []jaybarrow.HostID
	for i := range hosts {
		ids = append(ids, jaybarrow.HostID(fmt.Sprintf("host-%02d", i)))
	}
	h.SetPool("desk", ids, unavailable)
	return h, ids
}

// Guards against more ejections than the cap allows, for any sequence of outcomes and pool changes, and against an ejected
// host that gets a second task during its trial.
func TestEjectionsStayWithinTheCap(t *testing.T) {
	outcomes := []Outcome{OutcomeDone, OutcomeFailedQuickly, OutcomeFailedSlowly, OutcomeNoAnswer, OutcomeRefused, OutcomeNone}
	rapid.Check(t, func(t *rapid.T) {
		size, unavailable := rapid.IntRange(1, 12).Draw(t, "hosts"), 0
		h, ids := newHealth(size, 0)
		now := epoch
		for range rapid.IntRange(1, 300).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "gapMs")) * time.Millisecond)
			if rapid.IntRange(0, 30).Draw(t, "resize") == 0 {
				size = rapid.IntRange(1, len(ids)).Draw(t, "hosts")
				unavailable = rapid.IntRange(0, size).Draw(t, "unavailable")
				h.SetPool("desk", ids[:size], unavailable)
			}
			id := rapid.SampledFrom(ids[:size]).Draw(t, "host")
			condition := h.Condition(now, "desk", id)
			admitted := h.Admit(now, "desk", id)
			assert.Equal(t, admitted, condition.Accepting)
			if admitted && condition.Trial {
				assert.Assert(t, !h.Admit(now, "desk", id), "admitted a second task during the trial")
			}
			h.Observe(now, "desk", id, rapid.SampledFrom(outcomes).Draw(t, "outcome"), time.Second)
			assert.Assert(t, len(h.Ejected("desk")) <= max(0, size/3-unavailable))
		}
	})
}

// Guards against a healthy worker that stays ejected after its trial was due, and against a failing one that is never ejected.
// The failing workers are within the cap, the healthy ones fail a few tasks, and every admitted worker gets a task.
func TestHealthyWorkersReturnAndFailingOnesAreEjected(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(4, 12).Draw(t, "hosts")
		failing := rapid.IntRange(1, size/3).Draw(t, "bad")
		failure := rapid.SampledFrom([]Outcome{OutcomeFailedQuickly, OutcomeFailedSlowly, OutcomeNoAnswer}).Draw(t, "failure")
		h, ids := newHealth(size, 0)
		settings := DefaultSettings()
		longest := time.Duration(float64(settings.Backoff) * (1 + settings.Jitter))
		ejectedSince := make(map[jaybarrow.HostID]time.Time)
		everEjected := make(map[jaybarrow.HostID]bool)
		now := epoch
		for range 600 {
			now = now.Add(250 * time.Millisecond)
			for i, id := range ids {
				if !h.Admit(now, "desk", id) {
					continue
				}
				outcome := OutcomeDone
				switch {
				case i < failing:
					outcome = failure
				case rapid.IntRange(0, 19).Draw(t, "fails") == 0 && !isTrial(h, id):
					outcome = failure
				}
				h.Observe(now, "desk", id, outcome, time.Second)
			}
			updateEjectedSince(h, now, ejectedSince, everEjected)
			for i, id := range ids {
				since, isEjected := ejectedSince[id]
				assert.Assert(t, i < failing || !isEjected || now.Sub(since) <= longest, "healthy %s has been ejected for %v", id, now.Sub(since))
			}
		}
		for _, id := range ids[:failing] {
			assert.Assert(t, everEjected[id], "failing %s was never ejected", id)
		}
	})
}

func isTrial(h *Health, id jaybarrow.HostID) bool {
	p := h.pool("desk")
	p.Lock()
	defer p.Unlock()
	return p.state.phaseOf(id) == phaseTrial
}

// updateEjectedSince records since when each ejected host has been ejected, and drops the readmitted ones.
func updateEjectedSince(h *Health, now time.Time, ejectedSince map[jaybarrow.HostID]time.Time, everEjected map[jaybarrow.HostID]bool) {
	ejected := make(map[jaybarrow.HostID]bool)
	for _, e := range h.Ejected("desk") {
		ejected[e.Host], everEjected[e.Host] = true, true
		if _, known := ejectedSince[e.Host]; !known {
			ejectedSince[e.Host] = now
		}
	}
	for id := range ejectedSince {
		if !ejected[id] {
			delete(ejectedSince, id)
		}
	}
}

// Guards against ejecting the wrong number of workers in the cases that the default settings are meant for.
func TestEjectionDecisions(t *testing.T) {
	every := func(outcome Outcome) func(int) Outcome { return func(int) Outcome { return outcome } }
	onlyFirst := func(outcome Outcome) func(int) Outcome {
		return func(host int) Outcome {
			if host == 0 {
				return outcome
			}
			return OutcomeDone
		}
	}
	cases := []struct {
		name        string
		hosts       int
		unavailable int
		outcome     func(host int) Outcome
		busy        int // hosts that get work
		ejected     int
	}{
		{"all succeed", 6, 0, every(OutcomeDone), 6, 0},
		{"bad requests fail everywhere", 6, 0, every(OutcomeFailedQuickly), 6, 0},
		{"one fails quickly", 6, 0, onlyFirst(OutcomeFailedQuickly), 6, 1},
		{"one fails slowly", 6, 0, onlyFirst(OutcomeFailedSlowly), 6, 1},
		{"one is unresponsive", 6, 0, onlyFirst(OutcomeNoAnswer), 6, 1},
		{"one is full", 6, 0, onlyFirst(OutcomeRefused), 6, 0},
		{"the failing one gets all tasks", 6, 0, onlyFirst(OutcomeFailedQuickly), 1, 1},
		{"unavailable hosts use up the cap", 6, 2, onlyFirst(OutcomeFailedQuickly), 6, 0},
		{"a third of two hosts is none", 2, 0, onlyFirst(OutcomeFailedQuickly), 2, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h, ids := newHealth(c.hosts, c.unavailable)
			for round := range 12 {
				now := epoch.Add(time.Duration(round) * 100 * time.Millisecond)
				for i, id := range ids[:c.busy] {
					if h.Admit(now, "desk", id) {
						h.Observe(now, "desk", id, c.outcome(i), time.Second)
					}
				}
			}
			assert.Equal(t, len(h.Ejected("desk")), c.ejected, "%v", h.Ejected("desk"))
		})
	}
}

// Guards against quick failures that lower a worker's latency, so that placement prefers it.
func TestQuickFailuresDoNotLowerTheLatency(t *testing.T) {
	h, ids := newHealth(2, 0)
	h.Observe(epoch, "desk", ids[0], OutcomeDone, time.Second)
	for range 3 {
		h.Observe(epoch, "desk", ids[0], OutcomeFailedQuickly, time.Millisecond)
		h.Observe(epoch, "desk", ids[1], OutcomeFailedQuickly, time.Millisecond)
	}
	candidate := h.Condition(epoch, "desk", ids[0]).Fill(jaybarrow.Candidate{Host: ids[0]})
	assert.Equal(t, candidate.Failures, 3)
	assert.Equal(t, candidate.Latency, time.Second)
	assert.Equal(t, h.Condition(epoch, "desk", ids[1]).Latency, time.Duration(0))
}

// Guards against a backoff that does not grow after a failed trial, and against a trial without an outcome that blocks its host
// for ever.
func TestTrialBackoffAndTimeout(t *testing.T) {
	h, ids := newHealth(6, 0)
	for range 6 {
		h.Observe(epoch, "desk", ids[0], OutcomeFailedQuickly, time.Millisecond)
	}
	first, ok := h.NextTrial("desk")
	assert.Assert(t, ok && !h.Accepting(first.Add(-1), "desk", ids[0]) && h.Admit(first, "desk", ids[0]))
	assert.Assert(t, !h.Accepting(first.Add(time.Second), "desk", ids[0]))
	h.Observe(first, "desk", ids[0], OutcomeNoAnswer, time.Second)
	second, _ := h.NextTrial("desk")
	assert.Equal(t, second.Sub(first), 2*first.Sub(epoch))

	assert.Assert(t, h.Admit(second, "desk", ids[0]))
	third, _ := h.NextTrial("desk")
	assert.Equal(t, third.Sub(second), DefaultSettings().TrialTimeout)
	assert.Assert(t, h.Admit(third, "desk", ids[0]))
	h.Observe(third, "desk", ids[0], OutcomeDone, time.Second)
	_, ok = h.NextTrial("desk")
	assert.Assert(t, !ok && len(h.Ejected("desk")) == 0)
}

// Guards against a refusal or a cancellation that is counted as a failure of the worker.
func TestClassify(t *testing.T) {
	cases := []struct {
		name string
		err  error
		took time.Duration
		want Outcome
	}{
		{"answered", nil, 0, OutcomeDone},
		{"failed quickly", jaybarrow.Errorf(jaybarrow.KindWorkerFailed, "failed"), time.Millisecond, OutcomeFailedQuickly},
		{"failed slowly", jaybarrow.Errorf(jaybarrow.KindWorkerFailed, "failed"), time.Minute, OutcomeFailedSlowly},
		{"lost", jaybarrow.Errorf(jaybarrow.KindWorkerLost, "lost"), time.Minute, OutcomeNoAnswer},
		{"refused", jaybarrow.Errorf(jaybarrow.KindWorkerRefused, "full"), 0, OutcomeRefused},
		{"cancelled", jaybarrow.Errorf(jaybarrow.KindCancelled, "cancelled"), 0, OutcomeNone},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { assert.Equal(t, Classify(c.err, c.took, time.Second), c.want) })
	}
}

// Guards against a worker with fewer failures than an ejection needs that placement avoids for ever: it would get neither a
// trial nor work after it has recovered.
func TestOldFailuresDoNotAffectPlacement(t *testing.T) {
	h, ids := newHealth(3, 0)
	h.Observe(epoch, "desk", ids[0], OutcomeFailedQuickly, time.Millisecond)
	assert.Equal(t, h.Condition(epoch.Add(time.Second), "desk", ids[0]).Failures, 1)
	assert.Equal(t, h.Condition(epoch.Add(DefaultSettings().Backoff), "desk", ids[0]).Failures, 0)
}
