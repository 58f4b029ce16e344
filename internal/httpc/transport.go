// Package httpc provides the connections and transports of the HTTP clients of all
// processes. They fail on broken responses that net/http takes for sound ones.
package httpc

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/http/httptrace"
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
	t.DialTLSContext = watchDials(encrypt(t.DialContext, t.TLSClientConfig))
	t.DialContext = watchDials(t.DialContext)
	return transport{t}
}

// RoundTrip implements http.RoundTripper.
func (t transport) RoundTrip(r *http.Request) (*http.Response, error) {
	if !t.DisableKeepAlives {
		r = r.WithContext(httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{GotConn: expectHead}))
	}
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

// expectHead prepares a connection for the response to the next request.
func expectHead(info httptrace.GotConnInfo) {
	if c, ok := info.Conn.(*conn); ok {
		c.expectHead()
	}
}

// encrypt returns a dial function for connections with TLS. The transport's own are
// encrypted above those that it dials, where heads cannot be read.
func encrypt(dial DialFunc, config *tls.Config) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		raw, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		own := config.Clone()
		if own == nil {
			own = &tls.Config{}
		}
		if own.ServerName == "" {
			own.ServerName, _, _ = net.SplitHostPort(address)
		}
		c := tls.Client(raw, own)
		if err := c.HandshakeContext(ctx); err != nil {
			_ = raw.Close()
			return nil, err
		}
		return c, nil
	}
}

// watchDials returns a dial function whose connections are those of Watch.
func watchDials(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return Watch(c), nil
	}
}
