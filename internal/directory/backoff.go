package directory

import (
	"math/rand/v2"
	"time"
)

// backoff gives jittered, growing waits. The jitter keeps entry hosts from returning all at once to a store that comes back.
type backoff struct {
	low, high, wait time.Duration
}

func newBackoff(low, high time.Duration) *backoff {
	return &backoff{low: low, high: high, wait: low}
}

// next returns a wait between half and the whole of the current step, and doubles the step.
func (b *backoff) next() time.Duration {
	wait := b.wait
	b.wait = min(b.high, 2*b.wait)
	return wait/2 + rand.N(wait/2+1)
}

func (b *backoff) reset() { b.wait = b.low }
