package fault

import (
	"encoding/json"
	"io"
	"math"
	"net/http"
	"strconv"
	"time"
)

// maxBodyBytes bounds how much of an error body ReadBody reads.
const maxBodyBytes = 64 << 10

// errorBody is the JSON form of an Error.
type errorBody struct {
	Code              Code
	Outcome           Outcome
	Detail            string
	Field             string  `json:",omitempty"`
	Revision          uint64  `json:",omitempty"`
	RetryAfterSeconds float64 `json:",omitempty"`
}

// WriteBody answers an HTTP request with a failure: the status, the outcome
// header, Retry-After and a JSON body. It does not reveal the cause.
func WriteBody(w http.ResponseWriter, err error) {
	e := As(err)
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(Header, string(e.Outcome))
	if e.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(e.RetryAfter.Seconds()))))
	}
	w.WriteHeader(e.Status())
	// A write error is ignored: it means that the client has disconnected.
	_ = json.NewEncoder(w).Encode(errorBody{
		Code: e.Code, Outcome: e.Outcome, Detail: e.Detail, Field: e.Field,
		Revision: e.Revision, RetryAfterSeconds: e.RetryAfter.Seconds(),
	})
}

// ReadBody returns the failure in an HTTP answer that was written by WriteBody.
// For any other answer it returns an Unavailable failure with outcome Unknown.
func ReadBody(status int, r io.Reader) *Error {
	var b errorBody
	if err := json.NewDecoder(io.LimitReader(r, maxBodyBytes)).Decode(&b); err != nil || b.Code == "" || b.Outcome == "" {
		return Newf(Unavailable, "HTTP answer with status %d and no valid error body", status).WithOutcome(Unknown).WithCause(err)
	}
	e := New(b.Code, b.Detail).WithOutcome(b.Outcome)
	e.Field, e.Revision = b.Field, b.Revision
	if b.Outcome == NotRun {
		e.RetryAfter = time.Duration(b.RetryAfterSeconds * float64(time.Second))
	}
	return e
}
