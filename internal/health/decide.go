package health

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/jaybarrow/jaybarrow"
)

// phase is the ejection phase of a worker.
type phase string

const (
	phaseServing phase = "serving"
	phaseEjected phase = "ejected" // gets no task until trialAt, then one trial task
	phaseTrial   phase = "trial"   // the trial task is running
)

// host is the recorded health of one worker.
type host struct {
	phase            phase
	successes, total float64 // weighted observations, decayed to decayedAt
	decayedAt        time.Time
	failures         int           // consecutive
	latency          time.Duration // exponentially smoothed run time; failures do not lower it
	backoffLevel     int           // doublings of the backoff, one for each failed trial
	ejectedAt        time.Time
	trialAt          time.Time // start of the next trial, or the timeout of the running one
	reason           string
}

// state is the health of one pool's workers; its methods do no I/O and read no clock.
type state struct {
	settings    Settings
	hosts       map[jaybarrow.HostID]*host
	unavailable int
}

func newState(settings Settings) *state {
	return &state{settings: settings, hosts: make(map[jaybarrow.HostID]*host)}
}

// latencyWeight is the weight of a new observation in the smoothed latency.
const latencyWeight = 0.2

// setPool replaces the set of hosts and the count of unavailable ones. It readmits hosts while more are ejected than the cap
// allows, those with the earliest trial first.
func (s *state) setPool(hosts []jaybarrow.HostID, unavailable int) {
	s.unavailable = unavailable
	updated := make(map[jaybarrow.HostID]*host, len(hosts))
	for _, id := range hosts {
		h, ok := s.hosts[id]
		if !ok {
			h = &host{phase: phaseServing}
		}
		updated[id] = h
	}
	s.hosts = updated
	ejectedIDs := s.ejected()
	slices.SortFunc(ejectedIDs, func(a, b jaybarrow.HostID) int {
		return cmp.Or(s.hosts[a].trialAt.Compare(s.hosts[b].trialAt), cmp.Compare(a, b))
	})
	for _, id := range ejectedIDs[:max(0, len(ejectedIDs)-s.ejectionCap())] {
		s.readmit(s.hosts[id])
	}
}

func (s *state) ejectionCap() int { return EjectionCap(len(s.hosts), s.unavailable) }

// ejected returns the hosts that are ejected or in a trial, in no particular order.
func (s *state) ejected() []jaybarrow.HostID {
	var ids []jaybarrow.HostID
	for id, h := range s.hosts {
		if h.phase != phaseServing {
			ids = append(ids, id)
		}
	}
	return ids
}

// observe records a task's outcome and changes the worker's phase accordingly; jitter is in [0, 1).
func (s *state) observe(now time.Time, id jaybarrow.HostID, outcome Outcome, took time.Duration, jitter float64) {
	h, ok := s.hosts[id]
	if !ok {
		return
	}
	weight, counts := weights[outcome]
	if counts {
		s.recordOutcome(h, now, outcome, weight, took)
	}
	switch {
	case h.phase == phaseTrial && !counts:
		h.phase, h.trialAt = phaseEjected, now.Add(s.settings.Backoff) // the trial was inconclusive; repeat it
	case h.phase == phaseTrial && outcome == OutcomeDone:
		s.readmit(h)
	case h.phase == phaseTrial && s.successRateOfOthers(h, now) < s.settings.MinRateGap:
		s.readmit(h) // tasks fail everywhere, so the trial's failure is not the worker's
	case h.phase == phaseTrial:
		h.backoffLevel++
		s.eject(h, now, jitter, fmt.Sprintf("its trial task ended as %s", outcome))
	case h.phase == phaseServing && counts && outcome != OutcomeDone:
		s.ejectIfFailing(h, now, jitter)
	}
}

func (s *state) recordOutcome(h *host, now time.Time, outcome Outcome, weight float64, took time.Duration) {
	h.successes, h.total = s.decayedCounts(h, now)
	h.decayedAt = now
	h.total += weight
	if outcome == OutcomeDone {
		h.successes += weight
		h.failures = 0
		if h.latency == 0 {
			h.latency = took
		}
		h.latency += time.Duration(latencyWeight * float64(took-h.latency))
		return
	}
	h.failures++
	if h.latency > 0 { // quick failures must not lower the latency
		h.latency += time.Duration(latencyWeight * float64(max(0, took-h.latency)))
	}
}

