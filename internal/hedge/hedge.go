package hedge

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/panics"

	"github.com/jaybarrow/jaybarrow"
)

// Settings bounds the calls of one Do.
type Settings struct {
	Delay    time.Duration // time without an answer after which the next call is made
	MaxCalls int           // including the first call
	Timeout  time.Duration // for all calls together
}

// Do makes the call, and repeats it after each delay without a final result while the earlier calls continue. The call must be
// idempotent, and a repeated call must use another connection than the earlier ones. Do returns the first final result. Without
// one it returns the first error whose effect is not notRun, or else the last error. A panic of a call is propagated to the caller of Do,
// unless another call has returned a final result before.
func Do[T any](ctx context.Context, clock jaybarrow.Clock, s Settings, call func(context.Context) (T, error), final func(error) bool) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, s.Timeout)
	defer cancel()
	type result struct {
		value T
		err   error
		fault *panics.Recovered // of a call that panicked
	}
	results := make(chan result, s.MaxCalls)
	var group conc.WaitGroup // never waited for: calls that are no longer needed end with ctx
	calls, pending := 0, 0
	startCall := func() {
		calls++
		pending++
		group.Go(func() {
			var r result
			r.fault = panics.Try(func() { r.value, r.err = call(ctx) })
			results <- r
		})
	}
	startCall()
	var callErr error
	for {
		var nextCall <-chan time.Time
		if calls < s.MaxCalls {
			nextCall = clock.After(s.Delay)
		}
		select {
		case r := <-results:
			pending--
			if r.fault != nil {
				panic(r.fault)
			}
			if r.err == nil || final(r.err) {
				return r.value, r.err
			}
			callErr = leastCertain(callErr, r.err)
			if pending == 0 && (calls == s.MaxCalls || jaybarrow.AsError(callErr).Effect == jaybarrow.EffectNotRun) {
				var zero T
				return zero, callErr
			}
		case <-nextCall:
			startCall()
		case <-ctx.Done():
			var zero T
			return zero, leastCertain(callErr, jaybarrow.Errorf(jaybarrow.KindStoreUnavailable, "no answer: %w", ctx.Err()))
		}
	}
}

// leastCertain returns a if its call may have taken effect, and b otherwise, so that an unknown outcome is not reported as notRun.
func leastCertain(a, b error) error {
	if a != nil && jaybarrow.AsError(a).Effect != jaybarrow.EffectNotRun {
		return a
	}
	return b
}
