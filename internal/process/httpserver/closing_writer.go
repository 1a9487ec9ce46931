package httpserver

import (
	"io"
	"net/http"
)

// closingWriter announces the end of the connection in responses whose header is sent in a planned stop.
type closingWriter struct {
	http.ResponseWriter
	server *Server
	// begun says that the header has been sent.
	begun bool
}

// Unwrap returns the inner writer, for http.ResponseController.
func (w *closingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (w *closingWriter) WriteHeader(status int) {
	if status >= http.StatusOK {
		w.begin()
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *closingWriter) Write(p []byte) (int, error) {
	w.begin()
	return w.ResponseWriter.Write(p)
}

// ReadFrom implements io.ReaderFrom.
func (w *closingWriter) ReadFrom(r io.Reader) (int64, error) {
	w.begin()
	return io.Copy(w.ResponseWriter, r)
}

// FlushError sends what was written, for http.ResponseController.
func (w *closingWriter) FlushError() error {
	w.begin()
	return http.NewResponseController(w.ResponseWriter).Flush()
}

// Flush implements http.Flusher.
func (w *closingWriter) Flush() { _ = w.FlushError() } // The next write fails as well.

// begin is called before the header is sent.
func (w *closingWriter) begin() {
	if w.begun {
		return
	}
	w.begun = true
	if w.server.Stopping() {
		w.Header().Set("Connection", "close")
	}
}
