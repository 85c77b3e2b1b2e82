// Package spans traces requests with OpenTelemetry: each hop of a chain of calls has a
// span, and the ID of the chain is the ID of the trace.
package spans

import (
	"context"
	"crypto/rand"
	"io"
	"os"

	"github.com/gravitational/trace"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	sdk "go.opentelemetry.io/otel/sdk/trace"
	otel "go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"github.com/wasabibend/wasabibend/internal/request/chain"
)

// standardOutput is the file name that means standard output.
const standardOutput = "-"

// Tracer returns a tracer that appends spans to a file, and a function that writes the
// remaining spans and stops the tracer. The file "-" means standard output. If the
// file's name is empty, the tracer does nothing.
func Tracer(file string) (otel.Tracer, func(context.Context) error, error) {
	if file == "" {
		return noop.NewTracerProvider().Tracer(""), func(context.Context) error { return nil }, nil
	}
	out, err := open(file)
	if err != nil {
		return nil, nil, trace.Wrap(err)
	}
	exporter, err := stdouttrace.New(stdouttrace.WithWriter(out))
	if err != nil {
		return nil, nil, trace.Wrap(err)
	}
	provider := sdk.NewTracerProvider(sdk.WithBatcher(exporter), sdk.WithIDGenerator(generator{}))
	return provider.Tracer("wasabibend"), provider.Shutdown, nil
}

func open(file string) (io.Writer, error) {
	if file == standardOutput {
		return os.Stdout, nil
	}
	out, err := os.OpenFile(file, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	return out, trace.ConvertSystemError(err)
}

// idKey is the context key of a chain's ID.
type idKey struct{}

// Context returns a context in which new spans belong to the trace of a chain. Their
// parent is the span of the calling hop, if there is one.
func Context(ctx context.Context, c *chain.Chain) context.Context {
	if c.Parent == (chain.SpanID{}) {
		return context.WithValue(ctx, idKey{}, c.ID)
	}
	parent := otel.NewSpanContext(otel.SpanContextConfig{Remote: true, SpanID: otel.SpanID(c.Parent), TraceFlags: otel.FlagsSampled, TraceID: otel.TraceID(c.ID)})
	return otel.ContextWithRemoteSpanContext(ctx, parent)
}

// generator generates the IDs of traces and spans.
type generator struct{}

// NewIDs implements sdk.IDGenerator. The ID of the trace is that of the chain in the
// context, or random if there is none.
func (g generator) NewIDs(ctx context.Context) (otel.TraceID, otel.SpanID) {
	id, ok := ctx.Value(idKey{}).(chain.ID)
	if !ok {
		_, _ = rand.Read(id[:])
	}
	return otel.TraceID(id), g.NewSpanID(ctx, otel.TraceID(id))
}

// NewSpanID implements sdk.IDGenerator. The ID is random.
func (generator) NewSpanID(context.Context, otel.TraceID) otel.SpanID {
	var id otel.SpanID
	_, _ = rand.Read(id[:])
	return id
}
