package link

import (
	"errors"
	"strings"

	"github.com/gorilla/websocket"

	"shallotcourse/internal/fault"
)

const (
	// closeCode is the WebSocket close code for all typed reasons, from the
	// range for private use. The close text is "Code: detail".
	closeCode = 4000

	// maxCloseText keeps the close frame within the 125 bytes that RFC 6455
	// allows, two of which hold the code.
	maxCloseText = 120
)

var (
	errSilent       = fault.New(fault.Deadline, "no data received on the link within its silence timeout")
	errWriteTimeout = fault.New(fault.Deadline, "timed out writing a frame to the peer")
	errLinkDown     = fault.New(fault.Unavailable, "the link is down")
	errQueueFull    = fault.New(fault.Overloaded, "the send queue of the link is full")
	errUnwanted     = fault.New(fault.Canceled, "the link is no longer wanted")
	errStopped      = fault.New(fault.Leaving, "the process is closing all its links")
	errNoHello      = fault.New(fault.Malformed, "the first message is not a valid Hello")
	errHelloTimeout = fault.New(fault.Deadline, "timed out waiting for Hello")
	errHeadTooLong  = fault.Newf(fault.Malformed, "the response to the upgrade exceeds %d bytes", maxUpgradeBytes)
)

// closeText returns the text of the close frame for a reason.
func closeText(reason error) string {
	f := fault.As(reason)
	text := string(f.Code) + ": " + f.Detail
	if len(text) > maxCloseText {
		text = text[:maxCloseText]
	}
	return strings.ToValidUTF8(text, "")
}

// readError returns the typed reason for an error of the read loop.
func readError(err error) error {
	var closed *websocket.CloseError
	if errors.As(err, &closed) && closed.Code == closeCode {
		code, detail, _ := strings.Cut(closed.Text, ": ")
		return fault.New(fault.Code(code), "closed by the peer: "+detail)
	}
	if errors.Is(err, websocket.ErrReadLimit) || websocket.IsCloseError(err, websocket.CloseMessageTooBig) {
		return fault.New(fault.TooLarge, "frame exceeds its size limit").WithCause(err)
	}
	var typed *fault.Error
	if errors.As(err, &typed) {
		return typed
	}
	return errLinkDown.WithCause(err)
}
