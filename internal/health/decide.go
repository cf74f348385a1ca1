package health

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/jaybarrow/jaybarrow"
)

// phase is where a worker stands.
type phase string

const (
	phaseServing phase = "serving"
	phaseEjected phase = "ejected" // takes no task until trialAt, then one
	phaseTrial   phase = "trial"   // a trial task runs
)

// host is what the decisions know of one worker.
type host struct {
	phase     phase
	good, all float64 // observations, decayed to the time at
	at        time.Time
	failures  int           // consecutive
	latency   time.Duration // smoothed time of tasks; failures do not lower it
	level     int           // failed trials since the backoff was the first one
	ejectedAt time.Time
	trialAt   time.Time // when ejected: the next trial; in a trial: when it is given up
	reason    string
}

// state is the state of one pool; all methods are free of I/O and clocks.
type state struct {
	settings    Settings
	hosts       map[jaybarrow.HostID]*host
	unavailable int
}

func newState(settings Settings) *state {
	return &state{settings: settings, hosts: make(map[jaybarrow.HostID]*host)}
}

// latencyWeight is the part of a new observation in the smoothed latency.
const latencyWeight = 0.2

// resize replaces the set of hosts and the count of unavailable ones, and readmits hosts while more are ejected than the cap
// allows, those with the nearest trial first.
func (s *state) resize(hosts []jaybarrow.HostID, unavailable int) {
	s.unavailable = unavailable
	known := make(map[jaybarrow.HostID]*host, len(hosts))
	for _, id := range hosts {
		h, ok := s.hosts[id]
		if !ok {
			h = &host{phase: phaseServing}
		}
		known[id] = h
	}
	s.hosts = known
	out := s.ejected()
	slices.SortFunc(out, func(a, b jaybarrow.HostID) int {
		return cmp.Or(s.hosts[a].trialAt.Compare(s.hosts[b].trialAt), cmp.Compare(a, b))
	})
	for _, id := range out[:max(0, len(out)-s.cap())] {
		s.readmit(s.hosts[id])
	}
}

func (s *state) cap() int { return EjectionCap(len(s.hosts), s.unavailable) }

// ejected returns the hosts that are ejected or in a trial.
func (s *state) ejected() []jaybarrow.HostID {
	var ids []jaybarrow.HostID
	for id, h := range s.hosts {
		if h.phase != phaseServing {
			ids = append(ids, id)
		}
	}
	return ids
}

// observe takes in a task's outcome; jitter is in [0, 1).
func (s *state) observe(now time.Time, id jaybarrow.HostID, outcome Outcome, took time.Duration, jitter float64) {
	h, ok := s.hosts[id]
	if !ok {
		return
	}
	weight, counts := weights[outcome]
	if counts {
		s.record(h, now, outcome, weight, took)
	}
	switch {
	case h.phase == phaseTrial && !counts:
		h.phase, h.trialAt = phaseEjected, now.Add(s.settings.Backoff) // the trial told nothing; it is repeated
	case h.phase == phaseTrial && outcome == OutcomeDone:
		s.readmit(h)
	case h.phase == phaseTrial && s.others(h, now) < s.settings.MinRateGap:
		s.readmit(h) // tasks fail everywhere, so the trial's failure is not the worker's
	case h.phase == phaseTrial:
		h.level++
		s.eject(h, now, jitter, fmt.Sprintf("its trial task ended as %s", outcome))
	case h.phase == phaseServing && counts && outcome != OutcomeDone:
		s.judge(h, now, jitter)
	}
}

func (s *state) record(h *host, now time.Time, outcome Outcome, weight float64, took time.Duration) {
	h.good, h.all = s.rate(h, now)
	h.at = now
	h.all += weight
	if outcome == OutcomeDone {
		h.good += weight
		h.failures = 0
		if h.latency == 0 {
			h.latency = took
		}
		h.latency += time.Duration(latencyWeight * float64(took-h.latency))
		return
	}
	h.failures++
	if h.latency > 0 { // a worker that fails fast must not look fast
		h.latency += time.Duration(latencyWeight * float64(max(0, took-h.latency)))
	}
}

// rate returns the worker's observations decayed to now.
func (s *state) rate(h *host, now time.Time) (good, all float64) {
	decay := math.Exp2(-float64(max(0, now.Sub(h.at))) / float64(s.settings.HalfLife))
	return h.good * decay, h.all * decay
}

// judge ejects a serving worker whose success rate is far below that of the pool's other serving workers, while the cap
// allows. When requests are bad they fail everywhere, the others' rate falls too, and nobody is ejected.
func (s *state) judge(h *host, now time.Time, jitter float64) {
	good, all := s.rate(h, now)
	if all < s.settings.MinVolume || len(s.ejected()) >= s.cap() {
		return
	}
	mean := s.others(h, now)
	if good/all > mean-s.settings.MinRateGap {
		return
	}
	if now.Sub(h.ejectedAt) > s.settings.BackoffResetAfter {
		h.level = 0
	}
	s.eject(h, now, jitter, fmt.Sprintf("%.0f%% of its tasks succeed, %.0f%% on the other hosts", 100*good/all, 100*mean))
}

// others returns the mean success rate of the other serving workers. Each counts at most as MinVolume observations, so that
// one busy worker does not decide alone, and half of MinVolume is presumed successful, so that a worker which draws all the
// work by failing fast is judged although the others have run nothing.
func (s *state) others(except *host, now time.Time) float64 {
	good := s.settings.MinVolume / 2
	all := good
	for _, h := range s.hosts {
		g, a := s.rate(h, now)
		if h == except || h.phase != phaseServing || a == 0 {
			continue
		}
		scale := min(1, s.settings.MinVolume/a)
		good += g * scale
		all += a * scale
	}
	return good / all
}

func (s *state) eject(h *host, now time.Time, jitter float64, reason string) {
	backoff := min(s.settings.Backoff<<min(h.level, 20), s.settings.MaxBackoff)
	backoff += time.Duration(float64(backoff) * s.settings.Jitter * jitter)
	h.phase, h.ejectedAt, h.trialAt, h.reason = phaseEjected, now, now.Add(backoff), reason
}

// readmit lets the worker serve again and forgets its observations, which are of the time before.
func (s *state) readmit(h *host) {
	h.phase, h.good, h.all, h.failures, h.reason = phaseServing, 0, 0, 0, ""
}

// accepting reports whether the worker may get a task: it serves, or its trial is due.
func (s *state) accepting(now time.Time, id jaybarrow.HostID) bool {
	h, ok := s.hosts[id]
	return !ok || h.phase == phaseServing || !now.Before(h.trialAt)
}

// begin notes the start of a task; it reports false when the worker must not get it.
func (s *state) begin(now time.Time, id jaybarrow.HostID) bool {
	if !s.accepting(now, id) {
		return false
	}
	if h, ok := s.hosts[id]; ok && h.phase != phaseServing {
		h.phase, h.trialAt = phaseTrial, now.Add(s.settings.TrialTimeout)
	}
	return true
}

// nextTrial returns when the next worker may be tried; false when none is ejected.
func (s *state) nextTrial() (time.Time, bool) {
	var next time.Time
	for _, h := range s.hosts {
		if h.phase != phaseServing && (next.IsZero() || h.trialAt.Before(next)) {
			next = h.trialAt
		}
	}
	return next, !next.IsZero()
}
