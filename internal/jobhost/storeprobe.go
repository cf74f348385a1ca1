package jobhost

import (
	"context"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/outage"
)

const (
	// probeInterval is the time between two reads that find out whether the store answers. It allows a few in the time after which a refused
	// caller returns.
	probeInterval = 200 * time.Millisecond
	// probeTimeout bounds one of them: a store that takes longer serves no caller.
	probeTimeout = time.Second
	// leaderProbeTimeout bounds a call to the leader beside it: tens of round trips between data centres.
	leaderProbeTimeout = 400 * time.Millisecond
)

// probeStore reads from the store while the gate needs to know whether it answers; it blocks until ctx ends.
func (h *Host) probeStore(ctx context.Context, log zerolog.Logger) {
	phase, serves := outage.PhaseOpen, true
	for {
		wanted, changed := h.gate.WantsReads()
		now := h.deps.Clock.Now()
		if s := h.gate.Status(now); s.Phase != phase {
			log.Warn().Str("phase", string(s.Phase)).Int64("lastedMs", s.Lasted.Milliseconds()).Msg("writes of callers during an outage of the store")
			h.deps.Metrics.Count("outage.phase." + string(s.Phase))
			phase = s.Phase
		}
		if !wanted {
			select {
			case <-ctx.Done():
				return
			case <-changed:
			}
			continue
		}
		found := h.readThrough(ctx, h.gate.Status(now).LastFailure)
		if ctx.Err() != nil {
			return
		}
		h.deps.Metrics.Count("outage.probe." + string(found))
		h.gate.Probed(h.deps.Clock.Now(), found)
		if served := h.gate.ServesCallers(); served != serves {
			log.Warn().Bool("serves", served).Msg("readiness follows whether the store or the leader can be reached")
			serves = served
		}
		select {
		case <-ctx.Done():
			return
		case <-h.deps.Clock.After(probeInterval):
		}
	}
}

// RetryAfter returns when the caller of a refused request may return during an outage of the store; 0 without one.
func (h *Host) RetryAfter() time.Duration { return h.gate.RetryAfter(h.deps.Clock.Now()) }

// readThrough finds out whether the store answers a read, here or at the leader: either may carry out a write. The leader's answer counts if the
// store has confirmed the leader's configuration since the last failed write.
func (h *Host) readThrough(ctx context.Context, lastFailure time.Time) outage.Probe {
	leaderAddress, leaderErr := h.leaderAddress()
	var stored, confirmed, answered bool
	var group conc.WaitGroup
	group.Go(func() {
		limited, cancel := context.WithTimeout(ctx, probeTimeout)
		defer cancel()
		_, err := h.deps.Platform.Store.Get(limited, jaybarrow.JobLeaderKey)
		stored = err == nil || jaybarrow.IsKind(err, jaybarrow.KindNotFound)
	})
	if leaderErr == nil {
		group.Go(func() {
			limited, cancel := context.WithTimeout(ctx, leaderProbeTimeout)
			defer cancel()
			askedAt := h.deps.Clock.Now()
			_, ageMs, err := h.client.NewerConfiguration(limited, leaderAddress, h.configurationVersion())
			answered = !jaybarrow.IsKind(err, jaybarrow.KindPeerLost)
			confirmed = err == nil && askedAt.Add(-time.Duration(ageMs)*time.Millisecond).After(lastFailure)
		})
	}
	group.Wait()
	switch {
	case stored || confirmed:
		return outage.ProbeAnswered
	case leaderErr == nil && !answered:
		return outage.ProbeCutOff
	}
	return outage.ProbeFailed
}
