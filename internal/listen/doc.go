// Package listen accepts connections through temporary failures of the operating system.
package listen
