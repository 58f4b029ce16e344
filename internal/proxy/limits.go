package proxy

import (
	"sync"

	"github.com/go-kit/log/level"

	"shallotcourse/internal/topo"
)

// targetLimits holds the limits that targets have named, by ID.
type targetLimits struct {
	mu    sync.Mutex
	named map[string]NamedLimit
}

// noteLimit records the limit that a target names in a response to this request.
func (q *request) noteLimit(t topo.Target, l NamedLimit) {
	q.limits.mu.Lock()
	before := q.limits.named[t.ID]
	switch {
	case !l.Named:
		delete(q.limits.named, t.ID)
	default:
		q.limits.named[t.ID] = l
	}
	q.limits.mu.Unlock()
	if l == before {
		return
	}
	_ = level.Warn(q.Log).Log("event", "TargetLimit", "target", t.ID, "born", t.Started, "service", t.Service, "named", l.Named, "limit", l.PerSecond,
		"malformed", l.Malformed, "before", before.PerSecond, "request", q.headers.ID)
}
