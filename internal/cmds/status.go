package cmds

import (
	"cmp"
	"context"
	"io"
	"slices"

	"github.com/spf13/cobra"

	"shallotcourse/internal/fault"
	"shallotcourse/pkg/clnt"
)

// overview is the state of all entries and of the instances linked to them.
type overview struct {
	// Revision is the highest revision in force in any instance.
	Revision  uint64
	Entries   []entryState
	Instances []clnt.InstanceStatus
}

type entryState struct {
	Address        string
	Ready          bool
	TableReachable bool
	Failure        string `json:",omitempty"`
}

func statusCommand() *cobra.Command {
	var f operatorFlags
	c := &cobra.Command{
		Use:   "status",
		Short: "Show the revision in force in each instance",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			client, err := f.client()
			if err != nil {
				return err
			}
			o, err := collectStatus(cmd.Context(), client)
			if err != nil {
				return err
			}
			if f.output == "table" {
				if err := f.show(cmd.OutOrStdout(), nil, "ENTRY READY TABLE FAILURE", o.entryRows); err != nil {
					return err
				}
				_, _ = io.WriteString(cmd.OutOrStdout(), "\n")
			}
			return f.show(cmd.OutOrStdout(), o, "INSTANCE ROLE DATACENTRE TARGET REVISION STATE", o.instanceRows)
		},
	}
	f.register(c)
	return c
}

// collectStatus queries every entry and fails if none answers.
func collectStatus(ctx context.Context, client *clnt.Client) (overview, error) {
	var (
		o       overview
		failure error
		found   = map[string]clnt.InstanceStatus{}
	)
	answers := 0
	for _, entry := range client.Entries() {
		s, err := client.Status(ctx, entry)
		if err != nil {
			failure = err
			o.Entries = append(o.Entries, entryState{Address: entry, Failure: fault.As(err).Detail})
			continue
		}
		answers++
		o.Entries = append(o.Entries, entryState{Address: entry, Ready: s.Ready, TableReachable: s.Table.Reachable})
		for _, i := range s.Instances {
			// Several entries may report an instance. Its revision never
			// decreases, so the highest one is the latest.
			if known, ok := found[i.Instance]; !ok || i.Revision > known.Revision {
				found[i.Instance] = i
			}
			o.Revision = max(o.Revision, i.Revision)
		}
	}
	if answers == 0 {
		return o, failure
	}
	for _, i := range found {
		o.Instances = append(o.Instances, i)
	}
	slices.SortFunc(o.Instances, func(a, b clnt.InstanceStatus) int { return cmp.Compare(a.Instance, b.Instance) })
	return o, nil
}

// currentRevision returns the revision in force at the first entry that
// answers.
func currentRevision(ctx context.Context, client *clnt.Client) (uint64, error) {
	var failure error
	for _, entry := range client.Entries() {
		s, err := client.Status(ctx, entry)
		if err == nil {
			return s.Revision, nil
		}
		failure = err
	}
	return 0, failure
}

func (o overview) entryRows(row func(cells ...string)) {
	for _, e := range o.Entries {
		row(e.Address, yesNo(e.Ready), yesNo(e.TableReachable), cmp.Or(e.Failure, "-"))
	}
}

func (o overview) instanceRows(row func(cells ...string)) {
	for _, i := range o.Instances {
		state := "in force"
		if i.Revision < o.Revision {
			state = "behind"
		}
		row(i.Instance, string(i.Role), cmp.Or(i.DataCentre, "-"), cmp.Or(i.Target, "-"), formatUint(i.Revision), state)
	}
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}
