// Package mover carries out the moves that package balance decides for the hosts of one data centre, and tells the roster
// which spare pools need their hosts themselves.
package mover
