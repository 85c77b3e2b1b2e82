// Package objapi is a stand-in for the platform's object API, with faults that
// are switched while it runs.
package objapi

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/wasabibend/wasabibend/internal/pause"
	"github.com/wasabibend/wasabibend/internal/process/store"
	"github.com/wasabibend/wasabibend/platform/objs"
)

// Paths of the objects.
const (
	pathKind = objs.PathObjects + ":kind"
	pathName = pathKind + "/:name"
)

// maxWait bounds how long a call awaits changes.
const maxWait = 30 * time.Second

// pageSize is the number of objects in a page of a listing.
const pageSize = 500

// Faults are the faults that the stand-in shows.
type Faults struct {
	// Delay is waited before each answer.
	Delay time.Duration
	// Down fails each call.
	Down bool
	// LoseAnswers drops the answers to this many next changes after they took
	// effect.
	LoseAnswers int
	// Forget is the revision up to which changes are not known any more.
	Forget uint64
	// Rate bounds the calls a second; 0 means no bound.
	Rate int
}

// Counts are the calls received.
type Counts struct {
	Reads, Refused, Watches, Writes int
}

// Server is the stand-in. Its lock guards all fields below it.
type Server struct {
	router *httprouter.Router

	mu       sync.Mutex
	changed  chan struct{}
	counts   Counts
	faults   Faults
	objects  map[string]store.Object
	revision uint64
	second   int64
	used     int
}

// New returns an empty stand-in.
func New() *Server {
	s := &Server{changed: make(chan struct{}), objects: make(map[string]store.Object), router: httprouter.New()}
	reads := func(c *Counts) *int { return &c.Reads }
	writes := func(c *Counts) *int { return &c.Writes }
	s.router.GET(pathKind, s.list)
	s.router.POST(pathKind, s.admit(s.create, writes))
	s.router.GET(pathName, s.admit(s.get, reads))
	s.router.PUT(pathName, s.admit(s.replace, writes))
	s.router.DELETE(pathName, s.admit(s.remove, writes))
	s.router.GET("/counts", s.showCounts)
	s.router.PUT("/faults", s.putFaults)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.router.ServeHTTP(w, r)
}

// SetFaults replaces the faults.
func (s *Server) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
	close(s.changed)
	s.changed = make(chan struct{})
}

// Counts returns the calls received.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

func (s *Server) admit(next httprouter.Handle, count func(*Counts) *int) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
		delay, ok := s.countCall(time.Now(), count)
		if !ok {
			http.Error(w, "unavailable", http.StatusServiceUnavailable)
			return
		}
		if err := pause.For(r.Context(), delay); err != nil {
			return
		}
		next(w, r, params)
	}
}

func (s *Server) countCall(now time.Time, count func(*Counts) *int) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Unix() != s.second {
		s.second = now.Unix()
		s.used = 0
	}
	s.used++
	if s.faults.Down || (s.faults.Rate > 0 && s.used > s.faults.Rate) {
		s.counts.Refused++
		return 0, false
	}
	*count(&s.counts)++
	return s.faults.Delay, true
}

func (s *Server) get(w http.ResponseWriter, _ *http.Request, params httprouter.Params) {
	s.mu.Lock()
	object, ok := s.objects[objectKey(params)]
	s.mu.Unlock()
	if !ok || object.Value == nil {
		http.Error(w, "not found", http.StatusNotFound)
		return
	}
	writeJSON(w, objs.ToObject(object))
}

// list answers a call for the objects of a kind, or for their changes.
func (s *Server) list(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	next, count := s.listPage, func(c *Counts) *int { return &c.Reads }
	if r.URL.Query().Has(objs.QueryWatch) {
		next, count = s.watch, func(c *Counts) *int { return &c.Watches }
	}
	s.admit(next, count)(w, r, params)
}

func (s *Server) listPage(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	s.mu.Lock()
	listing := s.changes(params.ByName("kind")+"/", 0)
	s.mu.Unlock()
	page := objs.Listing{Revision: listing.Revision}
	for _, stored := range listing.Objects {
		object := objs.ToObject(stored)
		if stored.Value == nil || object.Metadata.Name <= r.URL.Query().Get(objs.QueryAfter) {
			continue
		}
		if page.More = len(page.Items) == pageSize; page.More {
			break
		}
		page.Items = append(page.Items, object)
	}
	writeJSON(w, page)
}

