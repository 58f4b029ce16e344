package limit

import (
	"math"
	"time"
)

const (
	// tail95 is the distance of the 95th percentile from the mean in standard
	// deviations, for a sum of several waits.
	tail95 = 1.645

	// capacityWeight is the weight of the newest interval in the averages.
	capacityWeight = 0.3

	// leastRise lets the least step time follow an engine that becomes slower.
	// It is slow, because steps of a lasting load are all above the true least.
	leastRise = 0.05 / 60

	// worthwhile is the multiple of the least step time that is always
	// allowed: an engine that cannot keep the goal at all is not left idle.
	worthwhile = 2

	// busyWait is the step time of an engine that is never idle, as a multiple
	// of its iteration time: a step waits for half an iteration on average.
	busyWait = 1.5

	// growth bounds how far the measures are extrapolated: to a multiple of
	// the steps in flight.
	growth = 3
)

// Capacity finds the number of steps in flight at which the mean step time of
// an engine reaches a goal. It takes the step time as linear in the steps in
// flight, through the least step time with the wait of a busy engine, and the
// mean of the last intervals.
type Capacity struct {
	// inFlight counts positions without an answer.
	inFlight int
	// least is the least time of a decode step in seconds.
	least float64
	// steps and time are moving averages: positions in flight when a step
	// begins, and the time of a step.
	steps, time float64
	// square is that of the square of the time of a step.
	square float64
	// sumSteps, sumTime, sumSquare and count describe the samples of this
	// interval.
	sumSteps, sumTime, sumSquare float64
	count                        int
}

// Begin counts the positions of a step and returns how many are in flight.
func (c *Capacity) Begin(positions int) int {
	c.inFlight += positions
	return c.inFlight
}

// End counts an answered step, which began with a number in flight. Prefills
// and failures give no sample.
func (c *Capacity) End(positions, inFlight int, elapsed time.Duration, ok bool) {
	c.inFlight -= positions
	if !ok || positions != 1 {
		return
	}
	s := elapsed.Seconds()
	if c.least == 0 || s < c.least {
		c.least = s
	}
	c.sumSteps += float64(inFlight)
	c.sumTime += s
	c.sumSquare += s * s
	c.count++
}

// Interval ends an interval of the measurement.
func (c *Capacity) Interval(length time.Duration) {
	if c.count == 0 {
		return
	}
	n := float64(c.count)
	steps, mean, square := c.sumSteps/n, c.sumTime/n, c.sumSquare/n
	if c.time == 0 {
		c.steps, c.time, c.square = steps, mean, square
	}
	c.steps += capacityWeight * (steps - c.steps)
	c.time += capacityWeight * (mean - c.time)
	c.square += capacityWeight * (square - c.square)
	c.least *= 1 + leastRise*length.Seconds()
	c.sumSteps, c.sumTime, c.sumSquare, c.count = 0, 0, 0, 0
}

// Sessions returns how many sessions may be open when the steps of a session
// spend the given share of their time at this engine and should take at most
// goal there, for 95 in 100. It returns false while nothing was measured.
func (c *Capacity) Sessions(goal time.Duration, share float64) (float64, bool) {
	if c.time == 0 || share <= 0 {
		return 0, false
	}
	// A token passes 1/share such engines, so that their deviations even out
	// in part.
	spread := math.Sqrt(max(0, c.square-c.time*c.time)) / c.time
	allowed := max(goal.Seconds()/(1+tail95*spread*math.Sqrt(share)), worthwhile*c.least)
	// One step takes the least time; below 2 in flight the slope says
	// nothing, and each further step is taken to cost a whole one.
	perStep, busy := c.least, c.least
	if c.steps >= 2 {
		busy = busyWait * c.least
		perStep = min(c.least, max(0, c.time-busy)/(c.steps-1))
	}
	steps := growth * max(c.steps, 2)
	if perStep > 0 {
		steps = min(steps, 1+(allowed-busy)/perStep)
	}
	return steps / share, true
}
