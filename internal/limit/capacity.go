package limit

import (
	"math"
	"time"
)

const (
	// z95 is the distance of the 95th percentile from the mean in standard
	// deviations. It assumes a normal distribution, as a sum of several waits
	// has approximately.
	z95 = 1.645

	// intervalWeight is the weight of the newest interval in the moving averages.
	intervalWeight = 0.3

	// minStepRisePerSecond is the relative rate at which minStep rises, so that it
	// follows an engine that becomes slower. It is low because under constant
	// load all steps take longer than the true minimum.
	minStepRisePerSecond = 0.05 / 60

	// minAllowedFactor is the multiple of minStep that a step may always take, so
	// that an engine that cannot reach the goal is not left idle.
	minAllowedFactor = 2

	// busyStepFactor is the step time of an engine that is never idle, as a
	// multiple of its iteration time: a step waits for half an iteration on
	// average.
	busyStepFactor = 1.5

	// maxExtrapolation limits the extrapolation of the step time to this multiple
	// of the mean number of positions in flight.
	maxExtrapolation = 3
)

// Capacity estimates how many sessions an engine can serve without exceeding a
// step time. It models the step time as linear in the number of steps in flight.
// The line goes through two points: the minimum step time, multiplied by
// busyStepFactor, at one step in flight, and the means of the last intervals.
type Capacity struct {
	// inFlight is the number of positions whose steps are not answered yet.
	inFlight int
	// minStep is the minimum time of a decode step in seconds; it rises by
	// minStepRisePerSecond.
	minStep float64
	// meanInFlight and meanStep are moving averages of the positions in flight
	// when a step begins, and of the step time in seconds.
	meanInFlight, meanStep float64
	// meanSquare is the moving average of the squared step time.
	meanSquare float64
	// sumInFlight, sumStep and sumSquare are sums over the samples of the current
	// interval.
	sumInFlight, sumStep, sumSquare float64
	samples                         int
}

// Begin records the start of a step and returns how many positions are in flight.
func (c *Capacity) Begin(positions int) int {
	c.inFlight += positions
	return c.inFlight
}

// End records the end of a step; inFlight is what Begin returned for it. Prefills
// and failed steps are not sampled.
func (c *Capacity) End(positions, inFlight int, elapsed time.Duration, ok bool) {
	c.inFlight -= positions
	if !ok || positions != 1 {
		return
	}
	seconds := elapsed.Seconds()
	if c.minStep == 0 || seconds < c.minStep {
		c.minStep = seconds
	}
	c.sumInFlight += float64(inFlight)
	c.sumStep += seconds
	c.sumSquare += seconds * seconds
	c.samples++
}

// Interval ends a measurement interval of the given length and updates the moving
// averages.
func (c *Capacity) Interval(length time.Duration) {
	if c.samples == 0 {
		return
	}
	n := float64(c.samples)
	inFlight, mean, square := c.sumInFlight/n, c.sumStep/n, c.sumSquare/n
	if c.meanStep == 0 {
		c.meanInFlight, c.meanStep, c.meanSquare = inFlight, mean, square
	}
	c.meanInFlight += intervalWeight * (inFlight - c.meanInFlight)
	c.meanStep += intervalWeight * (mean - c.meanStep)
	c.meanSquare += intervalWeight * (square - c.meanSquare)
	c.minStep *= 1 + minStepRisePerSecond*length.Seconds()
	c.sumInFlight, c.sumStep, c.sumSquare, c.samples = 0, 0, 0, 0
}

// Sessions returns how many sessions may be open so that 95 % of the steps take at
// most goal at this engine. The share is the part of its step time that a session
// spends at this engine. It returns false if there are no measurements yet.
func (c *Capacity) Sessions(goal time.Duration, share float64) (float64, bool) {
	if c.meanStep == 0 || share <= 0 {
		return 0, false
	}
	// A token passes 1/share such engines, whose deviations partly cancel out.
	deviation := math.Sqrt(max(0, c.meanSquare-c.meanStep*c.meanStep)) / c.meanStep
	allowed := max(goal.Seconds()/(1+z95*deviation*math.Sqrt(share)), minAllowedFactor*c.minStep)
	// A single step takes minStep. With fewer than 2 positions in flight the slope
	// cannot be measured; each further step is then assumed to add a full minStep.
	perStep, busy := c.minStep, c.minStep
	if c.meanInFlight >= 2 {
		busy = busyStepFactor * c.minStep
		perStep = min(c.minStep, max(0, c.meanStep-busy)/(c.meanInFlight-1))
	}
	inFlight := maxExtrapolation * max(c.meanInFlight, 2)
	if perStep > 0 {
		inFlight = min(inFlight, 1+(allowed-busy)/perStep)
	}
	return inFlight / share, true
}
