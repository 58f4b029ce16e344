package chain

import (
	"time"

	"shallotcourse/internal/topo"
)

type (
	// Stage is the part of a chain that one target runs.
	Stage struct {
		Card   string
		Layers int
		// Slow multiplies the target's time; 0 counts as 1.
		Slow float64
	}

	// Estimate is what a chain does with a number of requests in it.
	Estimate struct {
		// Rate is the number of requests that it finishes per second.
		Rate float64
		// Reading is the share of the time of the slowest stage that the
		// prompts of these requests take; from 1 on they queue without end.
		Reading float64
		// Round is the time between two events of a stream.
		Round time.Duration
	}
)

// Throughput estimates a chain in which n requests of usual size write. Prompts
// get what the writers leave of the tokens of each step, and a pass has a stride
// of steps.
func Throughput(m *topo.Model, stages []Stage, n float64) Estimate {
	sum, slowest, read := 0.0, 0.0, 0.0
	for _, s := range stages {
		card := m.Cards[s.Card]
		share := s.share(m)
		sum += card.Pace * share
		slowest = max(slowest, card.Pace*share)
		read = max(read, card.ReadPace*share)
	}
	stride := float64(max(1, m.Stride))
	step := m.StepOf(n).Seconds() * stride
	round := step*sum + hopDelay.Seconds()*float64(len(stages))
	out := Estimate{
		Rate:  n / max(round*float64(m.UsualAnswer)/stride, time.Microsecond.Seconds()),
		Round: time.Duration(round * float64(time.Second)),
	}
	if m.Chunk <= 0 || m.ReadPerSecond <= 0 {
		return out
	}
	tokens := max(1, stride*(float64(m.Chunk)-n))
	pass := step*slowest + tokens*read/m.ReadPerSecond
	out.Reading = out.Rate * float64(m.UsualPrompt) * pass / tokens
	return out
}

// share is the part of the time of all layers that a pass of a stage takes.
func (s Stage) share(m *topo.Model) float64 {
	return float64(s.Layers) / float64(max(1, m.Layers)) * max(1, s.Slow)
}

// ReadToken is the time that a prompt token takes at a stage while some
// requests write there: a pass reads what they leave of the tokens of its steps.
func (s Stage) ReadToken(m *topo.Model, writers float64) time.Duration {
	if m.Chunk <= 0 || m.ReadPerSecond <= 0 {
		return 0
	}
	card := m.Cards[s.Card]
	share := s.share(m)
	stride := float64(max(1, m.Stride))
	tokens := max(1, stride*(float64(m.Chunk)-writers))
	step := float64(m.StepOf(writers)) * stride * card.Pace * share / tokens
	return time.Duration(step + float64(time.Second)*card.ReadPace*share/m.ReadPerSecond)
}
