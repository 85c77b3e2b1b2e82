// Package fleet authenticates the nodes of a fleet to each other. A node proves
// with an HMAC that it knows the fleet's shared secret.
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

// Header is the HTTP header with the proof that the sender knows the secret.
const Header = "Wasabibend-Fleet"

// MinSecretBytes is the minimum length of a secret in bytes.
const MinSecretBytes = 16

// proofBytes is the length to which the HMAC is truncated. This keeps the header
// short, as a proof goes with each call between nodes.
const proofBytes = 16

// Secret is the secret shared by all nodes. A node may start without it and learn
// it later. It is safe for concurrent use.
type Secret struct {
	secret atomic.Pointer[[]byte] // nil until the secret is known
}

// NewSecret returns a known Secret. Its text must have at least MinSecretBytes.
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

// Text returns the secret, or an empty string while it is not known.
func (s *Secret) Text() string {
	secret := s.secret.Load()
	if secret == nil {
		return ""
	}
	return string(*secret)
}

// Proof returns the proof to send to the node at an address, or an empty string
// while the secret is not known. The proof is valid for that address only.
func (s *Secret) Proof(to netip.AddrPort) string {
	secret := s.secret.Load()
	if secret == nil {
		return ""
	}
	mac := hmac.New(sha256.New, *secret)
	mac.Write([]byte(to.String()))
	return base64.RawURLEncoding.EncodeToString(mac.Sum(nil)[:proofBytes])
}

// Set sets the secret, which must have at least MinSecretBytes.
func (s *Secret) Set(text string) error {
	if len(text) < MinSecretBytes {
		return trace.BadParameter("the secret has %d characters: want at least %d", len(text), MinSecretBytes)
	}
	secret := []byte(text)
	s.secret.Store(&secret)
	return nil
}

// Verify reports whether a request's header has the expected proof. An empty
// proof, as Secret.Proof returns while the secret is not known, is never valid.
func Verify(header http.Header, proof string) bool {
	return proof != "" && hmac.Equal([]byte(header.Get(Header)), []byte(proof))
}
