package limit

import "maps"

// Copy returns a TargetLimiter with the state of this one, which publishes nothing. What
// happens to a request can be tried there without a change to this one.
func (l *TargetLimiter) Copy() *TargetLimiter {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := NewTargetLimiter(l.clock, l.self, l.gateways)
	out.start, out.waiting = l.start, maps.Clone(l.waiting)
	for id, k := range l.limits {
		copied := *k
		out.limits[id] = &copied
	}
	for id, k := range l.leaves {
		copied := *k
		out.leaves[id] = &copied
	}
	for id, k := range l.pauses {
		copied := *k
		out.pauses[id] = &copied
	}
	return out
}
