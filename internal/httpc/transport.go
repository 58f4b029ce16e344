// Package httpc provides the connections and transports of the HTTP clients of all
// processes. They report broken responses as errors that net/http takes for whole ones.
package httpc

import (
	"context"
	"net"
	"net/http"
)

// DialFunc opens a connection, like net.Dialer.DialContext.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// NewTransport returns t, whose DialContext must be set, with the connections of Dial.
func NewTransport(t *http.Transport) http.RoundTripper {
	t.DialContext = Dial(t.DialContext)
	return t
}

// Dial returns a dial function whose connections tell the end of what the server sends
// from the loss of the connection.
func Dial(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: c}, nil
	}
}
