// Package fleetplan decides which hosts move between pools and which are maintained next. It uses no I/O, clock or locks.
package fleetplan
