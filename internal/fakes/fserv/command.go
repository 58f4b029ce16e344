package fserv

import (
	"github.com/spf13/cobra"

	"shallotcourse/internal/fakes/fengn"
	"shallotcourse/internal/timer"
)

// Command returns the subcommand that serves a fake service.
func Command() *cobra.Command {
	var listen string
	c := &cobra.Command{
		Use:   "service",
		Short: "Serve a fake service without a model",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return fengn.Serve(cmd.Context(), listen, New(timer.System{}).Handler())
		},
	}
	c.Flags().StringVar(&listen, "listen", "127.0.0.1:0", "address to listen on")
	return c
}
