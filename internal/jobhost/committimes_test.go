package jobhost

import (
	"bytes"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/scheduler"
)

// Guards against a slow store that operators cannot tell from lost answers, and against a line for each write.
func TestASlowStoreIsLoggedWhenItBeginsAndWhenItEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		fixed := scheduler.DefaultSettings().Commit
		c := newCommitTimes(jaybarrow.SystemClock{}, zerolog.New(&out), fixed)
		answer := func(n int, took time.Duration) {
			for range n {
				time.Sleep(took)
				c.times.Observe(time.Now(), took)
				c.note()
			}
		}
		answer(100, 4*time.Millisecond)
		assert.Equal(t, out.String(), "")
		assert.Equal(t, c.repeatDelay(), fixed.Delay)
		answer(50, 292*time.Millisecond)
		assert.Equal(t, c.usual(), 292*time.Millisecond)
		assert.Assert(t, c.repeatDelay() > 292*time.Millisecond)
		answer(100, 4*time.Millisecond)
		assert.Equal(t, c.repeatDelay(), fixed.Delay)
		lines := strings.Split(strings.TrimSpace(out.String()), "\n")
		assert.Equal(t, len(lines), 2, "%s", out.String())
		assert.Assert(t, strings.Contains(lines[0], "the store is slow") && strings.Contains(lines[1], "usual speed again"), "%s", out.String())
	})
}

// Guards against a line for each turn of a store whose speed changes all the time.
func TestAStoreOfChangingSpeedIsLoggedRarely(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		c := newCommitTimes(jaybarrow.SystemClock{}, zerolog.New(&out), scheduler.DefaultSettings().Commit)
		const length = time.Minute
		for began := time.Now(); time.Since(began) < length; {
			for _, took := range []time.Duration{292 * time.Millisecond, 4 * time.Millisecond} {
				for range 16 {
					time.Sleep(took / 16)
					c.times.Observe(time.Now(), took)
					c.note()
				}
			}
		}
		lines := strings.Count(out.String(), "\n")
		assert.Assert(t, lines <= int(length/slowLogInterval)+1, "%d lines in %v", lines, length)
	})
}
