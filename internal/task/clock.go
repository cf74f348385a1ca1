package task

import (
	"sync"
	"time"

	"github.com/jaybarrow/jaybarrow"
)

// maxReadingAge is the age after which a reading is replaced before it is used. It bounds the error of a converted time to
// 1% of the age, 200 ms.
const maxReadingAge = 20 * time.Second

// clockReading is a lower bound of a worker's clock at a local time.
type clockReading struct {
	sync.Mutex
	boot  Boot
	value jaybarrow.WorkerClock
	local time.Time // zero before the first reading
}

// convert returns a time in the worker's clock that is never later than the local time. The worker read its clock before
// the response was received at the local time read, so a long transit makes the result earlier.
func convert(value jaybarrow.WorkerClock, read, local time.Time) jaybarrow.WorkerClock {
	elapsed := float64(local.Sub(read)) / float64(time.Millisecond)
	if elapsed < 0 {
		return value + jaybarrow.WorkerClock(elapsed*(1+jaybarrow.ClockRateError)) - 1
	}
	return value + jaybarrow.WorkerClock(elapsed*(1-jaybarrow.ClockRateError))
}

// observe records a reading. Of two lower bounds from the same boot it keeps the higher one, so that a delayed response does
// not worsen the conversion.
func (r *clockReading) observe(boot Boot, value jaybarrow.WorkerClock, now time.Time) {
	r.Lock()
	defer r.Unlock()
	if !r.local.IsZero() && r.boot == boot && boot != "" {
		value = max(value, convert(r.value, r.local, now))
	}
	r.boot, r.value, r.local = boot, value, now
}

// workerTime returns the local time in the worker's clock and the boot that the clock belongs to. It returns false when
// there is no recent reading.
func (r *clockReading) workerTime(now, local time.Time) (jaybarrow.WorkerClock, Boot, bool) {
	r.Lock()
	defer r.Unlock()
	if r.local.IsZero() || now.Sub(r.local) > maxReadingAge {
		return 0, "", false
	}
	return convert(r.value, r.local, local), r.boot, true
}
