package relay

import (
	"net/http"
	"net/url"
	"path"
	"strings"

	"github.com/wasabibend/wasabibend/internal/request/chain"
	"github.com/wasabibend/wasabibend/internal/version/kinds"
	"github.com/wasabibend/wasabibend/pkg/refuse"
)

// Forms in which a caller shows its key.
const (
	headerIdempotency = "Idempotency-Key"
	headerKey         = chain.Prefix + "Key"
	headerTimeout     = chain.Prefix + "Timeout-Ms"
	headerUserAgent   = "User-Agent"
	bearer            = "Bearer "
)

// noUserAgent keeps net/http from adding a User-Agent of its own.
var noUserAgent = []string{""}

// hopByHop are the headers that are meant for one connection only.
var hopByHop = map[string]bool{
	"Connection":          true,
	"Expect":              true,
	"Keep-Alive":          true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Proxy-Connection":    true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
}

// forward returns a copy of a header without what is meant for one connection
// and without what only the node sets.
func (r *Relay) forward(header http.Header) http.Header {
	named := connectionNamed(header)
	out := make(http.Header, len(header)+4)
	for name, values := range header {
		if hopByHop[name] || named[name] || r.Dialect.Reserved(name) || (native{}).Reserved(name) {
			continue
		}
		out[name] = values
	}
	return out
}

// forwardRequest returns a copy of a request's header to send on. A request
// without a User-Agent gets none.
func (r *Relay) forwardRequest(header http.Header) http.Header {
	out := r.forward(header)
	if _, ok := out[headerUserAgent]; !ok {
		out[headerUserAgent] = noUserAgent
	}
	return out
}

// connectionNamed returns the names of the headers that Connection lists.
func connectionNamed(header http.Header) map[string]bool {
	values := header["Connection"]
	if len(values) == 0 {
		return nil
	}
	named := make(map[string]bool)
	for _, value := range values {
		for name := range strings.SplitSeq(value, ",") {
			named[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return named
}

// takeKey returns the key that a request shows, empty for none, and removes it
// from the header. A key in any other place would reach the upstream, so such
// a request is refused.
func takeKey(r *http.Request) (string, *refuse.Refusal) {
	key := r.Header.Get(headerKey)
	if authorization := r.Header.Get("Authorization"); strings.HasPrefix(authorization, bearer+kinds.APIKeyPrefix) {
		key = authorization[len(bearer):]
		r.Header.Del("Authorization")
	}
	r.Header.Del(headerKey)
	user, password, _ := r.BasicAuth()
	if holdsKey(user) || holdsKey(password) || holdsKey(r.URL.Path) || queryHoldsKey(r.URL.RawQuery) || headerHoldsKey(r.Header) {
		return "", refuse.New(refuse.BadRequest, 0, "a key may only stand in Authorization or "+headerKey)
	}
	return key, nil
}

func holdsKey(text string) bool {
	return strings.Contains(text, kinds.APIKeyPrefix)
}

func queryHoldsKey(query string) bool {
	if query == "" {
		return false
	}
	plain, err := url.QueryUnescape(query)
	return err != nil || holdsKey(plain) || holdsKey(query)
}

func headerHoldsKey(header http.Header) bool {
	for name, values := range header {
		if strings.Contains(strings.ToLower(name), kinds.APIKeyPrefix) {
			return true
		}
		for _, value := range values {
			if holdsKey(value) || (strings.Contains(value, "%") && queryHoldsKey(value)) {
				return true
			}
		}
	}
	return false
}

// checkPath refuses a path that an upstream could read as another one.
func checkPath(r *http.Request) *refuse.Refusal {
	p := r.URL.Path
	if !strings.HasPrefix(p, "/") {
		return refuse.New(refuse.BadRequest, 0, "the path does not begin with a slash")
	}
	clean := path.Clean(p)
	if len(p) > 1 && strings.HasSuffix(p, "/") {
		clean += "/"
	}
	if clean != p || strings.ContainsAny(p, "\\\x00") || strings.Contains(strings.ToLower(r.URL.RawPath), "%2f") {
		return refuse.New(refuse.BadRequest, 0, "the path is ambiguous")
	}
	return nil
}

// forwardTrailer returns the names of the trailers to pass on.
func forwardTrailer(trailer http.Header) http.Header {
	if len(trailer) == 0 {
		return nil
	}
	out := make(http.Header, len(trailer))
	for name := range trailer {
		if !hopByHop[name] && !(native{}).Reserved(name) {
			out[name] = nil
		}
	}
	return out
}

// fillTrailer copies the values of the trailers to pass on.
func fillTrailer(to, from http.Header) {
	for name := range to {
		for _, value := range from[name] {
			if !holdsKey(value) {
				to[name] = append(to[name], value)
			}
		}
	}
}
