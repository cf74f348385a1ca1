package e2e

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"testing"

	"github.com/jaybarrow/jaybarrow"
)

// The ports for the processes are below the range from which the kernel takes ports for outgoing connections, so that no
// connection takes the port of a process that is about to start again. Each run of the tests holds the first port of each
// block that it uses, so that runs at the same time use other ports.
const (
	firstPort = 10000
	blockSize = 500
	blocks    = 44
)

// ports are those of the current block that were not given out.
var ports struct {
	sync.Mutex
	next, end      int
	blockListeners []net.Listener
}

func address(port int) jaybarrow.Address {
	return jaybarrow.Address(fmt.Sprintf("127.0.0.1:%d", port))
}

// freeAddress returns an address of the run's own blocks that no other call returns. It does not try the address: a process
// that is being started at the same time would inherit the socket for a moment and keep the address in use.
func freeAddress(t *testing.T) jaybarrow.Address {
	t.Helper()
	ports.Lock()
	defer ports.Unlock()
	if ports.next == ports.end && !takeBlock() {
		t.Fatal("every block of ports is in use")
	}
	ports.next++
	return address(ports.next - 1)
}

// takeBlock takes a block that no other run holds.
func takeBlock() bool {
	for _, i := range rand.Perm(blocks) {
		first := firstPort + i*blockSize
		if l, err := net.Listen("tcp", string(address(first))); err == nil {
			ports.blockListeners = append(ports.blockListeners, l)
			ports.next, ports.end = first+1, first+blockSize
			return true
		}
	}
	return false
}
