package evacuation

import "time"

// maxAgePercent is the part of the platform's bound up to which a reading may be used. The rest covers the time between the decision on a
// start and its arrival at the worker.
const maxAgePercent = 70

// maxAge returns the largest age of a reading by which tasks may be started; 0 when the platform sets no bound.
func maxAge(bound time.Duration) time.Duration { return bound * maxAgePercent / 100 }

// MaxWait returns how long a call for changes of the operators' keys may wait for one: at most the usual time, and a fifth of the largest age of a
// reading. A reading counts from when its call was sent. Where the next call is lost, the reading grows as old as the call's wait, its time limit
// beyond that, the pause before the repeat, and the wait and the answer of the repeat. With the bound of 5 s and a store that answers after 300 ms,
// these are 1,000 + 1,200 + 100 + 1,000 = 3,300 ms of 3,500; a quarter of the age made it 3,825 ms.
func MaxWait(bound, usual time.Duration) time.Duration {
	if bound <= 0 {
		return usual
	}
	return min(usual, maxAge(bound)/5)
}

// mayStart reports whether tasks may be started by a reading.
//
// Load pattern: the store or its watch is silent while an operator begins an evacuation, so that the last reading says nothing about it.
func mayStart(known bool, age, bound time.Duration) bool {
	return bound <= 0 || known && age <= maxAge(bound)
}

// mayLead reports whether a host may begin to lead by a reading; usual is the largest age where the platform sets no bound.
func mayLead(known bool, age, bound, usual time.Duration) bool {
	if bound > 0 {
		usual = maxAge(bound)
	}
	return known && age <= usual
}
