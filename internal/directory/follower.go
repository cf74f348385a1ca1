package directory

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/rungroup"
)

// PeerFetcher fetches from other entry hosts the records changed after a revision, and the revision up to which they are
// complete.
type PeerFetcher func(ctx context.Context, after jaybarrow.Revision) ([]jaybarrow.Record, jaybarrow.Revision, error)

// FollowerSettings are the timeouts and intervals of a Follower.
type FollowerSettings struct {
	WatchTimeout time.Duration // a watch that delivers no event for this long is closed
	RetryMin     time.Duration // the first wait after a failure; each further failure doubles it
	RetryMax     time.Duration // the longest wait
	StoreTimeout time.Duration // the store counts as unavailable when it has not confirmed the copy for this long
	PeerInterval time.Duration // between two fetches from peers
}

// DefaultFollowerSettings returns the settings for a store that reports progress each second.
func DefaultFollowerSettings() FollowerSettings {
	return FollowerSettings{
		WatchTimeout: 3 * time.Second,
		RetryMin:     100 * time.Millisecond,
		RetryMax:     2 * time.Second,
		StoreTimeout: 3 * time.Second,
		PeerInterval: time.Second,
	}
}

// FollowerDeps are the dependencies of a Follower.
type FollowerDeps struct {
	Clock     jaybarrow.Clock
	Log       zerolog.Logger
	Store     jaybarrow.Store
	Directory *Directory
	Peers     PeerFetcher // nil when there are no peers
	Settings  FollowerSettings
	OnFault   rungroup.Handler // called when a background part fails; nil crashes the process
}

// Follower keeps a Directory up to date from the store, and from peers while the store is unavailable.
type Follower struct {
	deps        FollowerDeps
	stop        context.CancelFunc
	group       *rungroup.Group
	storeFailed chan struct{} // signals that following the store has failed

	hasList       bool // whether a watch can continue from the last complete list; only followStore's goroutine uses it
	lastConfirmed atomic.Pointer[time.Time]
	ready         chan struct{}
	readyOnce     sync.Once
}

// NewFollower returns a running Follower without waiting for the store.
func NewFollower(deps FollowerDeps) *Follower {
	ctx, stop := context.WithCancel(context.Background())
	f := &Follower{
		deps: deps, stop: stop, group: rungroup.New(deps.OnFault),
		storeFailed: make(chan struct{}, 1), ready: make(chan struct{}),
	}
	f.group.Keep(ctx, "follower of the store", func() error { f.followStore(ctx); return nil })
	if deps.Peers != nil {
		f.group.Keep(ctx, "follower of peers", func() error { f.followPeers(ctx); return nil })
	}
	return f
}

// Close stops the Follower and waits for its goroutines.
func (f *Follower) Close() {
	f.stop()
	f.group.Wait()
}

// Ready returns a channel that is closed once a version of the configuration is known, from the store or from a peer.
func (f *Follower) Ready() <-chan struct{} { return f.ready }

// LastConfirmed returns the local time at which the store last confirmed that the copy is up to date, or the zero time before the
// first confirmation. A list counts from the time of its request and an event from the start of the wait for it, because the
// answer may have been delayed or the process paused since then.
func (f *Follower) LastConfirmed() time.Time {
	if t := f.lastConfirmed.Load(); t != nil {
		return *t
	}
	return time.Time{}
}

// confirm records that the copy was up to date at the local time.
func (f *Follower) confirm(at time.Time) {
	f.lastConfirmed.Store(&at)
	f.markReady()
}

// markReady closes the channel of Ready once the copy has a revision.
func (f *Follower) markReady() {
	if f.deps.Directory.Applied() > 0 {
		f.readyOnce.Do(func() { close(f.ready) })
	}
}

// errSilentWatch reports a watch that delivered no event within its timeout.
var errSilentWatch = errors.New("the watch delivered no event within its timeout")

// errStaleList reports a list from a revision before that of the copy, as after a fail-over to a replica that lags behind.
var errStaleList = errors.New("the store returned a list from an older revision than the copy")

