// Package rungroup runs the background parts of a process and reports a part that fails at once, so that the process does not keep
// its role without the part.
package rungroup
