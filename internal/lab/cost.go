// Package lab measures and emulates the router for developers.
package lab

import (
	"context"
	"slices"
	"sort"
	"strconv"
	"time"

	"golang.org/x/sync/errgroup"

	"shallotcourse/internal/engine"
	"shallotcourse/internal/fault"
	"shallotcourse/internal/timer"
	"shallotcourse/internal/token"
	"shallotcourse/pkg/clnt"
)

type (
	// CostConfig says what to measure.
	CostConfig struct {
		// Engines are in the order of the chain, and hold the model's layers.
		Engines []string
		Entry   string
		Key     string
		Model   string
		// Processes maps names to ids of the router's processes.
		Processes map[string]int
		Requests  int
		Parallel  int
		MaxTokens int
		Rounds    int
		Idle      time.Duration
	}

	// CostReport compares the same answers without and with the router.
	CostReport struct {
		// Requests and Tokens count those through the router with long
		// answers; there were as many direct ones.
		Requests  int
		Tokens    int
		Direct    Latency
		Router    Latency
		Processes []ProcessCost
	}

	// Latency holds the times of one way to the engines.
	Latency struct {
		TokensPerSecond float64
		FirstToken      Quantiles
		BetweenTokens   Quantiles
	}

	// Quantiles are of the measured times.
	Quantiles struct{ P50, P95 time.Duration }

	// ProcessCost is the processor time of one process, user and system. The
	// idle share is taken off the other two.
	ProcessCost struct {
		Name string
		// PerRequest is the time of a request with an answer of one token.
		PerRequest time.Duration
		// PerToken is the time of each further token.
		PerToken time.Duration
		// Idle is the share of a core that the process takes without work.
		Idle float64
	}

	// phase collects the measures of one kind of requests over all rounds.
	phase struct {
		requests, tokens int
		elapsed          time.Duration
		first, gaps      []time.Duration
		processor        usage
	}

	// answer is one answer with the times at which its tokens came.
	answer struct {
		text  string
		begun time.Time
		came  []time.Time
	}

	// asker returns the answer to a prompt.
	asker func(ctx context.Context, prompt string, seed int64, maxTokens int) (answer, error)
)

var clock timer.Service = timer.System{}

// Cost measures a running router against its engines called directly. Each
// round has the same requests in each phase, so that changes in the load of
// the machine meet all of them.
func Cost(ctx context.Context, cfg CostConfig) (CostReport, error) {
	if err := cfg.check(); err != nil {
		return CostReport{}, err
	}
	chain, err := newChain(ctx, cfg.Engines)
	if err != nil {
		return CostReport{}, err
	}
	router := routed(clnt.NewCaller([]string{cfg.Entry}, cfg.Key), cfg.Model)
	idle, err := cfg.idle(ctx)
	if err != nil {
		return CostReport{}, err
	}
	var direct, long, short phase
	for round := range cfg.Rounds {
		want, err := cfg.run(ctx, &direct, chain.ask, round, cfg.MaxTokens)
		if err != nil {
			return CostReport{}, err
		}
		got, err := cfg.run(ctx, &long, router, round, cfg.MaxTokens)
		if err != nil {
			return CostReport{}, err
		}
		if !slices.Equal(got, want) {
			return CostReport{}, fault.New(fault.Internal, "answers of the router differ from those of the engines")
		}
		if _, err := cfg.run(ctx, &short, router, round, 1); err != nil {
			return CostReport{}, err
		}
	}
	r := CostReport{Requests: long.requests, Tokens: long.tokens, Direct: direct.latency(), Router: long.latency()}
	for _, name := range cfg.names() {
		r.Processes = append(r.Processes, processCost(name, idle[name], long, short))
	}
	r.Processes = append(r.Processes, total(r.Processes))
	return r, nil
}

func (c CostConfig) check() error {
	for name, v := range map[string]int{
		"--requests": c.Requests, "--parallel": c.Parallel, "--rounds": c.Rounds,
		"--max-tokens": c.MaxTokens - 1, "--engines": len(c.Engines),
	} {
		if v < 1 {
			return fault.Invalid(name, v, "1 or more, and 2 or more tokens")
		}
	}
	return nil
}

