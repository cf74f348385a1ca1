package claim

import (
	"context"
	"sync"
	"time"

	"github.com/jaybarrow/jaybarrow"
)

// leases provides the lease that the claims of the current window share.
type leases struct {
	deps     Deps
	granting chan struct{} // semaphore of one; held while a lease is granted
	state
}

type state struct {
	sync.Mutex
	lease      jaybarrow.LeaseID
	validUntil time.Time // a claim made later could expire before its retention has passed
}

// validLease returns the current lease; false when it is unknown or its window has passed.
func (l *leases) validLease() (jaybarrow.LeaseID, bool) {
	l.Lock()
	defer l.Unlock()
	return l.lease, l.lease != 0 && l.deps.Clock.Now().Before(l.validUntil)
}

// current returns the lease of the window; when the window has passed, one caller obtains a new lease and the others wait for it.
func (l *leases) current(ctx context.Context) (jaybarrow.LeaseID, error) {
	if lease, ok := l.validLease(); ok {
		return lease, nil
	}
	select {
	case l.granting <- struct{}{}:
	case <-ctx.Done():
		return 0, jaybarrow.Errorf(jaybarrow.KindStoreUnavailable, "wait for a lease: %w", ctx.Err())
	}
	defer func() { <-l.granting }()
	if lease, ok := l.validLease(); ok {
		return lease, nil
	}
	startedAt := l.deps.Clock.Now()
	lease, err := l.deps.Store.GrantLease(ctx, l.deps.Settings.Retention+l.deps.Settings.Window)
	if err != nil {
		return 0, err
	}
	l.Lock()
	defer l.Unlock()
	l.lease, l.validUntil = lease, startedAt.Add(l.deps.Settings.Window)
	return lease, nil
}

// discard removes a lease that the store does not know.
func (l *leases) discard(lease jaybarrow.LeaseID) {
	l.Lock()
	defer l.Unlock()
	if l.lease == lease {
		l.lease = 0
	}
}
