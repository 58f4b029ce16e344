package cmds

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"shallotcourse/internal/fault"
	"shallotcourse/internal/httpc"
	"shallotcourse/internal/timer"
	"shallotcourse/internal/topo"
)

const (
	// statusTimeout bounds the wait for a gateway's status.
	statusTimeout = 5 * time.Second
	// maxStatusBytes bounds the size of a gateway's status.
	maxStatusBytes = 64 << 20
	// statusHeadBytes bounds the head of a response of a gateway's operator listener.
	statusHeadBytes = 64 << 10
)

// semanticsNames are the displayed names of the retry semantics of a route.
var semanticsNames = map[topo.Semantics]string{topo.Repeatable: "repeatable", topo.Once: "once", topo.Stream: "stream"}

func gatewayStatusCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "status ADDRESS",
		Short: "Show routes, placement and load as a gateway sees them",
		Long:  "Show routes, placement and load as the gateway with the given OpsListen address sees them.",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			status, err := fetchGatewayStatus(c.Context(), args[0])
			if err != nil {
				return err
			}
			return status.write(c.OutOrStdout())
		},
	}
}

// operatorClient returns a client of the operator listeners of gateways.
func operatorClient() *http.Client {
	dialer := &net.Dialer{Timeout: statusTimeout}
	return &http.Client{Transport: httpc.NewTransport(&http.Transport{
		DialContext: dialer.DialContext, DisableKeepAlives: true, MaxResponseHeaderBytes: statusHeadBytes,
	})}
}

func fetchGatewayStatus(ctx context.Context, address string) (gatewayStatus, error) {
	var status gatewayStatus
	ctx, cancel := timer.WithTimeout(ctx, timer.System{}, statusTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/status", nil)
	if err != nil {
		return status, fault.Invalid("ADDRESS", address, "ip:port").WithCause(err)
	}
	resp, err := operatorClient().Do(req)
	if err != nil {
		return status, fault.Newf(fault.Unavailable, "no answer from gateway %s", address).WithCause(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return status, fault.Newf(fault.Unavailable, "gateway %s answered with status %d", address, resp.StatusCode)
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxStatusBytes)).Decode(&status); err != nil {
		return status, fault.Newf(fault.Malformed, "cannot decode the status of gateway %s", address).WithCause(err)
	}
	return status, nil
}

func (s gatewayStatus) write(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	row := func(cells ...any) {
		text := make([]string, len(cells))
		for i, cell := range cells {
			text[i] = fmt.Sprint(cell)
		}
		// A write error is returned by Flush.
		_, _ = io.WriteString(t, strings.Join(text, "\t")+"\n")
	}
	row("INSTANCE", "CONFIGURATION", "PROVED", "LIST", "ERA", "GATEWAYS", "OPEN", "KEYS REQUIRED")
	row(s.Instance, s.Version, s.ConfigAge+" ago", s.FleetAge+" old", s.StoreEra, s.Gateways, s.Open, s.KeysRequired)
	row()
	row("CALLERS' MEMORY", "BOUND", "CONNECTIONS", "BOUND", "REFUSED", "EVICTED")
	row(s.Callers.MemoryBytes, s.Callers.MemoryBound, s.Callers.Connections, s.Callers.ConnectionBound,
		countsText(s.Callers.Refused), countsText(s.Callers.Evicted))
	row()
	row("ROUTE", "HOST", "PREFIX", "KIND", "SERVICES", "TIMEOUT", "PUBLIC")
	for _, r := range s.Routes {
		var shares []string
		for _, share := range r.Shares {
			shares = append(shares, fmt.Sprintf("%s:%d", share.Service, share.Weight))
		}
		row(r.Name, r.Host, r.Prefix, semanticsNames[r.Semantics], strings.Join(shares, ","), r.Timeout, r.Public)
	}
	row()
	row("SERVICE", "DATACENTRES", "REQUESTS", "BEST", "BINDING")
	for _, b := range s.Bounds {
		row(b.Service, strings.Join(b.DataCentres, ","), int(b.Requests), int(b.Best), fmt.Sprintf("%d-%d", b.Binding.From, b.Binding.To))
	}
	row()
	row("SERVICE", "FROM", "TO", "CROSSING COST", "CLOSED")
	for _, service := range s.Crossings {
		for _, c := range service.Costs {
			row(service.Service, service.From, c.DataCentre, c.PerToken.Round(time.Microsecond), c.Closed)
		}
	}
	row()
	row("PROMISE", "REQUIRED", "WORST CASE", "KEPT", "STEPS")
	for _, p := range s.Promises {
		row(p.Name, p.Bound, p.Sum, p.Kept, p.Steps)
	}
	row()
	row("RANKED SERVICE", "PRIORITY", "MAX FILL", "MAX PROMPT WAIT", "PER SECOND", "SERVED", "WAITING", "BELOW FLOOR")
	for _, r := range s.Ranks {
		row(r.Service, r.Priority, fmt.Sprintf("%.2f", r.Limits.MaxFill), r.Limits.MaxPromptWait.Round(time.Millisecond), fmt.Sprintf("%.1f", r.PerSecond),
			fmt.Sprintf("%.2f", r.Served), r.Waiting, r.BelowFloor)
	}
	row()
	row("HELD PROMPT PARTS", "LEFT", "SINCE", "ROUNDS", "EVIDENCE")
	for _, h := range s.Holds {
		row(strings.Join(h.Parts, ","), h.Left.Round(time.Second), h.Age.Round(time.Second).String()+" ago", h.Rounds, h.EvidenceText())
	}
	row()
	row("LIMITED TARGETS", "PER SECOND", "FROM HERE", "NAMED", "TO")
	for _, l := range s.Limits {
		row(l.Target, l.PerSecond, fmt.Sprintf("%.2g", l.Share), l.Age.Round(time.Millisecond).String()+" ago", l.SeenBy)
	}
	row()
	row("LEAVING TARGETS", "SAID", "TO")
	for _, l := range s.Leaving {
		row(l.Target, l.Age.Round(time.Millisecond).String()+" ago", l.SeenBy)
	}
	row()
	row("PAUSED TARGETS", "LEFT", "SINCE")
	for _, p := range s.Paused {
		row(p.Target, p.Left.Round(time.Millisecond), p.Age.Round(time.Millisecond).String()+" ago")
	}
	row()
	row("TARGET", "SERVICE", "DATACENTRE", "CARD", "LAYERS", "WHY", "SINCE", "RUNNING", "STATE")
	for _, target := range s.Targets {
		why, since := "-", "-"
		if target.Placed != nil {
			why, since = target.Placed.Why, target.Placed.Since.UTC().Format(time.RFC3339)
		}
		row(target.ID, target.Service, target.DataCentre, target.Card, fmt.Sprintf("%d-%d", target.Held.From, target.Held.To),
			why, since, target.Load.Running, target.state())
	}
	return wrapWriteError(t.Flush())
}

func (t targetStatus) state() string {
	switch {
	case t.State == topo.Draining:
		return "draining"
	case t.Leaving:
		return "leaving"
	case t.Paused:
		return "paused"
	case t.Doubted:
		return "doubted"
	case t.Loading:
		return "loading"
	}
	return "ready"
}
