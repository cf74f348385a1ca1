// Package limits holds integration tests that run the built programs as separate processes on the loopback interface, against clients
// outside the limits: each process stays alive, within its memory and descriptors, and goes on answering ordinary callers.
package limits
