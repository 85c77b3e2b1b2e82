// Package wire encodes the messages between nodes as CBOR.
package wire

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"
)

// Limits of decoded messages.
const (
	maxElements = 131072 // of each array and map
	maxNesting  = 16
)

// Kind is the kind of a request. It selects the handler.
type Kind uint8

// Kinds of requests. The numbers are sent between nodes, so the order is fixed.
const (
	KindAsk        Kind = iota + 1 // asks the holder of a shard for tokens
	KindClaim                      // claims or releases an idempotency key
	KindHandover                   // passes the state of a shard to its next holder
	KindHolding                    // asks the holder of a shard whether it still holds it
	KindNews                       // sends records of nodes that changed, or that the receiver lacks
	KindPing                       // probes a node and compares digests and revisions
	KindPromise                    // asks a candidate to promise not to grant tokens
	KindPull                       // asks for the changes of a feed after a revision
	KindQuarantine                 // reports the requests in flight at a crash
	KindSync                       // asks for those records of nodes that differ
	KindWatch                      // asks a node to watch the platform for a while
	KindCrashes                    // exchanges the quarantined requests
)

// Frame is a request or an answer on a link.
type Frame struct {
	// ID identifies a request on its link, and is repeated in the answer. A
	// request with ID 0 gets no answer.
	ID uint64 `cbor:",omitempty"`
	// Answer reports whether the frame is the answer to the request with its ID.
	Answer bool `cbor:",omitempty"`
	// Kind is the kind of a request. It is 0 in an answer.
	Kind Kind `cbor:",omitempty"`
	// Failure is the error with which the request failed. It is empty in a request,
	// and in an answer without an error.
	Failure string `cbor:",omitempty"`
	// Body is the encoded message.
	Body cbor.RawMessage `cbor:",omitempty"`
}

// Check implements Checker. An answer needs an ID, and a request a kind.
func (f *Frame) Check() error {
	if f.Answer && f.ID == 0 {
		return trace.BadParameter("the answer has no ID")
	}
	if !f.Answer && f.Kind == 0 {
		return trace.BadParameter("the request has no kind")
	}
	return nil
}

// Checker is implemented by messages. Check validates a decoded message.
type Checker interface {
	Check() error
}

var (
	decoder = newDecoder()
	encoder = newEncoder()
)

// Decode decodes a message and validates it.
func Decode(data []byte, into Checker) error {
	if err := decoder.Unmarshal(data, into); err != nil {
		return trace.BadParameter("%v", err)
	}
	return trace.Wrap(into.Check())
}

// Encode returns the CBOR form of a message.
func Encode(message any) ([]byte, error) {
	data, err := encoder.Marshal(message)
	return data, trace.Wrap(err)
}

func newDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
		MaxArrayElements: maxElements,
		MaxMapPairs:      maxElements,
		MaxNestedLevels:  maxNesting,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func newEncoder() cbor.EncMode {
	mode, err := cbor.EncOptions{}.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}
