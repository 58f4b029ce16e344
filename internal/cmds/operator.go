// Package cmds holds the commands of the shallotcourse binary, one per file.
package cmds

import (
	"encoding/json"
	"io"
	"os"
	"strconv"
	"strings"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"shallotcourse/internal/fault"
	"shallotcourse/pkg/clnt"
	"shallotcourse/pkg/resrc"
)

const (
	// entriesVariable names the environment variable with the addresses at
	// which the entries serve operators, separated by commas.
	entriesVariable = "SHALLOTCOURSE_ENTRIES"
	// operatorKeyVariable names the environment variable with the operator key.
	operatorKeyVariable = "SHALLOTCOURSE_OPERATOR_KEY"
)

// operatorFlags are the flags that all operator commands share.
type operatorFlags struct {
	entries []string
	key     string
	output  string
}

// OperatorCommands returns the commands that run on an operator's machine.
func OperatorCommands() []*cobra.Command {
	return []*cobra.Command{
		getCommand(), applyCommand(), deleteCommand(), watchCommand(), drainCommand(), auditCommand(), statusCommand(),
		callCommand(),
	}
}

func (f *operatorFlags) register(c *cobra.Command) {
	flags := c.Flags()
	flags.StringSliceVar(&f.entries, "entry", nil, "address of an entry, may be repeated; default $"+entriesVariable)
	flags.StringVar(&f.key, "key", "", "operator key; default $"+operatorKeyVariable)
	flags.StringVarP(&f.output, "output", "o", "table", "output form: table or json")
}

// client returns a client from the flags and the environment.
func (f *operatorFlags) client() (*clnt.Client, error) {
	if f.output != "table" && f.output != "json" {
		return nil, fault.Invalid("--output", f.output, "table, json")
	}
	entries, key, err := resolveAccess(f.entries, f.key, entriesVariable, operatorKeyVariable)
	if err != nil {
		return nil, err
	}
	return clnt.New(entries, key), nil
}

// resolveAccess returns the entries' addresses and the key from the flags, or
// else from the named environment variables.
func resolveAccess(entries []string, key, entriesVariable, keyVariable string) ([]string, string, error) {
	if value := os.Getenv(entriesVariable); len(entries) == 0 && value != "" {
		entries = strings.Split(value, ",")
	}
	if key == "" {
		key = os.Getenv(keyVariable)
	}
	if len(entries) == 0 {
		return nil, "", fault.Invalid("--entry", "", "the address of an entry, or $"+entriesVariable)
	}
	if key == "" {
		return nil, "", fault.Invalid("--key", "", "a key, or $"+keyVariable)
	}
	return entries, key, nil
}

// show writes v as JSON, or a table whose rows the function table writes.
func (f *operatorFlags) show(w io.Writer, v any, header string, table func(row func(cells ...string))) error {
	if f.output == "json" {
		e := json.NewEncoder(w)
		e.SetIndent("", "  ")
		return wrapWriteError(e.Encode(v))
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	row := func(cells ...string) { _, _ = io.WriteString(t, strings.Join(cells, "\t")+"\n") }
	row(strings.Fields(header)...)
	table(row)
	return wrapWriteError(t.Flush())
}

func wrapWriteError(err error) error {
	if err == nil {
		return nil
	}
	return fault.New(fault.Internal, "cannot write the output").WithCause(err)
}

// parseKind accepts a kind in any letter case, singular or plural.
func parseKind(name string) (resrc.Kind, error) {
	for _, kind := range resrc.Kinds {
		if strings.EqualFold(name, string(kind)) || strings.EqualFold(name, string(kind)+"s") {
			return kind, nil
		}
	}
	return "", fault.Invalid("KIND", name, "Model, ModelVersion, Adapter, Target, ClientAccount, Service")
}

// completeKinds completes the first argument with the kinds.
func completeKinds(_ *cobra.Command, args []string, _ string) ([]string, cobra.ShellCompDirective) {
	var names []string
	if len(args) == 0 {
		for _, kind := range resrc.Kinds {
			names = append(names, string(kind))
		}
	}
	return names, cobra.ShellCompDirectiveNoFileComp
}

func formatUint(n uint64) string { return strconv.FormatUint(n, 10) }
