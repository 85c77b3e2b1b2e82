// Package admin defines the answers of a node's administration listener and of
// its listener for the upstream on its host, and a client of the former.
package admin

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"time"

	"github.com/gravitational/trace"
)

// Paths of the listeners.
const (
	// PathAnnounce is where the upstream on a node's host announces itself.
	PathAnnounce = "/.wasabibend/announce"
	// PathMetrics shows a node's metrics.
	PathMetrics = "/metrics"
	// PathReady tells by its status whether a node takes requests.
	PathReady = "/ready"
	// PathStatus shows a node's status.
	PathStatus = "/status"
)

// Announcement is what an upstream tells the node on its host. It is repeated;
// an upstream that was silent for long is taken as gone.
type Announcement struct {
	// Address is where the upstream takes requests.
	Address netip.AddrPort
	// Born is when the upstream started, zero for unknown. Of two starts the
	// later one counts.
	Born time.Time
	// Draining tells that the upstream takes no new requests.
	Draining bool
	// Instance identifies the start of the upstream, empty for unknown.
	Instance string
	// Sequence rises with each announcement of a start, 0 for unknown.
	Sequence uint64
	// Service is the name of the upstream's service.
	Service string
	// Slots is the number of requests that the upstream works on at a time, 0
	// for unknown.
	Slots int
}

// Check returns an error if the announcement is not valid.
func (a *Announcement) Check() error {
	if !a.Address.IsValid() || a.Address.Port() == 0 {
		return trace.BadParameter("Address: want an IP address and port")
	}
	if a.Service == "" || len(a.Service) > 64 {
		return trace.BadParameter("Service: want a name of at most 64 bytes")
	}
	if a.Slots < 0 || len(a.Instance) > 256 {
		return trace.BadParameter("Slots and Instance: want 0 or more, and at most 256 bytes")
	}
	return nil
}

// Member is a node as another one sees it.
type Member struct {
	Health    string
	Peers     netip.AddrPort
	Readiness string
	Service   string
	Zone      string
}

// Status is the state of a node.
type Status struct {
	// AgeMS is how long ago the revision was known to be the platform's current
	// one, -1 for never.
	AgeMS int64
	// Allocators are the shards whose allocators the node holds.
	Allocators []int
	InFlight   int
	Leaving    bool
	Limit      int
	Members    []Member
	Peers      netip.AddrPort
	Readiness  string
	// Refusals are counted by cause.
	Refusals map[string]int64
	// Rejected is the number of versions of objects that did not decode.
	Rejected int
	// Revision is the configuration's revision in force.
	Revision uint64
	Service  string
	Version  string
	Waiting  int
	Zone     string
}

// Client asks nodes for their status.
type Client struct {
	http *http.Client
}

// NewClient returns a Client with a timeout for each call.
func NewClient(timeout time.Duration) *Client {
	return &Client{http: &http.Client{Timeout: timeout}}
}

// Status returns the status of the node whose administration listener has an
// address.
func (c *Client) Status(ctx context.Context, address netip.AddrPort) (*Status, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address.String()+PathStatus, nil)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, trace.ConnectionProblem(err, "%v does not answer", address)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, trace.Errorf("%v answers %s", address, response.Status)
	}
	var status Status
	if err := json.NewDecoder(response.Body).Decode(&status); err != nil {
		return nil, trace.Wrap(err)
	}
	return &status, nil
}
