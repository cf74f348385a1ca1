// Package mover begins the moves that package balance decides for the hosts of one data centre, and keeps the roster informed of
// the spare pools that need their hosts themselves.
package mover
