// Package worker is a small stand-in for a platform's worker: it runs tasks under leases, can be told to misbehave, and
// keeps a ledger of every start, end and refusal; it is for tests and the demo.
package worker
