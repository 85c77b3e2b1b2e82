package claims

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/rs/zerolog"

	"github.com/wasabibend/wasabibend/internal/pause"
	"github.com/wasabibend/wasabibend/internal/process/guard"
	"github.com/wasabibend/wasabibend/internal/process/store"
	"github.com/wasabibend/wasabibend/internal/version/kinds"
)

const (
	// batchDelay is how long a batch collects claims before it is written.
	batchDelay = 20 * time.Millisecond
	// rewriteInterval is the interval at which claims are written again while the store
	// fails.
	rewriteInterval = 500 * time.Millisecond
	storeTimeout    = 300 * time.Millisecond
	// unreadableLifetime is the age from which an object that cannot be read holds no
	// valid claim, by the time in its name. It allows for clocks that differ.
	unreadableLifetime = 2 * Lifetime
)

// maxRewritten is the maximum number of claims that are written again in one object. In
// JSON an ID has up to 65 bytes.
const maxRewritten = 8192

// maxUnsaved bounds the claims granted during an outage of the platform that are
// written after it. Claims beyond it are only in the memory of the holder.
const maxUnsaved = 32768

// LeaseState describes how a node holds a shard.
type LeaseState struct {
	// ByPromises reports whether the node holds the shard without the platform, as
	// the other candidates promised not to take over.
	ByPromises bool
	// OutageAt is when an earlier holder may last have granted claims without the
	// platform, zero for never.
	OutageAt time.Time
	// Start is when the node may begin to grant claims: the holder of the previous
	// term has stopped by then.
	Start time.Time
	Term  uint64
}

// ShardClaims grants the claims of a shard while the node holds it. Lock order:
// ShardClaims.mu before Table.mu.
type ShardClaims struct {
	prefix     string // of the keys of its objects in the store
	leaseState func(now time.Time) (LeaseState, bool)
	log        zerolog.Logger
	store      store.Store

	mu    sync.Mutex
	batch *batch // collecting claims, nil for none
	table *Table // claims of the loaded term
	term  uint64 // loaded term
	saved []savedBatch
	// unreadableUntil is when the claims of objects that could not be read have expired,
	// zero for none. They may be of any key.
	unreadableUntil time.Time
	// unsaved are claims granted during an outage. They are written with the next
	// batch.
	unsaved []ID
}

// batch collects claims that are written as one object.
type batch struct {
	done chan struct{}
	err  error // valid once done is closed
	ids  []ID
}

// savedBatch identifies an object with claims in the store.
type savedBatch struct {
	at      time.Time
	key     string
	version uint64
}

// batchObject is the value of an object with claims.
type batchObject struct {
	At  time.Time
	IDs []ID
}

// Check returns an error if the object is not valid.
func (b *batchObject) Check() error {
	if b.At.IsZero() {
		return trace.BadParameter("At is missing")
	}
	return nil
}

// NewShardClaims returns the ShardClaims of a shard of an availability zone.
func NewShardClaims(s store.Store, zone string, shard int, log zerolog.Logger, leaseState func(now time.Time) (LeaseState, bool)) *ShardClaims {
	return &ShardClaims{prefix: fmt.Sprintf("%s%s.%d/", kinds.PrefixClaims, zone, shard), leaseState: leaseState, log: log, store: s}
}

// Claim claims a key for an attempt. It returns false if another attempt has
// claimed the key, or may have claimed it. It returns an error if the node does
// not hold the shard for the whole time or the store fails.
func (s *ShardClaims) Claim(ctx context.Context, id ID, attempt uint64) (bool, error) {
	now := time.Now()
	lease, ok := s.leaseState(now)
	if !ok || now.Before(lease.Start) {
		return false, trace.NotFound("the shard is not held here")
	}
	table, unreadableUntil, err := s.load(ctx, now, lease.Term)
	if err != nil {
		return false, trace.Wrap(err)
	}
	if !table.Claim(now, id, attempt) {
		return false, nil
	}
	if !lease.OutageAt.IsZero() && now.Sub(lease.OutageAt) < Lifetime || now.Before(unreadableUntil) {
		// An earlier holder may have granted the key without writing the claim to
		// the store, or in an object that cannot be read.
		return false, nil
	}
	if lease.ByPromises {
		s.addUnsaved(id)
		return true, nil
	}
	if err := s.save(ctx, id); err != nil {
		table.Release(time.Now(), id, attempt)
		return false, trace.Wrap(err)
	}
	if later, ok := s.leaseState(time.Now()); !ok || later.Term != lease.Term {
		return false, trace.NotFound("the shard is no longer held here")
	}
	return true, nil
}

// Release deletes the claim of an attempt that did not run, but only from memory:
// in the store, it stays until it expires.
func (s *ShardClaims) Release(now time.Time, id ID, attempt uint64) {
	s.mu.Lock()
	table := s.table
	s.mu.Unlock()
	if table != nil {
		table.Release(now, id, attempt)
	}
}

