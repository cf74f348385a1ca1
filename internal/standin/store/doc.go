// Package store is a small in-memory stand-in for the platform's key-value service and its host list. Server serves it
// over a subset of the etcd v3 JSON gateway, with faults that are switched over a separate control address. It is for
// tests and the demo.
package store
