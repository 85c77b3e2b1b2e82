// Package objapi is a fake of the platform's object API that keeps all objects in
// memory. Tests inject faults into it while it runs.
package objapi

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
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

// Route patterns of the object API.
const (
	pathKind = objs.PathObjects + ":kind"
	pathName = pathKind + "/:name"
)

// maxWait is the maximum time for which a watch waits for changes.
const maxWait = 30 * time.Second

// pageSize is the maximum number of objects in a page of a listing.
const pageSize = 500

// Faults are the faults that a Server injects. They are set as JSON by a PUT of
// /faults.
type Faults struct {
	// Delay is added to each call.
	Delay time.Duration
	// Down makes each call fail.
	Down bool
	// LoseAnswers is the number of further changes that take effect but whose
	// responses are lost.
	LoseAnswers int
	// Forget is the lowest revision from which a watch may start. An earlier one
	// gets 410 Gone, as if the platform no longer knew the changes since then.
	Forget uint64
	// StaleEmpty makes reads that may be stale return the store's initial state,
	// without any objects.
	StaleEmpty bool
	// Rate is the maximum number of calls in each second of the clock; 0 means no
	// limit.
	Rate int
}

// Counts are the numbers of calls received since the start. GET /counts returns
// them as JSON. Reads that may be stale are not included in Reads and Refused.
type Counts struct {
	Reads, Refused, StaleReads, StaleRefused, Watches, Writes int
}

// readCounter returns the counter of a read, which may be stale.
func readCounter(stale bool) func(*Counts) *int {
	if stale {
		return func(c *Counts) *int { return &c.StaleReads }
	}
	return func(c *Counts) *int { return &c.Reads }
}

// Server is the http.Handler of the object API, /copy, /counts, /faults and /restore. mu
// guards the fields below it.
type Server struct {
	router *httprouter.Router

	mu          sync.Mutex
	backup      Copy          // made by a PUT of /copy
	changed     chan struct{} // closed and replaced when objects, the era or faults change
	counts      Counts
	era         uint64 // number of restores
	faults      Faults
	objects     map[string]store.Object // by key; a deleted object has no value
	revision    uint64
	rateSecond  int64 // Unix time in seconds to which secondCalls belongs
	secondCalls int
}

// New returns a Server without objects and faults.
func New() *Server {
	s := &Server{changed: make(chan struct{}), objects: make(map[string]store.Object), router: httprouter.New()}
	writes := func(c *Counts) *int { return &c.Writes }
	s.router.GET(pathKind, s.list)
	s.router.POST(pathKind, s.injectFaults(s.create, writes))
	s.router.GET(pathName, s.get)
	s.router.PUT(pathName, s.injectFaults(s.replace, writes))
	s.router.DELETE(pathName, s.injectFaults(s.remove, writes))
	s.router.PUT("/copy", s.putCopy)
	s.router.GET("/counts", s.getCounts)
	s.router.PUT("/faults", s.putFaults)
	s.router.PUT("/restore", s.putRestore)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.router.ServeHTTP(eraWriter{ResponseWriter: w, server: s}, r)
}

// SetFaults replaces the faults, also for watches that are waiting.
func (s *Server) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
	close(s.changed)
	s.changed = make(chan struct{})
}

// Counts returns the numbers of calls received.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// injectFaults returns a handler that counts each call in the given counter. As the
// faults demand, it refuses the call with 503, or delays it before the next handler
// runs.
func (s *Server) injectFaults(next httprouter.Handle, counter func(*Counts) *int) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
		delay, ok := s.countCall(time.Now(), counter)
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

// countCall counts a call in the given counter and returns the delay to add to it.
// It returns false, and counts the call as refused instead, if the platform is down or
// the rate of calls is exceeded.
func (s *Server) countCall(now time.Time, counter func(*Counts) *int) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Unix() != s.rateSecond {
		s.rateSecond = now.Unix()
		s.secondCalls = 0
	}
	s.secondCalls++
	if s.faults.Down || (s.faults.Rate > 0 && s.secondCalls > s.faults.Rate) {
		if counter(&s.counts) == &s.counts.StaleReads {
			s.counts.StaleRefused++
		} else {
			s.counts.Refused++
		}
		return 0, false
	}
	*counter(&s.counts)++
	return s.faults.Delay, true
}

func (s *Server) get(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	stale := mayBeStale(r)
	s.injectFaults(func(w http.ResponseWriter, _ *http.Request, params httprouter.Params) {
		s.mu.Lock()
		object, ok := s.objects[objectKey(params)]
		hidden := stale && s.faults.StaleEmpty
		s.mu.Unlock()
		if !ok || hidden || object.Value == nil {
			http.Error(w, "not found", http.StatusNotFound)
			return
		}
		writeRaw(w, rawObject(object))
	}, readCounter(stale))(w, r, params)
}

// mayBeStale reports whether the response to a read may be old.
func mayBeStale(r *http.Request) bool {
	return r.URL.Query().Get(objs.QueryStale) == "1"
}

// list lists the objects of a kind, or watches them if the query says so.
func (s *Server) list(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	next, counter := s.listPage, readCounter(mayBeStale(r))
	if r.URL.Query().Has(objs.QueryWatch) {
		next, counter = s.watch, func(c *Counts) *int { return &c.Watches }
	}
	s.injectFaults(next, counter)(w, r, params)
}

