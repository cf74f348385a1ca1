package follow_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/follow"
)

// testTimeout is how long a test waits for an expected event.
const testTimeout = 30 * time.Second

const (
	pages    = 6
	pageSize = 3
	revision = 40 // of the first page; each later page has a higher one
)

// source is a list of pages of numbers.
type source struct {
	lock  sync.Mutex
	calls [pages]int // calls for each page
	// fault decides how the n-th call for a page fails; nil means that it succeeds. It is called without the lock.
	fault func(ctx context.Context, page, call int) error
}

// list returns the page that follows the key, which is the number of the last page.
func (s *source) list(ctx context.Context, after jaybarrow.Key) (jaybarrow.Page[int], error) {
	page := 0
	if after != "" {
		if _, err := fmt.Sscan(string(after), &page); err != nil {
			return jaybarrow.Page[int]{}, err
		}
	}
	s.lock.Lock()
	s.calls[page]++
	call := s.calls[page]
	s.lock.Unlock()
	if err := s.fault(ctx, page, call); err != nil {
		return jaybarrow.Page[int]{}, err
	}
	out := jaybarrow.Page[int]{Revision: jaybarrow.Revision(revision + page)}
	for n := range pageSize {
		out.Items = append(out.Items, page*pageSize+n)
	}
	if page < pages-1 {
		out.Next = jaybarrow.Key(fmt.Sprint(page + 1))
	}
	return out, nil
}

func allItems() []int {
	var out []int
	for n := range pages * pageSize {
		out = append(out, n)
	}
	return out
}

func deps(callLimit time.Duration) follow.Deps {
	return follow.Deps{
		Clock: jaybarrow.SystemClock{}, Log: zerolog.Nop(),
		Settings: follow.Settings{Wait: callLimit / 2, Slack: callLimit / 2, RetryDelay: time.Millisecond},
	}
}

// Guards against a list that is never complete because a failed page discards the pages before it.
func TestAFailedPageIsReadAgainAlone(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	s := &source{fault: func(_ context.Context, page, call int) error {
		if call <= page {
			return jaybarrow.Errorf(jaybarrow.KindStoreUnavailable, "no answer")
		}
		return nil
	}}
	items, ok := follow.List(ctx, deps(testTimeout), follow.Source[int]{Name: "numbers", List: s.list})
	assert.Assert(t, ok)
	assert.DeepEqual(t, items, allItems())
	assert.DeepEqual(t, s.calls, [pages]int{1, 2, 3, 4, 5, 6})
}

// Guards against a time limit that covers all pages, so that a list of many pages is never complete.
func TestTheTimeLimitHoldsForOnePage(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	const callLimit = 300 * time.Millisecond
	s := &source{fault: func(ctx context.Context, _, _ int) error { return sleep(ctx, callLimit/3) }}
	items, ok := follow.List(ctx, deps(callLimit), follow.Source[int]{Name: "numbers", List: s.list})
	assert.Assert(t, ok)
	assert.DeepEqual(t, items, allItems())
}

// Guards against a page that never arrives, because every call for it takes longer than the time limit of a call.
func TestAPageThatExceedsTheTimeLimitArrives(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	const callLimit = 200 * time.Millisecond
	s := &source{fault: func(ctx context.Context, page, _ int) error {
		if page != 1 {
			return nil
		}
		return sleep(ctx, 3*callLimit/2)
	}}
	items, ok := follow.List(ctx, deps(callLimit), follow.Source[int]{Name: "numbers", List: s.list})
	assert.Assert(t, ok)
	assert.DeepEqual(t, items, allItems())
}

// Guards against a list that waits for a silent connection for longer than the time limit of a call.
func TestASilentConnectionIsGivenUpAfterOneTimeLimit(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	const callLimit = time.Second
	silent := make(chan struct{})
	defer close(silent)
	s := &source{fault: func(ctx context.Context, page, call int) error {
		if page == 2 && call == 1 {
			<-silent // not even the end of ctx ends the call
		}
		return nil
	}}
	d := deps(callLimit)
	startedAt := time.Now()
	items, ok := follow.List(ctx, d, follow.Source[int]{Name: "numbers", List: s.list})
	assert.Assert(t, ok)
	assert.DeepEqual(t, items, allItems())
	assert.Equal(t, s.calls[2], 2)
	assert.Assert(t, time.Since(startedAt) < 2*callLimit)
}

