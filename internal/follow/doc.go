// Package follow keeps a local copy up to date from a list and the changes after it.
package follow
