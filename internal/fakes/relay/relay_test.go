package relay

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against faults that do not happen when they are switched on over HTTP, on
// which other tests rely: a delay, silence of the open connections only, and the
// close of all connections.
func TestFaultsBySwitch(t *testing.T) {
	is := is.New(t)
	echo, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer echo.Close()
	go func() {
		for {
			c, err := echo.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c); _ = c.Close() }()
		}
	}()
	r, err := Start("127.0.0.1:0", echo.Addr().String())
	is.NoErr(err)
	defer r.Close()
	switches := httptest.NewServer(r.Switches())
	defer switches.Close()
	post := func(path string) int {
		answer, err := http.Post(switches.URL+path, "", nil)
		is.NoErr(err)
		_ = answer.Body.Close()
		return answer.StatusCode
	}
	roundTrip := func(c net.Conn, timeout time.Duration) error {
		is.NoErr(c.SetDeadline(time.Now().Add(timeout)))
		if _, err := io.WriteString(c, "line\n"); err != nil {
			return err
		}
		_, err := bufio.NewReader(c).ReadString('\n')
		return err
	}
	connect := func() net.Conn {
		c, err := net.Dial("tcp", r.Address())
		is.NoErr(err)
		return c
	}

	first := connect()
	defer first.Close()
	is.NoErr(roundTrip(first, 20*time.Second))
	is.Equal(post("/delay?By=30ms"), http.StatusOK)
	start := time.Now()
	is.NoErr(roundTrip(first, 20*time.Second))
	is.True(time.Since(start) >= 60*time.Millisecond) // both directions
	is.Equal(post("/delay?By=0s"), http.StatusOK)

	is.Equal(post("/silence"), http.StatusOK)
	is.True(roundTrip(first, 200*time.Millisecond) != nil)
	second := connect()
	defer second.Close()
	is.NoErr(roundTrip(second, 20*time.Second))

	is.Equal(post("/cut"), http.StatusOK)
	is.True(roundTrip(second, 20*time.Second) != nil)
	is.Equal(r.Stats().Open, 0)
	is.Equal(post("/mute?On=maybe"), http.StatusBadRequest)
}
