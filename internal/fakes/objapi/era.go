package objapi

import (
	"maps"
	"net/http"
	"strconv"

	"github.com/julienschmidt/httprouter"

	"github.com/wasabibend/wasabibend/internal/process/store"
	"github.com/wasabibend/wasabibend/platform/objs"
)

// Copy is a copy of a Server's objects, from which it can be restored.
type Copy struct {
	objects  map[string]store.Object
	revision uint64
}

// Copy returns a copy of the objects.
func (s *Server) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Copy{objects: maps.Clone(s.objects), revision: s.revision}
}

// Restore replaces the objects by those of a copy and begins a new era. Changes made
// since the copy are lost and their revisions are assigned again. Watches that wait are
// cut off.
func (s *Server) Restore(c Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.objects, s.revision = maps.Clone(c.objects), c.revision
	s.era++
	close(s.changed)
	s.changed = make(chan struct{})
}

// putCopy keeps a copy of the objects for putRestore.
func (s *Server) putCopy(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	backup := s.Copy()
	s.mu.Lock()
	s.backup = backup
	s.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

// putRestore restores the objects from the last copy that putCopy made.
func (s *Server) putRestore(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	s.mu.Lock()
	backup := s.backup
	s.mu.Unlock()
	s.Restore(backup)
	w.WriteHeader(http.StatusNoContent)
}

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
