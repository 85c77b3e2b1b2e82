// Package chain defines the context that a root request and its chain of sub-calls
// carry from node to node: the customer, the importance, and the remaining time
// and retries. It also limits the retries along a chain and those to each service.
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

// Names of the headers between nodes, and between a node and its upstream.
const (
	// Header carries an encoded Chain between nodes.
	Header = "Wasabibend-Chain"
	// HeaderAlternative tells that a call can be sent to another node, so that it need
	// not wait until the upstream takes it within its rate.
	HeaderAlternative = "Wasabibend-Alternative"
	// HeaderAnswer carries the ID of the call that a response answers.
	HeaderAnswer = "Wasabibend-Answer"
	// HeaderRetriesLeft carries the number of retries that a call did not use.
	HeaderRetriesLeft = "Wasabibend-Retries-Left"
	// HeaderLoad carries the load of the answering node's gate.
	HeaderLoad = "Wasabibend-Load"
	// TrailerBodyBytes is the trailer that carries the number of bytes of a body without a
	// length.
	TrailerBodyBytes = "Wasabibend-Body-Bytes"
	// HeaderToken carries the token that identifies the request for which an
	// upstream makes sub-calls.
	HeaderToken = "Wasabibend-Token"
	// Prefix is the prefix of the names of all headers of wasabibend.
	Prefix = "Wasabibend-"
)

// MaxDepth is the maximum Depth of a call.
const MaxDepth = 32

// maxHeaderBytes is the maximum length of an encoded Chain.
const maxHeaderBytes = 1024

// ID identifies a root request and its chain of calls. It is also the ID of their
// trace.
type ID [16]byte

// SpanID identifies the span of one hop in a trace.
type SpanID [8]byte

// String returns the ID in hexadecimal digits.
func (id ID) String() string {
	return hex.EncodeToString(id[:])
}

// String returns the ID in hexadecimal digits.
func (id SpanID) String() string {
	return hex.EncodeToString(id[:])
}

// Chain is the context of one call. It is encoded as an array, so the order and the
// types of its fields are part of the protocol between nodes.
type Chain struct {
	_ struct{} `cbor:",toarray"`
	// Call identifies this call within the chain.
	Call uint64
	// Caller is the service of the upstream beside the node that received the root
	// request.
	Caller string
	// Customer is the customer of the root request, empty if none was identified, as
	// on an open route without a key.
	Customer string
	// Depth is 0 for a request from outside and at least 1 for a call that an upstream
	// makes.
	Depth int
	// Due is the time left to meet the objective of the root request, negative once it is
	// missed. It is only valid if HasObjective is set.
	Due time.Duration
	// Fingerprint is the same for equal calls of a customer.
	Fingerprint crash.Fingerprint
	// ID is the same for all calls of a chain.
	ID ID
	// Idempotent is set if the call may run more than once.
	Idempotent bool
	// Importance is the importance of the root request, from 0 to
	// rows.MaxImportance, which is shed last.
	Importance int
	// HasObjective is set if the route of the root request has an objective: the time
	// within which a response is worth most to the caller. The tag keeps the name that
	// peers see in the errors of Decode.
	HasObjective bool `cbor:"Objective"`
	// Parent is the span of the hop that made the call, zero for none.
	Parent SpanID
	// Remaining is the time left until the root request's deadline for the whole
	// response.
	Remaining time.Duration
	// Repeat is set if the call, or a call above it in the chain, was sent to an
	// upstream before.
	Repeat bool
	// Retries is the number of retries that this call and its sub-calls may make.
	Retries int
	// Route is the name of the root request's route in the catalog. It is empty if the
	// route has no objective or is a row of the table.
	Route string
	// Service is the service that is called.
	Service string
	// Suspect is set if the call was sent before and may have crashed an upstream.
	Suspect bool
	// Weight determines the customer's share of a contended upstream, in proportion to
	// the weights of the other customers. It is more than 0.
	Weight float64
}

// Check implements wire.Checker. It returns an error that names the first invalid
// field.
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

// Encode returns the text that Header carries: the CBOR encoding of the Chain in
// unpadded URL-safe base64.
func (c *Chain) Encode() (string, error) {
	data, err := wire.Encode(c)
	if err != nil {
		return "", trace.Wrap(err)
	}
	return base64.RawURLEncoding.EncodeToString(data), nil
}

// Decode decodes and checks the text that Header carries.
func Decode(text string) (*Chain, error) {
	if len(text) > maxHeaderBytes {
		return nil, trace.BadParameter("the context has %d bytes: want at most %d", len(text), maxHeaderBytes)
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
