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
	// CostConfig configures the measurement of a running router.
	CostConfig struct {
		// Engines are URLs in the order of the chain. Together the engines have
		// loaded all layers of the model.
		Engines []string
		Entry   string
		Key     string
		Model   string
		// Processes maps names of the router's processes to their PIDs.
		Processes map[string]int
		Requests  int
		Parallel  int
		MaxTokens int
		Rounds    int
		Idle      time.Duration
	}

	// CostReport compares the same requests sent to the engines directly and
	// through the router.
	CostReport struct {
		// Requests and Tokens count those through the router with answers of
		// full length; the direct phase has as many.
		Requests  int
		Tokens    int
		Direct    Latency
		Router    Latency
		Processes []ProcessCost
	}

	// Latency holds the times measured directly or through the router.
	Latency struct {
		TokensPerSecond float64
		FirstToken      Quantiles
		BetweenTokens   Quantiles
	}

	// Quantiles of measured times.
	Quantiles struct{ P50, P95 time.Duration }

	// ProcessCost is the CPU time of one process, user and system. Idle use is
	// subtracted from PerRequest and PerToken.
	ProcessCost struct {
		Name string
		// PerRequest is the CPU time of a request with an answer of one token.
		PerRequest time.Duration
		// PerToken is the CPU time of each further token.
		PerToken time.Duration
		// Idle is the fraction of a core that the process uses without
		// requests.
		Idle float64
	}

	// phase collects the measurements of one kind of requests over all rounds.
	phase struct {
		requests, tokens  int
		elapsed           time.Duration
		firstTokens, gaps []time.Duration
		cpu               usage
	}

	// answer is an answer with the arrival times of its tokens.
	answer struct {
		text       string
		start      time.Time
		tokenTimes []time.Time
	}

	// completer requests the answer to a prompt.
	completer func(ctx context.Context, prompt string, seed int64, maxTokens int) (answer, error)
)

var clock timer.Service = timer.System{}

// Cost compares a running router with direct calls of its engines. Every round
// runs the requests once per phase, so that changes in the load of the machine
// affect all phases alike.
func Cost(ctx context.Context, cfg CostConfig) (CostReport, error) {
	if err := cfg.validate(); err != nil {
		return CostReport{}, err
	}
	chain, err := newChain(ctx, cfg.Engines)
	if err != nil {
		return CostReport{}, err
	}
	router := routerCompleter(clnt.NewCaller([]string{cfg.Entry}, cfg.Key), cfg.Model)
	idle, err := cfg.measureIdle(ctx)
	if err != nil {
		return CostReport{}, err
	}
	var direct, long, short phase
	for round := range cfg.Rounds {
		want, err := cfg.runPhase(ctx, &direct, chain.complete, round, cfg.MaxTokens)
		if err != nil {
			return CostReport{}, err
		}
		got, err := cfg.runPhase(ctx, &long, router, round, cfg.MaxTokens)
		if err != nil {
			return CostReport{}, err
		}
		if !slices.Equal(got, want) {
			return CostReport{}, fault.New(fault.Internal, "answers through the router differ from those of the engines")
		}
		if _, err := cfg.runPhase(ctx, &short, router, round, 1); err != nil {
			return CostReport{}, err
		}
	}
	r := CostReport{Requests: long.requests, Tokens: long.tokens, Direct: direct.latency(), Router: long.latency()}
	for _, name := range cfg.processNames() {
		r.Processes = append(r.Processes, processCost(name, idle[name], long, short))
	}
	r.Processes = append(r.Processes, sumCosts(r.Processes))
	return r, nil
}

