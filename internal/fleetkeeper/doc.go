// Package fleetkeeper gives the platform orders for hosts: moves between pools and maintenance in waves.
package fleetkeeper
