package fengn

import (
	"slices"

	"shallotcourse/internal/engine"
	"shallotcourse/internal/fault"
)

// Kernel is the computation of one engine session without time or transport.
// Unlike the engine it refuses to answer a position again, so that a test sees
// every repeated run.
type Kernel struct{ session *session }

// NewKernel returns the computation of a session.
func NewKernel(r engine.SessionRequest, endless bool) *Kernel {
	return &Kernel{&session{id: r.Session, request: r, model: newModel(r.Version, r.Adapter, r.Seed, endless)}}
}

// Next returns the first position that has not run.
func (k *Kernel) Next() int { return k.session.next() }

// Run runs positions; they must start at Next.
func (k *Kernel) Run(r engine.StepRequest) (engine.StepResult, error) {
	if r.Position != k.session.next() {
		return engine.StepResult{}, fault.Newf(fault.Conflict, "position %d was run at next position %d", r.Position, k.session.next())
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

// Truncate drops all positions from one on.
func (k *Kernel) Truncate(position int) {
	k.session.states = slices.Clip(k.session.states[:position])
}
