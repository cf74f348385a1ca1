package permit

import (
	"math/rand/v2"
	"time"
)

// writePacer limits the rate of one team's writes.
type writePacer struct {
	notBefore time.Time // earliest time of the next call
	backoff   time.Duration
}

// recordSuccess sets the least time until the next write after one that took effect.
func (p *writePacer) recordSuccess(now time.Time, interval time.Duration) {
	p.notBefore, p.backoff = now.Add(interval), 0
}

// recordFailure doubles the backoff after a conflict or a failed call. Jitter keeps competing entry hosts from colliding again.
func (p *writePacer) recordFailure(now time.Time, first, most time.Duration) {
	p.backoff = min(max(first, 2*p.backoff), most)
	p.notBefore = now.Add(p.backoff/2 + rand.N(p.backoff))
}
