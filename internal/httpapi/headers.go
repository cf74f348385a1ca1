package httpapi

import (
	"bytes"
	"strconv"
	"strings"

	"github.com/gofiber/fiber/v3"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/validate"
)

// The bounds of headers; a number in milliseconds stays far below the longest duration.
const (
	maxHeaderName  = 64
	maxHeaderValue = 4096
	maxKey         = 256
	maxNumber      = 1_000_000_000
)

// ownHeaders may occur once, since a proxy on the way could otherwise read another value than this front end.
var ownHeaders = []string{
	HeaderRequestID, HeaderIdempotent, HeaderAnswerWithin, HeaderSlots, HeaderMemory, HeaderAccelerators, HeaderRunTime,
	fiber.HeaderAuthorization, fiber.HeaderIfMatch,
}

// headerDecoder reads typed headers and keeps the first fault.
type headerDecoder struct {
	ctx fiber.Ctx
	err error
}

func (d *headerDecoder) fault(format string, args ...any) {
	if d.err == nil {
		d.err = jaybarrow.Errorf(jaybarrow.KindBadRequest, format, args...)
	}
}

// checkAll checks length and characters of every header, and that the system's own headers are not repeated.
func (d *headerDecoder) checkAll() {
	seen := make(map[string]bool)
	for name, value := range d.ctx.Request().Header.All() {
		switch {
		case len(name) == 0 || len(name) > maxHeaderName || !isToken(name):
			d.fault("a header name is empty, longer than %d characters or has a character that is not allowed", maxHeaderName)
		case len(value) > maxHeaderValue || bytes.IndexFunc(value, isControl) >= 0:
			d.fault("header %s: the value is longer than %d bytes or has a control character", name, maxHeaderValue)
		case seen[string(name)]:
			d.once(string(name))
		}
		seen[string(name)] = true
	}
}

func (d *headerDecoder) once(name string) {
	for _, own := range ownHeaders {
		if strings.EqualFold(own, name) {
			d.fault("header %s: it is given more than once", own)
		}
	}
}

func isToken(name []byte) bool {
	for _, c := range name {
		letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
		if !letter && strings.IndexByte("!#$%&'*+-.^_`|~", c) < 0 {
			return false
		}
	}
	return true
}

func isControl(r rune) bool { return r < ' ' && r != '\t' || r == 0x7f }

// bearer returns the key, or an empty one without an Authorization header. Another form is a fault, so that a mistyped
// header does not run as an unkeyed request on an open queue.
func (d *headerDecoder) bearer() string {
	text := d.ctx.Get(fiber.HeaderAuthorization)
	if text == "" {
		return ""
	}
	key, ok := strings.CutPrefix(text, "Bearer ")
	if !ok || key == "" || len(key) > maxKey || strings.ContainsFunc(key, func(r rune) bool { return r <= ' ' || r > '~' }) {
		d.fault("header Authorization: allowed is Bearer and a key of 1 to %d printable characters", maxKey)
	}
	return strings.Clone(key)
}

func (d *headerDecoder) requestID(text string) jaybarrow.RequestID {
	if !validate.RequestID(text) {
		d.fault("request id: allowed is %s", validate.RequestIDForm)
	}
	return jaybarrow.RequestID(strings.Clone(text))
}

func (d *headerDecoder) number(name string) int {
	text := d.ctx.Get(name)
	if text == "" {
		return 0
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < 0 || n > maxNumber {
		d.fault("header %s: %q is not a whole number from 0 to %d", name, text, maxNumber)
	}
	return n
}

func (d *headerDecoder) boolean(name string, absent bool) bool {
	switch text := d.ctx.Get(name); text {
	case "":
		return absent
	case "true", "false":
		return text == "true"
	default:
		d.fault("header %s: %q is not true or false", name, text)
		return absent
	}
}
