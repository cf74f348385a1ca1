package httpapi

import (
	"crypto/subtle"

	"github.com/gofiber/fiber/v3"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/command/request"
)

// requireOperatorKey returns a handler that rejects requests without the operators' key.
func (s *Server) requireOperatorKey(next fiber.Handler) fiber.Handler {
	return func(c fiber.Ctx) error {
		d := headerDecoder{ctx: c}
		d.checkAll()
		key := d.bearer()
		operatorKeyHash := []byte(s.settings.OperatorKeyHash)
		switch {
		case d.err != nil:
			return d.err
		case len(operatorKeyHash) == 0:
			return jaybarrow.Errorf(jaybarrow.KindForbidden, "no operators' key is set on this entry host")
		case subtle.ConstantTimeCompare([]byte(request.HashKey(key)), operatorKeyHash) != 1:
			return jaybarrow.Errorf(jaybarrow.KindBadKey, "this is not the operators' key")
		}
		return next(c)
	}
}
