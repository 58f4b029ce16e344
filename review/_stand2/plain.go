package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// startPlainEngine starts an engine of the plain service in this process. answer writes the
// bytes of the answer to a request that it has run.
func (w *world) startPlainEngine(id string, answer func(out io.Writer, request string)) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				r, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, r.Body)
				if r.Header.Get("Expect-Instance") != id {
					_, _ = io.WriteString(c, "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n")
					return
				}
				answer(c, r.Header.Get("Request-Id"))
			}()
		}
	}()
	w.store.put("servers", id, map[string]any{
		"service": "plain", "address": l.Addr().String(), "zone": "x", "version": 1, "slots": 6, "state": "ready", "born": time.Now().UnixMilli(),
		"sequence": 1, "coldRemainingMs": 0,
	})
	return nil
}

func soundAnswer(out io.Writer, request, id string) {
	_, _ = fmt.Fprintf(out, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: seal-%s\r\nContent-Length: 5\r\n\r\nhello", request, id)
}
