package ratelimit

import (
	"sync"
	"time"
)

// Bucket is a token bucket; the caller passes the current time. It is safe for concurrent use.
type Bucket struct {
	mutex      sync.Mutex
	rate       float64   // tokens per second
	burst      float64   // largest number of tokens
	tokens     float64   // negative while in debt
	refilledAt time.Time // zero before the first refill
}

// New returns a full Bucket that refills at rate tokens per second, up to burst.
func New(rate, burst int) *Bucket {
	return &Bucket{rate: float64(rate), burst: float64(burst), tokens: float64(burst)}
}

// Take takes a token; when there is none, it returns false and the time until the next one.
func (b *Bucket) Take(now time.Time) (time.Duration, bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if timeToToken := b.timeToToken(now); timeToToken > 0 {
		return timeToToken, false
	}
	b.tokens--
	return 0, true
}

// Spend subtracts n tokens for operations that have happened without a Take. The debt is limited to the burst.
func (b *Bucket) Spend(n int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.tokens = max(-b.burst, b.tokens-float64(n))
}

// Wait returns the time until a token can be taken, 0 when there is one.
func (b *Bucket) Wait(now time.Time) time.Duration {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.timeToToken(now)
}

// timeToToken refills the bucket and returns the time until it has a token. The mutex is held.
func (b *Bucket) timeToToken(now time.Time) time.Duration {
	if !b.refilledAt.IsZero() && now.After(b.refilledAt) {
		b.tokens = min(b.burst, b.tokens+now.Sub(b.refilledAt).Seconds()*b.rate)
	}
	if now.After(b.refilledAt) {
		b.refilledAt = now
	}
	missing := 1 - b.tokens
	if missing <= 0 {
		return 0
	}
	return max(1, time.Duration(missing/b.rate*float64(time.Second)))
}
