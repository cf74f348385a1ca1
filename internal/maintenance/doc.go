// Package maintenance takes hosts through drains, moves, reboots and waves, one compare-and-swap at a time, so that any
// entry host can go on where another stopped.
package maintenance
