package workload

import (
	"cmp"
	"slices"
	"time"

	"github.com/jaybarrow/jaybarrow"
)

const (
	// relocationTime is how long the lasting tasks of a worker that is to be emptied wait for room elsewhere before they are stopped without,
	// to start again after its maintenance. Joining hosts bring room within it, and short tasks end.
	relocationTime = 3 * time.Second
	// maxObstructedHold is how long a worker is kept free of new tasks although it cannot be emptied, or although waiting work needs it. The start
	// of a lasting task takes less, and so do most short tasks.
	maxObstructedHold = 2 * time.Second
	// drainRetry is the time after which it is tried again to empty a worker that could not be emptied.
	drainRetry = 500 * time.Millisecond
	// maxMoveWait is how long a worker is kept free whose lasting tasks cannot leave because others of their steps are unavailable, although
	// there is room for all of them: several starts of a lasting task.
	maxMoveWait = 5 * time.Second
	// neededFor is how long a worker that was given back to waiting work is left to it.
	neededFor = 3 * time.Second
)

// Drain begins to empty a worker for the maintenance of its host: the worker gets no new tasks, and its lasting tasks move to others. It
// returns the obstacle, and changes nothing, when the worker cannot be emptied at present; a worker that is not known has none and is not
// drained.
//
// Load pattern: a wave over most hosts of a pool whose lasting tasks fill the others. Workers that wait for room which does not come would
// start nothing any more.
func (p *Pool) Drain(id jaybarrow.WorkerID, now time.Time) (drains bool, obstacle jaybarrow.DrainObstacle) {
	w := p.workers[id]
	if w == nil {
		return false, ""
	}
	if w.drainWantedAt.IsZero() {
		w.drainWantedAt = now
	}
	if obstacle := p.obstacle(w, now); obstacle != "" {
		w.obstruct(obstacle, now.Add(drainRetry))
		return false, obstacle
	}
	w.reserved, w.emptyingSince, p.sweepDue = true, now, true
	return true, ""
}

// obstruct records why the worker cannot be emptied before retryAt.
func (w *worker) obstruct(obstacle jaybarrow.DrainObstacle, retryAt time.Time) {
	w.obstacle, w.drainRetryAt = obstacle, retryAt
}

// emptying reports whether the worker is kept free of new tasks until it is empty.
func (w *worker) emptying() bool { return w.reserved && !w.emptyingSince.IsZero() }

// obstacle returns what keeps the worker from becoming empty, beside tasks that end by themselves; empty when nothing does.
func (p *Pool) obstacle(w *worker, now time.Time) jaybarrow.DrainObstacle {
	if p.isLastWithLabel(w, now) {
		return jaybarrow.ObstacleNeeded
	}
	tasks := make(map[*step]int, w.lasting)
	for _, r := range w.runs {
		if r.task.step.spec.Lasting && !r.task.step.job.state.Ended() {
			tasks[r.task.step]++
		}
	}
	for s, n := range tasks {
		if o := p.stepObstacle(s, n, w, now); o != "" {
			return o
		}
	}
	return ""
}

// stepObstacle returns what keeps the n tasks of a lasting step from leaving the worker: no other worker takes them, and its step does not
// allow as many tasks to be unavailable as would have to wait for the end of the maintenance.
func (p *Pool) stepObstacle(s *step, n int, w *worker, now time.Time) jaybarrow.DrainObstacle {
	competing, away := s.idle(), 0
	for _, t := range s.tasks {
		switch r := t.current; {
		case r == nil, r.worker != w && r.worker.emptying():
			competing++
		case r.worker != w && !t.available(now, p.settings.ReportGrace):
			away++
		}
	}
	wanted := n + competing
	stranded := wanted - p.roomElsewhere(s, wanted, w, now)
	allowed := max(1, s.spec.MaxUnavailable)
	switch {
	case stranded <= 0 || stranded+away <= allowed:
		return ""
	case n > allowed:
		return jaybarrow.ObstacleNoRoom
	}
	return jaybarrow.ObstacleOthersAway
}

// roomElsewhere returns how many further tasks of the lasting step the usable workers other than w can take, once their short tasks have
// ended; it counts up to wanted.
func (p *Pool) roomElsewhere(s *step, wanted int, w *worker, now time.Time) int {
	n := 0
	for _, other := range p.workers {
		if other == w || !other.usable(now, p.settings.ReportGrace) {
			continue
		}
		if n += p.roomOn(s, wanted-n, other); n >= wanted {
			break
		}
	}
	return n
}

