// Package heads checks the heads of responses for what net/http accepts although
// HTTP does not allow it.
package heads

import (
	"fmt"
	"net/http"
)

// Check returns an error if the head of a response, final or interim, is broken. Neither its
// fields nor what follows it may be believed then.
func Check(response *http.Response) error {
	if response.StatusCode < http.StatusContinue {
		return fmt.Errorf("the status of the answer is %03d: want 100 or more", response.StatusCode)
	}
	return nil
}