// Guards against a large page that never arrives over a slow link, because a refused call for it discards the one under way.
func TestARefusedCallDoesNotDiscardThePageUnderWay(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	const callLimit = 200 * time.Millisecond
	underWay := make(chan struct{}, 1)
	s := &source{fault: func(ctx context.Context, page, _ int) error {
		if page != 1 {
			return nil
		}
		select {
		case underWay <- struct{}{}:
		default:
			return jaybarrow.Errorf(jaybarrow.KindQueueFull, "the store is overloaded")
		}
		defer func() { <-underWay }()
		return sleep(ctx, 3*callLimit/2)
	}}
	items, ok := follow.List(ctx, deps(callLimit), follow.Source[int]{Name: "numbers", List: s.list})
	assert.Assert(t, ok)
	assert.DeepEqual(t, items, allItems())
}

// Guards against a list that looks newer than it is: its age counts from the request, since answers may be slow.
func TestTheAgeOfAListCountsFromItsRequest(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	const pageTime = 100 * time.Millisecond
	s := &source{fault: func(ctx context.Context, _, _ int) error { return sleep(ctx, pageTime) }}
	follow.Run(ctx, deps(testTimeout), follow.Source[int]{Name: "numbers", List: s.list, Apply: func(_ []int, _ bool, asOf time.Time) {
		assert.Check(t, time.Since(asOf) >= pages*pageTime)
		cancel()
	}, Changes: func(ctx context.Context, after jaybarrow.Revision, _ time.Duration) ([]int, jaybarrow.Revision, error) {
		return nil, after, ctx.Err()
	}})
}

// Guards against changes that are missed because they were made while the later pages were read.
func TestChangesAreFollowedFromTheFirstPage(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	s := &source{fault: func(context.Context, int, int) error { return nil }}
	from := make(chan jaybarrow.Revision, 1)
	done := make(chan struct{})
	go func() {
		defer close(done)
		follow.Run(ctx, deps(testTimeout), follow.Source[int]{
			Name: "numbers", List: s.list,
			Changes: func(ctx context.Context, after jaybarrow.Revision, _ time.Duration) ([]int, jaybarrow.Revision, error) {
				from <- after
				<-ctx.Done()
				return nil, after, ctx.Err()
			},
			Apply: func([]int, bool, time.Time) {},
		})
	}()
	select {
	case at := <-from:
		assert.Equal(t, at, jaybarrow.Revision(revision))
	case <-time.After(testTimeout):
		t.Fatal("no call for changes")
	}
	cancel()
	<-done
}

// sleep waits for the duration, or returns the error of ctx if that ends first.
func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

// Guards against a source that is never followed again, because the changes since the last revision do not fit into the time limit of a
// call.
func TestChangesThatDoNotArriveInTimeAreReplacedByAList(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	s := &source{fault: func(context.Context, int, int) error { return nil }}
	lists, calls := 0, 0
	follow.Run(ctx, deps(100*time.Millisecond), follow.Source[int]{
		Name: "numbers", List: s.list,
		Changes: func(ctx context.Context, after jaybarrow.Revision, _ time.Duration) ([]int, jaybarrow.Revision, error) {
			if ctx.Err() == nil {
				calls++
			}
			<-ctx.Done()
			return nil, after, jaybarrow.Errorf(jaybarrow.KindStoreUnavailable, "no answer: %w", ctx.Err())
		},
		Apply: func(_ []int, complete bool, _ time.Time) {
			assert.Check(t, complete)
			if lists++; lists == 2 {
				cancel()
			}
		},
	})
	assert.Equal(t, lists, 2)
	assert.Equal(t, calls, 3)
}
