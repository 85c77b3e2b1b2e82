// Package chain holds the context of a request that calls pass down their
// chain: who asks, how important it is, and how much time and how many retries
// are left.
package chain

import (
	"encoding/base64"
	"encoding/hex"
	"time"

	"github.com/gravitational/trace"

	"github.com/wasabibend/wasabibend/internal/conn/wire"
	"github.com/wasabibend/wasabibend/internal/process/crash"
	"github.com/wasabibend/wasabibend/pkg/rows"
)

// Names of headers between nodes, and between a node and its upstream.
const (
	// Header carries a Chain between nodes.
	Header = "Wasabibend-Chain"
	// HeaderAnswer carries the ID of the call that an answer is for.
	HeaderAnswer = "Wasabibend-Answer"
	// HeaderLeft carries the retries that a call gives back.
	HeaderLeft = "Wasabibend-Retries-Left"
	// HeaderLoad carries the load of a gate.
	HeaderLoad = "Wasabibend-Load"
	// HeaderToken carries the token by which an upstream makes sub-calls.
	HeaderToken = "Wasabibend-Token"
	// Prefix begins the names of all headers of the system.
	Prefix = "Wasabibend-"
)

// MaxDepth is the largest depth of a chain.
const MaxDepth = 32

// maxHeader bounds the encoded context in bytes.
const maxHeader = 1024

// ID identifies the chain of a root request.
type ID [16]byte

// SpanID identifies a hop in a trace.
type SpanID [8]byte

// String returns the hexadecimal form.
func (id ID) String() string {
	return hex.EncodeToString(id[:])
}

// String returns the hexadecimal form.
func (id SpanID) String() string {
	return hex.EncodeToString(id[:])
}

// Chain is the context of one call.
type Chain struct {
	_ struct{} `cbor:",toarray"`
	// Call identifies this call within the chain.
	Call uint64
	// Caller is the service beside the node at which the call began.
	Caller string
	// Customer is the customer of the root request, empty for an open route
	// without a key.
	Customer string
	// Depth is 0 for the root request.
	Depth int
	// Due is the time left until the answer of the root request should be there,
	// negative once it is late. It counts if Objective is set.
	Due time.Duration
	// Fingerprint identifies equal calls of a customer.
	Fingerprint crash.Fingerprint
	// ID is the same for all calls of a chain.
	ID ID
	// Idempotent tells that the call may run more than once.
	Idempotent bool
	// Importance is that of the root request.
	Importance int
	// Objective tells that the answer of the root request has a time to be there.
	Objective bool
	// Parent is the span of the calling hop.
	Parent SpanID
	// Remaining is the time left to the whole answer of the root request.
	Remaining time.Duration
	// Repeat tells that the call, or one that led to it, was sent before.
	Repeat bool
	// Retries are the repeated calls that this call and its sub-calls may make.
	Retries int
	// Route is the route of the call, empty for one of the table.
	Route string
	// Service is the service called.
	Service string
	// Suspect tells that the call was sent before and may have crashed an
	// upstream.
	Suspect bool
	// Weight is the customer's share of a contended upstream.
	Weight float64
}

// Check implements wire.Checker.
func (c *Chain) Check() error {
	switch {
	case c.Depth < 0 || c.Depth > MaxDepth:
		return trace.BadParameter("Depth %d: want 0 to %d", c.Depth, MaxDepth)
	case c.Importance < 0 || c.Importance > rows.MaxImportance:
		return trace.BadParameter("Importance %d: want 0 to %d", c.Importance, rows.MaxImportance)
	case c.Remaining < 0 || c.Remaining > rows.MaxTimeout:
		return trace.BadParameter("Remaining %v: want 0 to %v", c.Remaining, rows.MaxTimeout)
	case c.Retries < 0 || c.Retries > rows.MaxRetries:
		return trace.BadParameter("Retries %d: want 0 to %d", c.Retries, rows.MaxRetries)
	case c.Service == "":
		return trace.BadParameter("Service is missing")
	case !(c.Weight > 0):
		return trace.BadParameter("Weight %v: want more than 0", c.Weight)
	}
	return nil
}

// Encode returns the form for Header.
func (c *Chain) Encode() (string, error) {
	data, err := wire.Encode(c)
	if err != nil {
		return "", trace.Wrap(err)
	}
	return base64.RawURLEncoding.EncodeToString(data), nil
}

// Decode decodes and checks the form for Header.
func Decode(text string) (*Chain, error) {
	if len(text) > maxHeader {
		return nil, trace.BadParameter("the context has %d bytes: want at most %d", len(text), maxHeader)
	}
	data, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil {
		return nil, trace.BadParameter("%v", err)
	}
	var c Chain
	if err := wire.Decode(data, &c); err != nil {
		return nil, trace.Wrap(err)
	}
	return &c, nil
}
