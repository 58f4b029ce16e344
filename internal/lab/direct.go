package lab

import (
	"context"
	"encoding/binary"
	"strconv"
	"sync/atomic"

	"golang.org/x/sync/errgroup"

	"shallotcourse/internal/engine"
	"shallotcourse/internal/fault"
	"shallotcourse/internal/token"
)

type (
	// chain calls the engines of a chain directly, without the router.
	chain struct {
		stages   []stage
		sessions atomic.Int64
	}

	stage struct {
		client *engine.Client
		state  engine.State
	}
)

// complete computes the answer to a prompt with one engine request per stage and
// token.
func (c *chain) complete(ctx context.Context, prompt string, seed int64, maxTokens int) (answer, error) {
	a := answer{start: clock.Now()}
	values := token.Encode(prompt)
	session := "cost-" + strconv.FormatInt(a.start.UnixNano(), 36) + "-" + strconv.FormatInt(c.sessions.Add(1), 10)
	defer c.cancel(ctx, session)
	if err := c.open(ctx, session, values, uint64(seed)); err != nil {
		return a, err
	}
	position := 0
	for len(a.tokenTimes) < maxTokens {
		t, err := c.step(ctx, session, position, values)
		if err != nil {
			return a, err
		}
		if t.End {
			break
		}
		a.add(t)
		position += len(values)
		values = []uint32{t.Value}
	}
	return a, nil
}

// open opens a session at each engine. A prefix cache hit is an error, since it
// would make the measured times too short.
func (c *chain) open(ctx context.Context, session string, prompt []uint32, seed uint64) error {
	group, ctx := errgroup.WithContext(ctx)
	for i, s := range c.stages {
		group.Go(func() error {
			state, err := s.client.OpenSession(ctx, engine.SessionRequest{
				Session: session, Version: s.state.Version, Layers: s.state.Layers, Prompt: prompt, Seed: seed,
				Sample: i == len(c.stages)-1,
			})
			if err == nil && state.Next > 0 {
				return fault.New(fault.Conflict, "prompt is in the prefix cache of an engine")
			}
			return err
		})
	}
	return group.Wait()
}

// step runs tokens through all stages and returns the next token.
func (c *chain) step(ctx context.Context, session string, position int, values []uint32) (engine.SampledToken, error) {
	var data []byte
	for _, v := range values {
		data = binary.LittleEndian.AppendUint32(data, v)
	}
	var r engine.StepResult
	for _, s := range c.stages {
		var err error
		r, err = s.client.Step(ctx, session, engine.StepRequest{Position: position, Count: len(values), Data: data})
		if err != nil {
			return engine.SampledToken{}, err
		}
		data = r.Data
	}
	if len(r.Tokens) == 0 {
		return engine.SampledToken{}, fault.New(fault.Malformed, "last engine sampled no token")
	}
	return r.Tokens[len(r.Tokens)-1], nil
}

func (c *chain) cancel(ctx context.Context, session string) {
	for _, s := range c.stages {
		_ = s.client.CloseSession(ctx, session)
	}
}
