// Package command declares the handler type of commands, which change state and return an id, a revision or an error.
package command
