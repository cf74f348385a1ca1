package hedge

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/jaybarrow/jaybarrow"
)

// Settings bound the calls of one Do.
type Settings struct {
	Delay    time.Duration // without an answer, until the next call
	MaxCalls int           // calls
	Timeout  time.Duration // for all of them
}

// Do makes the call, and makes it again after each delay without a final answer, over other connections than those that are
// busy. The call must have the same effect however often it is carried out. It returns the first final result; without one the
// last error whose effect is not certainly none, or the last error.
func Do[T any](ctx context.Context, clock jaybarrow.Clock, s Settings, call func(context.Context) (T, error), final func(error) bool) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, s.Timeout)
	defer cancel()
	type result struct {
		value T
		err   error
	}
	results := make(chan result, s.MaxCalls)
	var group conc.WaitGroup
	made, open := 0, 0
	begin := func() {
		made++
		open++
		group.Go(func() {
			v, err := call(ctx)
			results <- result{v, err}
		})
	}
	begin()
	var failed error
	for {
		var again <-chan time.Time
		if made < s.MaxCalls {
			again = clock.After(s.Delay)
		}
		select {
		case r := <-results:
			open--
			if r.err == nil || final(r.err) {
				return r.value, r.err
			}
			failed = worse(failed, r.err)
			if open == 0 && (made == s.MaxCalls || jaybarrow.AsError(failed).Effect == jaybarrow.EffectNotRun) {
				var none T
				return none, failed
			}
		case <-again:
			begin()
		case <-ctx.Done():
			var none T
			return none, worse(failed, jaybarrow.Errorf(jaybarrow.KindStoreUnavailable, "no answer: %w", ctx.Err()))
		}
	}
}

// worse returns the error that says less: one whose effect may have happened rather than one that certainly had none.
func worse(a, b error) error {
	if a != nil && jaybarrow.AsError(a).Effect != jaybarrow.EffectNotRun {
		return a
	}
	return b
}
