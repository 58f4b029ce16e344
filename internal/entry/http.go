package entry

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/go-kit/log/level"

	"github.com/gorilla/mux"

	"shallotcourse/internal/fault"
	"shallotcourse/pkg/resrc"
)

const contentJSON = "application/json"

// handled is a handler that returns its failure, unless it has reported the
// failure in the body itself.
type handled func(w http.ResponseWriter, r *http.Request, account string) error

func (e *Entry) routes() http.Handler {
	m := mux.NewRouter().UseEncodedPath().SkipClean(true)
	m.Methods(http.MethodPost).Path("/v1/completions").Handler(e.caller(e.completions))
	m.Methods(http.MethodPost).Path("/v1/chat/completions").Handler(e.caller(e.chat))
	m.Methods(http.MethodGet).Path("/v1/models").Handler(e.caller(e.models))
	m.PathPrefix("/services/{Service}/").Handler(e.caller(e.service))
	m.NotFoundHandler = e.caller(func(http.ResponseWriter, *http.Request, string) error {
		return fault.New(fault.NotFound, "no such path")
	})
	m.MethodNotAllowedHandler = e.caller(func(http.ResponseWriter, *http.Request, string) error {
		return fault.New(fault.NotFound, "no such method at this path")
	})
	return m
}

// caller authenticates the caller and reports the failure of the handler.
func (e *Entry) caller(h handled) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// Counted before the check of draining, so that Drain either sees the
		// request or refuses it.
		e.meter.open.Add(1)
		defer e.meter.open.Add(-1)
		account, ok := e.authenticate(r)
		if !ok {
			e.fail(w, fault.New(fault.Unauthorized, "API key is missing or wrong"))
			return
		}
		if e.draining.Load() {
			w.Header().Set("Connection", "close")
			e.fail(w, fault.New(fault.Leaving, "entry is leaving").WithRetryAfter(time.Second))
			return
		}
		if n := headerBytes(r.Header); n > e.bounds.HeaderBytes {
			e.fail(w, fault.Newf(fault.TooLarge, "header has %d bytes; allowed: %d", n, e.bounds.HeaderBytes))
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, e.bounds.BodyBytes)
		if err := h(w, r, account); err != nil {
			e.fail(w, fault.As(err))
		}
	})
}

// authenticate returns the account whose key the request carries. Keys are
// looked up by their digest, so the time taken says nothing about them.
func (e *Entry) authenticate(r *http.Request) (string, bool) {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || key == "" {
		return "", false
	}
	sum := sha256.Sum256([]byte(key))
	account, ok := (*e.keys.Load())[hex.EncodeToString(sum[:])]
	return account, ok
}

// fail writes a failure as a typed error body with its outcome.
func (e *Entry) fail(w http.ResponseWriter, f *fault.Error) {
	e.meter.failed(f)
	if f.Cause != nil {
		_ = level.Info(e.cfg.Log).Log("msg", "request failed", "code", f.Code, "outcome", f.Outcome, "err", f)
	}
	h := w.Header()
	h.Set("Content-Type", contentJSON)
	h.Set(fault.Header, string(f.Outcome))
	if f.Outcome == fault.NotRun && f.WaitHelps() {
		h.Set("Retry-After", strconv.Itoa(wholeSeconds(f.RetryAfter, rand.Float64())))
	}
	w.WriteHeader(f.Status())
	_, _ = w.Write(errorBody(f))
}

// wholeSeconds rounds a retry hint at random, so that the mean of many hints
// stays what it was. Rounded all one way they would return in waves. The
// random value is in [0, 1).
func wholeSeconds(d time.Duration, random float64) int {
	return max(1, int(math.Floor(d.Seconds()+random)))
}

// errorBody has the field case of the published error format.
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

// readJSON decodes a bounded body. Unknown fields are allowed, since the
// published format has many that have no effect here.
func readJSON(r *http.Request, v any) error {
	b, err := readBody(r)
	if err != nil {
		return err
	}
	if !utf8.Valid(b) {
		// The decoder would replace the bytes, and the answer would be to
		// another prompt.
		return fault.New(fault.BadInput, "body is not valid UTF-8")
	}
	if err := json.Unmarshal(b, v); err != nil {
		var f *fault.Error
		if errors.As(err, &f) {
			return f
		}
		return fault.Newf(fault.BadInput, "body does not decode: %v", err).WithCause(err)
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

func readBody(r *http.Request) ([]byte, error) {
	b, err := io.ReadAll(r.Body)
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return nil, fault.Newf(fault.TooLarge, "body is too large; allowed: %d bytes", large.Limit)
	}
	if err != nil {
		return nil, fault.New(fault.Canceled, "body could not be read").WithCause(err)
	}
	return b, nil
}

func writeJSON(w http.ResponseWriter, v any) error {
	b, err := json.Marshal(v)
	if err != nil {
		return fault.New(fault.Internal, "cannot encode answer").WithOutcome(fault.Unknown).WithCause(err)
	}
	w.Header().Set("Content-Type", contentJSON)
	_, _ = w.Write(b)
	return nil
}

// models lists the models and adapters that a caller may name.
func (e *Entry) models(w http.ResponseWriter, _ *http.Request, _ string) error {
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
		for _, r := range snap.List(kind) {
			body.Data = append(body.Data, item{ID: r.Name, Object: "model", OwnedBy: "shallotcourse"})
		}
	}
	return writeJSON(w, body)
}
