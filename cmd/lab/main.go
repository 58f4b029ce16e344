// Command lab holds developers' tools: policy emulator, load generator and
// measurement of capacity slopes.
package main

import (
	"os"

	"github.com/spf13/cobra"

	"shallotcourse/internal/lab"
)

func main() {
	root := &cobra.Command{
		Use:          "lab",
		Short:        "Emulate policies, generate load and measure capacity",
		SilenceUsage: true,
	}
	root.AddCommand(lab.PolicyCommand(), lab.LoadCommand(), lab.SlopesCommand(), lab.CostCommand())
	if err := root.Execute(); err != nil {
		os.Exit(1)
	}
}
