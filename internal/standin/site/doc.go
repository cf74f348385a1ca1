// Package site is a small stand-in for the users' platform on loopback: its key-value store with the register of workers, and
// machines whose workers run tasks. Tests can inject faults and check the ledger of all runs.
package site
