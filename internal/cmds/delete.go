package cmds

import (
	"github.com/spf13/cobra"

	"shallotcourse/pkg/resrc"
)

func deleteCommand() *cobra.Command {
	var (
		f        operatorFlags
		revision uint64
	)
	c := &cobra.Command{
		Use:               "delete KIND NAME",
		Short:             "Delete a resource that no other resource refers to",
		Args:              cobra.ExactArgs(2),
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
			expected := revision
			if expected == 0 {
				current, err := client.Get(cmd.Context(), kind, args[1])
				if err != nil {
					return err
				}
				expected = current.Revision
			}
			change, err := client.Delete(cmd.Context(), kind, args[1], expected, "")
			if err != nil {
				return err
			}
			return f.show(cmd.OutOrStdout(), change, changeHeader, changeRows([]resrc.Change{change}))
		},
	}
	f.register(c)
	c.Flags().Uint64Var(&revision, "revision", 0, "delete only at this revision; default is the current revision")
	return c
}
