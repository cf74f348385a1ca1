// Package job holds the commands on jobs: accept and cancel.
package job
