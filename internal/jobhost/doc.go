// Package jobhost assembles an entry host that accepts jobs and takes part in scheduling them.
package jobhost
