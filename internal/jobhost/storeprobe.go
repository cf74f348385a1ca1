package jobhost

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/outage"
)

const (
	// probeInterval is the time between two reads that find out whether the store answers. It allows a few in the time after which a refused
	// caller returns.
	probeInterval = 200 * time.Millisecond
	// probeTimeout bounds one of them: a store that takes longer serves no caller.
	probeTimeout = time.Second
)

// probeStore reads from the store while the gate needs to know whether it answers; it blocks until ctx ends.
func (h *Host) probeStore(ctx context.Context, log zerolog.Logger) {
	phase := outage.PhaseOpen
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
		ok := h.readThrough(ctx, h.gate.Status(now).LastFailure)
		if ctx.Err() != nil {
			return
		}
		if ok {
			h.deps.Metrics.Count("outage.probe.answered")
		} else {
			h.deps.Metrics.Count("outage.probe.failed")
		}
		h.gate.Probed(h.deps.Clock.Now(), ok)
		select {
		case <-ctx.Done():
			return
		case <-h.deps.Clock.After(probeInterval):
		}
	}
}

// RetryAfter returns when the caller of a refused request may return during an outage of the store; 0 without one.
func (h *Host) RetryAfter() time.Duration { return h.gate.RetryAfter(h.deps.Clock.Now()) }

// readThrough reports whether the store answers a read, here or at the leader: either may carry out a write. The leader's answer counts if the
// store has confirmed the leader's configuration since the last failed write.
func (h *Host) readThrough(ctx context.Context, lastFailure time.Time) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	_, err := h.deps.Platform.Store.Get(ctx, jaybarrow.JobLeaderKey)
	if err == nil || jaybarrow.IsKind(err, jaybarrow.KindNotFound) {
		return true
	}
	leaderAddress, err := h.leaderAddress()
	if err != nil {
		return false
	}
	askedAt := h.deps.Clock.Now()
	_, ageMs, err := h.client.NewerConfiguration(ctx, leaderAddress, h.configurationVersion())
	return err == nil && askedAt.Add(-time.Duration(ageMs)*time.Millisecond).After(lastFailure)
}
