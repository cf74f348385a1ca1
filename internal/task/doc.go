// Package task is the HTTP client of workers: it starts tasks, renews their leases and reports with each failure whether
// the task ran.
package task
