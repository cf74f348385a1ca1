// Package gate is a TCP listener that can refuse new connections and cut the open ones.
package gate
