package blame

import (
	"slices"
	"strings"
	"time"

	"github.com/go-kit/log/level"
)

// tally is what speaks against one part of prompts.
type tally struct {
	part string
	// ends is in the order in which they became known.
	ends    []*end
	prompts map[string]bool
	// common holds the parts that all these prompts contain.
	common []string
	// survived is when a request with the part last survived, long before.
	survived time.Time
}

// judge adds a hold for each part that is the likely cause of ends. A hold
// explains the ends under its part, which then speak against no other part. The
// caller holds the lock.
func (t *Tracker) judge(now time.Time) {
	for range maxEnds {
		worst := t.worstPart(now)
		if worst == nil {
			return
		}
		t.hold(worst, now)
	}
}

// worstPart returns what speaks against the part that explains the most ends, or
// nil if that is too little, if two parts explain them equally well, or if a
// request with the part may be about to survive.
func (t *Tracker) worstPart(now time.Time) *tally {
	var worst *tally
	tied := false
	for _, x := range t.tallies(now) {
		if !x.sufficient() || t.heldWith(x) {
			continue
		}
		switch c := x.compare(worst); {
		case c > 0:
			worst, tied = x, false
		case c == 0:
			// Parts that always come together are held together.
			tied = tied || !x.alwaysWith(worst)
		}
	}
	// While it is open whether the part is the cause, no other part is held for the
	// same ends.
	if worst == nil || tied || !worst.certain(now) && t.isRunning(worst.part, now) {
		return nil
	}
	return worst
}

// tallies returns what speaks against each part that is in enough ends.
func (t *Tracker) tallies(now time.Time) []*tally {
	byPart := map[string]*tally{}
	var out []*tally
	t.dropOldEnds(now)
	for _, e := range t.ends {
		explaining := t.holdsOn(e)
		for _, c := range e.cases {
			for _, part := range shared(c.Prompt) {
				if t.endsWith[part] < minOccasions {
					continue
				}
				survived := t.survivors.last(part)
				if !e.at.After(survived) || now.Sub(survived) < trustTime || explainedWithout(part, explaining) {
					continue
				}
				x := byPart[part]
				if x == nil {
					x = &tally{part: part, prompts: map[string]bool{}, common: c.Prompt, survived: survived}
					byPart[part] = x
					out = append(out, x)
				}
				x.add(e, c)
			}
		}
	}
	return out
}

func (x *tally) add(e *end, c Case) {
	if len(x.ends) == 0 || x.ends[len(x.ends)-1] != e {
		x.ends = append(x.ends, e)
	}
	x.prompts[strings.Join(c.Prompt, ",")] = true
	x.common = slices.DeleteFunc(slices.Clone(x.common), func(part string) bool { return !slices.Contains(c.Prompt, part) })
}

// sufficient reports whether the ends are too many, too different and too far
// apart for chance.
func (x *tally) sufficient() bool {
	occasions := x.occasions()
	if len(x.ends) < minOccasions || len(x.prompts) < minPrompts {
		return false
	}
	return len(occasions) >= minOccasions || len(x.ends) >= certainEnds && occasions[len(occasions)-1].Sub(occasions[0]) >= trustTime
}

// certain reports whether requests that are just being answered change nothing.
func (x *tally) certain(now time.Time) bool {
	return len(x.ends) >= certainEnds && now.Sub(x.occasions()[0]) >= trustTime
}

// occasions returns the times of the occasions on which the ends happened.
func (x *tally) occasions() []time.Time {
	times := make([]time.Time, len(x.ends))
	for i, e := range x.ends {
		times[i] = e.at
	}
	slices.SortFunc(times, time.Time.Compare)
	var out []time.Time
	for _, at := range times {
		if len(out) == 0 || at.Sub(out[len(out)-1]) >= occasionTime {
			out = append(out, at)
		}
	}
	return out
}

// isRunning reports whether some gateway has a request with the part that is being
// answered and has not survived yet.
func (t *Tracker) isRunning(part string, now time.Time) bool {
	return t.running[part] > 0 || now.Sub(t.runningElsewhere[part]) < runningTime
}

// compare returns a positive number if more speaks against x than against y: more
// ends, an earlier survival, or as many ends under prompts that all contain y too.
// A nil y loses.
func (x *tally) compare(y *tally) int {
	if y == nil {
		return 1
	}
	if len(x.ends) != len(y.ends) {
		return len(x.ends) - len(y.ends)
	}
	if c := y.survived.Compare(x.survived); c != 0 {
		return c
	}
	withY, withX := slices.Contains(x.common, y.part), slices.Contains(y.common, x.part)
	switch {
	case withY && !withX:
		return 1
	case withX && !withY:
		return -1
	}
	return 0
}

// alwaysWith reports whether all prompts with either part contain the other.
func (x *tally) alwaysWith(y *tally) bool {
	return slices.Contains(x.common, y.part) && slices.Contains(y.common, x.part)
}

// holdsOn returns the holds in force that explain an end.
func (t *Tracker) holdsOn(e *end) []*hold {
	var out []*hold
	for _, h := range t.holds {
		if !h.released && slices.ContainsFunc(e.cases, func(c Case) bool { return h.matches(c.Prompt) }) {
			out = append(out, h)
		}
	}
	return out
}

// explainedWithout reports whether one of the holds is on other parts only.
func explainedWithout(part string, holds []*hold) bool {
	return slices.ContainsFunc(holds, func(h *hold) bool { return !slices.Contains(h.parts, part) })
}

// heldParts returns the parts that a request must contain to be held back: the
// part itself and those that came with it each time, unless they have survived
// without it.
func (t *Tracker) heldParts(x *tally, now time.Time) []string {
	var out []string
	for _, part := range x.common {
		if part == x.part || now.Sub(t.survivors.last(part)) > evidenceTime {
			out = append(out, part)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// heldWith reports whether a hold in force covers all prompts of the tally.
func (t *Tracker) heldWith(x *tally) bool {
	for _, h := range t.holds {
		if !h.released && h.matches(x.common) {
			return true
		}
	}
	return false
}

// hold adds a hold for a part.
func (t *Tracker) hold(x *tally, now time.Time) {
	parts := t.heldParts(x, now)
	h := t.holds[holdKey(parts)]
	if h == nil {
		t.makeRoom()
		h = &hold{parts: parts, lastAsked: now}
		t.holds[holdKey(parts)] = h
	}
	h.since, h.released, h.evidence = now, false, nil
	for _, e := range x.ends[max(0, len(x.ends)-maxEvidence):] {
		i := slices.IndexFunc(e.cases, func(c Case) bool { return slices.Contains(c.Prompt, x.part) })
		h.evidence = append(h.evidence, evidence{target: e.target, seenBy: e.cases[i].SeenBy, at: e.at})
	}
	h.renew(now)
	_ = level.Warn(t.Log).Log("event", "PromptHeld", "parts", strings.Join(parts, ","), "ends", len(x.ends), "prompts", len(x.prompts),
		"for", h.until.Sub(now), "rounds", h.rounds, "evidence", h.report(now).EvidenceText())
	t.notifyChanged()
}

// notifyChanged wakes those that wait on Changed. The caller holds the lock.
func (t *Tracker) notifyChanged() {
	close(t.changed)
	t.changed = make(chan struct{})
}
