// Package store is a small in-memory stand-in for the platform's key-value service; it is for tests and the demo.
package store
