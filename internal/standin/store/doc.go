// Package store is a small in-memory stand-in for the key-value service and the host list of the platform, for tests and the
// demo. Server serves it over a subset of the etcd v3 JSON gateway. Its faults are switched on a separate control address.
package store
