package task

import (
	"sync"
	"time"

	"github.com/jaybarrow/jaybarrow"
)

// maxReadingAge bounds the error of a converted time to 1% of it, 200 ms; an older reading is replaced first.
const maxReadingAge = 20 * time.Second

// clockReading is a lower bound of a worker's clock at a local time.
type clockReading struct {
	sync.Mutex
	boot  Boot
	value jaybarrow.WorkerClock
	local time.Time // zero: no reading
}

// convert returns a time in the worker's clock that is never later than the local time. The worker read its clock before
// the local time of receipt, so a reading that was long in transit makes the result earlier.
func convert(value jaybarrow.WorkerClock, read, local time.Time) jaybarrow.WorkerClock {
	elapsed := float64(local.Sub(read)) / float64(time.Millisecond)
	if elapsed < 0 {
		return value + jaybarrow.WorkerClock(elapsed*(1+jaybarrow.ClockRateError)) - 1
	}
	return value + jaybarrow.WorkerClock(elapsed*(1-jaybarrow.ClockRateError))
}

// observe takes in a reading. Of two lower bounds in the same boot the higher one is kept, so an answer that was delayed
// does not worsen the conversion.
func (r *clockReading) observe(boot Boot, value jaybarrow.WorkerClock, now time.Time) {
	r.Lock()
	defer r.Unlock()
	if !r.local.IsZero() && r.boot == boot && boot != "" {
		value = max(value, convert(r.value, r.local, now))
	}
	r.boot, r.value, r.local = boot, value, now
}

// at returns the local time in the worker's clock and the boot that the clock belongs to; false when there is no recent
// reading.
func (r *clockReading) at(now, local time.Time) (jaybarrow.WorkerClock, Boot, bool) {
	r.Lock()
	defer r.Unlock()
	if r.local.IsZero() || now.Sub(r.local) > maxReadingAge {
		return 0, "", false
	}
	return convert(r.value, r.local, local), r.boot, true
}
