package cmds

import (
	"encoding/json"
	"io"

	"github.com/spf13/cobra"

	"shallotcourse/pkg/clnt"
	"shallotcourse/pkg/resrc"
)

// shownError ends a watch that has shown what was asked for.
type shownError struct{}

var errShown error = shownError{}

func watchCommand() *cobra.Command {
	var (
		f     operatorFlags
		since uint64
		count int
	)
	c := &cobra.Command{
		Use:   "watch",
		Short: "Show changes as they come into force",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			client, err := f.client()
			if err != nil {
				return err
			}
			ctx := cmd.Context()
			if !cmd.Flags().Changed("since") {
				if since, err = currentRevision(ctx, client); err != nil {
					return err
				}
			}
			w, shown := cmd.OutOrStdout(), 0
			err = client.Watch(ctx, since, func(e clnt.Event) error {
				if e.Change == nil {
					return nil
				}
				shown++
				if err := f.showChange(w, *e.Change); err != nil {
					return err
				}
				if shown == count {
					return errShown
				}
				return nil
			})
			if err == errShown {
				return nil
			}
			return err
		},
	}
	f.register(c)
	c.Flags().Uint64Var(&since, "since", 0, "start after this revision; default is the one in force")
	c.Flags().IntVar(&count, "count", 0, "end after this number of changes; 0 is no end")
	return c
}

func (shownError) Error() string { return "all changes were shown" }

// showChange writes one change as a line, since a watch has no end at which
// columns could be aligned.
func (f *operatorFlags) showChange(w io.Writer, change resrc.Change) error {
	if f.output == "json" {
		return writeFailure(json.NewEncoder(w).Encode(change))
	}
	_, err := io.WriteString(w, changeLine(change)+"\n")
	return writeFailure(err)
}