// Rewrite writes all claims of the term to the store again, after the store was restored
// from a copy that may not have the last ones. It retries until that succeeds, the node
// does not hold the shard any more or the context ends.
func (s *ShardClaims) Rewrite(ctx context.Context) {
	s.mu.Lock()
	table, term := s.table, s.term
	s.mu.Unlock()
	if table == nil {
		return
	}
	for ids := range slices.Chunk(table.IDs(), maxRewritten) {
		for {
			if lease, ok := s.leaseState(time.Now()); !ok || lease.Term != term {
				return
			}
			if err := s.write(&batch{ids: ids}); err == nil {
				break
			}
			if pause.For(ctx, rewriteInterval) != nil {
				return
			}
		}
	}
}

// load returns the claims of a term, and until when keys may be claimed by objects that
// cannot be read. When the term is new, it reads the claims from the store, and their
// Lifetime starts again.
func (s *ShardClaims) load(ctx context.Context, now time.Time, term uint64) (*Table, time.Time, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.table != nil && s.term == term {
		return s.table, s.unreadableUntil, nil
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	listing, err := s.store.List(ctx, s.prefix)
	if err != nil {
		return nil, time.Time{}, trace.Wrap(err)
	}
	table := NewTable()
	s.saved, s.unreadableUntil = nil, time.Time{}
	unreadable := 0
	for _, object := range listing.Objects {
		if object.Value == nil {
			continue // deleted
		}
		var b batchObject
		if err := kinds.Decode(object.Value, &b); err != nil {
			unreadable++
			writtenAt, ok := writeTime(strings.TrimPrefix(object.Key, s.prefix))
			if !ok {
				continue // no holder has written it, so it holds no claim
			}
			b = batchObject{At: now}
			if now.Sub(writtenAt) < unreadableLifetime {
				s.unreadableUntil = now.Add(Lifetime)
			}
		}
		s.saved = append(s.saved, savedBatch{at: earlier(b.At, now), key: object.Key, version: object.Version})
		for _, id := range b.IDs {
			table.Claim(now, id, 0)
		}
	}
	if unreadable > 0 {
		s.log.Warn().Str("Prefix", s.prefix).Int("Objects", unreadable).Time("RefusesUntil", s.unreadableUntil).Msg("objects with claims cannot be read")
	}
	s.table, s.term = table, term
	return table, s.unreadableUntil, nil
}

// objectName returns the name of an object with claims, given when it is written.
func objectName(now time.Time, first ID) string {
	return fmt.Sprintf("%x-%x", now.UnixNano(), first[:4])
}

// writeTime returns when the object with the given name was written, or false if that is
// not a name that objectName returns.
func writeTime(name string) (time.Time, bool) {
	digits, id, _ := strings.Cut(name, "-")
	nanos, err := strconv.ParseInt(digits, 16, 64)
	if _, idErr := strconv.ParseUint(id, 16, 32); err != nil || idErr != nil || len(id) != 8 {
		return time.Time{}, false
	}
	return time.Unix(0, nanos), true
}

// earlier returns the earlier one of two times.
func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// save writes a claim to the store. It waits for batchDelay to write it together
// with others.
func (s *ShardClaims) save(ctx context.Context, id ID) error {
	s.mu.Lock()
	b := s.batch
	if b == nil {
		b = &batch{done: make(chan struct{})}
		s.batch = b
		time.AfterFunc(batchDelay, func() {
			defer close(b.done)
			b.err = guard.Call(s.log, "claims", func() error { return s.write(b) })
		})
	}
	b.ids = append(append(b.ids, id), s.unsaved...)
	s.unsaved = nil
	s.mu.Unlock()
	select {
	case <-ctx.Done():
		return trace.Wrap(ctx.Err())
	case <-b.done:
		return b.err
	}
}

// addUnsaved records a claim granted while the platform does not answer.
func (s *ShardClaims) addUnsaved(id ID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.unsaved) < maxUnsaved {
		s.unsaved = append(s.unsaved, id)
	}
}

// write writes a batch to the store, and then deletes expired objects.
func (s *ShardClaims) write(b *batch) error {
	s.mu.Lock()
	if s.batch == b {
		s.batch = nil
	}
	s.mu.Unlock()
	now := time.Now()
	value, err := json.Marshal(batchObject{At: now, IDs: b.ids})
	if err != nil {
		return trace.Wrap(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	key := s.prefix + objectName(now, b.ids[0])
	version, err := s.store.Put(ctx, key, value, 0)
	if err != nil {
		return trace.Wrap(err)
	}
	s.mu.Lock()
	s.saved = append(s.saved, savedBatch{at: now, key: key, version: version})
	s.mu.Unlock()
	s.deleteExpired(ctx, now)
	return nil
}

// deleteExpired deletes up to two of the oldest objects if their claims have
// expired.
func (s *ShardClaims) deleteExpired(ctx context.Context, now time.Time) {
	for range 2 {
		s.mu.Lock()
		if len(s.saved) == 0 || now.Sub(s.saved[0].at) < Lifetime || !strings.HasPrefix(s.saved[0].key, s.prefix) {
			s.mu.Unlock()
			return
		}
		oldest := s.saved[0]
		s.saved = s.saved[1:]
		s.mu.Unlock()
		_ = s.store.Delete(ctx, oldest.key, oldest.version)
	}
}
