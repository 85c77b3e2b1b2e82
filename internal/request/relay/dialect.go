package relay

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/wasabibend/wasabibend/internal/request/chain"
	"github.com/wasabibend/wasabibend/pkg/refuse"
)

// Terms is what a caller's request says of itself.
type Terms struct {
	// Key is the key of the customer, empty for none.
	Key string
	// Patience is how long the caller waits for the answer, 0 for unknown.
	Patience time.Duration
}

// Delivery is what an upstream is told of a request.
type Delivery struct {
	// Caller is the service beside the node at which the request began.
	Caller string
	// Customer is the customer of the request, empty for none.
	Customer string
	// Instance identifies the start of the upstream that is to run the request,
	// empty for unknown.
	Instance string
	// Remaining is the time left to the whole answer.
	Remaining time.Duration
	// Token lets the upstream make sub-calls for the request.
	Token string
}

// Verdict is what an upstream's answer says besides its content.
type Verdict struct {
	// Instance identifies the start of the upstream that answered, empty for
	// unknown.
	Instance string
	// NotRun tells that the upstream did not run the request.
	NotRun bool
	// Moved tells that another upstream has taken the address.
	Moved bool
	// Stray tells that the answer belongs to another request.
	Stray bool
}

// Dialect is the form in which callers and the upstream speak with the node.
type Dialect interface {
	// Deliver adds to a request's header what the upstream is told of it.
	Deliver(header http.Header, d Delivery)
	// ID returns what names a request in the logs of its caller, empty for
	// unknown.
	ID(header http.Header) string
	// Read reads an upstream's answer to a request with a header.
	Read(request http.Header, response *http.Response) Verdict
	// Refuse writes a refusal as the whole answer.
	Refuse(w http.ResponseWriter, refusal *refuse.Refusal)
	// Reserved reports whether a header's name is one that only the node sets.
	Reserved(name string) bool
	// Terms reads what a caller's request says of itself, and takes the key out
	// of its header.
	Terms(r *http.Request) (Terms, *refuse.Refusal)
}

// native is the product's own Dialect.
type native struct{}

// Deliver implements Dialect.
func (native) Deliver(header http.Header, d Delivery) {
	header[chain.HeaderToken] = []string{d.Token}
}

// ID implements Dialect.
func (native) ID(http.Header) string {
	return ""
}

// Read implements Dialect.
func (native) Read(http.Header, *http.Response) Verdict {
	return Verdict{}
}

// Refuse implements Dialect.
func (native) Refuse(w http.ResponseWriter, refusal *refuse.Refusal) {
	refusal.WriteTo(w)
}

// Reserved implements Dialect. It reports whether a name could pass as one of
// the system's.
func (native) Reserved(name string) bool {
	if len(name) < len(chain.Prefix) {
		return false
	}
	return strings.EqualFold(strings.ReplaceAll(name[:len(chain.Prefix)], "_", "-"), chain.Prefix)
}

// Terms implements Dialect. A key in any other place than its header would
// reach the upstream, so such a request is refused, as is one whose path an
// upstream could read as another one.
func (native) Terms(r *http.Request) (Terms, *refuse.Refusal) {
	if refusal := checkPath(r); refusal != nil {
		return Terms{}, refusal
	}
	key, refusal := extractKey(r)
	if refusal != nil {
		return Terms{}, refusal
	}
	terms := Terms{Key: key}
	if ms, err := strconv.ParseInt(r.Header.Get(headerTimeout), 10, 64); err == nil && ms > 0 {
		terms.Patience = time.Duration(ms) * time.Millisecond
	}
	return terms, nil
}
