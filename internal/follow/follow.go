package follow

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"

	"github.com/jaybarrow/jaybarrow"
)

// Source is what is followed; T is a list or a set of changes.
type Source[T any] struct {
	Name    string
	List    func(ctx context.Context) (T, jaybarrow.Revision, error)
	Changes func(ctx context.Context, after jaybarrow.Revision, wait time.Duration) (T, jaybarrow.Revision, error)
	// Apply takes a list (whole) or changes into the copy; it is called for answers without changes too.
	Apply func(news T, whole bool, received time.Time)
}

// Settings are the times of a follower.
type Settings struct {
	Wait       time.Duration // how long a call waits for a change
	Slack      time.Duration // how much longer than that its answer may take
	Pause      time.Duration // between two calls, so that many changes come in one answer
	RetryDelay time.Duration // after an error; grows to four times
}

// Deps are what a follower depends on.
type Deps struct {
	Clock    jaybarrow.Clock
	Log      zerolog.Logger
	Settings Settings
}

// Run follows the source until ctx ends.
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
	source Source[T]
	failed int
}

// list reads everything; it reports false when that failed.
func (f *follower[T]) list(ctx context.Context) (jaybarrow.Revision, bool) {
	call, cancel := context.WithTimeout(ctx, f.Settings.Wait+f.Settings.Slack)
	defer cancel()
	news, at, err := f.source.List(call)
	if err != nil {
		f.fail(ctx, err)
		return 0, false
	}
	f.succeed()
	f.source.Apply(news, true, f.Clock.Now())
	return at, true
}

// changes waits for the next changes; it reports false when everything must be read again.
func (f *follower[T]) changes(ctx context.Context, after jaybarrow.Revision) (jaybarrow.Revision, bool) {
	call, cancel := context.WithTimeout(ctx, f.Settings.Wait+f.Settings.Slack)
	defer cancel()
	news, at, err := f.source.Changes(call, after, f.Settings.Wait)
	switch {
	case ctx.Err() != nil:
		return 0, false
	case jaybarrow.IsKind(err, jaybarrow.KindNotFound):
		f.Log.Info().Str("source", f.source.Name).Int64("after", int64(after)).Msg("history is gone; reading everything again")
		return 0, false
	case err != nil:
		f.fail(ctx, err)
		return after, ctx.Err() == nil
	}
	f.succeed()
	f.source.Apply(news, false, f.Clock.Now())
	f.sleep(ctx, f.Settings.Pause)
	return max(after, at), true
}

func (f *follower[T]) succeed() {
	if f.failed > 0 {
		f.Log.Info().Str("source", f.source.Name).Int("failures", f.failed).Msg("dependency regained")
	}
	f.failed = 0
}

func (f *follower[T]) fail(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	f.failed++
	if f.failed == 1 {
		f.Log.Warn().Str("source", f.source.Name).Err(err).Msg("dependency lost")
	}
	wait := f.Settings.RetryDelay << min(f.failed-1, 2)
	f.sleep(ctx, wait/2+rand.N(wait/2+1))
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
