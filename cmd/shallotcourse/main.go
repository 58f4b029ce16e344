// Command shallotcourse runs the daemons of the router (entry, agent, gateway)
// and the command-line client of its operators and callers.
package main

import (
	"os"

	"shallotcourse/internal/cmds"
)

func main() {
	root := cmds.NewRoot()
	if err := root.Execute(); err != nil {
		cmds.Report(root.ErrOrStderr(), err)
		os.Exit(1)
	}
}