// followStore lists and watches the store until ctx ends, with a backoff after each failure.
func (f *Follower) followStore(ctx context.Context) {
	retry := newBackoff(f.deps.Settings.RetryMin, f.deps.Settings.RetryMax)
	for ctx.Err() == nil {
		before := f.LastConfirmed()
		err := f.listAndWatch(ctx)
		if ctx.Err() != nil {
			return
		}
		if f.LastConfirmed() != before {
			retry.reset()
		}
		f.deps.Log.Warn().Err(err).Int64("applied", int64(f.deps.Directory.Applied())).Msg("cannot follow the store; retrying after a backoff")
		select {
		case f.storeFailed <- struct{}{}:
		default:
		}
		select {
		case <-ctx.Done():
		case <-f.deps.Clock.After(retry.next()):
		}
	}
}

// listAndWatch applies a complete list when one is needed, and then the events of a watch until it fails.
func (f *Follower) listAndWatch(ctx context.Context) error {
	if !f.hasList {
		if err := f.list(ctx); err != nil {
			return err
		}
	}
	before := f.LastConfirmed()
	watch, err := f.deps.Store.Watch(ctx, jaybarrow.Prefix, f.deps.Directory.Applied())
	if err == nil {
		err = f.consume(ctx, watch)
	}
	if jaybarrow.IsKind(err, jaybarrow.KindNotFound) {
		// The changes since the revision of the copy are compacted; only a complete list shows what was deleted since.
		f.hasList = false
	} else if f.LastConfirmed() == before && ctx.Err() == nil {
		// The store may answer reads while no watch delivers events. A watch that delivered events is only reopened, since a
		// complete list costs the store more.
		err = errors.Join(err, f.list(ctx))
	}
	return err
}

// list applies a complete list and confirms the copy from the time of the request.
func (f *Follower) list(ctx context.Context) error {
	requestedAt := f.deps.Clock.Now()
	records, revision, err := f.deps.Store.List(ctx, jaybarrow.Prefix)
	if err != nil {
		return err
	}
	upToDate, err := f.deps.Directory.ApplyList(records, revision)
	f.logDecodeError(err)
	if !upToDate {
		return errStaleList
	}
	f.hasList = true
	f.confirm(requestedAt)
	return nil
}

// consume applies the events of a watch until it fails or delivers none within WatchTimeout, and closes it.
func (f *Follower) consume(ctx context.Context, watch jaybarrow.Watch) error {
	events, watchErr, done := make(chan timedEvent), make(chan error, 1), make(chan struct{})
	var reader conc.WaitGroup
	reader.Go(func() { f.readEvents(watch, events, watchErr, done) })
	defer reader.Wait()
	defer close(done)
	defer watch.Close()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case event := <-events:
			f.applyEvent(event)
		case err := <-watchErr:
			return err
		case <-f.deps.Clock.After(f.deps.Settings.WatchTimeout):
			return errSilentWatch
		}
	}
}

// timedEvent is an event with the time at which the wait for it started.
type timedEvent struct {
	jaybarrow.WatchEvent
	waitStart time.Time
}

// readEvents sends the events of the watch until it fails, two events are more than WatchTimeout apart, or done is closed. After
// such a gap the process was paused or the watch silent: further events may have been sent long before they are read, so
// only a new watch confirms the copy.
func (f *Follower) readEvents(watch jaybarrow.Watch, events chan<- timedEvent, watchErr chan<- error, done <-chan struct{}) {
	waitStart := f.deps.Clock.Now()
	for {
		event, err := watch.Next()
		received := f.deps.Clock.Now()
		if err == nil && received.Sub(waitStart) > f.deps.Settings.WatchTimeout {
			err = errSilentWatch
		}
		if err != nil {
			watchErr <- err
			return
		}
		select {
		case events <- timedEvent{event, waitStart}:
		case <-done:
			return
		}
		waitStart = received
	}
}

// applyEvent applies an event. One from before the revision of the copy is ignored and does not confirm the copy.
func (f *Follower) applyEvent(event timedEvent) {
	if event.Revision < f.deps.Directory.Applied() {
		return
	}
	f.logDecodeError(f.deps.Directory.Apply(event.Records, event.Revision))
	f.confirm(event.waitStart)
}

func (f *Follower) logDecodeError(err error) {
	if err != nil {
		f.deps.Log.Error().Err(err).Msg("cannot decode records of the configuration; leaving them out")
	}
}
