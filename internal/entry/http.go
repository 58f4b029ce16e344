package entry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"
	"unicode/utf8"

	"github.com/go-kit/log/level"

	"github.com/gorilla/mux"

	"shallotcourse/internal/bearer"
	"shallotcourse/internal/budget"
	"shallotcourse/internal/fault"
	"shallotcourse/pkg/resrc"
)

const contentJSON = "application/json"

// abandonedBodyTime bounds the read of a body behind a refusal, so that a caller
// that still sends is not reset before it has read the refusal.
const abandonedBodyTime = 500 * time.Millisecond

// errDraining refuses requests once the balancer's lag has passed in a drain.
var errDraining = fault.New(fault.Leaving, "entry is shutting down").WithRetryAfter(time.Second)

// callerHandler handles the request of an authenticated caller. It returns its
// failure, unless it has already written the failure to the body.
type callerHandler func(w *budget.Writer, r *http.Request, account string) error

// callerBody is the body of a request.
type callerBody struct {
	io.ReadCloser
	// ended is true once the body has been read to its end.
	ended bool
	// held is what has been read of it; nil before.
	held *budget.Body
}

func (e *Entry) routes() http.Handler {
	m := mux.NewRouter().UseEncodedPath().SkipClean(true)
	m.Methods(http.MethodPost).Path("/v1/completions").Handler(e.authenticated(e.completions))
	m.Methods(http.MethodPost).Path("/v1/chat/completions").Handler(e.authenticated(e.chatCompletions))
	m.Methods(http.MethodGet).Path("/v1/models").Handler(e.authenticated(e.models))
	m.PathPrefix("/services/{Service}/").Handler(e.authenticated(e.serveCall))
	m.NotFoundHandler = e.authenticated(func(*budget.Writer, *http.Request, string) error {
		return fault.New(fault.NotFound, "path does not exist")
	})
	m.MethodNotAllowedHandler = e.authenticated(func(*budget.Writer, *http.Request, string) error {
		return fault.New(fault.NotFound, "method is not supported at this path")
	})
	return m
}

// authenticated returns a handler that authenticates the caller, applies the
// size limits, and writes the failure that h returns.
func (e *Entry) authenticated(h callerHandler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// Counted before draining is checked, so that Drain either waits for
		// the request or the request is refused.
		e.metrics.open.Add(1)
		defer e.metrics.open.Add(-1)
		body := &callerBody{ReadCloser: http.MaxBytesReader(w, r.Body, e.bounds.BodyBytes), ended: r.ContentLength == 0}
		r.Body = body
		claim := budget.FromContext(r.Context())
		claim.SetPhase(budget.Receiving)
		defer claim.SetPhase(budget.Receiving)
		defer func() { body.held.Release() }()
		out := budget.NewWriter(w, r, e.cfg.Timer, e.bounds.WriteTimeout)
		defer out.Release()
		if err := e.admitCaller(h, out, r); err != nil {
			if !body.ended {
				e.abandonBody(out)
			}
			e.writeError(out, fault.As(err))
		}
	})
}

// admitCaller authenticates the caller, applies the size limits and calls h.
func (e *Entry) admitCaller(h callerHandler, w *budget.Writer, r *http.Request) error {
	account, ok := e.authenticate(r)
	if !ok {
		return fault.New(fault.Unauthorized, "API key is missing or wrong")
	}
	budget.FromContext(r.Context()).SetAccount(account)
	if e.draining.Load() {
		w.Header().Set("Connection", "close")
		return errDraining
	}
	if n := headerBytes(r.Header); n > e.bounds.HeaderBytes {
		return fault.Newf(fault.TooLarge, "header has %d bytes; allowed: %d", n, e.bounds.HeaderBytes)
	}
	if r.ContentLength > e.bounds.BodyBytes {
		return bodyTooLarge(e.bounds.BodyBytes)
	}
	return h(w, r, account)
}

// abandonBody makes the server send the response before the rest of the request's
// body, which it would otherwise await without a deadline, and bounds the time in
// which it reads and drops that rest.
func (e *Entry) abandonBody(w *budget.Writer) {
	w.Header().Set("Connection", "close")
	w.SetIdle(abandonedBodyTime)
	// A writer that does not support deadlines belongs to no connection.
	_ = http.NewResponseController(w).SetReadDeadline(e.cfg.Timer.Now().Add(abandonedBodyTime))
}

// Read implements io.Reader.
func (b *callerBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.ended = true
	}
	return n, err
}

// authenticate returns the account whose API key the request carries. Keys are
// looked up by their digest, so that response times reveal nothing about them.
func (e *Entry) authenticate(r *http.Request) (string, bool) {
	key, ok := bearer.Key(r.Header)
	if !ok {
		return "", false
	}
	sum := sha256.Sum256([]byte(key))
	account, ok := (*e.accountByKeyDigest.Load())[hex.EncodeToString(sum[:])]
	return account, ok
}

