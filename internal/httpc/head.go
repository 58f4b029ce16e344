package httpc

import (
	"net/http"
	"strings"

	"shallotcourse/internal/fault"
)

// statusAt is the position of the status in the first line of a response.
const statusAt = len("HTTP/1.1 ")

// headScanner reads the heads of the response to one request as they arrive, those of
// interim responses too. It finds field names that begin with a blank or a line feed,
// which are lost in parsing: net/http joins a line that begins with a blank to the line
// before, as RFC 9112 (5.2) allows, and takes an empty line with any line end for the
// end of the head.
type headScanner struct {
	// status holds the digits of the status that have been read.
	status [3]byte
	// lines is the number of lines that have ended, column that of the bytes of the
	// current one.
	lines, column int
	// last is the last byte of the current line, if it has any.
	last byte
	// crlf is true if the status line ended with a carriage return and a line feed.
	crlf bool
	// done is true after the head of the final response.
	done bool
}

// scan reads the next bytes of a response. It fails at a field name that begins with a
// blank or a line feed.
func (h *headScanner) scan(b []byte) error {
	for _, c := range b {
		if h.done {
			return nil
		}
		if c == '\n' {
			if err := h.endLine(); err != nil {
				return err
			}
			continue
		}
		switch i := h.column - statusAt; {
		case h.lines > 0 && h.column == 0 && (c == ' ' || c == '\t'):
			return malformed("line %d of the response's head begins with a blank", h.lines+1)
		case h.lines == 0 && i >= 0 && i < len(h.status):
			h.status[i] = c
		}
		h.column++
		h.last = c
	}
	return nil
}

// endLine ends a line, and the head if the line is empty.
func (h *headScanner) endLine() error {
	crlf := h.column > 0 && h.last == '\r'
	empty := h.column == 0 || h.column == 1 && crlf
	switch {
	case h.lines == 0:
		h.crlf = crlf
	case empty && h.crlf && !crlf:
		return malformed("line %d of the response's head begins with a line feed", h.lines+1)
	case empty && h.status[0] == '1' && string(h.status[:]) != "101":
		*h = headScanner{}
		return nil
	case empty:
		h.done = true
	}
	h.lines++
	h.column = 0
	return nil
}

// checkHead fails if the head of a response is not that of an answer.
func checkHead(resp *http.Response) error {
	// net/http accepts all numbers of three characters. It skips interim responses, but
	// returns 101, which no client of this package requests.
	if resp.StatusCode < http.StatusOK {
		return malformed("response has the status %.10q", resp.Status)
	}
	return CheckNames(resp.Header)
}

// CheckNames fails with the outcome Unknown if the name of a field holds a blank, which
// net/http accepts, unlike control bytes. Such a field may be meant to say where the body
// ends.
func CheckNames(h http.Header) error {
	for name := range h {
		if strings.Contains(name, " ") {
			return malformed("response has a field with the name %.40q", name)
		}
	}
	return nil
}

// malformed returns the error for a response that is not well-formed. Its code is that
// of a lost connection, since the request may be tried elsewhere.
func malformed(format string, args ...any) error {
	return fault.Newf(fault.Unavailable, format, args...).WithOutcome(fault.Unknown)
}
