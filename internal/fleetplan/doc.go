// Package fleetplan decides which hosts move between pools and which are maintained next, without I/O, clock or locks.
package fleetplan
