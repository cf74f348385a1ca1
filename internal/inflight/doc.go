// Package inflight records the requests that this entry host has taken from callers and not answered, so that a cancellation
// finds each of them wherever it is on its way: its id being claimed, queued, forwarded or running.
package inflight
