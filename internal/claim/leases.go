package claim

import (
	"context"
	"sync"
	"time"

	"github.com/jaybarrow/jaybarrow"
)

// leases gives the lease that the claims of the current window share.
type leases struct {
	deps Deps
	turn chan struct{} // holds an element while a lease is being granted
	state
}

type state struct {
	sync.Mutex
	lease jaybarrow.LeaseID
	until time.Time // a claim made later would end before its retention
}

func (l *leases) valid() (jaybarrow.LeaseID, bool) {
	l.Lock()
	defer l.Unlock()
	return l.lease, l.lease != 0 && l.deps.Clock.Now().Before(l.until)
}

// current returns the lease of the window, and grants a new one when the window has passed; callers wait for one grant.
func (l *leases) current(ctx context.Context) (jaybarrow.LeaseID, error) {
	if lease, ok := l.valid(); ok {
		return lease, nil
	}
	select {
	case l.turn <- struct{}{}:
	case <-ctx.Done():
		return 0, jaybarrow.Errorf(jaybarrow.KindStoreUnavailable, "wait for a lease: %w", ctx.Err())
	}
	defer func() { <-l.turn }()
	if lease, ok := l.valid(); ok {
		return lease, nil
	}
	begun := l.deps.Clock.Now()
	lease, err := l.deps.Store.GrantLease(ctx, l.deps.Settings.Retention+l.deps.Settings.Window)
	if err != nil {
		return 0, err
	}
	l.Lock()
	defer l.Unlock()
	l.lease, l.until = lease, begun.Add(l.deps.Settings.Window)
	return lease, nil
}

// drop forgets a lease that the store does not know.
func (l *leases) drop(lease jaybarrow.LeaseID) {
	l.Lock()
	defer l.Unlock()
	if l.lease == lease {
		l.lease = 0
	}
}
