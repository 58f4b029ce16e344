package proxy

import (
	"errors"
	"fmt"
	"strings"
	"syscall"
	"time"

	"github.com/go-kit/log/level"

	"shallotcourse/internal/fault"
	"shallotcourse/internal/topo"
)

const (
	// youngAge is the time after its first event within which a request is among
	// the possible reasons for the end of its target.
	youngAge = time.Second
	// loggedPromptParts bounds the parts of a prompt in a log line.
	loggedPromptParts = 8
)

// brokenRun is a request at a target that broke off the response.
type brokenRun struct {
	target topo.Target
	// sent and began are the times since the request was sent and since its first
	// event; began is negative if there was none.
	sent, began time.Duration
	events      int
}

// brokenRun describes the current run, which the first target broke off.
func (s *stream) brokenRun() brokenRun {
	now := s.Clock.Now()
	b := brokenRun{target: s.hops[0].Target, sent: now.Sub(s.sentAt), began: -1, events: s.events}
	if !s.beganAt.IsZero() {
		b.began = now.Sub(s.beganAt)
	}
	return b
}

// young reports whether the target had begun the request only shortly before, or
// not yet.
func (b brokenRun) young() bool { return b.began < youngAge }

// beganText returns the time since the first event for the log.
func (b brokenRun) beganText() string {
	if b.began < 0 {
		return "none"
	}
	return b.began.Round(time.Millisecond).String()
}

// proofOfEnd returns how a poll of a target shows that its process has ended, or
// "". Silence is no proof, since it may come from the network.
func proofOfEnd(t topo.Target, r Report, err error) string {
	switch {
	case err == nil && r.Started != t.Started:
		return fmt.Sprintf("it has started again at %d", r.Started)
	case fault.Is(err, fault.NoTarget):
		return "another target has its address"
	case errors.Is(err, syscall.ECONNREFUSED), errors.Is(err, syscall.ECONNRESET):
		return "it refuses connections"
	}
	return ""
}

// noteTargetEnded logs that a target has ended under a request that it had begun
// shortly before.
func (s *stream) noteTargetEnded(b brokenRun, proof string) {
	if !b.young() {
		return
	}
	_ = level.Warn(s.Log).Log("event", "TargetEnded", "target", b.target.ID, "born", b.target.Started, "proof", proof, "request", s.headers.ID,
		"route", s.route.Name, "account", s.account, "sent", b.sent.Round(time.Millisecond), "began", b.beganText(),
		"events", b.events, "prompt", promptText(s.headers.PromptParts))
	s.Metrics.GetOrCreateCounter("shallotcourse_young_requests_lost_total").Inc()
}

// promptText returns the parts of a prompt for the log.
func promptText(parts []string) string {
	if len(parts) > loggedPromptParts {
		return strings.Join(parts[:loggedPromptParts], ",") + ",..."
	}
	return strings.Join(parts, ",")
}
