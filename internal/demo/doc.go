// Package demo runs a store, workers in two pools and one entry host in one process on loopback addresses.
package demo