// listPage writes the first page of the existing objects of a kind whose names
// come after the one in the query.
func (s *Server) listPage(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	s.mu.Lock()
	listing := s.changes(params.ByName("kind")+"/", 0)
	if s.faults.StaleEmpty && mayBeStale(r) {
		listing = store.Listing{Era: listing.Era}
	}
	s.mu.Unlock()
	var items [][]byte
	more := false
	for _, object := range listing.Objects {
		if object.Value == nil || objs.ToObject(object).Metadata.Name <= r.URL.Query().Get(objs.QueryAfter) {
			continue
		}
		if more = len(items) == pageSize; more {
			break
		}
		items = append(items, rawObject(object))
	}
	writeRaw(w, joined(`{"items":`, rawList(items), fmt.Sprintf(`,"has_more":%t,"at":%d}`, more, listing.Revision)))
}

// create creates the object in the request's body.
func (s *Server) create(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	var object objs.Object
	if !readObject(w, r, &object) {
		return
	}
	key := objs.FromObject(params.ByName("kind"), &object).Key
	s.writeChange(w, key, object.Spec, 0)
}

// replace replaces an object if its revision is the one in the request's body.
func (s *Server) replace(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	var object objs.Object
	if readObject(w, r, &object) {
		s.writeChange(w, objectKey(params), object.Spec, object.Metadata.Revision)
	}
}

// remove deletes an object if its revision is the one in the query.
func (s *Server) remove(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	expected, err := strconv.ParseUint(r.URL.Query().Get(objs.QueryRevision), 10, 64)
	if err != nil {
		http.Error(w, "the revision is missing", http.StatusBadRequest)
		return
	}
	s.writeChange(w, objectKey(params), nil, expected)
}

// writeChange applies a change and writes the response. It drops the connection
// instead if the faults say that the response is lost.
func (s *Server) writeChange(w http.ResponseWriter, key string, value []byte, expected uint64) {
	object, loseAnswer, ok := s.apply(key, value, expected)
	switch {
	case loseAnswer:
		panic(http.ErrAbortHandler)
	case !ok:
		http.Error(w, "conflict", http.StatusConflict)
	default:
		writeRaw(w, rawObject(object))
	}
}

// apply stores the value of a key, or deletes the object if the value is nil. The
// object's version must be the expected one, 0 if it does not exist; otherwise ok
// is false. loseAnswer reports whether the response has to be dropped.
func (s *Server) apply(key string, value []byte, expected uint64) (object store.Object, loseAnswer, ok bool) {
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

// watch writes the changes of a kind after a revision. It waits for one until the
// time in the query has passed.
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
	listing, err := s.awaitChanges(r.Context(), params.ByName("kind")+"/", from, min(time.Duration(wait)*time.Millisecond, maxWait))
	switch {
	case r.Context().Err() != nil:
	case errors.Is(err, store.ErrGone):
		http.Error(w, "the history is gone", http.StatusGone)
	case err != nil:
		http.Error(w, "unavailable", http.StatusServiceUnavailable)
	default:
		writeRaw(w, rawChanges(listing))
	}
}

// awaitChanges returns the changes of objects with a prefix after a revision. It waits
// for one until the time wait has passed or the context ends.
func (s *Server) awaitChanges(ctx context.Context, prefix string, from uint64, wait time.Duration) (store.Listing, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	s.mu.Lock()
	era := s.era
	s.mu.Unlock()
	for {
		s.mu.Lock()
		listing := s.changes(prefix, from)
		changed, faults := s.changed, s.faults
		s.mu.Unlock()
		switch {
		case faults.Down || listing.Era != era:
			return store.Listing{}, errUnreachable
		case from < faults.Forget || from > listing.Revision:
			return store.Listing{}, store.ErrGone
		case len(listing.Objects) > 0:
			return listing, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return store.Listing{}, ctx.Err()
		case <-timer.C:
			return listing, nil
		}
	}
}

// rawChanges returns the API's form of a listing of changes.
func rawChanges(listing store.Listing) []byte {
	events := make([][]byte, len(listing.Objects))
	for i, object := range listing.Objects {
		events[i] = joined(`{"object":`, rawObject(object), fmt.Sprintf(`,"removed":%t}`, object.Value == nil))
	}
	return joined(`{"events":`, rawList(events), fmt.Sprintf(`,"at":%d}`, listing.Revision))
}

// changes returns the latest state of the objects with a prefix that changed after
// a revision, deleted ones included, sorted by key. s.mu must be held.
func (s *Server) changes(prefix string, from uint64) store.Listing {
	listing := store.Listing{Era: s.era, Revision: s.revision}
	for key, object := range s.objects {
		if strings.HasPrefix(key, prefix) && object.Version > from {
			listing.Objects = append(listing.Objects, object)
		}
	}
	slices.SortFunc(listing.Objects, func(a, b store.Object) int { return strings.Compare(a.Key, b.Key) })
	return listing
}

func (s *Server) getCounts(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
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

// objectKey returns the key of the object that a path names.
func objectKey(params httprouter.Params) string {
	object := objs.Object{Metadata: objs.Metadata{Name: params.ByName("name")}}
	return objs.FromObject(params.ByName("kind"), &object).Key
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
