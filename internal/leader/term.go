package leader

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/boottime"
)

// expiryMargin is how long before the computed end of its lease a leader treats the lease as expired.
const expiryMargin = 100 * time.Millisecond

// Term is one period of leadership.
type Term struct {
	// Fence is the fencing token of the term's orders.
	Fence jaybarrow.FenceToken
	// Revision is the revision of the leader's record; each write is conditional on it.
	Revision jaybarrow.Revision
	// Lease is the lease of the leader's record.
	Lease jaybarrow.LeaseID
	// Valid reports whether the lease is certain to hold now.
	Valid func() bool
	// Resign ends the term and logs the reason; it does not wait for the end.
	Resign func(reason string)
}

// serveTerm leads until parent ends, the lease is lost or the term resigns.
func (l *Leader) serveTerm(parent context.Context, lease jaybarrow.LeaseID, revision jaybarrow.Revision, requestedAt time.Duration) {
	d := l.deps
	ctx, cancel := context.WithCancel(parent)
	defer cancel()
	var validUntil atomic.Int64 // end of the lease less expiryMargin, in nanoseconds of the boot-time clock
	var ended atomic.Bool
	validUntil.Store(int64(requestedAt + d.Settings.Lease - expiryMargin))
	resigned := make(chan string, 1)
	term := Term{
		Fence: jaybarrow.FenceToken(revision), Revision: revision, Lease: lease,
		Valid: func() bool {
			now, err := boottime.Now()
			return err == nil && int64(now) < validUntil.Load() && !ended.Load()
		},
		Resign: func(reason string) {
			select {
			case resigned <- reason:
			default:
			}
			cancel()
		},
	}
	d.Log.Info().Int64("fence", int64(term.Fence)).Msg("leading")
	l.setResign(term.Resign)
	defer l.setResign(nil)
	var group conc.WaitGroup
	group.Go(func() {
		l.renewLease(ctx, cancel, lease, &validUntil)
		// The lease is revoked before the last orders of this term are answered. They cannot conflict with those of a successor, because
		// their fencing token is lower.
		ended.Store(true)
		l.revokeLease(lease)
	})
	d.Lead(ctx, term)
	cancel()
	group.Wait()
	select {
	case reason := <-resigned:
		d.Log.Info().Int64("fence", int64(term.Fence)).Str("reason", reason).Msg("gave the lead away")
		l.backOffChallenges()
		l.sleep(parent, d.Settings.ResignPause)
	default:
		d.Log.Info().Int64("fence", int64(term.Fence)).Msg("no longer leading")
		l.challengePause = d.Settings.ChallengeInterval
	}
}

// revokeLease revokes the lease, so that a successor need not wait for its expiry.
func (l *Leader) revokeLease(lease jaybarrow.LeaseID) {
	_, err := callWithTimeout(context.Background(), l.deps.Settings.CallTimeout, func(ctx context.Context) (struct{}, error) {
		return struct{}{}, l.deps.Store.RevokeLease(ctx, lease)
	})
	if err != nil && !jaybarrow.IsKind(err, jaybarrow.KindNotFound) {
		l.deps.Log.Info().Err(err).Msg("cannot revoke the leader's lease; it expires by itself")
	}
}

// renewLease renews the lease periodically and ends the term when the lease has ended. A renewal does not wait for the answer to the
// previous one, so that a slow store does not end the term.
func (l *Leader) renewLease(ctx context.Context, endTerm context.CancelFunc, lease jaybarrow.LeaseID, validUntil *atomic.Int64) {
	var group conc.WaitGroup
	defer group.Wait()
	var failures atomic.Int64
	for {
		l.sleep(ctx, l.deps.Settings.RenewInterval)
		if ctx.Err() != nil {
			return
		}
		group.Go(func() {
			if !l.renewOnce(ctx, lease, validUntil, &failures) {
				endTerm()
			}
		})
	}
}

// renewOnce sends one renewal and extends validUntil; it reports false when the lease has ended.
func (l *Leader) renewOnce(ctx context.Context, lease jaybarrow.LeaseID, validUntil, failures *atomic.Int64) bool {
	d := l.deps
	sent, err := boottime.Now()
	if err == nil {
		_, err = callWithTimeout(ctx, d.Settings.Lease, func(ctx context.Context) (struct{}, error) {
			return struct{}{}, d.Store.KeepAlive(ctx, lease)
		})
	}
	switch {
	case err == nil:
		raiseTo(validUntil, int64(sent+d.Settings.Lease-expiryMargin))
		if n := failures.Swap(0); n > 0 {
			d.Log.Info().Int64("failures", n).Msg("lease renewed again")
		}
	case jaybarrow.IsKind(err, jaybarrow.KindNotFound):
		d.Log.Warn().Msg("lease has ended")
		return false
	case ctx.Err() == nil:
		if failures.Add(1) == 1 {
			d.Log.Warn().Err(err).Msg("cannot renew the lease")
		}
	}
	return true
}

// raiseTo sets v to the value unless v is already higher; answers to renewals may arrive out of order.
func raiseTo(v *atomic.Int64, to int64) {
	for old := v.Load(); old < to && !v.CompareAndSwap(old, to); old = v.Load() {
	}
}
