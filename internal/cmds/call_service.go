package cmds

import (
	"encoding/json"
	"io"

	"github.com/spf13/cobra"

	"shallotcourse/internal/fault"
	"shallotcourse/pkg/clnt"
)

func callServiceCommand() *cobra.Command {
	var (
		f    callerFlags
		q    clnt.ServiceCall
		body string
	)
	c := &cobra.Command{
		Use:   "service SERVICE PATH",
		Short: "Call a plain service",
		Args:  cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			caller, err := f.caller()
			if err != nil {
				return err
			}
			q.Service, q.Path, q.Body = args[0], args[1], []byte(body)
			answer, err := caller.Call(cmd.Context(), q)
			if err != nil {
				return err
			}
			w := cmd.OutOrStdout()
			if f.output == "json" {
				err = json.NewEncoder(w).Encode(struct {
					Status int
					Body   string
				}{answer.Status, string(answer.Body)})
			} else {
				_, err = io.WriteString(w, string(answer.Body)+"\n")
			}
			if err != nil {
				return wrapWriteError(err)
			}
			if answer.Status/100 != 2 {
				return fault.Newf(fault.BadInput, "the service answered with status %d", answer.Status).WithOutcome(fault.Unknown)
			}
			return nil
		},
	}
	f.register(c)
	c.Flags().StringVarP(&q.Method, "method", "X", "GET", "HTTP method")
	c.Flags().StringVarP(&body, "data", "d", "", "body of the call")
	c.Flags().StringVar(&q.IdempotencyKey, "idempotency-key", "", "key under which a call without an answer is retried")
	return c
}
