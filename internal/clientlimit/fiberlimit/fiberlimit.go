package fiberlimit

import (
	"errors"
	"io"
	"net"
	"strings"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/valyala/fasthttp"

	"github.com/jaybarrow/jaybarrow/internal/clientlimit"
)

// Config returns the configuration with the limits of sizes and times. The body of a request is not read before the handler of Guard.
func Config(c fiber.Config) fiber.Config {
	c.StreamRequestBody, c.DisablePreParseMultipartForm = true, true
	c.ReadBufferSize, c.ReadTimeout = clientlimit.HeaderBytes, clientlimit.HeaderTimeout
	if c.IdleTimeout == 0 {
		c.IdleTimeout = clientlimit.IdleTimeout
	}
	if c.WriteTimeout == 0 {
		c.WriteTimeout = clientlimit.WriteTimeout
	}
	return c
}

// refusedHeader marks a request whose announced body is too large. A client that sends it itself is refused as well.
const refusedHeader = "Jaybarrow-Body-Refused"

// heldKey is the key of the request's clientlimit.Body.
type heldKey struct{}

// Guard makes the app, which has a configuration of Config, read bodies of at most maxBody bytes within bodyTimeout and within the limits of
// the connection's listener, before any handler that is added later runs.
func Guard(app *fiber.App, maxBody func() int, bodyTimeout time.Duration) {
	app.Server().HeaderReceived = func(h *fasthttp.RequestHeader) fasthttp.RequestConfig {
		if h.ContentLength() > maxBody() {
			// The library would read the beginning of the body before it calls a handler.
			h.SetContentLength(0)
			h.Set(refusedHeader, "1")
		}
		return fasthttp.RequestConfig{ReadTimeout: bodyTimeout}
	}
	app.Use(func(c fiber.Ctx) error {
		conn := clientlimit.Of(c.RequestCtx().Conn())
		body, held, err := receive(c, conn, maxBody())
		defer held.Release()
		if err != nil {
			c.Response().SetConnectionClose()
			return translate(conn, err)
		}
		if body != nil {
			c.Request().SetBodyRaw(body)
		}
		c.Locals(heldKey{}, held)
		if conn != nil {
			conn.Serve()
		}
		return c.Next()
	})
}

// Held returns what the request holds.
func Held(c fiber.Ctx) *clientlimit.Body {
	held, _ := c.Locals(heldKey{}).(*clientlimit.Body)
	return held
}

// Reached counts and logs that the client of a request has reached a limit.
func Reached(c fiber.Ctx, limit clientlimit.Limit, effect string) {
	if conn := clientlimit.Of(c.RequestCtx().Conn()); conn != nil {
		conn.Listener().Reached(limit, effect)
	}
}

// CountRefusal counts a request that the library has refused for its headers; the error handler of an app calls it.
func CountRefusal(c fiber.Ctx, err error) {
	var refusal *fiber.Error
	if errors.As(err, &refusal) && refusal.Code == fiber.StatusRequestHeaderFieldsTooLarge {
		Reached(c, clientlimit.LimitHeaders, "a request was refused")
	}
}

func receive(c fiber.Ctx, conn *clientlimit.Conn, maxBody int) ([]byte, *clientlimit.Body, error) {
	header := &c.Request().Header
	if len(header.Peek(refusedHeader)) > 0 {
		return nil, nil, clientlimit.ErrTooLarge
	}
	stream := c.RequestCtx().RequestBodyStream()
	if stream == nil || header.ContentLength() == 0 {
		return nil, nil, nil
	}
	var bytes *clientlimit.Bytes
	var netConn net.Conn
	if conn != nil {
		bytes, netConn = conn.Listener().Bodies(), conn
	}
	return clientlimit.Receive(bytes, netConn, stream, header.ContentLength(), maxBody)
}

// ErrNoRoom is the error of a request whose body finds no room beside those of other requests. The request has had no effect.
var ErrNoRoom = fiber.NewError(fiber.StatusServiceUnavailable, clientlimit.ErrNoRoom.Error())

// translate returns the error as an error of fiber, and counts the limit.
func translate(conn *clientlimit.Conn, err error) error {
	reached := func(limit clientlimit.Limit) {
		if conn != nil {
			conn.Listener().Reached(limit, "a request was refused")
		}
	}
	var network net.Error
	switch {
	case errors.Is(err, clientlimit.ErrTooLarge):
		reached(clientlimit.LimitBody)
		return fiber.ErrRequestEntityTooLarge
	case errors.Is(err, clientlimit.ErrNoRoom):
		reached(clientlimit.LimitBodies)
		return ErrNoRoom
	// An error within a chunk does not wrap its cause.
	case errors.As(err, &network) && network.Timeout(), strings.Contains(err.Error(), "i/o timeout"):
		return fiber.ErrRequestTimeout
	case errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, io.EOF):
		return fiber.NewError(fiber.StatusBadRequest, io.ErrUnexpectedEOF.Error())
	}
	return fiber.NewError(fiber.StatusBadRequest, err.Error())
}
