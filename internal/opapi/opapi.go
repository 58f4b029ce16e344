// Package opapi serves the HTTP API for operators: reading and writing resources,
// watching and auditing changes, and status.
package opapi

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"regexp"
	"strconv"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/gorilla/mux"

	"shallotcourse/internal/bearer"
	"shallotcourse/internal/fault"
	"shallotcourse/internal/store"
	"shallotcourse/internal/timer"
	"shallotcourse/internal/wire"
	"shallotcourse/pkg/resrc"
)

const (
	// ChangeHeader carries the change identifier that the client chose. A
	// write that is sent again with the same identifier is applied only once.
	ChangeHeader = "Shallotcourse-Change"

	// maxBodyBytes bounds the body of a request, which is one resource.
	maxBodyBytes = 256 << 10
	// maxWatches bounds the open watch streams.
	maxWatches = 64
	// heartbeatInterval is the time between heartbeats on an idle watch. They
	// let the client distinguish an idle stream from a broken connection.
	heartbeatInterval = 5 * time.Second
	// writeTimeout bounds the time to write one batch of events to a watch.
	writeTimeout = 10 * time.Second
	// readTimeout bounds the table reads of one request.
	readTimeout = 5 * time.Second
	// maxAuditRows bounds the changes in one answer of the audit.
	maxAuditRows = 1000
)

var changeIDPattern = regexp.MustCompile(`^[A-Za-z0-9._-]{8,64}$`)

type (
	// Operator is a person or program with a key for the API.
	Operator struct {
		Name string
		// KeyHash is the hex SHA-256 digest of the operator's key.
		KeyHash string
	}

	// Options holds the dependencies and settings of the API. Store is
	// required.
	Options struct {
		Store *store.Store
		// Sync provides the linked peers for the status. It may be nil.
		Sync      *store.Sync
		Operators []Operator
		// Self describes the process that serves the API.
		Self wire.Hello
		// Stopping ends the open watches when it is closed, so that they do
		// not delay a graceful shutdown. It may be nil.
		Stopping <-chan struct{}
		Clock    timer.Service
		Log      log.Logger
	}

	// Event is one line of a watch: a change, or a heartbeat without a change.
	Event struct {
		// Revision is the revision up to which all changes have been sent.
		Revision uint64
		Change   *resrc.Change `json:",omitempty"`
	}

	// Status is the answer of /v1/status.
	Status struct {
		Revision uint64
		Ready    bool
		Table    TableStatus
		// Instances holds the process itself and its linked peers.
		Instances []InstanceStatus
	}

	// TableStatus reports whether the process can read the platform's table.
	TableStatus struct {
		Reachable bool
		LastRead  time.Time `json:",omitzero"`
	}

	// InstanceStatus describes one process and the revision in force there.
	InstanceStatus struct {
		Instance    string
		Incarnation string
		Role        wire.Role
		DataCentre  string
		Target      string `json:",omitempty"`
		Revision    uint64
	}

	handler struct {
		Options
		// keyHashes holds the decoded key hash of each operator, at its index in
		// Operators.
		keyHashes [][]byte
		// watchSlots holds one element for each open watch.
		watchSlots chan struct{}
	}

	// operation handles an authenticated request and returns the value to
	// answer with as JSON.
	operation func(r *http.Request, operator string) (any, error)
)

// New returns the HTTP handler of the API, whose paths all begin with /v1/.
func New(o Options) http.Handler {
	if o.Clock == nil {
		o.Clock = timer.System{}
	}
	if o.Log == nil {
		o.Log = log.NewNopLogger()
	}
	h := &handler{Options: o, watchSlots: make(chan struct{}, maxWatches)}
	for _, operator := range o.Operators {
		// A hash that is not valid hex matches no hash.
		hash, _ := hex.DecodeString(operator.KeyHash)
		h.keyHashes = append(h.keyHashes, hash)
	}
	r := mux.NewRouter()
	r.Handle("/v1/resources/{Kind}", h.serve(h.list)).Methods(http.MethodGet)
	r.Handle("/v1/resources/{Kind}/{Name}", h.serve(h.get)).Methods(http.MethodGet)
	r.Handle("/v1/resources/{Kind}/{Name}", h.serve(h.put)).Methods(http.MethodPut)
	r.Handle("/v1/resources/{Kind}/{Name}", h.serve(h.remove)).Methods(http.MethodDelete)
	r.Handle("/v1/audit", h.serve(h.audit)).Methods(http.MethodGet)
	r.Handle("/v1/status", h.serve(h.status)).Methods(http.MethodGet)
	r.HandleFunc("/v1/watch", h.watch).Methods(http.MethodGet)
	r.NotFoundHandler = http.HandlerFunc(notFound)
	r.MethodNotAllowedHandler = http.HandlerFunc(notFound)
	return r
}

