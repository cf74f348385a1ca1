package scheduler

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a line for each look at a pool, and against a change that is never logged since it came soon after another.
func TestAChangeOfTheDispatchIsLoggedOnceAndRarely(t *testing.T) {
	var l dispatchLog
	now := time.Unix(1000, 0)
	assert.Assert(t, !l.due(false, now), "nothing is slow")
	assert.Assert(t, l.due(true, now))
	assert.Assert(t, !l.due(true, now.Add(time.Minute)), "nothing has changed")
	assert.Assert(t, l.due(false, now.Add(time.Minute)))
	now = now.Add(time.Minute)
	assert.Assert(t, !l.due(true, now.Add(time.Second)), "too soon")
	assert.Assert(t, l.due(true, now.Add(dispatchLogInterval)))
}
