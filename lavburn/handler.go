package lavburn

import (
	"bytes"
	"io"
	"net/http"
	"strings"
	"time"
)

// ServeHTTP responds with the report as HTML, text or JSON. The query parameter
// "format" selects the format; without it, the Accept header does.
func (t *Tracker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	report := t.Report(time.Now())
	var write func(io.Writer) error
	var contentType string
	switch requestedFormat(r) {
	case "json":
		write, contentType = report.WriteJSON, "application/json"
	case "html":
		write, contentType = report.WriteHTML, "text/html; charset=utf-8"
	case "text":
		write, contentType = report.WriteText, "text/plain; charset=utf-8"
	default:
		http.Error(w, "format must be html, text or json", http.StatusBadRequest)
		return
	}
	var out bytes.Buffer
	if err := write(&out); err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", contentType)
	_, _ = w.Write(out.Bytes())
}

// requestedFormat returns the requested format, which isn't validated. The default is text.
func requestedFormat(r *http.Request) string {
	if format := r.URL.Query().Get("format"); format != "" {
		return format
	}
	accept := r.Header.Get("Accept")
	switch {
	case strings.Contains(accept, "text/html"):
		return "html"
	case strings.Contains(accept, "application/json"):
		return "json"
	default:
		return "text"
	}
}
