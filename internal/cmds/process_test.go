package cmds

import (
	"bufio"
	"bytes"
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
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"shallotcourse/platform/sims"
)

const (
	// runVariable makes the test binary run the program instead of the tests.
	runVariable = "SHALLOTCOURSE_TEST_RUN"
	// exitTimeout bounds the wait for the end of a process.
	exitTimeout = 15 * time.Second
	// answerTimeout bounds the wait for an answer of a process.
	answerTimeout = 5 * time.Second
	// firstPort and portCount give the range of ports that processes listen on.
	// portsPerTest is the distance between the first ports of two test processes.
	firstPort    = 10000
	portCount    = 11000
	portsPerTest = 97
)

// lastPort counts the ports that freeAddresses has tried.
var lastPort atomic.Int32

type (
	// process is an entry or gateway that runs as a process of its own.
	process struct {
		cmd *exec.Cmd
		// file is the settings file.
		file string
		// log is the output; it is read after the end.
		log bytes.Buffer
		// callers and links are the addresses of two of its listeners.
		callers, links string
		exited         chan struct{}
	}

	// rawCaller is a caller that shows what became of each of its requests.
	rawCaller struct {
		address, request string
		conn             net.Conn
		in               *bufio.Reader
	}

	// tally counts the requests of some callers that were written whole.
	tally struct {
		sync.Mutex
		answered, refused int
		// lost describes those whose connection ended without an answer.
		lost []string
	}
)

// TestMain runs the tests, or the program in the processes that tests start.
func TestMain(m *testing.M) {
	if os.Getenv(runVariable) == "" {
		os.Exit(m.Run())
	}
	if err := NewRoot().Execute(); err != nil {
		Report(os.Stderr, err)
		os.Exit(1)
	}
}

// freeAddresses returns n free loopback addresses. Their ports are below the range
// from which the system picks ports for outgoing connections and for listeners
// without a port, and below those of the soak, so that nothing else takes them before
// the process listens.
func freeAddresses(t *testing.T, n int) []string {
	t.Helper()
	var out []string
	for range portCount {
		port := firstPort + (int(lastPort.Add(1))+portsPerTest*os.Getpid())%portCount
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		_ = l.Close()
		if out = append(out, l.Addr().String()); len(out) == n {
			return out
		}
	}
	t.Fatalf("%d free ports wanted, %d found", n, len(out))
	return nil
}

// startProcess runs the program with the settings until the test ends.
func startProcess(t *testing.T, role, settings string) *process {
	t.Helper()
	file := filepath.Join(t.TempDir(), "settings.toml")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		t.Fatal(err)
	}
	p := &process{cmd: exec.Command(os.Args[0], role, "--config", file), file: file, exited: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = &p.log, &p.log
	p.cmd.Env = append(os.Environ(), runVariable+"=1")
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		_ = p.cmd.Wait()
		close(p.exited)
	}()
	t.Cleanup(func() {
		_ = p.cmd.Process.Kill()
		<-p.exited
		if t.Failed() {
			t.Log(p.log.String())
		}
	})
	return p
}

// startEntryProcess starts an entry without a platform, which refuses all
// requests. It does not wait until the entry listens.
func startEntryProcess(t *testing.T) *process {
	t.Helper()
	a := freeAddresses(t, 4)
	p := startProcess(t, "entry", fmt.Sprintf(`Instance = "entry-1"
DataCentre = "x"
Region = "r"
Listen = %q
OperatorListen = %q
LinkListen = %q
Advertise = %[3]q
Platform = "http://%[4]s"
BalancerLag = "100ms"
`, a[0], a[1], a[2], a[3]))
	p.callers, p.links = a[0], a[2]
	return p
}

// startGatewayProcess starts a gateway. It does not wait until the gateway
// listens.
func startGatewayProcess(t *testing.T, store string) *process {
	t.Helper()
	a := freeAddresses(t, 4)
	p := startProcess(t, "gateway", fmt.Sprintf(`Instance = "g1"
DataCentre = "x"
Listen = %q
ReadyListen = %q
OpsListen = %q
LinkListen = %q
Advertise = %[4]q
Store = %q
FirstStart = true
StopTimeout = "6s"
`, a[0], a[1], a[2], a[3], store))
	p.callers, p.links = a[0], a[3]
	return p
}

func (p *process) signal(s syscall.Signal) {
	// Fails if the process has just ended.
	_ = p.cmd.Process.Signal(s)
}

// end waits for the end of the process and returns how it ended.
func (p *process) end(t *testing.T) string {
	t.Helper()
	select {
	case <-p.exited:
		return p.cmd.ProcessState.String()
	case <-time.After(exitTimeout):
		t.Fatalf("the process still runs after %s", exitTimeout)
		return ""
	}
}

func (p *process) running() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// awaitListener waits until an address accepts connections.
func awaitListener(t *testing.T, address string) net.Conn {
	t.Helper()
	for end := time.Now().Add(eventuallyTimeout); time.Now().Before(end); {
		if c, err := net.Dial("tcp", address); err == nil {
			return c
		}
	}
	t.Fatalf("%s does not listen within %s", address, eventuallyTimeout)
	return nil
}

// requestText returns a request without a body, to be sent as it is.
func requestText(path string) string {
	return "GET " + path + " HTTP/1.1\r\nHost: site.example\r\nAuthorization: Bearer " + testKey + "\r\nRequest-Id: " + requestID() +
		"\r\nDeadline-Ms: 4000\r\n\r\n"
}

