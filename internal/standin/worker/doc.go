// Package worker is a small stand-in for a worker of the platform, for tests and the demo. It runs tasks under leases,
// misbehaves on request, and keeps a ledger of every start, end and refusal.
package worker
