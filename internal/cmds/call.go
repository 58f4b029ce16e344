package cmds

import (
	"github.com/spf13/cobra"

	"shallotcourse/internal/fault"
	"shallotcourse/pkg/clnt"
)

const (
	// callerEntriesVariable names the environment variable with the addresses
	// at which the entries serve callers, separated by commas.
	callerEntriesVariable = "SHALLOTCOURSE_CALLER_ENTRIES"
	// callerKeyVariable names the environment variable with the API key.
	callerKeyVariable = "SHALLOTCOURSE_API_KEY"
)

// callerFlags are the flags that all caller commands share.
type callerFlags struct {
	entries []string
	key     string
	output  string
}

// callCommand groups the commands that send requests as a caller.
func callCommand() *cobra.Command {
	c := &cobra.Command{Use: "call", Short: "Send a request to a model or to a plain service"}
	c.AddCommand(callModelCommand(), callServiceCommand())
	return c
}

func (f *callerFlags) register(c *cobra.Command) {
	flags := c.Flags()
	flags.StringSliceVar(&f.entries, "entry", nil, "caller address of an entry, may be repeated; default $"+callerEntriesVariable)
	flags.StringVar(&f.key, "key", "", "API key of a client account; default $"+callerKeyVariable)
	flags.StringVarP(&f.output, "output", "o", "text", "output form: text or json")
}

func (f *callerFlags) caller() (*clnt.Caller, error) {
	if f.output != "text" && f.output != "json" {
		return nil, fault.Invalid("--output", f.output, "text, json")
	}
	entries, key, err := resolveAccess(f.entries, f.key, callerEntriesVariable, callerKeyVariable)
	if err != nil {
		return nil, err
	}
	return clnt.NewCaller(entries, key), nil
}
