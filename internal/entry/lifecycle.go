package entry

import (
	"context"
	"errors"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/jaybarrow/jaybarrow/internal/logging"
	"github.com/jaybarrow/jaybarrow/internal/rungroup"
)

// AwaitReady blocks until this entry host is registered and has a configuration, or returns ctx's error.
func (e *Entry) AwaitReady(ctx context.Context) error {
	for _, ready := range []<-chan struct{}{e.presence.Ready(), e.follower.Ready()} {
		select {
		case <-ready:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// Fenced returns a channel that is closed when a newer process has registered under this entry host's id. The caller must
// then end the process at once.
func (e *Entry) Fenced() <-chan struct{} { return e.presence.Fenced() }

// Close stops gracefully: it announces the stop to the peers, hands queued requests over, finishes running tasks and returns
// permits. When ctx ends first, it returns ctx's error without waiting for running tasks, and the process must end.
func (e *Entry) Close(ctx context.Context) error {
	closed := make(chan error, 1)
	closing := rungroup.New(e.deps.OnFault)
	closing.Go("stop", func() { closed <- e.close(ctx) })
	select {
	case err := <-closed:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (e *Entry) close(ctx context.Context) error {
	log := logging.For(e.deps.Log, "entry")
	log.Info().Msg("stopping; finishing running tasks")
	e.leaving.Store(true)
	e.gossip.Announce(ctx)
	var drainErr error
	if e.hasSuccessor() {
		e.handedOver.Store(true)
		drainErr = e.scheduler.Drain(ctx)
	}
	err := errors.Join(drainErr, e.closeFrontEnds(ctx))
	e.scheduler.Close()
	e.mover.Close()
	e.maintenance.Close()
	e.leaveStore(ctx)
	e.closeParts()
	return err
}

// leaveTimeout bounds the wait for the store during a stop. Permits that cannot be returned are reclaimed when the platform's
// host list reports this entry host gone, or by its next process.
const leaveTimeout = 5 * time.Second

// leaveStore returns this entry host's permits and ends its registration. A failure cuts off no request, so it does not fail
// the stop.
func (e *Entry) leaveStore(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	if err := errors.Join(e.permits.Close(ctx), e.presence.Leave(ctx)); err != nil {
		e.deps.Log.Warn().Err(err).Msg("cannot return the permits or end the registration; permits are reclaimed later and the registration expires")
	}
}

// closeFrontEnds stops accepting callers and peers after ShutdownDelay and waits for their open requests.
func (e *Entry) closeFrontEnds(ctx context.Context) error {
	select {
	case <-e.deps.Clock.After(e.times.ShutdownDelay):
	case <-ctx.Done():
	}
	err := e.http.Close(ctx)
	e.peerServer.Close(ctx)
	return err
}

// hasSuccessor reports whether another entry host of the data centre can take over the pools. Without one, this entry host
// finishes its own queues.
func (e *Entry) hasSuccessor() bool {
	for _, s := range e.members.LiveStates(e.deps.Clock.Now()) {
		if s.DataCentre == e.deps.Settings.Entry.DataCentre && s.Ready {
			return true
		}
	}
	return false
}

// closeParts stops the remaining parts concurrently, then the peers' client, which they use.
func (e *Entry) closeParts() {
	var parts conc.WaitGroup
	for _, stop := range []func(){
		e.spillover.Close, e.gossip.Close, e.claims.Close, e.presence.Close, e.follower.Close, e.conditions.Close, e.roster.Close,
		e.health.Close, e.workers.Close, e.fetches.Wait,
	} {
		parts.Go(stop)
	}
	parts.Wait()
	e.peers.Close()
}
