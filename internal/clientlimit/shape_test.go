package clientlimit_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/clientlimit"
)

// Guards against brackets in strings that count, and against nesting and width that do not.
func TestShape(t *testing.T) {
	cases := []struct {
		text string
		want clientlimit.Shape
	}{
		{``, clientlimit.Shape{}},
		{`{"spec":"[[{\"{,","steps":[{"after":[0,1]},{}]}`, clientlimit.Shape{Depth: 4, Objects: 3, Values: 3}},
		{strings.Repeat(`[`, 100) + `]`, clientlimit.Shape{Depth: 100}},
		{`{"steps":[0,null,{"after":[1,2]},[],{}]}`, clientlimit.Shape{Depth: 4, Objects: 6, Values: 5}},
		{`"unfinished \`, clientlimit.Shape{}},
	}
	for _, c := range cases {
		assert.Equal(t, clientlimit.ShapeOf([]byte(c.text)), c.want, "%s", c.text)
	}
}

// Guards against the refusal of the largest job that is accepted, and against bodies within the limit whose decoded form is not.
func TestAllowedShapes(t *testing.T) {
	step := `{"replicas":1,"cpu":100,"estimate_ms":1,"after":[` + strings.Repeat("1,", 60) + `1]},`
	largest := clientlimit.ShapeOf([]byte(`{"spec":"","steps":[` + strings.Repeat(step, 1000) + `{}]}`))
	assert.Assert(t, largest.Allowed() && largest.Decoded() < 10<<20, "%+v", largest)
	assert.Assert(t, !clientlimit.ShapeOf([]byte(strings.Repeat(`{},`, 87_000))).Allowed())
	assert.Assert(t, !clientlimit.ShapeOf([]byte(strings.Repeat(`[`, 100))).Allowed())
	for _, element := range []string{"0,", "null,", "[],"} {
		text := `{"spec":"","steps":[` + strings.Repeat(element, 87_000) + `0]}`
		assert.Assert(t, !clientlimit.ShapeOf([]byte(text)).Allowed(), "%s", element)
	}
}

// Guards against a body that is asked to come again although its decoded form has never room.
func TestADecodedFormThatNeverFits(t *testing.T) {
	b := clientlimit.NewBytes(jaybarrow.SystemClock{}, 8<<20)
	body, err := receive(b, 256*kilobyte)
	assert.NilError(t, err)
	assert.Assert(t, body.CanHold(7<<20))
	assert.Assert(t, !body.CanHold(8<<20))
	body.Release()
}
