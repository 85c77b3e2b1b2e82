package member

import (
	"time"

	"github.com/gravitational/trace"

	"github.com/wasabibend/wasabibend/internal/process/store"
)

// maxFeeds is the maximum number of feeds that a message may refer to.
const maxFeeds = 8

// maxRecords is the maximum number of records in a News message.
const maxRecords = 4 * 4096

// Ping is the heartbeat that a node sends to its neighbours. It carries the
// state of the sender's tables; the answer is a Ping with the receiver's.
type Ping struct {
	// Digest is the hash of the sender's membership table.
	Digest uint64
	// Feeds are the states of the sender's feeds. All nodes have the same feeds
	// in the same order.
	Feeds []FeedState
	// Shared is the digest of the sender's Shared state. It is 0 in a request, and in the
	// answer of a node without such state.
	Shared uint64 `cbor:",omitempty"`
}

// Check implements wire.Checker.
func (p *Ping) Check() error {
	if len(p.Feeds) > maxFeeds {
		return trace.BadParameter("Feeds: %d are too many", len(p.Feeds))
	}
	return nil
}

// FeedState tells how up to date a node's copy of a feed is. A feed is a part of
// the platform's store that the nodes follow.
type FeedState struct {
	// Age is the time since the revision was last known to be the current one of
	// the store. It is negative if it never was.
	Age time.Duration
	// Era is the store's era of Revision.
	Era uint64 `cbor:",omitempty"`
	// Revision is the revision in force.
	Revision uint64
}

// Position returns the position of the copy.
func (s *FeedState) Position() store.Position {
	return store.Position{Era: s.Era, Revision: s.Revision}
}

// News carries records that changed, or that the receiver is missing.
type News struct {
	Records []Record
}

// Check implements wire.Checker.
func (n *News) Check() error {
	if len(n.Records) > maxRecords {
		return trace.BadParameter("Records: got %d, expected at most %d", len(n.Records), maxRecords)
	}
	return nil
}

// Sync carries the sender's digests, one for each bucket of its table, and asks
// for the records of the buckets whose digests differ.
type Sync struct {
	Digests [digestBuckets]uint64
}

// Check implements wire.Checker.
func (s *Sync) Check() error {
	return nil
}

// Watch asks a node to watch the platform's store for a limited time.
type Watch struct {
	// Hops is the number of nodes that have sent this request or passed it on
	// because the platform did not answer them.
	Hops int `cbor:",omitempty"`
}

// Check implements wire.Checker.
func (w *Watch) Check() error {
	if w.Hops < 0 {
		return trace.BadParameter("Hops: expected 0 or more, got %d", w.Hops)
	}
	return nil
}

// Pull asks for the changes of a feed after the revision From of an era of the store.
type Pull struct {
	Era  uint64 `cbor:",omitempty"`
	Feed int    `cbor:",omitempty"`
	From uint64
}

// Check implements wire.Checker.
func (p *Pull) Check() error {
	if p.Feed < 0 || p.Feed >= maxFeeds {
		return trace.BadParameter("Feed %d is unknown", p.Feed)
	}
	return nil
}

// SyncAnswer is the answer to a Sync: the responder's digests, and its records in
// the buckets whose digests differ.
type SyncAnswer struct {
	Digests [digestBuckets]uint64
	Records []Record
}

// Check implements wire.Checker.
func (s *SyncAnswer) Check() error {
	return nil
}
