package latency_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jaybarrow/jaybarrow/internal/latency"
)

// Guards against an estimate that one slow answer moves, and against one that does not follow a dependency that has become slow or fast.
func TestUsualFollowsTheRecentAnswers(t *testing.T) {
	e, now := latency.New(), time.Unix(1000, 0)
	assert.Equal(t, e.Usual(now), time.Duration(0))
	observe := func(n int, took time.Duration) {
		for range n {
			now = now.Add(5 * time.Millisecond)
			e.Observe(now, took)
		}
	}
	observe(15, 4*time.Millisecond)
	observe(1, 900*time.Millisecond)
	assert.Equal(t, e.Usual(now), 4*time.Millisecond)
	observe(16, 290*time.Millisecond)
	assert.Equal(t, e.Usual(now), 290*time.Millisecond)
	observe(16, 4*time.Millisecond)
	assert.Equal(t, e.Usual(now), 4*time.Millisecond)
}

// Guards against an estimate from before a long pause.
func TestOldAnswersAreForgotten(t *testing.T) {
	e, now := latency.New(), time.Unix(1000, 0)
	e.Observe(now, 300*time.Millisecond)
	assert.Equal(t, e.Usual(now.Add(6*time.Second)), time.Duration(0))
}
