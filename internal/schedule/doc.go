// Package schedule decides which waiting request of a pool starts next and on which host. It does no I/O and reads no clock:
// callers pass the time.
package schedule
