package hedge_test

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/hedge"
	"github.com/jaybarrow/jaybarrow/internal/latency"
)

var write = hedge.Settings{Delay: 80 * time.Millisecond, MaxCalls: 3, Timeout: 1500 * time.Millisecond}

// Guards against a delay that is shorter than the fixed one, and against one so long that the repeated call cannot be answered within the limit.
func TestTheDelayFollowsTheUsualTimeWithinItsBounds(t *testing.T) {
	for _, usual := range []time.Duration{0, 4 * time.Millisecond, 40 * time.Millisecond} {
		assert.Equal(t, write.Following(usual), write, "the usual time is %v", usual)
	}
	for usual := time.Duration(0); usual < 10*time.Second; usual += 7 * time.Millisecond {
		s := write.Following(usual)
		assert.Assert(t, s.Delay >= write.Delay && s.Delay+min(usual, write.Timeout/2) <= write.Timeout, "a delay of %v with a usual time of %v", s.Delay, usual)
		assert.Assert(t, s.Delay > usual || usual >= write.Timeout/2, "a delay of %v with a usual time of %v", s.Delay, usual)
	}
	slowLink := hedge.Settings{Delay: 900 * time.Millisecond, MaxCalls: 3, Timeout: 1500 * time.Millisecond}
	assert.Equal(t, slowLink.Following(700*time.Millisecond), slowLink)
}

// store answers each call after answerTime; 0 stands for an answer that is lost.
type store struct {
	jaybarrow.JobStore
	answerTime func() time.Duration

	lock  sync.Mutex // guards calls, and is held while answerTime is called
	calls int
}

func (s *store) Commit(ctx context.Context, _ jaybarrow.Commit) (jaybarrow.Revision, error) {
	s.lock.Lock()
	s.calls++
	var answer <-chan time.Time
	if d := s.answerTime(); d > 0 {
		answer = time.After(d)
	}
	s.lock.Unlock()
	select {
	case <-ctx.Done():
		return 0, ctx.Err()
	case <-answer:
		return 1, nil
	}
}

// writes makes n writes, one after the other, and returns the calls that they took and the longest time of one.
func writes(t *testing.T, n int, s *store) (calls int, longest time.Duration) {
	commits := latency.New()
	measured := latency.NewStore(s, jaybarrow.SystemClock{}, commits, nil)
	before := s.calls
	for range n {
		began := time.Now()
		_, err := hedge.Do(context.Background(), jaybarrow.SystemClock{}, write.Following(commits.Usual(began)), func(ctx context.Context) (jaybarrow.Revision, error) {
			return measured.Commit(ctx, jaybarrow.Commit{})
		}, func(error) bool { return false })
		assert.NilError(t, err)
		longest = max(longest, time.Since(began))
	}
	synctest.Wait()
	return s.calls - before, longest
}

// Load pattern: the store takes 292 ms instead of 4 ms for each answer. No call is lost, so each write must take one call, except for the first
// one, which knows nothing of the store yet.
func TestASlowStoreGetsOneCallForEachWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &store{answerTime: func() time.Duration { return 292 * time.Millisecond }}
		calls, _ := writes(t, 50, s)
		assert.Assert(t, calls <= 50-1+write.MaxCalls, "%d calls for 50 writes", calls)
	})
}

// Guards against lost answers that are noticed late: as long as the other answers come at the usual speed, a write whose first answer is lost must
// take no longer than with the fixed delay.
func TestALostAnswerIsRepeatedEarlyWhileTheStoreIsFast(t *testing.T) {
	const usual = 4 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		random := rand.New(rand.NewPCG(1, 1))
		lostLast := false
		s := &store{answerTime: func() time.Duration {
			if lostLast = !lostLast && random.IntN(4) == 0; lostLast {
				return 0
			}
			return usual
		}}
		calls, longest := writes(t, 200, s)
		assert.Assert(t, calls > 200, "no answer was lost")
		assert.Equal(t, longest, write.Delay+usual)
	})
}

// Guards against a delay that a few slow calls make longer for all.
func TestAFewSlowCallsDoNotDelayRepeats(t *testing.T) {
	const usual = 4 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		n := 0
		s := &store{answerTime: func() time.Duration {
			if n++; n%10 == 0 {
				return 700 * time.Millisecond
			}
			return usual
		}}
		_, longest := writes(t, 200, s)
		assert.Equal(t, longest, write.Delay+usual)
	})
}

// Guards against a delay that stays long after the store has failed: its answers are forgotten, and repeats come as early as before.
func TestAFailedStoreIsTriedAsOftenAsBefore(t *testing.T) {
	commits, now := latency.New(), time.Unix(1000, 0)
	commits.Observe(now, 600*time.Millisecond)
	assert.Assert(t, write.Following(commits.Usual(now)).Delay > write.Delay)
	assert.Equal(t, write.Following(commits.Usual(now.Add(6*time.Second))), write)
}