// roomOn returns how many further tasks of the lasting step the worker can take once its short tasks have ended, at most wanted.
func (p *Pool) roomOn(s *step, wanted int, w *worker) int {
	if !s.allows(w) || s.advice.refuses(w) {
		return 0
	}
	if s.spec.MaxPerWorker > 0 {
		wanted = min(wanted, s.spec.MaxPerWorker-w.countRuns(s))
	}
	room, demand, n := w.entry.Capacity.Minus(w.lastingUsed), s.demand(), 0
	for n < wanted && demand.FitsIn(room) {
		room, n = room.Minus(demand), n+1
	}
	return n
}

// isLastWithLabel reports whether the worker is the only usable one with a label that running or waiting work requires, while others with
// the label exist that come back first.
func (p *Pool) isLastWithLabel(w *worker, now time.Time) bool {
	if w.evacuated() {
		return false // nothing can be started on it anyway
	}
	for _, label := range w.entry.Labels {
		if !p.requires(label, now) {
			continue
		}
		others, usable := 0, 0
		for _, other := range p.workers {
			if other == w || other.gone || other.evacuated() || !slices.Contains(other.entry.Labels, label) {
				continue
			}
			others++
			if other.usable(now, p.settings.ReportGrace) {
				usable++
			}
		}
		if others > 0 && usable == 0 {
			return true
		}
	}
	return false
}

// requires reports whether running or waiting work requires the label.
func (p *Pool) requires(label jaybarrow.Label, now time.Time) bool {
	if _, used := p.labelUsed[label]; used {
		return true
	}
	for j := range p.waiting {
		if !j.state.Ended() && j.requires(label, now) {
			return true
		}
	}
	return false
}

// requires reports whether a waiting task of the job requires the label.
func (j *job) requires(label jaybarrow.Label, now time.Time) bool {
	if !slices.ContainsFunc(j.spec.Steps, func(s jaybarrow.Step) bool { return s.Requires == label }) {
		return false
	}
	for s := range j.steps() {
		if s.unassigned > 0 && s.spec.Requires == label {
			return true
		}
	}
	return j.dueUnopened(now) > 0
}

// giveUpHolds gives workers back that are kept free of new tasks in vain: those that could not be emptied for maxObstructedHold, and one that
// waiting work needs.
//
// Load pattern: workers that serve beside the ones being emptied crash, fall silent or fill up. What is held is then all that is left.
func (p *Pool) giveUpHolds(now time.Time) {
	var held []*worker
	for _, w := range p.sortedWorkers() {
		if !w.emptying() || w.gone {
			continue
		}
		obstacle, limit := p.obstacle(w, now), maxObstructedHold
		if obstacle == "" && p.waitsForOthers(w, now) {
			obstacle, limit = jaybarrow.ObstacleOthersAway, maxMoveWait
		}
		switch {
		case obstacle == "":
			w.obstructedSince = time.Time{}
		case w.obstructedSince.IsZero():
			w.obstructedSince = now
		case now.Sub(w.obstructedSince) >= limit:
			p.giveUpHold(w, obstacle, now.Add(drainRetry))
			continue
		}
		if now.Sub(w.emptyingSince) >= maxObstructedHold && !w.evacuated() {
			held = append(held, w)
		}
	}
	if w := p.neededWorker(held, now); w != nil {
		p.giveUpHold(w, jaybarrow.ObstacleNeeded, now.Add(neededFor))
	}
}

// waitsForOthers reports whether only lasting tasks are left on the worker, none of which may become unavailable now.
func (p *Pool) waitsForOthers(w *worker, now time.Time) bool {
	for _, r := range w.runs {
		if !r.evictable() || p.mayMiss(r, now) {
			return false
		}
	}
	return len(w.runs) > 0
}

// giveUpHold gives the worker back to new tasks.
func (p *Pool) giveUpHold(w *worker, obstacle jaybarrow.DrainObstacle, retryAt time.Time) {
	p.release(w)
	w.obstruct(obstacle, retryAt)
	p.observer.HoldGivenUp(w.entry.ID, obstacle)
}

