// Command standin simulates the systems that shallotcourse depends on, for tests
// and local runs: the platform, an engine, a plain service and a network relay.
// It also computes reference answers of the simulated engine.
package main

import (
	"os"

	"github.com/spf13/cobra"

	"shallotcourse/internal/fakes/fengn"
	"shallotcourse/internal/fakes/fplat"
	"shallotcourse/internal/fakes/fserv"
	"shallotcourse/internal/fakes/relay"
)

func main() {
	root := &cobra.Command{
		Use:          "standin",
		Short:        "Serve stand-ins for the systems around shallotcourse",
		SilenceUsage: true,
	}
	root.AddCommand(fplat.Command(), fengn.Command(), fserv.Command(), relay.Command(), fengn.ReferenceCommand())
	if err := root.Execute(); err != nil {
		os.Exit(1)
	}
}
