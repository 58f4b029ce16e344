// Command shallotcourse runs the router's daemons and the operators' client.
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
