// Package request holds the callers' commands: submit and cancel.
package request
