package balance

import "time"

// Settings are the parameters of the decisions; all but Economy have one value in production.
type Settings struct {
	// Economy says how a firm weighs few moves and a small spare pool (1) against nearness to targets and shares (0).
	Economy        float64
	ShortSmoothing time.Duration // smoothing time that tells whether a need still exists
	LongSmoothing  time.Duration // smoothing time that tells a lasting shift from a burst; also the least time of observation
	MinStay        time.Duration // least stay of a host in a pool, at Economy 0; three times as long at Economy 1
}

// DefaultSettings suit bursts of seconds and shifts of hours: a burst of 10 s at five times the mean raises the long mean by
// less than a tenth, and a shift shows in it after some minutes.
func DefaultSettings() Settings {
	return Settings{Economy: 0.5, ShortSmoothing: 30 * time.Second, LongSmoothing: 10 * time.Minute, MinStay: 15 * time.Minute}
}

// high is the part of its capacity above which a pool lacks hosts.
func (s Settings) high() float64 { return 0.7 + 0.2*s.Economy }

// low is the part of the remaining capacity up to which a pool can give a host. The gap to high is wider than the swing of the
// long mean under bursts in turn, so that a pool does not give and take hosts in alternation.
func (s Settings) low() float64 { return s.high() * 2 / 3 }

// missing is the part of its capacity above which a pool that misses targets lacks hosts.
func (s Settings) missing() float64 { return s.high() - (s.high()-s.low())/4 }

// spread is how many standard deviations of the borrowed demand the spare pool covers above the mean.
func (s Settings) spread() float64 { return 2 - 2*s.Economy }

func (s Settings) minStay() time.Duration {
	return time.Duration(float64(s.MinStay) * (1 + 2*s.Economy))
}
