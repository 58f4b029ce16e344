package agent

import (
	"sync"
	"time"
)

const (
	// smoothing is the weight of the newest interval in a moving average.
	smoothing = 0.3

	// baseRise lets the least step time follow an engine that becomes slower,
	// by 5% a minute. It must be slow: under a load that lasts, each step is
	// above the true least, and a base that follows would hide the queue.
	baseRise = 0.05 / 60

	// baseWindow is the time constant of a service's usual call time.
	baseWindow = time.Minute

	// usualSpread times the usual call time is no sign of a queue: calls of a
	// service differ by themselves.
	usualSpread = 2

	// stepFactor times the usual step time is the step timeout, where that is
	// longer than the configured one.
	stepFactor = 20
)

// meter measures the requests to a target: the decode steps of an engine,
// which are alike, or the calls of a service, which are not.
type meter struct {
	// varied is set for a service.
	varied bool

	mu sync.Mutex
	// waiting counts steps without an answer.
	waiting int
	// base is the least time of a step, or the usual time of a call.
	base float64
	// step and delay are moving averages in seconds over the reports.
	step  float64
	delay float64
	// sum, count and least describe the samples since the last report.
	sum   float64
	count int
	least float64
}

// begin counts a waiting step.
func (m *meter) begin() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.waiting++
}

// end counts an answered step. Only decode steps are measured, since the time
// of a prefill depends on its length.
func (m *meter) end(elapsed time.Duration, positions int, ok bool) {
	m.mu.Lock()
	m.waiting--
	m.mu.Unlock()
	if positions == 1 {
		m.record(elapsed, ok)
	}
}

// record adds the time of one decode step or call.
func (m *meter) record(elapsed time.Duration, ok bool) {
	if !ok {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	s := elapsed.Seconds()
	if m.count == 0 {
		m.least = s
	}
	m.sum += s
	m.count++
	m.least = min(m.least, s)
}

// report ends an interval. Without samples the delay fades, since an idle
// target has no queue.
func (m *meter) report(interval time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.count == 0 {
		if m.waiting == 0 {
			m.delay /= 2
		}
		return
	}
	mean := m.sum / float64(m.count)
	if m.base == 0 {
		m.base, m.step = m.least, mean
	}
	var delay float64
	if m.varied {
		delay = max(0, mean-usualSpread*m.base)
		m.base += (mean - m.base) * min(1, interval.Seconds()/baseWindow.Seconds())
	} else {
		m.base = min(m.least, m.base*(1+baseRise*interval.Seconds()))
		delay = mean - m.base
	}
	m.step += smoothing * (mean - m.step)
	m.delay += smoothing * (delay - m.delay)
	m.sum, m.count = 0, 0
}

// load returns the steps that wait, the queue delay and the step time.
func (m *meter) load() (waiting int, delay, step time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.waiting, seconds(m.delay), seconds(m.step)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
