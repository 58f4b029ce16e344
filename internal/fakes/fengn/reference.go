package fengn

import (
	"io"

	"github.com/spf13/cobra"

	"shallotcourse/internal/token"
)

// ReferenceCommand returns the subcommand that prints the correct answer to a
// prompt, computed without engines or the router.
func ReferenceCommand() *cobra.Command {
	var (
		version, adapter, prompt string
		layers, maxTokens        int
		seed                     uint64
	)
	c := &cobra.Command{
		Use:   "reference",
		Short: "Print the correct answer to a prompt, computed without the router",
		Args:  cobra.NoArgs,
		Run: func(cmd *cobra.Command, _ []string) {
			values := Reference(version, adapter, layers, token.Encode(prompt), maxTokens, seed)
			_, _ = io.WriteString(cmd.OutOrStdout(), token.Decode(values)+"\n")
		},
	}
	f := c.Flags()
	f.StringVar(&version, "version", "", "name of the model version")
	f.StringVar(&adapter, "adapter", "", "name of the adapter")
	f.StringVar(&prompt, "prompt", "", "prompt")
	f.IntVar(&layers, "layers", 1, "number of layers of the model version")
	f.IntVar(&maxTokens, "max-tokens", 256, "maximum number of tokens in the answer")
	f.Uint64Var(&seed, "seed", 0, "seed of the request")
	return c
}
