package latency_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/latency"
)

// lateStore answers commits after a time with an error, or nil.
type lateStore struct {
	jaybarrow.JobStore
	answerTime time.Duration
	err        error
}

func (s *lateStore) Commit(ctx context.Context, _ jaybarrow.Commit) (jaybarrow.Revision, error) {
	select {
	case <-ctx.Done():
		return 0, jaybarrow.Errorf(jaybarrow.KindStoreUnavailable, "no answer: %w", ctx.Err())
	case <-time.After(s.answerTime):
		return 1, s.err
	}
}

// Guards against an estimate from calls that were cancelled or refused, which would be too short, and against one without the answers that a
// condition does not hold.
func TestOnlyAnswersAreRecorded(t *testing.T) {
	const slow = 292 * time.Millisecond
	cases := []struct {
		name  string
		limit time.Duration // after which the caller gives up
		err   error
		want  time.Duration
	}{
		{"answered", time.Second, nil, slow},
		{"condition does not hold", time.Second, jaybarrow.Errorf(jaybarrow.KindConflict, "changed"), slow},
		{"cancelled", 80 * time.Millisecond, nil, 0},
		{"refused", time.Second, jaybarrow.Errorf(jaybarrow.KindStoreUnavailable, "refused").WithEffect(jaybarrow.EffectNotRun), 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				commits := latency.New()
				s := latency.NewStore(&lateStore{answerTime: slow, err: c.err}, jaybarrow.SystemClock{}, commits, nil)
				ctx, cancel := context.WithTimeout(context.Background(), c.limit)
				defer cancel()
				_, _ = s.Commit(ctx, jaybarrow.Commit{}) //nolint:errcheck // only the recorded time matters
				assert.Equal(t, commits.Usual(time.Now()), c.want)
			})
		})
	}
}
