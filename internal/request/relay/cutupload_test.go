package relay

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wasabibend/wasabibend/internal/fakes/steps"
	"github.com/wasabibend/wasabibend/internal/process/member"
	"github.com/wasabibend/wasabibend/internal/request/chain"
)

// Sizes of an upload in TestCutAnswersUnderUpload.
const (
	cutUploadBytes = 600_000
	cutPieceBytes  = 20_000
	cutReadBytes   = 5_000 // read by the upstream's node
)

// TestCutAnswersUnderUpload runs the cases of testdata/cutuploads.csv. It guards against a
// caller with HTTP/1.0 that takes a cut answer for complete: if its connection is reset during
// its upload, a write gets the reset, and its next read finds an orderly end.
func TestCutAnswersUnderUpload(t *testing.T) {
	steps.Cases(t, "testdata/cutuploads.csv", func(t *testing.T, record []string) {
		answer, err := strconv.Unquote(`"` + record[2] + `"`)
		assert.NilError(t, err)
		ended := make(chan struct{})
		node := serveConns(t, func(c net.Conn) {
			defer close(ended)
			defer c.Close()
			answerUpload(c, answer)
		})
		entry := newPatientRelay(t, time.Second, netip.MustParseAddrPort("127.0.0.1:1"), netip.AddrPort{}, member.Record{Health: member.Alive, Incarnation: 1, Peers: node, Readiness: member.Ready, Service: "ledger", Zone: "zone"})
		s := newCallerServer(t, entry)
		conn, err := net.Dial("tcp", s.address)
		assert.NilError(t, err)
		_, err = fmt.Fprintf(conn, "POST /ledger/x %s\r\nHost: x\r\nContent-Length: %d\r\n\r\n", record[1], cutUploadBytes)
		assert.NilError(t, err)
		_, err = conn.Write(make([]byte, cutPieceBytes))
		assert.NilError(t, err)
		<-ended
		var sendErr error
		for sent := cutPieceBytes; sent < cutUploadBytes && sendErr == nil; sent += cutPieceBytes {
			piece := make([]byte, cutPieceBytes)
			if record[3] == "missing" && sent+cutPieceBytes == cutUploadBytes {
				piece = piece[1:]
			}
			time.Sleep(time.Millisecond)
			_, sendErr = conn.Write(piece)
		}
		t.Logf("sending the upload ended with %v", sendErr)
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err == nil {
			var body []byte
			body, err = io.ReadAll(response.Body)
			if record[4] == "" {
				assert.Equal(t, string(body), "whole")
			}
		}
		if record[4] == "" {
			assert.NilError(t, err)
		} else {
			assert.ErrorContains(t, err, record[4])
		}
		assert.NilError(t, conn.Close())
		s.shutdown(t)
	})
}

// answerUpload asks for the body of a request, reads a part of it and answers with chunks.
func answerUpload(c net.Conn, chunks string) {
	request, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	call, err := chain.Decode(request.Header.Get(chain.Header))
	if err != nil {
		return
	}
	if _, err := io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
		return
	}
	if _, err := io.CopyN(io.Discard, request.Body, cutReadBytes); err != nil {
		return
	}
	// The caller's answer is judged, and not whether it could be sent.
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nTransfer-Encoding: chunked\r\n\r\n%s", chain.HeaderAnswer, callID(call), chunks)
}
