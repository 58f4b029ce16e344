// Command lab runs developers' tools: a policy emulator, a load generator, and
// measurements of capacity slopes and of the cost of the router.
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
