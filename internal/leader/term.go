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
	// Valid reports whether the lease is certain to hold now; it never does once the term ends, for whatever reason.
	Valid func() bool
	// Unfenced makes a call that only the leader may make although its receiver need not check the fence. The call's context ends after the limit,
	// and before the lease can end. The lead is not freed while the call is under way. It returns ErrLeadEnded, and does not call, once the lease
	// is not certain to hold.
	Unfenced func(ctx context.Context, limit time.Duration, call func(ctx context.Context)) error
	// Resign ends the term and logs the reason; it does not wait for the end.
	Resign func(reason string)
}

// ErrLeadEnded means that a call was not made, because another entry host may lead.
var ErrLeadEnded = jaybarrow.Errorf(jaybarrow.KindConflict, "the lead may have ended").WithEffect(jaybarrow.EffectNotRun)

// serveTerm leads until parent ends, the lease is lost or the term resigns.
func (l *Leader) serveTerm(parent context.Context, lease jaybarrow.LeaseID, revision jaybarrow.Revision, requestedAt time.Duration) {
	d := l.deps
	ctx, cancel := context.WithCancel(parent)
	defer cancel()
	validity := &validity{ctx: ctx}
	validity.extend(requestedAt + d.Settings.Lease - expiryMargin)
	calls := newUnfencedCalls()
	resigned := make(chan string, 1)
	term := Term{
		Fence: jaybarrow.FenceToken(revision), Revision: revision, Lease: lease,
		Valid: func() bool { return validity.left() > 0 },
		Unfenced: func(ctx context.Context, limit time.Duration, call func(context.Context)) error {
			return calls.do(ctx, validity, limit, call)
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
		l.renewLease(ctx, cancel, lease, validity)
		l.freeLead(lease, validity, calls)
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

// freeLead revokes the lease after the last unfenced call of the term. The receiver of such a call might carry it out after those of a successor,
// so if one is still under way when the lease ends, the lease is left to expire.
func (l *Leader) freeLead(lease jaybarrow.LeaseID, validity *validity, calls *unfencedCalls) {
	begun := l.deps.Clock.Now()
	underWay := calls.close()
	if underWay > 0 {
		select {
		case <-calls.ended:
		case <-l.deps.Clock.After(validity.leaseLeft()):
			l.deps.Log.Warn().Int("calls", underWay).Msg("unfenced calls of the term do not end; the leader's lease is left to expire")
			return
		}
		l.deps.Log.Info().Int("calls", underWay).Dur("waited", l.deps.Clock.Now().Sub(begun)).Msg("waited for the unfenced calls of the term")
	}
	l.revokeLease(lease)
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
func (l *Leader) renewLease(ctx context.Context, endTerm context.CancelFunc, lease jaybarrow.LeaseID, validity *validity) {
	var group conc.WaitGroup
	defer group.Wait()
	var failures atomic.Int64
	for {
		l.sleep(ctx, l.deps.Settings.RenewInterval)
		if ctx.Err() != nil {
			return
		}
		group.Go(func() {
			if !l.renewOnce(ctx, lease, validity, &failures) {
				endTerm()
			}
		})
	}
}

// renewOnce sends one renewal and extends the validity; it reports false when the lease has ended.
func (l *Leader) renewOnce(ctx context.Context, lease jaybarrow.LeaseID, validity *validity, failures *atomic.Int64) bool {
	d := l.deps
	sent, err := boottime.Now()
	if err == nil {
		_, err = callWithTimeout(ctx, d.Settings.Lease, func(ctx context.Context) (struct{}, error) {
			return struct{}{}, d.Store.KeepAlive(ctx, lease)
		})
	}
	switch {
	case err == nil:
		validity.extend(sent + d.Settings.Lease - expiryMargin)
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

// validity is how long the lead of a term is certain to hold.
type validity struct {
	ctx   context.Context // of the term
	until atomic.Int64    // end of the lease less expiryMargin, in nanoseconds of the boot-time clock
}

// extend sets the end of the lease unless it is later already; answers to renewals may arrive out of order.
func (v *validity) extend(until time.Duration) {
	for old := v.until.Load(); old < int64(until) && !v.until.CompareAndSwap(old, int64(until)); old = v.until.Load() {
	}
}

// left returns how much longer the lead holds unless the term ends before; it is not positive once another entry host may lead.
func (v *validity) left() time.Duration {
	if v.ctx.Err() != nil {
		return 0
	}
	return v.leaseLeft()
}

// leaseLeft returns how much longer the lease holds, also after the end of the term.
func (v *validity) leaseLeft() time.Duration {
	now, err := boottime.Now()
	if err != nil {
		return 0
	}
	return time.Duration(v.until.Load()) - now
}
