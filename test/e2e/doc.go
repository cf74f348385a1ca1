// Package e2e holds integration tests that run the built programs as separate processes on the loopback interface, behind
// fault-injecting proxies.
package e2e
