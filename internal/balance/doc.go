// Package balance decides when a host moves between pools, from smoothed loads, budgets and missed targets; it does no I/O
// and reads no clock. Bursts of some seconds are left to borrowing and queueing; only a lasting shift moves a host.
package balance
