package proxy

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"syscall"
	"time"

	"github.com/go-kit/log/level"

	"shallotcourse/internal/blame"
	"shallotcourse/internal/fault"
	"shallotcourse/internal/timer"
	"shallotcourse/internal/topo"
)

const (
	// youngAge is the time after its first event from which a request has
	// survived: if its target ends later, the request is not the reason.
	youngAge = time.Second
	// maxEndPolls is the number of polls of a target that resets connections.
	maxEndPolls = 3
	// runningAge is the time after its first event from which a request counts as
	// running: a target that ends under a request does so sooner, unless it is slow.
	runningAge = 300 * time.Millisecond
	// loggedPromptParts bounds the parts of a prompt in a log line.
	loggedPromptParts = 8
)

// brokenRun is a run of a request that a target of its path broke off.
type brokenRun struct {
	target topo.Target
	// sent and began are the times since the request was sent and since its first
	// event; began is negative if there was none.
	sent, began time.Duration
	events      int
	// young is true if the request had not survived.
	young bool
}

// brokenRun describes the current run, or the standby, which a target broke off.
func (s *stream) brokenRun(t topo.Target) brokenRun {
	now := s.Clock.Now()
	if r := s.standby; r != nil && r.hops[0].Target.ID == t.ID {
		return brokenRun{target: t, sent: now.Sub(r.sentAt), began: -1, events: s.events, young: true}
	}
	b := brokenRun{target: t, sent: now.Sub(s.sentAt), began: -1, events: s.events, young: !s.survived}
	if !s.beganAt.IsZero() {
		b.began = now.Sub(s.beganAt)
	}
	return b
}

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
	case errors.Is(err, syscall.ECONNREFUSED):
		return "it refuses connections"
	}
	return ""
}

// noteProof records that a target has ended if a poll proves it.
func (s *stream) noteProof(t topo.Target, r Report, err error) {
	if proofOfEnd(t, r, err) != "" {
		s.Ledger.RecordEnd(t)
	}
}

// confirmEnd records the end of a target if a poll proves it. A connection that is
// reset proves nothing: the target may have too many, or be about to end. Nor does
// the end of a target that has said that it leaves.
func (s *stream) confirmEnd(b brokenRun) {
	if s.Limits.Standing(b.target).Leaving {
		return
	}
	for range maxEndPolls {
		r, err := s.fetchReport(context.Background(), b.target)
		if proof := proofOfEnd(b.target, r, err); proof != "" {
			s.noteTargetEnded(b, proof)
			return
		}
		if !errors.Is(err, syscall.ECONNRESET) || timer.Sleep(s.abortCtx, s.Clock, reportMaxAge) != nil {
			return
		}
	}
}

// noteTargetEnded records that a target has ended under a request that had not
// survived there.
func (s *stream) noteTargetEnded(b brokenRun, proof string) {
	if !b.young {
		return
	}
	_ = level.Warn(s.Log).Log("event", "TargetEnded", "target", b.target.ID, "born", b.target.Started, "proof", proof, "request", s.headers.ID,
		"route", s.route.Name, "account", s.account, "sent", b.sent.Round(time.Millisecond), "began", b.beganText(),
		"events", b.events, "prompt", promptText(s.headers.PromptParts))
	s.Metrics.GetOrCreateCounter("shallotcourse_young_requests_lost_total").Inc()
	s.Prompts.Ended(b.target, s.headers.PromptParts)
}

// noteProgress records, once for each run, that the target goes on answering, and
// later that it will not end under the request.
func (s *stream) noteProgress(now time.Time) {
	switch age := now.Sub(s.beganAt); {
	case age >= youngAge:
		s.noteSurvival()
	case age >= runningAge && s.endRunning == nil:
		s.endRunning = s.Prompts.Running(s.headers.PromptParts)
	}
}

// noteNotRunning ends the record that the target goes on answering.
func (s *stream) noteNotRunning() {
	if s.endRunning != nil {
		s.endRunning()
		s.endRunning = nil
	}
}

// noteSurvival records, once for each run, that the target will not end under the
// request.
func (s *stream) noteSurvival() {
	if !s.survived {
		s.survived = true
		s.Prompts.Survived(s.headers.PromptParts)
		s.noteNotRunning()
	}
}

// noteComplete records that the answer is complete. The end of an unframed one may
// be that of its target.
func (s *stream) noteComplete(unframed bool) {
	if !unframed {
		s.noteSurvival()
		return
	}
	if b := s.brokenRun(s.hops[0].Target); b.young {
		s.background(func() { s.confirmEnd(b) })
	}
}

// heldError logs that a hold keeps the request from being sent, and returns the
// failure.
func (s *stream) heldError(h *blame.Hold) *fault.Error {
	parts := promptText(h.Parts)
	_ = level.Warn(s.Log).Log("event", "PromptRefused", "request", s.headers.ID, "parts", parts, "left", h.Left.Round(time.Millisecond),
		"since", h.Age.Round(time.Millisecond), "rounds", h.Rounds, "evidence", h.EvidenceText())
	s.Metrics.GetOrCreateCounter("shallotcourse_prompt_refusals_total").Inc()
	return fault.Newf(fault.Held, "targets ended under prompts that contain %s; such prompts are not sent at present", parts).
		WithRetryAfter(h.RetryAfter())
}

// promptText returns the parts of a prompt for the log.
func promptText(parts []string) string {
	if len(parts) > loggedPromptParts {
		return strings.Join(parts[:loggedPromptParts], ",") + ",..."
	}
	return strings.Join(parts, ",")
}
