package workload

import (
	"time"

	"github.com/jaybarrow/jaybarrow"
)

// Background work on a worker is slowed down while a task there misses its latency bound, and let go again step by step.
const (
	// paceDown multiplies the share of background work beside a task above its bound.
	paceDown = 0.5
	// paceUp is added to the share while every task beside it is well under its bound.
	paceUp jaybarrow.Percent = 20
	// paceFloor is the share below which background work is held.
	paceFloor jaybarrow.Percent = 10
	// paceRoom is the part of its bound that a tail must stay under before background work is sped up.
	paceRoom = 0.7
	// paceEvery is the time between changes for one run: the reported tail covers the last half second.
	paceEvery = 700 * time.Millisecond
)

// pace decides the shares of background runs from the latest reports.
func (p *Pool) pace(now time.Time) []ThrottleRun {
	var out []ThrottleRun
	for _, w := range p.workers {
		load := w.worstLatency()
		if load < 0 || w.failing > 0 || w.gone {
			continue
		}
		for key, r := range w.runs {
			if !r.task.step.spec.Background || r.phase != runRunning || now.Sub(r.paced) < paceEvery {
				continue
			}
			share := nextPace(r.pace, load)
			if share == r.pace {
				continue
			}
			r.pace, r.paced = share, now
			out = append(out, ThrottleRun{StopRun: StopRun{Worker: w.entry, Task: key.task, Run: key.run}, Share: share})
		}
	}
	return out
}

// worstLatency returns the largest tail latency on the worker relative to its bound; negative when no task has a bound.
func (w *worker) worstLatency() float64 {
	worst := -1.0
	for _, r := range w.runs {
		if bound := r.task.step.spec.LatencyMs; bound > 0 && r.phase == runRunning {
			worst = max(worst, float64(r.gauge)/float64(bound))
		}
	}
	return worst
}

// nextPace returns the share that follows from the worst tail beside a run.
func nextPace(share jaybarrow.Percent, load float64) jaybarrow.Percent {
	switch {
	case load > 1:
		share = jaybarrow.Percent(float64(share) * paceDown)
		if share < paceFloor {
			share = 0
		}
	case load < paceRoom:
		share = min(fullPace, share+paceUp)
	}
	return share
}

// HandleThrottleOutcome takes the answer to a change of pace into account; an unanswered one is decided again.
func (p *Pool) HandleThrottleOutcome(s ThrottleRun, answered bool) {
	w := p.workers[s.Worker.ID]
	if w == nil || answered {
		return
	}
	if r := w.runs[runKey{s.Task, s.Run}]; r != nil {
		r.paced = time.Time{}
		r.pace = fullPace
	}
}
