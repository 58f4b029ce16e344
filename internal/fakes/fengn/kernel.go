package fengn

import (
	"slices"

	"shallotcourse/internal/engine"
	"shallotcourse/internal/fault"
)

// Kernel computes the steps of one engine session, without batching, timing or
// HTTP. Unlike Engine it refuses a position that has run before, so that a test
// detects repeated work.
type Kernel struct{ session *session }

// NewKernel returns the kernel of a new session.
func NewKernel(r engine.SessionRequest, endless bool) *Kernel {
	return &Kernel{&session{id: r.Session, request: r, model: newModel(r.Version, r.Adapter, r.Seed, endless)}}
}

// Next returns the first position that has not run.
func (k *Kernel) Next() int { return k.session.next() }

// Run computes positions; the first one must be Next.
func (k *Kernel) Run(r engine.StepRequest) (engine.StepResult, error) {
	if r.Position != k.session.next() {
		return engine.StepResult{}, fault.Newf(fault.Conflict, "step starts at position %d, but the next position is %d", r.Position, k.session.next())
	}
	inputs, err := decodeInputs(k.session.request.Layers.From == 0, r.Count, r.Data)
	if err != nil {
		return engine.StepResult{}, err
	}
	for _, input := range inputs {
		k.session.run(input)
	}
	return k.session.result(r.Position, r.Count), nil
}

// Truncate discards the given position and all later ones.
func (k *Kernel) Truncate(position int) {
	k.session.states = slices.Clip(k.session.states[:position])
}
