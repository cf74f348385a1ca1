// Package maintenance carries out drains, moves, reboots and waves of hosts. Every step is one compare-and-swap in the store, so
// that any entry host can continue where another stopped.
package maintenance
