// Package boottime reads a monotonic clock that also counts the time during which the machine is suspended.
package boottime
