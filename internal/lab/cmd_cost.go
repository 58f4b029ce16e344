package lab

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"shallotcourse/internal/fault"
)

// CostCommand returns the subcommand that measures the latency and CPU time that
// the router adds to its engines.
func CostCommand() *cobra.Command {
	var (
		cfg    CostConfig
		output string
	)
	c := &cobra.Command{
		Use:   "cost",
		Short: "Measure the latency and CPU time that a running router adds",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if output != "table" && output != "json" {
				return fault.Invalid("--output", output, "table, json")
			}
			r, err := Cost(cmd.Context(), cfg)
			if err != nil {
				return err
			}
			if output == "json" {
				e := json.NewEncoder(cmd.OutOrStdout())
				e.SetIndent("", "  ")
				return e.Encode(r)
			}
			return r.print(cmd.OutOrStdout())
		},
	}
	f := c.Flags()
	f.StringSliceVar(&cfg.Engines, "engines", nil, "URLs of the fake engines in the order of the chain")
	f.StringVar(&cfg.Entry, "entry", "", "base URL of an entry for callers")
	f.StringVar(&cfg.Key, "key", "", "API key of a client account")
	f.StringVar(&cfg.Model, "model", "", "model that the engines have loaded")
	f.StringToIntVar(&cfg.Processes, "process", nil, "process of the router to measure: name=PID; may be repeated")
	f.IntVar(&cfg.Requests, "requests", 64, "requests in each phase of a round")
	f.IntVar(&cfg.Parallel, "parallel", 16, "concurrent requests")
	f.IntVar(&cfg.MaxTokens, "max-tokens", 200, "mean number of tokens in an answer")
	f.IntVar(&cfg.Rounds, "rounds", 3, "number of rounds; each runs all phases")
	f.DurationVar(&cfg.Idle, "idle", 3*time.Second, "time over which the CPU use of the idle router is measured first")
	f.StringVarP(&output, "output", "o", "table", "output format: table or json")
	return c
}

func (r CostReport) print(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintf(w, "REQUESTS\t%d\nTOKENS\t%d\nTOKENS PER SECOND\tdirect %.0f\trouter %.0f\n\n",
		r.Requests, r.Tokens, r.Direct.TokensPerSecond, r.Router.TokensPerSecond)
	fmt.Fprintln(w, "TIME\tDIRECT P50\tP95\tROUTER P50\tP95\tADDED P50\tP95")
	row := func(name string, d, r Quantiles) {
		fmt.Fprintf(w, "%s\t%v\t%v\t%v\t%v\t%v\t%v\n", name, micros(d.P50), micros(d.P95), micros(r.P50), micros(r.P95),
			micros(r.P50-d.P50), micros(r.P95-d.P95))
	}
	row("first token", r.Direct.FirstToken, r.Router.FirstToken)
	row("between tokens", r.Direct.BetweenTokens, r.Router.BetweenTokens)
	fmt.Fprintln(w, "\nPROCESSOR TIME\tPER REQUEST\tPER TOKEN\tIDLE, SHARE OF A CORE")
	for _, p := range r.Processes {
		fmt.Fprintf(w, "%s\t%v\t%v\t%.2f%%\n", p.Name, micros(p.PerRequest), micros(p.PerToken), 100*p.Idle)
	}
	return w.Flush()
}

func micros(d time.Duration) time.Duration { return d.Round(100 * time.Nanosecond) }
