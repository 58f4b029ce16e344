package link

import (
	"errors"
	"strings"

	"github.com/gorilla/websocket"

	"shallotcourse/internal/fault"
)

const (
	// closeCode is the WebSocket close code of all typed reasons; it is in the
	// range for private use. The close text is "Code: detail".
	closeCode = 4000

	// maxCloseText keeps the close frame within the 125 bytes that RFC 6455
	// allows, two of which hold the code.
	maxCloseText = 120
)

var (
	errSilent    = fault.New(fault.Deadline, "the link was silent for too long")
	errStuck     = fault.New(fault.Deadline, "the peer did not take a frame in time")
	errDown      = fault.New(fault.Unavailable, "the link is down")
	errFull      = fault.New(fault.Overloaded, "the send queue of the link is full")
	errUnwanted  = fault.New(fault.Canceled, "the link is no longer wanted")
	errStopped   = fault.New(fault.Leaving, "the process stops its links")
	errNoHello   = fault.New(fault.Malformed, "the first message is not a valid Hello")
	errHelloLate = fault.New(fault.Deadline, "no Hello arrived in time")
)

// closeText returns the text of a close frame for a reason.
func closeText(reason error) string {
	f := fault.As(reason)
	text := string(f.Code) + ": " + f.Detail
	if len(text) > maxCloseText {
		text = text[:maxCloseText]
	}
	return strings.ToValidUTF8(text, "")
}

// readFailure returns the typed reason for an error of the reader.
func readFailure(err error) error {
	var closed *websocket.CloseError
	if errors.As(err, &closed) && closed.Code == closeCode {
		code, detail, _ := strings.Cut(closed.Text, ": ")
		return fault.New(fault.Code(code), "closed by the peer: "+detail)
	}
	if errors.Is(err, websocket.ErrReadLimit) || websocket.IsCloseError(err, websocket.CloseMessageTooBig) {
		return fault.New(fault.TooLarge, "a frame is over its size limit").WithCause(err)
	}
	var typed *fault.Error
	if errors.As(err, &typed) {
		return typed
	}
	return errDown.WithCause(err)
}
