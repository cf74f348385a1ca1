package ratelimit

import (
	"sync"
	"time"
)

// Bucket is a token bucket; the caller passes the current time.
type Bucket struct {
	mutex  sync.Mutex
	rate   float64 // tokens per second
	burst  float64
	tokens float64
	last   time.Time
}

// New returns a full Bucket that refills at rate tokens per second, up to burst.
func New(rate, burst int) *Bucket {
	return &Bucket{rate: float64(rate), burst: float64(burst), tokens: float64(burst)}
}

// Take takes a token; when there is none it returns false and how long until the next one.
func (b *Bucket) Take(now time.Time) (time.Duration, bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if !b.last.IsZero() && now.After(b.last) {
		b.tokens = min(b.burst, b.tokens+now.Sub(b.last).Seconds()*b.rate)
	}
	if now.After(b.last) {
		b.last = now
	}
	if b.tokens < 1 {
		return time.Duration((1 - b.tokens) / b.rate * float64(time.Second)), false
	}
	b.tokens--
	return 0, true
}
