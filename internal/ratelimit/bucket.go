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
	if wait := b.wait(now); wait > 0 {
		return wait, false
	}
	b.tokens--
	return 0, true
}

// Spend takes n tokens that were used without asking. The debt is at most the burst.
func (b *Bucket) Spend(n int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.tokens = max(-b.burst, b.tokens-float64(n))
}

// Wait returns how long until a token can be taken.
func (b *Bucket) Wait(now time.Time) time.Duration {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.wait(now)
}

func (b *Bucket) wait(now time.Time) time.Duration {
	if !b.last.IsZero() && now.After(b.last) {
		b.tokens = min(b.burst, b.tokens+now.Sub(b.last).Seconds()*b.rate)
	}
	if now.After(b.last) {
		b.last = now
	}
	missing := 1 - b.tokens
	if missing <= 0 {
		return 0
	}
	return max(1, time.Duration(missing/b.rate*float64(time.Second)))
}
