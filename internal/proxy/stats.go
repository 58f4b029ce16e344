package proxy

import (
	"sync"
	"time"
)

const (
	// initialLatency is the expected latency of a target that has not answered
	// yet.
	initialLatency = 50 * time.Millisecond
	// averageWeight is the weight of a new sample in the moving averages.
	averageWeight = 0.15
	// failurePenalty weights the failure rate in the expected latency: at a
	// rate of 1 the latency counts 1+failurePenalty times.
	failurePenalty = 8.0
)

type (
	// latencyStats holds moving averages of the latency and failure rate of
	// plain services and their targets.
	latencyStats struct {
		mu       sync.Mutex
		services map[string]time.Duration
		targets  map[string]targetStats
	}

	targetStats struct {
		latency time.Duration
		// failureRate is the moving average of failed requests, from 0 to 1.
		failureRate float64
	}
)

func newLatencyStats() *latencyStats {
	return &latencyStats{services: map[string]time.Duration{}, targets: map[string]targetStats{}}
}

// serviceLatency returns the mean latency of a service.
func (p *latencyStats) serviceLatency(service string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l, ok := p.services[service]; ok {
		return l
	}
	return initialLatency
}

// expectedLatency returns the mean latency of a target, raised by its failure
// rate.
func (p *latencyStats) expectedLatency(target string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.target(target)
	return time.Duration(float64(t.latency) * (1 + failurePenalty*t.failureRate))
}

func (p *latencyStats) recordSuccess(service, target string, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if old, ok := p.services[service]; ok {
		p.services[service] = movingAverage(old, took)
	} else {
		p.services[service] = took
	}
	t := p.target(target)
	t.latency, t.failureRate = movingAverage(t.latency, took), t.failureRate*(1-averageWeight)
	p.targets[target] = t
}

func (p *latencyStats) recordFailure(target string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.target(target)
	t.failureRate += averageWeight * (1 - t.failureRate)
	p.targets[target] = t
}

// recordAbandoned records a request that was abandoned after a time. It raises
// the latency but never lowers it, because the response would have come later.
func (p *latencyStats) recordAbandoned(target string, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.target(target)
	if took > t.latency {
		t.latency = movingAverage(t.latency, took)
	}
	p.targets[target] = t
}

func (p *latencyStats) target(target string) targetStats {
	if t, ok := p.targets[target]; ok {
		return t
	}
	return targetStats{latency: initialLatency}
}

func movingAverage(old, next time.Duration) time.Duration {
	return old + time.Duration(averageWeight*float64(next-old))
}
