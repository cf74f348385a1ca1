package jobmetrics_test

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jaybarrow/jaybarrow/internal/jobmetrics"
)

// Guards against lost values, including those above the range of a histogram, and against output that is not one line with name and
// value for each metric.
func TestMetricsAreWrittenAsLines(t *testing.T) {
	m := jobmetrics.New()
	m.Count("start.started")
	m.Count("start.started")
	m.Gauge("log.dropped", func() int64 { return 3 })
	m.Record("job.toEndMs.team.trail", 20*time.Millisecond)
	m.Record("job.toEndMs.team.trail", time.Hour)
	var out strings.Builder
	_, err := m.WriteTo(&out)
	assert.NilError(t, err)
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	for _, want := range []string{"start.started 2", "log.dropped 3", "job.toEndMs.team.trail.count 2", "job.toEndMs.team.trail.p50 20"} {
		assert.Assert(t, contains(lines, want), "%q in %q", want, lines)
	}
}

func contains(lines []string, want string) bool {
	for _, l := range lines {
		if l == want {
			return true
		}
	}
	return false
}
