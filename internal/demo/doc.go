// Package demo runs a store, workers in two pools and one entry host inside one process, on loopback.
package demo
