package presence

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/rungroup"
)

// Settings are the durations of a Presence.
type Settings struct {
	TTL               time.Duration // of the lease under which the presence record is written
	KeepAliveInterval time.Duration // between renewals of the lease
	FirstBackoff      time.Duration // after a failed call; doubles up to MaxBackoff
	MaxBackoff        time.Duration
	CallTimeout       time.Duration // of one call to the store
}

// DefaultSettings returns the settings for production; three renewals fit within the TTL of the lease.
func DefaultSettings() Settings {
	return Settings{
		TTL: 10 * time.Second, KeepAliveInterval: 3 * time.Second, FirstBackoff: 100 * time.Millisecond,
		MaxBackoff: 2 * time.Second, CallTimeout: 2 * time.Second,
	}
}

// Deps are the dependencies of a Presence.
type Deps struct {
	Clock     jaybarrow.Clock
	Log       zerolog.Logger
	Store     jaybarrow.Store
	Host      jaybarrow.EntryHost // without Incarnation and Change, which Presence sets
	NewChange func() jaybarrow.ChangeID
	Settings  Settings
	OnFault   rungroup.Handler // called when a background part fails; nil crashes the process
}

// Presence registers this process as an entry host and renews the registration.
type Presence struct {
	deps          Deps
	processChange jaybarrow.ChangeID // identifies the incarnation record of this process
	ready         chan struct{}
	fenced        chan struct{}
	group         *rungroup.Group
	ctx           context.Context
	cancel        context.CancelFunc

	state struct {
		sync.Mutex
		incarnation  jaybarrow.Incarnation
		registeredAt time.Time
		lease        jaybarrow.LeaseID
		revision     jaybarrow.Revision // of the presence record
	}
}

// New returns a Presence that registers the process in the background.
func New(deps Deps) *Presence {
	p := &Presence{
		deps: deps, processChange: deps.NewChange(), ready: make(chan struct{}), fenced: make(chan struct{}),
		group: rungroup.New(deps.OnFault),
	}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	p.group.Go("registration", p.run)
	return p
}

// Ready returns a channel that is closed once the process is registered.
func (p *Presence) Ready() <-chan struct{} { return p.ready }

// Fenced returns a channel that is closed when a newer process has taken over the entry host's id; the caller must then start
// no more work.
func (p *Presence) Fenced() <-chan struct{} { return p.fenced }

// Incarnation returns the incarnation of this process; 0 before it has one.
func (p *Presence) Incarnation() jaybarrow.Incarnation {
	p.state.Lock()
	defer p.state.Unlock()
	return p.state.incarnation
}

// RegisteredAt returns the local time at which the incarnation became known; zero before.
func (p *Presence) RegisteredAt() time.Time {
	p.state.Lock()
	defer p.state.Unlock()
	return p.state.registeredAt
}

// Leave ends the registration: it deletes the presence record and revokes the lease. When the store does not answer, the
// record expires with its lease.
func (p *Presence) Leave(ctx context.Context) error {
	p.Close()
	p.state.Lock()
	lease, revision := p.state.lease, p.state.revision
	p.state.Unlock()
	if lease == 0 {
		return nil
	}
	key := jaybarrow.EntryKey(p.deps.Host.ID)
	if _, err := p.deps.Store.Delete(ctx, key, revision); err != nil && !jaybarrow.IsKind(err, jaybarrow.KindConflict) {
		p.deps.Log.Warn().Err(err).Msg("cannot delete the presence record; revoking its lease")
	}
	return p.deps.Store.RevokeLease(ctx, lease)
}

// Close stops the renewals but leaves the registration in the store until its lease expires, as a crash would.
func (p *Presence) Close() {
	p.cancel()
	p.group.Wait()
}

// run registers the process and renews the lease, or registers again after the lease expired, until p is closed or fenced.
func (p *Presence) run() {
	if !p.retry(p.acquireIncarnation) || !p.retry(p.register) {
		return
	}
	close(p.ready)
	for p.sleep(p.deps.Settings.KeepAliveInterval) {
		if !p.retry(p.renew) {
			return
		}
	}
}

// retry calls the step until it succeeds, with backoff; it returns false when p is closed or fenced.
func (p *Presence) retry(step func(ctx context.Context) error) bool {
	backoff := p.deps.Settings.FirstBackoff
	for {
		ctx, cancel := context.WithTimeout(p.ctx, p.deps.Settings.CallTimeout)
		err := step(ctx)
		cancel()
		if err == nil || p.isFenced() {
			return err == nil && !p.isFenced()
		}
		p.deps.Log.Warn().Err(err).Msg("cannot register the entry host or renew its lease; retrying after a backoff")
		if !p.sleep(backoff/2 + rand.N(backoff)) {
			return false
		}
		backoff = min(2*backoff, p.deps.Settings.MaxBackoff)
	}
}

// sleep blocks for the duration; it returns false when p is closed.
func (p *Presence) sleep(d time.Duration) bool {
	select {
	case <-p.ctx.Done():
		return false
	case <-p.deps.Clock.After(d):
		return true
	}
}

func (p *Presence) isFenced() bool {
	select {
	case <-p.fenced:
		return true
	default:
		return false
	}
}
