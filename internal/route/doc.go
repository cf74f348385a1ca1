// Package route chooses the entry host whose scheduler runs a request, and forwards the request to it.
package route
