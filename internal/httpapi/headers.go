package httpapi

import (
	"bytes"
	"strconv"
	"strings"

	"github.com/gofiber/fiber/v3"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/validate"
)

// The limits of headers.
const (
	maxHeaderNameLength  = 64            // bytes
	maxHeaderValueLength = 4096          // bytes
	maxKeyLength         = 256           // bytes
	maxHeaderNumber      = 1_000_000_000 // as milliseconds still far below the longest time.Duration
)

// singleHeaders may occur only once, since a proxy and this front end could otherwise use different ones of the values.
var singleHeaders = []string{
	HeaderRequestID, HeaderIdempotent, HeaderAnswerWithin, HeaderSlots, HeaderMemory, HeaderAccelerators, HeaderRunTime,
	fiber.HeaderAuthorization, fiber.HeaderIfMatch,
}

// headerDecoder decodes headers and keeps the first error.
type headerDecoder struct {
	ctx fiber.Ctx
	err error
}

// reject records a KindBadRequest error unless there is one already.
func (d *headerDecoder) reject(format string, args ...any) {
	if d.err == nil {
		d.err = jaybarrow.Errorf(jaybarrow.KindBadRequest, format, args...)
	}
}

// checkAll checks the length and characters of every header, and that none of singleHeaders is repeated.
func (d *headerDecoder) checkAll() {
	seen := make(map[string]bool)
	for name, value := range d.ctx.Request().Header.All() {
		switch {
		case len(name) == 0 || len(name) > maxHeaderNameLength || !isToken(name):
			d.reject("a header name is empty, longer than %d characters or has a character that is not allowed", maxHeaderNameLength)
		case len(value) > maxHeaderValueLength || bytes.IndexFunc(value, isControl) >= 0:
			d.reject("header %s: the value is longer than %d bytes or has a control character", name, maxHeaderValueLength)
		case seen[string(name)]:
			d.rejectRepeated(string(name))
		}
		seen[string(name)] = true
	}
}

// rejectRepeated rejects the second occurrence of a header of singleHeaders.
func (d *headerDecoder) rejectRepeated(name string) {
	for _, single := range singleHeaders {
		if strings.EqualFold(single, name) {
			d.reject("header %s: it is given more than once", single)
		}
	}
}

func isToken(name []byte) bool {
	for _, c := range name {
		alphanumeric := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
		if !alphanumeric && strings.IndexByte("!#$%&'*+-.^_`|~", c) < 0 {
			return false
		}
	}
	return true
}

func isControl(r rune) bool { return r < ' ' && r != '\t' || r == 0x7f }

// bearer returns the key in the Authorization header, or an empty key without the header. Any other form is an error, so
// that a request with a mistyped header does not run without a key on an open queue.
func (d *headerDecoder) bearer() string {
	text := d.ctx.Get(fiber.HeaderAuthorization)
	if text == "" {
		return ""
	}
	key, ok := strings.CutPrefix(text, "Bearer ")
	if !ok || key == "" || len(key) > maxKeyLength || strings.ContainsFunc(key, func(r rune) bool { return r <= ' ' || r > '~' }) {
		d.reject("header Authorization: allowed is Bearer and a key of 1 to %d printable characters", maxKeyLength)
	}
	return strings.Clone(key)
}

func (d *headerDecoder) requestID(text string) jaybarrow.RequestID {
	if !validate.RequestID(text) {
		d.reject("request id: allowed is %s", validate.RequestIDForm)
	}
	return jaybarrow.RequestID(strings.Clone(text))
}

// number returns a header's value, or 0 when it is absent.
func (d *headerDecoder) number(name string) int {
	text := d.ctx.Get(name)
	if text == "" {
		return 0
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < 0 || n > maxHeaderNumber {
		d.reject("header %s: %q is not a whole number from 0 to %d", name, text, maxHeaderNumber)
	}
	return n
}

func (d *headerDecoder) boolean(name string, defaultValue bool) bool {
	switch text := d.ctx.Get(name); text {
	case "":
		return defaultValue
	case "true", "false":
		return text == "true"
	default:
		d.reject("header %s: %q is not true or false", name, text)
		return defaultValue
	}
}
