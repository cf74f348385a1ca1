package jaybarrow

import "time"

// Clock is the source of time; its Now carries a monotonic reading.
type Clock interface {
	Now() time.Time
	After(d time.Duration) <-chan time.Time
}

// SystemClock is the operating system's clock.
type SystemClock struct{}

// Now returns the current time with a monotonic reading.
func (SystemClock) Now() time.Time { return time.Now() }

// After returns a channel that delivers the time after d.
func (SystemClock) After(d time.Duration) <-chan time.Time { return time.After(d) }
