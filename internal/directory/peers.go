package directory

import (
	"context"
	"time"
)

// followPeers asks peers for changes while the store is away, at most once in each interval.
func (f *Follower) followPeers(ctx context.Context) {
	wake := f.failed
	for {
		select {
		case <-ctx.Done():
			return
		case <-wake:
		case <-f.deps.Clock.After(f.deps.Settings.PeerInterval):
		}
		wake = f.failed
		if f.storeAway() {
			f.askPeers(ctx)
			wake = nil // the next question waits for the whole interval
		}
	}
}

// storeAway reports whether the store has never confirmed the copy, or not for a while.
func (f *Follower) storeAway() bool {
	last := f.LastConfirmed()
	return last.IsZero() || f.deps.Clock.Now().Sub(last) > f.deps.Settings.StoreTimeout
}

func (f *Follower) askPeers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, f.peerTimeout())
	defer cancel()
	after := f.deps.Directory.Applied()
	records, reached, err := f.deps.Peers(ctx, after)
	if err != nil {
		f.deps.Log.Warn().Err(err).Msg("peers could not be asked for changes of the configuration")
		return
	}
	f.logFaults(f.deps.Directory.Apply(records, reached))
	f.markReady()
}

// peerTimeout bounds one question, so that a silent peer does not end the asking.
func (f *Follower) peerTimeout() time.Duration { return 2 * f.deps.Settings.PeerInterval }
