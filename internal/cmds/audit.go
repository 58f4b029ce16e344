package cmds

import (
	"strings"
	"time"

	"github.com/spf13/cobra"

	"shallotcourse/pkg/resrc"
)

const changeHeader = "REVISION TIME ACTOR OPERATION KIND NAME FROM CHANGE"

func auditCommand() *cobra.Command {
	var (
		f      operatorFlags
		after  uint64
		limit  int
		change string
	)
	c := &cobra.Command{
		Use:   "audit",
		Short: "Show accepted changes: who, when, what",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			client, err := f.client()
			if err != nil {
				return err
			}
			var changes []resrc.Change
			switch {
			case change != "":
				changes, err = client.AuditChange(cmd.Context(), change)
			case cmd.Flags().Changed("after"):
				changes, err = client.Audit(cmd.Context(), after, limit)
			default:
				changes, err = client.AuditLast(cmd.Context(), limit)
			}
			if err != nil {
				return err
			}
			return f.show(cmd.OutOrStdout(), changes, changeHeader, changeRows(changes))
		},
	}
	f.register(c)
	c.Flags().Uint64Var(&after, "after", 0, "show the changes after this revision; default is the most recent ones")
	c.Flags().IntVar(&limit, "limit", 50, "number of changes, 1 to 1000")
	c.Flags().StringVar(&change, "change", "", "show only the change with this identifier")
	return c
}

func changeRows(changes []resrc.Change) func(row func(cells ...string)) {
	return func(row func(cells ...string)) {
		for _, c := range changes {
			row(changeCells(c)...)
		}
	}
}

func changeCells(c resrc.Change) []string {
	return []string{
		formatUint(c.Revision), c.Time.UTC().Format(time.RFC3339), c.Actor, string(c.Operation), string(c.Kind), c.Name,
		formatUint(c.FromRevision), c.ID,
	}
}

func changeLine(c resrc.Change) string { return strings.Join(changeCells(c), "  ") }