// names returns the processes in order.
func (c CostConfig) names() []string {
	var names []string
	for name := range c.Processes {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// idle returns the share of a core that each process takes without work.
func (c CostConfig) idle(ctx context.Context) (map[string]float64, error) {
	before, err := readUsage(c.Processes)
	if err != nil {
		return nil, err
	}
	if err := timer.Sleep(ctx, clock, c.Idle); err != nil {
		return nil, fault.New(fault.Canceled, "the measurement was given up").WithCause(err)
	}
	after, err := readUsage(c.Processes)
	if err != nil {
		return nil, err
	}
	idle := map[string]float64{}
	for name := range c.Processes {
		if c.Idle > 0 {
			idle[name] = (after[name] - before[name]).Seconds() / c.Idle.Seconds()
		}
	}
	return idle, nil
}

// run asks for the requests of a round, adds the measures to the phase, and
// returns the texts of the answers.
func (c CostConfig) run(ctx context.Context, p *phase, ask asker, round, maxTokens int) ([]string, error) {
	before, err := readUsage(c.Processes)
	if err != nil {
		return nil, err
	}
	begun := clock.Now()
	answers := make([]answer, c.Requests)
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(c.Parallel)
	for i := range answers {
		group.Go(func() (err error) {
			n := round*c.Requests + i
			answers[i], err = ask(ctx, "cost "+strconv.Itoa(n), int64(n), length(n, maxTokens))
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	p.elapsed += clock.Now().Sub(begun)
	after, err := readUsage(c.Processes)
	if err != nil {
		return nil, err
	}
	p.processor = p.processor.withDifference(before, after)
	texts := make([]string, len(answers))
	for i, a := range answers {
		texts[i] = a.text
		p.add(a)
	}
	return texts, nil
}

// length returns a length around the mean for a request. With equal lengths the
// requests that run together end together, and the next ones start as a wave.
func length(n, mean int) int {
	const stride = 37
	return mean/2 + 1 + n*stride%mean
}

func (p *phase) add(a answer) {
	p.requests++
	p.tokens += len(a.came)
	last := a.begun
	for i, t := range a.came {
		if i == 0 {
			p.first = append(p.first, t.Sub(last))
		} else {
			p.gaps = append(p.gaps, t.Sub(last))
		}
		last = t
	}
}

func (p *phase) latency() Latency {
	return Latency{
		TokensPerSecond: float64(p.tokens) / p.elapsed.Seconds(),
		FirstToken:      quantiles(p.first), BetweenTokens: quantiles(p.gaps),
	}
}

func quantiles(values []time.Duration) Quantiles {
	if len(values) == 0 {
		return Quantiles{}
	}
	v := slices.Sorted(slices.Values(values))
	return Quantiles{P50: v[len(v)/2], P95: v[len(v)*95/100]}
}

// processCost separates the time of requests from that of tokens by answers of
// two lengths.
func processCost(name string, idle float64, long, short phase) ProcessCost {
	work := func(p phase) time.Duration {
		return p.processor[name] - time.Duration(idle*float64(p.elapsed))
	}
	perRequest := work(short) / time.Duration(short.requests)
	extra := max(long.tokens-long.requests, 1)
	perToken := (work(long) - perRequest*time.Duration(long.requests)) / time.Duration(extra)
	return ProcessCost{Name: name, PerRequest: perRequest, PerToken: perToken, Idle: idle}
}

func total(processes []ProcessCost) ProcessCost {
	sum := ProcessCost{Name: "total"}
	for _, p := range processes {
		sum.PerRequest += p.PerRequest
		sum.PerToken += p.PerToken
		sum.Idle += p.Idle
	}
	return sum
}

// routed asks through the router.
func routed(c *clnt.Caller, model string) asker {
	return func(ctx context.Context, prompt string, seed int64, maxTokens int) (answer, error) {
		a := answer{begun: clock.Now()}
		err := c.Complete(ctx, clnt.Completion{Model: model, Prompt: prompt, MaxTokens: maxTokens, Seed: &seed}, func(text string) error {
			a.came = append(a.came, clock.Now())
			a.text += text
			return nil
		})
		return a, err
	}
}

// newChain looks up what each engine holds.
func newChain(ctx context.Context, engines []string) (*chain, error) {
	c := &chain{}
	for _, url := range engines {
		client := engine.NewClient(url)
		held, err := client.State(ctx)
		if err != nil {
			return nil, err
		}
		c.stages = append(c.stages, stage{client, held})
	}
	return c, nil
}

func (a *answer) add(t engine.SampledToken) {
	a.came = append(a.came, clock.Now())
	a.text += token.Text(t.Value)
}
