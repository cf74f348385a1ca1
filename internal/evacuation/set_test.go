package evacuation_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/evacuation"
)

var start = time.UnixMilli(1_000_000)

func begin(id jaybarrow.DataCentreID) jaybarrow.EvacuationChange {
	return jaybarrow.EvacuationChange{DataCentre: id}
}

func end(id jaybarrow.DataCentreID) jaybarrow.EvacuationChange {
	return jaybarrow.EvacuationChange{DataCentre: id, Ended: true}
}

type ids = []jaybarrow.DataCentreID

// Guards against an evacuation that is lost, stays after its key was removed, or ends others that are in force: by changes in one answer, by
// repeated ones, and by a list after the history was lost.
func TestEvacuationsFollowTheKeys(t *testing.T) {
	s := evacuation.New(evacuation.Settings{})
	steps := []struct {
		name         string
		complete     bool
		changes      []jaybarrow.EvacuationChange
		began, ended ids
		inForce      ids
	}{
		{"first list", true, []jaybarrow.EvacuationChange{begin("z1")}, ids{"z1"}, nil, ids{"z1"}},
		{"no change", false, nil, nil, nil, ids{"z1"}},
		{"a second one", false, []jaybarrow.EvacuationChange{begin("z2")}, ids{"z2"}, nil, ids{"z1", "z2"}},
		{"written again", false, []jaybarrow.EvacuationChange{begin("z2")}, nil, nil, ids{"z1", "z2"}},
		{"ended and begun again", false, []jaybarrow.EvacuationChange{end("z2"), begin("z2")}, nil, nil, ids{"z1", "z2"}},
		{"begun and ended", false, []jaybarrow.EvacuationChange{begin("z3"), end("z3")}, nil, nil, ids{"z1", "z2"}},
		{"one ends", false, []jaybarrow.EvacuationChange{end("z1")}, nil, ids{"z1"}, ids{"z2"}},
		{"an unknown one ends", false, []jaybarrow.EvacuationChange{end("z9")}, nil, nil, ids{"z2"}},
		{"list after lost history", true, []jaybarrow.EvacuationChange{begin("z4")}, ids{"z4"}, ids{"z2"}, ids{"z4"}},
		{"empty list", true, nil, nil, ids{"z4"}, nil},
	}
	for n, step := range steps {
		changed := s.Changed()
		update := s.Apply
		if step.complete {
			update = s.Replace
		}
		began, ended := update(step.changes, start.Add(time.Duration(n)*time.Second))
		assert.DeepEqual(t, began, step.began)
		assert.DeepEqual(t, ended, step.ended)
		assert.DeepEqual(t, s.DataCentres(), step.inForce)
		for _, id := range step.inForce {
			assert.Assert(t, s.InForce(id), "%s: %s", step.name, id)
		}
		select {
		case <-changed:
			assert.Assert(t, len(began)+len(ended) > 0, step.name)
		default:
			assert.Assert(t, len(began)+len(ended) == 0, step.name)
		}
	}
}

// Guards against starts, or a new leader, by a reading that is too old to show an evacuation whose bound has passed, or by changes without the list
// before them.
func TestTasksStartByARecentCompleteReadingOnly(t *testing.T) {
	s := evacuation.New(evacuation.Settings{Bound: 5 * time.Second, MaxLeadAge: time.Hour})
	check := func(now time.Time, want bool) {
		t.Helper()
		assert.Equal(t, s.MayStart(now), want)
		assert.Equal(t, s.MayLead(now), want)
	}
	check(start, false)
	s.Apply([]jaybarrow.EvacuationChange{begin("z1")}, start)
	check(start, false)
	s.Replace(nil, start)
	check(start.Add(3500*time.Millisecond), true)
	check(start.Add(3501*time.Millisecond), false)
	s.Apply(nil, start.Add(3*time.Second))
	check(start.Add(6500*time.Millisecond), true)
	// A list takes longer than the changes before it; its reading is not newer than theirs.
	s.Replace(nil, start.Add(2*time.Second))
	check(start.Add(6500*time.Millisecond), true)
	check(start.Add(6501*time.Millisecond), false)
}

// Guards against a platform without the bound on which tasks stop when the store is away, and against a leader there that knows no evacuation.
func TestWithoutABoundOnlyTheLeadNeedsAReading(t *testing.T) {
	s := evacuation.New(evacuation.Settings{MaxLeadAge: 4 * time.Second})
	assert.Assert(t, s.MayStart(start))
	assert.Assert(t, !s.MayLead(start))
	s.Replace(nil, start)
	assert.Assert(t, s.MayStart(start.Add(time.Hour)))
	assert.Assert(t, s.MayLead(start.Add(4*time.Second)))
	assert.Assert(t, !s.MayLead(start.Add(4001*time.Millisecond)))
}

// Guards against a bound so short that a reading is too old before the next call for changes is answered, and against other calls where the bound is
// missing or long.
func TestCallsForChangesAreAnsweredWithinTheBound(t *testing.T) {
	for _, c := range []struct{ bound, want time.Duration }{
		{0, time.Second}, {time.Minute, time.Second}, {5 * time.Second, 700 * time.Millisecond}, {2 * time.Second, 280 * time.Millisecond},
	} {
		assert.Equal(t, evacuation.MaxWait(c.bound, time.Second), c.want)
	}
}

// Load pattern: a store that answers after 300 ms, and one call for changes that is lost. Guards against a reading that is too old to start tasks
// before the next one arrives.
func TestOneLostCallDoesNotStopTheStarts(t *testing.T) {
	const (
		bound   = 5 * time.Second
		latency = 300 * time.Millisecond
		slack   = 500 * time.Millisecond // of a call's time limit, beyond its wait
		pause   = 100 * time.Millisecond // before a repeat
	)
	wait := evacuation.MaxWait(bound, time.Second)
	age := (wait + latency) + (wait + slack) + pause + (wait + latency)
	s := evacuation.New(evacuation.Settings{Bound: bound, MaxLeadAge: time.Second})
	start := time.Unix(1000, 0)
	s.Replace(nil, start)
	assert.Assert(t, s.MayStart(start.Add(age)), "a reading of %v", age)
}
