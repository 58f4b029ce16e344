package fault

import (
	"encoding/json"
	"io"
	"math"
	"net/http"
	"strconv"
	"time"
)

// maxBodyBytes bounds the error body that ReadBody accepts.
const maxBodyBytes = 64 << 10

// body is the JSON form of a failure.
type body struct {
	Code              Code
	Outcome           Outcome
	Detail            string
	Field             string  `json:",omitempty"`
	Revision          uint64  `json:",omitempty"`
	RetryAfterSeconds float64 `json:",omitempty"`
}

// WriteBody answers an HTTP request with the failure: status, outcome header,
// Retry-After and a JSON body. The cause is not written.
func WriteBody(w http.ResponseWriter, err error) {
	e := As(err)
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(Header, string(e.Outcome))
	if e.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(e.RetryAfter.Seconds()))))
	}
	w.WriteHeader(e.Status())
	// The client has gone when this write fails; there is nobody to tell.
	_ = json.NewEncoder(w).Encode(body{
		Code: e.Code, Outcome: e.Outcome, Detail: e.Detail, Field: e.Field,
		Revision: e.Revision, RetryAfterSeconds: e.RetryAfter.Seconds(),
	})
}

// ReadBody returns the failure in an HTTP answer that WriteBody made. Another
// answer gives an Unavailable failure with an unknown outcome.
func ReadBody(status int, r io.Reader) *Error {
	var b body
	if err := json.NewDecoder(io.LimitReader(r, maxBodyBytes)).Decode(&b); err != nil || b.Code == "" || b.Outcome == "" {
		return Newf(Unavailable, "answer with status %d", status).WithOutcome(Unknown).WithCause(err)
	}
	e := New(b.Code, b.Detail).WithOutcome(b.Outcome)
	e.Field, e.Revision = b.Field, b.Revision
	if b.Outcome == NotRun {
		e.RetryAfter = time.Duration(b.RetryAfterSeconds * float64(time.Second))
	}
	return e
}
