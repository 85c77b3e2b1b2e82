package objapi

import (
	"net/http"
	"strconv"

	"github.com/wasabibend/wasabibend/platform/objs"
)

// eraWriter is an http.ResponseWriter that adds the server's era to the header when the
// header is written.
type eraWriter struct {
	http.ResponseWriter
	server *Server
}

// WriteHeader implements http.ResponseWriter.
func (w eraWriter) WriteHeader(status int) {
	w.setEra()
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w eraWriter) Write(data []byte) (int, error) {
	w.setEra()
	return w.ResponseWriter.Write(data)
}

// setEra has no effect once the header is written.
func (w eraWriter) setEra() {
	w.server.mu.Lock()
	defer w.server.mu.Unlock()
	w.Header().Set(objs.HeaderEra, strconv.FormatUint(w.server.era, 10))
}
