// Package member tracks the last known state of the other entry hosts: which are live, which owns a pool and whether the
// local configuration is fresh.
package member
