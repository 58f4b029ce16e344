package cmds

import (
	"encoding/json"
	"io"
	"strings"

	"github.com/spf13/cobra"

	"shallotcourse/pkg/clnt"
)

func callModelCommand() *cobra.Command {
	var (
		f    callerFlags
		q    clnt.Completion
		seed int64
	)
	c := &cobra.Command{
		Use:   "model MODEL PROMPT",
		Short: "Stream the answer of a model",
		Args:  cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			caller, err := f.caller()
			if err != nil {
				return err
			}
			q.Model, q.Prompt = args[0], args[1]
			if cmd.Flags().Changed("seed") {
				q.Seed = &seed
			}
			w := cmd.OutOrStdout()
			if f.output == "json" {
				var text strings.Builder
				err := caller.Complete(cmd.Context(), q, func(s string) error {
					_, err := text.WriteString(s)
					return err
				})
				if err != nil {
					return err
				}
				return wrapWriteError(json.NewEncoder(w).Encode(struct{ Text string }{text.String()}))
			}
			err = caller.Complete(cmd.Context(), q, func(s string) error {
				_, err := io.WriteString(w, s)
				return err
			})
			if _, e := io.WriteString(w, "\n"); err == nil {
				return wrapWriteError(e)
			}
			return err
		},
	}
	f.register(c)
	c.Flags().IntVar(&q.MaxTokens, "max-tokens", 0, "maximum number of tokens in the answer; default is the entry's limit")
	c.Flags().Int64Var(&seed, "seed", 0, "random seed, for a reproducible answer; default is random")
	return c
}
