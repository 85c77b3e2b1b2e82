package setup

import (
	"encoding/hex"
	"encoding/json"
	"net/netip"
	"reflect"

	"github.com/cespare/xxhash/v2"
)

// Digest returns a short hash of the settings that all nodes of a fleet should have in
// common. Addresses, names and the secret of the node are left out, so that two nodes
// with different digests have taken different versions of the fleet's settings.
func (s *Settings) Digest() string {
	shared := *s
	shared.Admin, shared.Callers, shared.Peers, shared.PeersBind = netip.AddrPort{}, netip.AddrPort{}, netip.AddrPort{}, netip.AddrPort{}
	shared.Ready, shared.Server, shared.Upstream = netip.AddrPort{}, netip.AddrPort{}, netip.AddrPort{}
	shared.FirstStart = false
	shared.Secret = nil
	shared.Service, shared.Zone = "", ""
	shared.Source = netip.Addr{}
	// A Settings without a Secret has only fields that can be encoded.
	data, err := json.Marshal(&shared)
	if err != nil {
		return ""
	}
	sum := xxhash.New()
	_, _ = sum.Write(data)
	return hex.EncodeToString(sum.Sum(nil))[:digestDigits]
}

// digestDigits is the length of a digest in hexadecimal digits. Chance makes the digests
// of two versions equal once in 16 million.
const digestDigits = 6

// ChangedFields returns the names of the fields in which two settings differ, except for
// the secret and FirstStart, in the order of their declaration.
func (s *Settings) ChangedFields(other *Settings) []string {
	var names []string
	a, b := reflect.ValueOf(*s), reflect.ValueOf(*other)
	for i := range a.NumField() {
		name := a.Type().Field(i).Name
		if name == "FirstStart" || name == "Secret" {
			continue
		}
		if !reflect.DeepEqual(a.Field(i).Interface(), b.Field(i).Interface()) {
			names = append(names, name)
		}
	}
	return names
}
