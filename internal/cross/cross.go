// Package cross computes what it costs to send a new request to another data centre, and
// says which data centres get nothing new. It needs no network and no clock: the same
// inputs in the same order always give the same result.
package cross

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// Trips is the number of times that a request pays the delay to another data centre
	// until its first token: two to open a connection, one for the request and one for
	// the token.
	Trips = 4
	// pipeShare is the share of the pipe that may be used; the rest is for loads and
	// for bursts shorter than meterTime. A data centre that is closed because of the
	// pipe opens again below openPipeShare.
	pipeShare     = 0.8
	openPipeShare = 0.7
	// surcharge scales the extra cost of a pipe in use: it is 0.1 ms at half of
	// pipeShare, 2 ms at 0.8 of it and 16 ms at 0.95, where a token takes 10 to 40 ms.
	surcharge = time.Millisecond
	// maxAge is the age from which the figures of a data centre count as old: several
	// reports of loads were lost. It opens again below openAge.
	maxAge  = 1500 * time.Millisecond
	openAge = time.Second
	// slowShare is the share of the objective that a request may lose on its way to
	// another data centre, and openSlowShare that at which one opens again: a quarter
	// made the part that leaves change by 0.13 in the simulation of a slow pipe.
	slowShare     = 0.5
	openSlowShare = 0.35
	// meterTime is the time constant of the mean of what crosses. A gateway gets tens
	// of requests per second, so that shorter means vary much.
	meterTime = time.Second
)

// The reasons of closed data centres.
const (
	NoTargets  Reason = "NoTargets"
	OldFigures Reason = "OldFigures"
	Slow       Reason = "Slow"
	PipeFull   Reason = "PipeFull"
)

type (
	// Reason is why a data centre is closed; it is empty if it is open.
	Reason string

	// Figures describes the targets of one data centre.
	Figures struct {
		Name string
		// Ready is the number of targets that take requests.
		Ready int
		// Complete is true if these targets hold all layers.
		Complete bool
		// Age is the age of the loads behind these figures.
		Age time.Duration
	}

	// Input is what the costs for one service depend on.
	Input struct {
		Home string
		// DataCentres may contain the home data centre.
		DataCentres []Figures
		// Delays holds the delay from the home data centre to each other one: that of
		// the configuration, or the one measured if it is longer. Data centres that
		// are missing have no cost.
		Delays map[string]time.Duration
		// RequestBytes is the number of bytes of a request and its answer, and
		// AnswerTokens the usual length of an answer.
		RequestBytes float64
		AnswerTokens int
		// PipeBytes is what all transfers between data centres may have per second; 0
		// is no bound. UsedBytes is what the requests of this gateway take of it.
		PipeBytes, UsedBytes float64
		// Gateways is the number of gateways that share the pipe.
		Gateways int
		// Objective is the time to the first token that callers expect; 0 if unknown.
		Objective time.Duration
	}

	// Cost is the cost of crossing to one data centre.
	Cost struct {
		DataCentre string
		// PerToken is the cost spread over the tokens of a usual answer.
		PerToken time.Duration
		// Closed is why nothing new may go there unless no other data centre can run
		// it; empty if it may.
		Closed Reason
	}

	// Decider remembers which data centres are closed for one service and home data
	// centre. It is not safe for concurrent use.
	Decider struct{ closed map[string]Reason }

	// Meter is the mean number of bytes per second that cross. The zero value has
	// counted nothing. It is not safe for concurrent use.
	Meter struct {
		at   time.Time
		rate float64
	}
)

// New returns a decider to which all data centres are open.
func New() *Decider { return &Decider{closed: map[string]Reason{}} }

// Costs returns the costs of crossing to the other data centres, in the order of their names.
func (d *Decider) Costs(in Input) []Cost {
	var out []Cost
	for _, f := range in.DataCentres {
		delay, ok := in.Delays[f.Name]
		if f.Name == in.Home || !ok {
			continue
		}
		closed := in.closes(f, delay, d.closed[f.Name])
		d.closed[f.Name] = closed
		out = append(out, Cost{DataCentre: f.Name, PerToken: in.perToken(delay), Closed: closed})
	}
	slices.SortFunc(out, func(a, b Cost) int { return cmp.Compare(a.DataCentre, b.DataCentre) })
	return out
}

// Forbids reports whether a request may not go there even if no other data centre that is
// complete has room for it: the pipe could not carry it in time.
func (r Reason) Forbids() bool { return r == PipeFull || r == Slow }

// closes returns why a data centre is closed. A condition that has closed it ends at a
// lower bound than it begins at. Those that forbid requests take precedence.
func (in Input) closes(f Figures, delay time.Duration, was Reason) Reason {
	bound := func(why Reason, begin, end float64) float64 {
		if was == why {
			return end
		}
		return begin
	}
	onTheWay := in.onTheWay(delay).Seconds()
	switch {
	case f.Ready == 0 || !f.Complete:
		return NoTargets
	case in.Objective > 0 && onTheWay > bound(Slow, slowShare, openSlowShare)*in.Objective.Seconds():
		return Slow
	case in.pipeUse() >= bound(PipeFull, pipeShare, openPipeShare):
		return PipeFull
	case f.Age.Seconds() > bound(OldFigures, maxAge.Seconds(), openAge.Seconds()):
		return OldFigures
	}
	return ""
}

// onTheWay is the time that a request loses by the delay and the time of its bytes.
func (in Input) onTheWay(delay time.Duration) time.Duration {
	out := Trips * delay
	if in.PipeBytes > 0 {
		out += time.Duration(in.RequestBytes / in.PipeBytes * float64(time.Second))
	}
	return out
}

// pipeUse is the used share of this gateway's part of the pipe. What all send is known
// only from loads up to half a second old, by which a full pipe would be found too late.
// The parts are equal, so that they never add up to more than the pipe.
func (in Input) pipeUse() float64 {
	if in.PipeBytes <= 0 {
		return 0
	}
	return in.UsedBytes * float64(max(1, in.Gateways)) / in.PipeBytes
}

// perToken is the time on the way spread over an answer, and a surcharge that grows
// steeply towards the use at which data centres close.
func (in Input) perToken(delay time.Duration) time.Duration {
	out := in.onTheWay(delay) / time.Duration(max(1, in.AnswerTokens))
	use := min(in.pipeUse()/pipeShare, 0.99)
	return out + time.Duration(float64(surcharge)*math.Pow(use, 4)/(1-use))
}

// Add counts bytes that cross from now on.
func (m *Meter) Add(now time.Time, bytes float64) {
	m.rate, m.at = m.Rate(now)+bytes/meterTime.Seconds(), now
}

// Rate returns the mean number of bytes per second.
func (m *Meter) Rate(now time.Time) float64 {
	return m.rate * math.Exp(-max(0, now.Sub(m.at)).Seconds()/meterTime.Seconds())
}
