package cmds

import (
	"encoding/json"
	"io"

	"github.com/spf13/cobra"

	"shallotcourse/pkg/clnt"
	"shallotcourse/pkg/resrc"
)

// countReachedError ends a watch after the requested number of changes.
type countReachedError struct{}

var errCountReached error = countReachedError{}

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
					return errCountReached
				}
				return nil
			})
			if err == errCountReached {
				return nil
			}
			return err
		},
	}
	f.register(c)
	c.Flags().Uint64Var(&since, "since", 0, "start after this revision; default is the current revision")
	c.Flags().IntVar(&count, "count", 0, "stop after this number of changes; 0 means no limit")
	return c
}

func (countReachedError) Error() string { return "the requested number of changes has been shown" }

// showChange writes one change as a line. Columns are not aligned, because
// later changes are not known yet.
func (f *operatorFlags) showChange(w io.Writer, change resrc.Change) error {
	if f.output == "json" {
		return wrapWriteError(json.NewEncoder(w).Encode(change))
	}
	_, err := io.WriteString(w, changeLine(change)+"\n")
	return wrapWriteError(err)
}
