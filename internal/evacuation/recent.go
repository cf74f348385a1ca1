package evacuation

import "time"

// maxAgePercent is the part of the platform's bound up to which a reading may be used. The rest covers the time between the decision on a
// start and its arrival at the worker.
const maxAgePercent = 70

// maxAge returns the largest age of a reading by which tasks may be started; 0 when the platform sets no bound.
func maxAge(bound time.Duration) time.Duration { return bound * maxAgePercent / 100 }

// MaxWait returns how long a call for changes of the operators' keys may wait for one: at most the usual time, and a quarter of the largest age of a
// reading. A reading counts from when its call was sent, so that it is one wait old when it arrives and two before the next one does, and three
// where a call is lost in between; the last quarter is for the time limit of that call.
func MaxWait(bound, usual time.Duration) time.Duration {
	if bound <= 0 {
		return usual
	}
	return min(usual, maxAge(bound)/4)
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
