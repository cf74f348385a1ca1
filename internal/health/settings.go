package health

import "time"

// Settings are the constants of the decisions.
type Settings struct {
	HalfLife          time.Duration // after which an observation counts half
	MinVolume         float64       // observations before a worker is judged
	MinRateGap        float64       // by which a worker's success rate is below that of the others when it is ejected
	Backoff           time.Duration // from the first ejection to the trial
	MaxBackoff        time.Duration // limit of the backoff, which doubles at each failed trial
	Jitter            float64       // largest part that is added to a backoff at random
	TrialTimeout      time.Duration // after which a trial without an outcome is given up and another one allowed
	BackoffResetAfter time.Duration // without an ejection, after which the backoff is the first one again
}

// DefaultSettings returns the settings for a fleet. Five observations within the half-life are what a worker with 8 slots
// gives in its first round of tasks. A gap of 0.4 leaves a worker with as many as a third of its tasks failing in service
// when the others are well, because ejecting it would cost more capacity than its failures do.
func DefaultSettings() Settings {
	return Settings{
		HalfLife:          30 * time.Second,
		MinVolume:         5,
		MinRateGap:        0.4,
		Backoff:           5 * time.Second,
		MaxBackoff:        5 * time.Minute,
		Jitter:            0.25,
		TrialTimeout:      time.Minute,
		BackoffResetAfter: 10 * time.Minute,
	}
}

// EjectionCapDivisor is the inverse of the largest part of a pool that may be ejected at once.
const EjectionCapDivisor = 3

// EjectionCap returns how many hosts of a pool may be ejected at once. Hosts that are unavailable for other reasons use up the cap,
// so that ejections never take a pool further below its availability budget's count than a third of it.
func EjectionCap(hosts, unavailable int) int {
	return max(0, hosts/EjectionCapDivisor-unavailable)
}
