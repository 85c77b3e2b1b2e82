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

// Names of request headers, and the scheme of a key in Authorization.
const (
	headerIdempotency = "Idempotency-Key"
	headerKey         = chain.Prefix + "Key"
	headerTimeout     = chain.Prefix + "Timeout-Ms"
	headerUserAgent   = "User-Agent"
	bearerPrefix      = "Bearer "
)

// noUserAgent prevents net/http from adding its default User-Agent.
var noUserAgent = []string{""}

// hopByHop are the headers that apply to a single connection and are not
// forwarded.
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

// forwardHeader returns a copy of a header without hop-by-hop headers and without
// those that only nodes may set.
func (r *Relay) forwardHeader(header http.Header) http.Header {
	named := connectionHeaders(header)
	out := make(http.Header, len(header)+4)
	for name, values := range header {
		if hopByHop[name] || named[name] || r.Dialect.Reserved(name) || (native{}).Reserved(name) {
			continue
		}
		out[name] = values
	}
	return out
}

// forwardRequestHeader returns a copy of a request's header to forward. A request
// without a User-Agent is sent without one.
func (r *Relay) forwardRequestHeader(header http.Header) http.Header {
	out := r.forwardHeader(header)
	if _, ok := out[headerUserAgent]; !ok {
		out[headerUserAgent] = noUserAgent
	}
	return out
}

// connectionHeaders returns the names of the headers that the Connection header
// lists, which are hop-by-hop too.
func connectionHeaders(header http.Header) map[string]bool {
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

// extractKey returns the key of a request, empty for none, and removes it from the
// header. A key in any other place would be forwarded to the upstream, so it
// refuses such a request.
func extractKey(r *http.Request) (string, *refuse.Refusal) {
	key := r.Header.Get(headerKey)
	if authorization := r.Header.Get("Authorization"); strings.HasPrefix(authorization, bearerPrefix+kinds.APIKeyPrefix) {
		key = authorization[len(bearerPrefix):]
		r.Header.Del("Authorization")
	}
	r.Header.Del(headerKey)
	user, password, _ := r.BasicAuth()
	if containsKey(user) || containsKey(password) || containsKey(r.URL.Path) || queryContainsKey(r.URL.RawQuery) || headerContainsKey(r.Header) {
		return "", refuse.New(refuse.BadRequest, 0, "a key may only stand in Authorization or "+headerKey)
	}
	return key, nil
}

// containsKey reports whether a text contains the prefix of keys.
func containsKey(text string) bool {
	return strings.Contains(text, kinds.APIKeyPrefix)
}

// queryContainsKey reports whether a query contains a key, escaped or not. A query
// that cannot be unescaped counts as containing one.
func queryContainsKey(query string) bool {
	if query == "" {
		return false
	}
	plain, err := url.QueryUnescape(query)
	return err != nil || containsKey(plain) || containsKey(query)
}

// headerContainsKey reports whether a name or a value of a header contains a key.
func headerContainsKey(header http.Header) bool {
	for name, values := range header {
		if strings.Contains(strings.ToLower(name), kinds.APIKeyPrefix) {
			return true
		}
		for _, value := range values {
			if containsKey(value) || (strings.Contains(value, "%") && queryContainsKey(value)) {
				return true
			}
		}
	}
	return false
}

// checkPath refuses a path that an upstream could interpret as a different one.
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

// forwardedTrailer returns a header with the names of the trailers to forward, nil
// for none. Their values arrive after the body; copyTrailer adds them.
func forwardedTrailer(trailer http.Header) http.Header {
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

// copyTrailer copies the values of the trailers whose names are in to. It omits
// values that contain a key.
func copyTrailer(to, from http.Header) {
	for name := range to {
		for _, value := range from[name] {
			if !containsKey(value) {
				to[name] = append(to[name], value)
			}
		}
	}
}
