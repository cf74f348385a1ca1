package jaybarrow

import "time"

// SystemClock is the operating system's clock.
type SystemClock struct{}

// Now returns the current time with a monotonic reading.
func (SystemClock) Now() time.Time { return time.Now() }

// After returns a channel that delivers the time after d.
func (SystemClock) After(d time.Duration) <-chan time.Time { return time.After(d) }