// HashKey returns the hex SHA-256 digest of a key, the form in which keys are
// stored.
func HashKey(key string) string {
	digest := sha256.Sum256([]byte(key))
	return hex.EncodeToString(digest[:])
}

func (h *handler) serve(f operation) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		operator, err := h.authenticate(r)
		if err != nil {
			fault.WriteBody(w, err)
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
		answer, err := f(r, operator)
		if err != nil {
			h.logFailure(r, operator, err)
			fault.WriteBody(w, err)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(answer)
	})
}

// authenticate returns the operator's name. It compares all key hashes, each in
// constant time, so that the duration reveals nothing about them.
func (h *handler) authenticate(r *http.Request) (string, error) {
	key, ok := bearer.Key(r.Header)
	digest := sha256.Sum256([]byte(key))
	found := -1
	for i, known := range h.keyHashes {
		if subtle.ConstantTimeCompare(known, digest[:]) == 1 {
			found = i
		}
	}
	if !ok || found < 0 {
		return "", fault.New(fault.Unauthorized, "an operator key is required")
	}
	return h.Operators[found].Name, nil
}

func (h *handler) logFailure(r *http.Request, operator string, err error) {
	e := fault.As(err)
	_ = level.Info(h.Log).Log("msg", "operator request failed", "operator", operator, "method", r.Method,
		"path", r.URL.Path, "code", e.Code, "outcome", e.Outcome, "err", err)
}

func (h *handler) list(r *http.Request, _ string) (any, error) {
	kind, err := pathKind(r)
	if err != nil {
		return nil, err
	}
	resources := h.Store.Snapshot().List(kind)
	if resources == nil {
		resources = []resrc.Resource{}
	}
	return resources, nil
}

func (h *handler) get(r *http.Request, _ string) (any, error) {
	kind, err := pathKind(r)
	if err != nil {
		return nil, err
	}
	name := mux.Vars(r)["Name"]
	resource, ok := h.Store.Snapshot().Get(kind, name)
	if !ok {
		return nil, fault.Newf(fault.NotFound, "%s %q", kind, name)
	}
	return resource, nil
}

// put writes a resource, on condition that its revision is still the one in the
// body.
func (h *handler) put(r *http.Request, operator string) (any, error) {
	kind, err := pathKind(r)
	if err != nil {
		return nil, err
	}
	id, err := changeID(r)
	if err != nil {
		return nil, err
	}
	resource, err := decodeResource(r)
	if err != nil {
		return nil, err
	}
	name := mux.Vars(r)["Name"]
	if resource.Kind != kind {
		return nil, fault.Invalid("Kind", string(resource.Kind), string(kind)+", as in the path")
	}
	if resource.Name != name {
		return nil, fault.Invalid("Name", resource.Name, name+", as in the path")
	}
	return h.Store.Put(r.Context(), store.Write{
		ID: id, Actor: operator, Kind: kind, Name: name, Expected: resource.Revision, Spec: resource.Spec,
		Check: func(s store.Snapshot) error { return checkPut(s, resource) },
	})
}

