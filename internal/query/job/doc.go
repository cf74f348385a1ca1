// Package job holds the queries on jobs: the state of one and the number that wait in a queue.
package job
