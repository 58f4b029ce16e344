package limit

import (
	"sync"
	"time"

	"shallotcourse/internal/timer"
)

const (
	// windowIntervals is the number of intervals that the window of RetryLimiter
	// is divided into. Counts expire one interval at a time.
	windowIntervals = 10
	// allowanceShare is the part of the allowance that gateways use. The rest
	// covers gateways that restart, and retries that the other gateways do not
	// know of yet.
	allowanceShare = 0.7
	// propagationDelay is the time within which a gateway's retries are known to
	// the others, even if one report is lost.
	propagationDelay = 500 * time.Millisecond
	// peerCountsMaxAge is the age up to which the counts of another gateway are
	// taken as current.
	peerCountsMaxAge = 2 * time.Second
	// snapshotCount is the number of snapshots of the own total that are kept,
	// one per propagationDelay, to cover peerCountsMaxAge.
	snapshotCount = int64(peerCountsMaxAge/propagationDelay) + 1
	// firstWindowIsolated and firstWindowConnected reduce the allowance of a
	// gateway in its first window, because it does not know what its previous
	// incarnation has used. The former scales the equal part of the allowance,
	// which bounds a gateway without current counts of all others; the latter
	// scales the common allowance.
	firstWindowIsolated  = 0.25
	firstWindowConnected = 0.5
	// minCountedRequests is the weight of the assumption that all gateways receive
	// as many requests, as a number of requests of each.
	minCountedRequests = 10
)

type (
	// RetryBounds limits the retries of all gateways together.
	RetryBounds struct {
		// Window is the length of the sliding window that the limit applies to.
		Window time.Duration
		// Within Window, Ratio retries are allowed per request, plus Slack.
		Ratio float64
		Slack int
	}

	// RetryCount is the number of requests and of retries within the window.
	RetryCount struct{ Requests, Repeats int }

	// IncarnationCounts holds the counts by service of one incarnation of a
	// gateway, and their age.
	IncarnationCounts struct {
		Age    time.Duration
		Counts map[string]RetryCount
	}

	// RetryLimiter bounds the retries of each service: requests that are sent to a
	// target more than once. Gateways exchange their counts, and what is left of
	// the allowance is divided among them anew in each propagationDelay, so that
	// together they stay within it although the counts arrive late. While a
	// gateway lacks current counts of some others, all its retries come out of one
	// such division, and it also keeps to an equal part of the allowance.
	// RetryLimiter is safe for concurrent use.
	RetryLimiter struct {
		clock    timer.Service
		bounds   RetryBounds
		gateways func() int
		// start is the time that interval and snapshot indexes count from;
		// differences from it are monotonic.
		start time.Time

		mu       sync.Mutex
		services map[string]*retryWindow
		// peers is keyed by the incarnation of the other gateway.
		peers map[string]peerCounts
	}

	retryWindow struct {
		// interval is the index of the current interval; requests and retries are
		// ring buffers of the counts by interval.
		interval int64
		requests [windowIntervals]int
		retries  [windowIntervals]int
		// totalRetries is the number of retries since the process started.
		totalRetries int
		// snapshots is a ring buffer of totalRetries, taken every
		// propagationDelay; snapshot is the index of the newest.
		snapshot  int64
		snapshots [snapshotCount]int
		// totalAtFullView is the part of totalRetries that precedes the counts
		// last received from all gateways.
		totalAtFullView int
	}

	peerCounts struct {
		countedAt time.Time
		counts    map[string]RetryCount
		// ownTotals holds this gateway's own totalRetries by service at countedAt,
		// or at the last snapshot before.
		ownTotals map[string]int
	}
)

// NewRetryLimiter returns a limit on retries. The function gateways returns how
// many gateways share it.
func NewRetryLimiter(clock timer.Service, b RetryBounds, gateways func() int) *RetryLimiter {
	return &RetryLimiter{
		clock: clock, bounds: b, gateways: gateways, start: clock.Now(), services: map[string]*retryWindow{},
		peers: map[string]peerCounts{},
	}
}

// CountRequest counts a request from a caller, however often it is sent.
func (r *RetryLimiter) CountRequest(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	w := r.window(service)
	w.requests[w.interval%windowIntervals]++
}

// LocalCounts returns the counts of this gateway by service, to send to the
// others.
func (r *RetryLimiter) LocalCounts() map[string]RetryCount {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[string]RetryCount, len(r.services))
	for name := range r.services {
		out[name] = r.window(name).count()
	}
	return out
}

// StorePeerCounts stores counts that were received from another gateway and
// were taken age ago, unless newer ones of the same incarnation are known. The
// counts of an incarnation that has ended stay in effect for one window.
func (r *RetryLimiter) StorePeerCounts(incarnation string, counts map[string]RetryCount, age time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := r.clock.Now().Add(-max(0, age))
	if !at.After(r.peers[incarnation].countedAt) {
		return
	}
	totals := make(map[string]int, len(r.services))
	for name := range r.services {
		totals[name] = r.window(name).totalAt(age)
	}
	r.peers[incarnation] = peerCounts{at, counts, totals}
}

