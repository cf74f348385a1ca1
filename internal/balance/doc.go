// Package balance decides when a host moves between pools, from smoothed loads, availability budgets and missed deadlines. It does
// no I/O and reads no clock. Borrowing and queueing absorb bursts of some seconds; only a sustained shift of load moves a host.
package balance
