// Package launch starts entry hosts and stand-ins as processes on loopback for the load test.
package launch
