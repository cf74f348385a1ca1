// Package dispatch estimates how long a task lately waits for its start order after it was assigned to a worker.
package dispatch
