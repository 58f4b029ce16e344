package fengn

import (
	"encoding/json"
	"net/http"

	"shallotcourse/internal/engine"
)

// maxStreamSteps is the maximum number of unanswered steps of one stream. The
// engine stops reading the stream while it is reached.
const maxStreamSteps = 4096

// serveStream reads batches of steps from the body of one long request, and
// writes the answer to each step as soon as it is complete. Index in an answer
// is the number of the step within the request, from 0.
func (e *Engine) serveStream(w http.ResponseWriter, r *http.Request) {
	control := http.NewResponseController(w)
	if err := control.EnableFullDuplex(); err != nil {
		writeReply(w, nil, err)
		return
	}
	w.Header().Set("Content-Type", "application/x-ndjson")
	w.WriteHeader(http.StatusOK)
	_ = control.Flush()
	// A slot is acquired for each step before it is queued, so that sending its
	// answer to reply never blocks the engine.
	reply, slots := make(chan stepAnswer, maxStreamSteps), make(chan struct{}, maxStreamSteps)
	readDone, writeDone := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(writeDone)
		e.writeStream(w, reply, slots, readDone)
	}()
	decoder := json.NewDecoder(r.Body)
	index := 0
	for {
		var batch []engine.BatchStep
		if decoder.Decode(&batch) != nil || len(batch) > maxStreamSteps {
			break
		}
		for range batch {
			slots <- struct{}{}
		}
		e.submitAll(batch, index, reply)
		index += len(batch)
	}
	close(readDone)
	<-writeDone
}

// writeStream writes the answers to steps until the request body has ended.
func (e *Engine) writeStream(w http.ResponseWriter, reply <-chan stepAnswer, slots <-chan struct{}, readDone <-chan struct{}) {
	encoder := json.NewEncoder(w)
	for {
		if len(reply) == 0 {
			_ = http.NewResponseController(w).Flush()
		}
		var answer stepAnswer
		select {
		case answer = <-reply:
			<-slots
		case <-readDone:
			return
		}
		request := engine.StepRequest{Position: answer.step.position, Count: len(answer.step.inputs)}
		result, err := e.result(answer, request)
		if err != nil {
			_ = encoder.Encode(errorResult(answer.step.index, err))
			continue
		}
		_ = encoder.Encode(engine.BatchResult{Index: answer.step.index, Result: result})
	}
}
