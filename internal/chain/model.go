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
		// SlowFactor multiplies the target's step time; values below 1 count as 1.
		SlowFactor float64
	}

	// Estimate is the estimated performance of a chain with a given number of
	// requests in it.
	Estimate struct {
		// Rate is the number of requests finished per second.
		Rate float64
		// PromptShare is the share of the slowest stage's time that the prompts of
		// these requests take; from 1 on, their queue grows without limit.
		PromptShare float64
		// EventInterval is the time between two events of a stream.
		EventInterval time.Duration
	}
)

// Throughput estimates the performance of a chain in which n requests of usual
// size generate tokens. Prompts get the tokens of each step (Model.Chunk) that
// the generating requests leave, and a pass through a stage runs Model.Stride
// steps.
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
	step := m.StepTime(n).Seconds() * stride
	round := step*sum + hopDelay.Seconds()*float64(len(stages))
	out := Estimate{
		Rate:          n / max(round*float64(m.UsualAnswer)/stride, time.Microsecond.Seconds()),
		EventInterval: time.Duration(round * float64(time.Second)),
	}
	if m.Chunk <= 0 || m.ReadPerSecond <= 0 {
		return out
	}
	tokens := max(1, stride*(float64(m.Chunk)-n))
	pass := step*slowest + tokens*read/m.ReadPerSecond
	out.PromptShare = out.Rate * float64(m.UsualPrompt) * pass / tokens
	return out
}

// share is the time that a pass takes at the stage, as a share of the time of a
// pass through all layers.
func (s Stage) share(m *topo.Model) float64 {
	return float64(s.Layers) / float64(max(1, m.Layers)) * max(1, s.SlowFactor)
}

// ReadToken is the time that a prompt token takes at a stage while some requests
// (writers) generate tokens there: a pass reads as many prompt tokens as they
// leave of the tokens of its steps.
func (s Stage) ReadToken(m *topo.Model, writers float64) time.Duration {
	if m.Chunk <= 0 || m.ReadPerSecond <= 0 {
		return 0
	}
	card := m.Cards[s.Card]
	share := s.share(m)
	stride := float64(max(1, m.Stride))
	tokens := max(1, stride*(float64(m.Chunk)-writers))
	step := float64(m.StepTime(writers)) * stride * card.Pace * share / tokens
	return time.Duration(step + float64(time.Second)*card.ReadPace*share/m.ReadPerSecond)
}
