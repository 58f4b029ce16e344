package cmds

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"shallotcourse/internal/timer"
)

const (
	// maxAcceptTime is how long a stopping gateway accepts new requests. The load
	// balancer needs two failed health checks, one second apart, and requests already
	// in flight arrive meanwhile.
	maxAcceptTime = 3 * time.Second
	// maxStopMargin is the time before the end of StopTimeout at which streams that
	// are still open are aborted, so that their callers see the failure. It is at most
	// stopMarginShare of StopTimeout.
	maxStopMargin   = 900 * time.Millisecond
	stopMarginShare = 1. / 8
	// drainPollInterval is the interval between two checks for open requests during a
	// drain.
	drainPollInterval = 50 * time.Millisecond
)

// stopTimes holds the times of a planned stop. They follow from StopTimeout, so that
// requests which are accepted have time to end, also if it is short.
type stopTimes struct {
	// accept is how long new requests are accepted.
	accept time.Duration
	// abortStreams is the time from the start at which open streams are aborted and
	// the listeners begin to close.
	abortStreams time.Duration
	// abortCalls is the time from then on at which the other open requests are
	// answered with an error, and close bounds the time until all listeners have
	// closed.
	abortCalls, close time.Duration
}

func newStopTimes(limit time.Duration) stopTimes {
	margin := min(maxStopMargin, time.Duration(stopMarginShare*float64(limit)))
	return stopTimes{
		accept: min(maxAcceptTime, limit/2), abortStreams: limit - margin,
		abortCalls: margin * 4 / 9, close: margin * 5 / 9,
	}
}

// drain waits until the load balancer has noticed the stop and the open
// requests have ended. Streams that remain shortly before the end of
// StopTimeout are aborted.
func (g *gatewayDaemon) drain() {
	start, times := g.clock.Now(), newStopTimes(g.settings.StopTimeout.Duration)
	g.server.StartDrain(times.accept)
	_ = level.Info(g.logger).Log("event", "Stop", "open", g.server.OpenRequests())
	ctx, cancel := timer.WithTimeout(context.Background(), g.clock, leaveTimeout)
	g.planner.Release(ctx)
	g.members.Leave(ctx)
	cancel()
	end := start.Add(times.abortStreams)
	for g.clock.Now().Before(end) && (g.server.OpenRequests() > 0 || !g.server.RefusesNew()) {
		_ = timer.Sleep(context.Background(), g.clock, drainPollInterval)
	}
	if n := g.server.OpenRequests(); n > 0 {
		_ = level.Warn(g.logger).Log("event", "StopCuts", "open", n)
		g.server.AbortStreams()
		_ = timer.Sleep(context.Background(), g.clock, drainPollInterval)
	}
}

// close closes the listeners and connections. By the end of a drain the gateway
// refuses new requests, and the platform kills the process at the end of its
// stop time.
func (g *gatewayDaemon) close() {
	times := newStopTimes(g.settings.StopTimeout.Duration)
	defer g.clock.After(times.abortCalls, g.server.AbortCalls)()
	g.shutdown(times.close)
	_ = level.Info(g.logger).Log("event", "Stopped", "open", g.server.OpenRequests())
}
