package health

import "time"

// Settings are the parameters of outlier ejection.
type Settings struct {
	HalfLife          time.Duration // time after which an observation counts half
	MinVolume         float64       // weighted observations that a worker needs before it can be ejected
	MinRateGap        float64       // a worker is ejected when its success rate is at least this much below that of the others
	Backoff           time.Duration // from the first ejection to the trial
	MaxBackoff        time.Duration // limit of the backoff, which doubles with each failed trial, before jitter
	Jitter            float64       // largest fraction of a backoff that is added to it at random
	TrialTimeout      time.Duration // time after which a trial without an outcome is abandoned and another one allowed
	BackoffResetAfter time.Duration // time since the last ejection after which the backoff starts at Backoff again
}

// DefaultSettings returns the settings for production. A worker with 8 slots yields MinVolume observations within the
// half-life in its first round of tasks. MinRateGap keeps a worker in service when up to a third of its tasks fail and the
// others are healthy, because ejecting it would cost more capacity than its failures do.
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

// EjectionCapDivisor limits the ejected hosts of a pool to one in EjectionCapDivisor.
const EjectionCapDivisor = 3

// EjectionCap returns how many hosts of a pool may be ejected at once. Hosts that are unavailable for other reasons use up the
// cap, so that ejections and other causes together never take out more than a third of a pool, except where the other causes
// alone do.
func EjectionCap(hosts, unavailable int) int {
	return max(0, hosts/EjectionCapDivisor-unavailable)
}
