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
)

// PeerFetcher asks other entry hosts for the records changed after a revision, and the revision up to which the answer is complete.
type PeerFetcher func(ctx context.Context, after jaybarrow.Revision) ([]jaybarrow.Record, jaybarrow.Revision, error)

// FollowerSettings are the Follower's waits.
type FollowerSettings struct {
	WatchTimeout time.Duration // a watch that delivers nothing for so long is closed
	RetryMin     time.Duration // the first wait after a failure; doubled by each further one
	RetryMax     time.Duration
	StoreTimeout time.Duration // the store counts as away when it has not confirmed the copy for so long
	PeerInterval time.Duration // between questions to peers
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

// FollowerDeps are what a Follower depends on.
type FollowerDeps struct {
	Clock     jaybarrow.Clock
	Log       zerolog.Logger
	Store     jaybarrow.Store
	Directory *Directory
	Peers     PeerFetcher // nil: there are none
	Settings  FollowerSettings
}

// Follower keeps a Directory current from the store, and from peers while the store is away.
type Follower struct {
	deps   FollowerDeps
	stop   context.CancelFunc
	group  conc.WaitGroup
	failed chan struct{} // holds a signal after a failure of the store

	listed    bool // whether the store's complete list is part of the copy; used by the store's goroutine only
	confirmed atomic.Pointer[time.Time]
	ready     chan struct{}
	readyOnce sync.Once
}

// NewFollower returns a running Follower; it does not wait for the store.
func NewFollower(deps FollowerDeps) *Follower {
	ctx, stop := context.WithCancel(context.Background())
	f := &Follower{
		deps: deps, stop: stop,
		failed: make(chan struct{}, 1), ready: make(chan struct{}),
	}
	f.group.Go(func() { f.followStore(ctx) })
	if deps.Peers != nil {
		f.group.Go(func() { f.followPeers(ctx) })
	}
	return f
}

// Close stops following.
func (f *Follower) Close() {
	f.stop()
	f.group.Wait()
}

// Ready returns a channel that is closed once a version of the configuration is known, from the store or from a peer.
func (f *Follower) Ready() <-chan struct{} { return f.ready }

// LastConfirmed returns the local time at which the store last proved the copy current; the zero time before the first. A
// list counts from the time it was asked for and an event from the time the wait for it began, because the answer may have
// been delayed and the process paused since.
func (f *Follower) LastConfirmed() time.Time {
	if t := f.confirmed.Load(); t != nil {
		return *t
	}
	return time.Time{}
}

func (f *Follower) confirm(at time.Time) {
	f.confirmed.Store(&at)
	f.markReady()
}

func (f *Follower) markReady() {
	if f.deps.Directory.Applied() > 0 {
		f.readyOnce.Do(func() { close(f.ready) })
	}
}

// errStale is a store's answer from before the revision that the copy has reached, as after a fail-over to an old replica.
var errStale = errors.New("the store answered from an older revision than the copy has")

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
		f.deps.Log.Warn().Err(err).Int64("applied", int64(f.deps.Directory.Applied())).Msg("following the store failed; retrying")
		select {
		case f.failed <- struct{}{}:
		default:
		}
		select {
		case <-ctx.Done():
		case <-f.deps.Clock.After(retry.next()):
		}
	}
}

// listAndWatch follows the store until it fails.
func (f *Follower) listAndWatch(ctx context.Context) error {
	if !f.listed {
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
		// The changes since the copy's revision are compacted; only a complete list tells what was deleted meanwhile.
		f.listed = false
	} else if f.LastConfirmed() == before && ctx.Err() == nil {
		// The store may answer reads while every watch is silent. A watch that worked before is only opened again, since
		// listing everything costs the store more.
		err = errors.Join(err, f.list(ctx))
	}
	return err
}

func (f *Follower) list(ctx context.Context) error {
	asked := f.deps.Clock.Now()
	records, revision, err := f.deps.Store.List(ctx, jaybarrow.Prefix)
	if err != nil {
		return err
	}
	current, err := f.deps.Directory.ApplyList(records, revision)
	f.logFaults(err)
	if !current {
		return errStale
	}
	f.listed = true
	f.confirm(asked)
	return nil
}

// consume applies a watch's events until it fails or falls silent, and closes it.
func (f *Follower) consume(ctx context.Context, watch jaybarrow.Watch) error {
	events, failure, done := make(chan awaited), make(chan error, 1), make(chan struct{})
	var reader conc.WaitGroup
	reader.Go(func() { f.read(watch, events, failure, done) })
	defer reader.Wait()
	defer close(done)
	defer watch.Close()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case event := <-events:
			f.apply(event)
		case err := <-failure:
			return err
		case <-f.deps.Clock.After(f.deps.Settings.WatchTimeout):
			return errors.New("the watch fell silent")
		}
	}
}

// awaited is an event with the time at which the wait for it began.
type awaited struct {
	jaybarrow.WatchEvent
	since time.Time
}

func (f *Follower) read(watch jaybarrow.Watch, events chan<- awaited, failure chan<- error, done <-chan struct{}) {
	for {
		since := f.deps.Clock.Now()
		event, err := watch.Next()
		if err != nil {
			failure <- err
			return
		}
		select {
		case events <- awaited{event, since}:
		case <-done:
			return
		}
	}
}

// apply takes an event; one from before the copy's revision proves nothing about the copy.
func (f *Follower) apply(event awaited) {
	if event.Revision < f.deps.Directory.Applied() {
		return
	}
	f.logFaults(f.deps.Directory.Apply(event.Records, event.Revision))
	f.confirm(event.since)
}

func (f *Follower) logFaults(err error) {
	if err != nil {
		f.deps.Log.Error().Err(err).Msg("records that cannot be decoded were left out")
	}
}
