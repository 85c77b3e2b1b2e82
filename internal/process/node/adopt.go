package node

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"
	"github.com/julienschmidt/httprouter"
	"github.com/sourcegraph/conc"

	"github.com/wasabibend/wasabibend/internal/conn/wire"
	"github.com/wasabibend/wasabibend/internal/process/member"
)

// pathAdopt is the path of the peers' listener at which a node that started
// without the platform gets the secret of the fleet.
const pathAdopt = "/adopt"

// Times of adoptions.
const (
	// adoptPoll is how often nodes that went are looked for.
	adoptPoll = 500 * time.Millisecond
	// adoptTime is how long a node is looked for after it went: some times as long
	// as a host takes to start it again.
	adoptTime = time.Minute
	// adoptTimeout bounds one try: many round trips within an availability zone.
	adoptTimeout = 200 * time.Millisecond
)

// adopters is the number of nodes that look for one that went.
const adopters = 2

// maxAdoption bounds the body of an adoption in bytes.
const maxAdoption = 4 << 10

// adoption is what a node that started without the platform is given.
type adoption struct {
	// From is the peers' address of a node at which it can join.
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

// adopt looks for nodes of the availability zone that went and may have started
// again while the platform does not answer. Such a node can neither read the
// secret of the fleet nor find the others by itself.
func (n *Node) adopt(ctx context.Context) {
	if !n.secretStored {
		return
	}
	client := &http.Client{Timeout: adoptTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	for sleep(ctx, adoptPoll) {
		if !n.settings.Load().Secret.Known() {
			continue
		}
		var workers conc.WaitGroup
		for _, r := range n.table.Gone(time.Now(), n.settings.Load().Zone, adoptTime) {
			if n.adopts(r.Peers) {
				workers.Go(func() { n.offer(ctx, client, r.Peers) })
			}
		}
		workers.Wait()
	}
}

// adopts reports whether the node is one of those that look for a node.
func (n *Node) adopts(peer netip.AddrPort) bool {
	view := n.table.View()
	rank := func(r member.Record) uint64 { return xxhash.Sum64String(r.Peers.String() + "/" + peer.String()) }
	before := 0
	own := rank(n.table.Self())
	for _, r := range view.Zone(n.settings.Load().Zone, view.Size()) {
		if rank(r) < own {
			before++
		}
	}
	return before < adopters
}

// offer gives the secret to a node that went. Mostly nobody answers.
func (n *Node) offer(ctx context.Context, client *http.Client, to netip.AddrPort) {
	body, err := wire.Encode(&adoption{From: n.settings.Load().Peers, Secret: n.settings.Load().Secret.Text()})
	if err != nil {
		n.log.Error().Err(err).Msg("an adoption cannot be encoded")
		return
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to.String()+pathAdopt, bytes.NewReader(body))
	if err != nil {
		n.log.Error().Err(err).Stringer("Peer", to).Msg("an adoption cannot be sent")
		return
	}
	response, err := client.Do(request)
	if err != nil {
		n.log.Debug().Err(err).Stringer("Peer", to).Msg("a node that went does not answer")
		return
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusNoContent {
		n.log.Info().Stringer("Peer", to).Msg("gave the secret to a node that started without the platform")
	}
}

// handleAdopt takes the secret of the fleet from another node, if the platform has
// not told it. Where the whole fleet starts for the first time nobody can have it.
func (n *Node) handleAdopt(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	settings := n.settings.Load()
	if settings.Secret.Known() || settings.FirstStart || !n.secretStored {
		http.Error(w, "the secret is known", http.StatusConflict)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxAdoption))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	var given adoption
	if err := wire.Decode(body, &given); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := settings.Secret.Set(given.Secret); err != nil {
		http.Error(w, trace.UserMessage(err), http.StatusBadRequest)
		return
	}
	n.log.Info().Stringer("From", given.From).Msg("got the secret from another node, as the platform does not answer")
	w.WriteHeader(http.StatusNoContent)
	n.background.Go(func() {
		ctx, cancel := context.WithTimeout(n.ctx, joinTimeout)
		defer cancel()
		if err := n.agent.Join(ctx, given.From); err != nil {
			n.log.Warn().Err(err).Stringer("Peer", given.From).Msg("peer did not let the node join")
		}
	})
}