// PeerCounts returns the counts of the incarnations of other gateways, with
// their ages, so that they can be forwarded.
func (r *RetryLimiter) PeerCounts() map[string]IncarnationCounts {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	out := make(map[string]IncarnationCounts, len(r.peers))
	for incarnation, p := range r.peers {
		if age := now.Sub(p.countedAt); age <= r.bounds.Window {
			out[incarnation] = IncarnationCounts{age, p.counts}
		}
	}
	return out
}

// OthersPerOwn returns how many requests for a service all other gateways receive for
// each one of this gateway, by the counts of the window, but at most others. Gateways
// whose counts are missing are taken to receive as many as the others do on average,
// and while few requests are counted, all are taken to receive as many. Without the
// bound, the few requests of a gateway that receives little would stand for a crowd.
func (r *RetryLimiter) OthersPerOwn(service string, others int) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	var own RetryCount
	if r.services[service] != nil {
		// A service without requests gets no window, since asking changes no counts.
		own = r.window(service).count()
	}
	known := r.combined(service, own)
	if len(r.peers) == 0 {
		return float64(others)
	}
	mean := float64(known.sum.Requests-own.Requests) / float64(len(r.peers))
	return float64(others) * min(1, (mean+minCountedRequests)/(float64(own.Requests)+minCountedRequests))
}

// Take reports whether a retry is allowed, and counts it if so.
func (r *RetryLimiter) Take(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	w := r.window(service)
	own := w.count()
	gateways := max(1, r.gateways())
	isolated, connected := 1.0, 1.0
	if r.clock.Now().Sub(r.start) < r.bounds.Window {
		isolated, connected = firstWindowIsolated, firstWindowConnected
	}
	known := r.combined(service, own)
	if known.gateways >= gateways {
		w.totalAtFullView = known.ownTotal
	}
	// The other gateways may not know of the retries since the last snapshot or
	// since totalAtFullView, whichever is earlier. These count against the share
	// of this gateway, all earlier ones against the common allowance.
	pending := min(own.Repeats, w.totalRetries-min(w.snapshots[w.snapshot%snapshotCount], w.totalAtFullView))
	available := connected*allowanceShare*(r.bounds.Ratio*float64(known.sum.Requests)+float64(r.bounds.Slack)) -
		float64(known.sum.Repeats-pending)
	allowed := float64(pending+1) <= available/float64(2*gateways)
	if known.gateways < gateways {
		share := allowanceShare * (r.bounds.Ratio*float64(own.Requests) + float64(r.bounds.Slack)/float64(gateways))
		allowed = float64(own.Repeats+1) <= isolated*share && (allowed || !known.hasPeers)
	}
	if !allowed {
		return false
	}
	w.retries[w.interval%windowIntervals]++
	w.totalRetries++
	return true
}

// combinedCounts is what this gateway knows of all gateways for one service.
type combinedCounts struct {
	sum RetryCount
	// hasPeers is set if sum includes counts of other gateways.
	hasPeers bool
	// gateways is the number of gateways with current counts, including this
	// one. ownTotal is this gateway's own total when the oldest of these counts
	// were taken.
	gateways, ownTotal int
}

// combined sums up the counts of all gateways and removes those older than the
// window.
func (r *RetryLimiter) combined(service string, own RetryCount) combinedCounts {
	known := combinedCounts{sum: own, gateways: 1}
	if w := r.services[service]; w != nil {
		known.ownTotal = w.totalRetries
	}
	now := r.clock.Now()
	for incarnation, p := range r.peers {
		if now.Sub(p.countedAt) > r.bounds.Window {
			delete(r.peers, incarnation)
			continue
		}
		known.sum.Requests += p.counts[service].Requests
		known.sum.Repeats += p.counts[service].Repeats
		known.hasPeers = true
		if now.Sub(p.countedAt) <= peerCountsMaxAge {
			known.gateways++
			known.ownTotal = min(known.ownTotal, p.ownTotals[service])
		}
	}
	return known
}

// totalAt returns totalRetries as it was age ago, or at a snapshot before that.
func (w *retryWindow) totalAt(age time.Duration) int {
	if age <= 0 {
		return w.totalRetries
	}
	back := min(int64(age/propagationDelay)+1, snapshotCount-1)
	return w.snapshots[max(0, w.snapshot-back)%snapshotCount]
}

// count returns the counts within the window.
func (w *retryWindow) count() RetryCount {
	var c RetryCount
	for i := range w.requests {
		c.Requests += w.requests[i]
		c.Repeats += w.retries[i]
	}
	return c
}

// window returns the window of a service after taking due snapshots and clearing
// expired intervals.
func (r *RetryLimiter) window(service string) *retryWindow {
	w := r.services[service]
	if w == nil {
		w = &retryWindow{}
		r.services[service] = w
	}
	elapsed := r.clock.Now().Sub(r.start)
	for snapshot := int64(elapsed / propagationDelay); w.snapshot < snapshot; {
		w.snapshot = max(w.snapshot+1, snapshot-snapshotCount+1)
		w.snapshots[w.snapshot%snapshotCount] = w.totalRetries
	}
	interval := int64(elapsed/max(1, r.bounds.Window/windowIntervals)) + 1
	for steps := 0; w.interval < interval && steps < windowIntervals; steps++ {
		w.interval++
		if steps == 0 && interval-w.interval >= windowIntervals {
			w.interval = interval - windowIntervals + 1
		}
		w.requests[w.interval%windowIntervals], w.retries[w.interval%windowIntervals] = 0, 0
	}
	return w
}
