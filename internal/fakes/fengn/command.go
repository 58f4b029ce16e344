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

// defaultCosts are the iteration times of the accelerator kinds that the
// flag --cost can replace. They span a factor of eight, as mixed fleets do.
var defaultCosts = map[string]string{
	"fast":   "2ms,20us",
	"medium": "4ms,60us",
	"slow":   "8ms,160us",
}

// Command returns the subcommand that serves a stand-in engine.
func Command() *cobra.Command {
	var (
		cfg         Config
		listen      string
		accelerator string
		costs       map[string]string
	)
	c := &cobra.Command{
		Use:   "engine",
		Short: "Serve a stand-in model engine",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			cost, err := costOf(accelerator, costs)
			if err != nil {
				return err
			}
			cfg.Cost = cost
			return Serve(cmd.Context(), listen, New(cfg).Handler())
		},
	}
	f := c.Flags()
	f.StringVar(&listen, "listen", "127.0.0.1:0", "address to listen on")
	f.StringVar(&accelerator, "accelerator", "fast", "kind of accelerator")
	f.StringToStringVar(&costs, "cost", nil, "iteration time of a kind: kind=base/per-token, for example fast=2ms/20us")
	f.IntVar(&cfg.BatchTokens, "batch-tokens", 2048, "positions in one iteration")
	f.IntVar(&cfg.CacheBlocks, "cache-blocks", 4096, "blocks in the prefix cache")
	f.IntVar(&cfg.BlockTokens, "block-tokens", 16, "tokens in a cache block")
	f.DurationVar(&cfg.EventLag, "event-lag", 0, "delay of cache events")
	f.IntVar(&cfg.EventGap, "event-gap", 0, "lose each n-th cache event (0: none)")
	f.DurationVar(&cfg.LoadLag, "load-lag", 0, "age of load reports")
	f.DurationVar(&cfg.LoadTime, "load-time", 200*time.Millisecond, "fixed time of a load order")
	f.Int64Var(&cfg.LoadBytesPerSecond, "load-rate", 0, "bytes per second at which weights are read (0: at once)")
	f.DurationVar(&cfg.SessionIdle, "session-idle", time.Minute, "time after which an unused session is freed")
	f.BoolVar(&cfg.IgnoreFence, "ignore-fence", false, "accept orders with an old fencing token")
	f.BoolVar(&cfg.Endless, "endless", false, "never end an answer before its token limit")
	return c
}

func costOf(kind string, costs map[string]string) (Cost, error) {
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

// Serve serves a stand-in until the context ends or a signal arrives.
func Serve(ctx context.Context, listen string, h http.Handler) error {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	s := &http.Server{Addr: listen, Handler: h, ReadHeaderTimeout: 5 * time.Second}
	go func() {
		<-ctx.Done()
		_ = s.Close()
	}()
	if err := s.ListenAndServe(); err != http.ErrServerClosed {
		return fault.New(fault.Unavailable, "cannot serve").WithCause(err)
	}
	return nil
}
