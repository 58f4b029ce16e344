package cmds

import (
	"errors"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"shallotcourse/internal/conf"
)

// NewRoot returns the root command; cobra adds the shell completion.
func NewRoot() *cobra.Command {
	root := &cobra.Command{
		Use:           "shallotcourse",
		Short:         "Route requests through pipelines of language-model engines",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(entryCommand(), agentCommand(), gatewayCommand(), configCommand())
	root.AddCommand(OperatorCommands()...)
	return root
}

// Report writes a failure of a command, one line for each problem.
func Report(w io.Writer, err error) {
	var problems conf.Problems
	if errors.As(err, &problems) {
		for _, p := range problems {
			_, _ = fmt.Fprintln(w, "shallotcourse:", p.Detail)
		}
		return
	}
	_, _ = fmt.Fprintln(w, "shallotcourse:", err)
}
