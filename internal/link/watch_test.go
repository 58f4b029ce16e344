package link

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against links that are closed wrongly after this process was frozen,
// against silence that is never detected if ticks are always late, and against
// late detection without a freeze. Each row is a series of ticks; data was last
// received at time 0.
func TestWatch(t *testing.T) {
	const ms = time.Millisecond
	for _, c := range []struct {
		name  string
		ticks []time.Duration
		want  time.Duration
	}{
		{"healthy", []time.Duration{250, 500, 750, 1000, 1250}, 1250},
		{"a frozen process gives one more timeout", []time.Duration{250, 5000, 5250, 5500, 6000, 6250}, 6250},
		{"a second freeze gives another", []time.Duration{250, 5000, 5250, 9000, 9500, 10000, 10250}, 10250},
		{"always late", []time.Duration{600, 1200, 1800, 2400, 3000, 3600}, 3600},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var detector silenceDetector
			closed := time.Duration(0)
			for _, tick := range c.ticks {
				detector = detector.withTick(tick*ms, 500*ms)
				if closed == 0 && detector.timedOut(0, 1000*ms) {
					closed = tick
				}
			}
			is.Equal(closed, c.want)
		})
	}
}