// create makes the object that a body names.
func (s *Server) create(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	var object objs.Object
	if !readObject(w, r, &object) {
		return
	}
	key := objs.FromObject(params.ByName("kind"), &object).Key
	s.change(w, key, object.Spec, 0)
}

// replace replaces an object at the revision that a body names.
func (s *Server) replace(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	var object objs.Object
	if readObject(w, r, &object) {
		s.change(w, objectKey(params), object.Spec, object.Metadata.Revision)
	}
}

// remove removes an object at the revision that the query names.
func (s *Server) remove(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	expected, err := strconv.ParseUint(r.URL.Query().Get(objs.QueryRevision), 10, 64)
	if err != nil {
		http.Error(w, "the revision is missing", http.StatusBadRequest)
		return
	}
	s.change(w, objectKey(params), nil, expected)
}

func (s *Server) change(w http.ResponseWriter, key string, value []byte, expected uint64) {
	object, lost, ok := s.apply(key, value, expected)
	switch {
	case lost:
		panic(http.ErrAbortHandler)
	case !ok:
		http.Error(w, "conflict", http.StatusConflict)
	default:
		writeJSON(w, objs.ToObject(object))
	}
}

// readObject decodes a body, or answers that it cannot.
func readObject(w http.ResponseWriter, r *http.Request, into *objs.Object) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 2*store.MaxValueBytes)).Decode(into); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func (s *Server) apply(key string, value []byte, expected uint64) (object store.Object, lost, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.objects[key]
	version := current.Version
	if current.Value == nil {
		version = 0
	}
	if version != expected {
		return store.Object{}, false, false
	}
	s.revision++
	object = store.Object{Key: key, Value: value, Version: s.revision}
	s.objects[key] = object
	close(s.changed)
	s.changed = make(chan struct{})
	if s.faults.LoseAnswers > 0 {
		s.faults.LoseAnswers--
		return object, true, true
	}
	return object, false, true
}

func (s *Server) watch(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	query := r.URL.Query()
	from, err := strconv.ParseUint(query.Get(objs.QueryWatch), 10, 64)
	if err != nil {
		http.Error(w, "the revision is missing", http.StatusBadRequest)
		return
	}
	wait, err := strconv.ParseInt(query.Get(objs.QueryWait), 10, 64)
	if err != nil {
		http.Error(w, "the wait is missing", http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(min(time.Duration(wait)*time.Millisecond, maxWait))
	defer timer.Stop()
	for {
		s.mu.Lock()
		listing := s.changes(params.ByName("kind")+"/", from)
		changed, faults := s.changed, s.faults
		s.mu.Unlock()
		switch {
		case faults.Down:
			http.Error(w, "unavailable", http.StatusServiceUnavailable)
			return
		case from < faults.Forget:
			http.Error(w, "the history is gone", http.StatusGone)
			return
		case len(listing.Objects) > 0:
			writeJSON(w, changesOf(listing))
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timer.C:
			writeJSON(w, changesOf(listing))
			return
		}
	}
}

func changesOf(listing store.Listing) objs.Changes {
	changes := objs.Changes{Events: []objs.Event{}, Revision: listing.Revision}
	for _, object := range listing.Objects {
		changes.Events = append(changes.Events, objs.Event{Object: objs.ToObject(object), Removed: object.Value == nil})
	}
	return changes
}

func (s *Server) changes(prefix string, from uint64) store.Listing {
	listing := store.Listing{Revision: s.revision}
	for key, object := range s.objects {
		if strings.HasPrefix(key, prefix) && object.Version > from {
			listing.Objects = append(listing.Objects, object)
		}
	}
	slices.SortFunc(listing.Objects, func(a, b store.Object) int { return strings.Compare(a.Key, b.Key) })
	return listing
}

func (s *Server) showCounts(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	writeJSON(w, s.Counts())
}

func (s *Server) putFaults(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var faults Faults
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(faults)
	writeJSON(w, faults)
}

func objectKey(params httprouter.Params) string {
	object := objs.Object{Metadata: objs.Metadata{Name: params.ByName("name")}}
	return objs.FromObject(params.ByName("kind"), &object).Key
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
