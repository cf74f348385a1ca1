// Package workload is the scheduling state of one pool's jobs: events in, decisions out, without I/O, clock or locks.
package workload
