package fengn

import (
	"context"
	"net/http"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"shallotcourse/internal/fault"
)

// defaultCosts are the iteration times by accelerator kind, as base,per-token.
// The flag --cost overrides them. They span a factor of eight in speed, as
// fleets of mixed accelerators do.
var defaultCosts = map[string]string{
	"fast":   "2ms,20us",
	"medium": "4ms,60us",
	"slow":   "8ms,160us",
}

// Command returns the subcommand that serves a fake engine.
func Command() *cobra.Command {
	var (
		cfg         Config
		listen      string
		accelerator string
		costs       map[string]string
	)
	c := &cobra.Command{
		Use:   "engine",
		Short: "Serve a fake model engine",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			cost, err := parseCost(accelerator, costs)
			if err != nil {
				return err
			}
			cfg.Cost = cost
			return Serve(cmd.Context(), listen, New(cfg).Handler())
		},
	}
	f := c.Flags()
	f.StringVar(&listen, "listen", "127.0.0.1:0", "address to listen on")
	f.StringVar(&accelerator, "accelerator", "fast", "accelerator kind, which sets the iteration time")
	f.StringToStringVar(&costs, "cost", nil, "iteration time of an accelerator kind: kind=base/per-token, for example fast=2ms/20us")
	f.IntVar(&cfg.BatchTokens, "batch-tokens", 2048, "maximum number of positions in one iteration")
	f.IntVar(&cfg.CacheBlocks, "cache-blocks", 4096, "capacity of the prefix cache in blocks")
	f.IntVar(&cfg.BlockTokens, "block-tokens", 16, "tokens in a cache block")
	f.DurationVar(&cfg.EventLag, "event-lag", 0, "delay of cache events")
	f.IntVar(&cfg.EventGap, "event-gap", 0, "drop every n-th cache event (0: none)")
	f.DurationVar(&cfg.LoadLag, "load-lag", 0, "age of load reports")
	f.DurationVar(&cfg.LoadTime, "load-time", 200*time.Millisecond, "fixed duration of a load order")
	f.Int64Var(&cfg.LoadBytesPerSecond, "load-rate", 0, "rate at which weights are read, in bytes per second (0: unlimited)")
	f.DurationVar(&cfg.SessionIdle, "session-idle", time.Minute, "time after which an idle session is closed")
	f.BoolVar(&cfg.IgnoreFence, "ignore-fence", false, "accept orders with an outdated fencing token")
	f.BoolVar(&cfg.Endless, "endless", false, "never end an answer before its token limit")
	return c
}

func parseCost(kind string, costs map[string]string) (Cost, error) {
	text, ok := costs[kind]
	if !ok {
		text, ok = defaultCosts[kind]
	}
	base, per, cut := strings.Cut(strings.ReplaceAll(text, "/", ","), ",")
	b, err1 := time.ParseDuration(base)
	p, err2 := time.ParseDuration(per)
	if !ok || !cut || err1 != nil || err2 != nil {
		return Cost{}, fault.Invalid("cost", kind+"="+text, "kind=base/per-token")
	}
	return Cost{Base: b, PerToken: p}, nil
}

// Serve serves h on an address until the context is canceled or the process
// receives SIGTERM or SIGINT.
func Serve(ctx context.Context, listen string, h http.Handler) error {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	s := &http.Server{Addr: listen, Handler: h, ReadHeaderTimeout: 5 * time.Second}
	go func() {
		<-ctx.Done()
		_ = s.Close()
	}()
	if err := s.ListenAndServe(); err != http.ErrServerClosed {
		return fault.New(fault.Unavailable, "cannot serve HTTP").WithCause(err)
	}
	return nil
}
