package cmds

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"os"
	"reflect"
	"slices"

	"github.com/spf13/cobra"

	"shallotcourse/internal/fault"
	"shallotcourse/pkg/clnt"
	"shallotcourse/pkg/resrc"
)

const (
	// maxOverwrites is the number of attempts of --overwrite while other
	// operators write the same resource.
	maxOverwrites = 8
	// maxFileBytes bounds the size of a resource file.
	maxFileBytes = 64 << 20
)

// applyResult is the outcome of applying one resource.
type applyResult struct {
	Kind   resrc.Kind
	Name   string
	Result string
	// Revision is the revision of the resource after the command.
	Revision uint64
}

func applyCommand() *cobra.Command {
	var (
		f         operatorFlags
		file      string
		overwrite bool
	)
	c := &cobra.Command{
		Use:   "apply -f FILE",
		Short: "Create or replace resources from a JSON stream or array",
		Long: "Create or replace resources from a JSON stream or array. A resource that carries a Revision is\n" +
			"written only at that revision; otherwise its current revision is read first, and a change by\n" +
			"another operator in between is reported as a conflict.",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			client, err := f.client()
			if err != nil {
				return err
			}
			resources, err := readResources(cmd.InOrStdin(), file)
			if err != nil {
				return err
			}
			results, failure := applyAll(cmd.Context(), client, resources, overwrite)
			if err := f.show(cmd.OutOrStdout(), results, "KIND NAME RESULT REVISION", func(row func(...string)) {
				for _, r := range results {
					row(string(r.Kind), r.Name, r.Result, formatUint(r.Revision))
				}
			}); err != nil {
				return err
			}
			return failure
		},
	}
	f.register(c)
	c.Flags().StringVarP(&file, "file", "f", "", "resource file; - is the standard input")
	c.Flags().BoolVar(&overwrite, "overwrite", false, "replace resources that others change at the same time")
	_ = c.MarkFlagRequired("file")
	return c
}

// readResources decodes a JSON stream whose values are resources or arrays of
// resources, and checks each before any is written.
func readResources(stdin io.Reader, file string) ([]resrc.Resource, error) {
	input := stdin
	if file != "-" {
		opened, err := os.Open(file)
		if err != nil {
			return nil, fault.Newf(fault.BadInput, "cannot open %s", file).WithCause(err)
		}
		defer opened.Close()
		input = opened
	}
	var resources []resrc.Resource
	for d := json.NewDecoder(io.LimitReader(input, maxFileBytes)); ; {
		var raw json.RawMessage
		if err := d.Decode(&raw); errors.Is(err, io.EOF) {
			break
		} else if err != nil {
			return nil, fault.Newf(fault.BadInput, "%s is not a JSON stream: %v", file, err).WithCause(err)
		}
		list, err := decodeResources(raw)
		if err != nil {
			return nil, withResourceIndex(err, len(resources)+1)
		}
		resources = append(resources, list...)
	}
	for i, r := range resources {
		if err := r.Check(); err != nil {
			return nil, withResourceIndex(err, i+1)
		}
	}
	return resources, nil
}

func decodeResources(raw json.RawMessage) ([]resrc.Resource, error) {
	if bytes.HasPrefix(raw, []byte("[")) {
		var list []resrc.Resource
		return list, json.Unmarshal(raw, &list)
	}
	var r resrc.Resource
	err := json.Unmarshal(raw, &r)
	return []resrc.Resource{r}, err
}

// withResourceIndex adds to an error the position of the resource, or of the
// first resource of an array.
func withResourceIndex(err error, index int) error {
	e := fault.As(err)
	detail := e.Detail
	if e.Code == fault.Internal {
		detail = err.Error()
	}
	out := fault.Newf(fault.BadInput, "resource %d of the file: %s", index, detail).WithCause(e.Cause)
	out.Field = e.Field
	return out
}

// applyAll writes the resources in an order in which all references are valid
// at each step. It stops at the first failure.
func applyAll(ctx context.Context, client *clnt.Client, resources []resrc.Resource, overwrite bool) ([]applyResult, error) {
	type planned struct {
		resource resrc.Resource
		current  resrc.Resource
	}
	var plan []planned
	for _, r := range resources {
		current, err := client.Get(ctx, r.Kind, r.Name)
		if err != nil && !fault.Is(err, fault.NotFound) {
			return nil, err
		}
		plan = append(plan, planned{r, current})
	}
	slices.SortStableFunc(plan, func(a, b planned) int {
		return applyRank(a.resource.Kind, a.current.Revision > 0) - applyRank(b.resource.Kind, b.current.Revision > 0)
	})
	results := []applyResult{}
	for _, p := range plan {
		result, err := applyOne(ctx, client, p.resource, p.current, overwrite)
		if err != nil {
			return results, err
		}
		results = append(results, result)
	}
	return results, nil
}

// applyRank returns the position of a resource in the order of writes. A new
// model precedes its versions, which refer to it; an existing model follows
// them, because it refers to one of them.
func applyRank(kind resrc.Kind, exists bool) int {
	rank := 2 * slices.Index(resrc.Kinds, kind)
	if kind == resrc.KindModel && exists {
		rank = 2*slices.Index(resrc.Kinds, resrc.KindModelVersion) + 1
	}
	return rank
}

func applyOne(ctx context.Context, client *clnt.Client, r, current resrc.Resource, overwrite bool) (applyResult, error) {
	out := applyResult{Kind: r.Kind, Name: r.Name, Result: "unchanged", Revision: current.Revision}
	pinned := r.Revision > 0
	if !pinned {
		r = r.WithRevision(current.Revision)
	}
	if current.Revision == r.Revision && reflect.DeepEqual(current.Spec, r.Spec) {
		return out, nil
	}
	for attempt := 1; ; attempt++ {
		change, err := client.Put(ctx, r, "")
		if err == nil {
			out.Revision, out.Result = change.Revision, "replaced"
			if change.FromRevision == 0 {
				out.Result = "created"
			}
			return out, nil
		}
		e := fault.As(err)
		if e.Code != fault.Conflict || pinned || !overwrite || attempt == maxOverwrites {
			return out, err
		}
		r = r.WithRevision(e.Revision)
	}
}
