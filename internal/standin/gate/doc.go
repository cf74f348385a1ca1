// Package gate provides a TCP listener that can refuse new connections and close the open ones.
package gate
