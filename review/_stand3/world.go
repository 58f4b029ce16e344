// Command review3 holds the stand-ins and the callers of the scripts of the
// third review.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"shallotcourse/platform/sims"
)

const (
	apiKey = "key-good"
	// The bounds are those of the users' small deployments.
	graceTime    = 8 * time.Second
	contracts    = "base,drain,config,cost,retry,recover,engine,stream,tenants,platform,layers"
	startTimeout = 15 * time.Second
)

type (
	// world is a small deployment on loopback addresses: a store, engines, an
	// application service and gateways as processes of their own.
	world struct {
		site     *sims.Site
		dir      string
		store    string
		gateways []*gateway
		record   *record
	}

	// gateway is one process of the program of the deploy file.
	gateway struct {
		name, zone                 string
		listen, ready, links, file string
		cmd                        *exec.Cmd
		exited                     chan struct{}
	}

	// record is the file record.txt.
	record struct {
		mu    sync.Mutex
		file  *os.File
		start time.Time
	}
)

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{file: f, start: time.Now()}, err
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%10.6f ", time.Since(r.start).Seconds())
	_, _ = fmt.Fprintf(r.file, format+"\n", args...)
}

// freeAddresses returns free loopback addresses below the range of the ports of
// outgoing connections.
func freeAddresses(n int) ([]string, error) {
	var out []string
	for port := 20000 + os.Getpid()%97*100; len(out) < n && port < 32000; port++ {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		_ = l.Close()
		out = append(out, l.Addr().String())
	}
	if len(out) < n {
		return nil, errors.New("not enough free ports")
	}
	return out, nil
}

// addGateways writes the settings of gateways as deploy/gateway.toml has them.
func (w *world) addGateways(n int) error {
	addresses, err := freeAddresses(4 * n)
	if err != nil {
		return err
	}
	for i := range n {
		a := addresses[4*i:]
		g := &gateway{
			name: fmt.Sprintf("front-x-%d", i+1), zone: "x", listen: a[0], ready: a[1], links: a[2],
			file: filepath.Join(w.dir, fmt.Sprintf("front-%d.toml", i+1)),
		}
		text := fmt.Sprintf(`Instance = %q
DataCentre = %q
Listen = %q
ReadyListen = %q
ReadyPath = "/shallotcourse/readyz"
LinkListen = %q
OpsListen = %q
Advertise = %q
Store = %q
FirstStart = true
MemoryMegabytes = 284
Processor = 0.304
KeyLife = "5000ms"
StallLimit = "2000ms"
StopTimeout = "8s"

[Repeats]
Window = "10s"
Ratio = 0.2
Slack = 202
`, g.name, g.zone, g.listen, g.ready, g.links, a[3], g.links, w.store)
		if err := os.WriteFile(g.file, []byte(text), 0o600); err != nil {
			return err
		}
		w.gateways = append(w.gateways, g)
	}
	return nil
}

func (w *world) start(g *gateway) error {
	g.cmd = exec.Command("target/shallotcourse", "gateway", "--drain=2000ms", "--config-apply=2000ms", "--contracts="+contracts)
	g.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "SHALLOTCOURSE_SETTINGS=" + g.file}
	if err := g.cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	g.exited = exited
	cmd := g.cmd
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		resp, err := http.Get("http://" + g.ready + "/shallotcourse/readyz")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return g.noteStarted()
		}
	}
	return fmt.Errorf("%s is not ready after %s", g.name, startTimeout)
}

// noteStarted changes the settings for later starts: only the first one is that of the
// whole system.
func (g *gateway) noteStarted() error {
	text, err := os.ReadFile(g.file)
	if err != nil {
		return err
	}
	return os.WriteFile(g.file, []byte(strings.Replace(string(text), "FirstStart = true", "FirstStart = false", 1)), 0o600)
}

// stopAll ends the processes that the script started.
func (w *world) stopAll() {
	for _, g := range w.gateways {
		if g.cmd != nil && g.cmd.Process != nil {
			_ = g.cmd.Process.Signal(syscall.SIGKILL)
			<-g.exited
		}
	}
	w.site.Close()
}

// channel is a client's channel to a gateway.
type channel struct {
	conn net.Conn
	in   *bufio.Reader
}

func openChannel(address string) (*channel, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &channel{c, bufio.NewReader(c)}, nil
}

func head(method, path, id string, deadline time.Duration, more ...string) string {
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: site.example\r\nAuthorization: Bearer %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n", method, path, apiKey, id, deadline.Milliseconds())
	for _, line := range more {
		text += line + "\r\n"
	}
	return text + "\r\n"
}

// answer reads a response and its body. The error is not nil if the channel ended before
// the response was complete.
func (c *channel) answer() (status int, body string, closes bool, err error) {
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return 0, "", true, err
	}
	b, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(b), resp.Close, err
}

// countEvents returns the number of events of a stream.
func countEvents(body string) int {
	return strings.Count(body, "\nid: ") + strings.Count(body[:min(4, len(body))], "id: ")
}
