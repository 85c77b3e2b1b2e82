package node

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"
	"github.com/julienschmidt/httprouter"
	"github.com/sourcegraph/conc"

	"github.com/wasabibend/wasabibend/internal/conn/wire"
	"github.com/wasabibend/wasabibend/internal/process/member"
)

// pathAdopt is the path of the peers' listener at which a node accepts the secret of
// the fleet if it could not read it from the platform's store.
const pathAdopt = "/adopt"

const (
	// offerInterval is the interval at which the secret is offered to dead nodes. It is
	// also the minimum interval between the offers to a node that refuses links.
	offerInterval = 500 * time.Millisecond
	// offerPeriod is how long the secret is offered to a node after its death. It
	// is several times as long as a host takes to restart a node.
	offerPeriod = time.Minute
	// offerTimeout limits one offer. It allows for many round trips within an
	// availability zone.
	offerTimeout = 200 * time.Millisecond
)

// offerers is the number of nodes that offer the secret to the same dead node.
const offerers = 2

// maxAdoptionBytes limits the body of an adoption.
const maxAdoptionBytes = 4 << 10

// adoption is the message with which a node of the fleet gives the secret to a node
// that was restarted while the platform does not answer.
type adoption struct {
	// From is the sender's address for peers, at which the restarted node joins.
	From netip.AddrPort
	// Secret is the secret of the fleet.
	Secret string
}

// Check implements wire.Checker.
func (a *adoption) Check() error {
	if !a.From.IsValid() || a.Secret == "" {
		return trace.BadParameter("adoption: want an address and a secret")
	}
	return nil
}

// offers records when the secret was offered to nodes that refuse links.
type offers struct {
	mu sync.Mutex
	at map[netip.AddrPort]time.Time
}

func newOffers() *offers {
	return &offers{at: make(map[netip.AddrPort]time.Time)}
}

// begin reports whether the secret may be offered to a node, and records that it is. It
// returns false if the last offer to the node began less than offerInterval ago.
func (o *offers) begin(now time.Time, peer netip.AddrPort) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if now.Sub(o.at[peer]) < offerInterval {
		return false
	}
	for other, at := range o.at {
		if now.Sub(at) >= offerInterval {
			delete(o.at, other)
		}
	}
	o.at[peer] = now
	return true
}

// maxOfferHeaderBytes is the maximum size of the header of the response to an offer.
const maxOfferHeaderBytes = 64 << 10

// newOfferClient returns an HTTP client for offers. They are rare, so that it keeps no
// connections.
func newOfferClient() *http.Client {
	return &http.Client{Timeout: offerTimeout, Transport: &http.Transport{DisableKeepAlives: true, MaxResponseHeaderBytes: maxOfferHeaderBytes}}
}

// linkRefused offers the secret in the background to a node of the fleet that refused a
// link. It has probably been restarted, and the platform does not answer: it lacks the
// secret long before the others take it for dead.
func (n *Node) linkRefused(now time.Time, peer netip.AddrPort) {
	if !n.secretStored || !n.settings.Load().Secret.Known() || n.ctx.Err() != nil {
		return
	}
	if _, member := n.table.Zone(peer); !member || !n.offers.begin(now, peer) {
		return
	}
	n.spawn("offer of the secret", func() { n.offerSecret(n.ctx, newOfferClient(), peer) })
}

// offerSecrets regularly offers the secret of the fleet to nodes of the availability
// zone that died recently. Such a node may have been restarted while the platform
// does not answer, and then it can neither read the secret nor find other nodes. It
// does nothing if the secret is in the settings.
func (n *Node) offerSecrets(ctx context.Context) {
	if !n.secretStored {
		return
	}
	client := newOfferClient()
	for sleep(ctx, offerInterval) {
		if !n.settings.Load().Secret.Known() {
			continue
		}
		var workers conc.WaitGroup
		for _, r := range n.table.RecentlyDead(time.Now(), n.settings.Load().Zone, offerPeriod) {
			if n.isOfferer(r.Peers) {
				workers.Go(func() { n.offerSecret(ctx, client, r.Peers) })
			}
		}
		workers.Wait()
	}
}

// isOfferer reports whether this node is one of the offerers for a dead node. The
// nodes of the availability zone are ranked by rendezvous hashing, so that each node
// decides without asking others.
func (n *Node) isOfferer(peer netip.AddrPort) bool {
	view := n.table.View()
	rank := func(r member.Record) uint64 { return xxhash.Sum64String(r.Peers.String() + "/" + peer.String()) }
	before := 0
	own := rank(n.table.Self())
	for _, r := range view.Zone(n.settings.Load().Zone, view.Size()) {
		if rank(r) < own {
			before++
		}
	}
	return before < offerers
}

// offerSecret sends the secret to a node that is dead or refuses links. A dead node is
// usually still down, so a failed request is logged at debug level only.
func (n *Node) offerSecret(ctx context.Context, client *http.Client, to netip.AddrPort) {
	body, err := wire.Encode(&adoption{From: n.settings.Load().Peers, Secret: n.settings.Load().Secret.Text()})
	if err != nil {
		n.log.Error().Err(err).Msg("encoding an offer of the secret failed")
		return
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to.String()+pathAdopt, bytes.NewReader(body))
	if err != nil {
		n.log.Error().Err(err).Stringer("Peer", to).Msg("creating a request to offer the secret failed")
		return
	}
	response, err := client.Do(request)
	if err != nil {
		n.log.Debug().Err(err).Stringer("Peer", to).Msg("offering the secret to a node failed")
		return
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusNoContent {
		n.log.Info().Stringer("Peer", to).Msg("gave the secret to a node that started without the platform")
	}
}

// handleAdopt accepts the secret of the fleet from another node and joins at that
// node, unless the secret is known already or is configured in the settings. It
// refuses at the first start of the whole fleet, when no node can have the secret.
func (n *Node) handleAdopt(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	settings := n.settings.Load()
	if settings.Secret.Known() || settings.FirstStart || !n.secretStored {
		http.Error(w, "the secret is known", http.StatusConflict)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxAdoptionBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	var received adoption
	if err := wire.Decode(body, &received); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := settings.Secret.Set(received.Secret); err != nil {
		http.Error(w, trace.UserMessage(err), http.StatusBadRequest)
		return
	}
	n.log.Info().Stringer("From", received.From).Msg("got the secret from another node, as the platform does not answer")
	w.WriteHeader(http.StatusNoContent)
	n.spawn("join", func() {
		ctx, cancel := context.WithTimeout(n.ctx, joinTimeout)
		defer cancel()
		if err := n.agent.Join(ctx, received.From); err != nil {
			n.log.Warn().Err(err).Stringer("Peer", received.From).Msg("joining at a peer failed")
		}
	})
}
