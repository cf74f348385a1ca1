package task

import (
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// call holds the connection of an exchange, so that another goroutine can abort the exchange.
type call struct {
	sync.Mutex
	conn    net.Conn
	aborted bool
}

// attach sets the connection of the exchange. It reports false when the exchange has already been aborted.
func (k *call) attach(conn net.Conn) bool {
	k.Lock()
	defer k.Unlock()
	k.conn = conn
	return !k.aborted
}

// detach gives up the connection, so that a later abort does not close it. It reports false when the exchange was aborted.
func (k *call) detach() bool {
	k.Lock()
	defer k.Unlock()
	k.conn = nil
	return !k.aborted
}

// abort ends the exchange by closing its connection.
func (k *call) abort() {
	k.Lock()
	defer k.Unlock()
	k.aborted = true
	if k.conn != nil {
		_ = k.conn.Close()
	}
}

// exchange sends one request and reads its whole response. It is used instead of HostClient.Do because Do retries, does not
// report whether a byte was sent and gives no access to the connection. sent is false when no byte was sent. The connection
// is reused only after a complete response that accept approves and that no further bytes follow.
func exchange(
	client *fasthttp.HostClient, k *call, timeout time.Duration,
	request *fasthttp.Request, response *fasthttp.Response, accept func(*fasthttp.Response) error,
) (sent bool, err error) {
	deadline := time.Now().Add(timeout)
	connection, err := client.AcquireConn(timeout, false)
	for err == nil && !connection.LastUseTime().IsZero() && !isIdle(connection.Conn()) {
		client.CloseConn(connection)
		connection, err = client.AcquireConn(timeout, false)
	}
	if err != nil {
		return false, fmt.Errorf("open a connection: %w", err)
	}
	if !k.attach(connection.Conn()) {
		client.CloseConn(connection)
		return false, net.ErrClosed
	}
	if err := connection.Conn().SetDeadline(deadline); err != nil {
		client.CloseConn(connection)
		return false, fmt.Errorf("set the deadline: %w", err)
	}
	writer := client.AcquireWriter(connection.Conn())
	err = request.Write(writer)
	if err == nil {
		err = writer.Flush()
	}
	client.ReleaseWriter(writer)
	if err != nil {
		client.CloseConn(connection)
		client.CloseIdleConnections()
		return true, fmt.Errorf("send the request: %w", err)
	}
	reader := client.AcquireReader(connection.Conn())
	err = response.ReadLimitBody(reader, 0)
	surplus := reader.Buffered()
	client.ReleaseReader(reader)
	if err == nil {
		err = checkLength(response)
	}
	if err == nil {
		err = accept(response)
	}
	if !k.detach() || err != nil || surplus > 0 || response.ConnectionClose() || connection.Conn().SetDeadline(time.Time{}) != nil {
		client.CloseConn(connection)
	} else {
		client.ReleaseConn(connection)
	}
	if err != nil {
		// When one connection fails, idle ones of the same age have often stopped responding too.
		client.CloseIdleConnections()
		return true, fmt.Errorf("read the response: %w", err)
	}
	return true, nil
}

// checkLength refuses a response whose end is marked only by the close of the connection, because truncation would go
// unnoticed.
func checkLength(response *fasthttp.Response) error {
	declared := response.Header.ContentLength()
	if declared == identityLength || (declared >= 0 && declared != len(response.Body())) {
		return fmt.Errorf("the declared length is %d, the body has %d bytes", declared, len(response.Body()))
	}
	return nil
}

// identityLength is what fasthttp returns as the content length of a response without a declared length.
const identityLength = -2
