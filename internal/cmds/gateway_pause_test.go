package cmds

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"shallotcourse/platform/sims"
)

const (
	testPause = 2 * time.Second
	// pauseGrace is the time after a refusal in which more requests may arrive.
	pauseGrace = 500 * time.Millisecond
)

// mostInPauses returns the largest number of the times that lie in a pause which
// began with one of them, after pauseGrace.
func mostInPauses(times []time.Time) int {
	most := 0
	for _, from := range times {
		n := 0
		for _, at := range times {
			if at.Sub(from) > pauseGrace && at.Sub(from) < testPause {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// Guards against more than two requests to a target during a pause that it has asked
// this gateway for (BUDGET), requests that are refused although other targets do not
// pause, a pause that is passed on to other gateways, and callers that are kept waiting
// or told to return too early where all targets pause.
func TestGatewayKeepsToPauses(t *testing.T) {
	is := is.New(t)
	s := startLimitedSite(t, 2)
	engine, plain := s.engines[0], s.plain[0]
	both, other := s.gateways, s.gateways[1]
	s.gateways = both[:1]
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { s.callAll(ctx) })
	defer wg.Wait()
	defer cancel()
	time.Sleep(time.Second)
	pause := strconv.Itoa(int(testPause.Seconds()))
	begin := time.Now()
	engine.SetFaults(sims.EngineFaults{Pause: pause})
	plain.SetFaults(sims.ServiceFaults{Pause: pause})
	eventually(t, "both pause", func() bool { return len(both[0].limits.Paused()) == 2 })
	is.Equal(len(other.limits.Paused()), 0)
	time.Sleep(3 * testPause)
	cancel()
	wg.Wait()
	since := func(times []time.Time) []time.Time { return times[len(times)-countFrom(times, begin):] }
	streams, calls := since(engine.Arrivals()), since(plain.Arrivals())
	t.Logf("%d streams and %d calls refused, at most %d and %d during a pause; answered %d of %d streams, %d of %d calls", len(streams), len(calls),
		mostInPauses(streams), mostInPauses(calls), s.answeredStreams, s.streams, s.answeredCalls, s.calls)
	is.True(mostInPauses(streams) <= 2)
	is.True(mostInPauses(calls) <= 2)
	is.True(len(streams) > 1) // the target is asked again
	is.True(s.answeredStreams >= s.streams*95/100)
	is.True(s.answeredCalls >= s.calls*95/100)

	for _, e := range s.engines {
		e.SetFaults(sims.EngineFaults{Pause: pause})
	}
	for _, v := range s.plain {
		v.SetFaults(sims.ServiceFaults{Pause: pause})
	}
	for _, path := range []string{"/draft/x?events=4", "/look/x"} {
		eventually(t, "all pause", func() bool {
			start := time.Now()
			a := other.get(path)
			after, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
			return a.status == http.StatusServiceUnavailable && time.Since(start) < pauseGrace && err == nil && after > 1
		})
	}
	is.True(strings.Contains(other.showStatus(t), "paused"))
}