// neededWorker returns the one of the held workers that a waiting task needs, since no usable worker can take it even once its short tasks have
// ended; nil when there is none. Of several it is the one with the most runs, which is the farthest from being empty.
func (p *Pool) neededWorker(held []*worker, now time.Time) *worker {
	if len(held) == 0 {
		return nil
	}
	slices.SortStableFunc(held, func(a, b *worker) int { return cmp.Compare(len(b.runs), len(a.runs)) })
	for j := range p.waiting {
		if j.state.Ended() {
			continue
		}
		for s := range j.steps() {
			if w := p.neededBy(s, held, now); w != nil {
				return w
			}
		}
	}
	return nil
}

// neededBy returns the first of the held workers that a waiting task of the step needs; nil when there is none.
func (p *Pool) neededBy(s *step, held []*worker, now time.Time) *worker {
	if s.unassigned == 0 || !s.ready(now) || !p.teams.MayUse(s.job.spec.Team, s.spec.Demand) || p.mayBeginOf(s.job) == 0 {
		return nil
	}
	takes := func(w *worker) bool { return !(s.spec.Lasting && w.emptied) && p.roomOn(s, 1, w) > 0 }
	if slices.ContainsFunc(p.sortedWorkers(), func(w *worker) bool { return w.usable(now, p.settings.ReportGrace) && takes(w) }) {
		return nil
	}
	if n := slices.IndexFunc(held, takes); n >= 0 {
		return held[n]
	}
	return nil
}

// evacuateReserved stops lasting tasks on workers that are being emptied, as far as their steps' MaxUnavailable allows, so that they move to
// others. A worker whose tasks found no room elsewhere for relocationTime is emptied all the same once this can be done at a stroke, so that
// its maintenance begins at once.
func (p *Pool) evacuateReserved(now time.Time) {
	for _, w := range p.sortedWorkers() {
		if !w.emptying() || w.missedReports > 0 {
			continue
		}
		if now.Sub(w.drainWantedAt) >= relocationTime && p.mayEmpty(w, now) {
			w.emptied = true
		}
		for _, r := range w.runs {
			if r.evictable() && p.mayMiss(r, now) && (w.emptied || p.hasRoomElsewhere(r, now)) {
				p.stopRun(r, now)
			}
		}
	}
}

// mayEmpty reports whether only lasting tasks run on the worker and all of them may be stopped together.
func (p *Pool) mayEmpty(w *worker, now time.Time) bool {
	tasks := make(map[*step]int, len(w.runs))
	for _, r := range w.runs {
		if !r.evictable() {
			return false
		}
		tasks[r.task.step]++
	}
	for s, n := range tasks {
		if n+p.unavailable(s, w, now) > max(1, s.spec.MaxUnavailable) {
			return false
		}
	}
	return true
}

// evictable reports whether the run is one of a lasting task that can be stopped.
func (r *run) evictable() bool { return r.task.step.spec.Lasting && r.phase == runRunning }

// mayMiss reports whether the lasting task may be unavailable: enough others of its step are available.
func (p *Pool) mayMiss(r *run, now time.Time) bool {
	s := r.task.step
	unavailable := s.idle()
	for _, t := range s.tasks {
		if t != r.task && !t.available(now, p.settings.ReportGrace) {
			unavailable++
		}
	}
	return unavailable < max(1, s.spec.MaxUnavailable)
}

// unavailable returns how many tasks of the lasting step are unavailable, apart from those on the worker.
func (p *Pool) unavailable(s *step, w *worker, now time.Time) int {
	n := s.idle()
	for _, t := range s.tasks {
		if (t.current == nil || t.current.worker != w) && !t.available(now, p.settings.ReportGrace) {
			n++
		}
	}
	return n
}

// hasRoomElsewhere reports whether another worker can take the run's task.
func (p *Pool) hasRoomElsewhere(r *run, now time.Time) bool {
	for _, w := range p.workers {
		if w != r.worker && w.usable(now, p.settings.ReportGrace) && p.canRun(r.task.step, w) {
			return true
		}
	}
	return false
}

// available reports whether a lasting task has finished starting up on a worker that reports on time.
func (t *task) available(now time.Time, grace time.Duration) bool {
	r := t.current
	return r != nil && r.phase == runRunning && r.progress >= fullPercent && r.worker.missedReports == 0 && !r.worker.gone &&
		r.worker.reportsOnTime(now, grace)
}
