package e2e

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"testing"

	"github.com/jaybarrow/jaybarrow"
)

// The ports of the processes are below the kernel's range of ephemeral ports, so that no outgoing connection takes the port of
// a process that is about to restart. Each test run listens on the first port of every block that it uses, so that concurrent
// runs use different blocks.
const (
	firstPort = 10000
	blockSize = 500
	blocks    = 44
)

// ports holds the unassigned ports of the current block, and the listeners that reserve the blocks of this run.
var ports struct {
	sync.Mutex
	next, end      int
	blockListeners []net.Listener
}

func address(port int) jaybarrow.Address {
	return jaybarrow.Address(fmt.Sprintf("127.0.0.1:%d", port))
}

// freeAddress returns an address from the blocks of this run that no other call returns. It does not probe the address by
// listening on it: a process that is started at the same time would briefly inherit the socket and keep the address in use.
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

// takeBlock reserves a block that no other run uses, and reports false when there is none.
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
