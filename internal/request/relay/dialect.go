package relay

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/wasabibend/wasabibend/internal/conn/pool"
	"github.com/wasabibend/wasabibend/internal/request/chain"
	"github.com/wasabibend/wasabibend/pkg/refuse"
)

// CallerInfo is the information that a caller sends with a request.
type CallerInfo struct {
	// Key is the key of the customer, empty for none.
	Key string
	// Timeout is how long the caller waits for the response, 0 if unknown.
	Timeout time.Duration
}

// UpstreamInfo is the information that a node sends to its upstream with a request.
type UpstreamInfo struct {
	// Caller is the service of the upstream beside the entry node, empty if
	// unknown.
	Caller string
	// Customer is the customer of the request, empty for none.
	Customer string
	// Instance is the ID of the upstream's instance that is to run the request,
	// empty if unknown.
	Instance string
	// Remaining is the time left until the response must be complete.
	Remaining time.Duration
	// Token lets the upstream make sub-calls for the request.
	Token string
}

// ResponseInfo is the control information in an upstream's response.
type ResponseInfo struct {
	// Instance is the ID of the upstream's instance that responded, empty if
	// unknown.
	Instance string
	// Leaving is set if the upstream is about to end and takes no new requests.
	Leaving bool
	// MaxRate is the number of requests per second that the upstream takes in all, 0 if
	// it names none.
	MaxRate float64
	// NotRun is set if the upstream did not run the request.
	NotRun bool
	// AddressReused is set if another upstream now uses the address.
	AddressReused bool
	// Mismatched is set if the response belongs to another request.
	Mismatched bool
	// Unnamed is set if the response does not name the request to which it belongs.
	Unnamed bool
}

// match returns whether the response belongs to the request.
func (i *ResponseInfo) match() pool.Match {
	switch {
	case i.Mismatched:
		return pool.Other
	case i.Unnamed:
		return pool.Unnamed
	}
	return pool.Matched
}

// Dialect defines the headers and statuses by which callers and the upstream
// exchange control information with the node.
type Dialect interface {
	// SetHeaders adds the information for the upstream to a request's header.
	SetHeaders(header http.Header, info UpstreamInfo)
	// RequestID returns the ID of a request in its caller's logs, empty if unknown.
	RequestID(header http.Header) string
	// ReadResponse returns the control information in an upstream's response to a
	// request with the given header.
	ReadResponse(request http.Header, response *http.Response) ResponseInfo
	// Refuse writes a refusal as the response.
	Refuse(w http.ResponseWriter, refusal *refuse.Refusal)
	// Reserved reports whether only nodes may set the header of this name.
	Reserved(name string) bool
	// ReadRequest returns the information in a caller's request, and removes the key
	// from its header. It refuses a request that must not be forwarded.
	ReadRequest(r *http.Request) (CallerInfo, *refuse.Refusal)
}

// native is the Dialect with the Wasabibend headers.
type native struct{}

// SetHeaders implements Dialect.
func (native) SetHeaders(header http.Header, info UpstreamInfo) {
	header[chain.HeaderToken] = []string{info.Token}
}

// RequestID implements Dialect.
func (native) RequestID(http.Header) string {
	return ""
}

// ReadResponse implements Dialect.
func (native) ReadResponse(http.Header, *http.Response) ResponseInfo {
	return ResponseInfo{}
}

// Refuse implements Dialect.
func (native) Refuse(w http.ResponseWriter, refusal *refuse.Refusal) {
	refusal.WriteTo(w)
}

// Reserved implements Dialect. It also matches names with an underscore in place of
// a hyphen, because some servers treat both alike.
func (native) Reserved(name string) bool {
	if len(name) < len(chain.Prefix) {
		return false
	}
	return strings.EqualFold(strings.ReplaceAll(name[:len(chain.Prefix)], "_", "-"), chain.Prefix)
}

// ReadRequest implements Dialect. It refuses a request with a key outside of the
// headers for keys, because the key would be forwarded to the upstream, and a
// request with a path that an upstream could interpret as a different one.
func (native) ReadRequest(r *http.Request) (CallerInfo, *refuse.Refusal) {
	if refusal := checkPath(r); refusal != nil {
		return CallerInfo{}, refusal
	}
	key, refusal := extractKey(r)
	if refusal != nil {
		return CallerInfo{}, refusal
	}
	info := CallerInfo{Key: key}
	if ms, err := strconv.ParseInt(r.Header.Get(headerTimeout), 10, 64); err == nil && ms > 0 {
		info.Timeout = time.Duration(ms) * time.Millisecond
	}
	return info, nil
}
