// Command standin serves stand-ins for the systems around shallotcourse, for
// tests and local runs.
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
