package cmds

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"shallotcourse/internal/fault"
	"shallotcourse/platform/sims"
)

const (
	// knownEverywhere is the time within which what a gateway knows has reached
	// all others (contactMs of the platform).
	knownEverywhere = 3 * time.Second
	crashingPart    = "bad0"
)

// soundCounts counts sound requests and those of them that were answered.
type soundCounts struct {
	mu             sync.Mutex
	sent, answered int
}

// take returns the share of answered requests since the last call.
func (c *soundCounts) take() (share float64, sent int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	share, sent = float64(c.answered)/float64(max(1, c.sent)), c.sent
	c.sent, c.answered = 0, 0
	return share, sent
}

// callEvery calls the gateways in turn, a request in each interval, until the
// context ends, and then waits for the answers.
func callEvery(ctx context.Context, interval time.Duration, gateways []*testGateway, prompt func(n int) string, counts *soundCounts) {
	var wg sync.WaitGroup
	defer wg.Wait()
	ticks := time.NewTicker(interval)
	defer ticks.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-ticks.C:
		}
		wg.Go(func() {
			a := gateways[n%len(gateways)].get("/draft/x?events=40", "Prompt-Prefix", prompt(n), "Token-Usage", "10,10")
			counts.mu.Lock()
			defer counts.mu.Unlock()
			counts.sent++
			if a.err == nil && a.status == http.StatusOK {
				counts.answered++
			}
		})
	}
}

// Guards against requests with one part in their prompts that end one target
// after another, because no gateway remembers it or tells the others (BUDGET),
// and against sound requests that are refused with them (LOST). The sound ones
// share the account, the route and the first part.
func TestGatewayPromptPartThatEndsTargets(t *testing.T) {
	is := is.New(t)
	site, store, _ := testSite(t)
	for i := range 16 {
		site.AddEngine(fmt.Sprintf("e%02d", i), "x", sims.Model{Layers: 8, Token: 25 * time.Millisecond}).SetLayers(0, 8)
	}
	var gateways []*testGateway
	for i := range 5 {
		gateways = append(gateways, startGateway(t, fmt.Sprintf("g%d", i), store, nil))
	}
	for _, g := range gateways {
		g.waitReady(t)
		eventually(t, "the gateways are linked", func() bool { return len(g.links.Peers()) == len(gateways)-1 })
	}
	ctx, cancel := context.WithCancel(context.Background())
	var sound, crashing soundCounts
	var wg sync.WaitGroup
	wg.Go(func() {
		callEvery(ctx, 40*time.Millisecond, gateways, func(n int) string { return fmt.Sprintf("f%d:1,a%04x:9", n%6, n) }, &sound)
	})
	defer wg.Wait()
	defer cancel()
	time.Sleep(3 * time.Second)
	before, _ := sound.take()

	site.SetCrashingPart(crashingPart)
	wg.Go(func() {
		callEvery(ctx, 300*time.Millisecond, gateways, func(n int) string { return fmt.Sprintf("f%d:1,%s:4,b%04x:9", n%6, crashingPart, n) }, &crashing)
	})
	time.Sleep(2 * knownEverywhere)
	sound.take()
	time.Sleep(knownEverywhere)
	after, sent := sound.take()

	a := gateways[0].get("/draft/x", "Prompt-Prefix", "f9:1,"+crashingPart+":4,c:9")
	is.Equal(a.status, http.StatusServiceUnavailable)
	is.Equal(a.header.Get(fault.Header), string(fault.NotRun))
	seconds, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
	is.NoErr(err)
	is.True(seconds > 60) // returning sooner is of no use
	for _, g := range gateways {
		is.True(strings.Contains(g.showStatus(t), crashingPart))
	}

	arrivals, crashes := site.Crashes()
	late := 0
	for _, at := range arrivals {
		if len(crashes) >= 5 && at.After(crashes[4].Add(knownEverywhere)) {
			late++
		}
	}
	t.Logf("%d requests reached targets, %d targets crashed, %d arrivals too late; sound requests answered: %.2f before, %.2f after (%d)",
		len(arrivals), len(crashes), late, before, after, sent)
	is.True(len(crashes) >= 2) // the part has crashed targets
	is.True(late <= 3)
	is.True(after >= before/2)
}
