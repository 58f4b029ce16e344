package blame

import (
	"slices"
	"strings"
	"time"

	"github.com/go-kit/log/level"
)

const (
	// repeatTime is how long the end of a target is part of each report, so that
	// lost reports and short pauses of a gateway do no harm.
	repeatTime = 2 * time.Second
	// survivalInterval is the minimum time between two reports that the same part
	// has survived.
	survivalInterval = time.Second
	// runningTime is how long a report of running requests counts. It takes three
	// reports to pass from a group of gateways to another one.
	runningTime = 800 * time.Millisecond
	// maxReportedParts bounds the parts that survived, and those that are being
	// answered, in a report.
	maxReportedParts = 64
)

type (
	// Report is what a gateway tells the others. Ages count back from the time
	// of the report.
	Report struct {
		Ends []End `cbor:",omitempty"`
		// Survivals maps parts that are in cases to the time since a request with
		// them survived.
		Survivals map[string]time.Duration `cbor:",omitempty"`
		// Running maps parts that are in cases to the time since a request with them
		// was last being answered.
		Running map[string]time.Duration `cbor:",omitempty"`
		Holds   []Hold                   `cbor:",omitempty"`
	}

	// End is the end of a target.
	End struct {
		Target string
		// Started is the start time of the incarnation that ended.
		Started int64
		Age     time.Duration
		Cases   []Case
	}
)

// Empty reports whether there is nothing to tell.
func (r Report) Empty() bool { return len(r.Ends)+len(r.Survivals)+len(r.Running)+len(r.Holds) == 0 }

// Reporter builds the reports of a Tracker at regular times.
type Reporter struct {
	tracker *Tracker
	// reported holds when the survival of each part was last reported, and the
	// time of that survival.
	reported map[string]reportedSurvival
}

type reportedSurvival struct{ at, survived time.Time }

// NewReporter returns a Reporter. It is not safe for concurrent use.
func (t *Tracker) NewReporter() *Reporter {
	return &Reporter{tracker: t, reported: map[string]reportedSurvival{}}
}

// Report returns what is new since repeatTime and all holds. With relay, it also
// contains what other gateways have seen.
func (r *Reporter) Report(relay bool) Report {
	t := r.tracker
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Clock.Now()
	t.judge(now)
	out := Report{Holds: t.reportHolds(now), Survivals: r.survivals(now), Running: t.suspectsRunning(now, relay)}
	for _, e := range t.ends {
		if now.Sub(e.learned) > repeatTime {
			continue
		}
		if m, ok := e.report(now, relay, t.Instance); ok {
			out.Ends = append(out.Ends, m)
		}
	}
	return out
}

// FullReport returns everything that a gateway without knowledge needs.
func (t *Tracker) FullReport() Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Clock.Now()
	t.dropOldEnds(now)
	out := Report{Holds: t.reportHolds(now), Survivals: map[string]time.Duration{}}
	for _, e := range t.ends {
		m, _ := e.report(now, true, t.Instance)
		out.Ends = append(out.Ends, m)
	}
	for part := range t.endsWith {
		if at := t.survivors.last(part); now.Sub(at) <= evidenceTime && len(out.Survivals) < maxReportedParts {
			out.Survivals[part] = now.Sub(at)
		}
	}
	return out
}

// report returns the end with all its cases, or with those that the instance has
// seen itself; ok is false if there is none.
func (e *end) report(now time.Time, all bool, instance string) (out End, ok bool) {
	out = End{Target: e.target, Started: e.started, Age: now.Sub(e.at)}
	for _, c := range e.cases {
		if all || c.SeenBy == instance {
			out.Cases = append(out.Cases, c)
		}
	}
	return out, len(out.Cases) > 0
}

// survivals returns the parts in cases that have survived since the last report,
// each at most once in survivalInterval.
func (r *Reporter) survivals(now time.Time) map[string]time.Duration {
	out := map[string]time.Duration{}
	for part, last := range r.reported {
		if now.Sub(last.survived) > evidenceTime {
			delete(r.reported, part)
		}
	}
	for part := range r.tracker.endsWith {
		at, last := r.tracker.survivors.last(part), r.reported[part]
		if now.Sub(at) > evidenceTime || !at.After(last.survived) || now.Sub(last.at) < survivalInterval {
			continue
		}
		if len(out) == maxReportedParts {
			break
		}
		r.reported[part] = reportedSurvival{at: now, survived: at}
		out[part] = now.Sub(at)
	}
	return out
}

// suspectsRunning returns the parts in cases that are in requests which are being
// answered here, or with relay at any gateway. The caller holds the lock.
func (t *Tracker) suspectsRunning(now time.Time, relay bool) map[string]time.Duration {
	out := map[string]time.Duration{}
	for part := range t.endsWith {
		if t.running[part] > 0 && len(out) < maxReportedParts {
			out[part] = 0
		}
	}
	for part, at := range t.runningElsewhere {
		if now.Sub(at) >= runningTime {
			delete(t.runningElsewhere, part)
			continue
		}
		// The age stays that of the first report, so that relays do not confirm one
		// another.
		if _, here := out[part]; relay && !here && len(out) < maxReportedParts {
			out[part] = now.Sub(at)
		}
	}
	return out
}

// Merge adds the report of another gateway. It returns the ends and holds that
// were new to this one.
func (t *Tracker) Merge(from string, m Report) Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Clock.Now()
	for part, age := range m.Survivals {
		if age >= 0 && age <= evidenceTime {
			t.survivors.add(part, now.Add(-age))
		}
	}
	for part, age := range m.Running {
		if at := now.Add(-age); age >= 0 && age < runningTime && t.endsWith[part] > 0 && at.After(t.runningElsewhere[part]) {
			t.runningElsewhere[part] = at
		}
	}
	var fresh Report
	for _, h := range m.Holds {
		if t.mergeHold(h, now) {
			fresh.Holds = append(fresh.Holds, h)
			_ = level.Warn(t.Log).Log("event", "PromptHold", "from", from, "parts", strings.Join(h.Parts, ","), "released", h.Released,
				"left", h.Left.Round(time.Millisecond), "rounds", h.Rounds, "evidence", h.EvidenceText())
			t.notifyChanged()
		}
	}
	for _, e := range m.Ends {
		if e.Age < 0 || e.Age > evidenceTime {
			continue
		}
		cases := slices.DeleteFunc(slices.Clone(e.Cases), func(c Case) bool {
			return len(shared(c.Prompt)) == 0 || !t.addCase(e.Target, e.Started, now.Add(-e.Age), c)
		})
		if len(cases) == 0 {
			continue
		}
		e.Cases = cases
		fresh.Ends = append(fresh.Ends, e)
		for _, c := range cases {
			t.renewTried(c.Prompt, now.Add(-e.Age), now)
			t.judgeCase(c, now)
		}
	}
	return fresh
}
