package link

import (
	"net/http"

	"github.com/go-kit/log/level"
	"github.com/gorilla/websocket"
)

type (
	// Acceptor is the http.Handler for links that peers dial.
	Acceptor struct {
		group *Group
	}
)

var upgrader = websocket.Upgrader{
	ReadBufferSize: readBuffer, WriteBufferSize: writeBuffer, WriteBufferPool: writeBuffers,
	// Peers are processes and send no Origin; a browser is refused.
	CheckOrigin: func(r *http.Request) bool { return r.Header.Get("Origin") == "" },
}

// ServeHTTP upgrades the connection and establishes a link on it.
func (a *Acceptor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g := a.group
	ws, err := upgrader.Upgrade(w, r, nil)
	if err != nil {
		level.Info(g.config.Logger).Log("msg", "upgrade refused", "remote", r.RemoteAddr, "err", err)
		return
	}
	cancel := g.config.Timer.After(g.config.DialTimeout, func() { _ = ws.Close() })
	defer cancel()
	if _, err := g.establish(ws, "", func(*conn) {}); err != nil {
		level.Info(g.config.Logger).Log("msg", "link refused", "remote", r.RemoteAddr, "err", err)
		g.end(ws, err, nil)
	}
}
