package node

import (
	"context"
	cryptorand "crypto/rand"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/gravitational/trace"

	"github.com/wasabibend/wasabibend/internal/conn/fleet"
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

// errSecretUnreadable means that the store has a secret that cannot be read.
var errSecretUnreadable = errors.New("the secret in the platform's store cannot be read")

// obtainSecret waits until the secret of the fleet is known. If it is not in the
// settings, the node reads it from the platform's store, with exponential backoff
// between the attempts; meanwhile another node may supply it.
func (n *Node) obtainSecret(ctx context.Context) {
	createAt := time.Now()
	if n.settings.Load().FirstStart {
		createAt = createAt.Add(rand.N(secretSpread))
	}
	backoff := minBackoff
	logged := false
	for ctx.Err() == nil && !n.settings.Load().Secret.Known() {
		found, err := n.readSecret(ctx, !time.Now().Before(createAt))
		if unreadable := errors.Is(err, errSecretUnreadable); !unreadable {
			n.logStoreState(err)
		} else if !logged {
			logged = true
			n.log.Error().Err(err).Msg("waiting for a node that knows the secret to store it again")
		}
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
// readSecret does that only if create is set. It never replaces a secret that cannot be
// read, even if create is set: nodes may run with it, and would be cut off from those with
// another one. Only a node that knows the secret does, in repairSecret.
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
	text, err := decodeSecret(object.Value)
	if err != nil {
		return false, fmt.Errorf("%w: %w", errSecretUnreadable, err)
	}
	return true, trace.Wrap(n.settings.Load().Secret.Set(text))
}

// decodeSecret returns the text of a stored secret, which must be a valid one.
func decodeSecret(value []byte) (string, error) {
	var stored kinds.Secret
	if err := kinds.Decode(value, &stored); err != nil {
		return "", trace.Wrap(err)
	}
	return stored.Text, trace.Wrap(new(fleet.Secret).Set(stored.Text))
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

// repairSecret stores the secret again if the one in the platform's store cannot be read.
// The write is conditional on the version of what it replaces, and a secret that can be
// read stays.
func (n *Node) repairSecret(ctx context.Context) {
	secret := n.settings.Load().Secret
	if !n.secretStored || !secret.Known() {
		return
	}
	object, err := n.store.Get(ctx, kinds.SecretKey, store.WithStale())
	if errors.Is(err, store.ErrNotFound) {
		return // the read is stale, or the store was restored, which restoreSecret handles
	}
	n.logStoreState(err)
	if err != nil {
		return
	}
	if _, err := decodeSecret(object.Value); err == nil {
		return
	}
	value, err := kinds.Encode(&kinds.Secret{Text: secret.Text()})
	if err != nil {
		n.log.Error().Err(err).Msg("encoding the secret failed")
		return
	}
	if _, err := n.store.Put(ctx, kinds.SecretKey, value, object.Version); err != nil {
		n.log.Warn().Err(err).Msg("replacing a secret that cannot be read failed")
		return
	}
	n.log.Warn().Msg("stored the fleet's secret again, as the one in the store could not be read")
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
