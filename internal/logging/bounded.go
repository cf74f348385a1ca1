package logging

import (
	"fmt"
	"io"
	"os"

	"github.com/rs/zerolog/diode"
)

// queuedLines is how many lines wait for a slow output; more are dropped and counted. A line has about 200 bytes.
const queuedLines = 4096

// Bounded returns a writer that never blocks, and a function that writes what is queued. Dropped lines are counted on
// standard error.
func Bounded(w io.Writer) (io.Writer, func()) {
	d := diode.NewWriter(w, queuedLines, 0, func(missed int) {
		fmt.Fprintf(os.Stderr, "jaybarrow: %d log lines dropped\n", missed)
	})
	return d, func() { _ = d.Close() }
}
