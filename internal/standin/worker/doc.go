// Package worker is a small stand-in for a platform's worker: it runs tasks under leases and keeps a ledger of every
// start and end; it is for tests and the demo.
package worker
