package cmds

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/go-kit/log/level"
	"github.com/spf13/cobra"

	"shallotcourse/internal/fault"
	"shallotcourse/internal/proxy"
	"shallotcourse/internal/timer"
	"shallotcourse/internal/topo"
	"shallotcourse/platform"
)

// maxExplainedTokens bounds the numbers of tokens of an explained request, as the
// platform's headers do.
const maxExplainedTokens = 1_000_000_000

// explainFlags holds the query parameters of GET /explain by name, as the flags of the
// command set them.
type explainFlags map[string]*string

// explainUsage describes the flags of the command, which are the query parameters too.
var explainUsage = map[string]string{
	"host":              "host of the request",
	"path":              "path of the request",
	"account":           "account whose key the request would carry; by default none",
	"request":           "ID of the request, which decides between the services of a route",
	"prompt-tokens":     "length of the prompt in tokens; by default that of a usual request",
	"max-answer-tokens": "maximum length of the answer in tokens",
	"answer-hint":       "estimated length of the answer in tokens; by default that of a usual request",
	"prompt-parts":      "IDs of the parts of the prompt, separated by commas",
}

func gatewayExplainCommand() *cobra.Command {
	flags, asJSON := explainFlags{}, false
	c := &cobra.Command{
		Use:   "explain ADDRESS --host HOST --path PATH",
		Short: "Show where a gateway would send a request now, and why",
		Long: "Show where the gateway with the given OpsListen address would send a request now, and why.\n" +
			"No request is sent, and nothing at the gateway changes.",
		Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			query := flags.query()
			if _, err := parseQuestion(query); err != nil {
				return err
			}
			e, err := fetchExplanation(c.Context(), args[0], query)
			if err != nil {
				return err
			}
			if asJSON {
				out := json.NewEncoder(c.OutOrStdout())
				out.SetIndent("", "  ")
				return wrapWriteError(out.Encode(e))
			}
			return writeExplanation(c.OutOrStdout(), e)
		},
	}
	for _, name := range slices.Sorted(maps.Keys(explainUsage)) {
		flags[name] = c.Flags().String(name, "", explainUsage[name])
	}
	c.Flags().BoolVar(&asJSON, "json", false, "write JSON")
	return c
}

// query returns the flags that are set as query parameters.
func (f explainFlags) query() url.Values {
	out := url.Values{}
	for name, value := range f {
		if *value != "" {
			out.Set(name, *value)
		}
	}
	return out
}

// parseQuestion returns the request that query parameters describe.
func parseQuestion(query url.Values) (proxy.Question, error) {
	for name, values := range query {
		if _, known := explainUsage[name]; !known || len(values) != 1 {
			return proxy.Question{}, fault.Invalid(name, strings.Join(values, ","), "each of "+strings.Join(slices.Sorted(maps.Keys(explainUsage)), ", ")+" once")
		}
	}
	q := proxy.Question{Host: query.Get("host"), Path: query.Get("path"), Account: query.Get("account")}
	if q.Host == "" {
		return q, fault.Invalid("host", q.Host, "the host of a route")
	}
	if !strings.HasPrefix(q.Path, "/") || strings.ContainsAny(q.Path, "?#") {
		return q, fault.Invalid("path", q.Path, "a path that begins with a slash, without query")
	}
	q.Headers.ID, q.Headers.PromptParts = query.Get("request"), platform.Dialect{}.PromptParts(query.Get("prompt-parts"))
	for name, to := range map[string]*int{
		"prompt-tokens": &q.Headers.PromptTokens, "max-answer-tokens": &q.Headers.MaxAnswerTokens, "answer-hint": &q.Headers.AnswerTokensHint,
	} {
		text := query.Get(name)
		if text == "" {
			continue
		}
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 || n > maxExplainedTokens {
			return q, fault.Invalid(name, text, fmt.Sprintf("a number from 1 to %d", maxExplainedTokens))
		}
		*to = n
	}
	return q, nil
}

