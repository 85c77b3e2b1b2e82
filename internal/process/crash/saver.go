package crash

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/rs/zerolog"

	"github.com/wasabibend/wasabibend/internal/pause"
	"github.com/wasabibend/wasabibend/internal/process/store"
	"github.com/wasabibend/wasabibend/internal/version/kinds"
)

// Backoff between attempts to write to the platform's store.
const (
	minSaveBackoff = 100 * time.Millisecond
	maxSaveBackoff = 2 * time.Second
)

// Saver writes the reports of the node to the platform's store, for nodes that start when no
// other node is left that knows them. Only the node beside a crashed upstream writes its
// report.
type Saver struct {
	held  func() store.Object
	key   string
	log   zerolog.Logger
	store store.Store
	wake  chan struct{}
	zone  string

	mu      sync.Mutex
	last    uint64 // number of the last report
	pending []pendingReport
}

// pendingReport is a report that has not been written yet.
type pendingReport struct {
	at     time.Time
	number uint64
	report Report
}

// maxPendingReports is the maximum number of reports that wait for the store. The oldest ones
// are dropped.
const maxPendingReports = 64

// NewSaver returns a Saver for the crashes of an availability zone. The function held returns
// the object of the zone as the node knows it.
func NewSaver(zone string, platform store.Store, held func() store.Object, log zerolog.Logger) *Saver {
	return &Saver{held: held, key: kinds.CrashesKey(zone), log: log, store: platform, wake: make(chan struct{}, 1), zone: zone}
}

// Add queues a report to be written.
func (s *Saver) Add(now time.Time, report Report) {
	if len(report.Cleared)+len(report.Guilty)+len(report.Suspects) == 0 {
		return
	}
	s.mu.Lock()
	s.last++
	s.pending = append(s.pending, pendingReport{at: now, number: s.last, report: report})
	s.pending = s.pending[max(len(s.pending)-maxPendingReports, 0):]
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Run writes queued reports until the context ends. It tries again with exponential backoff
// while the store does not answer.
func (s *Saver) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
		}
		failed := false
		for backoff := minSaveBackoff; ctx.Err() == nil; backoff = min(backoff*2, maxSaveBackoff) {
			err := s.save(ctx, failed)
			if err == nil {
				break
			}
			failed = true
			s.log.Warn().Err(err).Msg("writing the crashes of upstreams to the platform's store failed")
			_ = pause.For(ctx, backoff/2+rand.N(backoff)) // an error ends the loop
		}
	}
}

// save writes all queued reports. It reads the object first if the one that the node knows
// may be an old one.
func (s *Saver) save(ctx context.Context, read bool) error {
	s.mu.Lock()
	pending := s.pending
	s.mu.Unlock()
	if len(pending) == 0 {
		return nil
	}
	object := s.held()
	if read {
		var err error
		if object, err = s.read(ctx); err != nil {
			return trace.Wrap(err)
		}
	}
	value, err := s.next(time.Now(), object, pending)
	if err != nil {
		return trace.Wrap(err)
	}
	_, err = s.store.Put(ctx, s.key, value, object.Version)
	if errors.Is(err, store.ErrConflict) && !read {
		return s.save(ctx, true)
	}
	if err != nil {
		return trace.Wrap(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	written := pending[len(pending)-1].number
	s.pending = slices.DeleteFunc(slices.Clone(s.pending), func(p pendingReport) bool { return p.number <= written })
	return nil
}

// pends reports whether a report has not been written yet.
func (s *Saver) pends() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.pending) > 0
}

func (s *Saver) read(ctx context.Context) (store.Object, error) {
	object, err := s.store.Get(ctx, s.key)
	if errors.Is(err, store.ErrNotFound) {
		return store.Object{Key: s.key}, nil
	}
	return object, trace.Wrap(err)
}

// next returns the value of the object with the reports added. It replaces a value that
// cannot be read.
func (s *Saver) next(now time.Time, object store.Object, pending []pendingReport) ([]byte, error) {
	var stored kinds.Crashes
	if object.Value != nil {
		if err := kinds.DecodeCrashes(object.Key, object.Value, &stored); err != nil {
			s.log.Warn().Err(err).Uint64("Version", object.Version).Msg("the stored crashes of upstreams cannot be read and are replaced")
			stored = kinds.Crashes{}
		}
	}
	stored.Zone = s.zone
	for i := range pending {
		addReport(pending[i].at, &stored, &pending[i].report)
	}
	stored.Cleared = latest(now, stored.Cleared, maxStoredQuarantined)
	stored.Quarantined = latest(now, stored.Quarantined, maxStoredQuarantined)
	stored.Suspects = latest(now, stored.Suspects, maxStoredSuspects)
	return kinds.Encode(&stored)
}