// call sends the request on the open connection, or on a new one. It returns
// false once no connection can be opened.
func (c *rawCaller) call(counts *tally) bool {
	fresh := c.conn == nil
	if fresh {
		conn, err := net.Dial("tcp", c.address)
		if err != nil {
			return false
		}
		c.conn, c.in = conn, bufio.NewReader(conn)
	}
	opened := time.Now()
	if _, err := io.WriteString(c.conn, c.request); err != nil {
		c.lose(counts, fresh, opened, err)
		return true
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(answerTimeout))
	resp, err := http.ReadResponse(c.in, nil)
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
	if err != nil {
		c.lose(counts, fresh, opened, err)
		return true
	}
	counts.Lock()
	if resp.StatusCode == http.StatusOK {
		counts.answered++
	} else {
		counts.refused++
	}
	counts.Unlock()
	if resp.Close {
		c.close()
	}
	return true
}

func (c *rawCaller) lose(counts *tally, fresh bool, at time.Time, err error) {
	kind := "kept"
	if fresh {
		kind = "new"
	}
	if errors.Is(err, io.ErrUnexpectedEOF) {
		err = io.EOF
	}
	counts.Lock()
	counts.lost = append(counts.lost, fmt.Sprintf("%s connection, %s, after %s: %v", kind, at.Format("05.000"), time.Since(at).Round(time.Millisecond), err))
	counts.Unlock()
	c.close()
}

func (c *rawCaller) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// callUntilGone lets callers send one request after another until the process
// accepts no connection, and calls stop after some time. Some callers pause between
// requests, so that their connections are idle in between.
func callUntilGone(p *process, callers int, request func(n int) string, stop func()) *tally {
	var (
		counts tally
		wg     sync.WaitGroup
	)
	pauses := []time.Duration{0, 0, time.Millisecond, 20 * time.Millisecond, 150 * time.Millisecond}
	for n := range callers {
		wg.Go(func() {
			c := &rawCaller{address: p.callers, request: request(n)}
			defer c.close()
			for c.call(&counts) {
				time.Sleep(pauses[n%len(pauses)])
			}
		})
	}
	time.Sleep(500 * time.Millisecond)
	stop()
	<-p.exited
	wg.Wait()
	return &counts
}

func (c *tally) String() string {
	return fmt.Sprintf("%d answered, %d refused, %d lost\n%s", c.answered, c.refused, len(c.lost), strings.Join(c.lost[:min(len(c.lost), 12)], "\n"))
}

// Guards against a planned stop of an entry that closes connections on which a
// whole request has arrived, without an answer.
func TestEntryStopAnswersAll(t *testing.T) {
	for range 4 {
		p := startEntryProcess(t)
		_ = awaitListener(t, p.callers).Close()
		counts := callUntilGone(p, 30, func(int) string { return requestText("/v1/models") }, func() { p.signal(syscall.SIGTERM) })
		counts.check(t, p)
	}
}

// Guards against a planned stop of a gateway that closes connections on which a
// whole request has arrived, without an answer.
func TestGatewayStopAnswersAll(t *testing.T) {
	_, store := processSite(t)
	for range 2 {
		p := startGatewayProcess(t, store)
		p.awaitServing(t)
		counts := callUntilGone(p, 30, plainAndStream, func() { p.signal(syscall.SIGTERM) })
		counts.check(t, p)
	}
}

// Guards against a planned stop that closes the connections of calls that outlast
// it, without an answer.
func TestGatewayStopAnswersSlowCalls(t *testing.T) {
	is := is.New(t)
	site, store, plain := testSite(t)
	site.AddEngine("e1", "x", testModel).SetLayers(0, 8)
	p := startGatewayProcess(t, store)
	p.awaitServing(t)
	for _, s := range plain {
		s.SetFaults(sims.ServiceFaults{Delay: 10 * time.Second})
	}
	p.signal(syscall.SIGTERM)
	time.Sleep(2800 * time.Millisecond) // requests are accepted for 3 s
	conn, err := net.Dial("tcp", p.callers)
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, requestText("/register/x"))
	is.NoErr(err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusBadGateway) // it may have run
	is.Equal(p.end(t), "exit status 0")
}

// processSite returns a site with a target for each kind of request.
func processSite(t *testing.T) (*sims.Site, string) {
	t.Helper()
	site, store, _ := testSite(t)
	for _, id := range []string{"e1", "e2"} {
		site.AddEngine(id, "x", testModel).SetLayers(0, 8)
	}
	return site, store
}

// plainAndStream returns a request of one of both kinds.
func plainAndStream(n int) string {
	if n%2 == 0 {
		return requestText("/look/x")
	}
	return requestText("/draft/x?events=5")
}

// awaitServing waits until the gateway serves both kinds of requests.
func (p *process) awaitServing(t *testing.T) {
	t.Helper()
	_ = awaitListener(t, p.callers).Close()
	for n := range 2 {
		eventually(t, "the gateway serves", func() bool {
			var counts tally
			c := &rawCaller{address: p.callers, request: plainAndStream(n)}
			defer c.close()
			return c.call(&counts) && counts.answered == 1
		})
	}
}

// check fails the test if a request was lost or the process did not end by itself.
func (c *tally) check(t *testing.T, p *process) {
	t.Helper()
	t.Log(c)
	is := is.New(t)
	is.Equal(len(c.lost), 0)
	is.Equal(p.end(t), "exit status 0")
}
