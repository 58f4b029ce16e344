// Package httpc provides the connections and transports of the HTTP clients of all
// processes. They report broken responses as errors that net/http takes for whole ones.
package httpc

import (
	"context"
	"net"
	"net/http"
)

type (
	// DialFunc opens a connection, like net.Dialer.DialContext.
	DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

	// transport checks the responses of an http.Transport.
	transport struct{ *http.Transport }
)

// NewTransport returns a transport that sends requests by t, whose DialContext must be
// set. It fails with the outcome Unknown if a response is broken.
func NewTransport(t *http.Transport) http.RoundTripper {
	t.DialContext = watch(t.DialContext)
	return transport{t}
}

// RoundTrip implements http.RoundTripper.
func (t transport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := t.Transport.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if err := checkHead(resp); err != nil {
		_ = resp.Body.Close()
		return nil, err
	}
	return resp, nil
}

// watch returns a dial function whose connections tell the end of what the server sends
// from the loss of the connection.
func watch(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: c}, nil
	}
}
