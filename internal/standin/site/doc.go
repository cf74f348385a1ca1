// Package site is a small stand-in of the users' platform on loopback: its store with the register, its machines and workers
// that run tasks, with faults and a ledger of what ran.
package site
