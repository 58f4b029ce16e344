package link

import (
	"net/http"

	"github.com/go-kit/log/level"
	"github.com/gorilla/websocket"
)

type (
	// Acceptor is the http.Handler that accepts links from peers.
	Acceptor struct {
		group *Group
	}
)

var upgrader = websocket.Upgrader{
	ReadBufferSize: readBufferBytes, WriteBufferSize: writeBufferBytes, WriteBufferPool: writeBufferPool,
	// Processes send no Origin header, browsers do: refuse links from web
	// pages.
	CheckOrigin: func(r *http.Request) bool { return r.Header.Get("Origin") == "" },
}

// ServeHTTP upgrades the request to a WebSocket and establishes a link on it.
func (a *Acceptor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g := a.group
	ws, err := upgrader.Upgrade(w, r, nil)
	if err != nil {
		level.Info(g.config.Logger).Log("msg", "WebSocket upgrade failed", "remote", r.RemoteAddr, "err", err)
		return
	}
	cancel := g.config.Timer.After(g.config.DialTimeout, func() { _ = ws.Close() })
	defer cancel()
	if _, err := g.establish(ws, "", func(*conn) {}); err != nil {
		level.Info(g.config.Logger).Log("msg", "link handshake failed", "remote", r.RemoteAddr, "err", err)
		g.closeConn(ws, err, nil)
	}
}
