// Package fleet authenticates nodes to each other with the secret that they
// share.
package fleet

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"net/http"
	"net/netip"
	"sync/atomic"

	"github.com/gravitational/trace"
)

// Header carries the proof that the sender knows the secret.
const Header = "Wasabibend-Fleet"

// MinSecret is the least length of a secret in bytes.
const MinSecret = 16

// proofBytes is the length of a proof, which goes with each call between nodes.
const proofBytes = 16

// Secret is the secret shared by all nodes. It may become known after the node
// has started.
type Secret struct {
	secret atomic.Pointer[[]byte] // nil for not known yet
}

// NewSecret returns the Secret of a text.
func NewSecret(text string) (*Secret, error) {
	s := &Secret{}
	if err := s.Set(text); err != nil {
		return nil, trace.Wrap(err)
	}
	return s, nil
}

// Known reports whether the secret is known.
func (s *Secret) Known() bool {
	return s.secret.Load() != nil
}

// Text returns the secret, empty while it is not known.
func (s *Secret) Text() string {
	secret := s.secret.Load()
	if secret == nil {
		return ""
	}
	return string(*secret)
}

// Proof returns the proof to send to the node at an address, empty while the
// secret is not known.
func (s *Secret) Proof(to netip.AddrPort) string {
	secret := s.secret.Load()
	if secret == nil {
		return ""
	}
	mac := hmac.New(sha256.New, *secret)
	mac.Write([]byte(to.String()))
	return base64.RawURLEncoding.EncodeToString(mac.Sum(nil)[:proofBytes])
}

// Set makes the secret known.
func (s *Secret) Set(text string) error {
	if len(text) < MinSecret {
		return trace.BadParameter("the secret has %d characters: want at least %d", len(text), MinSecret)
	}
	secret := []byte(text)
	s.secret.Store(&secret)
	return nil
}

// Verify reports whether a request's header has the expected proof, which is
// empty while the secret is not known.
func Verify(header http.Header, proof string) bool {
	return proof != "" && hmac.Equal([]byte(header.Get(Header)), []byte(proof))
}
