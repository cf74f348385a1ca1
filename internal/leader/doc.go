// Package leader elects the entry host that schedules for the fleet. The leader holds a record in the store that ends with its lease.
package leader
