package httpapi

import (
	"strings"
	"time"

	"github.com/gofiber/fiber/v3"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/command/request"
)

// The headers of callers' requests; the system chooses a request id when HeaderRequestID is absent and returns it in the same header.
const (
	HeaderRequestID    = "Request-Id"
	HeaderIdempotent   = "Idempotent"
	HeaderAnswerWithin = "Answer-Within-Ms"
	HeaderSlots        = "Slots"
	HeaderMemory       = "Memory-Mb"
	HeaderAccelerators = "Accelerators"
	HeaderRunTime      = "Run-Time-Ms"
)

func (s *Server) submit(c fiber.Ctx) error {
	in, err := decodeSubmit(c)
	if err != nil {
		return err
	}
	out, err := s.handlers.Submit.Handle(c.Context(), in)
	c.Set(HeaderRequestID, string(out.ID))
	if err != nil {
		return err
	}
	c.Set(fiber.HeaderContentType, fiber.MIMEOctetStream)
	return c.Send(out.Body)
}

func (s *Server) cancel(c fiber.Ctx) error {
	d := headerDecoder{ctx: c}
	d.checkAll()
	in := request.Cancel{Key: d.bearer(), ID: d.requestID(c.Params("id"))}
	if d.err != nil {
		return d.err
	}
	id, err := s.handlers.Cancel.Handle(c.Context(), in)
	if err != nil {
		return err
	}
	return c.JSON(map[string]jaybarrow.RequestID{"requestId": id})
}

func decodeSubmit(c fiber.Ctx) (request.Submit, error) {
	d := headerDecoder{ctx: c}
	d.checkAll()
	in := request.Submit{
		Key:        d.bearer(),
		Queue:      jaybarrow.QueueID(strings.Clone(c.Params("queue"))),
		Idempotent: d.boolean(HeaderIdempotent, true),
		Demand: jaybarrow.Demand{
			Slots:        jaybarrow.Slots(d.number(HeaderSlots)),
			Memory:       jaybarrow.Megabytes(d.number(HeaderMemory)),
			Accelerators: jaybarrow.Accelerators(d.number(HeaderAccelerators)),
		},
		AnswerWithin: time.Duration(d.number(HeaderAnswerWithin)) * time.Millisecond,
		Declared:     time.Duration(d.number(HeaderRunTime)) * time.Millisecond,
		// The body is opaque; fiber's Body would decompress it. No other request uses its memory.
		Body: c.BodyRaw(),
	}
	if id := c.Get(HeaderRequestID); id != "" {
		in.ID = d.requestID(id)
	}
	return in, d.err
}
