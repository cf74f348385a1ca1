package budget_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jaybarrow/jaybarrow/internal/budget"
)

// Guards against a leader that refuses and accepts jobs by turns, and against one that refuses them although its memory is unknown.
func TestMemoryIsShortUntilItClearlySuffices(t *testing.T) {
	m := budget.NewMemory(budget.Host{Memory: 1000})
	var got []bool
	for _, live := range []budget.Bytes{100, 549, 550, 900, 500, 450, 449, 500} {
		got = append(got, m.Sample(live))
	}
	assert.DeepEqual(t, got, []bool{false, false, true, true, true, true, false, false})
	assert.Assert(t, !budget.NewMemory(budget.Host{}).Sample(1<<40))
}
