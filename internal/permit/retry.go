package permit

import (
	"math/rand/v2"
	"time"
)

// retry spaces the writes of one team.
type retry struct {
	next    time.Time // no write before
	backoff time.Duration
}

// done follows a write that took effect.
func (r *retry) done(now time.Time, pace time.Duration) {
	r.next, r.backoff = now.Add(pace), 0
}

// failed follows a conflict or a failed call; the jitter keeps competing entry hosts from meeting again.
func (r *retry) failed(now time.Time, first, most time.Duration) {
	r.backoff = min(max(first, 2*r.backoff), most)
	r.next = now.Add(r.backoff/2 + rand.N(r.backoff))
}
