package member

import (
	"time"

	"github.com/gravitational/trace"
)

// maxFeeds bounds the feeds that a message may name.
const maxFeeds = 8

// maxNews bounds the records in one message.
const maxNews = 4096

// Ping tells a neighbour the state of a node's tables, as does its answer.
type Ping struct {
	// Digest is the hash of the membership table.
	Digest uint64
	// Feeds are the states of the feeds, the same ones on all nodes.
	Feeds []FeedState
}

// Check implements wire.Checker.
func (p *Ping) Check() error {
	if len(p.Feeds) > maxFeeds {
		return trace.BadParameter("Feeds: %d are too many", len(p.Feeds))
	}
	return nil
}

// FeedState is how far a node has followed a part of the platform's store.
type FeedState struct {
	// Age is how long ago the revision was known to be current, negative for
	// unknown.
	Age time.Duration
	// Revision is the revision in force.
	Revision uint64
}

// News are records that changed.
type News struct {
	Records []Record
}

// Check implements wire.Checker.
func (n *News) Check() error {
	if len(n.Records) > maxNews*4 {
		return trace.BadParameter("Records: %d are too many", len(n.Records))
	}
	return nil
}

// Sync asks for the records of the parts of the table that differ.
type Sync struct {
	Digests [buckets]uint64
}

// Check implements wire.Checker.
func (s *Sync) Check() error {
	return nil
}

// Watch asks a node to watch the platform for a while.
type Watch struct {
	// Hops is the number of nodes that the question has passed and that the
	// platform does not answer either.
	Hops int `cbor:",omitempty"`
}

// Check implements wire.Checker.
func (w *Watch) Check() error {
	if w.Hops < 0 {
		return trace.BadParameter("Hops: want 0 or more")
	}
	return nil
}

// Pull asks for the changes of the configuration after a revision.
type Pull struct {
	Feed int `cbor:",omitempty"`
	From uint64
}

// Check implements wire.Checker.
func (p *Pull) Check() error {
	if p.Feed < 0 || p.Feed >= maxFeeds {
		return trace.BadParameter("Feed %d is unknown", p.Feed)
	}
	return nil
}

// SyncAnswer answers a Sync.
type SyncAnswer struct {
	Digests [buckets]uint64
	Records []Record
}

// Check implements wire.Checker.
func (s *SyncAnswer) Check() error {
	return nil
}
