// Package schedule decides which waiting request of one pool starts next and on which host; it does no I/O and reads no
// clock.
package schedule
