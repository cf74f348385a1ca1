package balance

import "time"

// Settings are the parameters of the decisions. All but Economy have a single value in production.
type Settings struct {
	// Economy, from 0 to 1, weighs few moves and a small spare pool (1) against keeping close to targets and shares (0).
	Economy        float64
	ShortSmoothing time.Duration // smoothing time that shows whether a need still exists
	LongSmoothing  time.Duration // smoothing time that separates a shift from a burst; also the time before the first decision
	MinStay        time.Duration // minimum stay of a host in a pool at Economy 0; three times as long at Economy 1
}

// DefaultSettings returns the settings for bursts of seconds and shifts of hours. A burst of 10 s at five times the mean raises
// the long mean by less than a tenth, and a shift shows in it after some minutes.
func DefaultSettings() Settings {
	return Settings{Economy: 0.5, ShortSmoothing: 30 * time.Second, LongSmoothing: 10 * time.Minute, MinStay: 15 * time.Minute}
}

// highUtilization returns the fraction of its capacity above which a pool lacks hosts.
func (s Settings) highUtilization() float64 { return 0.7 + 0.2*s.Economy }

// lowUtilization returns the fraction of the remaining capacity up to which a pool can give a host. The gap to highUtilization is
// wider than the swing of the long mean under alternating bursts, so that a pool does not give and take hosts in turn.
func (s Settings) lowUtilization() float64 { return s.highUtilization() * 2 / 3 }

// highUtilizationOnMisses returns the fraction of its capacity above which a pool that misses deadlines lacks hosts.
func (s Settings) highUtilizationOnMisses() float64 {
	return s.highUtilization() - (s.highUtilization()-s.lowUtilization())/4
}

// spareDeviations returns how many standard deviations of the borrowed demand the spare pools cover above the mean.
func (s Settings) spareDeviations() float64 { return 2 - 2*s.Economy }

func (s Settings) minStay() time.Duration {
	return time.Duration(float64(s.MinStay) * (1 + 2*s.Economy))
}
