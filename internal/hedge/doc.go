// Package hedge repeats a call whose answer is late while the first one goes on.
package hedge
