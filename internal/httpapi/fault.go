package httpapi

import (
	"errors"
	"io"
	"strings"

	"github.com/gofiber/fiber/v3"
	"github.com/valyala/fasthttp"

	"github.com/jaybarrow/jaybarrow"
)

// Fault is the body of an error answer.
type Fault struct {
	Kind      jaybarrow.ErrorKind `json:"kind"`
	Effect    jaybarrow.Effect    `json:"effect"`
	Message   string              `json:"message"`
	RequestID jaybarrow.RequestID `json:"requestId,omitempty"`
}

// fail turns an error into its kind's answer.
func (s *Server) fail(c fiber.Ctx, err error) error {
	e := jaybarrow.AsError(classify(err))
	if e.Kind == jaybarrow.KindBodyTooLarge {
		lingerOn(c.RequestCtx().Conn())
	}
	id := string(c.Response().Header.Peek(HeaderRequestID))
	return c.Status(e.Kind.Info().Status).JSON(Fault{e.Kind, e.Effect, e.Message, jaybarrow.RequestID(id)})
}

// classify gives the library's own errors a kind; all of them occur before a handler runs.
func classify(err error) error {
	var f *fiber.Error
	if !errors.As(err, &f) {
		return err
	}
	switch f.Code {
	case fasthttp.StatusRequestEntityTooLarge:
		return jaybarrow.Errorf(jaybarrow.KindBodyTooLarge, "the body is larger than this entry host accepts")
	case fasthttp.StatusNotFound, fasthttp.StatusMethodNotAllowed:
		return jaybarrow.Errorf(jaybarrow.KindNotFound, "this entry host has no such path and method")
	// The library reports a read that timed out or failed as one of these two; the request was not complete.
	case fasthttp.StatusRequestTimeout, fasthttp.StatusBadGateway:
		return jaybarrow.Errorf(jaybarrow.KindBodyTruncated, "the request was not received to its end: %s", f.Message)
	}
	if strings.Contains(f.Message, io.ErrUnexpectedEOF.Error()) {
		return jaybarrow.Errorf(jaybarrow.KindBodyTruncated, "the body ended before its declared length")
	}
	return jaybarrow.Errorf(jaybarrow.KindBadRequest, "%s", f.Message)
}
