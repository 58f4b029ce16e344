package cmds

import (
	"context"

	"github.com/spf13/cobra"

	"shallotcourse/internal/fault"
	"shallotcourse/pkg/clnt"
	"shallotcourse/pkg/resrc"
)

func drainCommand() *cobra.Command {
	var (
		f    operatorFlags
		undo bool
	)
	c := &cobra.Command{
		Use:   "drain TARGET...",
		Short: "Let targets finish their work and take no new work",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			client, err := f.client()
			if err != nil {
				return err
			}
			list := []resrc.Resource{}
			for _, name := range args {
				r, err := setDraining(cmd.Context(), client, name, !undo)
				if err != nil {
					return err
				}
				list = append(list, r)
			}
			return f.show(cmd.OutOrStdout(), list, resourceHeader, resourceRows(list...))
		},
	}
	f.register(c)
	c.Flags().BoolVar(&undo, "undo", false, "let the targets take new work again")
	return c
}

// setDraining sets the Draining field of a target. It changes no other field,
// so after a conflict with another operator it retries on the current resource.
func setDraining(ctx context.Context, client *clnt.Client, name string, draining bool) (resrc.Resource, error) {
	for attempt := 1; ; attempt++ {
		r, err := client.Get(ctx, resrc.KindTarget, name)
		if err != nil {
			return r, err
		}
		target, ok := r.Spec.(resrc.Target)
		if !ok {
			return r, fault.Newf(fault.Malformed, "the entry returned a %s instead of a Target", r.Kind)
		}
		if target.Draining == draining {
			return r, nil
		}
		target.Draining = draining
		change, err := client.Put(ctx, r.WithSpec(target), "")
		if err == nil {
			return r.WithSpec(target).WithRevision(change.Revision), nil
		}
		if !fault.Is(err, fault.Conflict) || attempt == maxOverwrites {
			return r, err
		}
	}
}
