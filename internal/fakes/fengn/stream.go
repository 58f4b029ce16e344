package fengn

import (
	"encoding/json"
	"net/http"

	"shallotcourse/internal/engine"
)

// streamSteps bounds the unanswered steps of one stream; the engine reads no
// more of them meanwhile.
const streamSteps = 4096

// serveStream takes batches of steps from the body of one long request, and
// answers each step when it ends. Indexes count all steps of the request.
func (e *Engine) serveStream(w http.ResponseWriter, r *http.Request) {
	control := http.NewResponseController(w)
	if err := control.EnableFullDuplex(); err != nil {
		write(w, nil, err)
		return
	}
	w.Header().Set("Content-Type", "application/x-ndjson")
	w.WriteHeader(http.StatusOK)
	_ = control.Flush()
	// Room is taken for each step before it is queued, so that reply has room
	// for its end.
	reply, room := make(chan ended, streamSteps), make(chan struct{}, streamSteps)
	unread, unwritten := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(unwritten)
		e.answerStream(w, reply, room, unread)
	}()
	batches := json.NewDecoder(r.Body)
	index := 0
	for {
		var batch []engine.BatchStep
		if batches.Decode(&batch) != nil || len(batch) > streamSteps {
			break
		}
		for range batch {
			room <- struct{}{}
		}
		e.submitAll(batch, index, reply)
		index += len(batch)
	}
	close(unread)
	<-unwritten
}

// answerStream writes the ends of steps until the request has ended.
func (e *Engine) answerStream(w http.ResponseWriter, reply <-chan ended, room <-chan struct{}, unread <-chan struct{}) {
	lines := json.NewEncoder(w)
	for {
		if len(reply) == 0 {
			_ = http.NewResponseController(w).Flush()
		}
		var end ended
		select {
		case end = <-reply:
			<-room
		case <-unread:
			return
		}
		asked := engine.StepRequest{Position: end.step.position, Count: len(end.step.inputs)}
		result, err := e.result(end, asked)
		if err != nil {
			_ = lines.Encode(failed(end.step.index, err))
			continue
		}
		_ = lines.Encode(engine.BatchResult{Index: end.step.index, Result: result})
	}
}
