package setup

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestDigest guards against a digest that differs between nodes with the same version of
// the fleet's settings, or that is the same for different versions.
func TestDigest(t *testing.T) {
	const base = `[Node]
Zone = a
[Listen]
Admin = 10.0.0.1:1
Callers = 10.0.0.1:2
Peers = 10.0.0.1:3
Upstream = 10.0.0.1:4
[Platform]
URL = http://10.9.9.9:80
[Fleet]
Secret = 0123456789abcdef
Zones = a,b
[Limits]
Drain = 20s
`
	parse := func(text string) *Settings {
		t.Helper()
		s, err := Parse("x.ini", []byte(text))
		assert.NilError(t, err)
		return s
	}
	first := parse(base)
	for _, c := range []struct {
		old, new string
		changed  []string
		same     bool
	}{
		{"Drain = 20s", "Drain = 20s", nil, true},
		{"10.0.0.1:1", "10.0.0.2:1", []string{"Admin"}, true},
		{"Zone = a", "Zone = b", []string{"Zone"}, true},
		{"0123456789abcdef", "fedcba9876543210", nil, true},
		{"Drain = 20s", "Drain = 21s", []string{"Drain"}, false},
		{"Zones = a,b", "Zones = a,b,c", []string{"Zones"}, false},
		{"Drain = 20s", "Drain = 20s\nRetryRatio = 0.3", []string{"RetryRatio"}, false},
	} {
		other := parse(strings.Replace(base, c.old, c.new, 1))
		assert.Equal(t, first.Digest() == other.Digest(), c.same, c.new)
		assert.DeepEqual(t, first.ChangedFields(other), c.changed)
	}
}
