package node

import (
	"context"
	cryptorand "crypto/rand"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/gravitational/trace"

	"github.com/wasabibend/wasabibend/internal/process/store"
	"github.com/wasabibend/wasabibend/internal/version/kinds"
)

const (
	// secretPoll is the mean interval at which nodes look for the secret at the first
	// start of the whole fleet, until it exists.
	secretPoll = 150 * time.Millisecond
	// secretSpread is the maximum random time after which a node creates the secret at
	// the first start of the whole fleet, so that most nodes find it created.
	secretSpread = time.Second
)

// obtainSecret waits until the secret of the fleet is known. If it is not in the
// settings, the node reads it from the platform's store, with exponential backoff
// between the attempts; meanwhile another node may supply it.
func (n *Node) obtainSecret(ctx context.Context) {
	createAt := time.Now()
	if n.settings.Load().FirstStart {
		createAt = createAt.Add(rand.N(secretSpread))
	}
	backoff := minBackoff
	for ctx.Err() == nil && !n.settings.Load().Secret.Known() {
		found, err := n.readSecret(ctx, !time.Now().Before(createAt))
		n.logStoreState(err)
		switch {
		case found:
			return
		case err == nil:
			sleep(ctx, secretPoll/2+rand.N(secretPoll))
		default:
			sleep(ctx, backoff/2+rand.N(backoff))
			backoff = min(backoff*2, maxBackoff)
		}
	}
}

// readSecret reads the secret from the platform's store and reports whether there was
// one. A stale read suffices, because the secret never changes. If it finds none, the
// secret may still exist, which the condition of the write that creates one settles;
// readSecret does that only if create is set.
func (n *Node) readSecret(ctx context.Context, create bool) (found bool, err error) {
	object, err := n.store.Get(ctx, kinds.SecretKey, store.WithStale())
	if errors.Is(err, store.ErrNotFound) {
		if !create {
			return false, nil
		}
		object, err = n.createSecret(ctx)
	}
	if err != nil {
		return false, trace.Wrap(err)
	}
	var secret kinds.Secret
	if err := kinds.Decode(object.Value, &secret); err != nil {
		return false, trace.Wrap(err)
	}
	return true, trace.Wrap(n.settings.Load().Secret.Set(secret.Text))
}

// storeRestored writes again what the node holds by itself and the platform's store, which
// was restored from an older copy, may have lost.
func (n *Node) storeRestored() {
	n.spawn("claims", func() { n.claims.Rewrite(n.ctx) })
}

// restoreSecret stores the secret again if the platform's store, which was restored from
// an older copy, does not have it. A secret that another node created meanwhile is
// replaced, as the fleet uses this one. It retries until that is settled or the context
// ends.
func (n *Node) restoreSecret(ctx context.Context) {
	secret := n.settings.Load().Secret
	if !n.secretStored || !secret.Known() {
		return
	}
	for backoff := minBackoff; ctx.Err() == nil; backoff = min(backoff*2, maxBackoff) {
		err := n.putLostSecret(ctx, secret.Text())
		if err == nil {
			return
		}
		n.log.Warn().Err(err).Msg("storing the secret in the restored store failed")
		sleep(ctx, backoff/2+rand.N(backoff))
	}
}

// putLostSecret stores the secret unless the platform's store has it.
func (n *Node) putLostSecret(ctx context.Context, text string) error {
	object, err := n.store.Get(ctx, kinds.SecretKey)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return trace.Wrap(err)
	}
	var stored kinds.Secret
	if err == nil && kinds.Decode(object.Value, &stored) == nil && stored.Text == text {
		return nil
	}
	value, err := kinds.Encode(&kinds.Secret{Text: text})
	if err != nil {
		return trace.Wrap(err)
	}
	if _, err := n.store.Put(ctx, kinds.SecretKey, value, object.Version); err != nil {
		return trace.Wrap(err)
	}
	n.log.Warn().Msg("stored the fleet's secret again, as the restored store had lost it")
	return nil
}

// createSecret stores a random secret and returns its object. If another node has
// stored one before, it returns that one.
func (n *Node) createSecret(ctx context.Context) (store.Object, error) {
	value, err := kinds.Encode(&kinds.Secret{Text: cryptorand.Text()})
	if err != nil {
		return store.Object{}, trace.Wrap(err)
	}
	version, err := n.store.Put(ctx, kinds.SecretKey, value, 0)
	if errors.Is(err, store.ErrConflict) {
		object, err := n.store.Get(ctx, kinds.SecretKey)
		return object, trace.Wrap(err)
	}
	return store.Object{Key: kinds.SecretKey, Value: value, Version: version}, trace.Wrap(err)
}
