package kinds

import (
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"
)

// PrefixCrashes is the prefix of the store keys of Crashes.
const PrefixCrashes = Root + "Crashes/"

// maxCrashEntries is the maximum number of entries of a Crashes.
const maxCrashEntries = 4096

// Crashes are the requests that have crashed upstreams of an availability zone. They are
// kept in the store for nodes that start when no other node is left that knows them.
type Crashes struct {
	Zone string
	// Cleared are the requests that were quarantined and have succeeded since.
	Cleared []CrashEntry `json:",omitempty"`
	// Quarantined are the requests that are refused.
	Quarantined []CrashEntry `json:",omitempty"`
	// Suspects are the requests that were in flight at a crash.
	Suspects []CrashEntry `json:",omitempty"`
}

// Check returns an error if the zone is not valid or if there are too many entries. Entries
// that cannot be read are left to the reader, which skips them.
func (o *Crashes) Check() error {
	if o.Zone == "" || strings.Contains(o.Zone, "/") {
		return trace.BadParameter("Crashes: want a zone without a slash")
	}
	if n := len(o.Cleared) + len(o.Quarantined) + len(o.Suspects); n > maxCrashEntries {
		return trace.BadParameter("Crashes: %d entries, want at most %d", n, maxCrashEntries)
	}
	return nil
}

// CrashEntry is one request of a Crashes.
type CrashEntry struct {
	// Fingerprint identifies the request, in hexadecimal digits, as JSON numbers lose digits.
	Fingerprint string
	// Until is when the entry ends.
	Until time.Time
}

// NewCrashEntry returns the entry of a fingerprint.
func NewCrashEntry(fingerprint uint64, until time.Time) CrashEntry {
	return CrashEntry{Fingerprint: strconv.FormatUint(fingerprint, 16), Until: until.UTC().Truncate(time.Millisecond)}
}

// Number returns the fingerprint, or false if it cannot be read.
func (e *CrashEntry) Number() (uint64, bool) {
	fingerprint, err := strconv.ParseUint(e.Fingerprint, 16, 64)
	return fingerprint, err == nil
}

// CrashesKey returns the store key of the Crashes of an availability zone.
func CrashesKey(zone string) string {
	return PrefixCrashes + zone
}

// DecodeCrashes decodes the object with the given key, which must be that of its zone.
func DecodeCrashes(key string, value []byte, into *Crashes) error {
	if err := Decode(value, into); err != nil {
		return trace.Wrap(err)
	}
	if CrashesKey(into.Zone) != key {
		return trace.BadParameter("%s: the crashes are of zone %q", key, into.Zone)
	}
	return nil
}
