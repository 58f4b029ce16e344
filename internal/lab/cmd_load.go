package lab

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"github.com/spf13/cobra"

	"shallotcourse/internal/timer"
)

// LoadCommand returns the subcommand that sends load to running entries.
func LoadCommand() *cobra.Command {
	var (
		l      = Load{Clock: timer.System{}}
		output string
	)
	c := &cobra.Command{
		Use:   "load",
		Short: "Send requests to running entries and check the answers",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			r, err := l.Run(cmd.Context())
			if err != nil {
				return err
			}
			return writeReport(cmd.OutOrStdout(), output, r)
		},
	}
	f := c.Flags()
	f.StringSliceVar(&l.Entries, "entry", []string{"http://127.0.0.1:17400"}, "base URLs of the entries")
	f.StringSliceVar(&l.Keys, "key", nil, "API keys of client accounts")
	f.StringVar(&l.Model, "model", "", "model to request")
	f.StringVar(&l.Version, "version", "", "version of the model, to compute the correct answer")
	f.StringVar(&l.Adapter, "adapter", "", "adapter of the version, to compute the correct answer")
	f.IntVar(&l.Layers, "layers", 1, "number of layers of the version, to compute the correct answer")
	f.StringVar(&l.Prompt, "prompt", "The kiln is booked for", "start of each prompt; the number of the request follows")
	f.IntVar(&l.MaxTokens, "max-tokens", 32, "maximum number of tokens in each answer")
	f.Uint64Var(&l.Seed, "seed", 1, "seed of the first request; the next ones count up")
	f.IntVar(&l.Count, "count", 100, "number of requests")
	f.DurationVar(&l.Time, "time", time.Minute, "longest duration of the run")
	f.Float64Var(&l.RatePerSecond, "rate", 0, "requests per second (0: all at once)")
	outputFlag(c, &output)
	return c
}

func (r LoadReport) table(w io.Writer) {
	fmt.Fprintln(w, "SENT\tWHOLE\tWRONG\tTRUNCATED\tSILENT\tREFUSED\tFAILED\tELAPSED")
	fmt.Fprintf(w, "%d\t%d\t%d\t%d\t%d\t%d\t%d\t%v\n", r.Sent, r.Whole, r.Wrong, r.Truncated, r.Silent, r.Refused, r.Failed, round(r.Elapsed))
	fmt.Fprintln(w, "\nTIME\tP50\tP95\tP99")
	fmt.Fprintf(w, "first token\t%v\t%v\t%v\n", r.FirstTokenP50, r.FirstTokenP95, r.FirstTokenP99)
	fmt.Fprintf(w, "between tokens\t%v\t%v\t%v\n", r.BetweenTokensP50, r.BetweenTokensP95, r.BetweenTokensP99)
	fmt.Fprintln(w, "\nRETRY-AFTER\tP5\tP50\tP95")
	fmt.Fprintf(w, "%d\t%v\t%v\t%v\n", r.Hints, r.HintLow, r.HintMedian, r.HintHigh)
	fmt.Fprintln(w, "\nFAILURE\tCOUNT")
	for _, name := range slices.Sorted(maps.Keys(r.Outcomes)) {
		fmt.Fprintf(w, "%s\t%d\n", name, r.Outcomes[name])
	}
	fmt.Fprint(w, "\nTOKENS OF WHOLE ANSWERS BY SECOND")
	for _, n := range r.Goodput {
		fmt.Fprintf(w, "\t%d", n)
	}
	fmt.Fprintln(w)
}
