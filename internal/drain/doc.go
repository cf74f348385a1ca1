// Package drain decides on the drains and the maintenance wave of one pool; it does no I/O and reads no clock.
package drain
