package directory

import (
	"context"
	"time"
)

// followPeers fetches changes from peers while the store is unavailable, at most once per PeerInterval.
func (f *Follower) followPeers(ctx context.Context) {
	wake := f.storeFailed
	for {
		select {
		case <-ctx.Done():
			return
		case <-wake:
		case <-f.deps.Clock.After(f.deps.Settings.PeerInterval):
		}
		wake = f.storeFailed
		if f.storeUnavailable() {
			f.fetchFromPeers(ctx)
			wake = nil // the next fetch waits for the whole interval
		}
	}
}

// storeUnavailable reports whether the store has never confirmed the copy, or not within StoreTimeout.
func (f *Follower) storeUnavailable() bool {
	last := f.LastConfirmed()
	return last.IsZero() || f.deps.Clock.Now().Sub(last) > f.deps.Settings.StoreTimeout
}

func (f *Follower) fetchFromPeers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, f.fetchTimeout())
	defer cancel()
	after := f.deps.Directory.Applied()
	records, reached, err := f.deps.Peers(ctx, after)
	if err != nil {
		f.deps.Log.Warn().Err(err).Msg("cannot fetch changes of the configuration from peers; retrying after the interval")
		return
	}
	f.logDecodeError(f.deps.Directory.Apply(records, reached))
	f.markReady()
}

// fetchTimeout bounds one fetch, so that an unresponsive peer does not block all further ones.
func (f *Follower) fetchTimeout() time.Duration { return 2 * f.deps.Settings.PeerInterval }
