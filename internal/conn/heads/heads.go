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
	return checkNames(response.Header)
}

// announcesBody reports whether the fields of an interim response say that a body follows.
// net/http takes such a body for the next response.
func announcesBody(response *http.Response) bool {
	length := strings.TrimLeft(response.Header.Get("Content-Length"), "0")
	return length != "" || len(response.TransferEncoding) > 0
}

// checkNames returns an error if the name of a field is not a token. net/http accepts names
// with blanks, also in front of the colon, and takes them for others than those without.
func checkNames(header http.Header) error {
	for name := range header {
		if !isToken(name) {
			return fmt.Errorf("%.60q in the answer is not the name of a field", name)
		}
	}
	return nil
}

// isToken reports whether a text is a token as HTTP defines it.
func isToken(text string) bool {
	for i := range len(text) {
		c := text[i]
		isLetterOrDigit := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
		if !isLetterOrDigit && strings.IndexByte("!#$%&'*+-.^_`|~", c) < 0 {
			return false
		}
	}
	return text != ""
}
