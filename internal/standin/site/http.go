package site

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
)

// answer writes a JSON answer; a caller that has gone does not matter to a stand-in.
func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// discard takes an answer that is lost.
type discard struct{ header http.Header }

func (d discard) Header() http.Header         { return d.header }
func (d discard) Write(p []byte) (int, error) { return len(p), nil }
func (d discard) WriteHeader(int)             {}

func copyBody(to io.Writer, r *http.Request) (int64, error) { return io.Copy(to, r.Body) }

// withBody returns the request with another body, for a call that is carried out later.
func withBody(r *http.Request, body string) *http.Request {
	c := r.Clone(r.Context())
	c.Body = io.NopCloser(strings.NewReader(body))
	return c
}
