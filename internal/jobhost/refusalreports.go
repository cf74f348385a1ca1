package jobhost

import (
	"context"
	"fmt"
	"time"

	"github.com/rs/zerolog"

	"github.com/jaybarrow/jaybarrow/internal/jobpeer"
	"github.com/jaybarrow/jaybarrow/internal/refusal"
)

// reportTimeout bounds one report; a report without an answer is made again.
const reportTimeout = 300 * time.Millisecond

// reportRefusals reports the refused jobs to the leader; it blocks until ctx ends.
func (h *Host) reportRefusals(ctx context.Context, log zerolog.Logger) {
	pace := new(refusal.Pace)
	for {
		changed := h.refused.Changed()
		if n, _ := h.refused.Size(); n == 0 {
			select {
			case <-ctx.Done():
				return
			case <-changed:
			}
		}
		h.reportOnce(ctx, pace, log)
		select {
		case <-ctx.Done():
			return
		case <-h.deps.Clock.After(refusal.ReportInterval):
		}
	}
}

// reportOnce makes one report, if there is a leader and something to report.
func (h *Host) reportOnce(ctx context.Context, pace *refusal.Pace, log zerolog.Logger) {
	term, send, ok := h.reportTarget()
	if !ok {
		return
	}
	report := h.refused.Unreported(term)
	if len(report.Jobs) == 0 || !pace.Due(h.deps.Clock.Now(), term) {
		return
	}
	limited, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	switch err := send(limited, report); {
	case err == nil:
		h.deps.Metrics.Count("refusal.reports")
		h.refused.Reported(report, term)
	case jobpeer.IsUnknownCall(err):
		h.deps.Metrics.Count("refusal.reports.unknown")
		pace.Unknown(h.deps.Clock.Now())
		log.Info().Msg("the build of the leader takes no reports of refused jobs")
	default:
		h.deps.Metrics.Count("refusal.reports.failed")
		log.Debug().Err(err).Msg("refused jobs are reported again")
	}
}

// reportTarget returns the present term and how to report to it; false while no leader is known.
func (h *Host) reportTarget() (refusal.Term, func(context.Context, refusal.Report) error, bool) {
	if s := h.activeScheduler.Load(); s != nil {
		return refusal.Term(fmt.Sprintf("own term %d", h.terms.Load())), func(_ context.Context, r refusal.Report) error {
			s.Refused(r.Jobs)
			return nil
		}, true
	}
	leaderAddress, err := h.leaderAddress()
	if err != nil {
		return "", nil, false
	}
	holder, _ := h.leader.Holder()
	term := refusal.Term(fmt.Sprintf("%s %d", holder.Entry, holder.Lease))
	return term, func(ctx context.Context, r refusal.Report) error { return h.client.Refused(ctx, leaderAddress, r.Jobs) }, true
}
