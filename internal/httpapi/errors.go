package httpapi

import (
	"errors"
	"io"
	"strings"

	"github.com/gofiber/fiber/v3"
	"github.com/valyala/fasthttp"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/clientlimit/fiberlimit"
)

// ErrorResponse is the JSON body of an error.
type ErrorResponse struct {
	Kind      jaybarrow.ErrorKind `json:"kind"`
	Effect    jaybarrow.Effect    `json:"effect"`
	Message   string              `json:"message"`
	RequestID jaybarrow.RequestID `json:"requestId,omitempty"`
}

// writeError sends the response for the error's kind; the connection of a body that is too large lingers, so that the caller
// receives the response.
func (s *Server) writeError(c fiber.Ctx, err error) error {
	fiberlimit.CountRefusal(c, err)
	e := jaybarrow.AsError(withKind(err))
	if e.Kind == jaybarrow.KindBodyTooLarge {
		lingerOnClose(c.RequestCtx().Conn())
	}
	id := string(c.Response().Header.Peek(HeaderRequestID))
	return c.Status(e.Kind.Info().Status).JSON(ErrorResponse{e.Kind, e.Effect, e.Message, jaybarrow.RequestID(id)})
}

// withKind returns fiber's own errors as errors with a kind; all of them occur before a handler runs.
func withKind(err error) error {
	var f *fiber.Error
	if !errors.As(err, &f) {
		return err
	}
	switch f.Code {
	case fasthttp.StatusRequestEntityTooLarge:
		return jaybarrow.Errorf(jaybarrow.KindBodyTooLarge, "the body is larger than this entry host accepts")
	case fasthttp.StatusServiceUnavailable: // fiberlimit.ErrNoRoom
		return jaybarrow.Errorf(jaybarrow.KindNoRoom, "%s", f.Message)
	case fasthttp.StatusNotFound, fasthttp.StatusMethodNotAllowed:
		return jaybarrow.Errorf(jaybarrow.KindNotFound, "this entry host has no such path and method")
	// Fiber reports a read that timed out or failed with one of these two; the request is incomplete.
	case fasthttp.StatusRequestTimeout, fasthttp.StatusBadGateway:
		return jaybarrow.Errorf(jaybarrow.KindBodyTruncated, "the request was not received to its end: %s", f.Message)
	}
	if strings.Contains(f.Message, io.ErrUnexpectedEOF.Error()) {
		return jaybarrow.Errorf(jaybarrow.KindBodyTruncated, "the body ended before its declared length")
	}
	return jaybarrow.Errorf(jaybarrow.KindBadRequest, "%s", f.Message)
}