func (c CostConfig) validate() error {
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

// processNames returns the names of the processes, sorted.
func (c CostConfig) processNames() []string {
	var names []string
	for name := range c.Processes {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// measureIdle returns the fraction of a core that each process uses without
// requests.
func (c CostConfig) measureIdle(ctx context.Context) (map[string]float64, error) {
	before, err := readUsage(c.Processes)
	if err != nil {
		return nil, err
	}
	if err := timer.Sleep(ctx, clock, c.Idle); err != nil {
		return nil, fault.New(fault.Canceled, "measurement was interrupted").WithCause(err)
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

// runPhase sends the requests of one round, adds the measurements to the phase, and
// returns the texts of the answers.
func (c CostConfig) runPhase(ctx context.Context, p *phase, complete completer, round, maxTokens int) ([]string, error) {
	before, err := readUsage(c.Processes)
	if err != nil {
		return nil, err
	}
	start := clock.Now()
	answers := make([]answer, c.Requests)
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(c.Parallel)
	for i := range answers {
		group.Go(func() (err error) {
			n := round*c.Requests + i
			answers[i], err = complete(ctx, "cost "+strconv.Itoa(n), int64(n), answerLength(n, maxTokens))
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	p.elapsed += clock.Now().Sub(start)
	after, err := readUsage(c.Processes)
	if err != nil {
		return nil, err
	}
	p.cpu = p.cpu.withDifference(before, after)
	texts := make([]string, len(answers))
	for i, a := range answers {
		texts[i] = a.text
		p.add(a)
	}
	return texts, nil
}

// answerLength returns the answer length of request n; the lengths vary around the
// mean. With equal lengths, concurrent requests would end at once and the next
// ones would start as a burst.
func answerLength(n, mean int) int {
	const stride = 37
	return mean/2 + 1 + n*stride%mean
}

func (p *phase) add(a answer) {
	p.requests++
	p.tokens += len(a.tokenTimes)
	last := a.start
	for i, t := range a.tokenTimes {
		if i == 0 {
			p.firstTokens = append(p.firstTokens, t.Sub(last))
		} else {
			p.gaps = append(p.gaps, t.Sub(last))
		}
		last = t
	}
}

func (p *phase) latency() Latency {
	return Latency{
		TokensPerSecond: float64(p.tokens) / p.elapsed.Seconds(),
		FirstToken:      quantiles(p.firstTokens), BetweenTokens: quantiles(p.gaps),
	}
}

func quantiles(values []time.Duration) Quantiles {
	if len(values) == 0 {
		return Quantiles{}
	}
	v := slices.Sorted(slices.Values(values))
	return Quantiles{P50: v[len(v)/2], P95: v[len(v)*95/100]}
}

// processCost separates the CPU time per request from that per token, using
// answers of two lengths.
func processCost(name string, idle float64, long, short phase) ProcessCost {
	work := func(p phase) time.Duration {
		return p.cpu[name] - time.Duration(idle*float64(p.elapsed))
	}
	perRequest := work(short) / time.Duration(short.requests)
	extra := max(long.tokens-long.requests, 1)
	perToken := (work(long) - perRequest*time.Duration(long.requests)) / time.Duration(extra)
	return ProcessCost{Name: name, PerRequest: perRequest, PerToken: perToken, Idle: idle}
}

func sumCosts(processes []ProcessCost) ProcessCost {
	sum := ProcessCost{Name: "total"}
	for _, p := range processes {
		sum.PerRequest += p.PerRequest
		sum.PerToken += p.PerToken
		sum.Idle += p.Idle
	}
	return sum
}

// routerCompleter returns a completer that sends its requests to the router.
func routerCompleter(c *clnt.Caller, model string) completer {
	return func(ctx context.Context, prompt string, seed int64, maxTokens int) (answer, error) {
		a := answer{start: clock.Now()}
		err := c.Complete(ctx, clnt.Completion{Model: model, Prompt: prompt, MaxTokens: maxTokens, Seed: &seed}, func(text string) error {
			a.tokenTimes = append(a.tokenTimes, clock.Now())
			a.text += text
			return nil
		})
		return a, err
	}
}

// newChain returns the chain of the engines, with the layers that each has
// loaded.
func newChain(ctx context.Context, engines []string) (*chain, error) {
	c := &chain{}
	for _, url := range engines {
		client := engine.NewClient(url)
		state, err := client.State(ctx)
		if err != nil {
			return nil, err
		}
		c.stages = append(c.stages, stage{client, state})
	}
	return c, nil
}

func (a *answer) add(t engine.SampledToken) {
	a.tokenTimes = append(a.tokenTimes, clock.Now())
	a.text += token.Text(t.Value)
}
