package proxy

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/go-kit/log/level"

	"shallotcourse/internal/topo"
)

// lateShare is the part of Settings.Drain from which the age of the target list at a
// send is logged.
const lateShare = 0.5

type (
	// DialFunc opens a connection, like net.Dialer.DialContext.
	DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

	// beforeSendKey is the context key of a request's beforeSend function.
	beforeSendKey struct{}

	// noticedConn calls beforeSend right before the first byte is written, which may
	// be long after the target was chosen: the connection is opened in between.
	noticedConn struct {
		net.Conn
		// beforeSend is nil once it has been called. Only the one goroutine that
		// writes to the connection uses it.
		beforeSend func()
	}
)

// NoticeSends returns a dial function for the client that sends requests to targets.
// Its connections tell the proxy when a request is about to be sent.
func NoticeSends(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		beforeSend, ok := ctx.Value(beforeSendKey{}).(func())
		if err != nil || !ok {
			return conn, err
		}
		return &noticedConn{Conn: conn, beforeSend: beforeSend}, nil
	}
}

func withBeforeSend(ctx context.Context, f func()) context.Context {
	return context.WithValue(ctx, beforeSendKey{}, f)
}

// Write implements net.Conn.
func (c *noticedConn) Write(b []byte) (int, error) {
	if c.beforeSend != nil {
		c.beforeSend()
		c.beforeSend = nil
	}
	return c.Conn.Write(b)
}

// noteSend records the age of the target list that a send to t relies on.
func (q *request) noteSend(t topo.Target) {
	age := q.Fleets.Age()
	q.Metrics.GetOrCreateHistogram("shallotcourse_send_list_age_seconds").Update(age.Seconds())
	raise(&q.oldestList, age)
	if limit := time.Duration(lateShare * float64(q.Settings.Drain)); limit > 0 && age > limit {
		_ = level.Info(q.Log).Log("event", "SendOnOldList", "request", q.headers.ID, "target", t.ID, "listAge", age.Round(time.Millisecond),
			"list", q.Fleets.Section().Value().Version)
	}
}

// raise sets d to at least a value.
func raise(d *atomic.Int64, to time.Duration) {
	for known := d.Load(); int64(to) > known && !d.CompareAndSwap(known, int64(to)); {
		known = d.Load()
	}
}
