// Package drain decides on the drains and the maintenance wave of one pool, without I/O and clocks. A wave reboots every host of
// the pool once.
package drain
