package task

import (
	"net"
	"syscall"
)

// quiet reports whether nothing has arrived on an idle connection. Bytes there belong to no request, such as a second copy
// of an answer, and an end means that the worker has closed the connection; in both cases a request sent on it would have
// an uncertain outcome.
func quiet(c net.Conn) bool {
	raw, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	idle := false
	err = control.Read(func(descriptor uintptr) bool {
		var peeked [1]byte
		_, _, err := syscall.Recvfrom(int(descriptor), peeked[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		idle = err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
		return true // never waits for data
	})
	return err == nil && idle
}
