package entry

import (
	"context"
	"errors"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/jaybarrow/jaybarrow/internal/logging"
)

// AwaitReady waits until this entry host is registered and has a configuration.
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

// Fenced returns a channel that is closed when a newer process has taken this entry host's id; the owner must end the process
// at once.
func (e *Entry) Fenced() <-chan struct{} { return e.presence.Fenced() }

// Close stops gracefully: others are told, queued requests are handed over, what runs is finished, permits are given back.
// When ctx ends first, it returns ctx's error without waiting for what still runs, and the process must end.
func (e *Entry) Close(ctx context.Context) error {
	closed := make(chan error, 1)
	var closing conc.WaitGroup
	closing.Go(func() { closed <- e.close(ctx) })
	select {
	case err := <-closed:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (e *Entry) close(ctx context.Context) error {
	log := logging.For(e.deps.Log, "entry")
	log.Info().Msg("stopping; finishing what runs")
	e.leaving.Store(true)
	e.gossip.Announce(ctx)
	var failed error
	if e.hasSuccessor() {
		e.handedOver.Store(true)
		failed = e.scheduler.Drain(ctx)
	}
	err := errors.Join(failed, e.closeFrontEnds(ctx))
	e.scheduler.Close()
	e.mover.Close()
	e.maintenance.Close()
	e.leaveStore(ctx)
	e.closeParts()
	return err
}

// leaveTimeout bounds the wait for the store at a stop; permits that cannot be given back are reclaimed when the platform's
// list calls this entry host gone, or by its next process.
const leaveTimeout = 5 * time.Second

// leaveStore gives back what this entry host holds in the store. A failure cuts off no request, so it does not fail the stop.
func (e *Entry) leaveStore(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	if err := errors.Join(e.permits.Close(ctx), e.presence.Leave(ctx)); err != nil {
		e.deps.Log.Warn().Err(err).Msg("the store was not told of the stop; permits are reclaimed later")
	}
}

// closeFrontEnds refuses new callers and peers after the linger time and waits for their open requests.
func (e *Entry) closeFrontEnds(ctx context.Context) error {
	select {
	case <-e.deps.Clock.After(e.times.ShutdownDelay):
	case <-ctx.Done():
	}
	err := e.http.Close(ctx)
	e.peerServer.Close(ctx)
	return err
}

// hasSuccessor reports whether another entry host of the data centre takes over the pools; without one, this entry host
// finishes its own queues.
func (e *Entry) hasSuccessor() bool {
	for _, s := range e.members.LiveStates(e.deps.Clock.Now()) {
		if s.DataCentre == e.deps.Settings.Entry.DataCentre && s.Ready {
			return true
		}
	}
	return false
}

// closeParts stops the parts that nothing depends on any more, all together.
func (e *Entry) closeParts() {
	var parts conc.WaitGroup
	for _, stop := range []func(){
		e.spill.Close, e.gossip.Close, e.claims.Close, e.presence.Close, e.follower.Close, e.conditions.Close, e.roster.Close,
		e.health.Close, e.workers.Close, e.fetches.Wait,
	} {
		parts.Go(stop)
	}
	parts.Wait()
	e.peers.Close()
}
