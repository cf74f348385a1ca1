package job

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/workload"
)

// Guards against jobs that are accepted although their progress cannot be stored.
func TestOnlyJobsWhoseProgressCanBeStoredAreAccepted(t *testing.T) {
	const valueBytes = 1 << 20
	most, begun := workload.MaxTasks(valueBytes), workload.MaxBegunTasks(valueBytes)
	cases := []struct {
		name       string
		steps      []jaybarrow.Step
		recurrence *jaybarrow.Recurrence
		accepted   bool
	}{
		{"the most tasks", []jaybarrow.Step{{Tasks: most}}, nil, true},
		{"too many tasks", []jaybarrow.Step{{Tasks: most}, {Tasks: 1}}, nil, false},
		{"too many tasks over all runs", []jaybarrow.Step{{Tasks: most / 4}}, &jaybarrow.Recurrence{Runs: 5}, false},
		{"the most lasting tasks", []jaybarrow.Step{{Tasks: begun, Lasting: true}}, nil, true},
		{"too many lasting tasks", []jaybarrow.Step{{Tasks: begun + 1, Lasting: true}}, nil, false},
		{"the largest gang", []jaybarrow.Step{{Tasks: begun, Gang: true}}, nil, true},
		{"too large a gang", []jaybarrow.Step{{Tasks: begun + 1, Gang: true}}, nil, false},
		{"a number that overflows", []jaybarrow.Step{{Tasks: 1 << 62}, {Tasks: 1 << 62}}, &jaybarrow.Recurrence{Runs: 1 << 62}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			err := validateJob(Accept{ID: "0123456789abcdef", Steps: c.steps, Recurrence: c.recurrence}, valueBytes)
			assert.Equal(t, err == nil, c.accepted, "%v", err)
			if err != nil {
				assert.Assert(t, jaybarrow.IsKind(err, jaybarrow.KindBadRequest))
			}
		})
	}
}
