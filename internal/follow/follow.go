package follow

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/hedge"
)

// Source is a source of items to follow.
type Source[T any] struct {
	Name string
	// List returns a page of the complete list; the key after is empty for the first page.
	List func(ctx context.Context, after jaybarrow.Key) (jaybarrow.Page[T], error)
	// Changes waits up to wait for changes after the revision, with the errors of jaybarrow.JobStore.Changes.
	Changes func(ctx context.Context, after jaybarrow.Revision, wait time.Duration) ([]T, jaybarrow.Revision, error)
	// Apply applies changes to the copy, or replaces it when complete is true; it is called for answers without changes too. asOf is
	// when changes were received, or when the first page of a list was requested.
	Apply func(items []T, complete bool, asOf time.Time)
}

// Settings holds the timing of a follower.
type Settings struct {
	Wait       time.Duration // how long a call for changes waits for one
	Slack      time.Duration // how much longer than Wait the answer to a call may take
	Pause      time.Duration // between two calls, so that one answer batches many changes
	RetryDelay time.Duration // after an error; doubles up to four times the value, and is shortened at random by up to half
}

// maxPageCalls is how many calls for one page may overlap. A call that exceeds its time limit goes on beside the next one, so that a
// large page arrives over a slow link although a silent connection is replaced after one time limit.
const maxPageCalls = 3

// maxChangesTimeouts is how many calls for changes in a row may exceed their time limit before the source is listed again. The changes
// since a revision may be too many for one answer; the pages of a list are not.
const maxChangesTimeouts = 3

// callLimit is the time limit of a call.
func (s Settings) callLimit() time.Duration { return s.Wait + s.Slack }

// PageLimit returns the time after which the overlapping calls for one page have all failed.
func (s Settings) PageLimit() time.Duration { return maxPageCalls * s.callLimit() }

// Deps holds the dependencies of a follower.
type Deps struct {
	Clock    jaybarrow.Clock
	Log      zerolog.Logger
	Settings Settings
}

// Run follows the source until ctx ends; it blocks until then.
func Run[T any](ctx context.Context, d Deps, s Source[T]) {
	f := &follower[T]{Deps: d, source: s}
	for ctx.Err() == nil {
		items, after, requestedAt, ok := f.list(ctx)
		if ok {
			s.Apply(items, true, requestedAt)
		}
		for ok {
			after, ok = f.changes(ctx, after)
		}
	}
}

// List returns the complete list of the source, which needs no Changes and no Apply. It blocks until the list is read, and reports false
// when ctx ended before.
func List[T any](ctx context.Context, d Deps, s Source[T]) ([]T, bool) {
	f := &follower[T]{Deps: d, source: s}
	items, _, _, ok := f.list(ctx)
	return items, ok
}

type follower[T any] struct {
	Deps
	source   Source[T]
	timeouts int       // calls for changes in a row that exceeded their time limit
	failures int       // since the last success
	lostAt   time.Time // time of the first of them
}

// list reads the complete list and returns the revision to follow changes from and when the first page was requested; it reports false
// when ctx has ended. Each page has a time limit of its own, and only a page that fails is read again.
func (f *follower[T]) list(ctx context.Context) (items []T, start jaybarrow.Revision, requestedAt time.Time, ok bool) {
	var after jaybarrow.Key
	for pages := 0; ctx.Err() == nil; {
		calledAt := f.Clock.Now()
		page, err := f.page(ctx, after)
		if err != nil {
			f.backOff(ctx, fmt.Errorf("page %d after %d items: %w", pages+1, len(items), err))
			continue
		}
		f.recordSuccess()
		if pages == 0 {
			start, requestedAt = page.Revision, calledAt
		}
		pages++
		items = append(items, page.Items...)
		if page.Next == "" {
			return items, start, requestedAt, true
		}
		after = page.Next
	}
	return nil, 0, time.Time{}, false
}

// page reads the page that follows the key after.
func (f *follower[T]) page(ctx context.Context, after jaybarrow.Key) (jaybarrow.Page[T], error) {
	calls := hedge.Settings{Delay: f.Settings.callLimit(), MaxCalls: maxPageCalls, Timeout: f.Settings.PageLimit()}
	return hedge.Do(ctx, f.Clock, calls, func(ctx context.Context) (jaybarrow.Page[T], error) {
		page, err := f.source.List(ctx, after)
		if err != nil {
			// A read has no effect, so without another call under way the error is final.
			return page, jaybarrow.AsError(err).WithEffect(jaybarrow.EffectNotRun)
		}
		return page, nil
	}, func(error) bool { return false })
}

// changes waits for the next changes; it reports false when the source must be listed again.
func (f *follower[T]) changes(ctx context.Context, after jaybarrow.Revision) (jaybarrow.Revision, bool) {
	call, cancel := context.WithTimeout(ctx, f.Settings.callLimit())
	defer cancel()
	items, revision, err := f.source.Changes(call, after, f.Settings.Wait)
	if call.Err() != nil {
		f.timeouts++
	} else {
		f.timeouts = 0
	}
	switch {
	case ctx.Err() != nil:
		return 0, false
	case jaybarrow.IsKind(err, jaybarrow.KindNotFound):
		f.Log.Info().Str("source", f.source.Name).Int64("after", int64(after)).Msg("the history after the revision is no longer available; listing the source again")
		return 0, false
	case err != nil:
		f.backOff(ctx, err)
		if f.timeouts >= maxChangesTimeouts {
			f.timeouts = 0
			f.Log.Info().Str("source", f.source.Name).Int64("after", int64(after)).Msg("the changes do not arrive in time; listing the source again")
			return 0, false
		}
		return after, ctx.Err() == nil
	}
	f.recordSuccess()
	f.source.Apply(items, false, f.Clock.Now())
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
