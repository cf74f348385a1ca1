package workload

import (
	"maps"
	"slices"
	"time"

	"github.com/jaybarrow/jaybarrow"
)

// The bounds by which a worker counts as slow. Run times of sound workers vary by half around what is expected, and estimates by
// nearly as much; slow hosts take four times as long and more.
const (
	// slowFactor is how many times as long as expected the tasks of a slow worker take.
	slowFactor = 2.5
	// slowJobs is how many jobs must say so: the estimates of one may be far too low for all of its tasks.
	slowJobs = 3
	// slowElapsed and slowProgress are what a run must have behind it to tell how long it will take.
	slowElapsed                    = 250 * time.Millisecond
	slowProgress jaybarrow.Percent = 3
	// slowKeep is how many ended jobs are kept for the next judgement.
	slowKeep = 4
	// slowMargin is how much longer than a new run elsewhere a task must still take to be moved there.
	slowMargin = 150 * time.Millisecond
	// ratioWeight is the weight of one run in a queue's mean of run time to estimate.
	ratioWeight = 0.05
)

// expected returns how long a task of the step takes on a sound worker: its estimate, corrected by what the queue's tasks took.
func (p *Pool) expected(s *step) time.Duration {
	ratio, known := p.ratios[s.job.spec.Queue]
	if !known {
		ratio = 1
	}
	return time.Duration(ratio * float64(s.spec.Estimate()))
}

// timed reports whether the run's time tells something of its worker.
func (r *run) timed() bool {
	s := r.task.step.spec
	return !s.Lasting && !s.Background && !s.Gang && !r.resumed && s.EstimateMs > 0
}

// learn takes the time of a run that was done into account.
func (p *Pool) learn(r *run, now time.Time) {
	if !r.timed() {
		return
	}
	w, took := r.worker, now.Sub(r.since)
	w.note(r.task.step.job, took.Seconds()/max(time.Millisecond, p.expected(r.task.step)).Seconds())
	queue := r.task.step.job.spec.Queue
	own := took.Seconds() / r.task.step.spec.Estimate().Seconds()
	if mean, known := p.ratios[queue]; known {
		own = mean + ratioWeight*(own-mean)
	}
	p.ratios[queue] = own
}

// total returns how long the run will have taken in all if it goes on as it did; false when that cannot be told yet.
func (r *run) total() (time.Duration, bool) {
	elapsed := r.moved.Sub(r.since)
	if r.phase != runRunning || elapsed < slowElapsed || r.progress < slowProgress {
		return 0, false
	}
	return time.Duration(float64(elapsed) * float64(fullPace) / float64(r.progress)), true
}

// note keeps the smallest ratio of a job's ended runs.
func (w *worker) note(j *job, ratio float64) {
	for i := range w.ratios {
		if w.ratios[i].job == j {
			w.ratios[i].ratio = min(w.ratios[i].ratio, ratio)
			return
		}
	}
	w.ratios = append(w.ratios, jobRatio{j, ratio})
	w.ratios = w.ratios[max(0, len(w.ratios)-slowKeep):]
}

// slow reports whether the tasks of most of the jobs that can tell take far longer than expected on the worker.
func (p *Pool) slow(w *worker) bool {
	least := make(map[*job]float64, len(w.ratios))
	for _, one := range w.ratios {
		least[one.job] = one.ratio
	}
	for _, r := range w.runs {
		if total, ok := r.total(); ok && r.timed() {
			ratio := total.Seconds() / max(time.Millisecond, p.expected(r.task.step)).Seconds()
			if old, known := least[r.task.step.job]; known {
				ratio = min(old, ratio)
			}
			least[r.task.step.job] = ratio
		}
	}
	if len(least) < slowJobs {
		return false
	}
	ratios := slices.Sorted(maps.Values(least))
	return ratios[len(ratios)/2] > slowFactor
}

// leaveSlow keeps new tasks from slow workers for a while, and moves those that would end sooner elsewhere, each at most once.
func (p *Pool) leaveSlow(now time.Time) {
	for _, w := range p.workers {
		if w.failing > 0 || w.gone || now.Before(w.refusing) || !p.slow(w) {
			continue
		}
		w.ratios = nil
		w.faults = max(w.faults, faultsTolerated-1)
		p.blame(w, "its tasks take far longer than expected", now)
		for _, r := range w.runs {
			total, ok := r.total()
			if !ok || !r.timed() || r.task.moved {
				continue
			}
			left := total - now.Sub(r.since)
			if left > p.expected(r.task.step)+slowMargin && p.roomElsewhere(r.task, w, now) {
				r.task.moved, r.task.avoid = true, w.entry.ID
				p.stop(r, now)
			}
		}
	}
}

// roomElsewhere reports whether another worker could take the task now.
func (p *Pool) roomElsewhere(t *task, w *worker, now time.Time) bool {
	for _, other := range p.workers {
		if other != w && other.usable(now, p.settings.Suspect) && p.allowed(t, other) {
			return true
		}
	}
	return false
}
