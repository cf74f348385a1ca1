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

// operatorDecoder reads the parts of an operator's request and keeps the first fault.
type operatorDecoder struct {
	headerDecoder
}

// body decodes the JSON body; unknown fields are refused, so that a mistyped field is not silently left out.
func (d *operatorDecoder) body(target any) {
	decoder := json.NewDecoder(bytes.NewReader(d.ctx.BodyRaw()))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		d.fault("body: %v", err)
		return
	}
	if _, err := decoder.Token(); err != io.EOF {
		d.fault("body: there is more after the JSON value")
	}
}

// revision returns the revision in If-Match; the wildcard is refused, since every change is made from a revision.
func (d *operatorDecoder) revision() jaybarrow.Revision {
	text := d.ctx.Get(fiber.HeaderIfMatch)
	n, err := strconv.ParseInt(strings.Trim(text, `"`), 10, 64)
	if err != nil || n < 0 {
		d.fault(`header If-Match: allowed is the revision that the change is made from, such as "12", or "0" for a new record`)
	}
	return jaybarrow.Revision(n)
}

// param returns a copy of a path parameter; the library reuses the memory of the original.
func (d *operatorDecoder) param(name string) string { return strings.Clone(d.ctx.Params(name)) }

// sameID takes the id of the path, and refuses a body with another one.
func sameID[T ~string](d *operatorDecoder, id *T) {
	path := T(d.param("id"))
	if *id != "" && *id != path {
		d.fault("field id: allowed is %q, the id in the path, or none", path)
	}
	*id = path
}

func (d *operatorDecoder) queryNumber(name string) int64 {
	text := d.ctx.Query(name)
	if text == "" {
		return 0
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n < 0 {
		d.fault("query %s: %q is not a whole number from 0", name, text)
	}
	return n
}
