package cmds

import (
	"encoding/json"

	"github.com/spf13/cobra"

	"shallotcourse/pkg/resrc"
)

const resourceHeader = "KIND NAME REVISION SPEC"

func getCommand() *cobra.Command {
	var f operatorFlags
	c := &cobra.Command{
		Use:               "get KIND [NAME]",
		Short:             "Show the resources of a kind, or one resource",
		Args:              cobra.RangeArgs(1, 2),
		ValidArgsFunction: completeKinds,
		RunE: func(cmd *cobra.Command, args []string) error {
			client, err := f.client()
			if err != nil {
				return err
			}
			kind, err := parseKind(args[0])
			if err != nil {
				return err
			}
			if len(args) == 2 {
				r, err := client.Get(cmd.Context(), kind, args[1])
				if err != nil {
					return err
				}
				return f.show(cmd.OutOrStdout(), r, resourceHeader, resourceRows(r))
			}
			list, err := client.List(cmd.Context(), kind)
			if err != nil {
				return err
			}
			return f.show(cmd.OutOrStdout(), list, resourceHeader, resourceRows(list...))
		},
	}
	f.register(c)
	return c
}

func resourceRows(list ...resrc.Resource) func(row func(cells ...string)) {
	return func(row func(cells ...string)) {
		for _, r := range list {
			// A spec that was decoded from JSON also encodes.
			spec, _ := json.Marshal(r.Spec)
			row(string(r.Kind), r.Name, formatUint(r.Revision), string(spec))
		}
	}
}
