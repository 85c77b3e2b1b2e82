// Package admin defines the paths and messages of a node's administration listener and
// of its listener for the upstream on its host, and a client for the former.
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
	// PathAnnounce receives the announcements of the upstream on the node's host.
	PathAnnounce = "/.wasabibend/announce"
	// PathMetrics shows a node's metrics.
	PathMetrics = "/metrics"
	// PathReady responds with status 200 if the node accepts requests, and with 503
	// otherwise.
	PathReady = "/ready"
	// PathStatus shows a node's status.
	PathStatus = "/status"
)

// ColdUnknown is the value of Announcement.Cold if it is unknown whether the upstream is
// cold.
const ColdUnknown time.Duration = -1

// Announcement is the message by which an upstream announces itself to the node on its
// host. The upstream must repeat it; if none arrives for the time set in the node's
// settings, the node treats the upstream as absent.
type Announcement struct {
	// Address is where the upstream accepts requests.
	Address netip.AddrPort
	// Born is when the upstream started, zero for unknown. The node ignores
	// announcements of an earlier start.
	Born time.Time
	// Cold is how much longer the upstream is cold and takes only the requests that the
	// catalog states for that, 0 for a warm upstream and ColdUnknown if unknown.
	Cold time.Duration `json:",omitempty"`
	// Draining is set if the upstream accepts no new requests.
	Draining bool
	// Instance identifies this start of the upstream, empty for unknown. Without it the
	// node checks neither Born nor Sequence.
	Instance string
	// Sequence increases with each announcement of one start, 0 for unknown. The node
	// ignores an announcement whose number is not higher than that of the last one.
	Sequence uint64
	// Service is the name of the upstream's service.
	Service string
	// Slots is the number of requests that the upstream processes at a time, 0 for
	// unknown.
	Slots int
}

// Check returns an error that names the first invalid field.
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

// Member is what a node knows about another node.
type Member struct {
	Health    string
	Peers     netip.AddrPort
	Readiness string
	Service   string
	Zone      string
}

// Status is the state of a node, as PathStatus shows it.
type Status struct {
	// AgeMS is the time in milliseconds since Revision was last known to be the
	// platform's current one, -1 for never.
	AgeMS int64
	// Allocators are the numbers of the shards whose rate allocators the node holds.
	Allocators []int
	// Catalog is the version of the catalog in force, 0 for none.
	Catalog uint64 `json:",omitempty"`
	// Cold is how much longer the upstream is taken to be cold, 0 if it is warm.
	Cold time.Duration `json:",omitempty"`
	// Era is the era of the platform's store to which Revision belongs.
	Era uint64 `json:",omitempty"`
	// Evacuated tells since when the node knows that an availability zone is evacuated, by
	// the zone's name.
	Evacuated map[string]time.Time `json:",omitempty"`
	InFlight  int
	Leaving   bool
	Limit     int
	// MaxRate is the number of requests per second that the upstream takes by its last
	// response, 0 if it names none.
	MaxRate   float64 `json:",omitempty"`
	Members   []Member
	Peers     netip.AddrPort
	Readiness string
	// Problems are the values of the catalog in force that could not be applied as they are,
	// each with its entry and what counts instead.
	Problems []string `json:",omitempty"`
	// Refusals are the numbers of refusals by cause.
	Refusals map[string]int64
	// Rejected is the number of versions of objects that could not be decoded.
	Rejected int
	// Revision is the revision of the configuration in force. A store that was restored
	// from an older copy assigns revisions again, in a later era.
	Revision uint64
	Service  string
	// Settings tells which version of the settings file is in force.
	Settings Settings
	Version  string
	Waiting  int
	Zone     string
}

// Settings is the state of a node's settings.
type Settings struct {
	// Digest is a hash of those settings in force that all nodes of a fleet should have
	// in common.
	Digest string
	// LoadedAt is when the settings in force were read.
	LoadedAt time.Time
	// Pending are the names of changed settings that take effect only after a restart.
	Pending []string `json:",omitempty"`
	// Rejected is the error of a later version of the settings file that is not valid,
	// empty if there is none.
	Rejected string `json:",omitempty"`
}

// Client gets the status of nodes.
type Client struct {
	http *http.Client
}

// NewClient returns a Client whose calls have the given timeout.
func NewClient(timeout time.Duration) *Client {
	return &Client{http: &http.Client{Timeout: timeout}}
}

// Status returns the status of the node whose administration listener has the given
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
		return nil, trace.Errorf("%v responds with status %s", address, response.Status)
	}
	var status Status
	if err := json.NewDecoder(response.Body).Decode(&status); err != nil {
		return nil, trace.Wrap(err)
	}
	return &status, nil
}
