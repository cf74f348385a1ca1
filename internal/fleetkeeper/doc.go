// Package fleetkeeper orders the platform to move hosts between pools and to maintain hosts in waves.
package fleetkeeper
