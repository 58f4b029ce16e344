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

// PolicyCommand returns the subcommand that compares routing policies in an
// emulator.
func PolicyCommand() *cobra.Command {
	var (
		seed     uint64
		settings Settings
		output   string
	)
	c := &cobra.Command{
		Use:   "policy",
		Short: "Compare the routing policy with the baselines in an emulator",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return writeReport(cmd.OutOrStdout(), output, Policy(seed, settings))
		},
	}
	c.Flags().Uint64Var(&seed, "seed", 1, "seed of the emulator")
	c.Flags().IntVar(&settings.Concurrency, "concurrency", 1000, "initial concurrency limit of each of the three entries")
	c.Flags().Float64Var(&settings.Sessions, "sessions", 4, "maximum number of sessions of an agent, as a multiple of its engine's batch size")
	outputFlag(c, &output)
	return c
}

func outputFlag(c *cobra.Command, output *string) {
	c.Flags().StringVarP(output, "output", "o", "table", "output format: table or json")
}

// tabular is a report that can be printed as tables.
type tabular interface{ table(w io.Writer) }

func writeReport(w io.Writer, output string, r tabular) error {
	switch output {
	case "json":
		e := json.NewEncoder(w)
		e.SetIndent("", "  ")
		return e.Encode(r)
	case "table":
		t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
		r.table(t)
		return t.Flush()
	}
	return fault.Invalid("--output", output, "table, json")
}

func (r PolicyReport) table(w io.Writer) {
	fmt.Fprintf(w, "SEED\t%d\nCONCURRENCY\t%d\nSESSIONS/BATCH\t%.1f\nBOUND\t%.1f requests/s\n", r.Seed, r.Settings.Concurrency, r.Settings.Sessions, r.Bound)
	writeLoadTable(w, fmt.Sprintf("\nLOAD %.1f OF BOUND", saturatingLoad), r.Saturation)
	writeLoadTable(w, fmt.Sprintf("\nLOAD %.1f OF BOUND", moderateLoad), r.Moderate)
	fmt.Fprintln(w, "\nRETURN IN 1 S\t95% OF BOUND\t95% OF OWN RATE\tFIRST P95\tBETWEEN P95\tWASTED\tJAIN\tLARGE\tSMALL\tHINTS\tP5\tP50\tP95\tPEAK")
	for _, x := range r.Return {
		fmt.Fprintf(w, "%s\t%v\t%v\t%v\t%v\t%.1f%%\t%.3f\t%.1f%%\t%.1f%%\t%d\t%v\t%v\t%v\t%.1f\n", x.Policy, formatRecovery(x.Recovery), formatRecovery(x.OwnRecovery),
			round(x.FirstToken), round(x.BetweenTokens), 100*x.WastedShare, x.Jain, 100*x.LargeShare, 100*x.SmallShare,
			x.Hints, round(x.HintLow), round(x.HintMedian), round(x.HintHigh), x.HintPeak)
	}
	fmt.Fprintf(w, "\nGOODPUT/BOUND BY %v\n", goodputWindow)
	for _, x := range r.Return {
		fmt.Fprint(w, x.Policy)
		for _, g := range x.Goodput[:min(len(x.Goodput), 24)] {
			fmt.Fprintf(w, "\t%.2f", g)
		}
		fmt.Fprintln(w)
	}
	fmt.Fprintln(w, "\nSHARED LIMIT\tOVERSHOOT\tUNDERSHOOT\tWORST SECOND")
	for _, x := range r.Quota {
		fmt.Fprintf(w, "entry lost: %v\t%.1f%%\t%.1f%%\t%.1f%%\n", x.EntryLost, 100*x.Overshoot, 100*x.Undershoot, 100*x.WorstUndershoot)
	}
	x := r.Retries
	fmt.Fprintln(w, "\nRETRIES IN OUTAGE\tCALLS\tRETRIES\tFAILED\tADDED\tBUDGET\tWORST SECOND")
	fmt.Fprintf(w, "\t%d\t%d\t%d\t%.1f%%\t%.0f%%\t%.1f%%\n", x.Calls, x.Retries, x.Failed, 100*x.Added, 100*RetryBound, 100*x.WorstSecond)
}

func writeLoadTable(w io.Writer, title string, results []LoadResult) {
	fmt.Fprintln(w, title+"\tTHROUGHPUT/BOUND\tFIRST P95 (950ms)\tBETWEEN P95 (45ms)\tREFUSED\tWASTED")
	for _, x := range results {
		fmt.Fprintf(w, "%s\t%.1f%%\t%v\t%v\t%.1f%%\t%.1f%%\n", x.Policy, 100*x.ThroughputShare, round(x.FirstToken),
			round(x.BetweenTokens), 100*x.RefusedShare, 100*x.WastedShare)
	}
}

// formatRecovery formats a recovery time; negative means not recovered.
func formatRecovery(d time.Duration) string {
	if d < 0 {
		return "never"
	}
	return d.String()
}

func round(d time.Duration) time.Duration { return d.Round(100 * time.Microsecond) }
