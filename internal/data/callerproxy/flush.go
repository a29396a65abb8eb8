package callerproxy

import (
	"context"
	"net/http"
)

// flushingWriter is a ResponseWriter that flushes after every write, so that each line of a streamed response is sent
// to the client immediately.
type flushingWriter struct {
	http.ResponseWriter
	headerWritten bool // the HTTP response header has been sent, so the status can no longer change
}

// WriteHeader sends the HTTP response header with the given status and records that the response has started.
//
// Example: w.WriteHeader(200)
func (w *flushingWriter) WriteHeader(status int) {
	w.headerWritten = true
	w.ResponseWriter.WriteHeader(status)
}

// Write writes the data to the client and flushes it immediately.
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

// flushEveryWrite passes a flushingWriter to the handler as its response writer. The request context holds the
// flushingWriter as well, because the handler may wrap the response writer again.
func flushEveryWrite(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		writer := &flushingWriter{ResponseWriter: w}
		handler.ServeHTTP(writer, r.WithContext(context.WithValue(r.Context(), flushingWriter{}, writer)))
	})
}
