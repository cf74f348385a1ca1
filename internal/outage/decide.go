package outage

import "time"

const (
	// openAfterFailing is how long writes must have failed, directly and through the leader, before they are refused without an
	// attempt.
	openAfterFailing = 300 * time.Millisecond
	// firstTrialWrites is how many writes are tried at once after the first successful read. One more follows for each that succeeds, so that
	// their number doubles with each round trip.
	firstTrialWrites = 4
	// trialSuccesses ends a trial: as many writes are then tried at once as the store client has connections (24).
	trialSuccesses = 20
	// quietTrial ends a trial in which callers write little: no write has failed for so long, none is in progress and reads are answered.
	quietTrial = 2 * time.Second
	// minTrialPause is the time between a failed trial and the next one; it doubles with each further failure up to maxTrialPause. It matters
	// where the store answers reads and accepts no writes, since the writes of a trial may then get no certain answer.
	minTrialPause = 400 * time.Millisecond
	maxTrialPause = 3200 * time.Millisecond
)

// Phase is how a Gate treats writes.
type Phase string

// The phases.
const (
	PhaseOpen     Phase = "open"     // every write is tried
	PhaseRefusing Phase = "refusing" // no write is tried
	PhaseTrial    Phase = "trial"    // a few writes are tried at once
)

// Outcome is how a write has ended.
type Outcome string

// The outcomes.
const (
	Stored     Outcome = "stored"     // the store has decided on the write
	Failed     Outcome = "failed"     // neither the store nor the leader has carried it out
	Unobserved Outcome = "unobserved" // the write was given up before it could tell
)

// state is what a Gate has seen. Its methods decide from it and from the time alone.
//
// Load pattern: a store that is down for some seconds while callers hand in jobs at several times the usual rate and come back after each
// refusal. A write that was not tried certainly has no effect, so its caller can hand the job in again; a write without an answer may have been
// stored, and its caller cannot. So no write is tried to find out whether the store is back: reads find that out.
type state struct {
	phase        Phase
	generation   int       // of the phase; outcomes of writes of an earlier one do not count for a trial
	firstFailure time.Time // of the outage, or of failures that may become one; zero without
	lastFailure  time.Time // time of the last failed write
	tried        int       // writes without an outcome yet, of any generation
	inFlight     int       // those of the trial
	successes    int       // of the trial
	trialSince   time.Time
	nextTrial    time.Time
	failedTrials int
	cutOff       bool // as the last probe found
}

// enter reports whether a write may be tried now, and counts it.
func (s *state) enter(now time.Time) bool {
	allowed := s.allows(now)
	if allowed {
		s.tried++
		if s.phase == PhaseTrial {
			s.inFlight++
		}
	}
	return allowed
}

// allows reports whether a write may be tried now.
func (s *state) allows(now time.Time) bool {
	switch s.phase {
	case PhaseRefusing:
		return false
	case PhaseTrial:
		return s.inFlight < firstTrialWrites+s.successes
	}
	if !s.firstFailure.IsZero() && now.Sub(s.firstFailure) >= openAfterFailing {
		s.setPhase(PhaseRefusing)
		return false
	}
	return true
}

// leave applies the outcome of a write that entered in the generation.
func (s *state) leave(now time.Time, generation int, outcome Outcome) {
	s.tried--
	ofTrial := s.phase == PhaseTrial && generation == s.generation
	if ofTrial {
		s.inFlight--
	}
	switch {
	case outcome == Unobserved:
	case outcome == Stored && s.phase == PhaseOpen:
		s.firstFailure = time.Time{}
	case outcome == Stored && s.phase == PhaseRefusing:
		s.begin(now)
	case outcome == Stored && ofTrial:
		if s.successes++; s.successes >= trialSuccesses {
			s.end()
		}
	case outcome == Stored:
	case s.phase == PhaseOpen:
		s.lastFailure = now
		if s.firstFailure.IsZero() {
			s.firstFailure = now
		}
	case ofTrial:
		s.lastFailure = now
		s.nextTrial = now.Add(min(maxTrialPause, minTrialPause<<min(s.failedTrials, 10)))
		s.failedTrials++
		s.setPhase(PhaseRefusing)
	default:
		s.lastFailure = now
	}
}

// Probe is what the reads found that are to show whether writes may succeed.
type Probe string

// The findings.
const (
	ProbeAnswered Probe = "answered" // the store answers here or at the leader
	ProbeFailed   Probe = "failed"   // it does not, and the leader is unknown or answers: other entry hosts serve no caller better
	ProbeCutOff   Probe = "cutOff"   // neither the store nor the leader answers here, so that other entry hosts may serve callers
)

// servesCallers reports whether new callers are served here as well as elsewhere.
//
// Load pattern: a data centre that is cut off for some seconds. Its callers would be refused again and again by each of its entry hosts, until the
// balancer sends them to those of another one.
func (s *state) servesCallers() bool { return s.phase != PhaseRefusing || !s.cutOff }

// probed applies the outcome of a read.
func (s *state) probed(now time.Time, found Probe) {
	ok := found == ProbeAnswered
	s.cutOff = found == ProbeCutOff
	switch {
	case s.phase == PhaseRefusing && ok && !now.Before(s.nextTrial):
		s.begin(now)
	case s.phase == PhaseTrial && !ok:
		s.setPhase(PhaseRefusing)
	case s.phase == PhaseTrial && s.inFlight == 0 && now.Sub(s.trialSince) >= quietTrial:
		s.end()
	case s.phase == PhaseOpen && !s.firstFailure.IsZero() && s.tried == 0 && now.Sub(s.lastFailure) >= openAfterFailing:
		// No write can tell, so that the read decides.
		if ok {
			s.firstFailure = time.Time{}
			return
		}
		s.setPhase(PhaseRefusing)
	}
}

// begin begins a trial.
func (s *state) begin(now time.Time) {
	s.setPhase(PhaseTrial)
	s.inFlight, s.successes, s.trialSince, s.cutOff = 0, 0, now, false
}

// end ends the outage.
func (s *state) end() {
	s.setPhase(PhaseOpen)
	s.firstFailure, s.nextTrial, s.failedTrials = time.Time{}, time.Time{}, 0
}

func (s *state) setPhase(p Phase) {
	s.phase = p
	s.generation++
}
