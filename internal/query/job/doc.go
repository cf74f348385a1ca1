// Package job holds the queries on jobs: the state of a job and the number of waiting jobs of a queue.
package job
