// Package fraw is a stand-in for servers that answer with bytes of a test's choice.
package fraw

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"
)

const (
	// UploadBytes is the length of a body that does not fit into the buffers of a
	// connection whose server does not read.
	UploadBytes = 4 << 20

	// receiveBufferBytes is small, so that the upload of a long body waits for the
	// server to read it.
	receiveBufferBytes = 16 << 10
	// resetDelay is the time for the client to read what was sent before the
	// connection is reset.
	resetDelay = 10 * time.Millisecond
)

// Start serves on a loopback address until the test ends. answer is called for each
// connection with the head of its first request, whose body has not been read; the
// connection is closed when it returns.
func Start(t testing.TB, answer func(conn *net.TCPConn, r *http.Request)) (address string) {
	t.Helper()
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) (err error) {
		if failure := raw.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBufferBytes)
		}); failure != nil {
			return failure
		}
		return err
	}}
	l, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				if r, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					answer(conn.(*net.TCPConn), r)
				}
			}()
		}
	}()
	return l.Addr().String()
}

// Reset sends text and then resets the connection.
func Reset(conn *net.TCPConn, text string) {
	_, _ = io.WriteString(conn, text)
	time.Sleep(resetDelay)
	_ = conn.SetLinger(0)
	_ = conn.Close()
}

// End sends text and ends the server's side of the connection. It reads on until the
// client closes its side.
func End(conn *net.TCPConn, text string) {
	_, _ = io.WriteString(conn, text)
	_ = conn.CloseWrite()
	_, _ = io.Copy(io.Discard, conn)
}
