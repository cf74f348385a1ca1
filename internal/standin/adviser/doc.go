// Package adviser is a stand-in for the service that decides which workers may run a step. It serves the calls of one host, one at a time and
// in turn, and records what became of them.
package adviser
