// Package etcd is the HTTP client of a store that speaks the etcd gateway protocol, and of its lagging list of hosts.
package etcd
