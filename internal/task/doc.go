// Package task is the HTTP client of workers: it starts tasks, renews their leases and says of each failure whether the
// task ran.
package task
