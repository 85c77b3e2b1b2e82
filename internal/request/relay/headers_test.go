package relay

import (
	"bufio"
	"fmt"
	"net/http"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/txtar"
	"gotest.tools/v3/assert"
)

// TestHeaders reads each request of testdata/headers.txtar and compares the header
// that is forwarded to the upstream, or the refusal, with the file that follows it.
func TestHeaders(t *testing.T) {
	archive, err := txtar.ParseFile(filepath.Join("testdata", "headers.txtar"))
	assert.NilError(t, err)
	for i := 0; i+1 < len(archive.Files); i += 2 {
		t.Run(archive.Files[i].Name, func(t *testing.T) {
			text := strings.ReplaceAll(string(archive.Files[i].Data), "\n", "\r\n") + "\r\n"
			request, err := http.ReadRequest(bufio.NewReader(strings.NewReader(text)))
			assert.NilError(t, err)
			assert.Equal(t, describeForwarded(request), string(archive.Files[i+1].Data))
		})
	}
}

// describeForwarded returns the key of a request and the header that is forwarded, or
// the refusal.
func describeForwarded(request *http.Request) string {
	if refusal := checkPath(request); refusal != nil {
		return refusal.Error() + "\n"
	}
	key, refusal := extractKey(request)
	if refusal != nil {
		return refusal.Error() + "\n"
	}
	var out strings.Builder
	fmt.Fprintf(&out, "key %q\n", key)
	header := New(Options{}).forwardHeader(request.Header)
	names := make([]string, 0, len(header))
	for name := range header {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		fmt.Fprintf(&out, "%s: %s\n", name, strings.Join(header[name], ", "))
	}
	return out.String()
}
