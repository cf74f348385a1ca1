package httpapi

import (
	"errors"
	"strconv"
	"strings"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/valyala/fasthttp"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/command/request"
)

// The headers of callers.
const (
	HeaderRequestID    = "Request-Id"
	HeaderIdempotent   = "Idempotent"
	HeaderAnswerWithin = "Answer-Within-Ms"
	HeaderSlots        = "Slots"
	HeaderMemory       = "Memory-Mb"
	HeaderAccelerators = "Accelerators"
	HeaderRunTime      = "Run-Time-Ms"
)

// Fault is the body of an error answer.
type Fault struct {
	Kind      jaybarrow.ErrorKind `json:"kind"`
	Effect    jaybarrow.Effect    `json:"effect"`
	Message   string              `json:"message"`
	RequestID jaybarrow.RequestID `json:"requestId,omitempty"`
}

func bearer(c fiber.Ctx) string {
	key, _ := strings.CutPrefix(c.Get(fiber.HeaderAuthorization), "Bearer ")
	return strings.Clone(key)
}

func (s *Server) submit(c fiber.Ctx) error {
	in, err := decodeSubmit(c)
	if err != nil {
		return err
	}
	out, err := s.handlers.Submit.Handle(c, in)
	c.Set(HeaderRequestID, string(out.ID))
	if err != nil {
		return err
	}
	c.Set(fiber.HeaderContentType, fiber.MIMEOctetStream)
	return c.Send(out.Body)
}

func (s *Server) cancel(c fiber.Ctx) error {
	id, err := s.handlers.Cancel.Handle(c, request.Cancel{
		Key: bearer(c),
		ID:  jaybarrow.RequestID(strings.Clone(c.Params("id"))),
	})
	if err != nil {
		return err
	}
	return c.JSON(map[string]jaybarrow.RequestID{"requestId": id})
}

func decodeSubmit(c fiber.Ctx) (request.Submit, error) {
	d := headerDecoder{ctx: c}
	in := request.Submit{
		Key:        bearer(c),
		Queue:      jaybarrow.QueueID(strings.Clone(c.Params("queue"))),
		ID:         jaybarrow.RequestID(strings.Clone(c.Get(HeaderRequestID))),
		Idempotent: d.boolean(HeaderIdempotent, true),
		Demand: jaybarrow.Demand{
			Slots:        jaybarrow.Slots(d.number(HeaderSlots)),
			Memory:       jaybarrow.Megabytes(d.number(HeaderMemory)),
			Accelerators: jaybarrow.Accelerators(d.number(HeaderAccelerators)),
		},
		AnswerWithin: time.Duration(d.number(HeaderAnswerWithin)) * time.Millisecond,
		Declared:     time.Duration(d.number(HeaderRunTime)) * time.Millisecond,
		Body:         append([]byte(nil), c.Body()...),
	}
	return in, d.err
}

// headerDecoder reads typed headers and keeps the first fault.
type headerDecoder struct {
	ctx fiber.Ctx
	err error
}

func (d *headerDecoder) number(name string) int {
	text := d.ctx.Get(name)
	if text == "" {
		return 0
	}
	n, err := strconv.Atoi(text)
	if (err != nil || n < 0) && d.err == nil {
		d.err = jaybarrow.Errorf(jaybarrow.KindBadRequest, "header %s: %q is not a whole number from 0", name, text)
	}
	return n
}

func (d *headerDecoder) boolean(name string, absent bool) bool {
	text := d.ctx.Get(name)
	if text == "" {
		return absent
	}
	b, err := strconv.ParseBool(text)
	if err != nil && d.err == nil {
		d.err = jaybarrow.Errorf(jaybarrow.KindBadRequest, "header %s: %q is not true or false", name, text)
	}
	return b
}

// fail turns an error into its kind's answer.
func (s *Server) fail(c fiber.Ctx, err error) error {
	e := jaybarrow.AsError(classify(err))
	id := string(c.Response().Header.Peek(HeaderRequestID))
	return c.Status(e.Kind.Answer().Status).JSON(Fault{e.Kind, e.Effect, e.Message, jaybarrow.RequestID(id)})
}

// classify gives the library's own errors a kind.
func classify(err error) error {
	var f *fiber.Error
	switch {
	case !errors.As(err, &f):
		return err
	case f.Code == fasthttp.StatusRequestEntityTooLarge:
		return jaybarrow.Errorf(jaybarrow.KindBodyTooLarge, "the body is too large")
	case f.Code == fasthttp.StatusNotFound, f.Code == fasthttp.StatusMethodNotAllowed:
		return jaybarrow.Errorf(jaybarrow.KindNotFound, "%s", f.Message)
	default:
		return jaybarrow.Errorf(jaybarrow.KindBadRequest, "%s", f.Message)
	}
}
