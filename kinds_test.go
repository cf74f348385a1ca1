package jaybarrow_test

import (
	"fmt"
	"os"
	"regexp"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jaybarrow/jaybarrow"
)

var kindRow = regexp.MustCompile("(?m)^\\| `(\\w+)` \\| (\\d+) \\| `(\\w+)` \\| (yes|no) \\|")

// Guards against an API page whose table of error kinds differs from the table in the code.
func TestKindTableInTheAPIPage(t *testing.T) {
	page, err := os.ReadFile("docs/api.md")
	assert.NilError(t, err)
	rows := make(map[jaybarrow.ErrorKind]string)
	for _, m := range kindRow.FindAllStringSubmatch(string(page), -1) {
		kind := jaybarrow.ErrorKind(m[1])
		assert.Equal(t, rows[kind], "", "%s has two rows", kind)
		rows[kind] = fmt.Sprint(m[2], m[3], m[4])
	}
	assert.Equal(t, len(rows), len(jaybarrow.Kinds()))
	for kind, info := range jaybarrow.Kinds() {
		retry := map[bool]string{true: "yes", false: "no"}[info.Retryable]
		assert.Equal(t, rows[kind], fmt.Sprint(info.Status, string(info.Effect), retry), "row of %s", kind)
	}
}