// explain answers GET /explain.
func (g *gatewayDaemon) explain(w http.ResponseWriter, r *http.Request) {
	question, err := parseQuestion(r.URL.Query())
	if err != nil {
		fault.WriteBody(w, err)
		return
	}
	e, err := g.server.Explain(r.Context(), question)
	if err != nil {
		fault.WriteBody(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(e); err != nil {
		_ = level.Info(g.logger).Log("event", "ExplanationNotWritten", "err", err)
	}
}

func fetchExplanation(ctx context.Context, address string, query url.Values) (proxy.Explanation, error) {
	var e proxy.Explanation
	ctx, cancel := timer.WithTimeout(ctx, timer.System{}, statusTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/explain?"+query.Encode(), nil)
	if err != nil {
		return e, fault.Invalid("ADDRESS", address, "ip:port").WithCause(err)
	}
	resp, err := operatorClient().Do(req)
	if err != nil {
		return e, fault.Newf(fault.Unavailable, "no answer from gateway %s", address).WithCause(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return e, fault.ReadBody(resp.StatusCode, resp.Body)
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxStatusBytes)).Decode(&e); err != nil {
		return e, fault.Newf(fault.Malformed, "cannot decode the explanation of gateway %s", address).WithCause(err)
	}
	return e, nil
}

func writeExplanation(w io.Writer, e proxy.Explanation) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	row := func(cells ...any) {
		text := make([]string, len(cells))
		for i, cell := range cells {
			if text[i] = fmt.Sprint(cell); text[i] == "" {
				text[i] = "-"
			}
		}
		// A write error is returned by Flush.
		_, _ = io.WriteString(t, strings.Join(text, "\t")+"\n")
	}
	row("DECISION", "CODE", "WAITS FOR", "RETRY-AFTER", "DETAIL")
	row(e.Decision.Fate, e.Decision.Code, milliseconds(e.Decision.WaitsFor), e.Decision.Hint, e.Decision.Detail)
	row()
	if len(e.Decision.Hops) > 0 {
		row("HOP", "DATACENTRE", "LAYERS")
		for _, h := range e.Decision.Hops {
			row(h.Target, h.DataCentre, layersText(h.Layers))
		}
		row()
	}
	row("ROUTE", "SERVICE", "ACCOUNT", "ADMISSION", "PRIORITY", "RANK", "TOKENS", "MAX FILL", "MAX PROMPT WAIT")
	rank := "-"
	if e.Ranked {
		rank = strconv.Itoa(e.Rank)
	}
	row(e.Route, e.Service, e.Account, e.Admission, e.Priority, rank, e.Tokens, fmt.Sprintf("%.2f", e.Limits.MaxFill), milliseconds(e.Limits.MaxPromptWait))
	row()
	row("WAITING", "BEFORE", "ESTIMATE", "CONFIGURATION", "PROVED", "LIST")
	row(e.Queue.Waiting, e.Queue.Before, milliseconds(e.Queue.Estimate), e.Version, milliseconds(e.ConfigAge)+" ago", milliseconds(e.ListAge)+" old")
	row()
	row("TARGET", "DATACENTRE", "LAYERS", "RUNNING", "FILL", "PROMPT WAIT", "TOKEN", "LATENCY", "COST", "CROSSING", "SLOW FACTOR", "WHY NOT")
	for _, c := range e.Targets {
		why := string(c.Excluded)
		if c.Chosen {
			why = "chosen"
		}
		row(c.ID, c.DataCentre, layersText(c.Held), c.Running, fmt.Sprintf("%.2f", c.Fill), milliseconds(c.PromptWait),
			c.Token.Round(time.Microsecond), milliseconds(c.Latency), milliseconds(c.Cost), milliseconds(c.Crossing), fmt.Sprintf("%.2f", c.SlowFactor), why)
	}
	return wrapWriteError(t.Flush())
}

// layersText returns a range of layers as shown; empty for none.
func layersText(l topo.Layers) string {
	if l.Len() == 0 {
		return ""
	}
	return fmt.Sprintf("%d-%d", l.From, l.To)
}

func milliseconds(d time.Duration) string { return d.Round(time.Millisecond).String() }
