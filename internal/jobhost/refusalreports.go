package jobhost

import (
	"context"
	"fmt"
	"time"

	"github.com/rs/zerolog"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/jobmetrics"
	"github.com/jaybarrow/jaybarrow/internal/jobpeer"
	"github.com/jaybarrow/jaybarrow/internal/refusal"
)

// reportTimeout bounds one report; a report without an answer is made again.
const reportTimeout = 300 * time.Millisecond

// refusalReporter reports the refused jobs of an entry host to the leader.
type refusalReporter struct {
	clock   jaybarrow.Clock
	log     zerolog.Logger
	metrics *jobmetrics.Metrics
	jobs    *refusal.Memory
	pace    refusal.Pace
	// target returns the present term; false while no leader is known.
	target func() (reportTarget, bool)
}

// reportTarget is a term of a leader and how reports reach it.
type reportTarget struct {
	term refusal.Term
	send func(context.Context, []jaybarrow.RefusedJob) error
}

// run reports until ctx ends.
func (r *refusalReporter) run(ctx context.Context) {
	for {
		changed := r.jobs.Changed()
		if n, _ := r.jobs.Size(); n == 0 {
			select {
			case <-ctx.Done():
				return
			case <-changed:
			}
		}
		r.reportOnce(ctx)
		select {
		case <-ctx.Done():
			return
		case <-r.clock.After(refusal.ReportInterval):
		}
	}
}

// reportOnce makes one report, if there is a leader and something to report.
func (r *refusalReporter) reportOnce(ctx context.Context) {
	to, ok := r.target()
	if !ok {
		return
	}
	report := r.jobs.Unreported(to.term)
	if len(report.Jobs) == 0 || !r.pace.Due(r.clock.Now(), to.term) {
		return
	}
	limited, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	switch err := to.send(limited, report.Jobs); {
	case err == nil:
		r.metrics.Count("refusal.reports")
		r.jobs.Reported(report, to.term)
	case jobpeer.IsUnknownCall(err):
		r.metrics.Count("refusal.reports.unknown")
		r.pace.Unknown(r.clock.Now())
		r.log.Info().Msg("the build of the leader takes no reports of refused jobs")
	default:
		r.metrics.Count("refusal.reports.failed")
		r.log.Debug().Err(err).Int("jobs", len(report.Jobs)).Msg("refused jobs are reported again")
	}
}

// reportTarget returns the scheduler of this entry host while it leads, and the leader otherwise. A process that leads again has another term.
func (h *Host) reportTarget() (reportTarget, bool) {
	if s := h.activeScheduler.Load(); s != nil {
		return reportTarget{refusal.Term(fmt.Sprintf("own term %d", h.terms.Load())), func(_ context.Context, jobs []jaybarrow.RefusedJob) error {
			s.Refused(jobs)
			return nil
		}}, true
	}
	holder, held := h.leader.Holder()
	if !held || holder.Entry == h.deps.Entry {
		return reportTarget{}, false
	}
	return reportTarget{refusal.Term(fmt.Sprintf("%s %d", holder.Entry, holder.Lease)), func(ctx context.Context, jobs []jaybarrow.RefusedJob) error {
		return h.client.Refused(ctx, holder.Address, jobs)
	}}, true
}
