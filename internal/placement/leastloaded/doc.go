// Package leastloaded places work on the host with the most free slots.
package leastloaded
