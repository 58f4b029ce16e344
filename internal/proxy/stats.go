package proxy

import (
	"sync"
	"time"
)

const (
	// startLatency is expected of a target that has not answered yet.
	startLatency = 50 * time.Millisecond
	// latencyGain is the weight of a new answer in the mean.
	latencyGain = 0.15
	// failureWeight makes a target that fails always look this many times as
	// slow as one that never does.
	failureWeight = 8.0
)

type (
	// plainStats remembers how targets of plain services answer.
	plainStats struct {
		mu       sync.Mutex
		services map[string]time.Duration
		targets  map[string]targetStats
	}

	targetStats struct {
		latency time.Duration
		// failing is the share of recent tries that failed.
		failing float64
	}
)

func (p *plainStats) init() {
	p.services, p.targets = map[string]time.Duration{}, map[string]targetStats{}
}

// usual is the mean latency of a service.
func (p *plainStats) usual(service string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l, ok := p.services[service]; ok {
		return l
	}
	return startLatency
}

// expected is the latency that a try at a target costs, failures included.
func (p *plainStats) expected(target string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.of(target)
	return time.Duration(float64(t.latency) * (1 + failureWeight*t.failing))
}

func (p *plainStats) worked(service, target string, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if old, ok := p.services[service]; ok {
		p.services[service] = mean(old, took)
	} else {
		p.services[service] = took
	}
	t := p.of(target)
	t.latency, t.failing = mean(t.latency, took), t.failing*(1-latencyGain)
	p.targets[target] = t
}

func (p *plainStats) failed(target string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.of(target)
	t.failing += latencyGain * (1 - t.failing)
	p.targets[target] = t
}

// slow records a try that was given up after a time.
func (p *plainStats) slow(target string, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.of(target)
	if took > t.latency {
		t.latency = mean(t.latency, took)
	}
	p.targets[target] = t
}

func (p *plainStats) of(target string) targetStats {
	if t, ok := p.targets[target]; ok {
		return t
	}
	return targetStats{latency: startLatency}
}

func mean(old, next time.Duration) time.Duration {
	return old + time.Duration(latencyGain*float64(next-old))
}
