package relay

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wasabibend/wasabibend/internal/process/member"
	"github.com/wasabibend/wasabibend/pkg/refuse"
)

// TestNoAttemptAfterRead guards against a second attempt to send a request whose body has been
// read in part by the first one. It could only be cut, and the caller would be told that the
// request may have run.
func TestNoAttemptAfterRead(t *testing.T) {
	upstream := serveConns(t, func(c net.Conn) {
		defer c.Close()
		request, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		if _, err := io.ReadFull(request.Body, make([]byte, 1)); err != nil {
			return
		}
		_, _ = io.WriteString(c, instantRefusal)
		_, _ = io.Copy(io.Discard, c)
	})
	other := newBodyReader(t, 100<<10)
	self := netip.MustParseAddrPort("127.0.0.1:1")
	entry := newRelay(t, self, upstream)
	entry.Dialect = refusingDialect{}
	entry.Table = member.NewTable(time.Now(), readyRecord(self))
	second := readyRecord(serveConns(t, other.serve))
	second.Zone = "other" // is not chosen first
	entry.Table.Merge(time.Now(), []member.Record{second})
	address := serveHTTP(t, func(w http.ResponseWriter, r *http.Request) { entry.ServeCaller(w, r) })
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+address.String()+"/ledger/x", bytes.NewReader(other.body))
	assert.NilError(t, err)
	response, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	defer response.Body.Close()
	assert.Equal(t, response.Header.Get(refuse.HeaderCause), string(refuse.Shed))
	assert.Equal(t, response.Header.Get(refuse.HeaderRan), string(refuse.NotRun))
	assert.Equal(t, other.calls.Load(), int32(0))
}
