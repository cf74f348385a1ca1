// Package outage decides which writes of callers are tried while the store accepts none, and when the refused callers may return.
package outage