// decayedCounts returns the worker's weighted observations, decayed to now.
func (s *state) decayedCounts(h *host, now time.Time) (successes, total float64) {
	decay := math.Exp2(-float64(max(0, now.Sub(h.decayedAt))) / float64(s.settings.HalfLife))
	return h.successes * decay, h.total * decay
}

// ejectIfFailing ejects a serving worker whose success rate is below that of the pool's other serving workers by MinRateGap
// or more, while the cap allows. Bad requests fail on every worker, so they lower the others' rate as well and eject none.
func (s *state) ejectIfFailing(h *host, now time.Time, jitter float64) {
	successes, total := s.decayedCounts(h, now)
	if total < s.settings.MinVolume || len(s.ejected()) >= s.ejectionCap() {
		return
	}
	mean := s.successRateOfOthers(h, now)
	if successes/total > mean-s.settings.MinRateGap {
		return
	}
	if now.Sub(h.ejectedAt) > s.settings.BackoffResetAfter {
		h.backoffLevel = 0
	}
	s.eject(h, now, jitter, fmt.Sprintf("%.0f%% of its tasks succeed, %.0f%% on the other hosts", 100*successes/total, 100*mean))
}

// successRateOfOthers returns the mean success rate of the other serving workers. Each one's weight is limited to MinVolume
// observations, so that one busy worker does not dominate the mean. Half of MinVolume is presumed successful, so that a
// worker that attracts all tasks by failing quickly can be ejected although the others have run none.
func (s *state) successRateOfOthers(except *host, now time.Time) float64 {
	successes := s.settings.MinVolume / 2
	total := successes
	for _, h := range s.hosts {
		hostSuccesses, hostTotal := s.decayedCounts(h, now)
		if h == except || h.phase != phaseServing || hostTotal == 0 {
			continue
		}
		scale := min(1, s.settings.MinVolume/hostTotal)
		successes += hostSuccesses * scale
		total += hostTotal * scale
	}
	return successes / total
}

// eject takes the worker out of service until the end of its backoff, which doubles with each failed trial.
func (s *state) eject(h *host, now time.Time, jitter float64, reason string) {
	backoff := min(s.settings.Backoff<<min(h.backoffLevel, 20), s.settings.MaxBackoff)
	backoff += time.Duration(float64(backoff) * s.settings.Jitter * jitter)
	h.phase, h.ejectedAt, h.trialAt, h.reason = phaseEjected, now, now.Add(backoff), reason
}

// readmit returns the worker to service and drops the observations made before its ejection.
func (s *state) readmit(h *host) {
	h.phase, h.successes, h.total, h.failures, h.reason = phaseServing, 0, 0, 0, ""
}

// accepting reports whether the worker may get a task, because it is serving or its trial is due.
func (s *state) accepting(now time.Time, id jaybarrow.HostID) bool {
	h, ok := s.hosts[id]
	return !ok || h.phase == phaseServing || !now.Before(h.trialAt)
}

// admit reports whether the worker may get a task, and starts its trial if it is ejected and the trial is due.
func (s *state) admit(now time.Time, id jaybarrow.HostID) bool {
	if !s.accepting(now, id) {
		return false
	}
	if h, ok := s.hosts[id]; ok && h.phase != phaseServing {
		h.phase, h.trialAt = phaseTrial, now.Add(s.settings.TrialTimeout)
	}
	return true
}

// nextTrial returns the time of the earliest trial, or of the timeout of a running one; false when no worker is ejected.
func (s *state) nextTrial() (time.Time, bool) {
	var next time.Time
	for _, h := range s.hosts {
		if h.phase != phaseServing && (next.IsZero() || h.trialAt.Before(next)) {
			next = h.trialAt
		}
	}
	return next, !next.IsZero()
}
