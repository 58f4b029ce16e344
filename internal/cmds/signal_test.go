package cmds

import (
	"fmt"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// series sends the signals in turn until the process has ended.
func (p *process) series(pause time.Duration, signals ...syscall.Signal) {
	for n := 0; p.running(); n++ {
		p.signal(signals[n%len(signals)])
		time.Sleep(pause)
	}
}

// Guards against a second SIGTERM, or a SIGHUP during a stop, that ends the process
// and cuts the requests that it has accepted.
func TestSignalsInSeriesCutNothing(t *testing.T) {
	t.Run("entry", func(t *testing.T) {
		p := startEntryProcess(t)
		_ = awaitListener(t, p.callers).Close()
		counts := callUntilGone(p, 10, func(int) string { return requestText("/v1/models") }, func() {
			p.series(5*time.Millisecond, syscall.SIGTERM, syscall.SIGHUP)
		})
		counts.check(t, p)
	})
	t.Run("gateway", func(t *testing.T) {
		_, store := processSite(t)
		p := startGatewayProcess(t, store)
		p.awaitServing(t)
		counts := callUntilGone(p, 10, plainAndStream, func() {
			p.series(5*time.Millisecond, syscall.SIGHUP, syscall.SIGTERM)
		})
		counts.check(t, p)
	})
}

// Guards against a change of the settings or of the configuration that cuts
// requests, before a stop or during one.
func TestChangesBesideAStopCutNothing(t *testing.T) {
	site, store := processSite(t)
	p := startGatewayProcess(t, store)
	p.awaitServing(t)
	settings, err := os.ReadFile(p.file)
	is.New(t).NoErr(err)
	change := func(n int) {
		text := settings
		if n%2 == 0 {
			text = settings[:len(settings)/2]
		}
		_ = os.WriteFile(p.file, text, 0o600)
		p.signal(syscall.SIGHUP)
		site.WriteConfig(testKey, fmt.Sprintf("key-%d", 2+n%2))
		time.Sleep(20 * time.Millisecond)
	}
	counts := callUntilGone(p, 10, plainAndStream, func() {
		for n := range 50 {
			change(n)
		}
		p.signal(syscall.SIGTERM)
		for n := 0; p.running(); n++ {
			change(n)
		}
	})
	counts.check(t, p)
	is.New(t).True(strings.Count(p.log.String(), "event=Reload") > 50)
}

// Guards against a signal that ends a process which accepts connections already
// and has not installed its handlers yet.
func TestSignalsAtTheStart(t *testing.T) {
	_, store, _ := testSite(t)
	for _, c := range []struct {
		name  string
		start func() *process
	}{
		{"entry", func() *process { return startEntryProcess(t) }},
		{"gateway", func() *process { return startGatewayProcess(t, store) }},
	} {
		for _, s := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM} {
			for range 2 {
				t.Run(c.name+" "+s.String(), func(t *testing.T) {
					t.Parallel()
					p := c.start()
					_ = awaitListener(t, p.links).Close()
					p.signal(s)
					time.Sleep(10 * time.Millisecond)
					p.signal(syscall.SIGTERM)
					is.New(t).Equal(p.end(t), "exit status 0")
				})
			}
		}
	}
}

// Guards against an operator who cannot end a process that stops slowly.
func TestSecondInterruptEndsAtOnce(t *testing.T) {
	is := is.New(t)
	_, store := processSite(t)
	p := startGatewayProcess(t, store)
	p.awaitServing(t)
	p.signal(syscall.SIGTERM)
	p.signal(syscall.SIGINT)
	time.Sleep(100 * time.Millisecond)
	is.True(p.running())
	p.signal(syscall.SIGINT)
	is.Equal(p.end(t), "signal: interrupt")
	is.True(!strings.Contains(p.log.String(), "event=Stopped"))
}
