// Package e2e holds integration tests that run the built programs as separate processes on loopback, behind fault-injecting proxies.
package e2e
