package blame

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/go-kit/log/level"
)

const (
	// firstHoldTime is the length of the first hold. It doubles with each try
	// under which a target ends, up to maxHoldTime.
	firstHoldTime = 2 * time.Minute
	maxHoldTime   = time.Hour
	// tryTimeout is the time after which a try without an outcome is repeated.
	tryTimeout = 20 * time.Second
	// forgetTime is how long a hold is kept after it is due for a try, and
	// releasedTime how long a released one is kept, so that all gateways learn of
	// the release.
	forgetTime   = 10 * time.Minute
	releasedTime = time.Minute
	// maxHolds bounds the holds; the one that was not asked for the longest is
	// dropped.
	maxHolds = 64
	// maxEvidence is the number of ends that a hold names.
	maxEvidence = 5
)

type (
	// Hold keeps requests that contain all of its parts from being sent.
	Hold struct {
		// Parts is sorted and not empty.
		Parts []string
		// Version grows with each change of the hold; the highest is valid.
		Version uint64
		// Released is set once a request with the parts has survived.
		Released bool `cbor:",omitempty"`
		// Left is the time until the next try; negative once it is due. Age is the
		// time since the parts were found.
		Left, Age time.Duration
		// Rounds is the number of holds in a row.
		Rounds int
		// Evidence holds the last ends that led to the hold.
		Evidence []Evidence `cbor:",omitempty"`
	}

	// Evidence is the end of a target under a request with the parts.
	Evidence struct {
		Target string
		// SeenBy is the gateway that had sent the request.
		SeenBy string
		Age    time.Duration
	}

	hold struct {
		parts    []string
		version  uint64
		released bool
		since    time.Time
		until    time.Time
		rounds   int
		evidence []evidence
		// lastAsked is when a request with the parts last arrived, triedAt when
		// one was last let through to try it.
		lastAsked, triedAt time.Time
	}

	evidence struct {
		target, seenBy string
		at             time.Time
	}
)

// holdKey returns the key of sorted parts.
func holdKey(parts []string) string { return strings.Join(parts, ",") }

// EvidenceText returns the evidence for the log.
func (h Hold) EvidenceText() string {
	var out []string
	for _, e := range h.Evidence {
		out = append(out, fmt.Sprintf("%s %s ago by %s", e.Target, e.Age.Round(time.Millisecond), e.SeenBy))
	}
	return strings.Join(out, "; ")
}

// RetryAfter returns the time after which a request with the parts may be sent
// again, if the next try survives.
func (h Hold) RetryAfter() time.Duration { return max(h.Left, tryTimeout) }

func (h *hold) matches(prompt []string) bool {
	for _, part := range h.parts {
		if !slices.Contains(prompt, part) {
			return false
		}
	}
	return true
}

// due reports whether the hold may be tried.
func (h *hold) due(now time.Time) bool { return !now.Before(h.until) }

// inTry reports whether a try is under way.
func (h *hold) inTry(now time.Time) bool { return h.due(now) && now.Sub(h.triedAt) < tryTimeout }

func (h *hold) mayTry(now time.Time) bool { return h.due(now) && !h.inTry(now) }

// renew starts the next round of the hold.
func (h *hold) renew(now time.Time) {
	h.version++
	h.rounds++
	length := maxHoldTime
	// More doublings would overflow, and the result is bounded anyway.
	if h.rounds <= 10 {
		length = min(length, firstHoldTime<<(h.rounds-1))
	}
	h.until, h.triedAt = now.Add(length), time.Time{}
}

// renewTried renews the holds that were due when a target ended under a request:
// it was a try. The caller holds the lock.
func (t *Tracker) renewTried(prompt []string, ended, now time.Time) {
	for _, h := range t.matchingHolds(prompt) {
		if !h.due(ended) {
			continue
		}
		h.renew(now)
		_ = level.Warn(t.Log).Log("event", "PromptHeldAgain", "parts", strings.Join(h.parts, ","), "for", h.until.Sub(now), "rounds", h.rounds)
		t.notifyChanged()
	}
}

// releaseSurvived releases the holds on a request that survived, and returns
// them. The caller holds the lock.
func (t *Tracker) releaseSurvived(prompt []string, now time.Time) []Hold {
	var out []Hold
	for _, h := range t.matchingHolds(prompt) {
		h.released, h.until = true, now
		h.version++
		out = append(out, h.report(now))
		_ = level.Warn(t.Log).Log("event", "PromptReleased", "parts", strings.Join(h.parts, ","), "rounds", h.rounds)
	}
	return out
}

// makeRoom drops the hold that was not asked for the longest if there are too
// many. The caller holds the lock.
func (t *Tracker) makeRoom() {
	if len(t.holds) < maxHolds {
		return
	}
	oldest := ""
	for key, h := range t.holds {
		if oldest == "" || h.lastAsked.Before(t.holds[oldest].lastAsked) {
			oldest = key
		}
	}
	_ = level.Warn(t.Log).Log("event", "PromptHoldDropped", "parts", oldest)
	delete(t.holds, oldest)
}

func (h *hold) report(now time.Time) Hold {
	out := Hold{Parts: h.parts, Version: h.version, Released: h.released, Left: h.until.Sub(now), Age: now.Sub(h.since), Rounds: h.rounds}
	for _, e := range h.evidence {
		out.Evidence = append(out.Evidence, Evidence{Target: e.target, SeenBy: e.seenBy, Age: now.Sub(e.at)})
	}
	return out
}

// reportHolds returns all holds in the order of their keys, and drops those that
// have ended. The caller holds the lock.
func (t *Tracker) reportHolds(now time.Time) []Hold {
	var out []Hold
	for key, h := range t.holds {
		keep := forgetTime
		if h.released {
			keep = releasedTime
		}
		if now.Sub(h.until) > keep {
			delete(t.holds, key)
			continue
		}
		out = append(out, h.report(now))
	}
	slices.SortFunc(out, func(a, b Hold) int { return slices.Compare(a.Parts, b.Parts) })
	return out
}

// mergeHold adds a hold of another gateway and reports whether that changed
// anything. The caller holds the lock.
func (t *Tracker) mergeHold(m Hold, now time.Time) bool {
	keep := forgetTime
	if m.Released {
		keep = releasedTime
	}
	if len(m.Parts) == 0 || -m.Left > keep || m.Left > maxHoldTime {
		return false
	}
	key := holdKey(m.Parts)
	h := t.holds[key]
	switch {
	case h == nil:
		t.makeRoom()
		h = &hold{parts: m.Parts, lastAsked: now}
		t.holds[key] = h
	case m.Version < h.version, m.Version == h.version && (m.Released || !h.released):
		return false
	}
	h.version, h.released, h.rounds = m.Version, m.Released, m.Rounds
	h.since, h.until, h.triedAt, h.evidence = now.Add(-m.Age), now.Add(m.Left), time.Time{}, nil
	for _, e := range m.Evidence[:min(len(m.Evidence), maxEvidence)] {
		h.evidence = append(h.evidence, evidence{target: e.Target, seenBy: e.SeenBy, at: now.Add(-e.Age)})
	}
	return true
}
