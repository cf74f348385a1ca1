// Package client is a Go client for an entry host's HTTP API, for operators and callers.
package client
