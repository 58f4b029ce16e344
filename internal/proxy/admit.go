package proxy

import (
	"errors"
	"net/http"
	"os"
	"time"

	"shallotcourse/internal/budget"
	"shallotcourse/internal/fault"
	"shallotcourse/internal/follow"
	"shallotcourse/internal/timer"
	"shallotcourse/internal/topo"
)

const (
	// refreshPollInterval is the interval at which a waiting request checks
	// whether the configuration or the target list has been refreshed.
	refreshPollInterval = 20 * time.Millisecond
	// refreshTimeout bounds that wait. A refresh after a pause of the process
	// takes one call to the store.
	refreshTimeout = 250 * time.Millisecond
)

// The rules of admission, as logged.
const (
	// admittedPublic is for routes that need no key, and admittedKeyless for
	// configurations that declare no accounts.
	admittedPublic  admission = "Public"
	admittedKeyless admission = "Keyless"
	admittedByKey   admission = "Key"
	refusedKey      admission = "UnknownKey"
	refusedRoute    admission = "NoRoute"
)

// admission is the rule by which a request is admitted or refused.
type admission string

// stoppingError returns an error if the drain refuses new requests.
func (q *request) stoppingError() error {
	if q.RefusesNew() {
		return fault.New(fault.Leaving, "the gateway is stopping")
	}
	return nil
}

// admit admits the request by its key and reads its body.
func (q *request) admit() error {
	limits, err := q.admitBy(func(c topo.Config) (topo.Account, bool) { return c.Account(q.headers.Key) })
	if err != nil {
		return err
	}
	if err := q.readBody(limits.BodyBytes); err != nil {
		return err
	}
	// The body may have taken until now. What is sent this late could not be
	// answered before the process ends.
	return q.stoppingError()
}

// admitBy matches the request to a route, looks its account up where it needs one,
// chooses its service and sets its deadline. It first waits until the target list
// has been read (Read is 0 before) and the configuration is young enough. It returns
// the limits of the configuration that admits the request.
func (q *request) admitBy(accountOf func(topo.Config) (topo.Account, bool)) (topo.Limits, error) {
	if err := q.stoppingError(); err != nil {
		return topo.Limits{}, err
	}
	if err := q.waitFor(func() bool { return q.Fleets.Section().Value().Read > 0 }); err != nil {
		return topo.Limits{}, fault.New(fault.Unavailable, "the target list has not been read yet").WithCause(err)
	}
	if err := q.waitFor(q.Configs.Usable); err != nil {
		return topo.Limits{}, q.staleConfigError(err)
	}
	config := q.Configs.Section().Value()
	q.version = config.Version
	route, ok := config.Match(q.r.Host, q.r.URL.Path)
	if needsKey := !route.Public && !config.Keyless(); !ok || needsKey {
		// No route matches, or the route needs a key. An outdated configuration
		// may lack a new route or still accept a deleted key, so the request is
		// refused or its key checked only with a confirmed one.
		fresh, err := q.confirmedConfig()
		if err != nil {
			return topo.Limits{}, err
		}
		config = fresh
		if route, ok = config.Match(q.r.Host, q.r.URL.Path); !ok {
			q.admission = refusedRoute
			return topo.Limits{}, fault.Newf(fault.NotFound, "no route for host %q and path %q", q.r.Host, q.r.URL.Path)
		}
	}
	q.version, q.route, q.configAge = config.Version, route, q.Configs.Age()
	q.priority = route.Priority
	q.updateRanks()
	q.Metrics.GetOrCreateHistogram("shallotcourse_admission_config_age_seconds").Update(q.configAge.Seconds())
	switch {
	case route.Public:
		q.admission = admittedPublic
	case config.Keyless():
		q.admission = admittedKeyless
	default:
		account, ok := accountOf(config.Config)
		if !ok {
			q.admission = refusedKey
			return topo.Limits{}, fault.New(fault.Unauthorized, "the API key is unknown")
		}
		q.admission, q.account = admittedByKey, account.Name
		q.claim.SetAccount(account.Name)
		if account.Priority != nil {
			q.priority = *account.Priority
		}
	}
	name := route.Pick(q.headers.ID)
	if q.service, ok = config.Service(name); !ok {
		q.service = topo.Service{Name: name}
	}
	timeout := q.headers.Timeout
	if route.Timeout > 0 && (timeout <= 0 || route.Timeout < timeout) {
		timeout = route.Timeout
	}
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	q.deadline = q.arrived.Add(timeout)
	return config.Limits, nil
}

// confirmedConfig returns the configuration once its confirmation is recent
// enough to check keys against it. Confirmations are renewed continuously, so
// an old one means that the process was suspended or cannot reach the store.
func (q *request) confirmedConfig() (follow.Config, error) {
	err := q.waitFor(func() bool {
		return q.Configs.Section().Value().Version > 0 && q.Configs.Age() < q.Settings.ConfigMaxAge
	})
	if err != nil {
		return follow.Config{}, q.staleConfigError(err)
	}
	return q.Configs.Section().Value(), nil
}

// staleConfigError returns the failure of a request whose configuration has not been
// confirmed in time.
func (q *request) staleConfigError(cause error) *fault.Error {
	q.Metrics.GetOrCreateCounter("shallotcourse_config_stale_refusals_total").Inc()
	e := fault.Newf(fault.Unavailable, "the configuration was last proved %s ago", q.Configs.Age().Round(time.Millisecond))
	return e.WithCause(cause)
}

// waitFor polls until known returns true, at most refreshTimeout after the
// request arrived. It is for conditions that one call to the store fulfils.
func (q *request) waitFor(known func() bool) error {
	for !known() {
		if q.Clock.Now().Sub(q.arrived) > refreshTimeout {
			return fault.Newf(fault.Deadline, "no refresh within %s", refreshTimeout)
		}
		if err := timer.Sleep(q.r.Context(), q.Clock, refreshPollInterval); err != nil {
			return fault.New(fault.Canceled, "the caller disconnected").WithCause(err)
		}
	}
	return nil
}

func (q *request) readBody(limit int64) error {
	if limit <= 0 {
		limit = q.Settings.BodyBytes
	}
	if q.r.ContentLength > limit {
		return fault.Newf(fault.TooLarge, "the request body has %d bytes, the limit is %d", q.r.ContentLength, limit)
	}
	body, err := q.readAllInTime(limit + 1)
	var failure *fault.Error
	if errors.As(err, &failure) {
		return noRoomError(failure)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return fault.New(fault.Deadline, "the request body did not end before the deadline of the route or the caller").WithCause(err)
	}
	if err != nil {
		return fault.New(fault.BadInput, "reading the request body failed").WithCause(err)
	}
	q.body = body
	if body.Len() > limit {
		return fault.Newf(fault.TooLarge, "the request body exceeds %d bytes", limit)
	}
	q.bodyRead = true
	return nil
}

// readAllInTime reads the request's body up to some number of bytes, until the
// request's deadline at the latest.
func (q *request) readAllInTime(limit int64) (*budget.Body, error) {
	if q.r.ContentLength == 0 {
		return nil, nil
	}
	control := http.NewResponseController(q.w)
	// A writer that does not support deadlines belongs to no connection.
	_ = control.SetReadDeadline(q.deadline)
	body, err := budget.ReadBody(q.r.Context(), q.r.Body, q.r.ContentLength, limit)
	if err == nil {
		_ = control.SetReadDeadline(time.Time{})
	}
	return body, err
}
