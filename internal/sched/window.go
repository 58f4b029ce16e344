package sched

import "time"

// windowSeconds is the length of the window over which arrivals are measured.
const windowSeconds = 10

type (
	// window counts requests over the last windowSeconds. The zero window is empty.
	window struct {
		// second is the Unix time of the newest count, first that of the oldest one ever.
		second, first int64
		// counts is a ring buffer of the counts of each second.
		counts [windowSeconds]struct {
			requests int
			need     float64
		}
	}
)

// advance drops the counts that have left the window.
func (w *window) advance(now time.Time) {
	t := now.Unix()
	if w.first == 0 {
		w.first, w.second = t, t
	}
	for w.second = max(w.second, t-windowSeconds); w.second < t; {
		w.second++
		w.counts[w.second%windowSeconds].requests, w.counts[w.second%windowSeconds].need = 0, 0
	}
}

// add counts a request.
func (w *window) add(now time.Time, need float64) {
	w.advance(now)
	c := &w.counts[w.second%windowSeconds]
	c.requests++
	c.need += need
}

// count returns the number of requests in the window.
func (w *window) count(now time.Time) int {
	w.advance(now)
	n := 0
	for _, c := range w.counts {
		n += c.requests
	}
	return n
}

// rate returns the requests and the need per second over the window, or over the time
// since the first request if that is shorter.
func (w *window) rate(now time.Time) (requests, need float64) {
	w.advance(now)
	for _, c := range w.counts {
		requests += float64(c.requests)
		need += c.need
	}
	seconds := float64(min(windowSeconds, w.second-w.first+1))
	return requests / seconds, need / seconds
}
