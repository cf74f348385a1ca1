// Package fifo orders waiting requests by arrival; it is a baseline for measurements.
package fifo
