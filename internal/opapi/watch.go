package opapi

import (
	"encoding/json"
	"net/http"
	"time"

	"shallotcourse/internal/fault"
	"shallotcourse/internal/timer"
	"shallotcourse/pkg/resrc"
)

// watch streams the changes after a revision as JSON lines until the client
// disconnects or the process stops.
func (h *handler) watch(w http.ResponseWriter, r *http.Request) {
	if _, err := h.authenticate(r); err != nil {
		fault.WriteBody(w, err)
		return
	}
	select {
	case h.watchSlots <- struct{}{}:
		defer func() { <-h.watchSlots }()
	default:
		fault.WriteBody(w, fault.New(fault.Overloaded, "too many open watches").WithRetryAfter(heartbeatInterval))
		return
	}
	// Without Since, the stream starts at the revision in force.
	since, err := queryNumber(r, "Since", h.Store.Snapshot().Revision)
	if err != nil {
		fault.WriteBody(w, err)
		return
	}
	h.stream(w, r, since)
}

// stream sends the changes after a revision, then new ones as they come into
// force. A failure before the first line gets an error answer. A failure after
// it ends the stream, and the client resumes from the last revision that it
// received, at any entry.
func (h *handler) stream(w http.ResponseWriter, r *http.Request, since uint64) {
	ticks, stop := h.Clock.Every(heartbeatInterval)
	defer stop()
	encoder, control := json.NewEncoder(w), http.NewResponseController(w)
	// The next request on this connection must not inherit the deadline.
	defer func() { _ = control.SetWriteDeadline(time.Time{}) }()
	for first := true; ; first = false {
		// The section's version is read before the changes, so that a change
		// that is applied in between ends the wait below at once.
		_, seen := h.Store.Section().Get()
		changes, err := h.changesSince(r, since)
		if err != nil {
			if first {
				fault.WriteBody(w, err)
			}
			return
		}
		if first {
			w.Header().Set("Content-Type", "application/jsonl")
		}
		// The deadline ends the stream of a client that does not read. The
		// error is ignored, since not every response writer has deadlines.
		_ = control.SetWriteDeadline(h.Clock.Now().Add(writeTimeout))
		events := newEvents(changes, since)
		since = events[len(events)-1].Revision
		for _, e := range events {
			if encoder.Encode(e) != nil {
				return
			}
		}
		if control.Flush() != nil {
			return
		}
		if len(changes) > 0 {
			continue
		}
		select {
		case <-r.Context().Done():
			return
		case <-h.Stopping:
			return
		case <-h.Store.Section().Changed(seen):
		case <-ticks:
		}
	}
}

// newEvents returns one event for each change, or a heartbeat when there is none.
func newEvents(changes []resrc.Change, since uint64) []Event {
	if len(changes) == 0 {
		return []Event{{Revision: since}}
	}
	events := make([]Event, len(changes))
	for i := range changes {
		events[i] = Event{Revision: changes[i].Revision, Change: &changes[i]}
	}
	return events
}

// changesSince returns the changes after a revision from the store's change log,
// or from the table when the log does not reach back that far.
func (h *handler) changesSince(r *http.Request, since uint64) ([]resrc.Change, error) {
	if changes, ok := h.Store.ChangesSince(since); ok {
		return changes, nil
	}
	ctx, cancel := timer.WithTimeout(r.Context(), h.Clock, readTimeout)
	defer cancel()
	return h.Store.ListChanges(ctx, since, maxAuditRows)
}
