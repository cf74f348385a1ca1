package directory

import (
	"math/rand/v2"
	"time"
)

// backoff returns exponentially growing waits with jitter. The jitter keeps entry hosts from reconnecting all at once to a store
// that has recovered.
type backoff struct {
	minWait, maxWait, step time.Duration
}

func newBackoff(minWait, maxWait time.Duration) *backoff {
	return &backoff{minWait: minWait, maxWait: maxWait, step: minWait}
}

// next returns a wait between half and the whole of the current step, and doubles the step.
func (b *backoff) next() time.Duration {
	step := b.step
	b.step = min(b.maxWait, 2*b.step)
	return step/2 + rand.N(step/2+1)
}

func (b *backoff) reset() { b.step = b.minWait }
