// Package pool runs the schedulers of the pools that this entry host owns: it queues requests, starts tasks on workers
// and returns their answers.
package pool
