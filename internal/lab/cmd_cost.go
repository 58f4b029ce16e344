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

// CostCommand returns the subcommand that measures what the router adds to the
// time of its engines, and its processor time.
func CostCommand() *cobra.Command {
	var (
		cfg    CostConfig
		output string
	)
	c := &cobra.Command{
		Use:   "cost",
		Short: "Measure the time and the processor time that a running router adds",
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
	f.StringSliceVar(&cfg.Engines, "engines", nil, "URLs of the stand-in engines in the order of the chain")
	f.StringVar(&cfg.Entry, "entry", "", "URL at which an entry serves callers")
	f.StringVar(&cfg.Key, "key", "", "API key of a client account")
	f.StringVar(&cfg.Model, "model", "", "model that the engines hold")
	f.StringToIntVar(&cfg.Processes, "process", nil, "process of the router: name=id; may be repeated")
	f.IntVar(&cfg.Requests, "requests", 64, "requests of each phase")
	f.IntVar(&cfg.Parallel, "parallel", 16, "requests at a time")
	f.IntVar(&cfg.MaxTokens, "max-tokens", 200, "mean tokens of an answer")
	f.IntVar(&cfg.Rounds, "rounds", 3, "rounds; each has all phases")
	f.DurationVar(&cfg.Idle, "idle", 3*time.Second, "time for which the idle router is measured first")
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
