package leader

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/boottime"
)

// expiryMargin is how long before the end of its lease a leader takes it as ended.
const expiryMargin = 100 * time.Millisecond

// Term is one time in the lead.
type Term struct {
	Fence jaybarrow.FenceToken
	// Revision of the leader's record; writes are made on condition that it still holds.
	Revision jaybarrow.Revision
	// Valid reports whether the lease certainly holds.
	Valid func() bool
	// Resign gives the lead away, for the reason.
	Resign func(reason string)
}

// serve leads until ctx ends, the lease is lost or the term resigns.
func (l *Leader) serve(outer context.Context, lease jaybarrow.LeaseID, revision jaybarrow.Revision, begun time.Duration) {
	d := l.deps
	ctx, cancel := context.WithCancel(outer)
	defer cancel()
	var valid atomic.Int64 // the lease holds until then, by boottime
	var over atomic.Bool
	valid.Store(int64(begun + d.Settings.Lease - expiryMargin))
	resigned := make(chan string, 1)
	term := Term{
		Fence: jaybarrow.FenceToken(revision), Revision: revision,
		Valid: func() bool {
			now, err := boottime.Now()
			return err == nil && int64(now) < valid.Load() && !over.Load()
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
	var group conc.WaitGroup
	group.Go(func() {
		l.renew(ctx, cancel, lease, &valid)
		// The successor need not wait until the last orders of this term are answered: their fence is old.
		over.Store(true)
		l.release(lease)
	})
	d.Lead(ctx, term)
	cancel()
	group.Wait()
	select {
	case reason := <-resigned:
		d.Log.Info().Int64("fence", int64(term.Fence)).Str("reason", reason).Msg("gave the lead away")
		l.sleep(outer, d.Settings.ResignPause)
	default:
		d.Log.Info().Int64("fence", int64(term.Fence)).Msg("no longer leading")
	}
}

// release ends the lease, so that a successor need not wait for it.
func (l *Leader) release(lease jaybarrow.LeaseID) {
	_, err := call(context.Background(), l.deps.Settings.CallTimeout, func(ctx context.Context) (struct{}, error) {
		return struct{}{}, l.deps.Store.RevokeLease(ctx, lease)
	})
	if err != nil && !jaybarrow.IsKind(err, jaybarrow.KindNotFound) {
		l.deps.Log.Info().Err(err).Msg("cannot end the leader's lease; it runs out by itself")
	}
}

// renew keeps the lease alive; it cancels the term when the lease has ended. A renewal does not wait for the answer to the one
// before, so that a slow store does not cost the lead.
func (l *Leader) renew(ctx context.Context, lost context.CancelFunc, lease jaybarrow.LeaseID, valid *atomic.Int64) {
	var group conc.WaitGroup
	defer group.Wait()
	var failures atomic.Int64
	for {
		l.sleep(ctx, l.deps.Settings.RenewInterval)
		if ctx.Err() != nil {
			return
		}
		group.Go(func() {
			if !l.renewOnce(ctx, lease, valid, &failures) {
				lost()
			}
		})
	}
}

// renewOnce sends one renewal; it reports false when the lease has ended.
func (l *Leader) renewOnce(ctx context.Context, lease jaybarrow.LeaseID, valid, failures *atomic.Int64) bool {
	d := l.deps
	sent, err := boottime.Now()
	if err == nil {
		_, err = call(ctx, d.Settings.Lease, func(ctx context.Context) (struct{}, error) {
			return struct{}{}, d.Store.KeepAlive(ctx, lease)
		})
	}
	switch {
	case err == nil:
		raise(valid, int64(sent+d.Settings.Lease-expiryMargin))
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

// raise sets v to the value unless it is higher already.
func raise(v *atomic.Int64, to int64) {
	for old := v.Load(); old < to && !v.CompareAndSwap(old, to); old = v.Load() {
	}
}
