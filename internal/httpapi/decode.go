package httpapi

import (
	"bytes"
	"encoding/json"
	"io"
	"strconv"
	"strings"

	"github.com/gofiber/fiber/v3"

	"github.com/jaybarrow/jaybarrow"
)

// operatorDecoder decodes an operator's request and keeps the first error.
type operatorDecoder struct {
	headerDecoder
}

// body decodes the JSON body into target; unknown fields are rejected, so that a mistyped field is not silently ignored.
func (d *operatorDecoder) body(target any) {
	decoder := json.NewDecoder(bytes.NewReader(d.ctx.BodyRaw()))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		d.reject("body: %v", err)
		return
	}
	if _, err := decoder.Token(); err != io.EOF {
		d.reject("body: there is more after the JSON value")
	}
}

// revision returns the revision in If-Match; the wildcard is rejected, since every change is based on a revision.
func (d *operatorDecoder) revision() jaybarrow.Revision {
	text := d.ctx.Get(fiber.HeaderIfMatch)
	n, err := strconv.ParseInt(strings.Trim(text, `"`), 10, 64)
	if err != nil || n < 0 {
		d.reject(`header If-Match: allowed is the revision that the change is made from, such as "12", or "0" for a new record`)
	}
	return jaybarrow.Revision(n)
}

// param returns a copy of a path parameter, since fiber reuses the memory of the original.
func (d *operatorDecoder) param(name string) string { return strings.Clone(d.ctx.Params(name)) }

// setPathID sets the id to the one in the path, and rejects a body that contains another id.
func setPathID[T ~string](d *operatorDecoder, id *T) {
	path := T(d.param("id"))
	if *id != "" && *id != path {
		d.reject("field id: allowed is %q, the id in the path, or none", path)
	}
	*id = path
}

// queryNumber returns a query parameter, or 0 when it is absent.
func (d *operatorDecoder) queryNumber(name string) int64 {
	text := d.ctx.Query(name)
	if text == "" {
		return 0
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n < 0 {
		d.reject("query %s: %q is not a whole number from 0", name, text)
	}
	return n
}
