package workload

import (
	"time"

	"github.com/jaybarrow/jaybarrow"
)

// Background work on a worker is throttled while a task there exceeds its latency bound, and then released step by step.
const (
	// throttleFactor multiplies the share of background work beside a task that exceeds its bound.
	throttleFactor = 0.5
	// throttleRecovery is added to the share while every task beside it is well below its bound.
	throttleRecovery jaybarrow.Percent = 20
	// throttleFloor is the share below which background work is paused.
	throttleFloor jaybarrow.Percent = 10
	// recoveryThreshold is the fraction of its bound that a tail latency must stay below before background work is sped up.
	recoveryThreshold = 0.7
	// throttleInterval is the minimum time between changes for one run: the reported tail latency covers the last half second.
	throttleInterval = 700 * time.Millisecond
)

// throttle decides the shares of background runs from the latest reports.
func (p *Pool) throttle(now time.Time) []ThrottleRun {
	var out []ThrottleRun
	for _, w := range p.sortedWorkers() {
		if w.background == 0 || w.bounded == 0 {
			continue
		}
		latencyRatio := w.worstLatencyRatio()
		if latencyRatio < 0 || w.missedReports > 0 || w.gone {
			continue
		}
		for key, r := range w.runs {
			if !r.task.step.spec.Background || r.phase != runRunning || now.Sub(r.throttledAt) < throttleInterval {
				continue
			}
			share := nextShare(r.throttle, latencyRatio)
			if share == r.throttle {
				continue
			}
			r.throttle, r.throttledAt = share, now
			out = append(out, ThrottleRun{StopRun: StopRun{Worker: w.entry, Task: key.task, Run: key.run}, Share: share})
		}
	}
	return out
}

// worstLatencyRatio returns the largest tail latency on the worker relative to its bound; negative when no task has a bound.
func (w *worker) worstLatencyRatio() float64 {
	worst := -1.0
	for _, r := range w.runs {
		if bound := r.task.step.spec.LatencyMs; bound > 0 && r.phase == runRunning {
			worst = max(worst, float64(r.gauge)/float64(bound))
		}
	}
	return worst
}

// nextShare returns the share that follows from the worst latency ratio beside a run.
func nextShare(share jaybarrow.Percent, latencyRatio float64) jaybarrow.Percent {
	switch {
	case latencyRatio > 1:
		share = jaybarrow.Percent(float64(share) * throttleFactor)
		if share < throttleFloor {
			share = 0
		}
	case latencyRatio < recoveryThreshold:
		share = min(fullPercent, share+throttleRecovery)
	}
	return share
}

// HandleThrottleOutcome records whether the worker answered a throttle; after an unanswered one the share is decided again from
// full speed.
func (p *Pool) HandleThrottleOutcome(s ThrottleRun, answered bool) {
	w := p.workers[s.Worker.ID]
	if w == nil || answered {
		return
	}
	if r := w.runs[runKey{s.Task, s.Run}]; r != nil {
		r.throttledAt = time.Time{}
		r.throttle = fullPercent
	}
}
