// Package refuse defines the refusal that callers receive when a request is not
// completed: its cause, whether the request may have run, and when to retry.
package refuse

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// Names of the response headers of a refusal.
const (
	HeaderCause      = "Wasabibend-Refusal"
	HeaderCrashed    = "Wasabibend-Crashed"
	HeaderRan        = "Wasabibend-Ran"
	HeaderRetryAfter = "Wasabibend-Retry-After-Ms"
)

// Cause is the reason why a request was refused.
type Cause string

// Causes of refusals.
const (
	BadAnswer        Cause = "BadAnswer"
	BadRequest       Cause = "BadRequest"
	BodyTooLarge     Cause = "BodyTooLarge"
	ClaimUnreachable Cause = "ClaimUnreachable"
	DeadlineExceeded Cause = "DeadlineExceeded"
	DepthExceeded    Cause = "DepthExceeded"
	Draining         Cause = "Draining"
	Evacuated        Cause = "Evacuated"
	KeyMissing       Cause = "KeyMissing"
	KeyRejected      Cause = "KeyRejected"
	NoConfiguration  Cause = "NoConfiguration"
	NotForCustomer   Cause = "NotForCustomer"
	NoUpstream       Cause = "NoUpstream"
	Overloaded       Cause = "Overloaded"
	Quarantined      Cause = "Quarantined"
	RateExceeded     Cause = "RateExceeded"
	RateUnavailable  Cause = "RateUnavailable"
	Repeated         Cause = "Repeated"
	RetriesExceeded  Cause = "RetriesExceeded"
	RouteUnknown     Cause = "RouteUnknown"
	Shed             Cause = "Shed"
	TokenRejected    Cause = "TokenRejected"
	UpstreamFailed   Cause = "UpstreamFailed"
	UpstreamLimited  Cause = "UpstreamLimited"
)

// statuses are the HTTP status codes of the causes.
var statuses = map[Cause]int{
	BadAnswer:        http.StatusBadGateway,
	BadRequest:       http.StatusBadRequest,
	BodyTooLarge:     http.StatusRequestEntityTooLarge,
	ClaimUnreachable: http.StatusServiceUnavailable,
	DeadlineExceeded: http.StatusGatewayTimeout,
	DepthExceeded:    http.StatusLoopDetected,
	Draining:         http.StatusServiceUnavailable,
	Evacuated:        http.StatusServiceUnavailable,
	KeyMissing:       http.StatusUnauthorized,
	KeyRejected:      http.StatusUnauthorized,
	NoConfiguration:  http.StatusServiceUnavailable,
	NotForCustomer:   http.StatusForbidden,
	NoUpstream:       http.StatusServiceUnavailable,
	Overloaded:       http.StatusServiceUnavailable,
	Quarantined:      http.StatusUnprocessableEntity,
	RateExceeded:     http.StatusTooManyRequests,
	RateUnavailable:  http.StatusServiceUnavailable,
	Repeated:         http.StatusConflict,
	RetriesExceeded:  http.StatusServiceUnavailable,
	RouteUnknown:     http.StatusNotFound,
	Shed:             http.StatusServiceUnavailable,
	TokenRejected:    http.StatusForbidden,
	UpstreamFailed:   http.StatusBadGateway,
	UpstreamLimited:  http.StatusServiceUnavailable,
}

// Ran says whether the refused request may have had effects.
type Ran string

// Values of Ran.
const (
	// MayHaveRun means that an upstream may have received the request, in whole or
	// in part.
	MayHaveRun Ran = "MayHaveRun"
	// NotRun means that no upstream received any byte of the request.
	NotRun Ran = "NotRun"
)

// Refusal is the final response to a request that was not completed.
type Refusal struct {
	Cause Cause
	// Crashed is set if the upstream crashed while it processed the request.
	Crashed bool
	Ran     Ran
	// RetryAfter is how long callers should wait before a retry, 0 for unknown.
	RetryAfter time.Duration
	// Detail explains the cause in a short text for people.
	Detail string
}

// New returns a Refusal of a request that did not run. The format and its arguments
// make up the Detail.
func New(cause Cause, retryAfter time.Duration, format string, args ...any) *Refusal {
	return &Refusal{Cause: cause, Ran: NotRun, RetryAfter: retryAfter, Detail: fmt.Sprintf(format, args...)}
}

// Uncertain returns a Refusal of a request that may have run. The format and its
// arguments make up the Detail.
func Uncertain(cause Cause, format string, args ...any) *Refusal {
	return &Refusal{Cause: cause, Ran: MayHaveRun, Detail: fmt.Sprintf(format, args...)}
}

// After sets r.Ran to MayHaveRun if ran is true, that is, if an earlier attempt of the
// request may have run, and returns r.
func (r *Refusal) After(ran bool) *Refusal {
	if ran {
		r.Ran = MayHaveRun
	}
	return r
}

// Parse returns the Refusal in the headers of a response, or nil if the response is
// not a refusal. A value of HeaderRan other than NotRun counts as MayHaveRun.
func Parse(header http.Header) *Refusal {
	cause := Cause(header.Get(HeaderCause))
	if _, ok := statuses[cause]; !ok {
		return nil
	}
	r := &Refusal{Cause: cause, Ran: MayHaveRun, Detail: header.Get("Wasabibend-Detail")}
	if header.Get(HeaderRan) == string(NotRun) {
		r.Ran = NotRun
	}
	r.Crashed = header.Get(HeaderCrashed) != ""
	if ms, err := strconv.ParseInt(header.Get(HeaderRetryAfter), 10, 64); err == nil && ms > 0 {
		r.RetryAfter = time.Duration(ms) * time.Millisecond
	}
	return r
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s (%s): %s", r.Cause, r.Ran, r.Detail)
}

// Status returns the HTTP status code of the refusal, 500 for an unknown cause.
func (r *Refusal) Status() int {
	if status, ok := statuses[r.Cause]; ok {
		return status
	}
	return http.StatusInternalServerError
}

// body is the JSON form of a refusal.
type body struct {
	Cause        Cause
	Ran          Ran
	RetryAfterMS int64
	Detail       string
}

// WriteTo writes the refusal as the whole response. It adds its headers to those that
// are already set. The Retry-After header is rounded up to whole seconds.
func (r *Refusal) WriteTo(w http.ResponseWriter) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(HeaderCause, string(r.Cause))
	h.Set(HeaderRan, string(r.Ran))
	if r.Detail != "" {
		h.Set("Wasabibend-Detail", r.Detail)
	}
	if r.Crashed {
		h.Set(HeaderCrashed, "1")
	}
	if r.RetryAfter > 0 {
		seconds := (r.RetryAfter + time.Second - 1) / time.Second
		h.Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
		h.Set(HeaderRetryAfter, strconv.FormatInt(r.RetryAfter.Milliseconds(), 10))
	}
	data, err := json.Marshal(body{Cause: r.Cause, Ran: r.Ran, RetryAfterMS: r.RetryAfter.Milliseconds(), Detail: r.Detail})
	if err != nil {
		data = []byte("{}")
	}
	data = append(data, '\n')
	h.Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(r.Status())
	_, _ = w.Write(data)
}
