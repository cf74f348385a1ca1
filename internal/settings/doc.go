// Package settings reads and checks the INI settings file of an entry host and reports every fault in it, so that a process with
// invalid settings ends before it opens a socket.
package settings
