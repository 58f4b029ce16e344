package relay

import (
	"encoding/json"
	"net"
	"net/http"
	"os/signal"
	"strconv"
	"syscall"
	"time"

	"github.com/gorilla/mux"
	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"shallotcourse/internal/fault"
)

// Command returns the subcommand that relays connections to one target.
func Command() *cobra.Command {
	var listen, target, switches string
	c := &cobra.Command{
		Use:   "relay",
		Short: "Relay TCP connections and inject network faults",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			r, err := Start(listen, target)
			if err != nil {
				return err
			}
			defer r.Close()
			l, err := net.Listen("tcp", switches)
			if err != nil {
				return eris.Wrap(err, "cannot listen for the fault control server")
			}
			ctx, stop := signal.NotifyContext(c.Context(), syscall.SIGTERM, syscall.SIGINT)
			defer stop()
			server := &http.Server{Handler: r.Switches(), ReadHeaderTimeout: 10 * time.Second}
			go func() { _ = server.Serve(l) }()
			<-ctx.Done()
			return server.Close()
		},
	}
	c.Flags().StringVar(&listen, "listen", "127.0.0.1:0", "address to accept connections on")
	c.Flags().StringVar(&target, "target", "", "address to relay to")
	c.Flags().StringVar(&switches, "switches", "127.0.0.1:0", "address of the HTTP server that controls the faults")
	_ = c.MarkFlagRequired("target")
	return c
}

// Switches returns the HTTP handler that controls the faults: POST /silence,
// /cut, /mute?On=true, /refuse?On=true, /delay?By=5ms and
// /rate?BytesPerSecond=1000000, and GET /stats.
func (r *Relay) Switches() http.Handler {
	m := mux.NewRouter()
	post := func(path string, f func(*http.Request) error) {
		m.HandleFunc(path, func(w http.ResponseWriter, q *http.Request) {
			if err := f(q); err != nil {
				http.Error(w, err.Error(), fault.As(err).Status())
			}
		}).Methods(http.MethodPost)
	}
	post("/silence", func(*http.Request) error { r.Silence(); return nil })
	post("/cut", func(*http.Request) error { r.Cut(); return nil })
	post("/mute", func(q *http.Request) error { return setFromQuery(q, r.SilenceNew) })
	post("/refuse", func(q *http.Request) error { return setFromQuery(q, r.RefuseNew) })
	post("/delay", func(q *http.Request) error {
		d, err := time.ParseDuration(q.FormValue("By"))
		if err != nil {
			return fault.Invalid("By", q.FormValue("By"), "a duration")
		}
		r.SetDelay(d)
		return nil
	})
	post("/rate", func(q *http.Request) error {
		n, err := strconv.Atoi(q.FormValue("BytesPerSecond"))
		if err != nil || n < 0 {
			return fault.Invalid("BytesPerSecond", q.FormValue("BytesPerSecond"), "0 (unlimited) or more")
		}
		r.SetRateLimit(n)
		return nil
	})
	m.HandleFunc("/stats", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(r.Stats())
	}).Methods(http.MethodGet)
	return m
}

// setFromQuery passes the query parameter On to set.
func setFromQuery(q *http.Request, set func(bool)) error {
	on, err := strconv.ParseBool(q.FormValue("On"))
	if err != nil {
		return fault.Invalid("On", q.FormValue("On"), "true or false")
	}
	set(on)
	return nil
}
