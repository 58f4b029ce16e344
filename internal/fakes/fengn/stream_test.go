package fengn

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"shallotcourse/internal/engine"
	"shallotcourse/internal/fault"
)

// Guards against step streams that mix up answers or failures of steps from
// several batches, in which a slow step delays the others, or that report the
// reason of their closing more than once.
func TestStreamAnswersEachStep(t *testing.T) {
	is := is.New(t)
	_, c := startEngine(t, Config{Cost: Cost{PerToken: time.Millisecond}, BatchTokens: 20})
	for _, id := range []string{"a", "b"} {
		_, err := c.OpenSession(t.Context(), sessionRequest(id, nil))
		is.NoErr(err)
	}
	type answer struct {
		index int
		err   error
	}
	answers, closed := make(chan answer, 10), make(chan error, 10)
	s := c.Stream(func(i int, _ engine.StepResult, err error) error {
		answers <- answer{i, err}
		return nil
	}, func(err error) { closed <- err })
	is.NoErr(s.Send([]engine.BatchStep{
		{Session: "a", StepRequest: tokenStep(0, sequence(40)...)}, {Session: "none", StepRequest: tokenStep(0, 1)},
	}))
	is.NoErr(s.Send([]engine.BatchStep{
		{Session: "b", StepRequest: tokenStep(0, 1)}, {Session: "a", StepRequest: tokenStep(9, 1)},
	}))
	var order []int
	errs := map[int]error{}
	for range 4 {
		got := <-answers
		order = append(order, got.index)
		errs[got.index] = got.err
	}
	is.Equal(len(errs), 4)
	is.Equal(order[0], 1)
	is.NoErr(errs[0])
	is.NoErr(errs[2])
	is.NoErr(errs[3]) // position 9 has been computed by then
	is.True(fault.Is(errs[1], fault.NotFound))
	s.Close(fault.New(fault.Conflict, "reason"))
	is.True(fault.Is(<-closed, fault.Conflict))
	is.True(s.Send(nil) != nil)
	is.Equal(len(closed)+len(answers), 0)
}
