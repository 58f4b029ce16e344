package fplat

import (
	"context"
	"net"
	"net/http"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"shallotcourse/internal/fault"
	"shallotcourse/internal/timer"
	"shallotcourse/pkg/resrc"
)

// Command returns the subcommand that serves the fake platform.
func Command() *cobra.Command {
	var (
		listen string
		f      Faults
		lag    time.Duration
		delay  time.Duration
	)
	c := &cobra.Command{
		Use:   "platform",
		Short: "Serve a fake platform: table, object store, instance list and weight store",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			f.ListLag, f.Delay = resrc.Duration(lag), resrc.Duration(delay)
			p := New(timer.System{})
			p.SetFaults(f)
			ctx, stop := signal.NotifyContext(cmd.Context(), syscall.SIGTERM, syscall.SIGINT)
			defer stop()
			return serve(ctx, cmd, listen, p)
		},
	}
	flags := c.Flags()
	flags.StringVar(&listen, "listen", "127.0.0.1:7300", "address to listen on")
	flags.Float64Var(&f.ReadsPerSecond, "reads-per-second", 2000, "limit of reads per second (0: unlimited)")
	flags.Float64Var(&f.WritesPerSecond, "writes-per-second", 400, "limit of writes per second (0: unlimited)")
	flags.Float64Var(&f.WeightBytesPerSecond, "weight-bytes-per-second", 0, "bandwidth of the weight store (0: unlimited)")
	flags.DurationVar(&lag, "list-lag", 0, "age of the instance list that is served")
	flags.DurationVar(&delay, "delay", 0, "delay added to each request")
	return c
}

func serve(ctx context.Context, cmd *cobra.Command, listen string, h http.Handler) error {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return fault.Newf(fault.Unavailable, "cannot listen on %s", listen).WithCause(err)
	}
	cmd.Printf("platform listens on %s\n", l.Addr())
	s := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
	stop := context.AfterFunc(ctx, func() { _ = s.Close() })
	defer stop()
	if err := s.Serve(l); err != nil && ctx.Err() == nil {
		return fault.New(fault.Internal, "HTTP server failed").WithCause(err)
	}
	return nil
}
