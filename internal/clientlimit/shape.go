package clientlimit

// Shape is what decides how much memory the decoded form of a JSON body takes.
type Shape struct {
	Depth   int // of nested objects and lists
	Objects int // and other elements of an outer list, for each of which the decoder makes a step
	Values  int // counted by commas
}

// stepsDepth is the depth of the list of a job's steps.
const stepsDepth = 2

// ShapeOf scans a JSON text without decoding it; of a text that is not JSON it returns some shape.
//
// Load pattern: bodies within the limit whose decoded form is many times larger, since each `{}` becomes a whole step, or nested so deep that
// the decoder's stack grows.
func ShapeOf(text []byte) Shape {
	var s Shape
	depth, quoted := 0, false
	inList, object := false, false // whether the text at stepsDepth is in a list, and whether its present element is an object
	for i := 0; i < len(text); i++ {
		c := text[i]
		if quoted {
			switch c {
			case '\\':
				i++
			case '"':
				quoted = false
			}
			continue
		}
		switch c {
		case '"':
			quoted = true
		case '{', '[':
			depth++
			s.Depth = max(s.Depth, depth)
			if depth == stepsDepth {
				inList, object = c == '[', false
			}
			if c == '{' {
				s.Objects++
				object = object || depth == stepsDepth+1
			}
		case '}', ']':
			depth--
		case ',':
			s.Values++
			if depth == stepsDepth && inList {
				if !object {
					s.Objects++
				}
				object = false
			}
		}
	}
	return s
}

// The largest shape of a job that is decoded. A job has at most 1,000 steps at a depth of 4; the rest allows for fields that this build does
// not know.
const (
	maxDepth   = 64
	maxObjects = 4000
)

// Allowed reports whether a body of the shape is decoded at all.
func (s Shape) Allowed() bool { return s.Depth <= maxDepth && s.Objects <= maxObjects }

// The memory of decoded values, with the room that growing lists leave behind.
const (
	objectBytes = 1 << 10
	valueBytes  = 64
)

// Decoded returns how much memory the decoded form takes at most.
func (s Shape) Decoded() int64 { return int64(s.Objects)*objectBytes + int64(s.Values)*valueBytes }
