// Package wire is the CBOR form of the messages between nodes.
package wire

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"
)

// Bounds of decoded messages.
const (
	maxElements = 131072
	maxNesting  = 16
)

// Kind is the kind of a frame's message.
type Kind uint8

// Kinds of messages.
const (
	KindAsk Kind = iota + 1
	KindClaim
	KindHandover
	KindHolding
	KindNews
	KindPing
	KindPromise
	KindPull
	KindQuarantine
	KindSync
	KindWatch
)

// Frame is one message on a link.
type Frame struct {
	// ID pairs an answer with its request. A frame with ID 0 wants no answer.
	ID uint64 `cbor:",omitempty"`
	// Answer tells that the frame answers the request of the same ID.
	Answer bool `cbor:",omitempty"`
	// Kind is the kind of the body of a request.
	Kind Kind `cbor:",omitempty"`
	// Failure is the error of the answering node, empty for none.
	Failure string `cbor:",omitempty"`
	// Body is the message.
	Body cbor.RawMessage `cbor:",omitempty"`
}

// Check implements Checker.
func (f *Frame) Check() error {
	if f.Answer && f.ID == 0 {
		return trace.BadParameter("an answer has no ID")
	}
	if !f.Answer && f.Kind == 0 {
		return trace.BadParameter("a request has no kind")
	}
	return nil
}

// Checker is implemented by messages that check themselves when decoded.
type Checker interface {
	Check() error
}

var (
	decoder = newDecoder()
	encoder = newEncoder()
)

// Decode decodes a message and checks it.
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
