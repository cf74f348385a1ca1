package task

import (
	"net"
	"syscall"
)

// isIdle reports whether nothing has arrived on an unused connection. Bytes on it belong to no request, such as a second
// copy of a response, and an end of file means that the worker has closed it. In both cases a request sent on it would have
// an uncertain outcome.
func isIdle(c net.Conn) bool {
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
		return true // do not wait for data
	})
	return err == nil && idle
}
