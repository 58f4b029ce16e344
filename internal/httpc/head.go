package httpc

import (
	"net/http"

	"shallotcourse/internal/fault"
)

// checkHead fails if the head of a response is not that of an answer.
func checkHead(resp *http.Response) error {
	// net/http accepts all numbers of three characters. It skips interim responses, but
	// returns 101, which no client of this package requests.
	if resp.StatusCode < http.StatusOK {
		return malformed("response has the status %.10q", resp.Status)
	}
	return nil
}

// malformed returns the error for a response that is not well-formed. Its code is that
// of a lost connection, since the request may be tried elsewhere.
func malformed(format string, args ...any) error {
	return fault.Newf(fault.Unavailable, format, args...).WithOutcome(fault.Unknown)
}
