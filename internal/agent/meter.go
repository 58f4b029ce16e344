package agent

import (
	"sync"
	"time"
)

const (
	// smoothingFactor is the weight of the newest interval in a moving
	// average.
	smoothingFactor = 0.3

	// baselineRisePerSecond lets the baseline follow an engine that becomes
	// slower, by 5% a minute. It must be slow: under lasting load, all steps
	// take longer than on an idle engine, and a baseline that adapts quickly
	// would hide the queue.
	baselineRisePerSecond = 0.05 / 60

	// serviceBaselineWindow is the time constant of the average call time of
	// a service.
	serviceBaselineWindow = time.Minute

	// serviceSpreadFactor is the multiple of the usual call time up to which
	// a call does not indicate a queue, because the duration of a service's
	// calls varies by nature.
	serviceSpreadFactor = 2

	// stepTimeoutFactor is the multiple of the usual step time that is used
	// as the step timeout if it exceeds the configured one.
	stepTimeoutFactor = 20
)

// meter measures the requests to a target: the decode steps of an engine,
// whose durations are similar, or the calls of a service, whose durations
// vary.
type meter struct {
	// isService is true if the target is a plain service.
	isService bool

	mu sync.Mutex
	// waiting is the number of steps without a result.
	waiting int
	// baseline is the minimum time of an engine's step, or the usual time of
	// a service's call, in seconds.
	baseline float64
	// stepTime and queueDelay are moving averages over the report intervals,
	// in seconds.
	stepTime   float64
	queueDelay float64
	// sumTime, count and minTime describe the samples of the current
	// interval.
	sumTime float64
	count   int
	minTime float64
}

// begin records that a step was queued.
func (m *meter) begin() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.waiting++
}

// end records that a step has ended. Only decode steps are measured, because
// the time of a prefill depends on its length.
func (m *meter) end(elapsed time.Duration, positions int, ok bool) {
	m.mu.Lock()
	m.waiting--
	m.mu.Unlock()
	if positions == 1 {
		m.record(elapsed, ok)
	}
}

// record adds a sample: the time of one decode step or call. Failed ones are
// ignored.
func (m *meter) record(elapsed time.Duration, ok bool) {
	if !ok {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	s := elapsed.Seconds()
	if m.count == 0 {
		m.minTime = s
	}
	m.sumTime += s
	m.count++
	m.minTime = min(m.minTime, s)
}

// endInterval updates the averages at the end of a report interval. Without
// samples and waiting steps, the queue delay decays, because an idle target
// has no queue.
func (m *meter) endInterval(interval time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.count == 0 {
		if m.waiting == 0 {
			m.queueDelay /= 2
		}
		return
	}
	mean := m.sumTime / float64(m.count)
	if m.baseline == 0 {
		m.baseline, m.stepTime = m.minTime, mean
	}
	var delay float64
	if m.isService {
		delay = max(0, mean-serviceSpreadFactor*m.baseline)
		m.baseline += (mean - m.baseline) * min(1, interval.Seconds()/serviceBaselineWindow.Seconds())
	} else {
		m.baseline = min(m.minTime, m.baseline*(1+baselineRisePerSecond*interval.Seconds()))
		delay = mean - m.baseline
	}
	m.stepTime += smoothingFactor * (mean - m.stepTime)
	m.queueDelay += smoothingFactor * (delay - m.queueDelay)
	m.sumTime, m.count = 0, 0
}

// measured returns the number of waiting steps, the queue delay and the step
// time.
func (m *meter) measured() (waiting int, delay, step time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.waiting, seconds(m.queueDelay), seconds(m.stepTime)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
