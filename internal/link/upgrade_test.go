package link

import (
	"crypto/sha1"
	"encoding/base64"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"

	"shallotcourse/internal/fakes/fraw"
	"shallotcourse/internal/timer"
	"shallotcourse/internal/wire"
)

// helloWait is how long a dialler has to send its Hello.
const helloWait = 500 * time.Millisecond

// Guards against a link to a peer whose response to the upgrade is broken.
func TestBrokenUpgrades(t *testing.T) {
	for name, c := range map[string]struct {
		fields string
		linked bool
	}{
		"sound":                      {"", true},
		"a blank in a name":          {"Odd Name: x\r\n", false},
		"a blank before a name":      {" Odd: x\r\n", false},
		"a line feed before a name":  {"\nOdd: x\r\n", false},
		"a control byte in a name":   {"Odd\x01: x\r\n", false},
		"a blank before a later one": {"Odd: x\r\n Name: y\r\n", false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			received := make(chan int, 100)
			address := fraw.Start(t, func(conn *net.TCPConn, r *http.Request) {
				// The accept key of RFC 6455.
				sum := sha1.Sum([]byte(r.Header.Get("Sec-WebSocket-Key") + "258EAFA5-E914-47DA-95CA-C5AB0DC85B11"))
				_, _ = io.WriteString(conn, "HTTP/1.1 101 Switching Protocols\r\nUpgrade: websocket\r\nConnection: Upgrade\r\nSec-WebSocket-Accept: "+
					base64.StdEncoding.EncodeToString(sum[:])+"\r\n"+c.fields+"\r\n")
				_ = conn.SetReadDeadline(time.Now().Add(helloWait))
				n, _ := conn.Read(make([]byte, 100))
				received <- n
			})
			g := NewGroup(Config{
				Hello: func() wire.Hello { return wire.Hello{} }, Handler: Handlers{}, Timer: timer.System{}, Logger: log.NewNopLogger(),
				Heartbeat: time.Second, Silence: time.Minute, DialTimeout: time.Minute,
			})
			defer g.Stop()
			g.Want(address)
			is.Equal(<-received > 0, c.linked)
		})
	}
}
