// Package heads checks the heads of responses for what net/http accepts although
// HTTP does not allow it.
package heads

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
)

// Check returns an error if the head of a response, final or interim, is broken. Neither its
// fields nor what follows it may be believed then.
func Check(response *http.Response) error {
	switch {
	case response.StatusCode < http.StatusContinue:
		return fmt.Errorf("the status of the answer is %03d: want 100 or more", response.StatusCode)
	case response.StatusCode < http.StatusOK && announcesBody(response):
		return errors.New("the interim answer announces a body")
	}
	return nil
}

// announcesBody reports whether the fields of an interim response say that a body follows.
// net/http takes such a body for the next response.
func announcesBody(response *http.Response) bool {
	length := strings.TrimLeft(response.Header.Get("Content-Length"), "0")
	return length != "" || len(response.TransferEncoding) > 0
}