// writeError writes a failure as a JSON error body, with its outcome in a
// header.
func (e *Entry) writeError(w http.ResponseWriter, f *fault.Error) {
	e.metrics.countFailure(f)
	if f.Cause != nil {
		_ = level.Info(e.cfg.Log).Log("msg", "request failed", "code", f.Code, "outcome", f.Outcome, "err", f)
	}
	h := w.Header()
	h.Set("Content-Type", contentJSON)
	h.Set(fault.Header, string(f.Outcome))
	if f.Outcome == fault.NotRun && f.Retryable() {
		h.Set("Retry-After", strconv.Itoa(roundSeconds(f.RetryAfter, rand.Float64())))
	}
	w.WriteHeader(f.Status())
	_, _ = w.Write(errorBody(f))
}

// roundSeconds rounds a retry hint up or down at random, so that the mean of
// many hints is preserved. If all were rounded in the same direction, callers
// would retry in bursts. The random value is in [0, 1).
func roundSeconds(d time.Duration, random float64) int {
	return max(1, int(math.Floor(d.Seconds()+random)))
}

// errorBody returns the JSON of a failure. The field names follow the published
// error format of the chat and completion API, with outcome and retry_after
// added.
func errorBody(f *fault.Error) []byte {
	var body struct {
		Error struct {
			Message    string  `json:"message"`
			Type       string  `json:"type"`
			Code       string  `json:"code"`
			Param      string  `json:"param,omitempty"`
			Outcome    string  `json:"outcome"`
			RetryAfter float64 `json:"retry_after,omitempty"`
		} `json:"error"`
	}
	body.Error.Message, body.Error.Code, body.Error.Param = f.Detail, string(f.Code), f.Field
	body.Error.Outcome, body.Error.RetryAfter = string(f.Outcome), f.RetryAfter.Seconds()
	switch {
	case f.Status() == http.StatusUnauthorized:
		body.Error.Type = "authentication_error"
	case f.Status() == http.StatusTooManyRequests:
		body.Error.Type = "rate_limit_error"
	case f.Status() < http.StatusInternalServerError:
		body.Error.Type = "invalid_request_error"
	default:
		body.Error.Type = "server_error"
	}
	b, _ := json.Marshal(body)
	return b
}

// readJSON decodes the request body. Unknown fields are ignored, since the
// published request format has many that have no effect here.
func readJSON(r *http.Request, v any) error {
	b, err := readBody(r)
	if err != nil {
		return err
	}
	if !utf8.Valid(b) {
		// The JSON decoder would replace invalid bytes, and so change the
		// prompt.
		return fault.New(fault.BadInput, "body is not valid UTF-8")
	}
	if err := json.Unmarshal(b, v); err != nil {
		var f *fault.Error
		if errors.As(err, &f) {
			return f
		}
		return fault.Newf(fault.BadInput, "cannot decode request body: %v", err).WithCause(err)
	}
	return nil
}

func headerBytes(h http.Header) int {
	n := 0
	for name, values := range h {
		for _, v := range values {
			n += len(name) + len(v)
		}
	}
	return n
}

// readBody returns the body, which the request's claim holds until the request ends.
func readBody(r *http.Request) ([]byte, error) {
	b, err := budget.ReadBody(r.Context(), r.Body, r.ContentLength, math.MaxInt64)
	var large *http.MaxBytesError
	var failure *fault.Error
	switch {
	case errors.As(err, &large):
		return nil, bodyTooLarge(large.Limit)
	case errors.As(err, &failure):
		return nil, failure
	case err != nil:
		return nil, fault.New(fault.Canceled, "request body could not be read").WithCause(err)
	}
	if body, ok := r.Body.(*callerBody); ok {
		body.held = b
	}
	return b.Join(r.Context())
}

func bodyTooLarge(limit int64) *fault.Error {
	return fault.Newf(fault.TooLarge, "body is too large; allowed: %d bytes", limit)
}

// writeWhole writes a whole body, which is held until the caller has taken it. Without
// room for it, the caller gets a failure, although its request has run.
func writeWhole(ctx context.Context, w *budget.Writer, status int, b []byte) error {
	if err := w.Hold(ctx, len(b)); err != nil {
		return fault.As(err).WithOutcome(fault.Unknown)
	}
	w.WriteHeader(status)
	_, _ = w.Write(b)
	return nil
}

func writeJSON(ctx context.Context, w *budget.Writer, v any) error {
	b, err := json.Marshal(v)
	if err != nil {
		return fault.New(fault.Internal, "cannot encode response").WithOutcome(fault.Unknown).WithCause(err)
	}
	w.Header().Set("Content-Type", contentJSON)
	return writeWhole(ctx, w, http.StatusOK, b)
}

// models lists the models and adapters that a caller may request.
func (e *Entry) models(w *budget.Writer, r *http.Request, _ string) error {
	type item struct {
		ID      string `json:"id"`
		Object  string `json:"object"`
		OwnedBy string `json:"owned_by"`
	}
	var body struct {
		Object string `json:"object"`
		Data   []item `json:"data"`
	}
	body.Object, body.Data = "list", []item{}
	snap := e.cfg.Snapshot.Value()
	for _, kind := range []resrc.Kind{resrc.KindModel, resrc.KindAdapter} {
		for _, listed := range snap.List(kind) {
			body.Data = append(body.Data, item{ID: listed.Name, Object: "model", OwnedBy: "shallotcourse"})
		}
	}
	return writeJSON(r.Context(), w, body)
}
