package callerproxy

import (
	"context"
	"net/http"
)

// flushingWriter flushes every write, so that each line of a stream is sent as it comes.
type flushingWriter struct {
	http.ResponseWriter
	headerWritten bool // the response's header was written
}

// WriteHeader writes the response's header.
//
// Example: w.WriteHeader(200)
func (w *flushingWriter) WriteHeader(status int) {
	w.headerWritten = true
	w.ResponseWriter.WriteHeader(status)
}

// Write writes and flushes.
//
// Example: w.Write(line)
func (w *flushingWriter) Write(data []byte) (int, error) {
	w.headerWritten = true
	n, err := w.ResponseWriter.Write(data)
	if err == nil {
		err = http.NewResponseController(w.ResponseWriter).Flush()
	}
	return n, err
}

// flushEveryWrite wraps a handler's response writer in a flushingWriter. The handler may wrap it again, so the
// request's context holds it, too.
func flushEveryWrite(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		writer := &flushingWriter{ResponseWriter: w}
		handler.ServeHTTP(writer, r.WithContext(context.WithValue(r.Context(), flushingWriter{}, writer)))
	})
}
