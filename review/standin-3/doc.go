// Command standin-3 plays a small installation for the scripts of this review: the platform's store and list of machines, workers, callers and
// the processes of the project.
package main
