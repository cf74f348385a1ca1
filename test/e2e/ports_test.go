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
	next, end int
	guards    []net.Listener
}

func listenOn(port int) (net.Listener, error) {
	return net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
}

// freeAddress returns an address that nothing listens on and that no other call returns.
func freeAddress(t *testing.T) jaybarrow.Address {
	t.Helper()
	ports.Lock()
	defer ports.Unlock()
	for {
		if ports.next == ports.end && !takeBlock() {
			t.Fatal("every block of ports is in use")
		}
		port := ports.next
		ports.next++
		if l, err := listenOn(port); err == nil {
			_ = l.Close()
			return jaybarrow.Address(l.Addr().String())
		}
	}
}

// takeBlock takes a block that no other run holds.
func takeBlock() bool {
	for _, i := range rand.Perm(blocks) {
		first := firstPort + i*blockSize
		if l, err := listenOn(first); err == nil {
			ports.guards = append(ports.guards, l)
			ports.next, ports.end = first+1, first+blockSize
			return true
		}
	}
	return false
}
