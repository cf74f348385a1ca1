package hedge_test

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc/panics"
	"gotest.tools/v3/assert"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/hedge"
)

var settings = hedge.Settings{Delay: 10 * time.Millisecond, MaxCalls: 3, Timeout: 20 * time.Second}

func notRun() error {
	return jaybarrow.Errorf(jaybarrow.KindStoreUnavailable, "refused").WithEffect(jaybarrow.EffectNotRun)
}

func unknown() error { return jaybarrow.Errorf(jaybarrow.KindStoreUnavailable, "no answer") }

func neverFinal(error) bool { return false }

// Guards against a connection without answers that delays a write until its deadline.
func TestASilentCallIsRepeated(t *testing.T) {
	var calls atomic.Int64
	v, err := hedge.Do(context.Background(), jaybarrow.SystemClock{}, settings, func(ctx context.Context) (int64, error) {
		n := calls.Add(1)
		if n == 1 {
			<-ctx.Done()
			return 0, ctx.Err()
		}
		return n, nil
	}, neverFinal)
	assert.NilError(t, err)
	assert.Equal(t, v, int64(2))
}

// Guards against an error with effect notRun after an earlier call whose outcome is unknown.
func TestAnUnknownOutcomeIsNotReportedAsNotRun(t *testing.T) {
	cases := []struct {
		name  string
		first error
		then  error
		want  jaybarrow.Effect
		calls int64
	}{
		{"refused", notRun(), notRun(), jaybarrow.EffectNotRun, 1},
		{"unknown, then refused", unknown(), notRun(), jaybarrow.EffectMayHaveRun, 3},
		{"unknown each time", unknown(), unknown(), jaybarrow.EffectMayHaveRun, 3},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var calls atomic.Int64
			_, err := hedge.Do(context.Background(), jaybarrow.SystemClock{}, settings, func(context.Context) (int, error) {
				if calls.Add(1) == 1 {
					return 0, c.first
				}
				return 0, c.then
			}, neverFinal)
			assert.Equal(t, jaybarrow.AsError(err).Effect, c.want)
			assert.Equal(t, calls.Load(), c.calls)
		})
	}
}

// Guards against a panic of a call that is lost, so that each write waits for its time limit and is reported as not answered.
func TestAPanicOfACallReachesTheCaller(t *testing.T) {
	started := time.Now()
	var caught panics.Catcher
	caught.Try(func() {
		_, err := hedge.Do(context.Background(), jaybarrow.SystemClock{}, hedge.Settings{Delay: time.Minute, MaxCalls: 1, Timeout: 2 * time.Second}, func(context.Context) (int, error) {
			panic("broken answer")
		}, neverFinal)
		t.Errorf("no panic after %v, but the error %v", time.Since(started), err)
	})
	assert.Assert(t, caught.Recovered() != nil)
	held, ok := caught.Recovered().Value.(*panics.Recovered)
	assert.Assert(t, ok)
	assert.Equal(t, held.Value, "broken answer")
}

// Guards against calls that are repeated after a final error.
func TestAFinalErrorEndsTheCalls(t *testing.T) {
	conflict := errors.New("conflict")
	var calls atomic.Int64
	_, err := hedge.Do(context.Background(), jaybarrow.SystemClock{}, settings, func(context.Context) (int, error) {
		calls.Add(1)
		return 0, conflict
	}, func(err error) bool { return errors.Is(err, conflict) })
	assert.ErrorIs(t, err, conflict)
	assert.Equal(t, calls.Load(), int64(1))
}

// Guards against a wait longer than the timeout, and against a timeout error whose effect is notRun.
func TestTheLimitEndsTheWait(t *testing.T) {
	s := settings
	s.Timeout = 50 * time.Millisecond
	_, err := hedge.Do(context.Background(), jaybarrow.SystemClock{}, s, func(ctx context.Context) (int, error) {
		<-ctx.Done()
		return 0, ctx.Err()
	}, neverFinal)
	assert.Equal(t, jaybarrow.AsError(err).Effect, jaybarrow.EffectMayHaveRun)
}