// remove deletes a resource, on condition that its revision is still the one in
// the query.
func (h *handler) remove(r *http.Request, operator string) (any, error) {
	kind, err := pathKind(r)
	if err != nil {
		return nil, err
	}
	id, err := changeID(r)
	if err != nil {
		return nil, err
	}
	expected, err := queryNumber(r, "Revision", 0)
	if err != nil {
		return nil, err
	}
	if expected == 0 {
		return nil, fault.Invalid("Revision", r.URL.Query().Get("Revision"), "the revision of the resource")
	}
	name := mux.Vars(r)["Name"]
	return h.Store.Delete(r.Context(), store.Write{
		ID: id, Actor: operator, Kind: kind, Name: name, Expected: expected,
		Check: func(s store.Snapshot) error { return checkDelete(s, kind, name) },
	})
}

// audit returns changes from the table, which keeps all of them: the one with a
// change identifier, those after a revision, or the latest ones.
func (h *handler) audit(r *http.Request, _ string) (any, error) {
	limit, err := queryNumber(r, "Limit", 100)
	if err != nil {
		return nil, err
	}
	if limit < 1 || limit > maxAuditRows {
		return nil, fault.Invalid("Limit", limit, "1 to 1000")
	}
	revision := h.Store.Snapshot().Revision
	after, err := queryNumber(r, "After", revision-min(revision, limit))
	if err != nil {
		return nil, err
	}
	ctx, cancel := timer.WithTimeout(r.Context(), h.Clock, readTimeout)
	defer cancel()
	if id := r.URL.Query().Get("Change"); id != "" {
		c, found, err := h.Store.FindChange(ctx, id)
		if err == nil && !found {
			err = fault.Newf(fault.NotFound, "no change was accepted under identifier %q", id)
		}
		return []resrc.Change{c}, err
	}
	changes, err := h.Store.ListChanges(ctx, after, int(limit))
	if err != nil {
		return nil, err
	}
	return changes, nil
}

func (h *handler) status(*http.Request, string) (any, error) {
	health, revision := h.Store.Health().Value(), h.Store.Snapshot().Revision
	s := Status{
		Revision: revision, Ready: health.Read,
		Table:     TableStatus{Reachable: health.Reachable, LastRead: health.LastRead},
		Instances: []InstanceStatus{newInstanceStatus(h.Self, revision)},
	}
	if h.Sync == nil {
		return s, nil
	}
	s.Ready = h.Sync.Ready()
	for _, p := range h.Sync.Peers() {
		s.Instances = append(s.Instances, newInstanceStatus(p.Hello, p.Revision))
	}
	return s, nil
}

func newInstanceStatus(h wire.Hello, revision uint64) InstanceStatus {
	return InstanceStatus{
		Instance: h.Instance, Incarnation: h.Incarnation, Role: h.Role, DataCentre: h.DataCentre,
		Target: h.Target, Revision: revision,
	}
}

func pathKind(r *http.Request) (resrc.Kind, error) {
	name := mux.Vars(r)["Kind"]
	for _, kind := range resrc.Kinds {
		if string(kind) == name {
			return kind, nil
		}
	}
	return "", fault.Invalid("Kind", name, "Model, ModelVersion, Adapter, Target, ClientAccount, Service")
}

func changeID(r *http.Request) (string, error) {
	id := r.Header.Get(ChangeHeader)
	if id != "" && !changeIDPattern.MatchString(id) {
		return "", fault.Invalid(ChangeHeader, id, "8 to 64 letters, digits, '.', '_' and '-'")
	}
	return id, nil
}

func decodeResource(r *http.Request) (resrc.Resource, error) {
	var resource resrc.Resource
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return resource, fault.Newf(fault.TooLarge, "the body is longer than %d bytes or incomplete", maxBodyBytes).WithCause(err)
	}
	if err := json.Unmarshal(body, &resource); err != nil {
		if fault.Is(err, fault.BadInput) {
			return resource, err
		}
		return resource, fault.Newf(fault.BadInput, "the body cannot be decoded as a resource: %v", err).WithCause(err)
	}
	return resource, nil
}

// queryNumber returns a numeric query parameter, or a default when it is absent.
func queryNumber(r *http.Request, name string, fallback uint64) (uint64, error) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return fallback, nil
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, fault.Invalid(name, text, "a number")
	}
	return n, nil
}

func notFound(w http.ResponseWriter, r *http.Request) {
	fault.WriteBody(w, fault.Newf(fault.NotFound, "%s %s", r.Method, r.URL.Path))
}
