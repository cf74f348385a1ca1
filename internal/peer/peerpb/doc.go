// Package peerpb is the generated code of the protocol between entry hosts.
package peerpb
