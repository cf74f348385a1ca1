// Package etcd is the HTTP client of a store that speaks the etcd gateway protocol and serves the platform's list of hosts.
package etcd
