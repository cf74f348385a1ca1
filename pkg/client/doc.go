// Package client is a Go client of an entry host's HTTP API, for operators and callers.
package client
