package follow

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"

	"github.com/jaybarrow/jaybarrow"
)

// Source is a source of records to follow; T holds a complete list or a set of changes.
type Source[T any] struct {
	Name    string
	List    func(ctx context.Context) (T, jaybarrow.Revision, error)
	Changes func(ctx context.Context, after jaybarrow.Revision, wait time.Duration) (T, jaybarrow.Revision, error)
	// Apply applies changes to the copy, or replaces it when complete is true; it is called for answers without changes too.
	Apply func(update T, complete bool, received time.Time)
}

// Settings holds the timing of a follower.
type Settings struct {
	Wait       time.Duration // how long a call for changes waits for one
	Slack      time.Duration // how much longer than Wait the answer to a call may take
	Pause      time.Duration // between two calls, so that one answer batches many changes
	RetryDelay time.Duration // after an error; doubles up to four times the value, and is shortened at random by up to half
}

// Deps holds the dependencies of a follower.
type Deps struct {
	Clock    jaybarrow.Clock
	Log      zerolog.Logger
	Settings Settings
}

// Run follows the source until ctx ends; it blocks until then.
func Run[T any](ctx context.Context, d Deps, s Source[T]) {
	f := follower[T]{Deps: d, source: s}
	for ctx.Err() == nil {
		after, ok := f.list(ctx)
		for ok {
			after, ok = f.changes(ctx, after)
		}
	}
}

type follower[T any] struct {
	Deps
	source   Source[T]
	failures int       // since the last success
	lostAt   time.Time // time of the first of them
}

// list reads the complete list; it reports false after an error.
func (f *follower[T]) list(ctx context.Context) (jaybarrow.Revision, bool) {
	call, cancel := context.WithTimeout(ctx, f.Settings.Wait+f.Settings.Slack)
	defer cancel()
	update, revision, err := f.source.List(call)
	if err != nil {
		f.backOff(ctx, err)
		return 0, false
	}
	f.recordSuccess()
	f.source.Apply(update, true, f.Clock.Now())
	return revision, true
}

// changes waits for the next changes; it reports false when the source must be listed again.
func (f *follower[T]) changes(ctx context.Context, after jaybarrow.Revision) (jaybarrow.Revision, bool) {
	call, cancel := context.WithTimeout(ctx, f.Settings.Wait+f.Settings.Slack)
	defer cancel()
	update, revision, err := f.source.Changes(call, after, f.Settings.Wait)
	switch {
	case ctx.Err() != nil:
		return 0, false
	case jaybarrow.IsKind(err, jaybarrow.KindNotFound):
		f.Log.Info().Str("source", f.source.Name).Int64("after", int64(after)).Msg("the history after the revision is no longer available; listing the source again")
		return 0, false
	case err != nil:
		f.backOff(ctx, err)
		return after, ctx.Err() == nil
	}
	f.recordSuccess()
	f.source.Apply(update, false, f.Clock.Now())
	f.sleep(ctx, f.Settings.Pause)
	return max(after, revision), true
}

func (f *follower[T]) recordSuccess() {
	if f.failures > 0 {
		f.Log.Info().Str("source", f.source.Name).Int("failures", f.failures).
			Int64("lostForMs", f.Clock.Now().Sub(f.lostAt).Milliseconds()).Msg("dependency regained")
	}
	f.failures = 0
}

func (f *follower[T]) backOff(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	f.failures++
	switch {
	case f.failures == 1:
		f.lostAt = f.Clock.Now()
		f.Log.Warn().Str("source", f.source.Name).Err(err).Msg("dependency lost")
	case f.failures&(f.failures-1) == 0: // bounds the volume: each line stands for twice as many failures as the one before
		f.Log.Warn().Str("source", f.source.Name).Err(err).Int("failures", f.failures).
			Int64("lostForMs", f.Clock.Now().Sub(f.lostAt).Milliseconds()).Msg("dependency still lost")
	}
	delay := f.Settings.RetryDelay << min(f.failures-1, 2)
	f.sleep(ctx, delay/2+rand.N(delay/2+1))
}

func (f *follower[T]) sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-f.Clock.After(d):
	}
}
