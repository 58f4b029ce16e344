package lab

import (
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"

	"shallotcourse/internal/timer"
)

// SlopesCommand returns the subcommand that measures how memory, CPU time and
// network traffic grow with the number of objects.
func SlopesCommand() *cobra.Command {
	var (
		window time.Duration
		output string
	)
	c := &cobra.Command{
		Use:   "slopes",
		Short: "Measure memory, CPU time and network traffic by number of objects",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			r, err := Slopes(cmd.Context(), timer.System{}, window)
			if err != nil {
				return err
			}
			return writeReport(cmd.OutOrStdout(), output, r)
		},
	}
	c.Flags().DurationVar(&window, "window", 2*time.Second, "duration of the measurement of each point")
	outputFlag(c, &output)
	return c
}

func (r SlopesReport) table(w io.Writer) {
	fmt.Fprintf(w, "WINDOW\t%v\n", r.Window)
	fmt.Fprintln(w, "\nPER OBJECT\tHEAP B\tINTERCEPT\tR2\tCPU µs/s\tINTERCEPT\tR2\tWIRE B/s\tINTERCEPT\tR2")
	for _, s := range r.Slopes {
		fmt.Fprintf(w, "%s\t%.0f\t%.0f\t%.4f\t%.2f\t%.0f\t%.4f\t%.1f\t%.1f\t%.4f\n", s.Name,
			s.Heap.Slope, s.Heap.Intercept, s.Heap.R2, 1e6*s.CPU.Slope, 1e6*s.CPU.Intercept, s.CPU.R2,
			s.Wire.Slope, s.Wire.Intercept, s.Wire.R2)
	}
	fmt.Fprintln(w, "\nPOINT\tSIZE\tHEAP B\tCPU µs/s\tWIRE B/s")
	for _, s := range r.Slopes {
		for _, p := range s.Points {
			fmt.Fprintf(w, "%s\t%d\t%.0f\t%.0f\t%.0f\n", s.Per, p.Size, p.HeapBytes, 1e6*p.CPU, p.WireBytes)
		}
	}
}
